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

// Manager acquires and releases the ownership of data centres, runs an Owner for each, and serves the operations on jobs.
// The exported fields are set before Run; the methods are safe for concurrent use.
type Manager struct {
	Self Peer
	// Current returns the configuration in effect; nil while none is known.
	Current func() *model.Set
	// MayStartTask is the configuration's check before each start of a task.
	MayStartTask func(model.DataCentreID) *reply.Error
	// MaySubmit is the configuration's check before a submission; nil allows all.
	MaySubmit func() *reply.Error
	// Live returns the live instances, this one included unless it is draining.
	Live func() []Peer
	// Workers returns the workers of all data centres from the VM list.
	Workers func() []WorkerVM
	// PeerSummaries returns the summaries that other instances reported; it may be nil.
	PeerSummaries func() []LoadSummary
	// Acquire acquires a key under the instance's lease and returns its fencing token.
	Acquire func(ctx context.Context, key string) (model.Token, error)
	// Token returns the fencing token of a key, and whether the key is held and valid now.
	Token   func(key string) (model.Token, bool)
	Release func(ctx context.Context, key string) error
	// Record writes a decision to the audit log; nil writes none.
	Record func(subjectKind, subjectID, action, reason string, inputs map[string]string)
	// CleanOthers removes records of other packages that are no longer needed. It runs with the job janitor and may be nil.
	CleanOthers func(ctx context.Context, limiter *rate.Limiter) error
	// Nudge notifies the owner of a data centre on another instance that a record changed; nil notifies none.
	Nudge  func(ctx context.Context, dc model.DataCentreID)
	Jobs   *jobs.RecordStore
	Worker *worker.Client
	// Tuning, TimeLimits and Options apply to all owners; zero values stand for the defaults.
	Tuning     Tuning
	TimeLimits gang.TimeLimits
	Options    place.Options
	// StartAndUndo is the gang driver's variant without reservations.
	StartAndUndo bool
	Log          zerolog.Logger
	Metrics      *metric.Set

	// mu guards owners, unownedSince, unstoredEnds and runners, and serializes the closing of stopping.
	mu     sync.Mutex
	owners map[model.DataCentreID]*Owner
	// unownedSince is when this instance first saw no owner of a data centre.
	unownedSince map[model.DataCentreID]time.Time
	// unstoredEnds are the final records that the last owner in this process could not store.
	unstoredEnds map[model.DataCentreID][]jobs.Record
	// runners are the data centres for which a runDataCentre goroutine runs.
	runners map[model.DataCentreID]bool
	// stopping is closed by Stop, and stopped when Run returns.
	stopping chan struct{}
	stopped  chan struct{}
}

// Intervals of the manager.
const (
	// manageInterval is the time between two checks of which data centres this instance should own.
	manageInterval = 500 * time.Millisecond
	// handOverDelay avoids hand-overs during short changes of the membership.
	handOverDelay = 5 * time.Second
	// fallbackDelay is how long a data centre must be without an owner before the next candidate tries to acquire it.
	fallbackDelay = 6 * time.Second
	// releaseTimeout bounds a release; if it fails, the ownership expires with the lease.
	releaseTimeout = 3 * time.Second
)

// OwnerKey returns the store key for the ownership of a data centre.
func OwnerKey(dc model.DataCentreID) string { return "/owner/" + string(dc) }

// Run manages the data centres until ctx ends or Stop is called.
func (m *Manager) Run(ctx context.Context) error {
	m.initialize()
	defer close(m.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.runJanitor(groupCtx) })
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		if config := m.Current(); config != nil {
			for dc := range config.DataCentres {
				if m.addRunner(dc) {
					group.Go(func() error { m.runDataCentre(groupCtx, dc); return nil })
				}
			}
		}
		select {
		case <-ticker.C:
		case <-m.stopping:
			// The context is cancelled only after the runners have ended, so that they can release their data centres.
			cancelled := m.waitForRunners(ctx)
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

func (m *Manager) initialize() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners != nil {
		return
	}
	m.owners, m.unownedSince = map[model.DataCentreID]*Owner{}, map[model.DataCentreID]time.Time{}
	m.runners, m.unstoredEnds = map[model.DataCentreID]bool{}, map[model.DataCentreID][]jobs.Record{}
	m.stopping, m.stopped = make(chan struct{}), make(chan struct{})
	if m.Tuning == (Tuning{}) {
		m.Tuning = DefaultTuning()
	}
	if m.TimeLimits == (gang.TimeLimits{}) {
		m.TimeLimits = gang.DefaultTimeLimits()
	}
}

