package config

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// proofTTL is the life of the lease that proves a read current. Nothing is attached to it.
const proofTTL = time.Second

// observed is a head with its version in the store.
type observed struct {
	head    head
	raw     []byte
	version store.Version
	// seen is a store revision at which the head was as it is here.
	seen store.Revision
}

// newest reads the head as it is now. Granting a lease is a write, so a read at the revision of its answer cannot be stale.
// Without it, a stale read could show that a change did not take effect although it did.
func (p *Publisher) newest(ctx context.Context) (observed, error) {
	var lease store.Lease
	err := again(ctx, func() error {
		var err error
		lease, err = p.Store.Grant(ctx, proofTTL)
		return err
	})
	if err != nil {
		return observed{}, eris.Wrap(err, "proving reads current")
	}
	return p.readHead(ctx, lease.Revision)
}

// readHead reads the head at least as new as the store revision atLeast, the instance's last own write and its follower's
// knowledge; a head that does not exist has revision 0.
func (p *Publisher) readHead(ctx context.Context, atLeast store.Revision) (observed, error) {
	if p.Follower != nil {
		atLeast = max(atLeast, p.Follower.proved())
	}
	entry, err := read(ctx, p.Store, headKey, atLeast)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return observed{seen: missing.Revision}, nil
	}
	if err != nil {
		return observed{}, eris.Wrap(err, "reading head")
	}
	return observe(entry)
}

func observe(entry store.Entry) (observed, error) {
	if entry.Version == 0 {
		return observed{seen: entry.Revision}, nil
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		return observed{}, err
	}
	return observed{head: h, raw: entry.Value, version: entry.Version, seen: max(entry.Revision, entry.Modified)}, nil
}

// readRecord reads a change record; it is nil when there is none.
func (p *Publisher) readRecord(ctx context.Context, id model.ChangeID, atLeast store.Revision) (*record, store.Version, error) {
	entry, err := read(ctx, p.Store, changeKey(id), atLeast)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, eris.Wrap(err, "reading change record")
	}
	rec, err := decodeRecord(entry.Value)
	return rec, entry.Version, err
}

func decodeRecord(data []byte) (*record, error) {
	var rec record
	if err := json.Unmarshal(data, &rec); err != nil {
		return nil, eris.Wrap(err, "decoding change record")
	}
	return &rec, nil
}

// effect returns the head by which a recorded change took effect. Without one, the change certainly has no effect if its
// target is not above the head.
func (p *Publisher) effect(ctx context.Context, rec record, now observed) (head, bool, error) {
	if rec.Target > now.head.Revision {
		return head{}, false, nil
	}
	h, err := p.headAt(ctx, rec.Target, now)
	if err != nil {
		return head{}, false, eris.Wrapf(err, "reading revision %d", rec.Target)
	}
	return h, h.ChangeID == rec.ChangeID && h.Digest == rec.Digest, nil
}

// headAt returns the head of a revision; 0 means the newest. The history entry of a revision is written before the next
// head, so a read as new as that head finds it.
func (p *Publisher) headAt(ctx context.Context, rev model.Revision, now observed) (head, error) {
	if rev == 0 || rev == now.head.Revision {
		return now.head, nil
	}
	if rev > now.head.Revision {
		return head{}, &store.NotFoundError{Key: historyKey(rev), Revision: now.seen}
	}
	entry, err := read(ctx, p.Store, historyKey(rev), now.seen)
	if err != nil {
		return head{}, err
	}
	return decodeHead(entry.Value)
}

// setAt returns the configuration of a revision; 0 means the newest.
func (p *Publisher) setAt(ctx context.Context, rev model.Revision, now observed) (*model.Set, error) {
	if now.head.Revision == 0 && rev == 0 {
		return model.NewSet(), nil
	}
	h, err := p.headAt(ctx, rev, now)
	if err != nil {
		return nil, err
	}
	segments, err := fetchSegments(ctx, p.Store, h, p.cached(), now.seen)
	if err != nil {
		return nil, err
	}
	return assemble(h, segments)
}

func (p *Publisher) cached() map[string][]byte {
	if p.Follower == nil {
		return nil
	}
	return p.Follower.cachedSegments()
}

// fetchSegments returns the segments of a head, reading only those that are not in have.
func fetchSegments(
	ctx context.Context, client *store.Client, h head, have map[string][]byte, atLeast store.Revision,
) (map[string][]byte, error) {
	segments := map[string][]byte{}
	for _, hash := range h.hashes() {
		if data, found := have[hash]; found {
			segments[hash] = data
			continue
		}
		entry, err := read(ctx, client, segmentPrefix+hash, atLeast)
		var missing *store.NotFoundError
		if errors.As(err, &missing) {
			return nil, &MissingSegmentError{Revision: h.Revision, Hash: hash}
		}
		if err != nil {
			return nil, eris.Wrapf(err, "reading segment %s", hash)
		}
		segments[hash] = entry.Value
	}
	return segments, nil
}

// read reads a key from a state that is at least as new as atLeast, also when the key does not exist in it.
func read(ctx context.Context, client *store.Client, key string, atLeast store.Revision) (store.Entry, error) {
	var entry store.Entry
	err := again(ctx, func() error {
		var err error
		entry, err = client.Get(ctx, key, atLeast)
		var missing *store.NotFoundError
		if errors.As(err, &missing) && missing.Revision < atLeast {
			return &store.StaleError{Key: key, Got: missing.Revision, Want: atLeast}
		}
		return err
	})
	return entry, err
}

// again repeats a call that reached no usable answer until its context ends or the attempts are used up.
func again(ctx context.Context, call func() error) error {
	const attempts = 4
	pause := retryPause
	for attempt := 1; ; attempt++ {
		err := call()
		var unavailable *store.UnavailableError
		var stale *store.StaleError
		repeatable := errors.As(err, &unavailable) || errors.As(err, &stale)
		if err == nil || attempt == attempts || !repeatable {
			return err
		}
		if clock.Sleep(ctx, pause) != nil {
			return err
		}
		pause = min(2*pause, maxRetryPause)
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
