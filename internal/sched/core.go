package sched

import (
	"fmt"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// Core holds the decisions of one data centre. It is not safe for concurrent use.
type Core struct {
	dc       model.DataCentreID
	instance model.InstanceID
	token    model.Token
	tuning   Tuning
	options  place.Options
	set      *model.Set
	cluster  *place.Cluster
	entries  map[model.JobID]*entry
	workers  map[model.WorkerID]*health
	placed   []place.Worker
	outSince time.Time
	actions  []Action
	orders   int64
	starting int
	notes    int
	lostTo   string
	// dirty is true when something happened that a pass may act on.
	dirty bool
	// inherited are ends of jobs that an owner of this instance with an earlier token could not store.
	inherited map[model.JobID]jobs.Record
	dropped   map[model.JobID]dropped
	// loads are the summaries of all data centres, for moves.
	loads    []Summary
	outgoing []outgoing
}

// dropped is the last version of a record that the core has finished with. A watch may still deliver an older version.
type dropped struct {
	version store.Version
	until   time.Time
}

// NewCore returns the decisions of a data centre that was just acquired with a token.
func NewCore(
	dc model.DataCentreID, instance model.InstanceID, token model.Token, set *model.Set, tuning Tuning, options place.Options,
) *Core {
	return &Core{
		dc: dc, instance: instance, token: token, tuning: tuning, options: options, set: set,
		cluster: place.NewVariant(set, dc, options),
		entries: map[model.JobID]*entry{}, workers: map[model.WorkerID]*health{}, dropped: map[model.JobID]dropped{},
	}
}

// SetConfig applies a new configuration; guarantees that it does not change keep their binding.
func (c *Core) SetConfig(set *model.Set) {
	if set == c.set {
		return
	}
	c.set = set
	c.cluster.Reconfigure(set)
	c.dirty = true
}

// restore gives the cluster all jobs that hold places.
func (c *Core) restore() {
	var running []place.Running
	for _, id := range c.ids() {
		if e := c.entries[id]; e.holds() {
			running = append(running, place.Running{Job: c.job(e), Slots: e.plan.Slots, Lent: e.plan.Lent, Guarantee: e.record.Guarantee})
		}
	}
	c.cluster.Restore(c.placed, running)
	for _, id := range c.ids() {
		if e := c.entries[id]; e.phase == phaseStopping || e.phase == phaseSettling {
			c.cluster.Stopping(id)
		}
	}
}

// holds reports whether the job takes places.
func (e *entry) holds() bool {
	return len(e.plan.Slots) > 0 && e.phase != phaseQueued && e.phase != phaseWriting
}

func (c *Core) ids() []model.JobID {
	ids := make([]model.JobID, 0, len(c.entries))
	for id := range c.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) job(e *entry) place.Job {
	spec := e.record.Spec
	// Only the last workers are avoided, so that a long list does not close the data centre for the job.
	avoid := e.record.FailedOn[max(0, len(e.record.FailedOn)-avoided):]
	return place.Job{
		ID: spec.ID, Customer: spec.Customer, Class: spec.Class, Shape: spec.Shape, Order: e.order, Avoid: avoid,
	}
}

// avoided bounds the workers that a job avoids because it failed there.
const avoided = 2

func (c *Core) class(e *entry) model.JobClass { return c.set.JobClasses[e.record.Spec.Class] }

func (c *Core) out() bool { return c.set.DataCentres[c.dc].Service != model.ServiceIn }

func (c *Core) act(action Action) {
	c.actions = append(c.actions, action)
	c.dirty = true
}

// Dirty reports whether something happened since the last pass that the next one may act on.
func (c *Core) Dirty() bool { return c.dirty }

// Unstored lists the ends of jobs that were decided but not stored yet.
func (c *Core) Unstored() []jobs.Record {
	var ends []jobs.Record
	for _, id := range c.ids() {
		if e := c.entries[id]; e.phase == phaseWriting && e.record.State.Ended() {
			ends = append(ends, e.record)
		}
	}
	return ends
}

// Inherit gives the core the ends that an earlier owner of the same instance could not store, because the store was down.
func (c *Core) Inherit(ends []jobs.Record) {
	c.inherited = make(map[model.JobID]jobs.Record, len(ends))
	for _, end := range ends {
		c.inherited[end.Spec.ID] = end
	}
}

// Take returns the actions decided since the last call.
func (c *Core) Take() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) note(e *entry, now time.Time, action, reason string, inputs map[string]string) {
	e.record.Note(jobs.Note{
		At: now.UTC(), Instance: c.instance, Action: action, Reason: reason, Revision: c.set.Revision, Inputs: inputs,
	})
}

