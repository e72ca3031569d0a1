package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// RecordStore reads and writes job records; it may be used concurrently.
type RecordStore struct {
	Store *store.Client
	Log   zerolog.Logger
}

// ChangedError reports that another writer changed or created the record first.
type ChangedError struct {
	Job model.JobID
	// Current is the record that is stored now; its version is 0 when there is none.
	Current Record
}

// Error names the job and its stored state.
func (e *ChangedError) Error() string {
	return fmt.Sprintf("record of job %q was changed by another writer and is now %q", e.Job, e.Current.State)
}

// maxWriteAttempts limits the attempts of one write when its answers are lost.
const maxWriteAttempts = 3

// Create stores a new record; it returns ChangedError if the job has one in this data centre.
func (s *RecordStore) Create(ctx context.Context, record Record) (Record, error) {
	record.Version = 0
	return s.write(ctx, record)
}

// Update replaces the record if its version is still current and returns ChangedError otherwise. After any other error the
// write may have been applied, except after a store.UnavailableError whose MaybeApplied is false.
func (s *RecordStore) Update(ctx context.Context, record Record) (Record, error) {
	return s.write(ctx, record)
}

// write repeats the same compare-and-swap after a lost answer. The repetition either succeeds, or conflicts with the same
// bytes at the next version, which proves that an earlier attempt was applied.
func (s *RecordStore) write(ctx context.Context, record Record) (Record, error) {
	key := Key(record.DataCentre, record.Spec.ID)
	value, err := json.Marshal(record)
	if err != nil {
		return Record{}, eris.Wrapf(err, "encoding job record %q", key)
	}
	maybeApplied := false
	for attempt := 1; ; attempt++ {
		entry, err := s.Store.Put(ctx, key, value, record.Version, 0)
		if err == nil {
			record.Version = entry.Version
			return record, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return resolveConflict(record, value, conflict, maybeApplied)
		}
		var unavailable *store.UnavailableError
		if !errors.As(err, &unavailable) {
			return Record{}, eris.Wrapf(err, "writing job record %q", key)
		}
		// One attempt that may have been applied leaves the whole write in doubt, whatever later attempts return.
		maybeApplied = maybeApplied || unavailable.MaybeApplied
		unavailable.MaybeApplied = maybeApplied
		if !maybeApplied || attempt == maxWriteAttempts || ctx.Err() != nil {
			return Record{}, eris.Wrapf(err, "writing job record %q", key)
		}
	}
}

// resolveConflict returns the record if an earlier attempt stored it, and ChangedError otherwise.
func resolveConflict(record Record, value []byte, conflict *store.ConflictError, maybeApplied bool) (Record, error) {
	if maybeApplied && conflict.Current.Version == record.Version+1 && bytes.Equal(conflict.Current.Value, value) {
		record.Version = conflict.Current.Version
		return record, nil
	}
	changed := &ChangedError{Job: record.Spec.ID}
	if conflict.Current.Version != 0 {
		current, err := decodeRecord(conflict.Current)
		if err != nil {
			return Record{}, err
		}
		changed.Current = current
	}
	return Record{}, changed
}

// Get reads a record; it returns store.NotFoundError if the job has none in this data centre.
func (s *RecordStore) Get(ctx context.Context, dc model.DataCentreID, id model.JobID) (Record, error) {
	entry, err := s.Store.Get(ctx, Key(dc, id), 0)
	if err != nil {
		return Record{}, eris.Wrap(err, "reading job record")
	}
	return decodeRecord(entry)
}

// List reads all records of a data centre, ordered by key.
func (s *RecordStore) List(ctx context.Context, dc model.DataCentreID) ([]Record, error) {
	page, err := s.ListAt(ctx, dc)
	return page.Records, err
}

// Page is a set of records at a store revision.
type Page struct {
	Records []Record
	// Removed names jobs whose records were deleted; only Watch sets it.
	Removed []model.JobID
	// Revision is the store revision from which to watch.
	Revision store.Revision
	// Partial is true when changes were missed and the caller must list again.
	Partial bool
}

// ListAt reads all records of a data centre and the revision from which to watch.
func (s *RecordStore) ListAt(ctx context.Context, dc model.DataCentreID) (Page, error) {
	listing, err := s.Store.List(ctx, Prefix(dc))
	if err != nil {
		return Page{}, eris.Wrap(err, "listing job records")
	}
	return s.decodedPage(dc, listing), nil
}

// Watch waits up to the given time for changes to the records of a data centre after a revision, and returns the changed records.
func (s *RecordStore) Watch(ctx context.Context, dc model.DataCentreID, after store.Revision, wait time.Duration) (Page, error) {
	listing, err := s.Store.Watch(ctx, Prefix(dc), after, wait)
	if err != nil {
		return Page{}, eris.Wrap(err, "watching job records")
	}
	return s.decodedPage(dc, listing), nil
}

// decodedPage decodes a listing. A record that cannot be decoded is logged and skipped, so that it does not block other jobs.
func (s *RecordStore) decodedPage(dc model.DataCentreID, listing store.Listing) Page {
	decodedPage := Page{Revision: listing.Revision, Partial: listing.Compacted}
	for _, entry := range listing.Entries {
		record, err := decodeRecord(entry)
		if err != nil {
			s.Log.Error().Err(err).Str("key", entry.Key).Msg("jobs: cannot decode record; skipping it")
			continue
		}
		decodedPage.Records = append(decodedPage.Records, record)
	}
	for _, key := range listing.Deleted {
		id, err := url.PathUnescape(strings.TrimPrefix(key, Prefix(dc)))
		if err != nil {
			s.Log.Error().Err(err).Str("key", key).Msg("jobs: cannot unescape record key; skipping it")
			continue
		}
		decodedPage.Removed = append(decodedPage.Removed, model.JobID(id))
	}
	return decodedPage
}

// Remove deletes a record if its version is still current. It returns nil if the record does not exist.
func (s *RecordStore) Remove(ctx context.Context, record Record) error {
	err := s.Store.Delete(ctx, Key(record.DataCentre, record.Spec.ID), record.Version)
	var notFound *store.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return eris.Wrap(err, "removing job record")
	}
	return nil
}
