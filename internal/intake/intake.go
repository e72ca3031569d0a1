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
	// readReplyMargin replaces it for reads, which need no certainty about their result. It is at most a quarter of the caller's time.
	readReplyMargin = 100 * time.Millisecond
	// refusedRetryTime bounds the retries of a change that certainly did not take effect.
	refusedRetryTime = 900 * time.Millisecond
	ownerTimeout     = 400 * time.Millisecond
	pendingMaxAge    = 500 * time.Millisecond
	countTimeout     = 2500 * time.Millisecond // of a count of pending jobs, by the owner and then from the store
	maxCachedJobs    = 20_000                  // in each of the caches of a Service; a full one is emptied
	slowLookup       = time.Second             // from which on a look-up that succeeds is logged
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

	counting singleflight.Group // the count of pending jobs in flight

	mu            sync.Mutex // guards the fields below; not held during calls
	finalStates   map[model.JobID]work.State
	accepted      map[model.JobID]time.Time // when this instance accepted a job
	pendingCounts map[work.QueueName]int    // last result of Owner.Pending or its replacement from the store
	countedAt     time.Time
}

// Submit stores a job durably. After a RefusedError the job never runs; after any other error it may.
func (s *Service) Submit(ctx context.Context, job *work.Job) error {
	job.Accepted = s.Now()
	result, err := s.change(ctx, Change{Submit: job})
	result.log(s.Log.Info(), job.ID, err).Str("queue", string(job.Queue)).Msg("intake: job submitted")
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.accepted == nil || len(s.accepted) >= maxCachedJobs {
			s.accepted = map[model.JobID]time.Time{}
		}
		s.accepted[job.ID] = job.Accepted
	}
	return err
}

// Cancel stores the cancellation of a job durably. Errors are RefusedError, InDoubtError or UnknownJobError.
func (s *Service) Cancel(ctx context.Context, id model.JobID) error {
	result, err := s.change(ctx, Change{Cancel: id})
	result.log(s.Log.Info(), id, err).Msg("intake: job cancelled")
	return err
}

// change retries a change until its result is final or the caller's deadline is near. While every attempt is refused, retries end
// after refusedRetryTime.
func (s *Service) change(ctx context.Context, change Change) (changeResult, error) {
	startedAt := time.Now()
	var result changeResult
	err := s.retryChange(ctx, change, &result)
	result.took, result.callEnded = time.Since(startedAt), context.Cause(ctx)
	return result, err
}

