package sched

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"peridotgw.example/peridotgw/internal/gang"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Manager acquires and releases data centres, runs an owner for each, and serves the operations on jobs.
type Manager struct {
	Self Peer
	// Current returns the configuration in effect; nil until there is one.
	Current func() *model.Set
	// MayStartTask is the configuration's check before each start of a task.
	MayStartTask func(model.DataCentreID) *reply.Error
	// MaySubmit is the configuration's check before a submission; nil allows all.
	MaySubmit func() *reply.Error
	// Live returns the live instances, this one included unless it is draining.
	Live func() []Peer
	// Workers returns the workers of all data centres as the VM list names them.
	Workers func() []WorkerVM
	// PeerSummaries returns the loads that other instances reported.
	PeerSummaries func() []Summary
	// Acquire takes a key under the instance's lease and returns its fencing token.
	Acquire func(ctx context.Context, key string) (model.Token, error)
	// Token returns the token of a key that is held and valid now.
	Token   func(key string) (model.Token, bool)
	Release func(ctx context.Context, key string) error
	// Record keeps a decision on a subject other than a job.
	Record func(subjectKind, subjectID, action, reason string, inputs map[string]string)
	// CleanOthers removes what other parts no longer need, while this instance holds the janitor's role; nil removes nothing.
	CleanOthers func(ctx context.Context, limiter *rate.Limiter) error
	// Nudge tells the owner of a data centre, when that is another instance, that a record changed.
	Nudge  func(ctx context.Context, dc model.DataCentreID)
	Jobs   *jobs.Book
	Worker *worker.Client
	// Tuning, Times and Options are those of all owners; zero values stand for the defaults.
	Tuning  Tuning
	Times   gang.Times
	Options place.Options
	// StartAndUndo is the gang driver's variant without reservations.
	StartAndUndo bool
	Log          zerolog.Logger
	Metrics      *metric.Set

	mu       sync.Mutex
	owners   map[model.DataCentreID]*Owner
	unowned  map[model.DataCentreID]time.Time
	unstored map[model.DataCentreID][]jobs.Record
	runners  map[model.DataCentreID]bool
	stopping chan struct{}
	stopped  chan struct{}
}

// Intervals of the manager.
const (
	manageEvery = 500 * time.Millisecond
	// handOverAfter keeps a data centre where it is while the members change for a short time.
	handOverAfter = 5 * time.Second
	// fallbackAfter is how long a data centre must be without an owner before the next candidate tries.
	fallbackAfter  = 6 * time.Second
	releaseTimeout = 3 * time.Second
)

// OwnerKey is the key that holds the ownership of a data centre.
func OwnerKey(dc model.DataCentreID) string { return "/owner/" + string(dc) }

// Run runs until ctx ends or Stop is called.
func (m *Manager) Run(ctx context.Context) error {
	m.init()
	defer close(m.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.janitor(groupCtx) })
	ticker := time.NewTicker(manageEvery)
	defer ticker.Stop()
	for {
		if set := m.Current(); set != nil {
			for dc := range set.DataCentres {
				if m.claimRunner(dc) {
					group.Go(func() error { m.runner(groupCtx, dc); return nil })
				}
			}
		}
		select {
		case <-ticker.C:
		case <-m.stopping:
			// The runners stop by themselves, so that they can release what they hold.
			cancelled := m.waitRunners(ctx)
			cancel()
			return errors.Join(ignoreCancel(group.Wait()), cancelled)
		case <-ctx.Done():
			return errors.Join(ignoreCancel(group.Wait()), ctx.Err())
		}
	}
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (m *Manager) init() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners != nil {
		return
	}
	m.owners, m.unowned = map[model.DataCentreID]*Owner{}, map[model.DataCentreID]time.Time{}
	m.runners, m.unstored = map[model.DataCentreID]bool{}, map[model.DataCentreID][]jobs.Record{}
	m.stopping, m.stopped = make(chan struct{}), make(chan struct{})
	if m.Tuning == (Tuning{}) {
		m.Tuning = DefaultTuning()
	}
	if m.Times == (gang.Times{}) {
		m.Times = gang.DefaultTimes()
	}
}

func (m *Manager) claimRunner(dc model.DataCentreID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runners[dc] {
		return false
	}
	m.runners[dc] = true
	return true
}

