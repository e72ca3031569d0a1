package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/speed"
	"peridotgw.example/peridotgw/internal/work"
)

// recordRunTime learns from the time of a completed run, unless the run resumed from a checkpoint, or its data or a member of its gang was
// in a different rack.
func (c *Scheduler) recordRunTime(s *stage, r *run) {
	spread := (s.step.SameRack || s.step.DataRack != "") && r.gang != nil && r.gang.spread
	if r.checkpoint != "" && !r.fromStart || spread {
		return
	}
	if dataRack := s.step.DataRack; dataRack != "" && r.worker.info.Rack() != dataRack {
		return
	}
	now := c.Now()
	c.speeds.Ended(time.Duration(now), speed.Run{
		Worker: r.worker.info.ID, Born: r.worker.born, Kind: s.kind(), Estimate: s.step.Estimate, Took: r.age(now), Speed: r.slowestPace(),
		Tasks: max(1, len(s.tasks)), Gang: s.step.Gang, Counted: r.compared,
	})
}

// slowestPace returns the speed of a run's worker, or of the slowest one of its gang.
func (r *run) slowestPace() float64 {
	slowest := r.worker.speedFactor()
	if r.gang != nil {
		for member := range r.gang.members {
			slowest = min(slowest, member.worker.speedFactor())
		}
	}
	return slowest
}

// kind returns what the run times of a stage's tasks have in common with those of other jobs.
func (s *stage) kind() speed.Kind { return kindOf(s.job.spec, s.step) }

func kindOf(spec *work.Job, step *work.Step) speed.Kind {
	return speed.Kind{Queue: spec.Queue, Image: step.Image}
}

// estimate returns how long a task of a stage takes near its data on a usual worker.
func (c *Scheduler) estimate(s *stage) time.Duration { return c.estimateOf(s.job.spec, s.step) }

// estimateOf returns how long a task of a job's step takes near its data on a usual worker.
func (c *Scheduler) estimateOf(spec *work.Job, step *work.Step) time.Duration {
	return c.speeds.Estimate(kindOf(spec, step), step.Estimate)
}

// runTime returns how long a task of a stage takes near its data on a worker.
func (c *Scheduler) runTime(s *stage, w *worker) time.Duration {
	return time.Duration(float64(c.estimate(s)) / w.speedFactor())
}

// remainingTime estimates how long a run still takes; a member of a gang ends with the slowest one.
func (c *Scheduler) remainingTime(r *run, now clock.Instant) time.Duration {
	if r.gang == nil {
		return c.ownRemainingTime(r, now)
	}
	if g := r.gang; g.leftAt != now {
		g.leftAt, g.left = now, c.ownRemainingTime(r, now)
		for member := range g.members {
			g.left = max(g.left, c.ownRemainingTime(member, now))
		}
	}
	return r.gang.left
}

// ownRemainingTime estimates how long the work of a run still takes: from its own rate, or from the run times of its kind and the speed of
// its worker before that is known.
func (c *Scheduler) ownRemainingTime(r *run, now clock.Instant) time.Duration {
	if r.ratedAt != 0 && r.rate > 0 {
		left := float64(fullPercent-r.sampledPercent) / r.rate
		return time.Duration(left*float64(time.Second)) - now.Sub(r.sampledAt)
	}
	left := float64(fullPercent-r.percent) / fullPercent
	return time.Duration(left * float64(c.runTime(r.task.stage, r.worker)))
}

// haste returns how much it matters that the tasks of a stage end soon.
func (p *planner) haste(s *stage) speed.Haste {
	estimate := p.c.estimate(s)
	chain := p.c.chainAfter(s, p.now)
	return speed.HasteOf(speed.Work{
		Urgent: p.priority(s) == 0, Gang: s.step.Gang, Lasts: s.step.Lasts || s.step.Fills, Hopeless: s.job.late(p.now), Chain: chain > 0,
		Takes: estimate, Slack: s.job.deadline.Sub(p.now) - estimate - chain,
	})
}

// add makes a run a member of a gang.
func (g *gang) add(r *run) {
	for other := range g.members {
		g.spread = g.spread || other.worker.info.Rack() != r.worker.info.Rack()
		break // All others are in its rack, or the gang is spread already.
	}
	g.members[r] = true
}
