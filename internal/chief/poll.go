package chief

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/agent"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	pollWait          = 1200 * time.Millisecond // how long a worker holds a poll open for the next end
	doubtfulPollWait  = 200 * time.Millisecond  // the same while a start has no answer: what never ran has no end that ends the wait
	pollTimeoutMargin = 600 * time.Millisecond  // beyond the wait, for the answer to arrive
	pollRetryPause    = 200 * time.Millisecond
	// undurablePause delays the next poll while ends are not stored: the worker would list them again at once.
	undurablePause    = 60 * time.Millisecond
	unackablePause    = 300 * time.Millisecond
	leaseStopPause    = 100 * time.Millisecond // while a worker's leases must not be extended yet
	silentAfterMisses = 2                      // consecutive unanswered calls after which a worker counts as silent
)

// needsPoll reports whether there is a reason to poll a worker.
func (c *Scheduler) needsPoll(w *worker) bool {
	// Runs and ends cannot be matched to tasks before the jobs are loaded.
	return c.jobsLoaded && !w.removed && (!w.polled || w.hasStartedRun() || w.ackableEnd() > w.durableEnd ||
		w.durableEnd > w.ackedEnd || w.missedCalls > 0 && (w.registered || len(w.runs) > 0))
}

// hasStartedRun reports whether a run on the worker has more than a start without an answer so far. A poll that is sent to a lost worker
// before that would extend the lease for which the start is in doubt.
func (w *worker) hasStartedRun() bool {
	for _, r := range w.runs {
		if r.phase != starting {
			return true
		}
	}
	return false
}

// pollIfDue starts a poll of a worker if it needs one and none is in flight.
func (c *Scheduler) pollIfDue(w *worker) {
	now := c.Now()
	if w.pollInFlight || now < w.nextPollAt || !c.needsPoll(w) || !c.TermValid() {
		return
	}
	order := agent.PollOrder{Token: c.Term.Token}
	if w.durableEnd > w.ackedEnd && w.missedCalls == 0 {
		// A repeated number, or one that is sent after an unanswered call, could reach a later incarnation, which numbers its ends from
		// the start again.
		order.Seen = w.durableEnd
	}
	if w.missedCalls == 0 && !c.hidesEndsForGood(w) {
		// An unanswered poll may be executed later: it must not extend the leases of a silent worker.
		order.Until = c.pollLease(w, now)
	}
	if w.polled && !c.mayHideEnds(w) && w.missedCalls == 0 && len(w.runs) > 0 && w.handledEnd == w.durableEnd && !c.leaseStopStored(w) {
		order.Wait = pollWait
		if w.hasDoubtfulRun() {
			order.Wait = doubtfulPollWait
		}
	}
	w.pollInFlight = true
	target := w.target()
	sent := pollSent{order: order, born: w.born}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, order.Wait+pollTimeoutMargin)
		defer cancel()
		sent.at = c.Now()
		report, err := c.Workers.Poll(ctx, target, order)
		c.post(func() { c.handlePollReport(w, sent, report, err) })
	}()
}

// hasDoubtfulRun reports whether a start of a run on the worker was sent again, since it had no answer, and still has none.
func (w *worker) hasDoubtfulRun() bool {
	for _, r := range w.runs {
		if r.attempts > 1 && r.startedAt == 0 && r.listedAt == 0 {
			return true
		}
	}
	return false
}

// pollSent is a poll as it was sent.
type pollSent struct {
	order agent.PollOrder
	born  int64 // of the incarnation that was known then
	at    clock.Instant
}

