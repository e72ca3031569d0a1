package chief

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// The workers that may have runs of a job are stored before the first order goes to each of them. A new leader then waits only for
// the workers of a job, instead of all workers that it does not reach, before it starts the job's tasks. A worker is dropped from the record
// again when all runs of the job there have ended and their ends are stored: nothing is left there that a new leader could wait for.

const (
	// placementsKey exists once leaders store placements. Jobs created earlier may have runs that no record names.
	placementsKey        = "system-placements"
	placementTimeout     = 700 * time.Millisecond
	placementRetryPause  = 100 * time.Millisecond
	maxPlacementsWritten = (kv.MaxTxnEntries - 1) / 2 // each takes a condition and a write, beside the term's condition
	maxPlacementTxns     = 4                          // transactions in flight: a slow store delays each of them
	// placementKeptFor is how long a worker stays in the placement of a job after the job's last run there: the next task of the job often
	// starts on the same worker, and its order would wait for another write.
	placementKeptFor = 250 * time.Millisecond
)

// anyWorker in a stored placement means that there may be runs on workers that it does not name.
const anyWorker model.WorkerID = ""

// placement is the set of workers that may have runs of a job.
type placement struct {
	stored   map[model.WorkerID]bool
	revision kv.Revision // of the stored record; 0 while there is none
	unknown  bool        // any worker may have runs
	writing  bool        // a write of the record is in flight
	// kept holds the workers that are not dropped in this term: they may have runs of an earlier term, or the way in which a run of this term
	// ended leaves room for a late order or an end that is not listed yet.
	kept     map[model.WorkerID]bool
	lastEnds map[model.WorkerID]listedEnd // of the workers that are not kept and on which runs of this term have ended
	outdated bool                         // the record may name workers that are dropped
}

// listedEnd is an end that a worker has listed.
type listedEnd struct {
	number work.EndNumber
	at     clock.Instant
}

// storedPlacement is the record of a job that is not loaded yet.
type storedPlacement struct {
	workers  []model.WorkerID
	revision kv.Revision
	invalid  bool
}

// loadPlacements reads the placements of earlier terms.
func (c *Scheduler) loadPlacements(ctx context.Context) error {
	records, _, err := kv.List(ctx, c.Store, work.PlacementPrefix)
	if err != nil {
		return err
	}
	for _, item := range records {
		workers, err := work.Decode[[]model.WorkerID](item.Value)
		if err != nil {
			c.Log.Error().Err(err).Str("key", item.Key).Msg("chief: placement cannot be decoded; any worker may run the job")
		}
		c.unclaimedPlacements[model.JobID(item.Key[len(work.PlacementPrefix):])] = storedPlacement{workers, item.Revision, err != nil}
	}
	return nil
}

// loadPlacementsMark reads since when placements are stored, and begins to store them if no leader has done so.
func (c *Scheduler) loadPlacementsMark(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	item, found, err := c.Store.Get(ctx, placementsKey)
	if err != nil {
		return err
	}
	c.placementsSince = item.Created
	if found {
		return nil
	}
	c.placementsSince, err = c.Store.Txn(ctx, kv.Txn{
		Expect: []kv.Expect{c.Term.Proof, {Key: placementsKey}}, Writes: []kv.Write{{Key: placementsKey}},
	})
	return err
}

// claimPlacement returns the placement of a job that becomes known.
func (c *Scheduler) claimPlacement(id model.JobID, created kv.Revision) placement {
	p := placement{stored: map[model.WorkerID]bool{}, kept: map[model.WorkerID]bool{}, lastEnds: map[model.WorkerID]listedEnd{}}
	record, found := c.unclaimedPlacements[id]
	delete(c.unclaimedPlacements, id)
	for _, worker := range record.workers {
		p.stored[worker], p.kept[worker] = true, true
	}
	p.revision = record.revision
	p.unknown = record.invalid || p.stored[anyWorker] || !found && created < c.placementsSince
	return p
}

// mayHaveRunsOn reports whether one of some workers may have runs of a job.
func (j *job) mayHaveRunsOn(workers map[model.WorkerID]bool) bool {
	if !j.inherited || len(workers) == 0 {
		return false
	}
	if j.placement.unknown {
		return true
	}
	for id := range workers {
		if j.placement.stored[id] {
			return true
		}
	}
	return false
}