func (s *Service) retryChange(ctx context.Context, change Change, result *changeResult) error {
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
		result.attempts++
		err, doubt := s.attemptChange(ctx, change, result)
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
func (s *Service) attemptChange(ctx context.Context, change Change, final *changeResult) (result error, doubt bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type attempt struct {
		applied applied
		err     error
	}
	results := make(chan attempt, 2)
	go func() {
		done, err := s.apply(ctx, change)
		results <- attempt{done, err}
	}()
	relayTimer := time.NewTimer(relayDelay)
	defer relayTimer.Stop()
	relayed := s.Relay == nil
	for inFlight := 1; inFlight > 0; {
		select {
		case <-relayTimer.C:
		case ended := <-results:
			inFlight--
			if isFinal(ended.err) {
				final.applied = ended.applied
				return ended.err, false
			}
			doubt = doubt || !isRefused(ended.err)
			result = ended.err
		}
		if !relayed {
			relayed = true
			inFlight++
			go func() { results <- attempt{applied{relayed: true}, s.Relay(ctx, change)} }()
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

// Apply makes one attempt to apply a change of another instance through this instance's store. Errors are those of Cancel, or of the
// store when the result is unknown.
func (s *Service) Apply(ctx context.Context, change Change) error {
	startedAt := time.Now()
	done, err := s.apply(ctx, change)
	result := changeResult{applied: done, attempts: 1, took: time.Since(startedAt), callEnded: context.Cause(ctx)}
	id, what := change.Cancel, "cancel"
	if change.Submit != nil {
		id, what = change.Submit.ID, "submit"
	}
	result.log(s.Log.Info(), id, err).Str("what", what).Msg("intake: change of another instance")
	return err
}

func (s *Service) apply(ctx context.Context, change Change) (applied, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if change.Submit != nil {
		return s.createJob(ctx, change.Submit)
	}
	return s.markCancelled(ctx, change.Cancel)
}

func (s *Service) createJob(ctx context.Context, job *work.Job) (applied, error) {
	value, err := work.Encode(job)
	if err != nil {
		return applied{}, &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	key := work.JobKey(job.ID)
	revision, err := s.Store.Txn(ctx, kv.Txn{Expect: []kv.Expect{{Key: key}}, Writes: []kv.Write{{Key: key, Value: value}}})
	if err == nil {
		s.announce(Announcement{Change: Change{Submit: job}, Revision: revision})
	}
	return createResult(key, revision, err)
}

func (s *Service) announce(announcement Announcement) {
	if s.Announce != nil {
		s.Announce(announcement)
	}
}

func (s *Service) markCancelled(ctx context.Context, id model.JobID) (applied, error) {
	item, found, err := s.Store.Get(ctx, work.JobKey(id))
	if err != nil {
		return applied{}, &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	if !found {
		return applied{}, &UnknownJobError{ID: id}
	}
	cancelKey := work.CancelKey(id)
	revision, err := s.Store.Txn(ctx, kv.Txn{
		Expect: []kv.Expect{{Key: item.Key, Revision: item.Revision}, {Key: cancelKey}},
		Writes: []kv.Write{{Key: cancelKey}},
	})
	if err == nil {
		s.announce(Announcement{Change: Change{Cancel: id}, Revision: revision})
	}
	return createResult(cancelKey, revision, err)
}

// createResult returns the result of a change that creates a key, for the revision or error of its transaction. A conflict is a
// success: an earlier attempt of the same change has created the key.
func createResult(key string, revision kv.Revision, err error) (applied, error) {
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		item, _ := conflict.Item(key)
		return applied{revision: item.Revision, before: true}, nil
	}
	var refused *kv.RefusedError
	if errors.As(err, &refused) {
		return applied{}, &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	return applied{revision: revision}, err
}

// Status returns the state of a job. Errors are RefusedError or UnknownJobError.
func (s *Service) Status(ctx context.Context, id model.JobID) (work.State, error) {
	s.mu.Lock()
	state, known := s.finalStates[id]
	s.mu.Unlock()
	if known {
		return state, nil
	}
	ctx, cancel := reserveReply(ctx)
	defer cancel()
	state, err := s.lookUpState(ctx, id)
	if err == nil && state.Final() {
		s.cacheFinalState(id, state)
	}
	return state, err
}

// reserveReply returns a context that ends before the caller's time, so that the answer arrives within it.
func reserveReply(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline.Add(-min(readReplyMargin, time.Until(deadline)/4)))
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
	timeout := ownerTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2) // The store needs the rest if the owner does not answer.
	}
	ownerCtx, cancel := context.WithTimeout(ctx, timeout)
	startedAt := time.Now()
	state, found, ownerErr := s.Owner.State(ownerCtx, id)
	cancel()
	if ownerErr == nil && found {
		return state, nil
	}
	ownerTook := time.Since(startedAt)
	state, err := s.storedState(ctx, id)
	s.mu.Lock()
	acceptedAt, accepted := s.accepted[id]
	s.mu.Unlock()
	var unknown *UnknownJobError
	if errors.As(err, &unknown) && accepted {
		s.Log.Warn().Str("job", string(id)).Dur("age", s.Now().Sub(acceptedAt)).AnErr("leader", ownerErr).
			Msg("intake: no record of a job that was accepted here")
	}
	if err == nil || errors.As(err, &unknown) {
		if took := time.Since(startedAt); took >= slowLookup {
			s.Log.Info().Str("job", string(id)).Dur("took", took).Dur("leader-took", ownerTook).AnErr("leader", ownerErr).
				Str("state", string(state)).Msg("intake: state looked up slowly")
		}
		return state, err
	}
	s.Log.Info().Str("job", string(id)).Dur("took", time.Since(startedAt)).Dur("leader-took", ownerTook).AnErr("leader", ownerErr).
		Bool("accepted", accepted).Err(err).Msg("intake: state not found out")
	if accepted {
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

// Pending returns the number of jobs of a queue none of whose tasks has started; the count is up to pendingMaxAge old.
func (s *Service) Pending(ctx context.Context, queue work.QueueName) (int, error) {
	if counts, fresh := s.cachedCounts(); fresh {
		return counts[queue], nil
	}
	// Calls wait for one count together. It has its own time: the first caller's may end before that of the others.
	waitCtx, cancelWait := reserveReply(ctx)
	defer cancelWait()
	result := s.counting.DoChan("", func() (any, error) {
		countCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), countTimeout)
		defer cancel()
		return nil, s.refreshCounts(countCtx)
	})
	select {
	case <-waitCtx.Done():
		return 0, &RefusedError{Cause: waitCtx.Err(), RetryAfter: retryAfter}
	case r := <-result:
		if r.Err != nil {
			return 0, &RefusedError{Cause: r.Err, RetryAfter: retryAfter}
		}
	}
	counts, _ := s.cachedCounts()
	return counts[queue], nil
}

// cachedCounts returns the last count of pending jobs, and whether it is younger than pendingMaxAge.
func (s *Service) cachedCounts() (map[work.QueueName]int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingCounts, s.pendingCounts != nil && s.Now().Sub(s.countedAt).Abs() < pendingMaxAge
}

// refreshCounts counts the pending jobs of all queues.
func (s *Service) refreshCounts(ctx context.Context) error {
	startedAt, began := s.Now(), time.Now()
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	counts, ownerErr := s.Owner.Pending(ownerCtx)
	cancel()
	if ownerErr != nil {
		ownerTook := time.Since(began)
		var err error
		counts, err = s.countUnfinished(ctx)
		s.Log.Info().Dur("took", time.Since(began)).Dur("leader-took", ownerTook).AnErr("leader", ownerErr).Err(err).
			Msg("intake: pending jobs counted in the store")
		if err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingCounts, s.countedAt = counts, startedAt
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
