package chief

import (
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
)

const (
	speedCompareInterval = 500 * time.Millisecond
	// minSampleInterval is the least time between two progress samples of a run.
	minSampleInterval = 600 * time.Millisecond
	rateMaxAge        = 2 * time.Second // of a rate that is compared
	// minSiblings is the least number of runs of a stage, and of their workers, whose median rate is meaningful.
	minSiblings = 3
	// slowRatio is how many times slower than the median of their stage the runs of a slow worker are.
	slowRatio      = 3.0
	slowQuarantine = 2 * time.Second
	// slowRoundsToMove is the number of consecutive comparisons that must find a worker slow before tasks are moved off it.
	slowRoundsToMove = 3
	// minMoveGain is the least ratio of a run's remaining time to the time of a new run for which it is moved.
	minMoveGain = 2
	// minRate is the lowest rate that a run counts with, in percent per second.
	minRate = 0.5
)

// updateRate updates the progress rate of a run from a new sample.
func (r *run) updateRate(percent int, now clock.Instant) {
	if r.sampledAt != 0 && now.Sub(r.sampledAt) < minSampleInterval {
		return
	}
	if r.sampledAt != 0 {
		r.rate = max(minRate, float64(percent-r.sampledPercent)/now.Sub(r.sampledAt).Seconds())
		r.ratedAt = now
	}
	r.sampledAt, r.sampledPercent = now, percent
}

// isComparable reports whether a run should progress as fast as the other runs of its stage.
func (c *Scheduler) isComparable(r *run, now clock.Instant) bool {
	if r.task == nil || r.phase != running || r.ratedAt == 0 || now.Sub(r.ratedAt) > rateMaxAge || r.percent >= fullPercent {
		return false
	}
	step := r.task.stage.step
	if step.Lasts || step.Fills || r.pace < fullPace || !r.gangRunning() {
		return false
	}
	rack := r.worker.info.Rack()
	if step.SameRack && r.gang != nil && r.gang.spread {
		return false
	}
	return step.DataRack == "" || step.DataRack == rack
}

// compareSpeeds compares runs with those of the same stage on other workers: estimates are too rough to detect a slow worker.
func (c *Scheduler) compareSpeeds(now clock.Instant) {
	if now.Sub(c.speedsComparedAt) < speedCompareInterval {
		return
	}
	c.speedsComparedAt = now
	type sum struct {
		ratios float64
		runs   int
	}
	sums := map[*worker]sum{}
	for _, runs := range c.siblingRuns(now) {
		sort.Slice(runs, func(i, j int) bool { return runs[i].rate < runs[j].rate })
		median := runs[len(runs)/2].rate
		for _, r := range runs {
			s := sums[r.worker]
			sums[r.worker] = sum{s.ratios + median/r.rate, s.runs + 1}
		}
	}
	for w, s := range sums {
		c.judgeSpeed(w, s.ratios/float64(s.runs))
	}
}

// siblingRuns returns the comparable runs of each stage that has enough of them on different workers.
func (c *Scheduler) siblingRuns(now clock.Instant) [][]*run {
	byStage := map[*stage][]*run{}
	for _, w := range c.workers {
		for _, r := range w.runs {
			if c.isComparable(r, now) {
				byStage[r.task.stage] = append(byStage[r.task.stage], r)
			}
		}
	}
	var sets [][]*run
	for _, runs := range byStage {
		places := map[*worker]bool{}
		for _, r := range runs {
			places[r.worker] = true
		}
		if len(runs) >= minSiblings && len(places) >= minSiblings {
			sets = append(sets, runs)
		}
	}
	return sets
}

// judgeSpeed quarantines a worker whose runs are slowRatio times slower than the median of their stages, and moves runs off it
// after slowRoundsToMove such comparisons in a row.
func (c *Scheduler) judgeSpeed(w *worker, ratio float64) {
	if ratio < slowRatio {
		w.slowRounds = 0
		return
	}
	w.slowRounds++
	w.slowUntil = c.Now().Add(slowQuarantine)
	c.logNoStarts(w, slowQuarantine, "its tasks are slow")
	if w.slowRounds >= slowRoundsToMove {
		c.moveFromSlowWorker(w)
	}
}

// moveFromSlowWorker stops runs on a slow worker that would end much sooner as new runs elsewhere: urgent ones, and those
// that lose little because they checkpoint. Workers are mostly slow for a short time, and moving other runs would waste work.
func (c *Scheduler) moveFromSlowWorker(w *worker) {
	now := c.Now()
	for _, r := range w.runs {
		if !c.isComparable(r, now) || r.task.done || !r.task.stage.step.Checkpoints && c.priority(r.task.stage) != 0 {
			continue
		}
		remaining := time.Duration(float64(fullPercent-r.percent) / r.rate * float64(time.Second))
		if remaining < minMoveGain*c.estimate(r.task.stage) {
			continue
		}
		c.stopRun(r, "its worker is slow")
		if r.gang != nil {
			c.stopGang(r.gang, "a member's worker is slow")
		}
	}
}