// orderWhenPlaced sends the order of a new run, once its worker is stored as one that may have runs of the job.
func (c *Scheduler) orderWhenPlaced(r *run) {
	if r.task.stage.job.placement.stored[r.worker.info.ID] {
		c.queueStart(r)
		return
	}
	c.unplaced = append(c.unplaced, r)
}

// notePlacedEnd notes how a run ended that was ordered. Its worker can be dropped only if its one order was answered with a run whose end the
// worker has listed. An order that was sent again, or had no answer, may be executed late by the worker's next incarnation; and a run that
// ended in any other way may have an end that is not known here.
func (c *Scheduler) notePlacedEnd(r *run) {
	if r.task == nil || !r.ordered {
		return
	}
	j, id := r.task.stage.job, r.worker.info.ID
	if r.endNumber == 0 || r.attempts != 1 {
		j.placement.kept[id] = true
		return
	}
	last := max(j.placement.lastEnds[id].number, r.endNumber)
	j.placement.lastEnds[id] = listedEnd{number: last, at: c.Now()}
	c.shrinking[j] = true
}

// shrinkPlacements writes the placements of jobs from which workers are to be dropped. It leaves places for the writes that runs wait for.
func (c *Scheduler) shrinkPlacements() {
	if c.placementTxns >= maxPlacementTxns/2 || c.Now() < c.nextPlacementAt || !c.TermValid() {
		return
	}
	var writes []placementWrite
	for j := range c.shrinking {
		if len(writes) == maxPlacementsWritten {
			break
		}
		if j.placement.writing {
			continue
		}
		c.dropWorkers(j)
		switch {
		case j.state.Final(), !j.placement.outdated && len(j.placement.lastEnds) == 0:
			delete(c.shrinking, j)
		case j.placement.outdated:
			writes = append(writes, newPlacementWrite(j))
		}
	}
	if c.encodePlacements(writes) {
		c.sendPlacements(writes)
	}
}

// dropWorkers removes the workers from a job's placement that certainly have no run of the job, and no end that is not stored. The stored
// record may still name them: from here on, no order goes to them before they are stored anew.
func (c *Scheduler) dropWorkers(j *job) {
	for id, end := range j.placement.lastEnds {
		w := c.workers[id]
		if w == nil || j.placement.kept[id] || w.knownSince != 0 {
			delete(j.placement.lastEnds, id) // It stays in this term.
			continue
		}
		// An end that is stored but not acknowledged would be listed again: the next leader would learn of that run's number too late.
		if w.ackedEnd < end.number || c.Now().Sub(end.at) < placementKeptFor || j.hasRunOn(w) {
			continue
		}
		delete(j.placement.lastEnds, id)
		if j.placement.stored[id] {
			delete(j.placement.stored, id)
			j.placement.outdated = true
		}
	}
}

// hasRunOn reports whether a run of a job is on a worker, or may be.
func (j *job) hasRunOn(w *worker) bool {
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			if s.runsOn[w] > 0 {
				return true
			}
		}
	}
	return false
}

// placementWrite is the new record of one job.
type placementWrite struct {
	job     *job
	workers []model.WorkerID
	key     string
	value   []byte
}

// storePlacements writes the placements of runs that wait for them, the first jobs first.
func (c *Scheduler) storePlacements() {
	if c.placementTxns == maxPlacementTxns || len(c.unplaced) == 0 || c.Now() < c.nextPlacementAt || !c.TermValid() {
		return
	}
	c.sendPlacements(c.takePlacements())
}

// sendPlacements writes records in one transaction.
func (c *Scheduler) sendPlacements(writes []placementWrite) {
	if len(writes) == 0 {
		return
	}
	txn := kv.Txn{Expect: []kv.Expect{c.Term.Proof}}
	for _, w := range writes {
		w.job.placement.writing, w.job.placement.outdated = true, false
		txn.Expect = append(txn.Expect, kv.Expect{Key: w.key, Revision: w.job.placement.revision})
		txn.Writes = append(txn.Writes, kv.Write{Key: w.key, Value: w.value})
	}
	c.placementTxns++
	go func() {
		revision, err := c.writePlacements(txn)
		c.post(func() { c.handlePlacementWrite(writes, revision, err) })
	}()
}

