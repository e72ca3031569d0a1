package store

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// watchWait is how long one watch waits for changes.
	watchWait = 10 * time.Second
	// relistInterval bounds the time until a change that a watch missed is found.
	relistInterval = time.Minute
	// maxRetryDelay bounds the time between attempts while the service is unavailable; the breaker probes it more often.
	maxRetryDelay = 2 * time.Second
	// minWatchTime is the time that a step without a new revision must take to count as a success. Compaction together with stale
	// listings, or watches that do not wait, would otherwise cause a loop without delays.
	minWatchTime = time.Second
)

// Change is one report of Follow.
type Change struct {
	// Full is true for the first change, which holds all keys.
	Full    bool
	Entries []Entry
	// Deleted names keys that were reported before and no longer exist.
	Deleted []string
	// Revision is the service revision up to which changes are included.
	Revision Revision
}

// Follow reports all keys with a prefix and then their changes, until ctx ends. It calls fn from the calling goroutine. It continues
// after outages and compaction, lists again once a minute because a watch can miss changes, and ignores answers that are older
// than what it has reported. fn gets each write of a key at most once and in order; of several writes between two answers it
// gets the last.
func (c *Client) Follow(ctx context.Context, prefix string, fn func(Change)) {
	f := &follower{client: c, prefix: prefix, report: fn, reported: map[string]Revision{}}
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = 100 * time.Millisecond
	retryDelay.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		started, before := time.Now(), f.revision
		if f.listOrWatch(ctx) && (f.revision > before || time.Since(started) >= minWatchTime) {
			retryDelay.Reset()
			continue
		}
		timer := time.NewTimer(retryDelay.NextBackOff())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// follower holds the state of one call of Follow.
type follower struct {
	client *Client
	prefix string
	report func(Change)
	// reported holds the revision of the last reported write of each key.
	reported     map[string]Revision
	revision     Revision  // service revision of the last usable answer
	lastListed   time.Time // zero when the next step must list
	reportedFull bool
}

// listOrWatch lists or watches once; it reports false when the answer was not usable.
func (f *follower) listOrWatch(ctx context.Context) bool {
	if f.lastListed.IsZero() {
		return f.list(ctx)
	}
	if time.Since(f.lastListed) >= relistInterval && !f.list(ctx) {
		// Watches may still work, so the next attempt to list waits for relistInterval.
		f.lastListed = time.Now()
	}
	listing, err := f.client.Watch(ctx, f.prefix, f.revision, watchWait)
	if err != nil || listing.Revision < f.revision {
		return false
	}
	if listing.Compacted {
		f.lastListed = time.Time{}
		return f.list(ctx)
	}
	f.reportChanges(listing, listing.Deleted)
	return true
}

// list lists all keys and reports what has changed; it reports false when the answer was not usable.
func (f *follower) list(ctx context.Context) bool {
	listing, err := f.client.List(ctx, f.prefix)
	if err != nil || listing.Revision < f.revision {
		return false
	}
	present := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
	}
	var deletedKeys []string
	for key := range f.reported {
		if !present[key] {
			deletedKeys = append(deletedKeys, key)
		}
	}
	slices.Sort(deletedKeys)
	f.lastListed = time.Now()
	f.reportChanges(listing, deletedKeys)
	return true
}

// reportChanges reports the entries that are newer than those reported, and the deleted keys among those reported.
func (f *follower) reportChanges(listing Listing, deleted []string) {
	change := Change{Full: !f.reportedFull, Revision: listing.Revision}
	for _, key := range deleted {
		if _, found := f.reported[key]; found {
			delete(f.reported, key)
			change.Deleted = append(change.Deleted, key)
		}
	}
	for _, entry := range listing.Entries {
		if entry.Modified > f.reported[entry.Key] {
			f.reported[entry.Key] = entry.Modified
			change.Entries = append(change.Entries, entry)
		}
	}
	f.revision = listing.Revision
	if change.Full || len(change.Entries)+len(change.Deleted) > 0 {
		f.reportedFull = true
		f.report(change)
	}
}
