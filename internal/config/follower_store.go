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

// Sources of revisions, as values of the metric label "source".
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// readLoop reads the head every maxReadInterval, after a new proof, and when a newer revision has been announced.
func (f *Follower) readLoop(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var lastRead, lastProof time.Time
	failing := false
	for {
		woken := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
			woken = true
		case <-ticker.C:
		}
		_, sent := f.proof()
		sinceRead := f.now().Sub(lastRead)
		due := lastRead.IsZero() || sinceRead >= maxReadInterval || (sent.After(lastProof) && sinceRead >= minReadInterval)
		if sent.IsZero() || (!due && !woken) {
			continue
		}
		lastRead, lastProof = f.now(), sent
		err := f.refreshFromStore(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !failing {
			f.Log.Warn().Err(err).Msg("config: reading the head failed")
		}
		if err == nil && failing {
			f.Log.Info().Msg("config: reading the head works again")
		}
		failing = err != nil
	}
}

// refreshFromStore reads the head at the newest proved store revision and brings it into effect. It does nothing without a proof.
func (f *Follower) refreshFromStore(ctx context.Context) error {
	revision, sent := f.proof()
	if sent.IsZero() {
		return nil
	}
	f.mu.Lock()
	minRevision := max(revision, f.minRevision)
	f.mu.Unlock()
	entry, err := f.Store.Get(ctx, headKey, minRevision)
	var stale *store.StaleError
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		return f.applyEmpty(missing.Revision, minRevision, sent)
	case errors.As(err, &stale):
		f.metrics.recordRefused("stale-read")
		return err
	case err != nil:
		return eris.Wrap(err, "reading head")
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	segments, err := f.fetchNewerSegments(ctx, h, entry.Modified)
	if err != nil {
		return err
	}
	return f.applyRevision(h, entry.Value, segments, sent, sourceStore)
}

// applyEmpty brings the empty configuration into effect when the read proves that none has been published yet.
func (f *Follower) applyEmpty(seen, minRevision store.Revision, sent time.Time) error {
	if seen < minRevision {
		f.metrics.recordRefused("stale-read")
		return &store.StaleError{Key: headKey, Got: seen, Want: minRevision}
	}
	f.mu.Lock()
	first := f.set == nil
	if first {
		f.set = model.NewSet()
	}
	f.mu.Unlock()
	f.confirmRevision(0, sent)
	return nil
}

// fetchNewerSegments returns the segments of a head that is newer than the one in effect, and nil for other heads.
func (f *Follower) fetchNewerSegments(ctx context.Context, h head, minRevision store.Revision) (map[string][]byte, error) {
	current := f.revision()
	if h.Revision == current || !f.mayReplace(current, h.Revision) {
		return nil, nil
	}
	return fetchSegments(ctx, f.Store, h, f.cachedSegments(), minRevision)
}

// watchLoop watches the head. A watch event only triggers a read, because only the read is proved current.
func (f *Follower) watchLoop(ctx context.Context) error {
	var after store.Revision
	for ctx.Err() == nil {
		listing, err := f.Store.Watch(ctx, headKey, after, watchTimeout)
		if err != nil {
			f.Log.Debug().Err(err).Msg("config: watch ended")
			if err := clock.Sleep(ctx, maxReadInterval); err != nil {
				return err
			}
			continue
		}
		after = max(after, listing.Revision)
		for _, entry := range listing.Entries {
			if h, err := decodeHead(entry.Value); err == nil && entry.Key == headKey {
				f.expectRevision(listing.Revision, h.Revision)
			}
		}
	}
	return ctx.Err()
}
