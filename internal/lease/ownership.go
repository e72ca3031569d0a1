package lease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// Record is the value of an ownership key. The fencing token is the store revision at which the entry was written. An empty
// Instance means that the last owner released the key.
type Record struct {
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// maxWriteAttempts limits the writes of one Acquire or Release; each but the first follows a lost answer or a conflict.
const maxWriteAttempts = 3

// Acquire takes ownership of a key and returns its fencing token. It returns HeldError if another process holds the key,
// NoLeaseError without a valid lease, and InDoubtError if the result is unknown.
func (h *Holder) Acquire(ctx context.Context, key string) (model.Token, error) {
	unlock, err := h.lockKey(ctx, key)
	if err != nil {
		return 0, err
	}
	defer unlock()
	if token, held := h.Token(key); held {
		return token, nil
	}
	h.mu.Lock()
	leaseID, valid := h.leaseID, h.valid()
	h.mu.Unlock()
	if !valid {
		return 0, &NoLeaseError{Key: key}
	}
	value, err := json.Marshal(Record{Instance: h.Instance, Incarnation: h.Incarnation})
	if err != nil {
		return 0, eris.Wrapf(err, "encoding ownership of %q", key)
	}
	return h.putOwnership(ctx, key, value, leaseID)
}

// putOwnership writes the ownership record under leaseID, and repeats the write after a lost answer. The repeated
// compare-and-swap also serves as a read that is never stale, because its conflict carries the current entry.
func (h *Holder) putOwnership(ctx context.Context, key string, value []byte, leaseID store.LeaseID) (model.Token, error) {
	var version store.Version
	var unknownResult error
	for range maxWriteAttempts {
		entry, err := h.Store.Put(ctx, key, value, version, leaseID)
		var conflict *store.ConflictError
		var notFound *store.NotFoundError
		var unavailable *store.UnavailableError
		switch {
		case err == nil:
			return h.recordOwned(key, entry, leaseID)
		case errors.As(err, &conflict):
			record, err := decodeRecord(conflict.Current)
			if err != nil {
				return 0, err
			}
			sameLease := conflict.Current.Lease == leaseID
			if record.Instance != "" && sameLease && unknownResult != nil && conflict.Current.Version == version+1 {
				return h.recordOwned(key, conflict.Current, leaseID)
			}
			if record.Instance != "" && !sameLease {
				return 0, &HeldError{Key: key, Holder: record.Instance}
			}
			// An entry of an earlier call is written again, because a delayed release of it may still reach the store.
			version = conflict.Current.Version
		case errors.As(err, &notFound):
			h.wakeRenewal()
			return 0, &NoLeaseError{Key: key}
		case errors.As(err, &unavailable) && unavailable.MaybeApplied:
			unknownResult = err
		case unknownResult != nil:
			return 0, h.unknownResult(key, leaseID, unknownResult)
		default:
			return 0, eris.Wrapf(err, "acquiring %q", key)
		}
	}
	if unknownResult != nil {
		return 0, h.unknownResult(key, leaseID, unknownResult)
	}
	return 0, &HeldError{Key: key}
}

// recordOwned records a key that was written under leaseID as owned. If that lease is no longer valid, the key is in doubt.
func (h *Holder) recordOwned(key string, entry store.Entry, leaseID store.LeaseID) (model.Token, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaseID != leaseID || !h.valid() {
		h.markInDoubt(key, leaseID)
		return 0, &NoLeaseError{Key: key}
	}
	if h.owned == nil {
		h.owned = map[string]ownedKey{}
	}
	owned := ownedKey{token: h.tokenOf(entry), version: entry.Version, lease: leaseID}
	h.owned[key] = owned
	delete(h.inDoubt, key)
	h.Log.Info().Str("key", key).Uint64("token", uint64(owned.token)).Msg("lease: key acquired")
	return owned.token, nil
}

// Release ends the ownership of a key. Token reports the key as not owned before the store is written, whatever Release returns;
// InDoubtError means that the result of the write is unknown.
//
// The entry is overwritten under the lease and not deleted: versions restart at 1 when a key is created again, so a delayed
// delete could remove the entry of the next owner, whereas the store refuses a write under an expired lease.
func (h *Holder) Release(ctx context.Context, key string) error {
	h.mu.Lock()
	owned, found := h.owned[key]
	delete(h.owned, key)
	h.mu.Unlock()
	if !found {
		return nil
	}
	unlock, err := h.lockKey(ctx, key)
	if err != nil {
		return h.unknownResult(key, owned.lease, err)
	}
	defer unlock()
	return h.putRelease(ctx, key, owned.version, owned.lease)
}

// putRelease writes the record of a released key if the entry still has this version.
func (h *Holder) putRelease(ctx context.Context, key string, version store.Version, leaseID store.LeaseID) error {
	value, err := json.Marshal(Record{})
	if err != nil {
		return eris.Wrapf(err, "encoding release of %q", key)
	}
	for range maxWriteAttempts {
		_, err = h.Store.Put(ctx, key, value, version, leaseID)
		var conflict *store.ConflictError
		var notFound *store.NotFoundError
		var unavailable *store.UnavailableError
		switch {
		case err == nil, errors.As(err, &notFound), errors.As(err, &conflict):
			// A conflict shows a later entry: this release, whose answer was lost, or the entry of the next owner.
			return nil
		case errors.As(err, &unavailable) && unavailable.MaybeApplied:
		default:
			return h.unknownResult(key, leaseID, err)
		}
	}
	return h.unknownResult(key, leaseID, err)
}

func decodeRecord(entry store.Entry) (Record, error) {
	if entry.Version == 0 {
		return Record{}, nil
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, eris.Wrapf(err, "decoding ownership of %q", entry.Key)
	}
	return record, nil
}
