package intake

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/outage"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	retryDelay = 60 * time.Millisecond
	// relayDelay is how long an attempt waits for the store before the change is also sent through another instance.
	relayDelay = 200 * time.Millisecond
	// refusedRetryTime bounds the retries of a change that certainly did not take effect.
	refusedRetryTime = 900 * time.Millisecond
)

var errNoTime = errors.New("the caller does not wait long enough") //nolint:gochecknoglobals // a constant error

// Change is a submission or a cancellation; exactly one field is set. It may be relayed to another instance.
type Change struct {
	Submit *work.Job   `cbor:"1,keyasint,omitempty"`
	Cancel model.JobID `cbor:"2,keyasint,omitempty"`
}

// ID returns the job's id.
func (c Change) ID() model.JobID {
	if c.Submit != nil {
		return c.Submit.ID
	}
	return c.Cancel
}

// kind names the change in logs and metrics.
func (c Change) kind() string {
	if c.Submit != nil {
		return "submit"
	}
	return "cancel"
}

// priority returns the priority of a job that is submitted; cancellations go first, since they free room.
func (c Change) priority() int {
	if c.Submit != nil {
		return c.Submit.Terms.Priority
	}
	return 0
}

// Announcement is a change that is durable, and the revision at which it was stored.
type Announcement struct {
	Change   Change      `cbor:"1,keyasint"`
	Revision kv.Revision `cbor:"2,keyasint"`
}

// Submit stores a job durably. After a RefusedError or a memory.TooLargeError the job never runs; after any other error it may.
func (s *Service) Submit(ctx context.Context, job *work.Job) error {
	leave, err := s.changes.enter(ctx, s.MaxCalls)
	if err != nil {
		return s.withEarlierAttempts(Change{Submit: job}, s.refuseBusy("submit"))
	}
	defer leave()
	if err := s.admit(ctx, job); err != nil {
		if isRefused(err) {
			err = s.withEarlierAttempts(Change{Submit: job}, err)
		}
		s.Log.Info().Str("job", string(job.ID)).Err(err).Msg("intake: job not admitted")
		return err
	}
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
	leave, err := s.changes.enter(ctx, s.MaxCalls)
	if err != nil {
		return s.refuseBusy("cancel")
	}
	defer leave()
	result, err := s.change(ctx, Change{Cancel: id})
	result.log(s.Log.Info(), id, err).Msg("intake: job cancelled")
	return err
}

// change retries a change until its result is final or the caller's deadline is near. While every attempt is refused, retries end
// after refusedRetryTime. While the store does not serve this instance, a change waits unsent for as long as the gate allows.
func (s *Service) change(ctx context.Context, change Change) (changeResult, error) {
	startedAt := time.Now()
	var result changeResult
	err := s.withEarlierAttempts(change, s.retryChange(ctx, change, &result))
	var refused *RefusedError
	if errors.As(err, &refused) {
		err = s.refuse(change.kind(), refused.Cause)
	}
	result.took, result.callEnded = time.Since(startedAt), context.Cause(ctx)
	return result, err
}

// withEarlierAttempts returns the error of a submission in view of earlier calls for the same job at this instance: a refusal says that the
// job never runs, which is untrue if one of them has stored it or has sent it without an answer.
func (s *Service) withEarlierAttempts(change Change, err error) error {
	if err == nil || change.Submit == nil {
		return err
	}
	id := change.ID()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, stored := s.accepted[id]; stored {
		return nil
	}
	if IsFinal(err) {
		return err
	}
	if !isRefused(err) {
		if s.doubtful == nil || len(s.doubtful) >= maxCachedJobs {
			s.doubtful = map[model.JobID]bool{}
		}
		s.doubtful[id] = true
		return err
	}
	if s.doubtful[id] {
		return &InDoubtError{Cause: err}
	}
	return err
}

func (s *Service) retryChange(ctx context.Context, change Change, result *changeResult) error {
	if ctx.Err() != nil {
		return &RefusedError{Cause: errNoTime}
	}
	startedAt := time.Now()
	caller := outage.Caller{Priority: change.priority()}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		left := deadline.Sub(startedAt)
		if left < minCallTime {
			return &RefusedError{Cause: errNoTime}
		}
		caller.Deadline = deadline.Add(-min(replyMargin, left/2))
		ctx, cancel = context.WithDeadline(ctx, caller.Deadline)
		defer cancel()
	}
	doubtful := false
	place := s.gate.Join(startedAt, caller)
	defer s.gate.Leave(place, false)
	for {
		step := s.step(ctx, change, place, result)
		if IsFinal(step.err) {
			return step.err
		}
		doubtful = doubtful || step.doubt
		if !doubtful && (step.over || step.sent && time.Since(startedAt) > refusedRetryTime) {
			return step.err
		}
		if sleepErr := clock.Sleep(ctx, step.pause); sleepErr != nil {
			if doubtful {
				return &InDoubtError{Cause: step.err}
			}
			return step.err
		}
	}
}