func (m *Manager) waitRunners(ctx context.Context) error {
	ticker := time.NewTicker(manageEvery / 10)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		left := len(m.runners)
		m.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Stop hands all data centres over and waits until Run has ended or ctx ends.
func (m *Manager) Stop(ctx context.Context) error {
	m.init()
	m.mu.Lock()
	select {
	case <-m.stopping:
	default:
		close(m.stopping)
	}
	m.mu.Unlock()
	select {
	case <-m.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ended reports whether the manager stops or ctx has ended.
func (m *Manager) ended(ctx context.Context) bool {
	select {
	case <-m.stopping:
		return true
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// tick waits for the manager's interval and reports whether it goes on.
func (m *Manager) tick(ctx context.Context) bool {
	timer := time.NewTimer(manageEvery)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !m.ended(ctx)
	case <-m.stopping:
		return false
	case <-ctx.Done():
		return false
	}
}

// runner acquires one data centre when this instance should own it, and runs its owner.
func (m *Manager) runner(ctx context.Context, dc model.DataCentreID) {
	defer func() {
		m.mu.Lock()
		delete(m.runners, dc)
		m.mu.Unlock()
	}()
	defer m.release(ctx, dc)
	disproved := model.Token(0)
	for !m.ended(ctx) {
		token, held := m.Token(OwnerKey(dc))
		switch {
		case held && token == disproved:
			// Another owner has a higher token, whatever this instance's clock says; only a new token helps.
			m.release(ctx, dc)
			if fresh, err := m.Acquire(ctx, OwnerKey(dc)); err == nil {
				disproved = m.own(ctx, dc, fresh)
			}
		case held && m.wants(dc):
			// The key was acquired again after its lease had ended under an earlier owner.
			disproved = m.own(ctx, dc, token)
		case held:
			m.release(ctx, dc)
		case m.shouldTry(dc, time.Now()):
			token, err := m.Acquire(ctx, OwnerKey(dc))
			if err == nil {
				disproved = m.own(ctx, dc, token)
			} else {
				m.Log.Debug().Err(err).Str("data-centre", string(dc)).Msg("sched: data centre is not acquired")
			}
		}
		// The pause also keeps a take-over that fails at once, because the store is down, from being repeated without rest.
		if !m.tick(ctx) {
			return
		}
	}
}

// shouldTry reports whether this instance is the assigned owner, or the next candidate of a data centre that nobody owns.
func (m *Manager) shouldTry(dc model.DataCentreID, now time.Time) bool {
	set := m.Current()
	if set == nil {
		return false
	}
	if _, found := set.DataCentres[dc]; !found {
		return false
	}
	live := m.Live()
	if Assign(slices.Collect(maps.Keys(set.DataCentres)), live)[dc] == m.Self.Instance {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, summary := range m.peerSummaries() {
		if summary.DataCentre == dc && summary.At < fallbackAfter/2 {
			delete(m.unowned, dc)
			return false
		}
	}
	since, found := m.unowned[dc]
	if !found {
		m.unowned[dc] = now
		return false
	}
	rank := slices.IndexFunc(Candidates(dc, live), func(p Peer) bool { return p.Instance == m.Self.Instance })
	return rank >= 0 && now.Sub(since) >= fallbackAfter*time.Duration(rank+1)
}

func (m *Manager) peerSummaries() []Summary {
	if m.PeerSummaries == nil {
		return nil
	}
	return m.PeerSummaries()
}

// own runs the owner until the ownership is lost or handed over. It returns the token if a higher one was seen.
func (m *Manager) own(ctx context.Context, dc model.DataCentreID, token model.Token) (disproved model.Token) {
	owner := m.newOwner(dc, token)
	owner.Inherited = m.takeUnstored(dc)
	ownerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- owner.Run(ownerCtx) }()
	m.setOwner(dc, owner)
	err := m.watchOwner(ctx, dc, token, done)
	m.setOwner(dc, nil)
	cancel()
	if err == nil {
		err = <-done
	}
	m.keepUnstored(dc, owner.Unstored())
	m.Log.Info().Err(ignoreCancel(err)).Str("data-centre", string(dc)).Msg("sched: data centre is no longer owned here")
	if held, valid := m.Token(OwnerKey(dc)); valid && held == token {
		m.release(ctx, dc)
	}
	var lost *LostError
	if errors.As(err, &lost) {
		return token
	}
	return 0
}

// release gives the data centre up, if this instance holds it.
func (m *Manager) release(ctx context.Context, dc model.DataCentreID) {
	if _, held := m.Token(OwnerKey(dc)); !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := m.Release(ctx, OwnerKey(dc)); err != nil {
		m.Log.Warn().Err(err).Str("data-centre", string(dc)).Msg("sched: ownership is left to expire")
	}
}

func (m *Manager) takeUnstored(dc model.DataCentreID) []jobs.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unstored[dc]
}

// keepUnstored keeps ends that were not stored, because the store was down, for the next owner of this instance.
func (m *Manager) keepUnstored(dc model.DataCentreID, ends []jobs.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unstored[dc] = ends
}

// watchOwner returns the owner's error when it has ended, and nil when it should be stopped.
func (m *Manager) watchOwner(ctx context.Context, dc model.DataCentreID, token model.Token, done <-chan error) error {
	unwanted := time.Time{}
	ticker := time.NewTicker(manageEvery)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-m.stopping:
			return nil
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if held, valid := m.Token(OwnerKey(dc)); !valid || held != token {
			// Until it is known who holds the data centre, the owner goes on renewing its leases, which starts nothing.
			if _, err := m.Acquire(ctx, OwnerKey(dc)); err == nil {
				return nil
			}
			continue
		}
		if m.wants(dc) {
			unwanted = time.Time{}
			continue
		}
		if unwanted.IsZero() {
			unwanted = time.Now()
		}
		// The next owner would measure the silence of a worker from its own start, so a gang with a silent member is stopped first.
		if time.Since(unwanted) >= handOverAfter && !m.silentMember(dc) {
			return nil
		}
	}
}

func (m *Manager) silentMember(dc model.DataCentreID) bool {
	owner, found := m.Owned(dc)
	return found && owner.SilentMember()
}

// wants reports whether the data centre may stay here: it is assigned here, or the assigned instance is not live.
func (m *Manager) wants(dc model.DataCentreID) bool {
	set := m.Current()
	if set == nil {
		return true
	}
	if _, found := set.DataCentres[dc]; !found {
		return false
	}
	assigned := Assign(slices.Collect(maps.Keys(set.DataCentres)), m.Live())[dc]
	return assigned == m.Self.Instance || assigned == ""
}

func (m *Manager) setOwner(dc model.DataCentreID, owner *Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner == nil {
		delete(m.owners, dc)
		return
	}
	m.owners[dc] = owner
}

func (m *Manager) newOwner(dc model.DataCentreID, token model.Token) *Owner {
	return &Owner{
		// Wake may be called before Run.
		wake:       make(chan struct{}, 1),
		DataCentre: dc, Instance: m.Self.Instance, Token: token,
		Valid: func() bool {
			held, valid := m.Token(OwnerKey(dc))
			return valid && held == token
		},
		MayStart: func() *reply.Error { return m.MayStartTask(dc) },
		Config:   m.Current, Workers: m.Workers, Loads: m.allSummaries, Jobs: m.Jobs, Worker: m.Worker,
		Record: func(e Event) {
			if m.Record != nil {
				m.Record(e.SubjectKind, e.SubjectID, e.Action, e.Reason, e.Inputs)
			}
		},
		Tuning: m.Tuning, Options: m.Options, Times: m.Times, StartAndUndo: m.StartAndUndo, Log: m.Log, Metrics: m.Metrics,
	}
}

// Summaries returns the loads of the data centres that this instance owns, ordered by data centre.
func (m *Manager) Summaries() []Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	var summaries []Summary
	for _, dc := range slices.Sorted(maps.Keys(m.owners)) {
		if summary := m.owners[dc].Summary(); summary.DataCentre != "" {
			summaries = append(summaries, summary)
		}
	}
	return summaries
}

func (m *Manager) allSummaries() []Summary { return append(m.Summaries(), m.peerSummaries()...) }

// Owned returns the owner of a data centre that this instance runs.
func (m *Manager) Owned(dc model.DataCentreID) (*Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner, found := m.owners[dc]
	return owner, found
}