func (c *Scheduler) handlePollReport(w *worker, sent pollSent, report work.Report, err error) {
	now := c.Now()
	w.pollInFlight = false
	if w.removed {
		return
	}
	if err != nil {
		c.handlePollError(w, sent, now, err)
		return
	}
	if report.Born != 0 && report.Born < w.born && sent.born != w.born {
		c.pollIfDue(w) // The answer is of an earlier incarnation, with other ends and another clock.
		return
	}
	if report.Born > w.born && w.born != 0 {
		c.handleRestart(w, report.Born)
	}
	if w.missedCalls >= silentAfterMisses {
		c.Log.Info().Str("worker", string(w.info.ID)).Msg("chief: worker answers again")
	}
	w.missedCalls, w.reportedAt = 0, now
	if sent.born == w.born && sent.order.Seen > w.ackedEnd {
		c.Observe.EndStep(EndAcknowledged, int(sent.order.Seen-max(w.ackedEnd, w.listedFrom)))
		w.ackedEnd = sent.order.Seen
	}
	w.updateClock(report.Clock, now, w.born)
	for _, end := range report.Ended {
		c.handleListedEnd(w, end)
	}
	c.noteListedEnds(w, len(report.Ended))
	c.applyListedRuns(w, report.Running)
	if !c.mayHideEnds(w) {
		c.endUnlistedRuns(w, sent.at, report.Running)
	}
	c.adjustPace(w)
	c.scheduleNextPoll(w, now)
	c.pollIfDue(w)
}

// scheduleNextPoll sets the time of a worker's next poll: unacknowledged ends would be listed again at once.
func (c *Scheduler) scheduleNextPoll(w *worker, now clock.Instant) {
	pause := time.Duration(0)
	switch {
	case w.unackableEnd != 0:
		pause = unackablePause
	case w.ackableEnd() > w.durableEnd:
		pause = undurablePause
	case c.leaseStopStored(w):
		pause = leaseStopPause
	}
	w.nextPollAt = now.Add(pause)
	if pause > 0 {
		c.postAfter(pause, func() { c.pollIfDue(w) })
	}
}

func (c *Scheduler) handlePollError(w *worker, sent pollSent, now clock.Instant, err error) {
	c.Observe.CallResult("look", resultOf(err))
	var gone *agent.GoneError
	var rejected *agent.RejectedError
	switch {
	case errors.As(err, &gone) && sent.born != w.born: // It has restarted since, and is registered at its new address.
	case errors.As(err, &gone):
		c.Log.Info().Str("worker", string(w.info.ID)).Int("runs", len(w.runs)).Msg("chief: worker is gone")
		w.registered, w.polled = false, true
		c.endAllRuns(w, "another worker at the address")
	case errors.As(err, &rejected) && rejected.Reason == agent.ReasonToken:
		c.Log.Warn().Str("worker", string(w.info.ID)).Msg("chief: worker has a fencing token of a newer term")
		c.EndTerm()
	default:
		c.recordMissedCall(w, err)
	}
	w.nextPollAt = now.Add(pollRetryPause)
	c.postAfter(pollRetryPause, func() { c.pollIfDue(w) })
	c.dirty = true
}

// recordMissedCall counts an unanswered call.
func (c *Scheduler) recordMissedCall(w *worker, err error) {
	w.missedCalls++
	if w.missedCalls == silentAfterMisses {
		c.Log.Warn().Err(err).Str("worker", string(w.info.ID)).Int("runs", len(w.runs)).Msg("chief: worker does not answer")
	}
}

// handleListedEnd handles an end that a worker lists, unless it was handled before.
func (c *Scheduler) handleListedEnd(w *worker, end work.End) {
	if end.Number <= w.handledEnd {
		return
	}
	if w.handledEnd == 0 {
		w.listedFrom = end.Number - 1
	}
	w.handledEnd = end.Number
	c.Observe.EndStep(EndListed, 1)
	r := w.runs[runKey{end.Task, end.Run}]
	if r == nil {
		r = c.adoptRun(w, end.Task, end.Run)
		if r == nil {
			return
		}
	}
	if t := r.task; end.How == work.EndedDone && t != nil && t.lastRun > end.Run && w.unackableEnd == 0 {
		// The run counted as lost and the task was started again. Acknowledging this end would make the worker forget that the
		// task was done, and that start would be a second one.
		w.unackableEnd = end.Number
		c.Log.Warn().Str("task", end.Task.String()).Int64("run", int64(end.Run)).Str("worker", string(w.info.ID)).
			Msg("chief: end of a run that counted as lost is not acknowledged")
	}
	r.endNumber = end.Number
	c.recordOutcome(w, r, end.How)
	c.endRun(r, end.How, end.Saved)
}

