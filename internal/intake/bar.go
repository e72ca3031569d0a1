package intake

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/bucket"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// barTime is how long a cancelled job that is not stored stays barred at least. Writes without an answer are executed seconds late, and
	// copies of a submission arrive seconds late.
	barTime = 2 * time.Minute
	// barPeriod is how long the records of such cancellations share a lease.
	barPeriod = time.Minute
)

// barSubmission stores the cancellation of a job that is not stored. That a read has not found the job does not prove that it will not be
// there: a submission may be on its way, or be executed late. Each submission expects that the job is not cancelled, so that it fails from then
// on. The record expires by itself. The result is an UnknownJobError once it is stored.
func (s *Service) barSubmission(ctx context.Context, id model.JobID) (applied, error) {
	expect := []kv.Expect{{Key: work.JobKey(id)}, {Key: work.CancelKey(id)}}
	for {
		err := s.writeBar(ctx, id, expect)
		var conflict *kv.ConflictError
		if !errors.As(err, &conflict) {
			return applied{}, barResult(id, err)
		}
		if _, stored := conflict.Item(work.JobKey(id)); stored {
			return s.markCancelled(ctx, id)
		}
		earlier, found := conflict.Item(work.CancelKey(id))
		current, err := s.bars().ID(ctx)
		switch {
		case err != nil:
			return applied{}, &RefusedError{Cause: err, RetryAfter: retryAfter}
		case found && earlier.Lease == current:
			return applied{}, &UnknownJobError{ID: id}
		}
		expect[1].Revision = earlier.Revision // An earlier record may expire soon. It is written again, with the lease in force.
	}
}

// writeBar writes the cancellation of a job that is not stored, under the lease of such records, if the conditions hold.
func (s *Service) writeBar(ctx context.Context, id model.JobID, expect []kv.Expect) error {
	lease, err := s.bars().ID(ctx)
	if err != nil {
		return &kv.RefusedError{Op: "grant", Cause: err} // No record was sent.
	}
	_, err = s.Store.Txn(ctx, kv.Txn{Expect: expect, Writes: []kv.Write{{Key: work.CancelKey(id), Lease: lease}}})
	var ended *kv.NoLeaseError
	if !errors.As(err, &ended) {
		return err
	}
	if err := s.bars().Drop(ctx, lease); err != nil {
		return &kv.RefusedError{Op: "grant", Cause: err}
	}
	return s.writeBar(ctx, id, expect)
}

// barResult returns the result of a write that bars a submission.
func barResult(id model.JobID, err error) error {
	var refused *kv.RefusedError
	switch {
	case err == nil:
		return &UnknownJobError{ID: id}
	case errors.As(err, &refused):
		return &RefusedError{Cause: err, RetryAfter: retryAfter}
	}
	return err
}

// bars returns the lease of the records that bar submissions.
func (s *Service) bars() *bucket.Lease[kv.LeaseID] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.barLease == nil {
		s.barLease = bucket.New(s.Store.Grant, barTime, barPeriod)
	}
	return s.barLease
}
