package config

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// Sources of revisions, as labels of counters.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// readLoop reads the head once a second, when there is a new proof, and when a newer revision is known of.
func (f *Follower) readLoop(ctx context.Context) error {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	var last, usedProof time.Time
	failing := false
	for {
		hinted := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
			hinted = true
		case <-ticker.C:
		}
		_, sent := f.proof()
		since := f.now().Sub(last)
		due := last.IsZero() || since >= readEvery || (sent.After(usedProof) && since >= readGap)
		if sent.IsZero() || (!due && !hinted) {
			continue
		}
		last, usedProof = f.now(), sent
		err := f.readStore(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !failing {
			f.Log.Warn().Err(err).Msg("config: head not read")
		}
		if err == nil && failing {
			f.Log.Info().Msg("config: head read again")
		}
		failing = err != nil
	}
}

// readStore reads the head at the newest proof and brings it into effect.
func (f *Follower) readStore(ctx context.Context) error {
	revision, sent := f.proof()
	if sent.IsZero() {
		return nil
	}
	f.mu.Lock()
	atLeast := max(revision, f.atLeast)
	f.mu.Unlock()
	entry, err := f.Store.Get(ctx, headKey, atLeast)
	var stale *store.StaleError
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		return f.empty(missing.Revision, atLeast, sent)
	case errors.As(err, &stale):
		f.counts.refused("stale-read")
		return err
	case err != nil:
		return eris.Wrap(err, "reading head")
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	segments, err := f.segmentsOf(ctx, h, entry.Modified)
	if err != nil {
		return err
	}
	return f.offer(h, entry.Value, segments, sent, sourceStore)
}

// empty brings the empty configuration into effect when it is proved that none was published yet.
func (f *Follower) empty(seen, atLeast store.Revision, sent time.Time) error {
	if seen < atLeast {
		f.counts.refused("stale-read")
		return &store.StaleError{Key: headKey, Got: seen, Want: atLeast}
	}
	f.mu.Lock()
	first := f.set == nil
	if first {
		f.set = model.NewSet()
	}
	f.mu.Unlock()
	f.confirm(0, sent)
	return nil
}

// segmentsOf returns the segments of a head that is newer than the one in effect.
func (f *Follower) segmentsOf(ctx context.Context, h head, atLeast store.Revision) (map[string][]byte, error) {
	current := f.revision()
	if h.Revision == current || !f.newer(current, h.Revision) {
		return nil, nil
	}
	return fetchSegments(ctx, f.Store, h, f.cachedSegments(), atLeast)
}

// watchLoop waits for changes of the head. What a watch shows is only a hint: the read that follows it is proved.
func (f *Follower) watchLoop(ctx context.Context) error {
	var after store.Revision
	for ctx.Err() == nil {
		listing, err := f.Store.Watch(ctx, headKey, after, watchWait)
		if err != nil {
			f.Log.Debug().Err(err).Msg("config: watch ended")
			if err := clock.Sleep(ctx, readEvery); err != nil {
				return err
			}
			continue
		}
		after = max(after, listing.Revision)
		for _, entry := range listing.Entries {
			if h, err := decodeHead(entry.Value); err == nil && entry.Key == headKey {
				f.hint(listing.Revision, h.Revision)
			}
		}
	}
	return ctx.Err()
}
