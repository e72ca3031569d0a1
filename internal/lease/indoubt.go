package lease

import (
	"context"
	"errors"

	"peridotgw.example/peridotgw/internal/store"
)

// maxResolveRounds is the number of renewals after which a write without an answer is no longer expected to reach the store.
const maxResolveRounds = 4

// inDoubtKey is a key that may be held under the lease because the answer to its write was lost. No caller acts as its owner.
type inDoubtKey struct {
	lease  store.LeaseID
	rounds int // resolve attempts so far, one per renewal
}

// unknownResult marks the key as in doubt and returns an InDoubtError for the caller.
func (h *Holder) unknownResult(key string, id store.LeaseID, cause error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markInDoubt(key, id)
	h.Log.Warn().Err(cause).Str("key", key).Msg("lease: result of a write is unknown")
	return &InDoubtError{Key: key, Cause: cause}
}

// markInDoubt needs mu.
func (h *Holder) markInDoubt(key string, id store.LeaseID) {
	if h.inDoubt == nil {
		h.inDoubt = map[string]inDoubtKey{}
	}
	h.inDoubt[key] = inDoubtKey{lease: id}
}

// resolveInDoubt releases the keys whose write under lease id may have been applied although its answer was lost. Without it
// such a key would have an owner that does not act on it until the instance stops.
func (h *Holder) resolveInDoubt(ctx context.Context, id store.LeaseID) {
	h.mu.Lock()
	var pending []string
	for key, state := range h.inDoubt {
		if state.lease == id && state.rounds < maxResolveRounds {
			pending = append(pending, key)
			continue
		}
		delete(h.inDoubt, key) // The store deletes the keys of an expired lease.
	}
	h.mu.Unlock()
	for _, key := range pending {
		if !h.resolveKey(ctx, key, id) {
			return
		}
	}
}

// resolveKey reads an in-doubt key and releases it if the entry belongs to lease id. It reports false when the store could not
// be read or written.
func (h *Holder) resolveKey(ctx context.Context, key string, id store.LeaseID) bool {
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
	if err == nil && entry.Lease == id {
		record, err := decodeRecord(entry)
		if err == nil && record.Instance != "" && h.putRelease(ctx, key, entry.Version, id) != nil {
			return false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inDoubt[key] = inDoubtKey{lease: id, rounds: h.inDoubt[key].rounds + 1}
	return true
}

// isResolved reports whether the key is no longer in doubt; a key that has been acquired since is not.
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