// Seen tells the core about a record that it read. Records that it works on only pass on their cancel mark.
func (c *Core) Seen(record jobs.Record, now time.Time) {
	id := record.Spec.ID
	c.dirty = true
	if record.Token > c.token {
		c.lostTo = fmt.Sprintf("record of job %q has a higher token", id)
		return
	}
	e, found := c.entries[id]
	if found {
		c.update(e, record, now)
		return
	}
	if dropped, known := c.dropped[id]; record.State.Ended() || (known && record.Version <= dropped.version && now.Before(dropped.until)) {
		return
	}
	delete(c.dropped, id)
	e = &entry{record: record}
	c.entries[id] = e
	if end, known := c.inherited[id]; known && end.Token == record.Token && end.Attempts == record.Attempts {
		delete(c.inherited, id)
		end.Version, end.Owner, end.Token = record.Version, c.instance, c.token
		e.record, e.phase = end, phaseWriting
		c.act(Action{Kind: ActionWrite, Job: id, Record: end})
		return
	}
	switch record.State {
	case jobs.StateMoved:
		e.phase = phaseWriting
		c.act(Action{Kind: ActionCompleteMove, Job: id, Record: record})
	case jobs.StateStarting, jobs.StateRunning, jobs.StateStopping, jobs.StateReserving:
		c.adopt(e, now)
	default:
		e.phase = phaseQueued
	}
}

// update takes a newer version of a known record.
func (c *Core) update(e *entry, record jobs.Record, now time.Time) {
	if record.Version <= e.record.Version {
		return
	}
	switch e.phase {
	case phaseQueued, phaseWaiting, phaseRunning, phaseSettling, phaseUnresolved:
	default:
		// An action on the record is under way; it notices the newer version by its compare-and-swap.
		e.record.CancelRequested = e.record.CancelRequested || record.CancelRequested
		return
	}
	// A start that an earlier owner recorded after the take-over: its places may be in use.
	if e.phase != phaseRunning && record.State == jobs.StateStarting && record.Token < c.token {
		c.forget(e)
		e.record = record
		c.adopt(e, now)
		return
	}
	if record.State.Ended() {
		c.drop(e, record, now)
		return
	}
	e.record = record
	if record.State == jobs.StateMoved && e.phase == phaseQueued {
		e.phase = phaseWriting
		c.act(Action{Kind: ActionCompleteMove, Job: record.Spec.ID, Record: record})
	}
}

// adopt takes over a gang that an earlier owner started.
func (c *Core) adopt(e *entry, now time.Time) {
	for _, p := range e.record.Placement {
		e.plan.Slots = append(e.plan.Slots, place.Slot{Worker: p.Worker, Rack: p.Rack, Accelerators: p.Accelerators})
	}
	e.plan.Lent = e.record.Lent
	c.orders++
	e.order = c.orders
	if !e.record.StartedAt.IsZero() {
		e.order = e.record.StartedAt.UnixNano()
	}
	state := e.record.State
	e.record.Owner, e.record.Token = c.instance, c.token
	e.ran = true
	if len(e.record.Placement) == 0 {
		e.phase = phaseQueued
		return
	}
	c.cluster.Add(c.job(e), e.plan)
	switch state {
	case jobs.StateRunning:
		e.phase, e.since = phaseRunning, now
		for _, p := range e.record.Placement {
			c.renewSoon(p.Worker, now)
		}
	case jobs.StateStopping:
		c.stop(e, now, CauseTakeOver)
	default:
		e.phase = phaseStarting
		c.starting++
		c.note(e, now, "recovered", "owner-changed", nil)
		c.act(Action{Kind: ActionRecover, Job: e.record.Spec.ID, Record: e.record})
	}
}

