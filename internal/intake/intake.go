package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	attemptTimeout = 600 * time.Millisecond
	retryDelay     = 60 * time.Millisecond
	// relayDelay is how long an attempt waits for the store before the change is also sent through another instance.
	relayDelay = 200 * time.Millisecond
	retryAfter = time.Second
	// replyMargin is the part of the caller's time that is kept for sending the answer.
	replyMargin = 250 * time.Millisecond
	// refusedRetryTime bounds the retries of a change that certainly did not take effect.
	refusedRetryTime = 900 * time.Millisecond
	ownerTimeout     = 400 * time.Millisecond
	pendingMaxAge    = 500 * time.Millisecond
	pendingTimeout   = 2 * time.Second // of a query that its callers share
	maxCachedJobs    = 20_000          // in each of the caches of a Service; a full one is emptied
)

// RefusedError reports a change that certainly did not take effect and will not do so later.
type RefusedError struct {
	RetryAfter time.Duration // suggested delay before the caller tries again
	Cause      error
}

// Error names the cause.
func (e *RefusedError) Error() string { return fmt.Sprintf("not done: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// InDoubtError reports a change that may have taken effect or may still do so. It has no Unwrap: its cause may be a RefusedError
// of the last attempt, which does not hold for the earlier ones.
type InDoubtError struct{ Cause error }

// Error names the cause.
func (e *InDoubtError) Error() string { return fmt.Sprintf("result unknown: %v", e.Cause) }

// UnknownJobError reports a job that does not exist.
type UnknownJobError struct{ ID model.JobID }

// Error names the job.
func (e *UnknownJobError) Error() string { return fmt.Sprintf("job %s does not exist", e.ID) }

var errNoTime = errors.New("the caller does not wait long enough") //nolint:gochecknoglobals // a constant error

// Owner queries the instance that schedules, which answers from memory.
type Owner struct {
	// State returns a job's state; found is false when the owner does not know the job.
	State func(ctx context.Context, id model.JobID) (state work.State, found bool, err error)
	// Pending returns for each queue the number of jobs none of whose tasks has started.
	Pending func(ctx context.Context) (map[work.QueueName]int, error)
}

// Change is a submission or a cancellation; exactly one field is set. It may be relayed to another instance.
type Change struct {
	Submit *work.Job   `cbor:"1,keyasint,omitempty"`
	Cancel model.JobID `cbor:"2,keyasint,omitempty"`
}

// Announcement is a change that is durable, and the revision at which it was stored.
type Announcement struct {
	Change   Change      `cbor:"1,keyasint"`
	Revision kv.Revision `cbor:"2,keyasint"`
}

// Service handles the job calls of one instance. Fields are set before use; the methods may be used concurrently.
type Service struct {
	Store *kv.Store
	Owner Owner
	Log   zerolog.Logger
	Now   func() time.Time // wall-clock time
	// Relay makes one attempt to apply a change through another instance; nil for none. Its errors are those of Apply.
	Relay func(ctx context.Context, change Change) error
	// Announce is called with each change that this instance has stored, so that the instance that schedules need not wait for its
	// watch; nil for none. It must not block.
	Announce func(Announcement)

	pendingQueries singleflight.Group

	mu            sync.Mutex // guards the fields below
	finalStates   map[model.JobID]work.State
	accepted      map[model.JobID]bool   // jobs that this instance has accepted
	pendingCounts map[work.QueueName]int // last result of Owner.Pending or its replacement from the store
	countedAt     time.Time
}

// Submit stores a job durably. After a RefusedError the job never runs; after any other error it may.
func (s *Service) Submit(ctx context.Context, job *work.Job) error {
	job.Accepted = s.Now()
	err := s.change(ctx, Change{Submit: job})
	s.Log.Info().Str("job", string(job.ID)).Str("queue", string(job.Queue)).Err(err).Msg("intake: job submitted")
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.accepted == nil || len(s.accepted) >= maxCachedJobs {
			s.accepted = map[model.JobID]bool{}
		}
		s.accepted[job.ID] = true
	}
	return err
}

// Cancel stores the cancellation of a job durably. Errors are RefusedError, InDoubtError or UnknownJobError.
func (s *Service) Cancel(ctx context.Context, id model.JobID) error {
	err := s.change(ctx, Change{Cancel: id})
	s.Log.Info().Str("job", string(id)).Err(err).Msg("intake: job cancelled")
	return err
}

// change retries a change until its result is final or the caller's deadline is near. While every attempt is refused, retries end
// after refusedRetryTime.
func (s *Service) change(ctx context.Context, change Change) error {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-replyMargin))
		defer cancel()
	}
	startedAt := time.Now()
	doubtful := false
	if ctx.Err() != nil {
		return &RefusedError{Cause: errNoTime, RetryAfter: retryAfter}
	}
	for {
		err, doubt := s.attemptChange(ctx, change)
		if isFinal(err) {
			return err
		}
		doubtful = doubtful || doubt
		if !doubtful && time.Since(startedAt) > refusedRetryTime {
			return err
		}
		if sleepErr := clock.Sleep(ctx, retryDelay); sleepErr != nil {
			if doubtful {
				return &InDoubtError{Cause: err}
			}
			return err
		}
	}
}

