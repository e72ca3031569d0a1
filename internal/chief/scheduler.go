package chief

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/agent"
	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/evict"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/memory"
	"peridotgw.example/peridotgw/internal/noisy"
	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/speed"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	tickInterval       = 100 * time.Millisecond
	registryWatchPause = 150 * time.Millisecond
	postBuffer         = 4096
	// planPause is the least time between two planning passes: one pass covers all events of that time.
	planPause = 10 * time.Millisecond
	// planShare is the part of the time that planning passes may take, so that calls to workers are handled on a small machine too.
	planShare = 0.25
	// maxPlanPause bounds the pause after a pass that was held up: the process may have had no processor time during it.
	maxPlanPause = 250 * time.Millisecond
	// settleTime is how long after the jobs are loaded a new leader waits for the workers' first answers before it preempts.
	settleTime = 500 * time.Millisecond
)

// Limits are the time bounds and factors that the platform sets.
type Limits struct {
	MaxLease           time.Duration // longest lease of a worker's runs
	StatusRetention    time.Duration // how long the state of a finished job can be queried
	ReclaimBound       time.Duration // within which guaranteed work starts
	RemoteSlowdown     float64       // slowdown factor of tasks that run outside the rack of their data
	CheckpointInterval time.Duration // most work between two checkpoints
	RestoreTime        time.Duration // time to resume from a checkpoint
	StopTimeout        time.Duration // within which a stopped run ends
}

// Scheduler schedules for one term. Exported fields are set before Run; State and Pending may be called from any goroutine.
type Scheduler struct {
	Store     *kv.Store
	Workers   *agent.Calls
	Term      elect.Term
	Log       zerolog.Logger
	Limits    Limits
	Now       func() clock.Instant
	WallClock func() time.Time // time of day
	// Config returns the configuration in force, or nil while there is none.
	Config func() *work.Config
	// OutOfService reports whether a zone is out of service.
	OutOfService func(model.DataCentreID) bool
	// TermValid reports whether this instance is certain that the term has not ended.
	TermValid func() bool
	// EndTerm is called when a worker or the store shows that the term has ended.
	EndTerm func()
	// NoticeSeen returns the latest revision of elect.NoticeKey that this instance has seen, and when it first saw it. It need not be set.
	NoticeSeen func() (kv.Revision, clock.Instant)
	// Registry is the key prefix of the workers' entries; DecodeWorker decodes one.
	Registry     string
	DecodeWorker func(key string, value []byte) (work.WorkerInfo, error)
	// Advise calls the advice service; nil if there is none.
	Advise  Adviser
	Observe Observer
	// MemoryLimit returns the memory that all jobs may take; nil for no limit.
	MemoryLimit func() budget.Bytes
	// Quota may switch parts of the limits of tenants off; the zero value keeps all.
	Quota quota.Rules

	posts    chan func() // run by the goroutine that owns the state
	ctx      context.Context
	jobs     map[model.JobID]*job
	liveJobs []*job
	workers  map[model.WorkerID]*worker
	orders   orders
	// roster is the stored list of the workers that may have runs.
	roster              roster
	unclaimedProgress   map[model.JobID]storedProgress  // records whose job is not loaded yet
	unclaimedPlacements map[model.JobID]storedPlacement // records whose job is not loaded yet
	placementsSince     kv.Revision                     // from which on leaders store placements
	unplaced            []*run                          // created, but not ordered before their placement is stored
	placementTxns       int                             // writes of placements in flight
	shrinking           map[*job]bool                   // from whose placements workers may be dropped
	nextPlacementAt     clock.Instant                   // earliest next write of placements
	cancelRequested     map[model.JobID]kv.Revision     // at which the cancellations in the store were written
	lastForgotten       kv.Revision                     // highest revision at which a job was created that is removed by now
	// forgotten holds the jobs that were removed within forgottenRetention: a list that was read before still has them.
	forgotten map[model.JobID]forgottenJob
	// resubmitted holds the records of jobs with the id of one whose removal is not confirmed yet.
	resubmitted        map[model.JobID]kv.Item
	writeInFlight      bool          // of job records
	writesFailingSince clock.Instant // 0 while progress can be stored
	nextWriteAt        clock.Instant // earliest next write of progress
	loadedAt           clock.Instant // when the jobs were loaded
	jobsLoaded         bool
	dirty              bool // a planning pass is needed
	// releasing holds the jobs that may have occurrences to release.
	releasing        map[*job]bool
	memory           memory.Ledger // of the jobs
	adviceInFlight   bool
	urgentDemand     map[work.PoolName]*evict.Usage
	gangReservations []*gangReservation
	// reservationsTriedAt is when room for a gang was last looked for in each pool.
	reservationsTriedAt map[work.PoolName]clock.Instant
	nextPlanAt          clock.Instant
	resumeAt            *stage // before which the last planning pass was cut; nil if it was complete
	speedsComparedAt    clock.Instant
	correctionsAt       clock.Instant // when they were last reported
	interference        noisy.Model
	used                quota.Ledger // by all runs of all workers
	rates               map[model.CustomerID]*quota.Rate
	roomShort           bool // a task found no room in the last planning pass
	nextTenantsAt       clock.Instant
	speeds              speed.Tracker

	// mu guards the fields below, which other goroutines read.
	mu            sync.Mutex
	durableStates map[model.JobID]work.State
	pendingJobs   map[work.QueueName]int
	pendingKnown  bool
	tenants       []quota.State
}

