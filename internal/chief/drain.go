package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
)

const (
	// leaveMargin is kept, beyond the time that a stop takes, for the stop's order and the report of its end.
	leaveMargin = 500 * time.Millisecond
	// lateEndTolerance is how long after the earliest end of its worker a run may be expected to end and still be left alone.
	lateEndTolerance = 250 * time.Millisecond
)

// noteDrain records when a draining worker leaves at the earliest.
func (w *worker) noteDrain(now clock.Instant) {
	leavesAt := now.Add(w.info.Remaining)
	if w.leavesAt == 0 || leavesAt < w.leavesAt {
		w.leavesAt = leavesAt
	}
}

// stopRunsBeforeLeave stops the runs on a draining worker that will not end before it leaves: their work would be lost, and their
// tasks could not start elsewhere before the worker's leases have expired. Runs that lose nothing by a stop go on until just before.
func (c *Scheduler) stopRunsBeforeLeave(w *worker, now clock.Instant) {
	if !w.info.Draining || !w.registered || w.leavesAt == 0 {
		return
	}
	for _, r := range w.runs {
		if r.phase != running || r.task == nil || r.task.done || now.Add(c.remainingTime(r, now)) <= w.leavesAt.Add(lateEndTolerance) {
			continue
		}
		if r.task.stage.step.Checkpoints && now.Add(c.Limits.StopTimeout+leaveMargin) < w.leavesAt {
			continue
		}
		c.stopRun(r, "its worker leaves")
		if r.gang != nil {
			c.stopGang(r.gang, "a member's worker leaves")
		}
	}
}
