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
	c.startsInFlight--
	c.dirty = true
	entry, found := c.entries[id]
	if !found {
		return
	}
	var notStarted *gang.NotStartedError
	var partialStart *gang.PartialError
	switch {
	case err == nil:
		c.markRunning(entry, record, now)
	case errors.As(err, &notStarted):
		c.notStarted(entry, record, notStarted, now)
	case errors.As(err, &partialStart):
		c.partialStart(entry, partialStart, now)
	default:
		entry.message = err.Error()
		entry.phase, entry.notBefore = phaseInDoubt, now.Add(c.tuning.Lease)
	}
}

// markRunning handles a successful start.
func (c *Core) markRunning(entry *jobEntry, record jobs.Record, now time.Time) {
	record.CancelRequested = record.CancelRequested || entry.record.CancelRequested
	entry.record, entry.phase, entry.mayHaveRun, entry.runningSince, entry.lastRenewSentAt = record, phaseRunning, true, now, now
	entry.doneTasks = map[model.TaskID]bool{}
	for _, p := range record.Placement {
		c.scheduleRenewal(p.Worker, c.nextEndCheck(entry, now))
	}
	if entry.cause == CausePreempted {
		c.stopGang(entry, now, CausePreempted)
	}
}

// notStarted queues a job again after a start in which no task was started.
func (c *Core) notStarted(entry *jobEntry, record jobs.Record, cause *gang.NotStartedError, now time.Time) {
	if record.State.Ended() {
		c.dropJob(entry, record, now)
		return
	}
	if health, found := c.workers[cause.Worker]; found {
		pause := 2 * c.tuning.RetryPause
		if cause.Unreachable {
			pause = c.tuning.SuspectFor
		}
		health.suspectUntil = now.Add(pause)
		health.probing = false
	}
	cancelled := entry.record.CancelRequested
	if record.Version > entry.record.Version {
		entry.record = record
	}
	entry.record.CancelRequested = entry.record.CancelRequested || cancelled
	entry.record.Placement, entry.record.Lent, entry.record.Guarantee, entry.record.State = nil, false, "", jobs.StateQueued
	c.addNote(entry, now, "not-started", cause.Phase,
		map[string]string{"worker": string(cause.Worker), "cause": truncateError(cause.Cause)})
	c.returnToQueue(entry)
	entry.cause = ""
	// A worker that did not answer already gets no work, so the next attempt need not wait.
	if !cause.Unreachable {
		entry.notBefore = now.Add(c.tuning.RetryPause)
	}
}

// partialStart handles a start that failed after some task was or may have been started.
func (c *Core) partialStart(entry *jobEntry, partialStart *gang.PartialError, now time.Time) {
	cancelled := entry.record.CancelRequested
	entry.record = partialStart.Record
	entry.record.CancelRequested = entry.record.CancelRequested || cancelled
	entry.mayHaveRun = partialStart.Ran || !partialStart.Stopped
	entry.cause, entry.message, entry.keptProgress = CauseStartIncomplete, truncateError(partialStart.Cause), 0
	if health, found := c.workers[partialStart.Worker]; found {
		health.suspectUntil = now.Add(c.tuning.SuspectFor)
	}
	c.addNote(entry, now, "stopped", string(CauseStartIncomplete),
		map[string]string{"worker": string(partialStart.Worker), "cause": entry.message})
	c.cluster.MarkStopping(entry.record.Spec.ID)
	if partialStart.Stopped {
		c.concludeStop(entry, now, true)
		return
	}
	entry.phase, entry.notBefore = phaseLeaseExpiry, now.Add(c.tuning.Lease)
}

// Stopped reports the result of ActionStop.
func (c *Core) Stopped(id model.JobID, outcome gang.Outcome, now time.Time) {
	entry, found := c.entries[id]
	if !found {
		return
	}
	entry.keptProgress = outcome.Progress
	switch {
	case outcome.Done:
		c.finishJob(entry, now)
	case outcome.Stopped:
		c.concludeStop(entry, now, true)
	default:
		// The last renewal may have been applied although its answer was lost, up to the call's timeout after it was sent.
		entry.phase, entry.notBefore = phaseLeaseExpiry, now
		if !entry.lastRenewSentAt.IsZero() {
			entry.notBefore = entry.lastRenewSentAt.Add(c.tuning.Lease + workerCallTimeout)
		}
		if entry.notBefore.Before(now) {
			entry.notBefore = now
		}
		for _, id := range outcome.Unreachable {
			// No job is placed on accelerators that tasks may still use.
			if health, found := c.workers[id]; found && health.suspectUntil.Before(entry.notBefore) {
				health.suspectUntil = entry.notBefore
			}
		}
		c.dirty = true
		c.addNote(entry, now, "settling", string(entry.cause), map[string]string{"silent": fmt.Sprint(outcome.Unreachable)})
	}
}

// workerCallTimeout is the longest time that a renewal is in flight.
const workerCallTimeout = 2 * time.Second