// Observer receives measurements. All functions must be set; they are called from the goroutine that owns the state.
type Observer struct {
	CallResult func(kind, result string) // of a call to a worker or a service; the kind of a poll is "look"
	RunEnded   func(how work.How)
	// InterferingPairs receives the number of pairs of kinds of tasks that are known to slow each other down on one worker.
	InterferingPairs func(pairs int)
	// RunStopped reports a stop that is ordered, its cause, and the core-seconds of work that it loses; an accelerator counts as 8 cores.
	RunStopped   func(cause string, lost float64)
	PassDuration func(took time.Duration) // of a planning pass
	// PassCut reports a planning pass that was ended at its limit of time before all jobs were planned.
	PassCut    func()
	JobStarted func(queue work.QueueName, waited time.Duration) // waited since this term knew the job
	// JobStalled reports a time of at least a second in which a job that was due had nothing running, and whether it was longer than
	// allowed beside workers with room.
	JobStalled func(stalled time.Duration, besideRoom bool)
	// JobStep and EndStep count how far jobs and the ends that workers list have come, so that the sums can be compared.
	JobStep func(step JobStep)
	EndStep func(step EndStep, ends int)
	// Tenants reports the use of all tenants, about once a second; none at the end of a term.
	Tenants func(states []quota.State)
	// JobMemory reports the memory that all jobs take and may take, on each tick; 0 for no limit.
	JobMemory func(used, limit budget.Bytes)
	// Speeds reports the number of workers by what is known of their speed, and Corrections the mean factors by which the run times of the
	// kinds of tasks that are known exceed the estimates of their callers.
	Speeds      func(workers map[SpeedBucket]int)
	Corrections func(factors map[speed.Kind]float64)
}

// SpeedBucket is a range of speeds of workers against a usual one.
type SpeedBucket string

// Ranges of speeds.
const (
	SpeedUnknown SpeedBucket = "unknown"
	SpeedSlow    SpeedBucket = "slow"  // below slowSpeed
	SpeedUsual   SpeedBucket = "usual" // in between
	SpeedFast    SpeedBucket = "fast"  // above fastSpeed
)

// JobStep is a step of a job's way through the scheduler.
type JobStep string

// Steps of a job.
const (
	JobKnown     JobStep = "known"
	JobTakenOver JobStep = "taken-over" // known from an earlier term, without a stored final state
	JobStarted   JobStep = "started"    // its first run in this term
	JobOver      JobStep = "over"       // its final state is decided
	JobStored    JobStep = "stored"     // its final state is stored
	JobRemoved   JobStep = "removed"    // its records are deleted
)

// EndStep is a step of the end of a run on its way from the worker's list.
type EndStep string

// Steps of the end of a run.
const (
	EndListed       EndStep = "listed"
	EndStored       EndStep = "stored"
	EndAcknowledged EndStep = "acknowledged" // the worker has the acknowledgement
)

// storedProgress is a progress record and its revision.
type storedProgress struct {
	progress work.Progress
	revision kv.Revision
}

