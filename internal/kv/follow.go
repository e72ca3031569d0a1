package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/clock"
)

const (
	// watchWait bounds how late a gap in the history is noticed: a watch does not report a change whose history is dropped
	// meanwhile, but the next watch fails.
	watchWait = time.Second
	// probeWait replaces it after a watch without an answer.
	probeWait     = 50 * time.Millisecond
	rangeTimeout  = 2 * time.Second
	minRetryDelay = 80 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Follower reports all items and changes under a prefix to its callbacks. Run calls them one at a time, from its own goroutine.
// Fields are set before Run.
type Follower struct {
	Store  *Store
	Prefix string
	Log    zerolog.Logger
	// Pause is the delay before the next watch, which batches events; 0 for none.
	Pause time.Duration
	// LargeValues is set where a change may take longer to arrive than a watch should: one that is late is not sent again, as the two
	// would share the link, and after a failure the prefix is listed, which has each value once.
	LargeValues bool
	// OnReset gets all items, at the start and after a gap in the history.
	OnReset func(items []Item)
	// OnEvents gets later events in order.
	OnEvents func(events []Event)

	failing bool
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var lastRevision Revision
	loaded := false
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		err := f.loadOrWatch(ctx, &lastRevision, &loaded)
		f.logTransition(err)
		if err == nil {
			retryDelay = minRetryDelay
			if err := clock.Sleep(ctx, f.Pause); err != nil {
				return err
			}
			continue
		}
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			loaded = false
			continue
		}
		var tooLarge *TooLargeError
		loaded = loaded && !f.LargeValues && !errors.As(err, &tooLarge) // A list comes in pages.
		if err := clock.Sleep(ctx, retryDelay+rand.N(retryDelay/2)); err != nil {
			return err
		}
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
	return ctx.Err()
}

// loadOrWatch lists the prefix if it is not loaded, and otherwise waits once for changes after lastRevision.
func (f *Follower) loadOrWatch(ctx context.Context, lastRevision *Revision, loaded *bool) error {
	if !*loaded {
		items, from, err := List(ctx, f.Store, f.Prefix)
		if err != nil {
			return err
		}
		*lastRevision, *loaded = from, true
		f.OnReset(items)
		return nil
	}
	changes, err := f.watch(ctx, *lastRevision)
	if err != nil {
		return err
	}
	*lastRevision = max(*lastRevision, changes.At)
	if len(changes.Events) > 0 {
		f.OnEvents(changes.Events)
	}
	return nil
}

// watch waits once for changes. One that is late is sent again, unless values are large, and while the store does not answer, watches are short: the store may drop
// a watch without a word, and its return is to be noticed soon.
func (f *Follower) watch(ctx context.Context, after Revision) (Changes, error) {
	if f.LargeValues {
		return f.Store.Watch(ctx, f.Prefix, after, watchWait)
	}
	first, failing := watchWait, f.failing
	if failing {
		first = 0
	}
	return hedgedAfter(ctx, first+hedgeInterval, func(ctx context.Context, sent int) (Changes, error) {
		if sent > 0 || failing {
			return f.Store.Watch(ctx, f.Prefix, after, probeWait)
		}
		return f.Store.Watch(ctx, f.Prefix, after, watchWait)
	})
}

// logTransition logs the first failure of a series and its end.
func (f *Follower) logTransition(err error) {
	failing := err != nil
	if failing == f.failing {
		return
	}
	f.failing = failing
	if failing {
		f.Log.Warn().Err(err).Str("prefix", f.Prefix).Msg("kv: following lost")
		return
	}
	f.Log.Info().Str("prefix", f.Prefix).Msg("kv: following regained")
}

// List reads all items under a prefix. The result includes all changes up to the returned revision, and may include newer ones.
func List(ctx context.Context, store *Store, prefix string) ([]Item, Revision, error) {
	var items []Item
	var from Revision
	lastKey := ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, rangeTimeout)
		page, err := store.Range(callCtx, prefix, lastKey)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if lastKey == "" {
			// Pages are not one snapshot: a watch from the first page's revision misses nothing and may repeat changes.
			from = page.At
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, from, nil
		}
		lastKey = page.Items[len(page.Items)-1].Key
	}
}
