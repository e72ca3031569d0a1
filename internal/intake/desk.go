package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	tryLimit = 600 * time.Millisecond
	tryPause = 60 * time.Millisecond
	// relayAfter is how long a try may go without an answer before another instance is asked as well.
	relayAfter = 200 * time.Millisecond
	retryAfter = time.Second
	// replyMargin is kept of the caller's time for the way back.
	replyMargin = 250 * time.Millisecond
	// refuseAfter is how long a call that certainly changed nothing is tried again.
	refuseAfter   = 900 * time.Millisecond
	ownerLimit    = 400 * time.Millisecond
	pendingFresh  = 500 * time.Millisecond
	maxRemembered = 20_000
)

// RefusedError reports a change that certainly did not and will not take effect.
type RefusedError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error gives the cause.
func (e *RefusedError) Error() string { return fmt.Sprintf("not done: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// DoubtError reports a change that may have taken effect or may still do so. It does not unwrap: its cause may be the
// refusal of the last of several tries.
type DoubtError struct{ Cause error }

// Error gives the cause.
func (e *DoubtError) Error() string { return fmt.Sprintf("result unknown: %v", e.Cause) }

// UnknownJobError reports a job that does not exist.
type UnknownJobError struct{ ID model.JobID }

// Error names the job.
func (e *UnknownJobError) Error() string { return fmt.Sprintf("job %s does not exist", e.ID) }

var errNoTime = errors.New("the caller does not wait long enough") //nolint:gochecknoglobals // a constant error

// Owner answers from the memory of the instance that schedules.
type Owner struct {
	// State returns a job's state; found is false when the owner does not know the job.
	State func(ctx context.Context, id model.JobID) (state work.State, found bool, err error)
	// Pending counts the jobs of each queue of which no task has started.
	Pending func(ctx context.Context) (map[work.QueueName]int, error)
}

// Change is a submission or a cancelling that another instance may carry out.
type Change struct {
	Submit *work.Job   `cbor:"1,keyasint,omitempty"`
	Cancel model.JobID `cbor:"2,keyasint,omitempty"`
}

// Desk handles job calls of one instance. Fields are set before use.
type Desk struct {
	Store *kv.Store
	Owner Owner
	Log   zerolog.Logger
	Now   func() time.Time // time of day
	// Relay has another instance carry out a change, once; nil for none. Its errors are those of Apply.
	Relay func(ctx context.Context, change Change) error

	mu       sync.Mutex
	final    map[model.JobID]work.State
	accepted map[model.JobID]bool
	counts   map[work.QueueName]int
	counted  time.Time
}

// Submit makes a job durable. A RefusedError says that it never runs; with any other error it may.
func (d *Desk) Submit(ctx context.Context, job *work.Job) error {
	job.Accepted = d.Now()
	err := d.change(ctx, Change{Submit: job})
	d.Log.Info().Str("job", string(job.ID)).Str("queue", string(job.Queue)).Err(err).Msg("intake: job submitted")
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.accepted == nil || len(d.accepted) >= maxRemembered {
			d.accepted = map[model.JobID]bool{}
		}
		d.accepted[job.ID] = true
	}
	return err
}

// Cancel makes the cancelling of a job durable.
func (d *Desk) Cancel(ctx context.Context, id model.JobID) error {
	err := d.change(ctx, Change{Cancel: id})
	d.Log.Info().Str("job", string(id)).Err(err).Msg("intake: job cancelled")
	return err
}

// change carries out a change here or, when the store does not serve this instance, through another one.
func (d *Desk) change(ctx context.Context, change Change) error {
	if limit, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, limit.Add(-replyMargin))
		defer cancel()
	}
	started := time.Now()
	doubtful := false
	if ctx.Err() != nil {
		return &RefusedError{Cause: errNoTime, RetryAfter: retryAfter}
	}
	for {
		err, doubt := d.round(ctx, change)
		if final(err) {
			return err
		}
		doubtful = doubtful || doubt
		if !doubtful && time.Since(started) > refuseAfter {
			return err
		}
		if sleepErr := clock.Sleep(ctx, tryPause); sleepErr != nil {
			if doubtful {
				return &DoubtError{Cause: err}
			}
			return err
		}
	}
}

// round tries a change here and, when that takes long or fails, through another instance as well. The first final result counts, as
// a change that is made twice takes effect once; doubt is true when neither is final and one of them may have taken effect.
func (d *Desk) round(ctx context.Context, change Change) (result error, doubt bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 2)
	go func() { results <- d.Apply(ctx, change) }()
	relay := time.NewTimer(relayAfter)
	defer relay.Stop()
	relayed := d.Relay == nil
	for waiting := 1; waiting > 0; {
		select {
		case <-relay.C:
		case err := <-results:
			waiting--
			if final(err) {
				return err, false
			}
			doubt = doubt || !refused(err)
			result = err
		}
		if !relayed {
			relayed = true
			waiting++
			go func() { results <- d.Relay(ctx, change) }()
		}
	}
	return result, doubt
}

func final(err error) bool {
	var unknown *UnknownJobError
	return err == nil || errors.As(err, &unknown)
}