// takePlacements returns the records to write, none of which is being written, and forgets runs that have ended before they were
// ordered.
func (c *Scheduler) takePlacements() []placementWrite {
	var writes []placementWrite
	index := map[*job]int{}
	c.unplaced = slices.DeleteFunc(c.unplaced, func(r *run) bool { return !r.present() })
	for _, r := range c.unplaced {
		j := r.task.stage.job
		if j.placement.writing {
			continue
		}
		i, found := index[j]
		if !found {
			if len(writes) == maxPlacementsWritten {
				break
			}
			i = len(writes)
			index[j] = i
			c.dropWorkers(j)
			writes = append(writes, newPlacementWrite(j))
		}
		if id := r.worker.info.ID; !slices.Contains(writes[i].workers, id) {
			writes[i].workers = append(writes[i].workers, id)
		}
	}
	if !c.encodePlacements(writes) {
		return nil
	}
	return writes
}

// newPlacementWrite returns a write of a job's placement as it is known here.
func newPlacementWrite(j *job) placementWrite {
	w := placementWrite{job: j, key: work.PlacementKey(j.spec.ID)}
	for id := range j.placement.stored {
		w.workers = append(w.workers, id)
	}
	if j.placement.unknown && !j.placement.stored[anyWorker] {
		w.workers = append(w.workers, anyWorker)
	}
	return w
}

// encodePlacements encodes records, and reports whether it could.
func (c *Scheduler) encodePlacements(writes []placementWrite) bool {
	for i := range writes {
		value, err := work.Encode(writes[i].workers)
		if err != nil {
			c.Log.Error().Err(err).Str("job", string(writes[i].job.spec.ID)).Msg("chief: placement not encoded")
			return false
		}
		writes[i].value = value
	}
	return true
}

// writePlacements writes records and returns their revision. A repeated write that finds the records as it would write them has
// taken effect before.
func (c *Scheduler) writePlacements(txn kv.Txn) (kv.Revision, error) {
	return kv.Hedged(c.ctx, func(ctx context.Context) (kv.Revision, error) {
		ctx, cancel := context.WithTimeout(ctx, placementTimeout)
		defer cancel()
		revision, err := c.Store.Txn(ctx, txn)
		var conflict *kv.ConflictError
		if errors.As(err, &conflict) {
			if written, ok := writtenBefore(txn, conflict); ok {
				return written, nil
			}
		}
		return revision, err
	})
}

// writtenBefore returns the revision of a transaction's writes if a conflict shows that all have taken effect.
func writtenBefore(txn kv.Txn, conflict *kv.ConflictError) (kv.Revision, bool) {
	var revision kv.Revision
	for _, write := range txn.Writes {
		item, found := conflict.Item(write.Key)
		if !found || !bytes.Equal(item.Value, write.Value) {
			return 0, false
		}
		revision = item.Revision
	}
	proof, found := conflict.Item(txn.Expect[0].Key)
	return revision, found && proof.Revision == txn.Expect[0].Revision
}

// handlePlacementWrite sends the orders of the runs whose workers are stored now.
func (c *Scheduler) handlePlacementWrite(writes []placementWrite, revision kv.Revision, err error) {
	c.placementTxns--
	for _, w := range writes {
		w.job.placement.writing = false
	}
	if err != nil {
		for _, w := range writes {
			w.job.placement.outdated = true
		}
		var conflict *kv.ConflictError
		if errors.As(err, &conflict) {
			for _, w := range writes {
				if item, found := conflict.Item(w.key); found {
					w.job.placement.revision = item.Revision
				}
			}
		}
		c.nextPlacementAt = c.Now().Add(placementRetryPause)
		c.postAfter(placementRetryPause, func() {})
		c.handleWriteError("placement", err)
		return
	}
	for _, w := range writes {
		w.job.placement.revision = revision
		for _, id := range w.workers {
			w.job.placement.stored[id] = true
		}
	}
	var waiting []*run
	for _, r := range c.unplaced {
		switch {
		case !r.present():
		case r.task.stage.job.placement.stored[r.worker.info.ID]:
			c.queueStart(r)
		default:
			waiting = append(waiting, r)
		}
	}
	c.unplaced = waiting
}