// concludeUnconfirmed concludes a stop once the last leases on unreachable workers have expired.
func (c *Core) concludeUnconfirmed(entry *jobEntry, now time.Time) { c.concludeStop(entry, now, false) }

// concludeStop queues or ends a job whose gang has stopped. confirmed is false when some workers did not answer.
func (c *Core) concludeStop(entry *jobEntry, now time.Time, confirmed bool) {
	jobClass := c.jobClass(entry)
	mayRepeat := jobClass.Stoppable() || !entry.mayHaveRun
	if entry.keptProgress > 0 {
		entry.record.Progress += model.Duration(entry.keptProgress)
		entry.keptProgress = 0
	}
	if entry.mayHaveRun && entry.record.StartedAt.IsZero() {
		entry.record.StartedAt = now.UTC()
	}
	c.releaseCapacity(entry)
	switch {
	case entry.record.CancelRequested:
		c.addNote(entry, now, "cancelled", "requested", nil)
		c.endJob(entry, now, jobs.StateCancelled, cancelledOutcome(entry), reply.ReasonCancelled, "cancelled on request")
	case entry.cause == CauseTaskFailed:
		c.handleTaskFailure(entry, now, mayRepeat)
	case mayRepeat:
		c.writeRequeued(entry, now)
	case entry.cause == CauseDeadline:
		c.endJob(entry, now, jobs.StateFailed, reply.OutcomeFailed, reply.ReasonDraining,
			"stopped at the drain deadline of the data centre")
	case confirmed:
		c.endJob(entry, now, jobs.StateFailed, reply.OutcomeFailed, reply.ReasonWorkerLost, "gang lost a member: "+entry.message)
	default:
		c.endJob(entry, now, jobs.StateUnknown, reply.OutcomeUnknown, reply.ReasonInDoubt,
			"gang lost a member and workers do not answer: "+entry.message)
	}
}

// writeRequeued writes the job as queued, or moves it when the data centre is out of service.
func (c *Core) writeRequeued(entry *jobEntry, now time.Time) {
	entry.record.Placement, entry.record.Lent, entry.record.Guarantee, entry.record.State = nil, false, "", jobs.StateQueued
	c.addNote(entry, now, "queued", string(entry.cause), map[string]string{"progress": entry.record.Progress.String()})
	entry.cause, entry.mayHaveRun, entry.message = "", false, ""
	if c.outOfService() && c.moveToOtherDataCentre(entry, now) {
		return
	}
	entry.phase = phaseWriting
	c.addAction(Action{Kind: ActionWrite, Job: entry.record.Spec.ID, Record: entry.record})
}

// RecordRead reports the result of ActionRead, which resolves a job in phaseInDoubt. found is false when the record does not exist.
func (c *Core) RecordRead(id model.JobID, record jobs.Record, found bool, now time.Time) {
	entry, known := c.entries[id]
	if !known || entry.phase != phaseInDoubt {
		return
	}
	c.releaseCapacity(entry)
	if !found || record.State.Ended() {
		c.dropJob(entry, record, now)
		return
	}
	entry.record, entry.cause = record, ""
	switch record.State {
	case jobs.StateMoved:
		entry.phase = phaseWriting
		c.addAction(Action{Kind: ActionCompleteMove, Job: id, Record: record})
	case jobs.StateQueued:
		entry.phase, c.dirty = phaseQueued, true
	default:
		// The decision was recorded but its gang was not started, or an earlier owner started it. The recovery finds that the
		// reservations have expired, and the job is queued again.
		c.adoptGang(entry, now)
	}
}

// Written reports the result of ActionWrite.
func (c *Core) Written(id model.JobID, record jobs.Record, err error, now time.Time) {
	entry, found := c.entries[id]
	if !found || entry.phase != phaseWriting {
		return
	}
	var changed *jobs.ChangedError
	if errors.As(err, &changed) && (changed.Current.State.Ended() || changed.Current.Version == 0) {
		c.dropJob(entry, changed.Current, now)
		return
	}
	if err != nil {
		entry.retryWrite, entry.notBefore = true, now.Add(c.tuning.RetryPause)
		return
	}
	if record.State.Ended() {
		c.dropJob(entry, record, now)
		return
	}
	cancelled := entry.record.CancelRequested
	entry.record = record
	entry.record.CancelRequested = entry.record.CancelRequested || cancelled
	entry.phase = phaseQueued
	c.dirty = true
}

// finishJob ends a job whose tasks have all succeeded.
func (c *Core) finishJob(entry *jobEntry, now time.Time) {
	c.clearWorkerFailures(entry)
	c.releaseCapacity(entry)
	c.addNote(entry, now, "done", "", nil)
	entry.record.Progress = entry.record.Spec.RunTime
	c.endJob(entry, now, jobs.StateDone, reply.OutcomeDone, "", "")
}

// truncateError limits the length of an error text for a record.
func truncateError(err error) string {
	const limit = 300
	text := err.Error()
	return text[:min(len(text), limit)]
}
