package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

// endAllRuns ends all runs of a worker that certainly no longer executes them.
func (c *Scheduler) endAllRuns(w *worker, reason string) {
	for _, r := range w.runs {
		r.reason = reason
		c.endRun(r, work.EndedLeaseExpired, "")
	}
}

// endRun removes a run that has certainly ended and frees its resources.
func (c *Scheduler) endRun(r *run, how work.How, checkpoint work.Checkpoint) {
	w := r.worker
	if _, present := w.runs[r.key]; !present {
		return
	}
	delete(w.runs, r.key)
	w.neighbours.add(r, -1, c.Now())
	if r.task != nil {
		r.track.End(&c.interference, time.Duration(c.Now()), r.task.stage.noisyKind)
	}
	c.notePlacedEnd(r)
	w.endProbe(r)
	c.vacate(r)
	if r.phase == stopping {
		w.usedByStopping = w.usedByStopping.Sub(r.resources)
	}
	if r.task != nil {
		s := r.task.stage
		if s.runsOn[w]--; s.runsOn[w] <= 0 {
			delete(s.runsOn, w)
		}
		if r.phase != stopping {
			s.job.runs--
		}
		if r.wasRunning(how) {
			s.job.ranAt = c.Now()
		}
	}
	c.Observe.RunEnded(how)
	line := c.Log.Info().Str("task", r.key.task.String()).Int64("run", int64(r.key.number)).Str("worker", string(w.info.ID)).
		Str("how", string(how)).Int("percent", r.percent).Dur("age", c.Now().Sub(r.createdAt)).Str("why", r.reason)
	if r.startedAt != 0 {
		line = line.Dur("started-after", r.startedAt.Sub(r.createdAt))
	}
	line.Msg("chief: run over")
	c.handleRunEnd(r, how, checkpoint)
}

// checkWorker ends the runs of a silent worker once their leases have expired, removes a worker that has left, and stops
// stuck runs. It is called on each tick.
func (c *Scheduler) checkWorker(w *worker, now clock.Instant) {
	if len(w.runs) > 0 && c.leasesExpired(w, now) {
		switch {
		case w.missedCalls >= silentAfterMisses && !c.mayAnswerYet(w, now):
			c.giveUpRuns(w, "does not answer")
		case c.hidesEndsForGood(w):
			c.giveUpRuns(w, "cannot list their ends")
		}
	}
	if c.hasLeft(w, now) {
		w.removed = true
		delete(c.workers, w.info.ID)
		c.speeds.Forget(w.info.ID)
		c.saveRoster()
		return
	}
	c.stopRunsBeforeLeave(w, now)
	c.stopStuckRuns(w, now)
	c.pollIfDue(w)
}

// giveUpRuns ends the runs of a worker whose leases have lapsed without a report of how they ended.
func (c *Scheduler) giveUpRuns(w *worker, why string) {
	reason := "lapsed on a worker that " + why
	c.Log.Warn().Str("worker", string(w.info.ID)).Int("runs", len(w.runs)).Dur("silent-for", c.Now().Sub(max(w.reportedAt, c.Term.Since))).
		Bool("registered", w.registered).Int64("last-end", int64(w.handledEnd)).Msg("chief: leases " + reason)
	for _, r := range w.runs {
		if r.task != nil {
			r.task.lostOn = w
		}
	}
	c.endAllRuns(w, "lease "+reason)
}

// registrySettleTime is how long after a term's start workers may take to register again after a store outage.
const registrySettleTime = 2500 * time.Millisecond

// hasLeft reports whether a worker has left the registry and certainly holds no runs or unacknowledged ends.
func (c *Scheduler) hasLeft(w *worker, now clock.Instant) bool {
	if w.registered || !c.jobsLoaded || now.Sub(c.Term.Since) <= registrySettleTime {
		return false
	}
	return len(w.runs) == 0 && w.ackableEnd() == w.durableEnd && (w.polled || c.leasesExpired(w, now))
}