// adoptRun adds a run that is not known here: one of an earlier term, or one of an unknown task.
func (c *Scheduler) adoptRun(w *worker, id work.TaskID, number work.RunNumber) *run {
	t := c.findTask(id)
	now := c.Now()
	r := &run{key: runKey{id, number}, task: t, worker: w, phase: running, ordered: true, createdAt: now, ackedAt: now, progressedAt: now, pace: fullPace}
	if t != nil {
		t.lastRun = max(t.lastRun, number)
		r.resources = t.stage.step.Resources()
		t.stage.runsOn[w]++
		t.stage.job.runs++
		if t.stage.step.Gang {
			r.gang = c.adoptGangRun(t.stage, number)
			if r.gang != nil {
				r.gang.add(r)
			}
		}
	}
	w.runs[r.key] = r
	w.neighbours.add(r, 1, now)
	c.occupy(r)
	c.Log.Info().Str("task", id.String()).Int64("run", int64(number)).Str("worker", string(w.info.ID)).Bool("task-known", t != nil).
		Bool("task-done", t != nil && t.done).Uint64("token", uint64(c.Term.Token)).Msg("chief: run taken over")
	return r
}

func (c *Scheduler) adoptGangRun(s *stage, number work.RunNumber) *gang {
	if s.gang == nil {
		s.gang = &gang{stage: s, number: number, members: map[*run]bool{}}
	}
	if s.gang.number != number {
		return nil
	}
	return s.gang
}

// applyListedRuns updates the runs that a worker lists as running, and adopts those that are not known here.
func (c *Scheduler) applyListedRuns(w *worker, listed []work.Running) {
	for _, item := range listed {
		r := w.runs[runKey{item.Task, item.Run}]
		if r == nil {
			r = c.adoptRun(w, item.Task, item.Run)
			c.activateOrStop(r)
		}
		c.updateRun(r, item)
	}
}

// endUnlistedRuns ends the known runs of a worker that a report does not list, although it lists all ends. A run whose last order was
// acknowledged before the poll was sent has then ended with its end forgotten, or was lost.
func (c *Scheduler) endUnlistedRuns(w *worker, sent clock.Instant, listed []work.Running) {
	present := make(map[runKey]bool, len(listed))
	for _, item := range listed {
		present[runKey{item.Task, item.Run}] = true
	}
	for key, r := range w.runs {
		if present[key] || r.ackedAt == 0 || r.ackedAt >= sent {
			continue
		}
		if r.phase == stopping {
			c.endRun(r, work.EndedStopped, "")
			continue
		}
		if r.phase == running {
			c.Log.Warn().Str("task", key.task.String()).Int64("run", int64(key.number)).Str("worker", string(w.info.ID)).
				Msg("chief: run is not listed by its worker")
			r.reason = "not listed by its worker"
			c.endRun(r, work.EndedLeaseExpired, "")
		}
	}
}

// activateOrStop makes an adopted run the active run of its task, or stops it.
func (c *Scheduler) activateOrStop(r *run) {
	t := r.task
	switch {
	case t == nil:
		c.stopRun(r, "job is not known")
	case t.stage.job.state.Final() || t.done:
		c.stopRun(r, "task has ended")
	case t.activeRun != nil:
		c.stopRun(r, "task has another run")
	case t.stage.step.Gang && (r.gang == nil || r.gang.ending):
		c.stopRun(r, "gang has another run")
	default:
		t.activeRun = r
		t.stage.job.started = true
		c.endWait(t.stage, c.Now())
	}
	c.dirty = true
}

// updateRun applies what a worker reports about a run.
func (c *Scheduler) updateRun(r *run, item work.Running) {
	now := c.Now()
	if r.phase == starting {
		r.phase = running
		r.ackedAt, r.startedAt = now, now
		r.task.stage.job.markStarted(c)
	}
	r.listedAt = now
	if r.task != nil {
		r.task.stage.job.ranAt = now
	}
	if item.Percent != r.percent {
		c.noteProgress(r, item.Percent, now)
		r.percent, r.progressedAt = item.Percent, now
	}
	r.checkpoint, r.tailLatency = item.Saved, item.Load
	sampledAt := r.sampledAt
	r.updateRate(item.Percent, now)
	c.sampleNeighbours(r, sampledAt, now)
	c.readmitIfProven(r.worker, r, now)
	if r.task != nil && item.Saved != "" && r.task.activeRun == r {
		c.setCheckpoint(r.task.stage, r.task, item.Saved)
	}
}
