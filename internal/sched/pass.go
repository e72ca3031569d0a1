package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// RunPass makes all decisions that are due. While mayDecide is false, because the ownership is not valid, it only updates the
// workers and stops gangs on lost workers.
func (c *Core) RunPass(now time.Time, mayDecide bool) {
	c.notesInPass, c.dirty = 0, false
	c.refreshWorkers(now)
	c.stopGangsOnLostWorkers(now)
	if !mayDecide {
		return
	}
	c.trackServiceState(now)
	for _, id := range c.jobIDs() {
		c.advanceJob(c.entries[id], now)
	}
	if c.outOfService() {
		return
	}
	c.plan(now)
}

// advanceJob makes the decisions on one job that need no free capacity.
func (c *Core) advanceJob(entry *jobEntry, now time.Time) {
	if entry.record.CancelRequested {
		c.cancelJob(entry, now)
	}
	switch entry.phase {
	case phaseLeaseExpiry:
		if !now.Before(entry.notBefore) {
			c.concludeUnconfirmed(entry, now)
		}
	case phaseInDoubt:
		if !now.Before(entry.notBefore) {
			entry.notBefore = now.Add(c.tuning.RetryPause)
			c.addAction(Action{Kind: ActionRead, Job: entry.record.Spec.ID})
		}
	case phaseQueued:
		if c.outOfService() {
			c.moveToOtherDataCentre(entry, now)
		}
	case phaseAwaitingStops:
		if c.outOfService() {
			c.returnToQueue(entry)
			c.moveToOtherDataCentre(entry, now)
			return
		}
		c.startAfterVictims(entry, now)
	case phaseRunning:
		c.checkRunning(entry, now)
	case phaseWriting:
		if entry.retryWrite && !now.Before(entry.notBefore) {
			entry.retryWrite = false
			c.addAction(Action{Kind: ActionWrite, Job: entry.record.Spec.ID, Record: entry.record})
		}
	}
}

func (c *Core) cancelJob(entry *jobEntry, now time.Time) {
	switch entry.phase {
	case phaseQueued, phaseAwaitingStops:
		c.releaseCapacity(entry)
		c.addNote(entry, now, "cancelled", "requested", nil)
		c.endJob(entry, now, jobs.StateCancelled, cancelledOutcome(entry), reply.ReasonCancelled, "cancelled on request")
	case phaseRunning:
		c.stopGang(entry, now, CauseCancelled)
	}
}

// cancelledOutcome returns refused, which guarantees that nothing ran, only for jobs that were never started.
func cancelledOutcome(entry *jobEntry) reply.Outcome {
	if entry.mayHaveRun || !entry.record.StartedAt.IsZero() {
		return reply.OutcomeFailed
	}
	return reply.OutcomeRefused
}

// checkRunning stops a running job when the data centre drains or a worker leaves, marks it when it runs far beyond its declared
// run time, and clears the failures of its workers when it has run long enough.
func (c *Core) checkRunning(entry *jobEntry, now time.Time) {
	jobClass := c.jobClass(entry)
	if c.outOfService() {
		deadline := c.config.DataCentres[c.dc].DrainDeadline.Std()
		switch {
		case jobClass.Checkpointable:
			c.stopGang(entry, now, CauseDrain)
		case deadline > 0 && !now.Before(c.outOfServiceSince.Add(deadline)):
			c.stopGang(entry, now, CauseDeadline)
		}
		return
	}
	if jobClass.Checkpointable && c.onLeavingWorker(entry) {
		c.stopGang(entry, now, CauseWorkerLeft)
		return
	}
	declared := entry.record.Spec.RunTime.Std()
	if declared > 0 && now.Sub(entry.record.StartedAt) > 3*declared {
		c.cluster.MarkOverRunTime(entry.record.Spec.ID)
	}
	if !entry.ranLongEnough && ranLongEnough(entry.record, now, c.tuning.ProbeRunTime) {
		entry.ranLongEnough = true
		c.clearWorkerFailures(entry)
	}
}

