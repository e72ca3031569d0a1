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
// instance means that the last owner released the key.
type Record struct {
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// writeTries bounds the writes of one Acquire or Release; each but the first follows a lost answer or a released key.
const writeTries = 3

// Acquire takes ownership of a key. It returns HeldError if another process holds it, InvalidError without a valid lease,
// and DoubtError if the result could not be learned.
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
	id, valid := h.id, h.valid()
	h.mu.Unlock()
	if !valid {
		return 0, &InvalidError{Key: key}
	}
	value, err := json.Marshal(Record{Instance: h.Instance, Incarnation: h.Incarnation})
	if err != nil {
		return 0, eris.Wrapf(err, "encoding ownership of %q", key)
	}
	return h.acquire(ctx, key, value, id)
}

// acquire repeats the write after a lost answer: the repeated compare-and-swap is a read that is never stale, as its conflict
// carries the current entry.
func (h *Holder) acquire(ctx context.Context, key string, value []byte, id store.LeaseID) (model.Token, error) {
	var version store.Version
	var doubt error
	for range writeTries {
		entry, err := h.Store.Put(ctx, key, value, version, id)
		var conflict *store.ConflictError
		var gone *store.NotFoundError
		var unavailable *store.UnavailableError
		switch {
		case err == nil:
			return h.own(key, entry, id)
		case errors.As(err, &conflict):
			record, err := decode(conflict.Current)
			if err != nil {
				return 0, err
			}
			mine := conflict.Current.Lease == id
			if record.Instance != "" && mine && doubt != nil && conflict.Current.Version == version+1 {
				return h.own(key, conflict.Current, id)
			}
			if record.Instance != "" && !mine {
				return 0, &HeldError{Key: key, Holder: record.Instance}
			}
			// An entry of an earlier call is written again, because a release of it may still be under way.
			version = conflict.Current.Version
		case errors.As(err, &gone):
			h.nudge()
			return 0, &InvalidError{Key: key}
		case errors.As(err, &unavailable) && unavailable.MaybeApplied:
			doubt = err
		case doubt != nil:
			return 0, h.doubt(key, id, doubt)
		default:
			return 0, eris.Wrapf(err, "acquiring %q", key)
		}
	}
	if doubt != nil {
		return 0, h.doubt(key, id, doubt)
	}
	return 0, &HeldError{Key: key}
}

func (h *Holder) own(key string, entry store.Entry, id store.LeaseID) (model.Token, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.id != id || !h.valid() {
		h.remember(key, id)
		return 0, &InvalidError{Key: key}
	}
	if h.owned == nil {
		h.owned = map[string]ownedKey{}
	}
	owned := ownedKey{token: h.tokenOf(entry), version: entry.Version, lease: id}
	h.owned[key] = owned
	delete(h.doubts, key)
	h.Log.Info().Str("key", key).Uint64("token", uint64(owned.token)).Msg("lease: key acquired")
	return owned.token, nil
}

// Release gives a key up. The instance does not hold it any more when Release starts to write, whatever it returns.
//
// The entry is overwritten under the lease and not deleted: versions restart at 1 when a key is created again, so that a late
// delete could remove the entry of the next owner, whereas a write under an expired lease is refused.
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
		return h.doubt(key, owned.lease, err)
	}
	defer unlock()
	return h.free(ctx, key, owned.version, owned.lease)
}

// free writes the record of a released key if the entry is still the one of this lease.
func (h *Holder) free(ctx context.Context, key string, version store.Version, id store.LeaseID) error {
	value, err := json.Marshal(Record{})
	if err != nil {
		return eris.Wrapf(err, "encoding release of %q", key)
	}
	for range writeTries {
		_, err = h.Store.Put(ctx, key, value, version, id)
		var conflict *store.ConflictError
		var gone *store.NotFoundError
		var unavailable *store.UnavailableError
		switch {
		case err == nil, errors.As(err, &gone), errors.As(err, &conflict):
			// A conflict shows a later entry, which is this release with a lost answer or that of the next owner.
			return nil
		case errors.As(err, &unavailable) && unavailable.MaybeApplied:
		default:
			return h.doubt(key, id, err)
		}
	}
	return h.doubt(key, id, err)
}

func decode(entry store.Entry) (Record, error) {
	if entry.Version == 0 {
		return Record{}, nil
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, eris.Wrapf(err, "decoding ownership of %q", entry.Key)
	}
	return record, nil
}
