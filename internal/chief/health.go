package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	// failuresToRest is how many first failures of tasks in a row make a worker suspect.
	failuresToRest = 2
	failedRest     = 3 * time.Second
	maxRests       = 3 // doublings of a rest
	// stuckAfter is how long a task may show no progress, and stuckSteps how many hundredths of its estimate.
	stuckAfter = 2 * time.Second
	stuckSteps = 12
	stuckRest  = 6 * time.Second
	// leftOverAfter is how long the members of a gang may take to end after the first has ended done.
	leftOverAfter = time.Second
	fullPercent   = 100
)

// judge keeps the record of a worker. A task that has failed elsewhere says nothing about this worker.
func (c *Chief) judge(w *worker, r *run, how work.How) {
	switch how {
	case work.EndedDone:
		w.failures, w.rests, w.doneAt = 0, 0, c.Now()
	case work.EndedFailed:
		if r.task == nil || r.task.failedOn != "" && r.task.failedOn != w.info.ID {
			return
		}
		w.failures++
		if w.failures >= failuresToRest {
			c.rest(w, failedRest<<min(w.rests, maxRests), "tasks fail on it")
			w.rests++
			w.failures = failuresToRest - 1
		}
	}
}

// suspect reports whether the last task that tells something of a worker failed there.
func (w *worker) suspect() bool { return w.failures > 0 }

// checkStuck stops runs that stand still on a worker that answers.
func (c *Chief) checkStuck(w *worker, now clock.Instant) {
	if w.missed > 0 {
		return
	}
	for _, r := range w.runs {
		if r.phase == running && r.task != nil && r.task.done && now.Sub(r.task.unit.finished) > leftOverAfter {
			c.stop(r, "task is done")
		}
		// A member at its end waits for the rest of its gang.
		if r.phase != running || r.task == nil || r.percent >= fullPercent || r.pace < fullPace || r.task.unit.step.Lasts || !r.together() {
			continue
		}
		// A percent of the work takes a hundredth of the estimate, several times longer away from the data or on a slow worker.
		limit := max(stuckAfter, stuckSteps*c.estimate(r.task.unit)/100)
		// Time in which nobody looked at the worker says nothing about its tasks.
		if w.heard.Sub(max(r.moved, r.created)) < limit {
			continue
		}
		c.rest(w, stuckRest, "tasks stand still on it")
		c.stop(r, "stands still")
		if r.group != nil {
			c.breakGroup(r.group, "member stands still")
		}
	}
}

// together reports whether all members of a run's gang are present.
func (r *run) together() bool {
	if r.group == nil {
		return true
	}
	for member := range r.group.members {
		if member.phase != running {
			return false
		}
	}
	return true
}
