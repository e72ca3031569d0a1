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

// Run grants and renews the lease until ctx ends, and then returns nil. It does not revoke the lease: that is done by Close.
func (h *Holder) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { h.renewLoop(ctx); return nil })
	group.Go(func() error { h.upkeepLoop(ctx); return nil })
	return group.Wait()
}

func (h *Holder) renewLoop(ctx context.Context) {
	renewalWake := h.wakeChannel(&h.renewalWake)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-renewalWake:
		}
		started := h.now()
		wait := h.renewInterval()
		if h.renew(ctx) {
			h.wakeUpkeep()
		} else {
			// A failed renewal is retried sooner, because the lease is about to expire.
			wait /= 3
		}
		timer.Reset(max(wait-h.now().Sub(started), h.renewInterval()/10))
	}
}

// upkeepLoop writes kept keys and resolves in-doubt keys. It has its own goroutine because renewals must not wait for these calls.
func (h *Holder) upkeepLoop(ctx context.Context) {
	upkeepWake := h.wakeChannel(&h.upkeepWake)
	for {
		select {
		case <-ctx.Done():
			return
		case <-upkeepWake:
		}
		h.mu.Lock()
		leaseID := h.leaseID
		h.mu.Unlock()
		if leaseID == 0 {
			continue
		}
		h.writeKeptKeys(ctx, leaseID)
		h.resolveInDoubt(ctx, leaseID)
	}
}

// renew renews the lease, or grants one if there is none. It reports false if the store call failed.
func (h *Holder) renew(ctx context.Context) bool {
	h.mu.Lock()
	leaseID, closed := h.leaseID, h.closed
	h.mu.Unlock()
	switch {
	case closed:
		return true
	case leaseID == 0:
		return h.grant(ctx)
	default:
		return h.keepAlive(ctx, leaseID)
	}
}

// keepAlive renews leaseID, and grants a new one if the store no longer knows it.
func (h *Holder) keepAlive(ctx context.Context, leaseID store.LeaseID) bool {
	sentAt := h.now()
	renewed, err := h.Store.KeepAlive(ctx, leaseID)
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		h.dropLease(leaseID)
		return h.grant(ctx)
	}
	if err != nil {
		h.Log.Warn().Err(err).Msg("lease: renewal failed")
		h.countRetry("renewal")
		return false
	}
	h.recordRenewal(leaseID, renewed.Revision, sentAt)
	return true
}

func (h *Holder) grant(ctx context.Context) bool {
	sentAt := h.now()
	granted, err := h.Store.Grant(ctx, h.ttl())
	if err != nil {
		h.Log.Warn().Err(err).Msg("lease: grant failed")
		h.countRetry("grant")
		return false
	}
	h.mu.Lock()
	closed := h.closed
	if !closed {
		h.leaseID, h.sentAt, h.revision = granted.ID, sentAt, max(h.revision, granted.Revision)
	}
	h.mu.Unlock()
	if closed {
		h.revokeAfterClose(ctx, granted.ID)
		return false
	}
	h.Log.Info().Uint64("lease", uint64(granted.ID)).Msg("lease: granted")
	return true
}

// revokeAfterClose revokes a lease that was granted while Close ran.
func (h *Holder) revokeAfterClose(ctx context.Context, leaseID store.LeaseID) {
	if err := h.Store.Revoke(ctx, leaseID); err != nil {
		h.Log.Warn().Err(err).Msg("lease: could not revoke a lease granted during Close; it will expire")
	}
}

// recordRenewal extends the validity of leaseID after a successful renewal.
func (h *Holder) recordRenewal(leaseID store.LeaseID, revision store.Revision, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaseID != leaseID || h.closed {
		return
	}
	h.revision, h.sentAt = max(h.revision, revision), sentAt
}

// dropLease clears a lease that the store no longer knows, and all ownership under it.
func (h *Holder) dropLease(leaseID store.LeaseID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaseID != leaseID {
		return
	}
	h.Log.Warn().Uint64("lease", uint64(leaseID)).Int("owned", len(h.owned)).Msg("lease: expired")
	h.leaseID = 0
	h.owned = nil
}

// writeKeptKeys writes the kept keys whose value or lease changed since their last write.
func (h *Holder) writeKeptKeys(ctx context.Context, leaseID store.LeaseID) {
	h.mu.Lock()
	kept := make(map[string]*keptKey, len(h.kept))
	for key, state := range h.kept {
		kept[key] = state
	}
	h.mu.Unlock()
	for key, state := range kept {
		value := state.value()
		if state.lease == leaseID && bytes.Equal(state.written, value) {
			continue
		}
		if err := h.writeKeptKey(ctx, key, state, value, leaseID); err != nil {
			h.Log.Warn().Err(err).Str("key", key).Msg("lease: writing a kept key failed")
			h.countRetry("keep")
		}
	}
}

// writeKeptKey writes a kept key under leaseID. It overwrites any existing entry: this instance is the only writer of the keys
// that it keeps, so an existing entry was written under one of its own earlier leases.
func (h *Holder) writeKeptKey(ctx context.Context, key string, state *keptKey, value []byte, leaseID store.LeaseID) error {
	for range 2 {
		entry, err := h.Store.Put(ctx, key, value, state.version, leaseID)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			state.version = conflict.Current.Version
			continue
		}
		if err != nil {
			return err
		}
		state.version, state.lease, state.written = entry.Version, leaseID, value
		return nil
	}
	return &InDoubtError{Key: key, Cause: eris.New("key changes while it is written")}
}

func (h *Holder) countRetry(reason string) {
	if h.Metrics != nil {
		h.Metrics.Retries.WithLabelValues("lease", reason).Inc()
	}
}
