package elect

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// Prefix starts the keys of the registered instances and of the leader.
	Prefix     = "system/"
	leaderKey  = Prefix + "leader"
	nodePrefix = Prefix + "node/"

	leaseTTL        = 2 * time.Second
	renewInterval   = 450 * time.Millisecond
	renewRetryDelay = 150 * time.Millisecond
	callTimeout     = 700 * time.Millisecond
	probeTimeout    = 250 * time.Millisecond // of a read before the key of another instance is removed
	// yieldAfter is how long a leader's calls to the store may fail before it yields the leadership.
	yieldAfter = 600 * time.Millisecond
	// validFraction is the part of the lease's TTL for which the leadership counts as valid after a renewal was sent.
	validFraction = 0.9
	// campaignJitter keeps the instances from claiming the leadership at the same moment.
	campaignJitter   = 60 * time.Millisecond
	campaignInterval = 50 * time.Millisecond
	// delayPerCore delays an instance's claim for each core that its machine has less than the largest machine, so that the
	// largest one leads.
	delayPerCore = time.Second
	// firstElectionDelay lets the other instances register before the first leader is elected.
	firstElectionDelay = 300 * time.Millisecond
)

// Node is a registered instance.
type Node struct {
	ID      model.InstanceID `cbor:"1,keyasint"`
	Address string           `cbor:"2,keyasint"` // host:port that other instances call
	Share   float64          `cbor:"3,keyasint"` // processor share in cores
}

// Term is one period of leadership.
type Term struct {
	Token model.Token // fencing token, higher than that of all earlier terms
	Since clock.Instant
	// Proof is a condition for transactions: with it, a write fails once the term is over.
	Proof kv.Expect
}

// Elector registers the instance and takes part in elections. Fields are set before Run; the methods may be used concurrently.
type Elector struct {
	Store *kv.Store
	Self  Node // a larger Share campaigns earlier
	Log   zerolog.Logger
	Now   func() clock.Instant
	// Lead runs while this instance leads; its context ends with the term.
	Lead func(ctx context.Context, term Term) error
	// Yield asks another instance, which the store may still serve, to remove the leader key; nil to never yield. A YieldRefusedError
	// means that the key was not removed and will not be; after any other error it may be.
	Yield func(ctx context.Context, term Term) error
	// Served returns when the store last answered any call of this instance; nil when only renewals count.
	Served func() clock.Instant

	mu          sync.Mutex    // guards the fields below, except where a field says otherwise
	yielding    bool          // a request to end the current term is in flight: another instance may lead
	yieldFailed bool          // Yield has failed since the store last answered; only the goroutine of watchService uses it
	lastRenewed clock.Instant // when the lease was last granted or renewed, or the term began
	lease       kv.LeaseID    // 0 while there is none
	validUntil  clock.Instant // end of the time for which the lease is proved to hold
	registered  bool          // the node key is written with the current lease
	synced      bool          // the first snapshot of Prefix has been applied
	leaderSeen  bool          // an instance has led since this one started
	leader      kv.Item       // revision 0 while there is no leader
	nodes       map[string]Node
	term        *Term // nil while this instance does not lead
	cancelTerm  context.CancelFunc
	resigning   bool
	left        bool // the registration is given up for good
}

// Run registers the instance and campaigns for the leadership until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	follower := &kv.Follower{Store: e.Store, Prefix: Prefix, Log: e.Log, OnReset: e.reset, OnEvents: e.events}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return follower.Run(ctx) })
	group.Go(func() error { return e.keepLease(ctx) })
	group.Go(func() error { return e.watchService(ctx) })
	group.Go(func() error { return e.campaign(ctx) })
	return group.Wait()
}

// Leader returns the current leader, if one is known.
func (e *Elector) Leader() (Node, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Revision == 0 {
		return Node{}, false
	}
	node, err := work.Decode[Node](e.leader.Value)
	if err != nil {
		return Node{}, false
	}
	return node, true
}

// Peers returns the other registered instances, ordered by ID.
func (e *Elector) Peers() []Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	var peers []Node
	for _, node := range e.nodes {
		if node.ID != e.Self.ID {
			peers = append(peers, node)
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].ID < peers[j].ID })
	return peers
}

// TermValid reports whether term is current and its lease is proved to hold at this time.
func (e *Elector) TermValid(term Term) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term != nil && e.term.Token == term.Token && !e.yielding && e.Now() < e.validUntil
}

// Resign releases the leadership and stops campaigning for good; the registration stays until Leave or until the lease expires.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	e.resigning = true
	term := e.term
	e.endCurrentTerm("retired")
	e.mu.Unlock()
	if term == nil {
		return
	}
	if _, err := e.Store.Txn(ctx, kv.Txn{Expect: []kv.Expect{term.Proof}, Remove: []string{leaderKey}}); err != nil {
		e.Log.Warn().Err(err).Msg("elect: leadership not released; it ends with the lease")
	}
}

