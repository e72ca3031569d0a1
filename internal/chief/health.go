package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	// failuresToQuarantine is the number of consecutive failures, of tasks that failed nowhere else, that quarantine a worker.
	failuresToQuarantine   = 2
	failureQuarantine      = 3 * time.Second
	maxQuarantineDoublings = 3
	// gangEndGrace is how long the members of a gang may take to end after the first is done.
	gangEndGrace = time.Second
	fullPercent  = 100
)

// recordOutcome updates the failure counts of a worker. A task that has failed elsewhere says nothing about this worker.
func (c *Scheduler) recordOutcome(w *worker, r *run, how work.How) {
	switch how {
	case work.EndedDone:
		w.failures, w.quarantines, w.lastDoneAt, w.progressedAt = 0, 0, c.Now(), c.Now()
		if r.probe {
			c.readmit(w)
		}
	case work.EndedFailed:
		if r.task == nil || r.task.failedOn != "" && r.task.failedOn != w.info.ID {
			return
		}
		if r.createdAt < w.closedAt {
			return // All runs of that time fail together: they say no more than the first ones.
		}
		w.failures++
		if w.failures >= failuresToQuarantine {
			w.closedAt, w.unproven = c.Now(), true
			c.quarantine(w, failureQuarantine<<min(w.quarantines, maxQuarantineDoublings), "its tasks fail")
			w.quarantines++
			w.failures = failuresToQuarantine - 1
		}
	}
}

// avoided reports whether a worker gets no starts, but for a probe, since its tasks fail, make no progress or are slow.
func (w *worker) avoided(now clock.Instant) bool {
	return now < w.quarantinedUntil || now < w.slowUntil || w.unproven && !w.probeDue(now)
}

// suspect reports whether the last run that counts for or against a worker failed.
func (w *worker) suspect() bool { return w.failures > 0 }

// stopStuckRuns stops runs without progress on a worker that answers.
func (c *Scheduler) stopStuckRuns(w *worker, now clock.Instant) {
	if w.missedCalls > 0 {
		return
	}
	for _, r := range w.runs {
		if r.phase == starting && !r.delayed && now.Sub(r.createdAt) >= logWaitFrom {
			c.logDelayedStart(r, now)
		}
		if r.phase == running && r.task != nil && r.task.done && now.Sub(r.task.stage.finishedAt) > gangEndGrace {
			c.stopRun(r, "task is done")
		}
		// A member at its end waits for the rest of its gang.
		if r.phase != running || r.task == nil || r.percent >= fullPercent || r.pace < fullPace ||
			r.task.stage.step.Lasts || !r.gangRunning() {
			continue
		}
		// Time without a report that lists the run does not count: its worker is silent, or its end is among those not yet listed.
		if r.listedAt.Sub(max(r.progressedAt, r.createdAt)) >= c.patience(r) {
			c.stopStuckRun(r, now)
		}
	}
}

// gangRunning reports whether all members of a run's gang are running; true for a run that is in no gang.
func (r *run) gangRunning() bool {
	if r.gang == nil {
		return true
	}
	for member := range r.gang.members {
		if member.phase != running {
			return false
		}
	}
	return true
}