// trackServiceState records when the data centre went out of service.
func (c *Core) trackServiceState(now time.Time) {
	switch {
	case !c.outOfService():
		c.outOfServiceSince = time.Time{}
	case c.outOfServiceSince.IsZero():
		c.outOfServiceSince = now
		c.addEvent("data-centre", string(c.dc), "drain", "out-of-service", nil)
	}
}

func (c *Core) addEvent(kind, id, action, reason string, inputs map[string]string) {
	c.addAction(Action{Kind: ActionEvent, Event: Event{SubjectKind: kind, SubjectID: id, Action: action, Reason: reason, Inputs: inputs}})
}

// returnToQueue releases the capacity of a job that was not started, and queues it.
func (c *Core) returnToQueue(entry *jobEntry) {
	c.releaseCapacity(entry)
	entry.phase = phaseQueued
}

// startAfterVictims starts a job when the jobs that it preempted have ended, and queues it again when one of them does not end.
func (c *Core) startAfterVictims(entry *jobEntry, now time.Time) {
	if len(entry.awaitedStops) == 0 {
		c.startGang(entry, now)
		return
	}
	if now.Sub(entry.plannedAt) > model.MaxStopWithin.Std()+c.tuning.Pass/2 && c.waitsForSilentVictim(entry) {
		c.returnToQueue(entry)
	}
}

// waitsForSilentVictim reports whether an awaited job ends only when its leases or reservations expire.
func (c *Core) waitsForSilentVictim(entry *jobEntry) bool {
	for id := range entry.awaitedStops {
		if victim, found := c.entries[id]; found && (victim.phase == phaseLeaseExpiry || victim.phase == phaseInDoubt) {
			return true
		}
	}
	return false
}

// plan places queued jobs in order of priority. Of those that do not fit, it moves some to other data centres and holds racks for
// one.
func (c *Core) plan(now time.Time) {
	queuedJobs := c.queuedJobs(now)
	blockedByKey := map[string]*place.Blocked{}
	for _, entry := range queuedJobs {
		if c.startsInFlight >= c.tuning.MaxStartsInFlight {
			return
		}
		key := fmt.Sprintf("%s\x00%s\x00%s\x00%v",
			entry.record.Spec.Customer, entry.record.Spec.Class, entry.record.Spec.Shape, entry.record.FailedOn)
		if blocked, seen := blockedByKey[key]; seen {
			c.markBlocked(entry, now, blocked)
			continue
		}
		plan, blocked := c.cluster.Plan(c.placementJob(entry))
		if blocked != nil && c.mayUseAvoidedWorkers(entry, now) {
			// No other worker can take the job: it may return to one on which it failed, and ends if it fails there again.
			placementJob := c.placementJob(entry)
			placementJob.Avoid = nil
			plan, blocked = c.cluster.Plan(placementJob)
		}
		if blocked != nil {
			blockedByKey[key] = blocked
			c.markBlocked(entry, now, blocked)
			continue
		}
		c.place(entry, now, plan)
	}
	c.moveBlockedJobs(queuedJobs, now)
	c.holdRacks(queuedJobs, now)
}

// mayUseAvoidedWorkers reports whether a job has been blocked for a while and only workers that it avoids could ever take
// it.
func (c *Core) mayUseAvoidedWorkers(entry *jobEntry, now time.Time) bool {
	waited := entry.blocked != "" && now.Sub(entry.blockedSince) >= c.tuning.SuspectFor
	return len(entry.record.FailedOn) > 0 && waited && !c.cluster.FitsWhenEmpty(c.placementJob(entry))
}

// queuedJobs returns the jobs that may start, ordered by priority with aging, then by the customer's weighted usage, and then
// by age.
func (c *Core) queuedJobs(now time.Time) []*jobEntry {
	var queuedJobs []*jobEntry
	for _, entry := range c.entries {
		if entry.phase == phaseQueued && !now.Before(entry.notBefore) {
			queuedJobs = append(queuedJobs, entry)
		}
	}
	slices.SortFunc(queuedJobs, func(a, b *jobEntry) int {
		return cmp.Or(
			cmp.Compare(c.priorityRank(a, now), c.priorityRank(b, now)),
			cmp.Compare(c.weightedUsage(a), c.weightedUsage(b)),
			a.record.SubmittedAt.Compare(b.record.SubmittedAt),
			strings.Compare(string(a.record.Spec.ID), string(b.record.Spec.ID)),
		)
	})
	return queuedJobs
}

