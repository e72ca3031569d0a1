package store

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// followWait is the time of one waiting watch.
	followWait = 10 * time.Second
	// relistEvery bounds the time for which a change that a watch missed stays unseen.
	relistEvery = time.Minute
	// maxFollowPause bounds the time between tries while the service is unavailable; the breaker probes it more often.
	maxFollowPause = 2 * time.Second
	// idleTurn is the time in which an answer without progress counts as unusable: compaction together with stale listings, or
	// watches that do not wait, would otherwise make a loop without pauses.
	idleTurn = time.Second
)

// Change is what Follow reports.
type Change struct {
	// Full is true for the first change, which holds all keys.
	Full    bool
	Entries []Entry
	Deleted []string
	// Revision is the service revision up to which changes are included.
	Revision Revision
}

// Follow reports all keys with a prefix and then each change of them, until ctx ends. It calls fn from one goroutine. It goes on
// after outages and compaction, lists again once a minute because a watch can miss changes, and ignores answers that are older
// than what it has reported. fn sees each write of a key at most once and only newer ones; of several writes between two answers
// it sees the last.
func (c *Client) Follow(ctx context.Context, prefix string, fn func(Change)) {
	f := &follower{client: c, prefix: prefix, report: fn, known: map[string]Revision{}}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 100 * time.Millisecond
	pause.MaxInterval = maxFollowPause
	for ctx.Err() == nil {
		started, before := time.Now(), f.revision
		if f.step(ctx) && (f.revision > before || time.Since(started) >= idleTurn) {
			pause.Reset()
			continue
		}
		timer := time.NewTimer(pause.NextBackOff())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

type follower struct {
	client *Client
	prefix string
	report func(Change)
	// known holds the revision of the last reported write of each key.
	known    map[string]Revision
	revision Revision
	listed   time.Time
	started  bool
}

// step lists or watches once; it reports false when the answer was not usable.
func (f *follower) step(ctx context.Context) bool {
	if f.listed.IsZero() {
		return f.list(ctx)
	}
	if time.Since(f.listed) >= relistEvery && !f.list(ctx) {
		// Watches may still work, so the next try waits.
		f.listed = time.Now()
	}
	listing, err := f.client.Watch(ctx, f.prefix, f.revision, followWait)
	if err != nil || listing.Revision < f.revision {
		return false
	}
	if listing.Compacted {
		f.listed = time.Time{}
		return f.list(ctx)
	}
	f.apply(listing, listing.Deleted)
	return true
}

func (f *follower) list(ctx context.Context) bool {
	listing, err := f.client.List(ctx, f.prefix)
	if err != nil || listing.Revision < f.revision {
		return false
	}
	present := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
	}
	var vanished []string
	for key := range f.known {
		if !present[key] {
			vanished = append(vanished, key)
		}
	}
	slices.Sort(vanished)
	f.listed = time.Now()
	f.apply(listing, vanished)
	return true
}

// apply reports what is newer than what is known.
func (f *follower) apply(listing Listing, deleted []string) {
	change := Change{Full: !f.started, Revision: listing.Revision}
	for _, key := range deleted {
		if _, found := f.known[key]; found {
			delete(f.known, key)
			change.Deleted = append(change.Deleted, key)
		}
	}
	for _, entry := range listing.Entries {
		if entry.Modified > f.known[entry.Key] {
			f.known[entry.Key] = entry.Modified
			change.Entries = append(change.Entries, entry)
		}
	}
	f.revision = listing.Revision
	if change.Full || len(change.Entries)+len(change.Deleted) > 0 {
		f.started = true
		f.report(change)
	}
}
