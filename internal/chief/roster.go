package chief

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// rosterKey holds every worker that may have runs. A worker's own entry can vanish while the worker runs on; the next chief
// must not start again what such a worker may still be running.
const rosterKey = "system-roster"

const rosterLimit = time.Second

type rosterEntry struct {
	ID      model.WorkerID `cbor:"1,keyasint"`
	Address string         `cbor:"2,keyasint"`
	Born    int64          `cbor:"3,keyasint,omitempty"`
}

type roster struct {
	entries  map[model.WorkerID]rosterEntry
	revision kv.Revision
	writing  bool
	retry    bool
}

func (c *Chief) loadRoster(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, rosterLimit)
	defer cancel()
	item, found, err := c.Store.Get(callCtx, rosterKey)
	if err != nil {
		return err
	}
	c.roster = roster{entries: map[model.WorkerID]rosterEntry{}}
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
		c.workers[entry.ID] = &worker{info: info, born: entry.Born, runs: map[runKey]*run{}, roster: true}
	}
	return nil
}

// enrolled reports whether the store holds the worker, so that it may get runs.
func (c *Chief) enrolled(w *worker) bool {
	entry, found := c.roster.entries[w.info.ID]
	return found && entry.Address == w.info.Address
}

// enrol writes the roster when workers have come or gone.
func (c *Chief) enrol() {
	if c.roster.writing || !c.Valid() {
		return
	}
	// A worker that has left must go as well: the next chief waits for the leases of those it does not reach.
	changed := c.roster.retry || len(c.workers) != len(c.roster.entries)
	entries := map[model.WorkerID]rosterEntry{}
	var list []rosterEntry
	for id, w := range c.workers {
		entry := rosterEntry{ID: id, Address: w.info.Address, Born: w.born}
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
	txn := kv.Txn{Expect: []kv.Expect{c.Term.Proof, {Key: rosterKey, Revision: c.roster.revision}}, Writes: []kv.Write{{Key: rosterKey, Value: value}}}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, rosterLimit)
		defer cancel()
		revision, err := c.Store.Txn(ctx, txn)
		c.post(func() { c.rosterWritten(entries, revision, err) })
	}()
}

func (c *Chief) rosterWritten(entries map[model.WorkerID]rosterEntry, revision kv.Revision, err error) {
	c.roster.writing = false
	c.roster.retry = err != nil
	if err != nil {
		var conflict *kv.ConflictError
		if errors.As(err, &conflict) {
			if item, found := conflict.Item(rosterKey); found {
				c.roster.revision = item.Revision
			}
		}
		c.writeFailed("roster", err)
		return
	}
	c.roster.entries, c.roster.revision = entries, revision
	c.dirty = true
}

// writeFailed logs a failed write, and ends the term when its proof does not hold any more.
func (c *Chief) writeFailed(what string, err error) {
	c.Log.Warn().Err(err).Str("what", what).Msg("chief: write failed")
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		if item, found := conflict.Item(c.Term.Proof.Key); !found || item.Revision != c.Term.Proof.Revision {
			c.Deposed()
		}
	}
}
