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

// Pass makes all decisions that are due. mayDecide is false while the ownership is not valid.
func (c *Core) Pass(now time.Time, mayDecide bool) {
	c.notes, c.dirty = 0, false
	c.refreshWorkers(now)
	c.stopLost(now)
	if !mayDecide {
		return
	}
	c.trackService(now)
	for _, id := range c.ids() {
		c.advance(c.entries[id], now)
	}
	if c.out() {
		return
	}
	c.plan(now)
}

// advance moves one job on where that does not need free places.
func (c *Core) advance(e *entry, now time.Time) {
	if e.record.CancelRequested {
		c.cancel(e, now)
	}
	switch e.phase {
	case phaseSettling:
		if !now.Before(e.readyAt) {
			c.settle(e, now)
		}
	case phaseUnresolved:
		if !now.Before(e.readyAt) {
			e.readyAt = now.Add(c.tuning.RetryPause)
			c.act(Action{Kind: ActionRead, Job: e.record.Spec.ID})
		}
	case phaseQueued:
		if c.out() {
			c.moveAway(e, now)
		}
	case phaseWaiting:
		if c.out() {
			c.requeue(e)
			c.moveAway(e, now)
			return
		}
		c.awaitVictims(e, now)
	case phaseRunning:
		c.watchRunning(e, now)
	case phaseWriting:
		if e.again && !now.Before(e.readyAt) {
			e.again = false
			c.act(Action{Kind: ActionWrite, Job: e.record.Spec.ID, Record: e.record})
		}
	}
}

func (c *Core) cancel(e *entry, now time.Time) {
	switch e.phase {
	case phaseQueued, phaseWaiting:
		c.forget(e)
		c.note(e, now, "cancelled", "requested", nil)
		c.end(e, now, jobs.StateCancelled, cancelledOutcome(e), reply.ReasonCancelled, "cancelled on request")
	case phaseRunning:
		c.stop(e, now, CauseCancelled)
	}
}

// cancelledOutcome is refused, which proves that nothing ran, only for jobs that were never started.
func cancelledOutcome(e *entry) reply.Outcome {
	if e.ran || !e.record.StartedAt.IsZero() {
		return reply.OutcomeFailed
	}
	return reply.OutcomeRefused
}

// watchRunning decides on jobs that run: drain of the data centre, leaving workers and wrong estimates.
func (c *Core) watchRunning(e *entry, now time.Time) {
	class := c.class(e)
	if c.out() {
		deadline := c.set.DataCentres[c.dc].DrainDeadline.Std()
		switch {
		case class.Checkpointable:
			c.stop(e, now, CauseDrain)
		case deadline > 0 && !now.Before(c.outSince.Add(deadline)):
			c.stop(e, now, CauseDeadline)
		}
		return
	}
	if class.Checkpointable && c.onLeavingWorker(e) {
		c.stop(e, now, CauseWorkerLeft)
		return
	}
	declared := e.record.Spec.RunTime.Std()
	if declared > 0 && now.Sub(e.record.StartedAt) > 3*declared {
		c.cluster.SetWeak(e.record.Spec.ID)
	}
	if !e.ranLong && ranLong(e.record, now, c.tuning.ProbeRuns) {
		e.ranLong = true
		c.cleared(e)
	}
}

// trackService remembers since when the data centre is out of service.
func (c *Core) trackService(now time.Time) {
	switch {
	case !c.out():
		c.outSince = time.Time{}
	case c.outSince.IsZero():
		c.outSince = now
		c.event("data-centre", string(c.dc), "drain", "out-of-service", nil)
	}
}

func (c *Core) event(kind, id, action, reason string, inputs map[string]string) {
	c.act(Action{Kind: ActionEvent, Event: Event{SubjectKind: kind, SubjectID: id, Action: action, Reason: reason, Inputs: inputs}})
}

// requeue gives up the places of a job that was not started.
func (c *Core) requeue(e *entry) {
	c.forget(e)
	e.phase = phaseQueued
}

// awaitVictims starts a job when the jobs that it preempted have ended, and plans anew when one of them does not end.
func (c *Core) awaitVictims(e *entry, now time.Time) {
	if len(e.waitFor) == 0 {
		c.begin(e, now)
		return
	}
	if now.Sub(e.plannedAt) > model.MaxStopWithin.Std()+c.tuning.Pass/2 && c.waitsForSilent(e) {
		c.requeue(e)
	}
}

