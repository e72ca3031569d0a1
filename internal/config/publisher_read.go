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

// proofTTL is the time to live of the lease that proves a read current. No key is attached to that lease.
const proofTTL = time.Second

// observedHead is a head as read from the store; revision 0 means that no head exists.
type observedHead struct {
	head    head
	raw     []byte // head as stored
	version store.Version
	// seen is a store revision at which this was the head.
	seen store.Revision
}

// readNewestHead reads the current head. Granting a lease is a write, so a read at the revision of its answer cannot be stale.
// Without it, a stale read could suggest that a change did not take effect although it did.
func (p *Publisher) readNewestHead(ctx context.Context) (observedHead, error) {
	var lease store.Lease
	err := retryTransient(ctx, func() error {
		var err error
		lease, err = p.Store.Grant(ctx, proofTTL)
		return err
	})
	if err != nil {
		return observedHead{}, eris.Wrap(err, "proving reads current")
	}
	return p.readHead(ctx, lease.Revision)
}

// readHead reads the head from a state at least as new as minRevision, this instance's last write and the newest store
// revision that its follower knows; a head that does not exist has revision 0.
func (p *Publisher) readHead(ctx context.Context, minRevision store.Revision) (observedHead, error) {
	if p.Follower != nil {
		minRevision = max(minRevision, p.Follower.newestStoreRevision())
	}
	entry, err := readAtLeast(ctx, p.Store, headKey, minRevision)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return observedHead{seen: missing.Revision}, nil
	}
	if err != nil {
		return observedHead{}, eris.Wrap(err, "reading head")
	}
	return decodeObserved(entry)
}

// decodeObserved decodes an entry of the head key; a missing entry has revision 0.
func decodeObserved(entry store.Entry) (observedHead, error) {
	if entry.Version == 0 {
		return observedHead{seen: entry.Revision}, nil
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		return observedHead{}, err
	}
	return observedHead{head: h, raw: entry.Value, version: entry.Version, seen: max(entry.Revision, entry.Modified)}, nil
}

// readRecord reads a change record; it is nil when there is none.
func (p *Publisher) readRecord(ctx context.Context, id model.ChangeID, minRevision store.Revision) (*changeRecord, store.Version, error) {
	entry, err := readAtLeast(ctx, p.Store, changeKey(id), minRevision)
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

func decodeRecord(data []byte) (*changeRecord, error) {
	var rec changeRecord
	if err := json.Unmarshal(data, &rec); err != nil {
		return nil, eris.Wrap(err, "decoding change record")
	}
	return &rec, nil
}

// effectiveHead returns the head by which a recorded change took effect. If there is none and the record's target is not above
// the newest head, the change certainly had no effect.
func (p *Publisher) effectiveHead(ctx context.Context, rec changeRecord, newest observedHead) (head, bool, error) {
	if rec.Target > newest.head.Revision {
		return head{}, false, nil
	}
	h, err := p.headAt(ctx, rec.Target, newest)
	if err != nil {
		return head{}, false, eris.Wrapf(err, "reading revision %d", rec.Target)
	}
	return h, h.ChangeID == rec.ChangeID && h.Digest == rec.Digest, nil
}

// headAt returns the head of a revision; 0 means the newest. The history entry of a revision is written before the next head,
// so a read at least as new as the next head finds it.
func (p *Publisher) headAt(ctx context.Context, rev model.Revision, newest observedHead) (head, error) {
	if rev == 0 || rev == newest.head.Revision {
		return newest.head, nil
	}
	if rev > newest.head.Revision {
		return head{}, &store.NotFoundError{Key: historyKey(rev), Revision: newest.seen}
	}
	entry, err := readAtLeast(ctx, p.Store, historyKey(rev), newest.seen)
	if err != nil {
		return head{}, err
	}
	return decodeHead(entry.Value)
}

// setAt returns the configuration of a revision; 0 means the newest.
func (p *Publisher) setAt(ctx context.Context, rev model.Revision, newest observedHead) (*model.Set, error) {
	if newest.head.Revision == 0 && rev == 0 {
		return model.NewSet(), nil
	}
	h, err := p.headAt(ctx, rev, newest)
	if err != nil {
		return nil, err
	}
	segments, err := fetchSegments(ctx, p.Store, h, p.followerSegments(), newest.seen)
	if err != nil {
		return nil, err
	}
	return assembleSet(h, segments)
}

// followerSegments returns the segments in memory, which need not be read from the store.
func (p *Publisher) followerSegments() map[string][]byte {
	if p.Follower == nil {
		return nil
	}
	return p.Follower.cachedSegments()
}

// fetchSegments returns the segments of a head, reading only those that are not in have.
func fetchSegments(
	ctx context.Context, client *store.Client, h head, have map[string][]byte, minRevision store.Revision,
) (map[string][]byte, error) {
	segments := map[string][]byte{}
	for _, hash := range h.hashes() {
		if data, found := have[hash]; found {
			segments[hash] = data
			continue
		}
		entry, err := readAtLeast(ctx, client, segmentPrefix+hash, minRevision)
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

// readAtLeast reads a key from a state at least as new as minRevision; a not-found error is at least that new as well.
func readAtLeast(ctx context.Context, client *store.Client, key string, minRevision store.Revision) (store.Entry, error) {
	var entry store.Entry
	err := retryTransient(ctx, func() error {
		var err error
		entry, err = client.Get(ctx, key, minRevision)
		var missing *store.NotFoundError
		if errors.As(err, &missing) && missing.Revision < minRevision {
			return &store.StaleError{Key: key, Got: missing.Revision, Want: minRevision}
		}
		return err
	})
	return entry, err
}

// retryTransient retries a call that fails with an UnavailableError or a StaleError until ctx ends or the attempts are used up.
func retryTransient(ctx context.Context, call func() error) error {
	const attempts = 4
	delay := initialRetryDelay
	for attempt := 1; ; attempt++ {
		err := call()
		var unavailable *store.UnavailableError
		var stale *store.StaleError
		repeatable := errors.As(err, &unavailable) || errors.As(err, &stale)
		if err == nil || attempt == attempts || !repeatable {
			return err
		}
		if clock.Sleep(ctx, delay) != nil {
			return err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
