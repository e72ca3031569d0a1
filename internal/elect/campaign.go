package elect

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// campaignJitter keeps the instances from claiming the leadership at the same moment.
	campaignJitter   = 60 * time.Millisecond
	campaignInterval = 50 * time.Millisecond
	// delayPerCore delays an instance's claim for each core that its machine has less than the largest machine, so that the
	// largest one leads.
	delayPerCore = time.Second
	// firstElectionDelay lets the other instances register before the first leader is elected.
	firstElectionDelay = 300 * time.Millisecond
)

// campaign claims the leadership whenever it is vacant.
func (e *Elector) campaign(ctx context.Context) error {
	var group errgroup.Group
	for ctx.Err() == nil {
		if err := clock.Sleep(ctx, campaignInterval); err != nil {
			break
		}
		e.handOver(ctx)
		claimable, lease := e.mayClaim()
		if !claimable {
			continue
		}
		if err := clock.Sleep(ctx, e.campaignDelay()); err != nil {
			break
		}
		if claimable, _ = e.mayClaim(); !claimable {
			continue
		}
		if term, termCtx := e.claimLeadership(ctx, lease); term != nil {
			group.Go(func() error { return e.runTerm(termCtx, *term) })
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

// campaignDelay returns the wait before a claim; it is shortest on the largest machines that may claim.
func (e *Elector) campaignDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	delay := rand.N(campaignJitter)
	if !e.leaderSeen {
		delay += firstElectionDelay
	}
	largest := e.Self.Share
	for _, node := range e.nodes {
		if !node.Stopping { // One that stops leaves the leadership to others.
			largest = max(largest, node.Share)
		}
	}
	return delay + time.Duration((largest-e.Self.Share)*float64(delayPerCore))
}

// runTerm runs Lead for a term; an error ends only the term, as the instance may lead again.
func (e *Elector) runTerm(ctx context.Context, term Term) error {
	err := e.Lead(ctx, term)
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	e.Log.Error().Err(err).Msg("elect: scheduling ended with an error")
	e.EndTerm(term)
	return nil
}

// mayClaim reports whether this instance may claim the leadership, and returns its lease. It may claim while there is no leader,
// and also when an earlier process of the same instance is recorded as the leader. An instance that stops leaves it to the others.
func (e *Elector) mayClaim() (bool, kv.LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.synced || e.resigning || e.term != nil || e.lease == 0 || e.Now() >= e.validUntil {
		return false, 0
	}
	if e.stoppingAt != 0 && e.successorKnown() {
		return false, 0
	}
	return e.leader.Revision == 0 || e.recordIsOwn(), e.lease
}

// recordIsOwn reports whether the leader's record names this instance; e.mu is held.
func (e *Elector) recordIsOwn() bool {
	if e.leader.Revision == 0 {
		return false
	}
	node, err := work.Decode[Node](e.leader.Value)
	return err == nil && node.ID == e.Self.ID
}

// claimLeadership writes the leader key and returns the new term with its context, or nil if the claim failed.
func (e *Elector) claimLeadership(ctx context.Context, lease kv.LeaseID) (*Term, context.Context) {
	value, err := work.Encode(e.Self)
	if err != nil {
		e.Log.Error().Err(err).Msg("elect: own registration cannot be encoded")
		return nil, nil
	}
	e.mu.Lock()
	expected := e.leader.Revision
	e.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := e.Store.Txn(callCtx, kv.Txn{
		Expect: []kv.Expect{{Key: leaderKey, Revision: expected}},
		Writes: []kv.Write{{Key: leaderKey, Value: value, Lease: lease}},
	})
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		// The answer to an earlier attempt may have been lost: this instance's lease on the key shows that the claim took effect.
		item, found := conflict.Item(leaderKey)
		if !found || item.Lease != lease {
			return nil, nil
		}
		revision, err = item.Revision, nil
	}
	if err != nil {
		e.Log.Debug().Err(err).Msg("elect: leadership not claimed")
		return nil, nil
	}
	return e.beginTerm(ctx, revision, kv.Item{Key: leaderKey, Value: value, Revision: revision, Lease: lease})
}

// beginTerm starts a term unless this instance has resigned, or a newer leader or lease is known.
func (e *Elector) beginTerm(ctx context.Context, revision kv.Revision, item kv.Item) (*Term, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resigning || e.leader.Revision > revision || e.lease != item.Lease {
		return nil, nil
	}
	e.leader = item
	termCtx, cancel := context.WithCancel(ctx)
	e.term = &Term{Token: model.Token(revision), Since: e.Now(), Proof: kv.Expect{Key: leaderKey, Revision: revision}}
	e.cancelTerm = cancel
	e.lastRenewed = e.term.Since
	e.Log.Info().Uint64("token", uint64(revision)).Msg("elect: term begins")
	return e.term, termCtx
}
