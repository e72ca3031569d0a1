package config

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
)

// Bounds of a follower.
const (
	// Lifetime is how long a confirmation holds.
	Lifetime = 3 * time.Second
	// readEvery is the longest time between two reads of the head.
	readEvery = time.Second
	// readGap is the shortest time between two reads that a new proof causes. A read right after each proof keeps the age
	// of a confirmation near the 1.5 s between proofs; waiting for the next whole second would add up to one second.
	readGap = 500 * time.Millisecond
	// step is how often the follower looks whether a read is due.
	step = 50 * time.Millisecond
	// watchWait bounds one waiting watch.
	watchWait = 10 * time.Second
	// peerPause leaves the store time to deliver a revision before it is fetched from a peer.
	peerPause = 300 * time.Millisecond
)

// Follower brings each new revision into effect on its instance; it may be used concurrently.
type Follower struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	Store   *store.Client
	// Proof returns the store revision that the instance's last own write proved, and when that write was sent. A read at
	// this revision is current as of that time. The zero time means that there is no proof yet.
	Proof func() (store.Revision, time.Time)
	// Members knows the other instances; nil means that there are none.
	Members *member.Table
	Caller  *wire.Caller
	// Now is a monotonic clock; nil means time.Now.
	Now func() time.Time
	// Fresh tells whether a confirmation of some age still holds; nil compares it with Lifetime.
	Fresh func(age time.Duration) bool
	// Newer tells whether an offered revision may replace the one in effect; nil demands a higher one.
	Newer func(current, offered model.Revision) bool

	once    sync.Once
	counts  *counts
	wake    chan struct{}
	behind  chan model.InstanceID
	started time.Time

	// apply serializes new revisions and their subscribers.
	apply       sync.Mutex
	subscribers []func(*model.Set)

	mu        sync.Mutex
	set       *model.Set
	head      head
	raw       []byte
	segments  map[string][]byte
	confirmed time.Time
	atLeast   store.Revision
	wanted    model.Revision
	vouched   vouched
}

// vouched is the latest confirmation of the newest revision that a peer has, for use once that revision is in effect here.
type vouched struct {
	revision model.Revision
	at       time.Time
}

// Run follows the head until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.readLoop(ctx) })
	group.Go(func() error { return f.watchLoop(ctx) })
	group.Go(func() error { return f.peerLoop(ctx) })
	return group.Wait()
}

// Current returns the configuration in effect; it is nil until the first read that was proved current.
func (f *Follower) Current() *model.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// Subscribe calls fn with the configuration in effect, if there is one, and then with each new revision, in order.
// fn must not call Subscribe.
func (f *Follower) Subscribe(fn func(*model.Set)) {
	f.apply.Lock()
	defer f.apply.Unlock()
	f.subscribers = append(f.subscribers, fn)
	if set := f.Current(); set != nil {
		fn(set)
	}
}

// Register serves the configuration to other instances.
func (f *Follower) Register(mux *http.ServeMux) {
	f.init()
	inner := http.NewServeMux()
	wire.Handle(inner, ProcedureSnapshot, f.serveSnapshot)
	mux.Handle(string(ProcedureSnapshot), member.CountHandler(inner, f.Metrics, ProcedureSnapshot))
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.wake = make(chan struct{}, 1)
		f.behind = make(chan model.InstanceID, 1)
		f.started = f.now()
		f.counts = newCounts(f)
	})
}

func (f *Follower) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

func (f *Follower) proof() (store.Revision, time.Time) {
	if f.Proof == nil {
		return 0, time.Time{}
	}
	return f.Proof()
}

// proved returns the newest store revision that this instance knows of; reads for publications are at least that new.
func (f *Follower) proved() store.Revision {
	revision, _ := f.proof()
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(revision, f.atLeast)
}

// hint tells of a revision that was seen at a store revision, so that the next read happens at once and shows it.
func (f *Follower) hint(seen store.Revision, revision model.Revision) {
	f.init()
	f.mu.Lock()
	f.atLeast = max(f.atLeast, seen)
	f.wanted = max(f.wanted, revision)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) cachedSegments() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.segments)
}

// offer brings a revision into effect unless it is older than the one in effect, and records that the head was proved
// current at some time. The zero time records nothing.
func (f *Follower) offer(h head, raw []byte, segments map[string][]byte, proved time.Time, source string) error {
	if h.Revision == f.revision() {
		f.confirm(h.Revision, proved)
		return nil
	}
	f.apply.Lock()
	defer f.apply.Unlock()
	current := f.revision()
	if h.Revision == current {
		f.confirm(current, proved)
		return nil
	}
	if !f.newer(current, h.Revision) {
		f.counts.refused(source)
		f.Log.Debug().Uint64("revision", uint64(h.Revision)).Uint64("current", uint64(current)).Str("source", source).
			Msg("config: older revision refused")
		return nil
	}
	set, err := assemble(h, segments)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.set, f.head, f.raw, f.segments = set, h, raw, segments
	f.confirmed = proved
	if f.vouched.revision == h.Revision && f.vouched.at.After(proved) {
		f.confirmed = f.vouched.at
	}
	f.wanted = max(f.wanted, h.Revision)
	f.mu.Unlock()
	f.counts.applied(source, time.Since(h.At))
	f.Log.Info().Uint64("revision", uint64(h.Revision)).Str("change", string(h.ChangeID)).Str("source", source).
		Msg("config: revision in effect")
	for _, fn := range f.subscribers {
		fn(set)
	}
	return nil
}

func (f *Follower) newer(current, offered model.Revision) bool {
	if f.Newer != nil {
		return f.Newer(current, offered)
	}
	return offered > current
}

func (f *Follower) revision() model.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Revision
}

// confirm records that a revision was proved to be the head at a time; it does nothing for other revisions.
func (f *Follower) confirm(revision model.Revision, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set != nil && f.head.Revision == revision && at.After(f.confirmed) {
		f.confirmed = at
	}
}