// EndTerm ends a term after a failed write or a worker's rejection has shown that it is over.
func (e *Elector) EndTerm(term Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term != nil && e.term.Token == term.Token {
		e.endCurrentTerm("deposed")
	}
}

// reset replaces the known leader and nodes by a snapshot of Prefix.
func (e *Elector) reset(items []kv.Item) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodes = map[string]Node{}
	e.leader = kv.Item{}
	for _, item := range items {
		e.applyEvent(kv.Event{Item: item})
	}
	e.synced = true
	e.endTermIfSuperseded()
}

// events applies later changes under Prefix.
func (e *Elector) events(events []kv.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range events {
		e.applyEvent(event)
	}
	e.endTermIfSuperseded()
}

// applyEvent updates the known leader and nodes; e.mu is held.
func (e *Elector) applyEvent(event kv.Event) {
	if event.Key == leaderKey {
		if event.Revision < e.leader.Revision {
			return
		}
		e.leader = event.Item
		e.leaderSeen = true
		if event.Removed {
			e.leader = kv.Item{}
		}
		return
	}
	id, found := strings.CutPrefix(event.Key, nodePrefix)
	if !found {
		return
	}
	if event.Removed {
		delete(e.nodes, id)
		return
	}
	node, err := work.Decode[Node](event.Value)
	if err != nil {
		e.Log.Warn().Err(err).Str("key", event.Key).Msg("elect: registration cannot be decoded, ignored")
		return
	}
	e.nodes[id] = node
}

// endTermIfSuperseded ends the current term when the store has a newer leader; e.mu is held.
func (e *Elector) endTermIfSuperseded() {
	if e.term != nil && e.leader.Revision > kv.Revision(e.term.Token) {
		e.endCurrentTerm("succeeded by another instance")
	}
}

// endCurrentTerm ends the current term, if any; e.mu is held.
func (e *Elector) endCurrentTerm(reason string) {
	if e.term == nil {
		return
	}
	e.Log.Info().Uint64("token", uint64(e.term.Token)).Str("why", reason).Msg("elect: term ended")
	e.cancelTerm()
	e.term = nil
}

// keepLease renews the lease and the registration until ctx ends.
func (e *Elector) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := renewInterval
		if err := e.renewLease(ctx); err != nil {
			e.Log.Debug().Err(err).Msg("elect: lease not renewed")
			wait = renewRetryDelay
		}
		if err := clock.Sleep(ctx, wait); err != nil {
			break
		}
	}
	return ctx.Err()
}

