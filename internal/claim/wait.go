package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"peridotgw.example/peridotgw/internal/store"
)

const (
	// watchWait is the time of one waiting watch; each counts as a call to the store.
	watchWait = 10 * time.Second
	// deadCheck is the time after which a waiting duplicate looks again whether the holder is gone.
	deadCheck = 2 * time.Second
	// idleTurn is the time in which a watch without news counts as one that does not wait, so that a pause follows.
	idleTurn = time.Second
)

// next returns the claim's entry when it has changed since entry was read, or after deadCheck; it returns an error only when
// ctx ends.
func (b *Book) next(ctx context.Context, entry store.Entry) (store.Entry, error) {
	wait := watchWait
	if b.Dead != nil {
		wait = deadCheck
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 100 * time.Millisecond
	pause.MaxInterval = 2 * time.Second
	for {
		started := time.Now()
		listing, err := b.Store.Watch(ctx, entry.Key, entry.Revision, wait)
		if ctx.Err() != nil {
			return entry, ctx.Err()
		}
		moved := listing.Revision > entry.Revision || time.Since(started) >= idleTurn
		if err == nil && !listing.Compacted && listing.Revision >= entry.Revision && moved {
			return latest(entry, listing), nil
		}
		if err == nil && listing.Compacted {
			current, err := b.Store.Get(ctx, entry.Key, entry.Revision)
			var gone *store.NotFoundError
			if err == nil && current.Revision > entry.Revision {
				return current, nil
			}
			if errors.As(err, &gone) && gone.Revision > entry.Revision {
				return store.Entry{Key: entry.Key, Revision: gone.Revision}, nil
			}
		}
		select {
		case <-ctx.Done():
			return entry, ctx.Err()
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// latest applies a watch's answer, which may hold other keys that start with the same text.
func latest(entry store.Entry, listing store.Listing) store.Entry {
	for _, gone := range listing.Deleted {
		if gone == entry.Key {
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
