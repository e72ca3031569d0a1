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
	// watchWait bounds how long a change stays unseen: a watch that waits hears nothing of changes whose history is dropped.
	watchWait      = time.Second
	rangeTimeout   = 2 * time.Second
	followRetryMin = 80 * time.Millisecond
	followRetryMax = 500 * time.Millisecond
)

// Follower keeps its owner informed of everything under a prefix.
type Follower struct {
	Store  *Store
	Prefix string
	Log    zerolog.Logger
	// Pause is the least time between two watches, in which events collect; 0 for none.
	Pause time.Duration
	// OnReset gets all items, at the start and after a gap in the history.
	OnReset func(items []Item)
	// OnEvents gets later events in order.
	OnEvents func(events []Event)

	failing bool
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var at Revision
	loaded := false
	retry := followRetryMin
	for ctx.Err() == nil {
		err := f.step(ctx, &at, &loaded)
		f.note(err)
		if err == nil {
			retry = followRetryMin
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
		if err := clock.Sleep(ctx, retry+rand.N(retry/2)); err != nil {
			return err
		}
		retry = min(2*retry, followRetryMax)
	}
	return ctx.Err()
}

func (f *Follower) step(ctx context.Context, at *Revision, loaded *bool) error {
	if !*loaded {
		items, from, err := List(ctx, f.Store, f.Prefix)
		if err != nil {
			return err
		}
		*at, *loaded = from, true
		f.OnReset(items)
		return nil
	}
	changes, err := f.Store.Watch(ctx, f.Prefix, *at, watchWait)
	if err != nil {
		return err
	}
	*at = max(*at, changes.At)
	if len(changes.Events) > 0 {
		f.OnEvents(changes.Events)
	}
	return nil
}

// note logs the first failure of a series and its end.
func (f *Follower) note(err error) {
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

// List reads all items under a prefix; the result is complete for changes up to the returned revision, and may hold newer ones.
func List(ctx context.Context, store *Store, prefix string) ([]Item, Revision, error) {
	var items []Item
	var from Revision
	after := ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, rangeTimeout)
		page, err := store.Range(callCtx, prefix, after)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			// Pages are no snapshot: watching from the first page's revision repeats what later pages already showed.
			from = page.At
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, from, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