// Run schedules until ctx ends, which must be no later than the term.
func (c *Scheduler) Run(ctx context.Context) error {
	c.posts = make(chan func(), postBuffer)
	c.jobs = map[model.JobID]*job{}
	c.workers = map[model.WorkerID]*worker{}
	c.unclaimedProgress = map[model.JobID]storedProgress{}
	c.unclaimedPlacements = map[model.JobID]storedPlacement{}
	c.shrinking = map[*job]bool{}
	c.cancelRequested = map[model.JobID]kv.Revision{}
	c.forgotten = map[model.JobID]forgottenJob{}
	c.resubmitted = map[model.JobID]kv.Item{}
	c.urgentDemand = map[work.PoolName]*evict.Usage{}
	c.gangReservations, c.reservationsTriedAt = nil, map[work.PoolName]clock.Instant{}
	c.mu.Lock()
	c.durableStates = map[model.JobID]work.State{}
	c.mu.Unlock()
	c.interference = noisy.Model{OnChange: c.noteInterference}
	c.used, c.rates = quota.Ledger{}, map[model.CustomerID]*quota.Rate{}
	c.speeds = speed.Tracker{}
	c.memory.Limit, c.memory.Now = c.MemoryLimit, c.Now
	group, ctx := errgroup.WithContext(ctx)
	c.ctx = ctx
	jobs := &kv.Follower{
		Store: c.Store, Prefix: work.JobPrefix, Log: c.Log,
		OnReset:  func(items []kv.Item) { c.post(func() { c.applyJobItems(items) }) },     //nolint:contextcheck // calls end with the term
		OnEvents: func(events []kv.Event) { c.post(func() { c.applyJobEvents(events) }) }, //nolint:contextcheck // calls end with the term
	}
	registry := &kv.Follower{
		Store: c.Store, Prefix: c.Registry, Log: c.Log, Pause: registryWatchPause,
		OnReset:  func(items []kv.Item) { c.post(func() { c.resetRegistry(items) }) },     //nolint:contextcheck // calls end with the term
		OnEvents: func(events []kv.Event) { c.post(func() { c.updateRegistry(events) }) }, //nolint:contextcheck // calls end with the term
	}
	group.Go(func() error { return jobs.Run(ctx) })
	group.Go(func() error { return registry.Run(ctx) })
	group.Go(func() error {
		// What the followers report meanwhile waits in posts.
		if err := c.loadState(ctx); err != nil {
			return err
		}
		return c.loop(ctx)
	})
	err := group.Wait()
	c.logTermEnd()
	c.mu.Lock()
	c.pendingKnown, c.tenants = false, nil
	c.mu.Unlock()
	c.Observe.Tenants(nil)
	c.Observe.JobMemory(0, 0)
	c.Observe.InterferingPairs(0)
	return err
}

// post queues fn for the goroutine that owns the state; it blocks while the queue is full, until the term ends.
func (c *Scheduler) post(fn func()) {
	select {
	case c.posts <- fn:
	case <-c.ctx.Done():
	}
}

func (c *Scheduler) postAfter(d time.Duration, fn func()) {
	time.AfterFunc(d, func() { c.post(fn) })
}

func (c *Scheduler) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fn := <-c.posts:
			fn()
			c.drainPosts()
		case <-ticker.C:
			c.handleTick() //nolint:contextcheck // calls end with the term
		}
		if c.dirty && c.Now() >= c.nextPlanAt {
			c.plan() //nolint:contextcheck // calls end with the term
		}
		c.releaseOccurrences()
		c.storePlacements() //nolint:contextcheck // calls end with the term
		c.sendOrders()      //nolint:contextcheck // calls end with the term
		c.persistProgress() //nolint:contextcheck // calls end with the term
	}
}

// plan runs a planning pass, and delays the next one by a multiple of the time that it took.
func (c *Scheduler) plan() {
	began := c.Now()
	c.dirty = false
	c.planStarts()
	c.publishPending()
	now := c.Now()
	pause := max(planPause, min(maxPlanPause, time.Duration(float64(now.Sub(began))*(1-planShare)/planShare)))
	c.nextPlanAt = now.Add(pause)
	c.postAfter(pause, func() {})
}

