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

// Core makes the scheduling decisions of one data centre. It is not safe for concurrent use: Owner.Run calls it from one goroutine.
type Core struct {
	dc       model.DataCentreID
	instance model.InstanceID
	token    model.Token
	tuning   Tuning
	options  place.Options
	config   *model.Set
	cluster  *place.Cluster
	entries  map[model.JobID]*jobEntry
	workers  map[model.WorkerID]*workerHealth
	// clusterWorkers are the workers that were last passed to the cluster, ordered by id.
	clusterWorkers []place.Worker
	// outOfServiceSince is zero while the data centre is in service.
	outOfServiceSince time.Time
	actions           []Action
	// startSeq is the last sequence number used for jobEntry.startOrder.
	startSeq       int64
	startsInFlight int
	// notesInPass counts the writes in this pass that only explain why a job waits.
	notesInPass int
	// lostCause describes how a higher fencing token was seen; it is empty until then.
	lostCause string
	// dirty is true after an event that may need a decision in the next pass.
	dirty bool
	// inheritedEnds are the final records that an earlier owner on this instance could not store.
	inheritedEnds map[model.JobID]jobs.Record
	tombstone     map[model.JobID]tombstone
	// loads are the summaries of all data centres, by which moves choose their target.
	loads []LoadSummary
	// outgoing are moves of the last summaryLag, which the summaries may not include yet.
	outgoing []outgoing
}

// tombstone is the last known version of a dropped record. Until the given time, a watch may still deliver an older version, which
// must not create the job again.
type tombstone struct {
	version store.Version
	until   time.Time
}

// NewCore returns the Core of a data centre that was just acquired with a fencing token.
func NewCore(
	dc model.DataCentreID, instance model.InstanceID, token model.Token, config *model.Set, tuning Tuning, options place.Options,
) *Core {
	return &Core{
		dc: dc, instance: instance, token: token, tuning: tuning, options: options, config: config,
		cluster: place.NewClusterWithOptions(config, dc, options),
		entries: map[model.JobID]*jobEntry{}, workers: map[model.WorkerID]*workerHealth{}, tombstone: map[model.JobID]tombstone{},
	}
}

// SetConfig applies a new configuration. Unchanged guarantees keep their bindings.
func (c *Core) SetConfig(config *model.Set) {
	if config == c.config {
		return
	}
	c.config = config
	c.cluster.Reconfigure(config)
	c.dirty = true
}

// restoreCluster rebuilds the cluster from the jobs that hold capacity.
func (c *Core) restoreCluster() {
	var running []place.Running
	for _, id := range c.jobIDs() {
		if e := c.entries[id]; e.holdsCapacity() {
			running = append(running, place.Running{Job: c.placementJob(e), Slots: e.plan.Slots, Lent: e.plan.Lent, Guarantee: e.record.Guarantee})
		}
	}
	c.cluster.Restore(c.clusterWorkers, running)
	for _, id := range c.jobIDs() {
		if e := c.entries[id]; e.phase == phaseStopping || e.phase == phaseLeaseExpiry {
			c.cluster.MarkStopping(id)
		}
	}
}

// holdsCapacity reports whether the job occupies accelerators in the cluster.
func (e *jobEntry) holdsCapacity() bool {
	return len(e.plan.Slots) > 0 && e.phase != phaseQueued && e.phase != phaseWriting
}

func (c *Core) jobIDs() []model.JobID {
	jobIDs := make([]model.JobID, 0, len(c.entries))
	for id := range c.entries {
		jobIDs = append(jobIDs, id)
	}
	slices.Sort(jobIDs)
	return jobIDs
}

func (c *Core) placementJob(entry *jobEntry) place.Job {
	spec := entry.record.Spec
	// Only the most recent workers are avoided, so that a long list does not rule out the whole data centre for the job.
	avoid := entry.record.FailedOn[max(0, len(entry.record.FailedOn)-maxAvoidedWorkers):]
	return place.Job{
		ID: spec.ID, Customer: spec.Customer, Class: spec.Class, Shape: spec.Shape, Order: entry.startOrder, Avoid: avoid,
	}
}

// maxAvoidedWorkers limits the workers that a job avoids because it failed there.
const maxAvoidedWorkers = 2

func (c *Core) jobClass(e *jobEntry) model.JobClass { return c.config.JobClasses[e.record.Spec.Class] }

func (c *Core) outOfService() bool { return c.config.DataCentres[c.dc].Service != model.ServiceIn }

func (c *Core) addAction(action Action) {
	c.actions = append(c.actions, action)
	c.dirty = true
}

