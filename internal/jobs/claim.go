package jobs

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// Claim makes a job id unique in the deployment: the first claim sets the data centre of the first record and returns true; every
// later claim returns that data centre and false. Without it, two instances that receive the same submission at
// the same time could create the job in two data centres and run it twice.
func (s *RecordStore) Claim(ctx context.Context, id model.JobID, dc model.DataCentreID) (model.DataCentreID, bool, error) {
	for attempt := 1; ; attempt++ {
		_, err := s.Store.Put(ctx, ClaimKey(id), []byte(dc), 0, 0)
		if err == nil {
			return dc, true, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return model.DataCentreID(conflict.Current.Value), false, nil
		}
		var unavailable *store.UnavailableError
		if !errors.As(err, &unavailable) || !unavailable.MaybeApplied || attempt == maxWriteAttempts || ctx.Err() != nil {
			return "", false, eris.Wrap(err, "claiming job id")
		}
	}
}

// RemoveClaim removes the claim of a job id. It returns nil if there is none.
func (s *RecordStore) RemoveClaim(ctx context.Context, id model.JobID) error {
	var notFound *store.NotFoundError
	entry, err := s.Store.Get(ctx, ClaimKey(id), 0)
	if errors.As(err, &notFound) {
		return nil
	}
	if err == nil {
		err = s.Store.Delete(ctx, ClaimKey(id), entry.Version)
	}
	if err != nil && !errors.As(err, &notFound) {
		return eris.Wrap(err, "removing claim of job id")
	}
	return nil
}
