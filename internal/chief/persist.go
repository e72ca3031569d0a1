package chief

import (
	"context"
	"errors"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	persistLimit = 800 * time.Millisecond
	persistRetry = 120 * time.Millisecond
	// persistPause collects ends before a write, unless a job is over.
	persistPause = 40 * time.Millisecond
	recordBytes  = 512 << 10 // of one transaction at most
)

// batch is what one round of writes makes durable.
type batch struct {
	jobs   []*job
	states []work.State
	seen   map[*worker]work.EndNumber
	txns   []kv.Txn
}

// persist writes the progress of changed jobs. Ends are acknowledged to their workers only afterwards: a worker forgets
// acknowledged ends, and the next chief would start their tasks again.
func (c *Chief) persist() {
	now := c.Now()
	if c.writing || now < c.writeAfter || !c.Valid() {
		return
	}
	var b batch
	urgent := false
	for _, j := range c.jobs {
		if j.dirty {
			b.jobs = append(b.jobs, j)
			urgent = urgent || j.state.Final()
		}
	}
	b.seen = map[*worker]work.EndNumber{}
	for _, w := range c.workers {
		if number := w.notable(); number > w.acked {
			b.seen[w] = number
		}
	}
	if len(b.jobs) == 0 {
		c.acknowledge(b.seen)
		return
	}
	b.build(c)
	c.writing = true
	go func() {
		revisions, err := c.write(b.txns)
		c.post(func() { c.written(b, revisions, err) })
	}()
}

// build encodes the records into transactions.
func (b *batch) build(c *Chief) {
	txn := kv.Txn{Expect: []kv.Expect{c.Term.Proof}}
	bytes := 0
	for _, j := range b.jobs {
		j.dirty = false
		b.states = append(b.states, j.state)
		value, err := work.Encode(j.progress())
		if err != nil {
			c.Log.Error().Err(err).Str("job", string(j.spec.ID)).Msg("chief: progress not encoded")
			continue
		}
		if len(txn.Writes)+len(txn.Expect)+2 > kv.MaxTxnEntries || bytes+len(value) > recordBytes && len(txn.Writes) > 0 {
			b.txns = append(b.txns, txn)
			txn, bytes = kv.Txn{Expect: []kv.Expect{c.Term.Proof}}, 0
		}
		// A write without an answer may be executed seconds later: the record's revision keeps it from replacing a newer one.
		key := work.ProgressKey(j.spec.ID)
		txn.Expect = append(txn.Expect, kv.Expect{Key: key, Revision: j.record})
		txn.Writes = append(txn.Writes, kv.Write{Key: key, Value: value})
		bytes += len(value)
	}
	if len(txn.Writes) > 0 {
		b.txns = append(b.txns, txn)
	}
}

// write executes transactions in order and returns the revisions of those before the first error.
func (c *Chief) write(txns []kv.Txn) ([]kv.Revision, error) {
	var revisions []kv.Revision
	for _, txn := range txns {
		ctx, cancel := context.WithTimeout(c.ctx, persistLimit)
		revision, err := c.Store.Txn(ctx, txn)
		cancel()
		if err != nil {
			return revisions, err
		}
		revisions = append(revisions, revision)
	}
	return revisions, nil
}

// advance notes the revisions of the records that were written, or of those that a conflict has shown.
func (c *Chief) advance(txns []kv.Txn, revisions []kv.Revision, err error) {
	for i, revision := range revisions {
		for _, write := range txns[i].Writes {
			c.noteRecord(write.Key, revision)
		}
	}
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		for _, item := range conflict.Items {
			c.noteRecord(item.Key, item.Revision)
		}
	}
}

func (c *Chief) noteRecord(key string, revision kv.Revision) {
	id, found := strings.CutPrefix(key, work.ProgressPrefix)
	if j := c.jobs[model.JobID(id)]; found && j != nil {
		j.record = max(j.record, revision)
	}
}

func (c *Chief) written(b batch, revisions []kv.Revision, err error) {
	c.writing = false
	c.advance(b.txns, revisions, err)
	if err != nil {
		for _, j := range b.jobs {
			j.dirty = true
		}
		c.writeAfter = c.Now().Add(persistRetry)
		c.later(persistRetry, func() {})
		c.writeFailed("progress", err)
		return
	}
	c.writeAfter = c.Now().Add(persistPause)
	c.later(persistPause, func() {})
	for i, j := range b.jobs {
		if j.shown != b.states[i] {
			j.shown = b.states[i]
			c.show(j)
		}
	}
	c.acknowledge(b.seen)
}

// notable returns the last end that may be taken note of once it is durable.
func (w *worker) notable() work.EndNumber {
	if w.unnoted != 0 {
		return min(w.handled, w.unnoted-1)
	}
	return w.handled
}

// acknowledge lets workers forget ends that are durable.
func (c *Chief) acknowledge(seen map[*worker]work.EndNumber) {
	for w, number := range seen {
		if number > w.acked && number <= w.handled {
			w.acked = number
			c.wake(w)
		}
	}
}

// removeJobs deletes the records of jobs.
func (c *Chief) removeJobs(ids []model.JobID) {
	txn := kv.Txn{Expect: []kv.Expect{c.Term.Proof}}
	for _, id := range ids {
		txn.Remove = append(txn.Remove, work.JobKey(id), work.ProgressKey(id), work.CancelKey(id))
	}
	c.writing = true
	go func() {
		_, err := c.write([]kv.Txn{txn})
		c.post(func() {
			c.writing = false
			if err != nil {
				c.writeAfter = c.Now().Add(persistRetry)
				c.writeFailed("removal", err)
				return
			}
			c.forget(ids)
		})
	}()
}

func (c *Chief) forget(ids []model.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		delete(c.jobs, id)
		delete(c.cancels, id)
		delete(c.answers, id)
	}
}