// attemptChange applies a change through this instance's store and, when that fails or takes longer than relayDelay, through another
// instance as well. The first final result wins, as a change is idempotent; doubt is true when neither result is final and one of
// the attempts may have taken effect.
func (s *Service) attemptChange(ctx context.Context, change Change) (result error, doubt bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 2)
	go func() { results <- s.Apply(ctx, change) }()
	relayTimer := time.NewTimer(relayDelay)
	defer relayTimer.Stop()
	relayed := s.Relay == nil
	for inFlight := 1; inFlight > 0; {
		select {
		case <-relayTimer.C:
		case err := <-results:
			inFlight--
			if isFinal(err) {
				return err, false
			}
			doubt = doubt || !isRefused(err)
			result = err
		}
		if !relayed {
			relayed = true
			inFlight++
			go func() { results <- s.Relay(ctx, change) }()
		}
	}
	return result, doubt
}

// isFinal reports whether a result holds whatever the other attempts return.
func isFinal(err error) bool {
	var unknown *UnknownJobError
	return err == nil || errors.As(err, &unknown)
}

func isRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// Apply makes one attempt to apply a change through this instance's store. Errors are those of Cancel, or of the store when the
// result is unknown.
func (s *Service) Apply(ctx context.Context, change Change) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if change.Submit != nil {
		return s.createJob(ctx, change.Submit)
	}
	return s.markCancelled(ctx, change.Cancel)
}

