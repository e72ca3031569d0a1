package jobs

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/model"
)

// Move marks the record as moved to another data centre and completes the move. A crash between the steps leaves a record
// in state moved; any owner can complete it with CompleteMove.
func (s *RecordStore) Move(ctx context.Context, record Record, to model.DataCentreID, note Note) (Record, error) {
	record.State, record.MovedTo, record.Placement = StateMoved, to, nil
	record.Lent, record.Guarantee = false, ""
	record.Note(note)
	moved, err := s.Update(ctx, record)
	if err != nil {
		return Record{}, err
	}
	return s.CompleteMove(ctx, moved)
}

// CompleteMove creates the record in the new data centre if it is absent, then removes the moved one, and returns the new record.
func (s *RecordStore) CompleteMove(ctx context.Context, moved Record) (Record, error) {
	next := moved
	next.State, next.DataCentre, next.MovedTo = StateQueued, moved.MovedTo, ""
	next.Owner, next.Token, next.Version = "", 0, 0
	created, err := s.Create(ctx, next)
	var changed *ChangedError
	if errors.As(err, &changed) {
		created, err = changed.Current, nil
	}
	if err != nil {
		return Record{}, err
	}
	return created, s.Remove(ctx, moved)
}

// EndedRetention is how long the records of ended jobs are kept before RemoveEnded removes them.
const EndedRetention = 7 * 24 * time.Hour

// RemoveEnded removes records of jobs that ended at least EndedRetention ago, and their id claims, and returns the number of jobs.
// It calls wait before each delete to limit the rate; an error of wait ends the pass.
func (s *RecordStore) RemoveEnded(ctx context.Context, dc model.DataCentreID, now time.Time, wait func(context.Context) error) (int, error) {
	records, err := s.List(ctx, dc)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, record := range records {
		if !record.State.Ended() || now.Sub(record.EndedAt) < EndedRetention {
			continue
		}
		if err := wait(ctx); err != nil {
			return removed, err
		}
		if err := s.Remove(ctx, record); err != nil {
			return removed, err
		}
		if err := wait(ctx); err != nil {
			return removed, err
		}
		if err := s.RemoveClaim(ctx, record.Spec.ID); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
