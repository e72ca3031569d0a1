package config

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
)

// ProcedureSnapshot returns the configuration in effect on another instance.
const ProcedureSnapshot wire.Procedure = "/peer/snapshot"

// snapshotTimeout bounds one fetch from a peer.
const snapshotTimeout = 2 * time.Second

type snapshotRequest struct {
	// Have holds the hashes of the segments that the caller has.
	Have []string `cbor:"1,keyasint,omitempty"`
}

type snapshotAnswer struct {
	// Head is the value of the head key.
	Head []byte `cbor:"1,keyasint"`
	// Segments holds the segments that the caller lacks, by hash.
	Segments map[string][]byte `cbor:"2,keyasint,omitempty"`
}

var errNoSnapshot = errors.New("no configuration is in effect")

// Report processes the revision and the confirmation that a peer reported. It does not block.
func (f *Follower) Report(r member.Report) {
	f.lazyInit()
	asOf := r.AsOf
	if asOf.IsZero() {
		asOf = f.now()
	}
	proved := asOf.Add(-r.ConfirmedAge)
	f.mu.Lock()
	current, ready := f.head.Revision, f.set != nil
	if r.Confirmed && (r.Revision > f.peerConfirmation.revision ||
		r.Revision == f.peerConfirmation.revision && proved.After(f.peerConfirmation.at)) {
		f.peerConfirmation = peerConfirmation{revision: r.Revision, at: proved}
	}
	f.mu.Unlock()
	switch {
	case ready && r.Revision == current:
		if r.Confirmed {
			f.confirmRevision(current, proved)
		}
	case ready && r.Revision > current:
		f.notePeerAhead(r.Instance, r.Revision)
	case !ready && r.Confirmed && f.provedSinceStart(proved):
		// Before its first proved read, an instance accepts only a revision that was the head after this process started:
		// any other may be older than the one that the previous process of this instance had in effect.
		f.notePeerAhead(r.Instance, r.Revision)
	}
}

// provedSinceStart reports whether the time of a proof is not before the start of this process.
func (f *Follower) provedSinceStart(proved time.Time) bool { return !proved.Before(f.started) }

// notePeerAhead records that a peer has a newer revision and triggers a fetch from it.
func (f *Follower) notePeerAhead(peer model.InstanceID, revision model.Revision) {
	f.expectRevision(0, revision)
	select {
	case f.peersAhead <- peer:
	default:
	}
}

// peerFetchLoop fetches revisions from peers when the store does not deliver them.
func (f *Follower) peerFetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case peer := <-f.peersAhead:
			if err := clock.Sleep(ctx, peerFetchDelay); err != nil {
				return err
			}
			if f.upToDate() {
				continue
			}
			if err := f.fetchFromPeer(ctx, peer); err != nil && ctx.Err() == nil {
				f.Log.Warn().Err(err).Str("peer", string(peer)).Msg("config: fetching a revision from a peer failed")
			}
		}
	}
}

// upToDate reports whether a configuration is in effect and no newer revision is known.
func (f *Follower) upToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set != nil && f.head.Revision >= f.newestKnown
}

// fetchFromPeer fetches the configuration of a peer and brings it into effect. It is confirmed only by a later report of a
// confirmed peer.
func (f *Follower) fetchFromPeer(ctx context.Context, peer model.InstanceID) error {
	if f.Members == nil || f.Caller == nil {
		return nil
	}
	address, found := f.Members.Address(peer)
	if !found {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	f.mu.Lock()
	newestKnown := f.newestKnown
	f.mu.Unlock()
	have := f.cachedSegments()
	caller := member.CountCallerBytes(f.Caller, f.Metrics, ProcedureSnapshot)
	answer, err := wire.Call[snapshotRequest, snapshotAnswer](ctx, caller, address, ProcedureSnapshot,
		&snapshotRequest{Have: sortedKeys(have)})
	if err != nil {
		return err
	}
	if len(answer.Head) == 0 {
		return f.applyEmptyFromPeer(newestKnown)
	}
	h, err := decodeHead(answer.Head)
	if err != nil {
		return err
	}
	if h.Revision < newestKnown && f.Current() == nil {
		return eris.Wrapf(errNoSnapshot, "peer %s has revision %d, not %d", peer, h.Revision, newestKnown)
	}
	segments := map[string][]byte{}
	for _, hash := range h.hashes() {
		segments[hash] = have[hash]
		if data, sent := answer.Segments[hash]; sent {
			segments[hash] = data
		}
	}
	return f.applyRevision(h, answer.Head, segments, time.Time{}, sourcePeer)
}

// applyEmptyFromPeer brings the empty configuration of a confirmed peer into effect unless a newer revision is known.
func (f *Follower) applyEmptyFromPeer(newestKnown model.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set == nil && newestKnown == 0 {
		f.set = model.NewSet()
	}
	return nil
}

// serveSnapshot answers a peer with the head in effect and the segments that the peer lacks.
func (f *Follower) serveSnapshot(_ context.Context, req *snapshotRequest) (*snapshotAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set == nil {
		return nil, errNoSnapshot
	}
	answer := &snapshotAnswer{Head: f.rawHead, Segments: map[string][]byte{}}
	held := map[string]bool{}
	for _, hash := range req.Have {
		held[hash] = true
	}
	for hash, data := range f.segments {
		if !held[hash] {
			answer.Segments[hash] = data
		}
	}
	return answer, nil
}
