package elect

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/budget"
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

	callTimeout = 700 * time.Millisecond
)

// Node is a registered instance.
type Node struct {
	ID      model.InstanceID `cbor:"1,keyasint"`
	Address string           `cbor:"2,keyasint"` // host:port that other instances call
	Share   float64          `cbor:"3,keyasint"` // processor share in cores
	// Stopping is set while the instance drains before a planned stop.
	Stopping bool         `cbor:"4,keyasint,omitempty"`
	Memory   budget.Bytes `cbor:"5,keyasint,omitempty"` // of its machine; 0 if unknown
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
	// loggedLeader is the revision of the last leader that was logged: a new snapshot may hold the same one.
	loggedLeader kv.Revision
	nodes        map[string]Node
	notice       noticeSeen
	term         *Term // nil while this instance does not lead
	cancelTerm   context.CancelFunc
	stoppingAt   clock.Instant // when StopSoon was called; 0 before
	// nextHandOver is the earliest time of the next attempt to release the leadership before a stop.
	nextHandOver clock.Instant
	resigning    bool
	left         bool // the registration is given up for good
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

// EndTerm ends a term after a failed write or a worker's rejection has shown that it is over.
func (e *Elector) EndTerm(term Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term != nil && e.term.Token == term.Token {
		e.endCurrentTerm("deposed")
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

// Resign releases the leadership and stops campaigning for good; the registration stays until Leave or until the lease expires.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	e.resigning = true
	e.mu.Unlock()
	e.release(ctx, "retired")
}

// release ends the current term, if any, and removes its record.
func (e *Elector) release(ctx context.Context, reason string) {
	e.mu.Lock()
	term := e.term
	e.endCurrentTerm(reason)
	e.mu.Unlock()
	if term == nil {
		return
	}
	e.removeRecord(ctx, term.Proof)
}

// removeRecord removes the record of a leadership that has ended here, unless a later one has replaced it.
func (e *Elector) removeRecord(ctx context.Context, proof kv.Expect) {
	_, err := e.Store.Txn(ctx, kv.Txn{Expect: []kv.Expect{proof}, Remove: []string{leaderKey}})
	var conflict *kv.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		e.Log.Warn().Err(err).Msg("elect: leadership not released; it ends with the lease")
	}
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