// waitsForSilent reports whether a job that is waited for ends only when its leases or reservations do.
func (c *Core) waitsForSilent(e *entry) bool {
	for id := range e.waitFor {
		if victim, found := c.entries[id]; found && (victim.phase == phaseSettling || victim.phase == phaseUnresolved) {
			return true
		}
	}
	return false
}

// plan places queued jobs in their order until nothing more fits.
func (c *Core) plan(now time.Time) {
	queue := c.queue(now)
	failed := map[string]*place.Blocked{}
	for _, e := range queue {
		if c.starting >= c.tuning.Starts {
			return
		}
		key := fmt.Sprintf("%s\x00%s\x00%s\x00%v", e.record.Spec.Customer, e.record.Spec.Class, e.record.Spec.Shape, e.record.FailedOn)
		if blocked, seen := failed[key]; seen {
			c.block(e, now, blocked)
			continue
		}
		plan, blocked := c.cluster.Plan(c.job(e))
		if blocked != nil && c.mayReturn(e, now) {
			// No other worker takes the job: it may go back to one on which it failed, and ends if it fails there again.
			job := c.job(e)
			job.Avoid = nil
			plan, blocked = c.cluster.Plan(job)
		}
		if blocked != nil {
			failed[key] = blocked
			c.block(e, now, blocked)
			continue
		}
		c.place(e, now, plan)
	}
	c.spill(queue, now)
	c.hold(queue, now)
}

// mayReturn reports whether a job has waited although no other worker than those that it avoids can ever take it.
func (c *Core) mayReturn(e *entry, now time.Time) bool {
	waited := e.blocked != "" && now.Sub(e.blockedSince) >= c.tuning.Suspect
	return len(e.record.FailedOn) > 0 && waited && !c.cluster.Possible(c.job(e))
}

// queue lists the jobs that may start, in order: priority with aging, the customer with the smallest share, and age.
func (c *Core) queue(now time.Time) []*entry {
	var queue []*entry
	for _, e := range c.entries {
		if e.phase == phaseQueued && !now.Before(e.readyAt) {
			queue = append(queue, e)
		}
	}
	slices.SortFunc(queue, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(c.rank(a, now), c.rank(b, now)),
			cmp.Compare(c.share(a), c.share(b)),
			a.record.SubmittedAt.Compare(b.record.SubmittedAt),
			strings.Compare(string(a.record.Spec.ID), string(b.record.Spec.ID)),
		)
	})
	return queue
}

// rank orders a background job that waited long as a normal one; nothing ages into urgent work.
func (c *Core) rank(e *entry, now time.Time) int {
	rank := c.class(e).Priority.Rank()
	if c.tuning.AgeAfter > 0 && rank > model.PriorityNormal.Rank() && now.Sub(e.record.SubmittedAt) >= c.tuning.AgeAfter {
		return model.PriorityNormal.Rank()
	}
	return rank
}

// share is what the customer holds by its weight.
func (c *Core) share(e *entry) float64 {
	customer := e.record.Spec.Customer
	return float64(c.cluster.Used(customer)) / float64(max(1, c.set.Customers[customer].Weight))
}

// place takes the places of a plan and stops the jobs that it preempts.
func (c *Core) place(e *entry, now time.Time, plan place.Plan) {
	c.orders++
	e.order = now.UnixNano() + c.orders
	e.plan, e.plannedAt, e.phase = plan, now, phaseWaiting
	e.waitFor = map[model.JobID]bool{}
	c.cluster.Add(c.job(e), plan)
	for _, id := range slices.Concat(plan.WaitFor, plan.Preempt) {
		e.waitFor[id] = true
	}
	for _, id := range plan.Preempt {
		victim := c.entries[id]
		if victim == nil {
			delete(e.waitFor, id)
			continue
		}
		c.preempt(victim, e, now)
	}
	if len(e.waitFor) == 0 {
		c.begin(e, now)
	}
}

// preempt stops a job for another; a job that was not started yet only loses its places.
func (c *Core) preempt(victim, by *entry, now time.Time) {
	inputs := map[string]string{"by": string(by.record.Spec.ID), "guarantee": string(by.plan.Guarantee)}
	c.note(victim, now, "preempted", string(c.class(by).Priority), inputs)
	switch victim.phase {
	case phaseWaiting:
		c.requeue(victim)
	case phaseRunning:
		c.stop(victim, now, CausePreempted)
	default:
		// A job whose start is under way is stopped as soon as the start has its result.
		victim.cause = CausePreempted
		c.cluster.Stopping(victim.record.Spec.ID)
	}
}

