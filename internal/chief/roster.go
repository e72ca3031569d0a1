package chief

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// rosterKey is the key of the list of all workers that may have runs. A worker's registry entry can expire while the worker
// runs on, and the next leader must not start again what such a worker may still be running.
const rosterKey = "system-roster"

const rosterTimeout = time.Second

// rosterEntry is a worker in the stored roster.
type rosterEntry struct {
	ID      model.WorkerID `cbor:"1,keyasint"`
	Address string         `cbor:"2,keyasint"`
	Born    int64          `cbor:"3,keyasint,omitempty"` // as in work.WorkerInfo; 0 if unknown
	Stop    *leaseStop     `cbor:"4,keyasint,omitempty"` // nil while leaders may extend its leases
}

// roster is the stored roster as this instance last read or wrote it.
type roster struct {
	entries     map[model.WorkerID]rosterEntry
	stops       map[model.WorkerID]bool // workers for which the stored roster may have a leaseStop, by a write without an answer too
	revision    kv.Revision
	writing     bool // a write is in flight
	retryNeeded bool // the last write failed
	stale       bool // it has not been compared with the workers since they may have changed
}

func (c *Scheduler) loadRoster(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	item, found, err := c.Store.Get(callCtx, rosterKey)
	if err != nil {
		return err
	}
	c.roster = roster{entries: map[model.WorkerID]rosterEntry{}, stops: map[model.WorkerID]bool{}}
	if !found {
		return nil
	}
	entries, err := work.Decode[[]rosterEntry](item.Value)
	if err != nil {
		return err
	}
	c.roster.revision = item.Revision
	for _, entry := range entries {
		c.roster.entries[entry.ID] = entry
		info := work.WorkerInfo{ID: entry.ID, Address: entry.Address, Born: entry.Born}
		w := &worker{info: info, born: entry.Born, runs: map[runKey]*run{}, roster: true}
		c.workers[entry.ID] = w
		if entry.Stop != nil {
			c.roster.stops[entry.ID] = true
			c.inheritStop(w, *entry.Stop)
		}
	}
	return nil
}

// inRoster reports whether the stored roster has the worker at its address; only then may it get runs.
func (c *Scheduler) inRoster(w *worker) bool {
	entry, found := c.roster.entries[w.info.ID]
	return found && entry.Address == w.info.Address
}

// saveRoster writes the roster if workers were added, removed or moved, or their leaseStops are outdated. What it cannot write now is
// written on a later tick: the registry need not report a worker again.
func (c *Scheduler) saveRoster() {
	c.roster.stale = true
	if c.roster.writing || !c.TermValid() {
		return
	}
	c.roster.stale = false
	// A worker that has left must be removed too: the next leader waits for the leases of those it cannot reach.
	now := c.Now()
	changed := c.roster.retryNeeded || len(c.workers) != len(c.roster.entries) || c.leaseStopsOutdated(now)
	entries := map[model.WorkerID]rosterEntry{}
	var list []rosterEntry
	for id, w := range c.workers {
		entry := rosterEntry{ID: id, Address: w.info.Address, Born: w.born, Stop: c.leaseStopOf(w, now)}
		entries[id] = entry
		list = append(list, entry)
		if old, found := c.roster.entries[id]; !found || old.Address != entry.Address {
			changed = true
		}
	}
	if !changed {
		return
	}
	value, err := work.Encode(list)
	if err != nil {
		c.Log.Error().Err(err).Msg("chief: roster not encoded")
		return
	}
	c.roster.writing = true
	// Expecting the revision keeps an unanswered write, which may be executed seconds later, from replacing a newer one.
	txn := kv.Txn{Expect: []kv.Expect{c.Term.Proof, {Key: rosterKey, Revision: c.roster.revision}}, Writes: []kv.Write{{Key: rosterKey, Value: value}}}
	if c.stopLeases(list) {
		txn.Writes = append(txn.Writes, kv.Write{Key: elect.NoticeKey})
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, rosterTimeout)
		defer cancel()
		revision, err := c.Store.Txn(ctx, txn)
		c.post(func() { c.handleRosterWrite(entries, revision, err) })
	}()
}

func (c *Scheduler) handleRosterWrite(entries map[model.WorkerID]rosterEntry, revision kv.Revision, err error) {
	c.roster.writing = false
	c.roster.retryNeeded = err != nil
	if err != nil {
		c.roster.stale = true
		var conflict *kv.ConflictError
		if errors.As(err, &conflict) {
			if item, found := conflict.Item(rosterKey); found {
				c.roster.revision = item.Revision
			}
		}
		c.handleWriteError("roster", err)
		return
	}
	c.resumeLeases(entries)
	c.roster.entries, c.roster.revision = entries, revision
	c.dirty = true
}

// handleWriteError logs a failed write, and reports the term as ended if the term's record in the store has changed.
func (c *Scheduler) handleWriteError(what string, err error) {
	c.Log.Warn().Err(err).Str("what", what).Msg("chief: write failed")
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		if item, found := conflict.Item(c.Term.Proof.Key); !found || item.Revision != c.Term.Proof.Revision {
			c.EndTerm()
		}
	}
}
