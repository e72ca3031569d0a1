package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/memory"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// askFrom is the size of a job from which on the owner is asked first whether it has memory for it.
	askFrom budget.Bytes = 256 << 10
	// maxUnasked is how much smaller jobs may take together, since the owner last answered, without its word.
	maxUnasked = 4 * askFrom
	// minMemoryRetryAfter and maxMemoryRetryAfter bound the pause after a refusal for want of memory, which is free once jobs have ended.
	minMemoryRetryAfter = 2 * time.Second
	maxMemoryRetryAfter = 6 * time.Second
)

// question is whether the owner is asked about a job.
type question int

const (
	askNothing   question = iota
	askFirst              // the job waits for the answer
	askMeanwhile          // the answer holds for the jobs after it
)

// unasked counts the jobs that were accepted without a question to the owner.
type unasked struct {
	size   budget.Bytes // of all since the owner's last answer
	full   bool         // the owner had no memory when it was last asked
	asking bool         // a question is in flight that no job waits for
}

// admit reports whether the owner has memory for a job. Small jobs do not wait for its answer while it is known to have some. Errors are
// RefusedError or memory.TooLargeError; nothing has been sent to the store then.
func (s *Service) admit(ctx context.Context, job *work.Job) error {
	if s.Owner.Reserve == nil {
		return nil
	}
	size := job.Size() + job.OccurrenceSize()
	switch s.countUnasked(job.ID, size) {
	case askFirst:
		return s.refuseUnlessStored(ctx, job, s.ask(ctx, job, size))
	case askMeanwhile:
		go func() {
			_ = s.ask(context.WithoutCancel(ctx), job, size) //nolint:errcheck // It is kept in s.unasked, for the next jobs.
			s.mu.Lock()
			defer s.mu.Unlock()
			s.unasked.asking = false
		}()
	}
	return nil
}

// countUnasked counts a job that is about to be stored, and returns whether the owner is to be asked about it.
func (s *Service) countUnasked(id model.JobID, size budget.Bytes) question {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, accepted := s.accepted[id]; accepted {
		return askNothing
	}
	u := &s.unasked
	u.size += size
	switch {
	case size >= askFrom || u.full || u.size >= maxUnasked:
		return askFirst
	case u.size >= askFrom && !u.asking:
		u.asking = true
		return askMeanwhile
	}
	return askNothing
}

// ask asks the owner for memory for a job.
func (s *Service) ask(ctx context.Context, job *work.Job, size budget.Bytes) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	err := s.Owner.Reserve(ctx, job.ID, size)
	var full *memory.FullError
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.unasked.size, s.unasked.full = 0, false
	case errors.As(err, &full):
		s.unasked.full = true
	}
	return err
}

// refuseUnlessStored returns the refusal of a job that gets no memory. One that an earlier call has stored is not refused.
func (s *Service) refuseUnlessStored(ctx context.Context, job *work.Job, cause error) error {
	var tooLarge *memory.TooLargeError
	if cause == nil || errors.As(cause, &tooLarge) {
		return cause
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	if _, found, err := s.Store.Get(ctx, work.JobKey(job.ID)); err == nil && found {
		return nil
	}
	if s.Refused != nil {
		s.Refused("submit", "memory")
	}
	pause := minMemoryRetryAfter + rand.N(maxMemoryRetryAfter-minMemoryRetryAfter)
	return &RefusedError{Cause: cause, RetryAfter: pause}
}