// begin hands a placed job to the gang driver.
func (c *Core) begin(e *entry, now time.Time) {
	if c.starting >= c.tuning.Starts {
		return
	}
	record := &e.record
	record.Attempts++
	record.Owner, record.Token, record.ConfigRevision = c.instance, c.token, c.set.Revision
	record.Placement = placements(*record, c.token, e.plan.Slots)
	record.Lent, record.Guarantee = e.plan.Lent, e.plan.Guarantee
	inputs := map[string]string{"tasks": fmt.Sprint(len(e.plan.Slots)), "waited": now.Sub(record.SubmittedAt).Round(time.Millisecond).String()}
	if e.plan.Guarantee != "" {
		inputs["guarantee"] = fmt.Sprintf("%s/%d", e.plan.Guarantee, e.plan.Copy)
	}
	if e.plan.Lent {
		inputs["lent"] = "true"
	}
	if e.plan.Backfill {
		inputs["backfill"] = "true"
	}
	if len(e.plan.Preempt) > 0 {
		inputs["preempted"] = fmt.Sprint(e.plan.Preempt)
	}
	c.note(e, now, "placed", "", inputs)
	e.phase, e.cause, e.blocked, e.noted = phaseStarting, "", "", ""
	e.ranLong = false
	c.starting++
	c.act(Action{Kind: ActionStart, Job: record.Spec.ID, Record: *record})
}

// block remembers why a job waits, and writes it into the record when it changed, at a bounded rate.
func (c *Core) block(e *entry, now time.Time, blocked *place.Blocked) {
	if e.blocked == "" {
		e.blockedSince = now
	}
	e.blocked = string(blocked.Reason)
	first := e.notedAt.IsZero() && now.Sub(e.blockedSince) < c.tuning.Pass
	if first || e.noted == e.blocked || now.Sub(e.notedAt) < c.tuning.BlockedNote || c.notes >= c.tuning.Notes {
		return
	}
	c.notes++
	e.noted, e.notedAt = e.blocked, now
	c.note(e, now, "blocked", e.blocked, maps.Clone(blocked.Inputs))
	e.phase = phaseWriting
	c.act(Action{Kind: ActionWrite, Job: e.record.Spec.ID, Record: e.record})
}

// hold lets the oldest blocked large job hold racks.
func (c *Core) hold(queue []*entry, now time.Time) {
	holder, _ := c.cluster.Holder()
	if e, found := c.entries[holder]; holder != "" && found && e.phase != phaseRunning && c.cluster.HoldFits(c.job(e)) {
		return
	}
	var oldest *entry
	for _, e := range queue {
		if e.blocked == "" || now.Sub(e.blockedSince) < c.tuning.HoldAfter || !c.cluster.Large(e.record.Spec.Shape) {
			continue
		}
		if e.blocked == string(place.BlockQuota) {
			continue
		}
		if oldest == nil || e.record.SubmittedAt.Before(oldest.record.SubmittedAt) {
			oldest = e
		}
	}
	c.cluster.ReleaseHold()
	if oldest != nil && c.cluster.Hold(c.job(oldest)) {
		_, racks := c.cluster.Holder()
		c.event("job", string(oldest.record.Spec.ID), "holds", "blocked", map[string]string{"racks": fmt.Sprint(racks)})
	}
}

// stop ends the gang of a running job: by a checkpoint where the job can continue from it, otherwise by a kill.
func (c *Core) stop(e *entry, now time.Time, cause Cause) {
	class := c.class(e)
	action := Action{Kind: ActionStop, Job: e.record.Spec.ID, Record: e.record, Mode: worker.ModeKill, Cause: cause}
	keep := cause == CausePreempted || cause == CauseDrain || cause == CauseWorkerLeft
	if keep && class.Checkpointable {
		action.Mode, action.Within = worker.ModeCheckpoint, min(class.StopWithin, model.MaxStopWithin).Std()
	}
	if cause != CausePreempted {
		c.note(e, now, "stopped", string(cause), nil)
	}
	e.phase, e.cause = phaseStopping, cause
	c.cluster.Stopping(e.record.Spec.ID)
	c.act(action)
}

// end makes the record final and writes it.
func (c *Core) end(e *entry, now time.Time, state jobs.State, outcome reply.Outcome, reason reply.Reason, message string) {
	e.record.End(state, outcome, reason, now.UTC(), message)
	e.phase = phaseWriting
	c.act(Action{Kind: ActionWrite, Job: e.record.Spec.ID, Record: e.record})
}
