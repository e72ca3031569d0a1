package lease

import (
	"context"
	"errors"

	"peridotgw.example/peridotgw/internal/store"
)

// settleRounds is the number of renewals after which a write without an answer is not expected to arrive any more.
const settleRounds = 4

// doubtfulKey is a key that may be held under the lease although nobody uses it.
type doubtfulKey struct {
	lease  store.LeaseID
	rounds int
}

func (h *Holder) doubt(key string, id store.LeaseID, cause error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remember(key, id)
	h.Log.Warn().Err(cause).Str("key", key).Msg("lease: result of a write is unknown")
	return &DoubtError{Key: key, Cause: cause}
}

func (h *Holder) remember(key string, id store.LeaseID) {
	if h.doubts == nil {
		h.doubts = map[string]doubtfulKey{}
	}
	h.doubts[key] = doubtfulKey{lease: id}
}

// settleDoubts ends the ownership of keys that were written under lease id without the answer being learned. Otherwise such a
// key has an owner that does not act on it for as long as the instance lives.
func (h *Holder) settleDoubts(ctx context.Context, id store.LeaseID) {
	h.mu.Lock()
	var open []string
	for key, doubtful := range h.doubts {
		if doubtful.lease == id && doubtful.rounds < settleRounds {
			open = append(open, key)
			continue
		}
		delete(h.doubts, key) // The keys of an expired lease are gone.
	}
	h.mu.Unlock()
	for _, key := range open {
		if !h.settle(ctx, key, id) {
			return
		}
	}
}

func (h *Holder) settle(ctx context.Context, key string, id store.LeaseID) bool {
	unlock, err := h.lockKey(ctx, key)
	if err != nil {
		return false
	}
	defer unlock()
	if h.settled(key) {
		return true
	}
	revision, _ := h.Proof()
	entry, err := h.Store.Get(ctx, key, revision)
	var gone *store.NotFoundError
	if err != nil && !errors.As(err, &gone) {
		return false
	}
	if err == nil && entry.Lease == id {
		record, err := decode(entry)
		if err == nil && record.Instance != "" && h.free(ctx, key, entry.Version, id) != nil {
			return false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.doubts[key] = doubtfulKey{lease: id, rounds: h.doubts[key].rounds + 1}
	return true
}

// settled reports whether the key has been acquired or dropped since it came into doubt.
func (h *Holder) settled(key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, owned := h.owned[key]; owned {
		delete(h.doubts, key)
	}
	_, found := h.doubts[key]
	return !found
}

// lockKey makes the calls that write one ownership key follow each other.
func (h *Holder) lockKey(ctx context.Context, key string) (unlock func(), err error) {
	for {
		h.mu.Lock()
		if h.busy == nil {
			h.busy = map[string]chan struct{}{}
		}
		done, taken := h.busy[key]
		if !taken {
			done = make(chan struct{})
			h.busy[key] = done
			h.mu.Unlock()
			return func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				delete(h.busy, key)
				close(done)
			}, nil
		}
		h.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
