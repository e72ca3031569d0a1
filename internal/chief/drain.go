package chief

import (
	"math"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/leave"
)

// leaveMargin is kept, beyond the time that a stop takes, for the stop's order and the report of its end.
const leaveMargin = 500 * time.Millisecond

// noteDrain records when a draining worker leaves at the earliest.
func (w *worker) noteDrain(now clock.Instant) {
	leavesAt := now.Add(w.info.Remaining)
	if w.leavesAt == 0 || leavesAt < w.leavesAt {
		w.leavesAt = leavesAt
	}
}

// leaves reports whether a worker has said that it leaves.
func (w *worker) leaves() bool { return w.info.Draining && w.registered && w.leavesAt != 0 }

// stopRunsBeforeLeave carries out what is decided about the runs on a draining worker, and about the gangs that they are members of.
// Work that the worker takes with it would be lost, and its tasks could not start elsewhere before the worker's leases have expired.
func (c *Scheduler) stopRunsBeforeLeave(w *worker, now clock.Instant) {
	if !w.leaves() {
		return
	}
	for _, r := range w.runs {
		if r.phase != running || r.task == nil || r.task.done {
			continue
		}
		if r.gang == nil {
			c.leaveWith(&r.leaving, []*run{r}, r, now)
		} else if !r.gang.ending && r.gang.leaving.decidedAt != now { // Once for all its members on workers that leave.
			c.leaveWith(&r.gang.leaving, r.gang.runs(), r, now)
		}
	}
}

// These begin the reasons of stops on a worker that leaves; that of the decision follows.
const (
	workerLeaves        = "its worker leaves: "
	membersWorkerLeaves = "a member's worker leaves: "
)

// leaving is what was last decided about a run or a gang on a worker that leaves.
type leaving struct {
	decidedAt clock.Instant // 0 before the first decision
	action    leave.Action
}

// leaveWith decides about the runs that stop or go on together; r is the one on a worker that leaves. A decision is logged once, and again
// when it changes.
func (c *Scheduler) leaveWith(last *leaving, runs []*run, r *run, now clock.Instant) {
	limits := leave.Limits{Stop: c.Limits.StopTimeout + leaveMargin, Lease: c.Limits.MaxLease}
	seen := c.leavingWork(runs, now)
	decision := limits.Decide(&seen)
	before := *last
	*last = leaving{decidedAt: now, action: decision.Action}
	if before.decidedAt == 0 || before.action != decision.Action {
		c.Log.Info().Str("task", r.key.task.String()).Int64("run", int64(r.key.number)).Str("worker", string(r.worker.info.ID)).
			Int("members", len(runs)).Str("action", decision.Action.String()).Str("why", string(decision.Reason)).
			Dur("left", decision.Left).Dur("leaves-in", decision.LeavesIn).
			Float64("chance", decision.Chance).Dur("loses", seen.Lost).Bool("saves", seen.Checkpoints).
			Msg("chief: work on a leaving worker")
	}
	if decision.Action != leave.StopNow {
		return
	}
	c.stopRun(r, workerLeaves+string(decision.Reason))
	if r.gang != nil {
		c.stopGang(r.gang, membersWorkerLeaves+string(decision.Reason))
	}
}

// leavingWork returns what the decision sees of runs that stop or go on together.
func (c *Scheduler) leavingWork(runs []*run, now clock.Instant) leave.Work {
	stage := runs[0].task.stage
	seen := leave.Work{
		Checkpoints: stage.step.Checkpoints,
		Slack:       stage.job.deadline.Sub(now) - c.estimate(stage),
		Members:     make([]leave.Member, 0, len(runs)),
	}
	for _, r := range runs {
		seen.Members = append(seen.Members, leave.Member{
			Left: c.memberLeft(r, now), Rated: r.ratedAt != 0 || r.percent >= fullPercent, Leaves: r.worker.leaves(), LeavesIn: r.worker.leavesAt.Sub(now),
		})
		if !stage.step.Lasts {
			seen.Lost = max(seen.Lost, c.lostByStop(r, now))
		}
	}
	return seen
}

// memberLeft estimates how long a run still takes by itself. Members of a gang that have done their part wait for the others. A run that is
// over its estimate counts as taking as long again as it is over.
func (c *Scheduler) memberLeft(r *run, now clock.Instant) time.Duration {
	switch {
	case r.task.stage.step.Lasts:
		return math.MaxInt64 / 2
	case r.percent >= fullPercent:
		return 0
	}
	left := c.ownRemainingTime(r, now)
	return max(left, -left)
}

// runs returns the members of a gang.
func (g *gang) runs() []*run {
	members := make([]*run, 0, len(g.members))
	for r := range g.members {
		members = append(members, r)
	}
	return members
}