// drainPosts runs all queued functions, so that one planning pass covers them.
func (c *Scheduler) drainPosts() {
	for {
		select {
		case fn := <-c.posts:
			fn()
		default:
			return
		}
	}
}

func (c *Scheduler) handleTick() {
	now := c.Now()
	for _, w := range c.workers {
		c.checkWorker(w, now)
	}
	if c.roster.stale || c.leaseStopsOutdated(now) {
		c.saveRoster()
	}
	c.compareSpeeds(now)
	c.shrinkPlacements()
	c.removeExpiredJobs(now)
	c.Observe.JobMemory(c.memory.Used(), c.memory.Capacity())
	c.dirty = true
}

// loadState reads the roster and the progress records at the start of the term, and retries until it succeeds.
func (c *Scheduler) loadState(ctx context.Context) error {
	for {
		err := c.tryLoadState(ctx)
		if err == nil {
			return nil
		}
		c.Log.Warn().Err(err).Msg("chief: stored state not loaded yet; retrying")
		if err := clock.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

// tryLoadState reads everything at the same time: with a slow store, one read after another would take seconds.
func (c *Scheduler) tryLoadState(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.loadRoster(ctx) })
	group.Go(func() error { return c.loadPlacementsMark(ctx) })
	group.Go(func() error { return c.loadPlacements(ctx) })
	group.Go(func() error { return c.loadProgress(ctx) })
	return group.Wait()
}

func (c *Scheduler) loadProgress(ctx context.Context) error {
	records, _, err := kv.List(ctx, c.Store, work.ProgressPrefix)
	if err != nil {
		return err
	}
	for _, item := range records {
		progress, err := work.Decode[work.Progress](item.Value)
		if err != nil {
			c.Log.Error().Err(err).Str("key", item.Key).Msg("chief: progress record ignored")
			continue
		}
		c.unclaimedProgress[model.JobID(item.Key[len(work.ProgressPrefix):])] = storedProgress{progress, item.Revision}
	}
	return nil
}

// logTermEnd logs what this term leaves behind. Ends that are not stored are known to their workers alone.
func (c *Scheduler) logTermEnd() {
	unstoredJobs, runs, unstoredEnds, stalled := 0, 0, 0, 0
	for _, j := range c.jobs {
		if j.stall.since != 0 {
			stalled++
		}
		if j.dirty || j.state.Final() && !j.durableState.Final() {
			unstoredJobs++
		}
	}
	for _, w := range c.workers {
		runs += len(w.runs)
		unstoredEnds += int(w.handledEnd - max(w.durableEnd, w.listedFrom))
	}
	c.Log.Info().Uint64("token", uint64(c.Term.Token)).Int("jobs", len(c.jobs)).Int("live", len(c.liveJobs)).Int("runs", runs).Int("stalled", stalled).
		Int("unstored-jobs", unstoredJobs).Int("unstored-ends", unstoredEnds).Int64("job-memory", int64(c.memory.Used())).
		Bool("write-in-flight", c.writeInFlight).Msg("chief: term left")
}

// State returns the stored state of a job, and whether the job is known.
func (c *Scheduler) State(id model.JobID) (work.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, found := c.durableStates[id]
	return state, found
}

// Pending returns the number of jobs per queue of which no task has started; ok is false until the jobs are loaded.
func (c *Scheduler) Pending() (counts map[work.QueueName]int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingJobs, c.pendingKnown
}

// Reserve keeps memory for a job that is about to be stored. Errors are those of memory.Ledger; ok is false until the jobs are loaded.
func (c *Scheduler) Reserve(id model.JobID, size budget.Bytes) (ok bool, err error) {
	if _, ok := c.Pending(); !ok {
		return false, nil
	}
	return true, c.memory.Reserve(id, size)
}

// publishPending updates the counts that Pending returns.
func (c *Scheduler) publishPending() {
	pendingJobs := map[work.QueueName]int{}
	for _, j := range c.liveJobs {
		if !j.started && !j.cancelled {
			pendingJobs[j.spec.Queue]++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingJobs, c.pendingKnown = pendingJobs, c.jobsLoaded
}

func (c *Scheduler) publishState(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.durableStates[j.spec.ID] = j.durableState
}
