package sched

import (
	"errors"
	"fmt"
	"time"

	"peridotgw.example/peridotgw/internal/gang"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Started reports the result of ActionStart or ActionRecover.
func (c *Core) Started(id model.JobID, record jobs.Record, err error, now time.Time) {
	c.starting--
	c.dirty = true
	e, found := c.entries[id]
	if !found {
		return
	}
	var notStarted *gang.NotStartedError
	var partial *gang.PartialError
	switch {
	case err == nil:
		c.running(e, record, now)
	case errors.As(err, &notStarted):
		c.notStarted(e, record, notStarted, now)
	case errors.As(err, &partial):
		c.partial(e, partial, now)
	default:
		e.message = err.Error()
		e.phase, e.readyAt = phaseUnresolved, now.Add(c.tuning.Lease)
	}
}

func (c *Core) running(e *entry, record jobs.Record, now time.Time) {
	record.CancelRequested = record.CancelRequested || e.record.CancelRequested
	e.record, e.phase, e.ran, e.since, e.renewSentAt = record, phaseRunning, true, now, now
	e.doneTasks = map[model.TaskID]bool{}
	for _, p := range record.Placement {
		c.renewSoon(p.Worker, c.expectedEnd(e, now))
	}
	if e.cause == CausePreempted {
		c.stop(e, now, CausePreempted)
	}
}

func (c *Core) notStarted(e *entry, record jobs.Record, cause *gang.NotStartedError, now time.Time) {
	if record.State.Ended() {
		c.drop(e, record, now)
		return
	}
	if h, found := c.workers[cause.Worker]; found {
		pause := 2 * c.tuning.RetryPause
		if cause.Unreachable {
			pause = c.tuning.Suspect
		}
		h.suspectUntil = now.Add(pause)
		h.probe = false
	}
	cancelled := e.record.CancelRequested
	if record.Version > e.record.Version {
		e.record = record
	}
	e.record.CancelRequested = e.record.CancelRequested || cancelled
	e.record.Placement, e.record.Lent, e.record.Guarantee, e.record.State = nil, false, "", jobs.StateQueued
	c.note(e, now, "not-started", cause.Phase, map[string]string{"worker": string(cause.Worker), "cause": short(cause.Cause)})
	c.requeue(e)
	e.cause = ""
	// A worker that did not answer is left out already, so the next attempt need not wait.
	if !cause.Unreachable {
		e.readyAt = now.Add(c.tuning.RetryPause)
	}
}

func (c *Core) partial(e *entry, partial *gang.PartialError, now time.Time) {
	cancelled := e.record.CancelRequested
	e.record = partial.Record
	e.record.CancelRequested = e.record.CancelRequested || cancelled
	e.ran = partial.Ran || !partial.Stopped
	e.cause, e.message, e.kept = CauseNotComplete, short(partial.Cause), 0
	if h, found := c.workers[partial.Worker]; found {
		h.suspectUntil = now.Add(c.tuning.Suspect)
	}
	c.note(e, now, "stopped", string(CauseNotComplete), map[string]string{"worker": string(partial.Worker), "cause": e.message})
	c.cluster.Stopping(e.record.Spec.ID)
	if partial.Stopped {
		c.conclude(e, now, true)
		return
	}
	e.phase, e.readyAt = phaseSettling, now.Add(c.tuning.Lease)
}

// Stopped reports the result of ActionStop.
func (c *Core) Stopped(id model.JobID, outcome gang.Outcome, now time.Time) {
	e, found := c.entries[id]
	if !found {
		return
	}
	e.kept = outcome.Progress
	switch {
	case outcome.Done:
		c.done(e, now)
	case outcome.Stopped:
		c.conclude(e, now, true)
	default:
		// The last renewal may have been applied without an answer, and may have been on its way for the call's timeout.
		e.phase, e.readyAt = phaseSettling, now
		if !e.renewSentAt.IsZero() {
			e.readyAt = e.renewSentAt.Add(c.tuning.Lease + callTimeout)
		}
		if e.readyAt.Before(now) {
			e.readyAt = now
		}
		for _, id := range outcome.Unreachable {
			// Nothing is planned on accelerators that tasks may still use.
			if h, found := c.workers[id]; found && h.suspectUntil.Before(e.readyAt) {
				h.suspectUntil = e.readyAt
			}
		}
		c.dirty = true
		c.note(e, now, "settling", string(e.cause), map[string]string{"silent": fmt.Sprint(outcome.Unreachable)})
	}
}

// callTimeout is the longest time that a call to a worker is under way.
const callTimeout = 2 * time.Second

// settle concludes a stop whose last leases have ended by now.
func (c *Core) settle(e *entry, now time.Time) { c.conclude(e, now, false) }

// conclude decides what becomes of a job whose gang has ended; confirmed is false when some workers did not answer.
func (c *Core) conclude(e *entry, now time.Time, confirmed bool) {
	class := c.class(e)
	again := class.Stoppable() || !e.ran
	if e.kept > 0 {
		e.record.Progress += model.Duration(e.kept)
		e.kept = 0
	}
	if e.ran && e.record.StartedAt.IsZero() {
		e.record.StartedAt = now.UTC()
	}
	c.forget(e)
	switch {
	case e.record.CancelRequested:
		c.note(e, now, "cancelled", "requested", nil)
		c.end(e, now, jobs.StateCancelled, cancelledOutcome(e), reply.ReasonCancelled, "cancelled on request")
	case e.cause == CauseTaskFailed:
		c.failure(e, now, again)
	case again:
		c.queueAgain(e, now)
	case e.cause == CauseDeadline:
		c.end(e, now, jobs.StateFailed, reply.OutcomeFailed, reply.ReasonDraining, "stopped at the drain deadline of the data centre")
	case confirmed:
		c.end(e, now, jobs.StateFailed, reply.OutcomeFailed, reply.ReasonWorkerLost, "gang lost a member: "+e.message)
	default:
		c.end(e, now, jobs.StateUnknown, reply.OutcomeUnknown, reply.ReasonInDoubt, "gang lost a member and workers do not answer: "+e.message)
	}
}

// queueAgain writes the job back as queued, or moves it when the data centre is out of service.
func (c *Core) queueAgain(e *entry, now time.Time) {
	e.record.Placement, e.record.Lent, e.record.Guarantee, e.record.State = nil, false, "", jobs.StateQueued
	c.note(e, now, "queued", string(e.cause), map[string]string{"progress": e.record.Progress.String()})
	e.cause, e.ran, e.message = "", false, ""
	if c.out() && c.moveAway(e, now) {
		return
	}
	e.phase = phaseWriting
	c.act(Action{Kind: ActionWrite, Job: e.record.Spec.ID, Record: e.record})
}

// Read reports the result of ActionRead: what became of a decision whose record was in doubt.
func (c *Core) Read(id model.JobID, record jobs.Record, found bool, now time.Time) {
	e, known := c.entries[id]
	if !known || e.phase != phaseUnresolved {
		return
	}
	c.forget(e)
	if !found || record.State.Ended() {
		c.drop(e, record, now)
		return
	}
	e.record, e.cause = record, ""
	switch record.State {
	case jobs.StateMoved:
		e.phase = phaseWriting
		c.act(Action{Kind: ActionCompleteMove, Job: id, Record: record})
	case jobs.StateQueued:
		e.phase, c.dirty = phaseQueued, true
	default:
		// The decision was recorded but nothing was started from it, or an earlier owner started it: it is recovered, which
		// finds the reservations gone and queues the job again.
		c.adopt(e, now)
	}
}

// Written reports the result of ActionWrite.
func (c *Core) Written(id model.JobID, record jobs.Record, err error, now time.Time) {
	e, found := c.entries[id]
	if !found || e.phase != phaseWriting {
		return
	}
	var changed *jobs.ChangedError
	if errors.As(err, &changed) && (changed.Current.State.Ended() || changed.Current.Version == 0) {
		c.drop(e, changed.Current, now)
		return
	}
	if err != nil {
		e.again, e.readyAt = true, now.Add(c.tuning.RetryPause)
		return
	}
	if record.State.Ended() {
		c.drop(e, record, now)
		return
	}
	cancelled := e.record.CancelRequested
	e.record = record
	e.record.CancelRequested = e.record.CancelRequested || cancelled
	e.phase = phaseQueued
	c.dirty = true
}

// done ends a job whose tasks have all ended well.
func (c *Core) done(e *entry, now time.Time) {
	c.cleared(e)
	c.forget(e)
	c.note(e, now, "done", "", nil)
	e.record.Progress = e.record.Spec.RunTime
	c.end(e, now, jobs.StateDone, reply.OutcomeDone, "", "")
}

// short bounds a message that goes into a record.
func short(err error) string {
	const limit = 300
	text := err.Error()
	return text[:min(len(text), limit)]
}
