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

// Intervals and timeouts of a follower.
const (
	// ConfirmationLifetime is how long a confirmation stays valid.
	ConfirmationLifetime = 3 * time.Second
	// maxReadInterval is the longest time between two reads of the head.
	maxReadInterval = time.Second
	// minReadInterval is the shortest time between two reads triggered by new proofs. A read right after each proof keeps
	// the age of a confirmation near the 1.5 s between proofs; waiting for the next whole second would add up to 1 s.
	minReadInterval = 500 * time.Millisecond
	// pollInterval is how often the follower checks whether a read is due.
	pollInterval = 50 * time.Millisecond
	// watchTimeout bounds one watch call.
	watchTimeout = 10 * time.Second
	// peerFetchDelay gives the store time to deliver a revision before it is fetched from a peer.
	peerFetchDelay = 300 * time.Millisecond
)

// Follower brings each new revision into effect on its instance. Its exported fields must be set before use; its methods are safe for
// concurrent use.
type Follower struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	Store   *store.Client
	// LastRenewal returns the store revision of this instance's last lease renewal and the time at which that renewal was sent. A
	// read at or above this revision is current as of that time. A zero time means that there is no proof yet.
	LastRenewal func() (store.Revision, time.Time)
	// Members lists the other instances; nil means that there are none.
	Members *member.Table
	Caller  *wire.Caller
	// Now is a monotonic clock; nil means time.Now.
	Now func() time.Time
	// ConfirmationValid reports whether a confirmation of the given age is still valid; nil means that it is up to ConfirmationLifetime.
	ConfirmationValid func(age time.Duration) bool
	// MayReplace reports whether an offered revision may replace the current one; nil means that it must be higher.
	MayReplace func(current, offered model.Revision) bool

	initOnce   sync.Once
	metrics    *metrics
	wake       chan struct{}         // triggers a read of the head
	peersAhead chan model.InstanceID // a peer that has a newer revision
	started    time.Time

	// applyMu serializes new revisions and the calls of subscribers. It is locked before mu.
	applyMu     sync.Mutex
	subscribers []func(*model.Set)

	// mu guards the fields below.
	mu               sync.Mutex
	set              *model.Set
	head             head
	rawHead          []byte            // head as stored
	segments         map[string][]byte // segments of head by hash
	confirmed        time.Time         // when head was last proved current
	minRevision      store.Revision    // reads of the head must be at least this new
	newestKnown      model.Revision    // newest revision announced by the store or a peer
	peerConfirmation peerConfirmation
}

// peerConfirmation is the latest confirmation that a peer reported for the newest revision. It is used once that revision
// is in effect here.
type peerConfirmation struct {
	revision model.Revision
	at       time.Time
}

// Run follows the head until ctx ends and returns the error of ctx.
func (f *Follower) Run(ctx context.Context) error {
	f.lazyInit()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.readLoop(ctx) })
	group.Go(func() error { return f.watchLoop(ctx) })
	group.Go(func() error { return f.peerFetchLoop(ctx) })
	return group.Wait()
}

// Current returns the configuration in effect; it is nil until a proved read or a confirmed peer has delivered one.
func (f *Follower) Current() *model.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// Subscribe calls fn with the configuration in effect, if there is one, and then with each new revision, in order and from the goroutine
// that brings it into effect. fn must not call Subscribe.
func (f *Follower) Subscribe(fn func(*model.Set)) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.subscribers = append(f.subscribers, fn)
	if set := f.Current(); set != nil {
		fn(set)
	}
}

// Register serves the configuration to other instances.
func (f *Follower) Register(mux *http.ServeMux) {
	f.lazyInit()
	inner := http.NewServeMux()
	wire.Handle(inner, ProcedureSnapshot, f.serveSnapshot)
	mux.Handle(string(ProcedureSnapshot), member.CountHandlerBytes(inner, f.Metrics, ProcedureSnapshot))
}

func (f *Follower) lazyInit() {
	f.initOnce.Do(func() {
		f.wake = make(chan struct{}, 1)
		f.peersAhead = make(chan model.InstanceID, 1)
		f.started = f.now()
		f.metrics = newMetrics(f)
	})
}

func (f *Follower) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

func (f *Follower) proof() (store.Revision, time.Time) {
	if f.LastRenewal == nil {
		return 0, time.Time{}
	}
	return f.LastRenewal()
}

// newestStoreRevision returns the newest store revision known here; reads for publications are at least that new.
func (f *Follower) newestStoreRevision() store.Revision {
	revision, _ := f.proof()
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(revision, f.minRevision)
}

// expectRevision announces a revision that exists at the store revision seen. It triggers a read that is at least that new.
func (f *Follower) expectRevision(seen store.Revision, revision model.Revision) {
	f.lazyInit()
	f.mu.Lock()
	f.minRevision = max(f.minRevision, seen)
	f.newestKnown = max(f.newestKnown, revision)
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

// applyRevision brings a revision into effect unless it is older than the current one, and records that the head was
// current at the time proved. A zero time records no proof.
func (f *Follower) applyRevision(offered head, rawHead []byte, segments map[string][]byte, proved time.Time, source string) error {
	if offered.Revision == f.revision() {
		f.confirmRevision(offered.Revision, proved)
		return nil
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	current := f.revision()
	if offered.Revision == current {
		f.confirmRevision(current, proved)
		return nil
	}
	if !f.mayReplace(current, offered.Revision) {
		f.metrics.recordRefused(source)
		f.Log.Debug().Uint64("revision", uint64(offered.Revision)).Uint64("current", uint64(current)).Str("source", source).
			Msg("config: ignored an older revision")
		return nil
	}
	set, err := assembleSet(offered, segments)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.set, f.head, f.rawHead, f.segments = set, offered, rawHead, segments
	f.confirmed = proved
	if f.peerConfirmation.revision == offered.Revision && f.peerConfirmation.at.After(proved) {
		f.confirmed = f.peerConfirmation.at
	}
	f.newestKnown = max(f.newestKnown, offered.Revision)
	f.mu.Unlock()
	f.metrics.recordApplied(source, time.Since(offered.At))
	f.Log.Info().Uint64("revision", uint64(offered.Revision)).Str("change", string(offered.ChangeID)).Str("source", source).
		Msg("config: revision in effect")
	for _, fn := range f.subscribers {
		fn(set)
	}
	return nil
}

// mayReplace reports whether an offered revision may replace the current one.
func (f *Follower) mayReplace(current, offered model.Revision) bool {
	if f.MayReplace != nil {
		return f.MayReplace(current, offered)
	}
	return offered > current
}

func (f *Follower) revision() model.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Revision
}

// confirmRevision records that revision was the head at the given time; it does nothing unless revision is in effect.
func (f *Follower) confirmRevision(revision model.Revision, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set != nil && f.head.Revision == revision && at.After(f.confirmed) {
		f.confirmed = at
	}
}