// drop finishes with a job whose record is final or gone.
func (c *Core) drop(e *entry, last jobs.Record, now time.Time) {
	c.forget(e)
	delete(c.entries, e.record.Spec.ID)
	for id, old := range c.dropped {
		if !now.Before(old.until) {
			delete(c.dropped, id)
		}
	}
	// A listing after this time shows every record as it is.
	c.dropped[e.record.Spec.ID] = dropped{version: max(last.Version, e.record.Version), until: now.Add(c.tuning.List / 2)}
}

// Gone tells the core that a record was removed from the store.
func (c *Core) Gone(id model.JobID) {
	if e, found := c.entries[id]; found && (e.phase == phaseQueued || e.phase == phaseWaiting) {
		c.forget(e)
		delete(c.entries, id)
	}
}

// forget gives up the places of a job.
func (c *Core) forget(e *entry) {
	c.dirty = true
	id := e.record.Spec.ID
	c.cluster.Remove(id)
	e.plan, e.waitFor = place.Plan{}, nil
	for _, other := range c.entries {
		delete(other.waitFor, id)
	}
}

// Summary returns the load of the data centre.
func (c *Core) Summary() Summary {
	free, largest := c.cluster.Free()
	summary := Summary{
		DataCentre: c.dc, Owner: c.instance, Free: free, LargestRackFree: largest, Total: c.cluster.Total(),
	}
	for _, e := range c.entries {
		size := c.set.Shapes[e.record.Spec.Shape].Accelerators()
		switch e.phase {
		case phaseRunning, phaseStarting, phaseStopping:
			summary.Running++
			summary.RunningAccelerators += size
		case phaseQueued, phaseWaiting:
			summary.Queued++
			summary.QueuedAccelerators += size
		}
	}
	return summary
}

// Fragmentation is that of the cluster with the shapes of the queued jobs.
func (c *Core) Fragmentation() float64 {
	var queued []model.ShapeID
	for _, e := range c.entries {
		if e.phase == phaseQueued {
			queued = append(queued, e.record.Spec.Shape)
		}
	}
	slices.Sort(queued)
	return c.cluster.Fragmentation(slices.Compact(queued))
}

// Unbound lists the guaranteed copies that cannot be bound now.
func (c *Core) Unbound() []place.Unbound { return c.cluster.Unbound() }

// queueLengths counts the queued jobs by customer and class.
func (c *Core) queueLengths() map[queueKey]int {
	lengths := map[queueKey]int{}
	for _, e := range c.entries {
		if e.phase == phaseQueued || e.phase == phaseWaiting {
			lengths[queueKey{customer: e.record.Spec.Customer, class: e.record.Spec.Class}]++
		}
	}
	return lengths
}

// placements names tasks and reservations of an attempt; ids of attempts differ, so that a late call for an earlier
// attempt does not concern a later one.
func placements(record jobs.Record, token model.Token, slots []place.Slot) []jobs.Placement {
	placed := make([]jobs.Placement, 0, len(slots))
	for i, slot := range slots {
		id := fmt.Sprintf("%s/%d.%d.%d", record.Spec.ID, token, record.Attempts, i)
		placed = append(placed, jobs.Placement{
			Task: model.TaskID(id), Worker: slot.Worker, Rack: slot.Rack, Accelerators: slot.Accelerators,
			Reservation: model.ReservationID(id),
		})
	}
	return placed
}
