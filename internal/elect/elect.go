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
	// Prefix holds the instances and the leader.
	Prefix     = "system/"
	leaderKey  = Prefix + "leader"
	nodePrefix = Prefix + "node/"

	leaseTTL  = 2 * time.Second
	keepEvery = 450 * time.Millisecond
	retryWait = 150 * time.Millisecond
	callLimit = 700 * time.Millisecond
	// yieldAfter is how long a leader's calls to the store may fail before it offers the leadership to the others.
	yieldAfter = 600 * time.Millisecond
	// validShare is the part of the lease's time for which the leadership counts as proved.
	validShare = 0.9
	// campaignSpread keeps the instances from claiming the leadership all at once.
	campaignSpread = 60 * time.Millisecond
	campaignCheck  = 50 * time.Millisecond
	// shareDelay is how much later a machine campaigns for each core that it has less than the largest one.
	shareDelay = time.Second
	// firstDelay lets the other instances register before the first leader of all is elected.
	firstDelay = 300 * time.Millisecond
)

// Node is one instance.
type Node struct {
	ID      model.InstanceID `cbor:"1,keyasint"`
	Address string           `cbor:"2,keyasint"` // for other instances
	Share   float64          `cbor:"3,keyasint"` // of a core that the machine has
}

// Term is one span of leadership.
type Term struct {
	Token model.Token // higher than that of all earlier terms
	Since clock.Instant
	// Proof is the condition that makes a write fail once the term is over.
	Proof kv.Expect
}

// Elector keeps the registration and takes part in elections. Fields are set before Run.
type Elector struct {
	Store *kv.Store
	Self  Node // larger machines campaign first
	Log   zerolog.Logger
	Now   func() clock.Instant
	// Lead works while this instance leads; its context ends with the term.
	Lead func(ctx context.Context, term Term) error
	// Yield has another instance remove the leadership from the store, which may serve that one; nil for none.
	Yield func(ctx context.Context, term Term) error
	// Served returns when the store last answered any call of this instance; nil where only renewals count.
	Served func() clock.Instant

	mu         sync.Mutex
	refused    bool          // the hand-over has failed since the last renewal; used by keep alone
	proved     clock.Instant // last success of a renewal
	lease      kv.LeaseID
	validUntil clock.Instant
	registered bool
	loaded     bool
	led        bool // some instance has led since this one started
	leader     kv.Item
	nodes      map[string]Node
	term       *Term
	endTerm    context.CancelFunc
	retiring   bool
}

// Run registers the instance and campaigns until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	follower := &kv.Follower{Store: e.Store, Prefix: Prefix, Log: e.Log, OnReset: e.reset, OnEvents: e.events}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return follower.Run(ctx) })
	group.Go(func() error { return e.keep(ctx) })
	group.Go(func() error { return e.campaign(ctx) })
	return group.Wait()
}

// Leader returns the instance that leads.
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

// Peers returns the other registered instances, ordered by id.
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

// Valid reports whether a term is proved to be still going on.
func (e *Elector) Valid(term Term) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term != nil && e.term.Token == term.Token && e.Now() < e.validUntil
}

// Retire gives up the leadership and takes no part in further elections; the registration stays until the lease ends.
func (e *Elector) Retire(ctx context.Context) {
	e.mu.Lock()
	e.retiring = true
	term := e.term
	e.finish("retired")
	e.mu.Unlock()
	if term == nil {
		return
	}
	if _, err := e.Store.Txn(ctx, kv.Txn{Expect: []kv.Expect{term.Proof}, Remove: []string{leaderKey}}); err != nil {
		e.Log.Warn().Err(err).Msg("elect: leadership not handed over, its lease must end")
	}
}

// Deposed ends a term that a write or a worker has shown to be over.
func (e *Elector) Deposed(term Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term != nil && e.term.Token == term.Token {
		e.finish("deposed")
	}
}

func (e *Elector) reset(items []kv.Item) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodes = map[string]Node{}
	e.leader = kv.Item{}
	for _, item := range items {
		e.apply(kv.Event{Item: item})
	}
	e.loaded = true
	e.settle()
}