func (s *Service) createJob(ctx context.Context, job *work.Job) error {
	value, err := work.Encode(job)
	if err != nil {
		return &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	key := work.JobKey(job.ID)
	revision, err := s.Store.Txn(ctx, kv.Txn{Expect: []kv.Expect{{Key: key}}, Writes: []kv.Write{{Key: key, Value: value}}})
	if err == nil {
		s.announce(Announcement{Change: Change{Submit: job}, Revision: revision})
	}
	return createResult(err)
}

func (s *Service) announce(announcement Announcement) {
	if s.Announce != nil {
		s.Announce(announcement)
	}
}

func (s *Service) markCancelled(ctx context.Context, id model.JobID) error {
	item, found, err := s.Store.Get(ctx, work.JobKey(id))
	if err != nil {
		return &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	if !found {
		return &UnknownJobError{ID: id}
	}
	cancelKey := work.CancelKey(id)
	revision, err := s.Store.Txn(ctx, kv.Txn{
		Expect: []kv.Expect{{Key: item.Key, Revision: item.Revision}, {Key: cancelKey}},
		Writes: []kv.Write{{Key: cancelKey}},
	})
	if err == nil {
		s.announce(Announcement{Change: Change{Cancel: id}, Revision: revision})
	}
	return createResult(err)
}

// createResult returns the result of a change for the error of its transaction. A conflict is a success: an earlier attempt of the
// same change has created the key.
func createResult(err error) error {
	var conflict *kv.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return nil
	}
	var refused *kv.RefusedError
	if errors.As(err, &refused) {
		return &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	return err
}

// Status returns the state of a job. Errors are RefusedError or UnknownJobError.
func (s *Service) Status(ctx context.Context, id model.JobID) (work.State, error) {
	s.mu.Lock()
	state, known := s.finalStates[id]
	s.mu.Unlock()
	if known {
		return state, nil
	}
	state, err := s.lookUpState(ctx, id)
	if err == nil && state.Final() {
		s.cacheFinalState(id, state)
	}
	return state, err
}

// cacheFinalState keeps a final state, which cannot change.
func (s *Service) cacheFinalState(id model.JobID, state work.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finalStates == nil || len(s.finalStates) >= maxCachedJobs {
		s.finalStates = map[model.JobID]work.State{}
	}
	s.finalStates[id] = state
}

// lookUpState returns the state that the owner has or, if it does not answer or does not know the job, the stored state. If the store
// fails too, a job that this instance has accepted is reported as queued.
func (s *Service) lookUpState(ctx context.Context, id model.JobID) (work.State, error) {
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	state, found, err := s.Owner.State(ownerCtx, id)
	cancel()
	if err == nil && found {
		return state, nil
	}
	state, err = s.storedState(ctx, id)
	var unknown *UnknownJobError
	if err == nil || errors.As(err, &unknown) {
		return state, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted[id] {
		return work.StateQueued, nil
	}
	return "", &RefusedError{Cause: err, RetryAfter: retryAfter}
}

// storedState reads a job's state from the store.
func (s *Service) storedState(ctx context.Context, id model.JobID) (work.State, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	item, found, err := s.Store.Get(ctx, work.ProgressKey(id))
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
	if _, found, err = s.Store.Get(ctx, work.JobKey(id)); err != nil {
		return "", err
	}
	if !found {
		return "", &UnknownJobError{ID: id}
	}
	return work.StateQueued, nil
}

// Pending returns the number of jobs of a queue none of whose tasks has started; the count is up to pendingMaxAge old. Callers that
// wait at the same time share one query, which holds up no other call.
func (s *Service) Pending(ctx context.Context, queue work.QueueName) (int, error) {
	if count, fresh := s.cachedPending(queue); fresh {
		return count, nil
	}
	results := s.pendingQueries.DoChan("", func() (any, error) { return nil, s.queryPending(context.WithoutCancel(ctx)) })
	var err error
	select {
	case result := <-results:
		err = result.Err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return 0, &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	count, _ := s.cachedPending(queue)
	return count, nil
}

// cachedPending returns the last count of a queue, and reports whether it is recent.
func (s *Service) cachedPending(queue work.QueueName) (count int, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingCounts[queue], s.pendingCounts != nil && s.Now().Sub(s.countedAt).Abs() < pendingMaxAge
}

// queryPending counts the pending jobs of all queues: it asks the owner or, if that does not answer, the store.
func (s *Service) queryPending(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	now := s.Now()
	ownerCtx, cancelOwner := context.WithTimeout(ctx, ownerTimeout)
	counts, err := s.Owner.Pending(ownerCtx)
	cancelOwner()
	if err != nil {
		if counts, err = s.countUnfinished(ctx); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingCounts, s.countedAt = counts, now
	return nil
}

// countUnfinished counts the stored jobs without a final state. This includes running jobs, so it is used only when the owner
// does not answer.
func (s *Service) countUnfinished(ctx context.Context) (map[work.QueueName]int, error) {
	jobs, _, err := kv.List(ctx, s.Store, work.JobPrefix)
	if err != nil {
		return nil, err
	}
	records, _, err := kv.List(ctx, s.Store, work.ProgressPrefix)
	if err != nil {
		return nil, err
	}
	ended := map[string]bool{}
	for _, record := range records {
		progress, err := work.Decode[work.Progress](record.Value)
		ended[record.Key] = err == nil && progress.State.Final()
	}
	counts := map[work.QueueName]int{}
	for _, item := range jobs {
		id, cancel := work.SplitJobKey(item.Key)
		if cancel || ended[work.ProgressKey(id)] {
			continue
		}
		job, err := work.Decode[work.Job](item.Value)
		if err != nil {
			s.Log.Warn().Err(err).Str("job", string(id)).Msg("intake: job record cannot be decoded, ignored")
			continue
		}
		counts[job.Queue]++
	}
	return counts, nil
}