// renewLease renews the lease, or obtains one if there is none, and writes the registration if the current lease lacks it.
func (e *Elector) renewLease(ctx context.Context) error {
	e.mu.Lock()
	lease, registered, left := e.lease, e.registered, e.left
	e.mu.Unlock()
	if left {
		return nil
	}
	if lease == 0 {
		return e.grantLease(ctx)
	}
	renewal, err := kv.Hedged(ctx, func(ctx context.Context) (renewal, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		sentAt := e.Now()
		ttl, err := e.Store.Renew(ctx, lease)
		return renewal{sentAt, ttl}, err
	})
	var noLease *kv.NoLeaseError
	if errors.As(err, &noLease) {
		e.mu.Lock()
		e.lease, e.registered = 0, false
		e.endCurrentTerm("lease lost")
		e.mu.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	e.extendValidity(renewal.sentAt, renewal.ttl)
	if !registered {
		return e.registerSelf(ctx)
	}
	return nil
}

// renewal is an answered renewal of the lease.
type renewal struct {
	sentAt clock.Instant
	ttl    time.Duration // from no earlier than sentAt
}

// extendValidity extends the time for which the lease is proved to hold. It counts from sentAt, the time before the call, because the
// store started the TTL no earlier.
func (e *Elector) extendValidity(sentAt clock.Instant, ttl time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.validUntil = max(e.validUntil, sentAt.Add(time.Duration(validFraction*float64(ttl))))
	e.lastRenewed = e.Now()
}

// watchService yields the leadership when the store no longer serves this instance but may serve others, until ctx ends. Renewals
// go on meanwhile.
func (e *Elector) watchService(ctx context.Context) error {
	wait := renewInterval
	for clock.Sleep(ctx, wait) == nil {
		wait = renewInterval
		if term, _ := e.unservedFor(); term != nil {
			wait = renewRetryDelay
			e.yieldIfUnserved(ctx)
		}
	}
	return ctx.Err()
}

// unservedFor returns the current term, if any, and for how long the store has not answered this instance.
func (e *Elector) unservedFor() (*Term, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lastServed := e.lastRenewed
	if e.Served != nil {
		// Lost answers to renewals alone do not mean that the store fails to serve this instance.
		lastServed = max(lastServed, e.Served())
	}
	return e.term, e.Now().Sub(lastServed)
}

func (e *Elector) yieldIfUnserved(ctx context.Context) {
	term, unserved := e.unservedFor()
	if term == nil || e.Yield == nil || unserved < yieldAfter {
		e.yieldFailed = false
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.setYielding(true)
	err := e.Yield(callCtx, *term)
	var refused *YieldRefusedError
	if errors.As(err, &refused) {
		e.setYielding(false)
		if !e.yieldFailed {
			e.yieldFailed = true
			e.Log.Warn().Err(err).Dur("store-lost-for", unserved).Msg("elect: leadership not yielded")
		}
		return
	}
	reason := "yielded, the store does not serve this instance"
	if err != nil {
		// The key may be removed, now or later, and another instance may lead: this one claims a new term before it goes on.
		reason = "it may be yielded: " + err.Error()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.yielding = false
	if e.term != nil && e.term.Token == term.Token {
		e.endCurrentTerm(reason)
	}
}

func (e *Elector) setYielding(yielding bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.yielding = yielding
}

// YieldRefusedError reports that no instance has removed the leader key or will do so.
type YieldRefusedError struct{ Cause error }

// Error names the cause.
func (e *YieldRefusedError) Error() string { return "not yielded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *YieldRefusedError) Unwrap() error { return e.Cause }

// RemoveLeader removes the leader key of another instance's term at the request of that instance. A term that is already over is no
// error. After a YieldRefusedError the key was not removed; after any other error it may be.
func (e *Elector) RemoveLeader(ctx context.Context, token model.Token) error {
	// A removal that gets no answer leaves the term in doubt: the store must be known to answer first.
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, _, err := e.Store.Get(probeCtx, leaderKey); err != nil {
		return &YieldRefusedError{Cause: err}
	}
	proof := kv.Expect{Key: leaderKey, Revision: kv.Revision(token)}
	_, err := e.Store.Txn(ctx, kv.Txn{Expect: []kv.Expect{proof}, Remove: []string{leaderKey}})
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return nil // The term is already over.
	}
	var refused *kv.RefusedError
	if errors.As(err, &refused) {
		return &YieldRefusedError{Cause: err}
	}
	return err
}

func (e *Elector) grantLease(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := e.Now()
	lease, ttl, err := e.Store.Grant(callCtx, leaseTTL)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.lease = lease
	e.mu.Unlock()
	e.extendValidity(sentAt, ttl)
	return e.registerSelf(ctx)
}

func (e *Elector) registerSelf(ctx context.Context) error {
	value, err := work.Encode(e.Self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	write := kv.Write{Key: nodePrefix + string(e.Self.ID), Value: value, Lease: e.lease}
	if _, err := e.Store.Txn(ctx, kv.Txn{Writes: []kv.Write{write}}); err != nil {
		return err
	}
	e.mu.Lock()
	e.registered = true
	e.mu.Unlock()
	return nil
}

// campaign claims the leadership whenever it is vacant.
func (e *Elector) campaign(ctx context.Context) error {
	var group errgroup.Group
	for ctx.Err() == nil {
		if err := clock.Sleep(ctx, campaignInterval); err != nil {
			break
		}
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

// campaignDelay returns the wait before a claim; it is shortest on the largest machines.
func (e *Elector) campaignDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	delay := rand.N(campaignJitter)
	if !e.leaderSeen {
		delay += firstElectionDelay
	}
	largest := e.Self.Share
	for _, node := range e.nodes {
		largest = max(largest, node.Share)
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
// and also when an earlier process of the same instance is recorded as the leader.
func (e *Elector) mayClaim() (bool, kv.LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.synced || e.resigning || e.term != nil || e.lease == 0 || e.Now() >= e.validUntil {
		return false, 0
	}
	if e.leader.Revision == 0 {
		return true, e.lease
	}
	node, err := work.Decode[Node](e.leader.Value)
	return err == nil && node.ID == e.Self.ID, e.lease
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

// beginTerm starts a term unless a newer leader or lease is known.
func (e *Elector) beginTerm(ctx context.Context, revision kv.Revision, item kv.Item) (*Term, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Revision > revision || e.lease != item.Lease {
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

// Leave revokes the lease, which removes the registration, and stops renewals, which would register this instance again.
func (e *Elector) Leave(ctx context.Context) {
	e.mu.Lock()
	e.left = true
	lease := e.lease
	e.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := e.Store.Revoke(ctx, lease); err != nil {
		e.Log.Warn().Err(err).Msg("elect: lease not revoked; it will expire")
	}
}