func (e *Elector) events(events []kv.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range events {
		e.apply(event)
	}
	e.settle()
}

func (e *Elector) apply(event kv.Event) {
	if event.Key == leaderKey {
		if event.Revision < e.leader.Revision {
			return
		}
		e.leader = event.Item
		e.led = true
		if event.Removed {
			e.leader = kv.Item{}
		}
		return
	}
	key, found := strings.CutPrefix(event.Key, nodePrefix)
	if !found {
		return
	}
	if event.Removed {
		delete(e.nodes, key)
		return
	}
	node, err := work.Decode[Node](event.Value)
	if err != nil {
		e.Log.Warn().Err(err).Str("key", event.Key).Msg("elect: entry ignored")
		return
	}
	e.nodes[key] = node
}

// settle ends the own term when another leader is seen.
func (e *Elector) settle() {
	if e.term != nil && e.leader.Revision > kv.Revision(e.term.Token) {
		e.finish("succeeded by another instance")
	}
}

// finish ends the term; e.mu is held.
func (e *Elector) finish(why string) {
	if e.term == nil {
		return
	}
	e.Log.Info().Uint64("token", uint64(e.term.Token)).Str("why", why).Msg("elect: term ended")
	e.endTerm()
	e.term = nil
}

// keep holds the lease and the registration.
func (e *Elector) keep(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := keepEvery
		if err := e.refresh(ctx); err != nil {
			e.Log.Debug().Err(err).Msg("elect: lease not refreshed")
			e.offer(ctx)
			wait = retryWait
		}
		if err := clock.Sleep(ctx, wait); err != nil {
			break
		}
	}
	return ctx.Err()
}

