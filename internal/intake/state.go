package intake

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const slowLookup = time.Second // from which on a look-up that succeeds is logged

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
	leave, err := s.lookUps.enter(ctx, s.MaxCalls)
	if err != nil {
		return "", s.refuseBusy("status")
	}
	defer leave()
	state, err = s.lookUpState(ctx, id)
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
	return "", s.refuse("status", err)
}

// storedState reads a job's state from the store.
func (s *Service) storedState(ctx context.Context, id model.JobID) (work.State, error) {
	if err := s.outageError(); err != nil {
		return "", err
	}
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
