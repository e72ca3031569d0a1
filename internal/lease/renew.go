package lease

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/store"
)

// Run grants and renews the lease until ctx ends; the lease is left to Close or to its expiry.
func (h *Holder) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { h.renewals(ctx); return nil })
	group.Go(func() error { h.upkeep(ctx); return nil })
	return group.Wait()
}

func (h *Holder) renewals(ctx context.Context) {
	wake := h.channel(&h.wake)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-wake:
		}
		started := h.now()
		wait := h.renewEvery()
		if h.renew(ctx) {
			h.nudgeUpkeep()
		} else {
			// The validity runs out, so a failed renewal is repeated sooner.
			wait /= 3
		}
		timer.Reset(max(wait-h.now().Sub(started), h.renewEvery()/10))
	}
}

// upkeep writes kept keys and settles doubts apart from the renewals, which must not wait for these calls.
func (h *Holder) upkeep(ctx context.Context) {
	work := h.channel(&h.work)
	for {
		select {
		case <-ctx.Done():
			return
		case <-work:
		}
		h.mu.Lock()
		id := h.id
		h.mu.Unlock()
		if id == 0 {
			continue
		}
		h.writeKept(ctx, id)
		h.settleDoubts(ctx, id)
	}
}

// renew keeps the lease alive, or grants one.
func (h *Holder) renew(ctx context.Context) bool {
	h.mu.Lock()
	id, closed := h.id, h.closed
	h.mu.Unlock()
	switch {
	case closed:
		return true
	case id == 0:
		return h.grant(ctx)
	default:
		return h.keepAlive(ctx, id)
	}
}

// keepAlive renews the lease id, and grants a new one when the store does not know it any more.
func (h *Holder) keepAlive(ctx context.Context, id store.LeaseID) bool {
	sentAt := h.now()
	renewed, err := h.Store.KeepAlive(ctx, id)
	var gone *store.NotFoundError
	if errors.As(err, &gone) {
		h.lose(id)
		return h.grant(ctx)
	}
	if err != nil {
		h.Log.Warn().Err(err).Msg("lease: renewal did not succeed")
		h.count("renewal")
		return false
	}
	h.record(id, renewed.Revision, sentAt)
	return true
}

func (h *Holder) grant(ctx context.Context) bool {
	sentAt := h.now()
	granted, err := h.Store.Grant(ctx, h.ttl())
	if err != nil {
		h.Log.Warn().Err(err).Msg("lease: grant did not succeed")
		h.count("grant")
		return false
	}
	h.mu.Lock()
	closed := h.closed
	if !closed {
		h.id, h.sentAt, h.revision = granted.ID, sentAt, max(h.revision, granted.Revision)
	}
	h.mu.Unlock()
	if closed {
		h.revokeLate(ctx, granted.ID)
		return false
	}
	h.Log.Info().Uint64("lease", uint64(granted.ID)).Msg("lease: granted")
	return true
}

// revokeLate ends a lease that was granted while Close ran.
func (h *Holder) revokeLate(ctx context.Context, id store.LeaseID) {
	if err := h.Store.Revoke(ctx, id); err != nil {
		h.Log.Warn().Err(err).Msg("lease: lease that was granted during the stop is left to its expiry")
	}
}

func (h *Holder) record(id store.LeaseID, revision store.Revision, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.id != id || h.closed {
		return
	}
	h.revision, h.sentAt = max(h.revision, revision), sentAt
}

// lose forgets a lease that the store no longer knows, with all ownership under it.
func (h *Holder) lose(id store.LeaseID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.id != id {
		return
	}
	h.Log.Warn().Uint64("lease", uint64(id)).Int("owned", len(h.owned)).Msg("lease: expired")
	h.id = 0
	h.owned = nil
}

func (h *Holder) writeKept(ctx context.Context, id store.LeaseID) {
	h.mu.Lock()
	kept := make(map[string]*keptKey, len(h.kept))
	for key, state := range h.kept {
		kept[key] = state
	}
	h.mu.Unlock()
	for key, state := range kept {
		value := state.value()
		if state.lease == id && bytes.Equal(state.written, value) {
			continue
		}
		if err := h.writeKey(ctx, key, state, value, id); err != nil {
			h.Log.Warn().Err(err).Str("key", key).Msg("lease: kept key was not written")
			h.count("keep")
		}
	}
}

// writeKey overwrites whatever is there: this instance is the only writer of the keys that it keeps, and an entry that is
// still there is one of its own earlier leases.
func (h *Holder) writeKey(ctx context.Context, key string, state *keptKey, value []byte, id store.LeaseID) error {
	for range 2 {
		entry, err := h.Store.Put(ctx, key, value, state.version, id)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			state.version = conflict.Current.Version
			continue
		}
		if err != nil {
			return err
		}
		state.version, state.lease, state.written = entry.Version, id, value
		return nil
	}
	return &DoubtError{Key: key, Cause: eris.New("key changes while it is written")}
}

func (h *Holder) count(reason string) {
	if h.Metrics != nil {
		h.Metrics.Retries.WithLabelValues("lease", reason).Inc()
	}
}