// changeStep is the result of one step of a change.
type changeStep struct {
	err   error
	doubt bool          // the change may take effect, whatever later steps return
	sent  bool          // it was sent to the store
	over  bool          // a change that is not in doubt is to be refused
	pause time.Duration // until the next step
}

// step sends a change to the store, passes it to another instance, or lets it wait.
func (s *Service) step(ctx context.Context, change Change, place *outage.Change, result *changeResult) changeStep {
	verdict := s.gate.Ask(time.Now(), place)
	s.logTransition()
	if verdict.Send {
		result.attempts++
		err, doubt := s.attemptChange(ctx, change, result)
		s.gate.Leave(place, IsFinal(err))
		return changeStep{err: err, doubt: doubt, sent: true, pause: retryDelay}
	}
	if s.Relay != nil && s.detour.Try(time.Now()) {
		result.attempts++
		err := s.relay(ctx, change)
		if IsFinal(err) {
			result.applied = applied{relayed: true}
			return changeStep{err: err}
		}
		if !isRefused(err) {
			return changeStep{err: err, doubt: true, pause: waitStep}
		}
	}
	result.waited += waitStep
	cause, age := s.gate.Down(time.Now())
	if verdict.Refuse != "" {
		cause = verdict.Refuse
	}
	return changeStep{
		err: &RefusedError{Cause: &OutageError{Cause: cause, Age: age}}, over: verdict.Refuse != "", pause: waitStep,
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
			if IsFinal(ended.err) {
				final.applied = ended.applied
				return ended.err, false
			}
			doubt = doubt || !isRefused(ended.err)
			result = ended.err
		}
		if !relayed {
			relayed = true
			inFlight++
			go func() { results <- attempt{applied{relayed: true}, s.relay(ctx, change)} }()
		}
	}
	return result, doubt
}

// IsFinal reports whether a result holds whatever the other attempts return.
func IsFinal(err error) bool {
	var unknown *UnknownJobError
	var cancelled *CancelledError
	return err == nil || errors.As(err, &unknown) || errors.As(err, &cancelled)
}

func isRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// Apply makes one attempt to apply a change of another instance through this instance's store. Errors are those of Cancel, or of the
// store when the result is unknown.
func (s *Service) Apply(ctx context.Context, change Change) error {
	startedAt := time.Now()
	leave, err := s.relayed.enter(ctx, s.MaxCalls)
	if err != nil {
		return s.withEarlierAttempts(change, s.refuseBusy(change.kind()))
	}
	defer leave()
	if err := s.outageError(); err != nil {
		return s.withEarlierAttempts(change, &RefusedError{Cause: err, RetryAfter: retryAfter})
	}
	done, err := s.apply(ctx, change)
	err = s.withEarlierAttempts(change, err)
	result := changeResult{applied: done, attempts: 1, took: time.Since(startedAt), callEnded: context.Cause(ctx)}
	result.log(s.Log.Info(), change.ID(), err).Str("what", change.kind()).Msg("intake: change of another instance")
	return err
}

func (s *Service) apply(ctx context.Context, change Change) (applied, error) {
	if change.Submit != nil {
		if done, err := s.look(ctx, change.Submit.ID); done.before || err != nil {
			return done, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if change.Submit != nil {
		return s.createJob(ctx, change.Submit)
	}
	return s.markCancelled(ctx, change.Cancel)
}

// look reads a job's key before the job is written, if the store has not answered for a moment: a read without an answer leaves nothing in
// doubt. It returns an applied change if an earlier attempt has stored the job.
func (s *Service) look(ctx context.Context, id model.JobID) (applied, error) {
	if !s.gate.Stale(time.Now()) {
		return applied{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	item, found, err := s.Store.Get(ctx, work.JobKey(id))
	if err != nil {
		return applied{}, &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	return applied{revision: item.Revision, before: found}, nil
}

func (s *Service) createJob(ctx context.Context, job *work.Job) (applied, error) {
	value, err := work.Encode(job)
	if err != nil {
		return applied{}, &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	key, cancelKey := work.JobKey(job.ID), work.CancelKey(job.ID)
	revision, err := s.Store.Txn(ctx, kv.Txn{
		Expect: []kv.Expect{{Key: key}, {Key: cancelKey}},
		Writes: []kv.Write{{Key: key, Value: value}},
	})
	if err == nil {
		s.announce(Announcement{Change: Change{Submit: job}, Revision: revision})
	}
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		if _, stored := conflict.Item(key); !stored {
			return applied{}, &CancelledError{ID: job.ID}
		}
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
		return s.barSubmission(ctx, id)
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
