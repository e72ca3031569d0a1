package chief

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	persistTimeout    = 800 * time.Millisecond
	persistRetryPause = 120 * time.Millisecond
	// persistPause is the least time between two writes of progress: one write covers all ends of that time.
	persistPause = 40 * time.Millisecond
	maxTxnBytes  = 512 << 10 // of the records in one transaction
)

// progressBatch is the set of records and ends that one round of writes makes durable.
type progressBatch struct {
	jobs   []*job
	states []work.State
	ends   map[*worker]storedEnd
	txns   []kv.Txn
}

// storedEnd is the last end of a worker that a batch makes durable.
type storedEnd struct {
	number work.EndNumber
	born   int64 // of the incarnation that numbered it
}

// persistProgress writes the progress of changed jobs. Ends are acknowledged to their workers only afterwards: a worker
// forgets acknowledged ends, and the next leader would start their tasks again.
func (c *Scheduler) persistProgress() {
	now := c.Now()
	if c.writeInFlight || now < c.nextWriteAt || !c.TermValid() {
		return
	}
	var b progressBatch
	for _, j := range c.jobs {
		if j.dirty {
			b.jobs = append(b.jobs, j)
		}
	}
	b.ends = map[*worker]storedEnd{}
	for _, w := range c.workers {
		if number := w.ackableEnd(); number > w.durableEnd {
			b.ends[w] = storedEnd{number: number, born: w.born}
		}
	}
	if len(b.jobs) == 0 {
		c.ackEnds(b.ends)
		return
	}
	b.buildTxns(c)
	c.writeInFlight = true
	go func() {
		revisions, err := c.executeTxns(b.txns)
		c.post(func() { c.handleProgressWrite(b, revisions, err) })
	}()
}

// buildTxns encodes the progress of the jobs into transactions.
func (b *progressBatch) buildTxns(c *Scheduler) {
	txn := kv.Txn{Expect: []kv.Expect{c.Term.Proof}}
	bytes := 0
	for _, j := range b.jobs {
		j.dirty = false
		b.states = append(b.states, j.state)
		value, err := work.Encode(j.progressRecord())
		if err != nil {
			c.Log.Error().Err(err).Str("job", string(j.spec.ID)).Msg("chief: progress not encoded")
			continue
		}
		if len(txn.Writes)+len(txn.Expect)+2 > kv.MaxTxnEntries || bytes+len(value) > maxTxnBytes && len(txn.Writes) > 0 {
			b.txns = append(b.txns, txn)
			txn, bytes = kv.Txn{Expect: []kv.Expect{c.Term.Proof}}, 0
		}
		// An unanswered write may be executed seconds later: expecting the record's revision keeps it from replacing a newer one.
		key := work.ProgressKey(j.spec.ID)
		txn.Expect = append(txn.Expect, kv.Expect{Key: key, Revision: j.record})
		txn.Writes = append(txn.Writes, kv.Write{Key: key, Value: value})
		bytes += len(value)
	}
	if len(txn.Writes) > 0 {
		b.txns = append(b.txns, txn)
	}
}

// executeTxns executes transactions in order and returns the revisions of those before the first error.
func (c *Scheduler) executeTxns(txns []kv.Txn) ([]kv.Revision, error) {
	var revisions []kv.Revision
	for _, txn := range txns {
		ctx, cancel := context.WithTimeout(c.ctx, persistTimeout)
		revision, err := c.Store.Txn(ctx, txn)
		cancel()
		if err != nil {
			return revisions, err
		}
		revisions = append(revisions, revision)
	}
	return revisions, nil
}

// updateRevisions stores the revisions of the written progress records in their jobs, and those that a conflict reports.
func (c *Scheduler) updateRevisions(txns []kv.Txn, revisions []kv.Revision, err error) {
	for i, revision := range revisions {
		for _, write := range txns[i].Writes {
			c.updateRevision(write.Key, revision)
		}
	}
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		for _, item := range conflict.Items {
			c.updateRevision(item.Key, item.Revision)
		}
	}
}

func (c *Scheduler) updateRevision(key string, revision kv.Revision) {
	id, found := strings.CutPrefix(key, work.ProgressPrefix)
	if j := c.jobs[model.JobID(id)]; found && j != nil {
		j.record = max(j.record, revision)
	}
}