// priorityRank ranks a background job that waited long as a normal one; no job ages to urgent priority.
func (c *Core) priorityRank(entry *jobEntry, now time.Time) int {
	priorityRank := c.jobClass(entry).Priority.Rank()
	if c.tuning.AgeAfter > 0 && priorityRank > model.PriorityNormal.Rank() && now.Sub(entry.record.SubmittedAt) >= c.tuning.AgeAfter {
		return model.PriorityNormal.Rank()
	}
	return priorityRank
}

// weightedUsage returns the accelerators that the customer uses, divided by its weight.
func (c *Core) weightedUsage(entry *jobEntry) float64 {
	customer := entry.record.Spec.Customer
	return float64(c.cluster.QuotaUsed(customer)) / float64(max(1, c.config.Customers[customer].Weight))
}

// place allocates the capacity of a plan to a job and stops the jobs that the plan preempts.
func (c *Core) place(entry *jobEntry, now time.Time, plan place.Plan) {
	c.startSeq++
	entry.startOrder = now.UnixNano() + c.startSeq
	entry.plan, entry.plannedAt, entry.phase = plan, now, phaseAwaitingStops
	entry.awaitedStops = map[model.JobID]bool{}
	c.cluster.Add(c.placementJob(entry), plan)
	for _, id := range slices.Concat(plan.WaitFor, plan.Preempt) {
		entry.awaitedStops[id] = true
	}
	for _, id := range plan.Preempt {
		victim := c.entries[id]
		if victim == nil {
			delete(entry.awaitedStops, id)
			continue
		}
		c.preemptJob(victim, entry, now)
	}
	if len(entry.awaitedStops) == 0 {
		c.startGang(entry, now)
	}
}

// preemptJob stops a job in favour of another; a job that was not started yet only returns to the queue.
func (c *Core) preemptJob(victim, by *jobEntry, now time.Time) {
	inputs := map[string]string{"by": string(by.record.Spec.ID), "guarantee": string(by.plan.Guarantee)}
	c.addNote(victim, now, "preempted", string(c.jobClass(by).Priority), inputs)
	switch victim.phase {
	case phaseAwaitingStops:
		c.returnToQueue(victim)
	case phaseRunning:
		c.stopGang(victim, now, CausePreempted)
	default:
		// A job whose start is in flight is stopped when the result of the start is known.
		victim.cause = CausePreempted
		c.cluster.MarkStopping(victim.record.Spec.ID)
	}
}

// startGang starts the gang of a placed job, unless Tuning.MaxStartsInFlight are in flight.
func (c *Core) startGang(entry *jobEntry, now time.Time) {
	if c.startsInFlight >= c.tuning.MaxStartsInFlight {
		return
	}
	record := &entry.record
	record.Attempts++
	record.Owner, record.Token, record.ConfigRevision = c.instance, c.token, c.config.Revision
	record.Placement = newPlacements(*record, c.token, entry.plan.Slots)
	record.Lent, record.Guarantee = entry.plan.Lent, entry.plan.Guarantee
	inputs := map[string]string{"tasks": fmt.Sprint(len(entry.plan.Slots)), "waited": now.Sub(record.SubmittedAt).
		Round(time.Millisecond).String()}
	if entry.plan.Guarantee != "" {
		inputs["guarantee"] = fmt.Sprintf("%s/%d", entry.plan.Guarantee, entry.plan.Copy)
	}
	if entry.plan.Lent {
		inputs["lent"] = "true"
	}
	if entry.plan.Backfill {
		inputs["backfill"] = "true"
	}
	if len(entry.plan.Preempt) > 0 {
		inputs["preempted"] = fmt.Sprint(entry.plan.Preempt)
	}
	c.addNote(entry, now, "placed", "", inputs)
	entry.phase, entry.cause, entry.blocked, entry.notedReason = phaseStarting, "", "", ""
	entry.ranLongEnough = false
	c.startsInFlight++
	c.addAction(Action{Kind: ActionStart, Job: record.Spec.ID, Record: *record})
}

