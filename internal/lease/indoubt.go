package lease

import (
	"context"
	"errors"

	"peridotgw.example/peridotgw/internal/store"
)

// maxResolveRounds is the number of renewals after which a write without an answer no longer counts as able to reach the store.
const maxResolveRounds = 4

// inDoubtKey is a key that may be held under the lease because the answer to its write was lost. No caller acts as its owner.
type inDoubtKey struct {
	lease  store.LeaseID
	rounds int // resolve attempts so far, one per renewal
}

// unknownResult marks the key as in doubt and returns an InDoubtError for the caller.
func (h *Holder) unknownResult(key string, leaseID store.LeaseID, cause error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markInDoubt(key, leaseID)
	h.Log.Warn().Err(cause).Str("key", key).Msg("lease: result of a write is unknown")
	return &InDoubtError{Key: key, Cause: cause}
}

// markInDoubt marks the key as in doubt; the caller holds mu.
func (h *Holder) markInDoubt(key string, leaseID store.LeaseID) {
	if h.inDoubt == nil {
		h.inDoubt = map[string]inDoubtKey{}
	}
	h.inDoubt[key] = inDoubtKey{lease: leaseID}
}

// resolveInDoubt releases the keys whose write under leaseID may have been applied although its answer was lost. Otherwise such a
// key would have an owner that does not act as one until the instance stops.
func (h *Holder) resolveInDoubt(ctx context.Context, leaseID store.LeaseID) {
	h.mu.Lock()
	var pending []string
	for key, state := range h.inDoubt {
		if state.lease == leaseID && state.rounds < maxResolveRounds {
			pending = append(pending, key)
			continue
		}
		delete(h.inDoubt, key) // The store deletes the keys of an expired lease.
	}
	h.mu.Unlock()
	for _, key := range pending {
		if !h.resolveKey(ctx, key, leaseID) {
			return
		}
	}
}

// resolveKey reads an in-doubt key and releases it if the entry belongs to leaseID. It reports false when the store could not
// be read or written.
func (h *Holder) resolveKey(ctx context.Context, key string, leaseID store.LeaseID) bool {
	unlock, err := h.lockKey(ctx, key)
	if err != nil {
		return false
	}
	defer unlock()
	if h.isResolved(key) {
		return true
	}
	revision, _ := h.LastRenewal()
	entry, err := h.Store.Get(ctx, key, revision)
	var notFound *store.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return false
	}
	if err == nil && entry.Lease == leaseID {
		record, err := decodeRecord(entry)
		if err == nil && record.Instance != "" && h.putRelease(ctx, key, entry.Version, leaseID) != nil {
			return false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inDoubt[key] = inDoubtKey{lease: leaseID, rounds: h.inDoubt[key].rounds + 1}
	return true
}

// isResolved reports whether the key is no longer in doubt, for example because it was acquired since.
func (h *Holder) isResolved(key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, owned := h.owned[key]; owned {
		delete(h.inDoubt, key)
	}
	_, found := h.inDoubt[key]
	return !found
}

// lockKey serializes the calls that write one ownership key. It returns the error of ctx if that ends first.
func (h *Holder) lockKey(ctx context.Context, key string) (unlock func(), err error) {
	for {
		h.mu.Lock()
		if h.keyLocks == nil {
			h.keyLocks = map[string]chan struct{}{}
		}
		unlocked, locked := h.keyLocks[key]
		if !locked {
			unlocked = make(chan struct{})
			h.keyLocks[key] = unlocked
			h.mu.Unlock()
			return func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				delete(h.keyLocks, key)
				close(unlocked)
			}, nil
		}
		h.mu.Unlock()
		select {
		case <-unlocked:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