func refused(err error) bool {
	var certain *RefusedError
	return errors.As(err, &certain)
}

// Apply carries out a change through this instance's store, in one try.
func (d *Desk) Apply(ctx context.Context, change Change) error {
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	if change.Submit != nil {
		return d.create(ctx, change.Submit)
	}
	return d.markCancelled(ctx, change.Cancel)
}

func (d *Desk) create(ctx context.Context, job *work.Job) error {
	value, err := work.Encode(job)
	if err != nil {
		return &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	key := work.JobKey(job.ID)
	_, err = d.Store.Txn(ctx, kv.Txn{Expect: []kv.Expect{{Key: key}}, Writes: []kv.Write{{Key: key, Value: value}}})
	return settled(err)
}

func (d *Desk) markCancelled(ctx context.Context, id model.JobID) error {
	job, found, err := d.Store.Get(ctx, work.JobKey(id))
	if err != nil {
		return &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	if !found {
		return &UnknownJobError{ID: id}
	}
	key := work.CancelKey(id)
	_, err = d.Store.Txn(ctx, kv.Txn{
		Expect: []kv.Expect{{Key: job.Key, Revision: job.Revision}, {Key: key}},
		Writes: []kv.Write{{Key: key}},
	})
	return settled(err)
}

// settled maps the result of a conditional creation: an existing key is the result of an earlier call for the same change.
func settled(err error) error {
	var conflict *kv.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return nil
	}
	var refusal *kv.RefusedError
	if errors.As(err, &refusal) {
		return &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	return err
}

// Status returns the state of a job.
func (d *Desk) Status(ctx context.Context, id model.JobID) (work.State, error) {
	d.mu.Lock()
	state, known := d.final[id]
	d.mu.Unlock()
	if known {
		return state, nil
	}
	state, err := d.lookUp(ctx, id)
	if err == nil && state.Final() {
		d.remember(id, state)
	}
	return state, err
}

func (d *Desk) remember(id model.JobID, state work.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.final == nil || len(d.final) >= maxRemembered {
		d.final = map[model.JobID]work.State{}
	}
	d.final[id] = state
}

func (d *Desk) lookUp(ctx context.Context, id model.JobID) (work.State, error) {
	ownerCtx, cancel := context.WithTimeout(ctx, ownerLimit)
	state, found, err := d.Owner.State(ownerCtx, id)
	cancel()
	if err == nil && found {
		return state, nil
	}
	state, err = d.stored(ctx, id)
	var unknown *UnknownJobError
	if err == nil || errors.As(err, &unknown) {
		return state, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.accepted[id] {
		return work.StateQueued, nil
	}
	return "", &RefusedError{Cause: err, RetryAfter: retryAfter}
}

// stored reads a job's state from the store.
func (d *Desk) stored(ctx context.Context, id model.JobID) (work.State, error) {
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	item, found, err := d.Store.Get(ctx, work.ProgressKey(id))
	if err != nil {
		return "", err
	}
	if found {
		progress, err := work.Decode[work.Progress](item.Value)
		if err != nil {
			return "", err
		}
		if progress.State != "" {
			return progress.State, nil
		}
	}
	if _, found, err = d.Store.Get(ctx, work.JobKey(id)); err != nil {
		return "", err
	}
	if !found {
		return "", &UnknownJobError{ID: id}
	}
	return work.StateQueued, nil
}

// Pending counts the jobs of a queue of which no task has started; the count may be half a second old.
func (d *Desk) Pending(ctx context.Context, queue work.QueueName) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if d.counts != nil && now.Sub(d.counted).Abs() < pendingFresh {
		return d.counts[queue], nil
	}
	ownerCtx, cancel := context.WithTimeout(ctx, ownerLimit)
	counts, err := d.Owner.Pending(ownerCtx)
	cancel()
	if err != nil {
		if counts, err = d.countStored(ctx); err != nil {
			return 0, &RefusedError{Cause: err, RetryAfter: retryAfter}
		}
	}
	d.counts, d.counted = counts, now
	return counts[queue], nil
}

// countStored counts the jobs that are not over: more than those that wait, while no instance schedules.
func (d *Desk) countStored(ctx context.Context) (map[work.QueueName]int, error) {
	jobs, _, err := kv.List(ctx, d.Store, work.JobPrefix)
	if err != nil {
		return nil, err
	}
	records, _, err := kv.List(ctx, d.Store, work.ProgressPrefix)
	if err != nil {
		return nil, err
	}
	over := map[string]bool{}
	for _, record := range records {
		progress, err := work.Decode[work.Progress](record.Value)
		over[record.Key] = err == nil && progress.State.Final()
	}
	counts := map[work.QueueName]int{}
	for _, item := range jobs {
		id, cancel := work.SplitJobKey(item.Key)
		if cancel || over[work.ProgressKey(id)] {
			continue
		}
		job, err := work.Decode[work.Job](item.Value)
		if err != nil {
			d.Log.Warn().Err(err).Str("job", string(id)).Msg("intake: job's record ignored")
			continue
		}
		counts[job.Queue]++
	}
	return counts, nil
}