func (c *Scheduler) handleProgressWrite(b progressBatch, revisions []kv.Revision, err error) {
	c.writeInFlight = false
	c.updateRevisions(b.txns, revisions, err)
	if err != nil {
		for _, j := range b.jobs {
			j.dirty = true
		}
		c.nextWriteAt = c.Now().Add(persistRetryPause)
		c.postAfter(persistRetryPause, func() {})
		c.handleWriteError("progress", err)
		if c.writesFailingSince == 0 {
			c.writesFailingSince = c.Now()
		}
		return
	}
	if c.writesFailingSince != 0 {
		c.Log.Info().Int("jobs", len(b.jobs)).Dur("after", c.Now().Sub(c.writesFailingSince)).Msg("chief: progress stored again")
		c.writesFailingSince = 0
	}
	c.nextWriteAt = c.Now().Add(persistPause)
	c.postAfter(persistPause, func() {})
	for i, j := range b.jobs {
		if j.durableState != b.states[i] {
			j.durableState = b.states[i]
			c.publishState(j)
			if j.durableState.Final() {
				c.markFinalStored(j)
			}
		}
	}
	c.ackEnds(b.ends)
}

// ackableEnd returns the last handled end that may be acknowledged once it is durable.
func (w *worker) ackableEnd() work.EndNumber {
	if w.unackableEnd != 0 {
		return min(w.handledEnd, w.unackableEnd-1)
	}
	return w.handledEnd
}

// ackEnds marks ends as durable; the next poll of a worker acknowledges them.
func (c *Scheduler) ackEnds(ends map[*worker]storedEnd) {
	for w, end := range ends {
		if end.born == w.born && end.number > w.durableEnd && end.number <= w.handledEnd {
			c.Observe.EndStep(EndStored, int(end.number-max(w.durableEnd, w.listedFrom)))
			w.durableEnd = end.number
			c.pollIfDue(w)
		}
	}
}

// removeJobs deletes the stored records of jobs and then forgets the jobs.
func (c *Scheduler) removeJobs(ids []model.JobID) {
	txn := kv.Txn{Expect: []kv.Expect{c.Term.Proof}}
	for _, id := range ids {
		// A removal without an answer may be executed late, when the records are those of another job with the id.
		txn.Expect = append(txn.Expect, kv.Expect{Key: work.JobKey(id), Revision: c.jobs[id].created})
		txn.Remove = append(txn.Remove, work.JobKey(id), work.ProgressKey(id), work.PlacementKey(id), work.CancelKey(id))
	}
	c.writeInFlight = true
	go func() {
		revisions, err := c.executeTxns([]kv.Txn{txn})
		c.post(func() {
			c.writeInFlight = false
			if err != nil {
				c.nextWriteAt = c.Now().Add(persistRetryPause)
				c.handleWriteError("removal", err)
				c.forgetRemoved(ids, err)
				return
			}
			c.Log.Info().Strs("jobs", jobNames(ids)).Uint64("revision", uint64(revisions[0])).Msg("chief: records of ended jobs removed")
			c.forgetJobs(ids)
		})
	}()
}

// forgetRemoved forgets those of some jobs whose records are not there any more, as the conflict of their removal shows: an earlier removal
// without an answer was executed.
func (c *Scheduler) forgetRemoved(ids []model.JobID, err error) {
	var conflict *kv.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	c.forgetJobs(slices.DeleteFunc(slices.Clone(ids), func(id model.JobID) bool {
		item, found := conflict.Item(work.JobKey(id))
		return found && item.Created == c.jobs[id].created
	}))
}

func jobNames(ids []model.JobID) []string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return names
}

func (c *Scheduler) forgetJobs(ids []model.JobID) {
	for _, id := range ids {
		c.forgetJob(id)
		if item, found := c.resubmitted[id]; found {
			delete(c.resubmitted, id)
			c.applyJobItem(item)
		} else {
			delete(c.cancelRequested, id)
		}
	}
}

func (c *Scheduler) forgetJob(id model.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Observe.JobStep(JobRemoved)
	c.lastForgotten = max(c.lastForgotten, c.jobs[id].created)
	c.forgotten[id] = forgottenJob{created: c.jobs[id].created, at: c.Now()}
	delete(c.jobs, id)
	delete(c.durableStates, id)
	c.memory.Remove(id)
}
