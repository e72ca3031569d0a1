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

// ProcedureSnapshot fetches the configuration from another instance.
const ProcedureSnapshot wire.Procedure = "/peer/snapshot"

// snapshotTimeout bounds one fetch from a peer.
const snapshotTimeout = 2 * time.Second

type snapshotRequest struct {
	// Have names the segments that the caller holds.
	Have []string `cbor:"1,keyasint,omitempty"`
}

type snapshotAnswer struct {
	// Head is the value of the head key.
	Head []byte `cbor:"1,keyasint"`
	// Segments holds the segments that the caller does not hold, by hash.
	Segments map[string][]byte `cbor:"2,keyasint,omitempty"`
}

var errNoSnapshot = errors.New("no configuration is in effect")

// Report takes the revision and the confirmation of a peer. It does not block.
func (f *Follower) Report(r member.Report) {
	f.init()
	asOf := r.AsOf
	if asOf.IsZero() {
		asOf = f.now()
	}
	proved := asOf.Add(-r.ConfirmedAge)
	f.mu.Lock()
	current, ready := f.head.Revision, f.set != nil
	if r.Confirmed && (r.Revision > f.vouched.revision || r.Revision == f.vouched.revision && proved.After(f.vouched.at)) {
		f.vouched = vouched{revision: r.Revision, at: proved}
	}
	f.mu.Unlock()
	switch {
	case ready && r.Revision == current:
		if r.Confirmed {
			f.confirm(current, proved)
		}
	case ready && r.Revision > current:
		f.notice(r.Instance, r.Revision)
	case !ready && r.Confirmed && f.afterStart(proved):
		// Without a proved read of its own, only a revision that was the head after this process started is taken: an
		// older one may be older than what the former process of this instance had in effect.
		f.notice(r.Instance, r.Revision)
	}
}

func (f *Follower) afterStart(proved time.Time) bool { return !proved.Before(f.started) }

// notice records that a peer has a newer revision.
func (f *Follower) notice(peer model.InstanceID, revision model.Revision) {
	f.hint(0, revision)
	select {
	case f.behind <- peer:
	default:
	}
}

// peerLoop fetches revisions from peers when the store does not deliver them.
func (f *Follower) peerLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case peer := <-f.behind:
			if err := clock.Sleep(ctx, peerPause); err != nil {
				return err
			}
			if f.upToDate() {
				continue
			}
			if err := f.fetch(ctx, peer); err != nil && ctx.Err() == nil {
				f.Log.Warn().Err(err).Str("peer", string(peer)).Msg("config: revision not fetched from peer")
			}
		}
	}
}

func (f *Follower) upToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set != nil && f.head.Revision >= f.wanted
}

// fetch takes the configuration of a peer. It is not confirmed by this: the next exchange with a confirmed peer does that.
func (f *Follower) fetch(ctx context.Context, peer model.InstanceID) error {
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
	wanted := f.wanted
	f.mu.Unlock()
	have := f.cachedSegments()
	caller := member.CountCaller(f.Caller, f.Metrics, ProcedureSnapshot)
	answer, err := wire.Call[snapshotRequest, snapshotAnswer](ctx, caller, address, ProcedureSnapshot, &snapshotRequest{Have: sortedKeys(have)})
	if err != nil {
		return err
	}
	if len(answer.Head) == 0 {
		return f.takeEmpty(wanted)
	}
	h, err := decodeHead(answer.Head)
	if err != nil {
		return err
	}
	if h.Revision < wanted && f.Current() == nil {
		return eris.Wrapf(errNoSnapshot, "peer %s has revision %d, not %d", peer, h.Revision, wanted)
	}
	segments := map[string][]byte{}
	for _, hash := range h.hashes() {
		segments[hash] = have[hash]
		if data, sent := answer.Segments[hash]; sent {
			segments[hash] = data
		}
	}
	return f.offer(h, answer.Head, segments, time.Time{}, sourcePeer)
}

// takeEmpty brings the empty configuration into effect if a confirmed peer has it and no peer has a newer one.
func (f *Follower) takeEmpty(wanted model.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set == nil && wanted == 0 {
		f.set = model.NewSet()
	}
	return nil
}

func (f *Follower) serveSnapshot(_ context.Context, req *snapshotRequest) (*snapshotAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set == nil {
		return nil, errNoSnapshot
	}
	answer := &snapshotAnswer{Head: f.raw, Segments: map[string][]byte{}}
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
