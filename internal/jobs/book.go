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

// Book reads and writes job records; it may be used concurrently.
type Book struct {
	Store *store.Client
	Log   zerolog.Logger
}

// ChangedError reports that another writer changed or created the record first.
type ChangedError struct {
	Job model.JobID
	// Current is the record that is there now; its version is 0 when there is none.
	Current Record
}

// Error names the job and the state that is there.
func (e *ChangedError) Error() string {
	return fmt.Sprintf("record of job %q was changed by another writer and is now %q", e.Job, e.Current.State)
}

// writeAttempts bounds the sends of one write whose answer is lost.
const writeAttempts = 3

// Create stores a new record; it returns ChangedError if the job has one in this data centre.
func (b *Book) Create(ctx context.Context, record Record) (Record, error) {
	record.Version = 0
	return b.write(ctx, record)
}

// Update replaces the record if its version is still current; it returns ChangedError otherwise. After any other error
// the write may have been applied.
func (b *Book) Update(ctx context.Context, record Record) (Record, error) {
	return b.write(ctx, record)
}

// write sends the same compare-and-swap again after a lost answer: it either succeeds, or conflicts with the very bytes
// that an earlier send stored, which proves that it was applied.
func (b *Book) write(ctx context.Context, record Record) (Record, error) {
	key := Key(record.DataCentre, record.Spec.ID)
	value, err := json.Marshal(record)
	if err != nil {
		return Record{}, eris.Wrapf(err, "encoding job record %q", key)
	}
	maybe := false
	for attempt := 1; ; attempt++ {
		entry, err := b.Store.Put(ctx, key, value, record.Version, 0)
		if err == nil {
			record.Version = entry.Version
			return record, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return resolve(record, value, conflict, maybe)
		}
		var unavailable *store.UnavailableError
		if !errors.As(err, &unavailable) {
			return Record{}, eris.Wrapf(err, "writing job record %q", key)
		}
		// One send in doubt leaves the whole write in doubt, whatever the later sends say.
		maybe = maybe || unavailable.MaybeApplied
		unavailable.MaybeApplied = maybe
		if !maybe || attempt == writeAttempts || ctx.Err() != nil {
			return Record{}, eris.Wrapf(err, "writing job record %q", key)
		}
	}
}

func resolve(record Record, value []byte, conflict *store.ConflictError, repeated bool) (Record, error) {
	if repeated && conflict.Current.Version == record.Version+1 && bytes.Equal(conflict.Current.Value, value) {
		record.Version = conflict.Current.Version
		return record, nil
	}
	changed := &ChangedError{Job: record.Spec.ID}
	if conflict.Current.Version != 0 {
		current, err := decode(conflict.Current)
		if err != nil {
			return Record{}, err
		}
		changed.Current = current
	}
	return Record{}, changed
}

// Get reads a record; it returns store.NotFoundError if the job has none in this data centre.
func (b *Book) Get(ctx context.Context, dc model.DataCentreID, id model.JobID) (Record, error) {
	entry, err := b.Store.Get(ctx, Key(dc, id), 0)
	if err != nil {
		return Record{}, eris.Wrap(err, "reading job record")
	}
	return decode(entry)
}

// List reads all records of a data centre, ordered by key.
func (b *Book) List(ctx context.Context, dc model.DataCentreID) ([]Record, error) {
	page, err := b.ListAt(ctx, dc)
	return page.Records, err
}

// Page is a set of records as of a store revision.
type Page struct {
	Records  []Record
	Removed  []model.JobID
	Revision store.Revision
	// Partial is true when changes were missed and the caller must list again.
	Partial bool
}

// ListAt reads all records of a data centre and the revision from which to watch.
func (b *Book) ListAt(ctx context.Context, dc model.DataCentreID) (Page, error) {
	listing, err := b.Store.List(ctx, Prefix(dc))
	if err != nil {
		return Page{}, eris.Wrap(err, "listing job records")
	}
	return b.page(dc, listing), nil
}

// Watch waits for changed records of a data centre after a revision.
func (b *Book) Watch(ctx context.Context, dc model.DataCentreID, after store.Revision, wait time.Duration) (Page, error) {
	listing, err := b.Store.Watch(ctx, Prefix(dc), after, wait)
	if err != nil {
		return Page{}, eris.Wrap(err, "watching job records")
	}
	return b.page(dc, listing), nil
}

// page decodes a listing; a record that cannot be decoded is logged and left as it is, so that it stops no other job.
func (b *Book) page(dc model.DataCentreID, listing store.Listing) Page {
	page := Page{Revision: listing.Revision, Partial: listing.Compacted}
	for _, entry := range listing.Entries {
		record, err := decode(entry)
		if err != nil {
			b.Log.Error().Err(err).Str("key", entry.Key).Msg("jobs: record is unreadable")
			continue
		}
		page.Records = append(page.Records, record)
	}
	for _, key := range listing.Deleted {
		id, err := url.PathUnescape(strings.TrimPrefix(key, Prefix(dc)))
		if err != nil {
			b.Log.Error().Err(err).Str("key", key).Msg("jobs: key is not escaped")
			continue
		}
		page.Removed = append(page.Removed, model.JobID(id))
	}
	return page
}

// Remove deletes a record if its version is still current; a record that is gone already is no error.
func (b *Book) Remove(ctx context.Context, record Record) error {
	err := b.Store.Delete(ctx, Key(record.DataCentre, record.Spec.ID), record.Version)
	var gone *store.NotFoundError
	if err != nil && !errors.As(err, &gone) {
		return eris.Wrap(err, "removing job record")
	}
	return nil
}