// addRunner reports whether a runner for the data centre must be started, and counts it as running.
func (m *Manager) addRunner(dc model.DataCentreID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runners[dc] {
		return false
	}
	m.runners[dc] = true
	return true
}

func (m *Manager) waitForRunners(ctx context.Context) error {
	ticker := time.NewTicker(manageInterval / 10)
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

// Stop releases all data centres and waits until Run has returned or ctx ends.
func (m *Manager) Stop(ctx context.Context) error {
	m.initialize()
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

// shouldStop reports whether Stop was called or ctx has ended.
func (m *Manager) shouldStop(ctx context.Context) bool {
	select {
	case <-m.stopping:
		return true
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// waitInterval waits for manageInterval and returns false when the manager should stop.
func (m *Manager) waitInterval(ctx context.Context) bool {
	timer := time.NewTimer(manageInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !m.shouldStop(ctx)
	case <-m.stopping:
		return false
	case <-ctx.Done():
		return false
	}
}

// runDataCentre acquires the data centre whenever this instance should own it, and runs its owner.
func (m *Manager) runDataCentre(ctx context.Context, dc model.DataCentreID) {
	defer func() {
		m.mu.Lock()
		delete(m.runners, dc)
		m.mu.Unlock()
	}()
	defer m.releaseOwnership(ctx, dc)
	superseded := model.Token(0)
	for !m.shouldStop(ctx) {
		token, held := m.Token(OwnerKey(dc))
		switch {
		case held && token == superseded:
			// A higher token was seen although the ownership is valid by this instance's clock, so a new token is acquired.
			m.releaseOwnership(ctx, dc)
			if fresh, err := m.Acquire(ctx, OwnerKey(dc)); err == nil {
				superseded = m.runOwner(ctx, dc, fresh)
			}
		case held && m.shouldKeep(dc):
			// The key was acquired again after the lease of an earlier owner here had ended.
			superseded = m.runOwner(ctx, dc, token)
		case held:
			m.releaseOwnership(ctx, dc)
		case m.shouldAcquire(dc, time.Now()):
			token, err := m.Acquire(ctx, OwnerKey(dc))
			if err == nil {
				superseded = m.runOwner(ctx, dc, token)
			} else {
				m.Log.Debug().Err(err).Str("data-centre", string(dc)).Msg("sched: acquiring data centre failed")
			}
		}
		// The wait also prevents a busy loop when take-overs fail immediately because the store is down.
		if !m.waitInterval(ctx) {
			return
		}
	}
}

// shouldAcquire reports whether this instance is the assigned owner, or the candidate whose turn it is to acquire a data
// centre without an owner.
func (m *Manager) shouldAcquire(dc model.DataCentreID, now time.Time) bool {
	config := m.Current()
	if config == nil {
		return false
	}
	if _, found := config.DataCentres[dc]; !found {
		return false
	}
	live := m.Live()
	if AssignOwners(slices.Collect(maps.Keys(config.DataCentres)), live)[dc] == m.Self.Instance {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, summary := range m.peerSummaries() {
		if summary.DataCentre == dc && summary.LoadAge < fallbackDelay/2 {
			delete(m.unownedSince, dc)
			return false
		}
	}
	since, found := m.unownedSince[dc]
	if !found {
		m.unownedSince[dc] = now
		return false
	}
	rank := slices.IndexFunc(OwnerCandidates(dc, live), func(p Peer) bool { return p.Instance == m.Self.Instance })
	return rank >= 0 && now.Sub(since) >= fallbackDelay*time.Duration(rank+1)
}

func (m *Manager) peerSummaries() []LoadSummary {
	if m.PeerSummaries == nil {
		return nil
	}
	return m.PeerSummaries()
}

// runOwner runs an owner until the ownership is lost or handed over. It returns token if a higher one was seen, otherwise 0.
func (m *Manager) runOwner(ctx context.Context, dc model.DataCentreID, token model.Token) (superseded model.Token) {
	owner := m.newOwner(dc, token)
	owner.Inherited = m.unstoredEndsOf(dc)
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
	m.setUnstoredEnds(dc, owner.Unstored())
	m.Log.Info().Err(ignoreCancel(err)).Str("data-centre", string(dc)).Msg("sched: data centre ownership ended")
	if held, valid := m.Token(OwnerKey(dc)); valid && held == token {
		m.releaseOwnership(ctx, dc)
	}
	var lost *LostError
	if errors.As(err, &lost) {
		return token
	}
	return 0
}

// releaseOwnership releases the data centre if this instance holds it.
func (m *Manager) releaseOwnership(ctx context.Context, dc model.DataCentreID) {
	if _, held := m.Token(OwnerKey(dc)); !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := m.Release(ctx, OwnerKey(dc)); err != nil {
		m.Log.Warn().Err(err).Str("data-centre", string(dc)).Msg("sched: releasing data centre ownership failed; it expires with its lease")
	}
}

// unstoredEndsOf returns the final records that the last owner on this instance could not store.
func (m *Manager) unstoredEndsOf(dc model.DataCentreID) []jobs.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unstoredEnds[dc]
}

// setUnstoredEnds keeps the final records that an owner could not store, because the store was down, for the next owner on this
// instance.
func (m *Manager) setUnstoredEnds(dc model.DataCentreID, ends []jobs.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unstoredEnds[dc] = ends
}

// watchOwner returns the owner's error when its Run has returned, and nil when the owner should be stopped.
func (m *Manager) watchOwner(ctx context.Context, dc model.DataCentreID, token model.Token, done <-chan error) error {
	unwantedSince := time.Time{}
	ticker := time.NewTicker(manageInterval)
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
			// Until the key can be acquired again, the owner keeps renewing the leases of running jobs, which starts nothing.
			if _, err := m.Acquire(ctx, OwnerKey(dc)); err == nil {
				return nil
			}
			continue
		}
		if m.shouldKeep(dc) {
			unwantedSince = time.Time{}
			continue
		}
		if unwantedSince.IsZero() {
			unwantedSince = time.Now()
		}
		// The next owner would measure the silence of a worker from its own start, so a gang with a silent member is stopped
		// before the hand-over.
		if time.Since(unwantedSince) >= handOverDelay && !m.hasSilentMember(dc) {
			return nil
		}
	}
}

func (m *Manager) hasSilentMember(dc model.DataCentreID) bool {
	owner, found := m.LocalOwner(dc)
	return found && owner.HasSilentMember()
}

// shouldKeep reports whether this instance should remain the owner: the data centre exists and is assigned to it or to no instance,
// or no configuration is known.
func (m *Manager) shouldKeep(dc model.DataCentreID) bool {
	config := m.Current()
	if config == nil {
		return true
	}
	if _, found := config.DataCentres[dc]; !found {
		return false
	}
	assigned := AssignOwners(slices.Collect(maps.Keys(config.DataCentres)), m.Live())[dc]
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
		// Wake may be called before Run creates the other channels.
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
		Tuning: m.Tuning, Options: m.Options, TimeLimits: m.TimeLimits, StartAndUndo: m.StartAndUndo, Log: m.Log, Metrics: m.Metrics,
	}
}

// Summaries returns the summaries of the data centres that this instance owns, ordered by data centre.
func (m *Manager) Summaries() []LoadSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	var summaries []LoadSummary
	for _, dc := range slices.Sorted(maps.Keys(m.owners)) {
		if summary := m.owners[dc].LoadSummary(); summary.DataCentre != "" {
			summaries = append(summaries, summary)
		}
	}
	return summaries
}

func (m *Manager) allSummaries() []LoadSummary { return append(m.Summaries(), m.peerSummaries()...) }

// LocalOwner returns the owner of the data centre if it runs on this instance.
func (m *Manager) LocalOwner(dc model.DataCentreID) (*Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner, found := m.owners[dc]
	return owner, found
}