// markBlocked stores the reason why a job waits, and writes a changed reason to the record at a limited rate.
func (c *Core) markBlocked(entry *jobEntry, now time.Time, blocked *place.Blocked) {
	if entry.blocked == "" {
		entry.blockedSince = now
	}
	entry.blocked = string(blocked.Reason)
	first := entry.blockNotedAt.IsZero() && now.Sub(entry.blockedSince) < c.tuning.Pass
	if first || entry.notedReason == entry.blocked || now.Sub(entry.blockNotedAt) < c.tuning.BlockedNote ||
		c.notesInPass >= c.tuning.BlockedNotesPerPass {
		return
	}
	c.notesInPass++
	entry.notedReason, entry.blockNotedAt = entry.blocked, now
	c.addNote(entry, now, "blocked", entry.blocked, maps.Clone(blocked.Inputs))
	entry.phase = phaseWriting
	c.addAction(Action{Kind: ActionWrite, Job: entry.record.Spec.ID, Record: entry.record})
}

// holdRacks makes the cluster hold racks for the oldest large job that has been blocked for Tuning.HoldAfter.
func (c *Core) holdRacks(queue []*jobEntry, now time.Time) {
	holder, _ := c.cluster.HoldingJob()
	if entry, found := c.entries[holder]; holder != "" && found && entry.phase != phaseRunning &&
		c.cluster.HoldFits(c.placementJob(entry)) {
		return
	}
	var oldest *jobEntry
	for _, entry := range queue {
		if entry.blocked == "" || now.Sub(entry.blockedSince) < c.tuning.HoldAfter || !c.cluster.IsLargeShape(entry.record.Spec.Shape) {
			continue
		}
		if entry.blocked == string(place.BlockQuota) {
			continue
		}
		if oldest == nil || entry.record.SubmittedAt.Before(oldest.record.SubmittedAt) {
			oldest = entry
		}
	}
	c.cluster.ReleaseHold()
	if oldest != nil && c.cluster.HoldRacks(c.placementJob(oldest)) {
		_, racks := c.cluster.HoldingJob()
		c.addEvent("job", string(oldest.record.Spec.ID), "holds", "blocked", map[string]string{"racks": fmt.Sprint(racks)})
	}
}

// stopGang stops the gang of a running job: with a checkpoint if the job can continue from one later, otherwise with a kill.
func (c *Core) stopGang(entry *jobEntry, now time.Time, cause Cause) {
	jobClass := c.jobClass(entry)
	action := Action{Kind: ActionStop, Job: entry.record.Spec.ID, Record: entry.record, Mode: worker.ModeKill, Cause: cause}
	willContinue := cause == CausePreempted || cause == CauseDrain || cause == CauseWorkerLeft
	if willContinue && jobClass.Checkpointable {
		action.Mode, action.Within = worker.ModeCheckpoint, min(jobClass.StopWithin, model.MaxStopWithin).Std()
	}
	if cause != CausePreempted {
		c.addNote(entry, now, "stopped", string(cause), nil)
	}
	entry.phase, entry.cause = phaseStopping, cause
	c.cluster.MarkStopping(entry.record.Spec.ID)
	c.addAction(action)
}

// endJob sets the final state of the record and writes it.
func (c *Core) endJob(entry *jobEntry, now time.Time, state jobs.State, outcome reply.Outcome, reason reply.Reason, message string) {
	entry.record.End(state, outcome, reason, now.UTC(), message)
	entry.phase = phaseWriting
	c.addAction(Action{Kind: ActionWrite, Job: entry.record.Spec.ID, Record: entry.record})
}
