package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"peridotgw.example/peridotgw/internal/store"
)

const (
	// watchTimeout bounds one long-polling watch; each watch counts as a call to the store.
	watchTimeout = 10 * time.Second
	// holderCheckInterval is how often a waiting duplicate checks whether the holder has ended.
	holderCheckInterval = 2 * time.Second
	// minWatchTime is the duration below which a watch without a change counts as one that returned at once; a delay then follows.
	minWatchTime = time.Second
)

// nextEntry watches a claim and returns its entry after the next change. When the watch times out, the entry is returned unchanged:
// after watchTimeout, or after holderCheckInterval if ProcessEnded is set. It returns an error only when ctx ends.
func (r *Registry) nextEntry(ctx context.Context, entry store.Entry) (store.Entry, error) {
	wait := watchTimeout
	if r.ProcessEnded != nil {
		wait = holderCheckInterval
	}
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = 100 * time.Millisecond
	delay.MaxInterval = 2 * time.Second
	for {
		started := time.Now()
		listing, err := r.Store.Watch(ctx, entry.Key, entry.Revision, wait)
		if ctx.Err() != nil {
			return entry, ctx.Err()
		}
		waitedOrChanged := listing.Revision > entry.Revision || time.Since(started) >= minWatchTime
		if err == nil && !listing.Compacted && listing.Revision >= entry.Revision && waitedOrChanged {
			return applyListing(entry, listing), nil
		}
		if err == nil && listing.Compacted {
			current, err := r.Store.Get(ctx, entry.Key, entry.Revision)
			var notFound *store.NotFoundError
			if err == nil && current.Revision > entry.Revision {
				return current, nil
			}
			if errors.As(err, &notFound) && notFound.Revision > entry.Revision {
				return store.Entry{Key: entry.Key, Revision: notFound.Revision}, nil
			}
		}
		select {
		case <-ctx.Done():
			return entry, ctx.Err()
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// applyListing applies the answer of a watch, which may hold other keys with the same prefix.
func applyListing(entry store.Entry, listing store.Listing) store.Entry {
	for _, deletedKey := range listing.Deleted {
		if deletedKey == entry.Key {
			return store.Entry{Key: entry.Key, Revision: listing.Revision}
		}
	}
	for _, changed := range listing.Entries {
		if changed.Key == entry.Key {
			changed.Revision = listing.Revision
			return changed
		}
	}
	entry.Revision = listing.Revision
	return entry
}