func (e *Elector) refresh(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	e.mu.Lock()
	lease, registered := e.lease, e.registered
	e.mu.Unlock()
	sent := e.Now()
	if lease == 0 {
		return e.grant(callCtx, sent)
	}
	ttl, err := e.Store.Keep(callCtx, lease)
	var none *kv.NoLeaseError
	if errors.As(err, &none) {
		e.mu.Lock()
		e.lease, e.registered = 0, false
		e.finish("lease lost")
		e.mu.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	e.extend(sent, ttl)
	e.refused = false
	if !registered {
		return e.register(callCtx)
	}
	return nil
}

func (e *Elector) extend(sent clock.Instant, ttl time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.validUntil = max(e.validUntil, sent.Add(time.Duration(validShare*float64(ttl))))
	e.proved = e.Now()
}

// offer hands the leadership over when the store does not serve this instance any more but may serve others.
func (e *Elector) offer(ctx context.Context) {
	e.mu.Lock()
	term, served := e.term, e.proved
	e.mu.Unlock()
	if e.Served != nil {
		// Lost answers of some calls do not mean that the store turns this instance away.
		served = max(served, e.Served())
	}
	since := e.Now().Sub(served)
	if term == nil || e.Yield == nil || since < yieldAfter {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := e.Yield(callCtx, *term); err != nil {
		if !e.refused {
			e.refused = true
			e.Log.Warn().Err(err).Dur("store-lost-for", since).Msg("elect: leadership not handed over")
		}
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term != nil && e.term.Token == term.Token {
		e.finish("yielded, the store does not serve this instance")
	}
}

// RemoveLeader ends the term of another instance that has asked for it.
func (e *Elector) RemoveLeader(ctx context.Context, token model.Token) error {
	proof := kv.Expect{Key: leaderKey, Revision: kv.Revision(token)}
	_, err := e.Store.Txn(ctx, kv.Txn{Expect: []kv.Expect{proof}, Remove: []string{leaderKey}})
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return nil // It is over already.
	}
	return err
}

func (e *Elector) grant(ctx context.Context, sent clock.Instant) error {
	lease, ttl, err := e.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.lease = lease
	e.mu.Unlock()
	e.extend(sent, ttl)
	return e.register(ctx)
}

func (e *Elector) register(ctx context.Context) error {
	value, err := work.Encode(e.Self)
	if err != nil {
		return err
	}
	write := kv.Write{Key: nodePrefix + string(e.Self.ID), Value: value, Lease: e.lease}
	if _, err := e.Store.Txn(ctx, kv.Txn{Writes: []kv.Write{write}}); err != nil {
		return err
	}
	e.mu.Lock()
	e.registered = true
	e.mu.Unlock()
	return nil
}

// campaign claims the leadership whenever nobody has it.
func (e *Elector) campaign(ctx context.Context) error {
	var group errgroup.Group
	for ctx.Err() == nil {
		if err := clock.Sleep(ctx, campaignCheck); err != nil {
			break
		}
		vacant, lease := e.vacancy()
		if !vacant {
			continue
		}
		if err := clock.Sleep(ctx, e.campaignDelay()); err != nil {
			break
		}
		if vacant, _ = e.vacancy(); !vacant {
			continue
		}
		if term, termCtx := e.claim(ctx, lease); term != nil {
			group.Go(func() error { return e.lead(termCtx, *term) })
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

// campaignDelay has the largest machines campaign first.
func (e *Elector) campaignDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	delay := rand.N(campaignSpread)
	if !e.led {
		delay += firstDelay
	}
	largest := e.Self.Share
	for _, node := range e.nodes {
		largest = max(largest, node.Share)
	}
	return delay + time.Duration((largest-e.Self.Share)*float64(shareDelay))
}

func (e *Elector) lead(ctx context.Context, term Term) error {
	err := e.Lead(ctx, term)
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	e.Log.Error().Err(err).Msg("elect: leading ended with an error")
	e.Deposed(term)
	return nil
}

// vacancy reports whether this instance may claim, which it also may when its own earlier process held the leadership.
func (e *Elector) vacancy() (bool, kv.LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loaded || e.retiring || e.term != nil || e.lease == 0 || e.Now() >= e.validUntil {
		return false, 0
	}
	if e.leader.Revision == 0 {
		return true, e.lease
	}
	node, err := work.Decode[Node](e.leader.Value)
	return err == nil && node.ID == e.Self.ID, e.lease
}

func (e *Elector) claim(ctx context.Context, lease kv.LeaseID) (*Term, context.Context) {
	value, err := work.Encode(e.Self)
	if err != nil {
		e.Log.Error().Err(err).Msg("elect: own entry cannot be encoded")
		return nil, nil
	}
	e.mu.Lock()
	before := e.leader.Revision
	e.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	revision, err := e.Store.Txn(callCtx, kv.Txn{
		Expect: []kv.Expect{{Key: leaderKey, Revision: before}},
		Writes: []kv.Write{{Key: leaderKey, Value: value, Lease: lease}},
	})
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		// The answer to an earlier try may have been lost: the own lease on the key shows that it took effect.
		item, found := conflict.Item(leaderKey)
		if !found || item.Lease != lease {
			return nil, nil
		}
		revision, err = item.Revision, nil
	}
	if err != nil {
		e.Log.Debug().Err(err).Msg("elect: claim without result")
		return nil, nil
	}
	return e.begin(ctx, revision, kv.Item{Key: leaderKey, Value: value, Revision: revision, Lease: lease})
}

func (e *Elector) begin(ctx context.Context, revision kv.Revision, item kv.Item) (*Term, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Revision > revision || e.lease != item.Lease {
		return nil, nil
	}
	e.leader = item
	termCtx, cancel := context.WithCancel(ctx)
	e.term = &Term{Token: model.Token(revision), Since: e.Now(), Proof: kv.Expect{Key: leaderKey, Revision: revision}}
	e.endTerm = cancel
	e.proved = e.term.Since
	e.Log.Info().Uint64("token", uint64(revision)).Msg("elect: term begins")
	return e.term, termCtx
}

// Leave ends the lease, and with it the registration.
func (e *Elector) Leave(ctx context.Context) {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := e.Store.End(ctx, lease); err != nil {
		e.Log.Warn().Err(err).Msg("elect: lease not ended, it must run out")
	}
}