// Dirty reports whether an event since the last pass may need a decision.
func (c *Core) Dirty() bool { return c.dirty }

// Unstored returns the final records that were decided but are not stored yet.
func (c *Core) Unstored() []jobs.Record {
	var ends []jobs.Record
	for _, id := range c.jobIDs() {
		if entry := c.entries[id]; entry.phase == phaseWriting && entry.record.State.Ended() {
			ends = append(ends, entry.record)
		}
	}
	return ends
}

// InheritEnds sets the final records that an earlier owner on the same instance could not store because the store was down. When
// ApplyRecord reads the record of the same attempt, the inherited one is written.
func (c *Core) InheritEnds(ends []jobs.Record) {
	c.inheritedEnds = make(map[model.JobID]jobs.Record, len(ends))
	for _, end := range ends {
		c.inheritedEnds[end.Spec.ID] = end
	}
}

// TakeActions returns the actions decided since the last call.
func (c *Core) TakeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) addNote(entry *jobEntry, now time.Time, action, reason string, inputs map[string]string) {
	entry.record.Note(jobs.Note{
		At: now.UTC(), Instance: c.instance, Action: action, Reason: reason, Revision: c.config.Revision, Inputs: inputs,
	})
}

// ApplyRecord processes a record that was read from the store. While an action on a job is under way, only the record's cancel
// request is used.
func (c *Core) ApplyRecord(record jobs.Record, now time.Time) {
	id := record.Spec.ID
	c.dirty = true
	if record.Token > c.token {
		c.lostCause = fmt.Sprintf("record of job %q has a higher token", id)
		return
	}
	entry, found := c.entries[id]
	if found {
		c.updateRecord(entry, record, now)
		return
	}
	if tombstone, known := c.tombstone[id]; record.State.Ended() ||
		(known && record.Version <= tombstone.version && now.Before(tombstone.until)) {
		return
	}
	delete(c.tombstone, id)
	entry = &jobEntry{record: record}
	c.entries[id] = entry
	if end, known := c.inheritedEnds[id]; known && end.Token == record.Token && end.Attempts == record.Attempts {
		delete(c.inheritedEnds, id)
		end.Version, end.Owner, end.Token = record.Version, c.instance, c.token
		entry.record, entry.phase = end, phaseWriting
		c.addAction(Action{Kind: ActionWrite, Job: id, Record: end})
		return
	}
	switch record.State {
	case jobs.StateMoved:
		entry.phase = phaseWriting
		c.addAction(Action{Kind: ActionCompleteMove, Job: id, Record: record})
	case jobs.StateStarting, jobs.StateRunning, jobs.StateStopping, jobs.StateReserving:
		c.adoptGang(entry, now)
	default:
		entry.phase = phaseQueued
	}
}

// updateRecord applies a newer version of a known record.
func (c *Core) updateRecord(entry *jobEntry, record jobs.Record, now time.Time) {
	if record.Version <= entry.record.Version {
		return
	}
	switch entry.phase {
	case phaseQueued, phaseAwaitingStops, phaseRunning, phaseLeaseExpiry, phaseInDoubt:
	default:
		// An action on the record is under way; its compare-and-swap detects the newer version.
		entry.record.CancelRequested = entry.record.CancelRequested || record.CancelRequested
		return
	}
	// An earlier owner recorded a start after the take-over, so its tasks may already run on these workers.
	if entry.phase != phaseRunning && record.State == jobs.StateStarting && record.Token < c.token {
		c.releaseCapacity(entry)
		entry.record = record
		c.adoptGang(entry, now)
		return
	}
	if record.State.Ended() {
		c.dropJob(entry, record, now)
		return
	}
	entry.record = record
	if record.State == jobs.StateMoved && entry.phase == phaseQueued {
		entry.phase = phaseWriting
		c.addAction(Action{Kind: ActionCompleteMove, Job: record.Spec.ID, Record: record})
	}
}

// adoptGang takes over a gang that an earlier owner started or was starting.
func (c *Core) adoptGang(entry *jobEntry, now time.Time) {
	for _, p := range entry.record.Placement {
		entry.plan.Slots = append(entry.plan.Slots, place.Slot{Worker: p.Worker, Rack: p.Rack, Accelerators: p.Accelerators})
	}
	entry.plan.Lent = entry.record.Lent
	c.startSeq++
	entry.startOrder = c.startSeq
	if !entry.record.StartedAt.IsZero() {
		entry.startOrder = entry.record.StartedAt.UnixNano()
	}
	state := entry.record.State
	entry.record.Owner, entry.record.Token = c.instance, c.token
	entry.mayHaveRun = true
	if len(entry.record.Placement) == 0 {
		entry.phase = phaseQueued
		return
	}
	c.cluster.Add(c.placementJob(entry), entry.plan)
	switch state {
	case jobs.StateRunning:
		entry.phase, entry.runningSince = phaseRunning, now
		for _, p := range entry.record.Placement {
			c.scheduleRenewal(p.Worker, now)
		}
	case jobs.StateStopping:
		c.stopGang(entry, now, CauseTakeOver)
	default:
		entry.phase = phaseStarting
		c.startsInFlight++
		c.addNote(entry, now, "recovered", "owner-changed", nil)
		c.addAction(Action{Kind: ActionRecover, Job: entry.record.Spec.ID, Record: entry.record})
	}
}

// dropJob removes a job whose record is final or was deleted.
func (c *Core) dropJob(entry *jobEntry, last jobs.Record, now time.Time) {
	c.releaseCapacity(entry)
	delete(c.entries, entry.record.Spec.ID)
	for id, old := range c.tombstone {
		if !now.Before(old.until) {
			delete(c.tombstone, id)
		}
	}
	// A full listing after this time returns the current version of every record.
	c.tombstone[entry.record.Spec.ID] = tombstone{version: max(last.Version, entry.record.Version), until: now.Add(c.tuning.List / 2)}
}

// RemoveRecord processes the removal of a record from the store.
func (c *Core) RemoveRecord(id model.JobID) {
	if entry, found := c.entries[id]; found && (entry.phase == phaseQueued || entry.phase == phaseAwaitingStops) {
		c.releaseCapacity(entry)
		delete(c.entries, id)
	}
}

// releaseCapacity frees the capacity of a job in the cluster, and other jobs no longer wait for its end.
func (c *Core) releaseCapacity(entry *jobEntry) {
	c.dirty = true
	id := entry.record.Spec.ID
	c.cluster.Remove(id)
	entry.plan, entry.awaitedStops = place.Plan{}, nil
	for _, other := range c.entries {
		delete(other.awaitedStops, id)
	}
}

// LoadSummary returns the load of the data centre.
func (c *Core) LoadSummary() LoadSummary {
	free, largest := c.cluster.Free()
	summary := LoadSummary{
		DataCentre: c.dc, Owner: c.instance, Free: free, LargestRackFree: largest, Total: c.cluster.Total(),
	}
	for _, entry := range c.entries {
		size := c.config.Shapes[entry.record.Spec.Shape].Accelerators()
		switch entry.phase {
		case phaseRunning, phaseStarting, phaseStopping:
			summary.Running++
			summary.RunningAccelerators += size
		case phaseQueued, phaseAwaitingStops:
			summary.Queued++
			summary.QueuedAccelerators += size
		}
	}
	return summary
}

// Fragmentation returns place.Cluster.Fragmentation for the shapes of the queued jobs: a share of the free accelerators.
func (c *Core) Fragmentation() float64 {
	var queued []model.ShapeID
	for _, entry := range c.entries {
		if entry.phase == phaseQueued {
			queued = append(queued, entry.record.Spec.Shape)
		}
	}
	slices.Sort(queued)
	return c.cluster.Fragmentation(slices.Compact(queued))
}

// Unbound returns the copies of guarantees that cannot be bound now.
func (c *Core) Unbound() []place.Unbound { return c.cluster.Unbound() }

// queueLengths counts the queued jobs by customer and class.
func (c *Core) queueLengths() map[queueKey]int {
	lengths := map[queueKey]int{}
	for _, entry := range c.entries {
		if entry.phase == phaseQueued || entry.phase == phaseAwaitingStops {
			lengths[queueKey{customer: entry.record.Spec.Customer, class: entry.record.Spec.Class}]++
		}
	}
	return lengths
}

// newPlacements creates the task and reservation ids of an attempt. Ids are unique per attempt, so that a late call for an
// earlier attempt cannot affect a later one.
func newPlacements(record jobs.Record, token model.Token, slots []place.Slot) []jobs.Placement {
	placements := make([]jobs.Placement, 0, len(slots))
	for i, slot := range slots {
		id := fmt.Sprintf("%s/%d.%d.%d", record.Spec.ID, token, record.Attempts, i)
		placements = append(placements, jobs.Placement{
			Task: model.TaskID(id), Worker: slot.Worker, Rack: slot.Rack, Accelerators: slot.Accelerators,
			Reservation: model.ReservationID(id),
		})
	}
	return placements
}
