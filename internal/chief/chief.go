package chief

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/agent"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	tickEvery     = 100 * time.Millisecond
	registryPause = 150 * time.Millisecond
	postQueue     = 4096
	// planPause collects what happens between two planning passes.
	planPause = 10 * time.Millisecond
)

// Limits are the bounds that the platform sets.
type Limits struct {
	MaxLease   time.Duration // of a worker's runs
	StatusFor  time.Duration // for which a finished job can be asked for
	Reclaim    time.Duration // in which guaranteed work begins
	Remote     float64       // how many times longer tasks take away from their data
	Checkpoint time.Duration // of work between two checkpoints
	Restore    time.Duration // to resume from a checkpoint
}

// Chief schedules for one term. Fields are set before Run.
type Chief struct {
	Store   *kv.Store
	Workers *agent.Calls
	Term    elect.Term
	Log     zerolog.Logger
	Limits  Limits
	Now     func() clock.Instant
	Clock   func() time.Time // time of day
	// Config returns the configuration in force; nil while there is none.
	Config func() *work.Config
	// Out reports whether a zone is out of service.
	Out func(model.DataCentreID) bool
	// Valid reports whether the term is proved to be still going on.
	Valid func() bool
	// Deposed is called when the term is found to be over.
	Deposed func()
	// Registry is the prefix of the workers' entries, DecodeWorker reads one.
	Registry     string
	DecodeWorker func(key string, value []byte) (work.WorkerInfo, error)
	// Advise asks the advice service; nil without one.
	Advise  Adviser
	Observe Observer

	posts   chan func()
	ctx     context.Context
	jobs    map[model.JobID]*job
	live    []*job
	workers map[model.WorkerID]*worker
	// roster is what the store holds of the workers that may have runs.
	roster     roster
	orphans    map[model.JobID]stored // progress read before its job
	cancels    map[model.JobID]bool
	writing    bool
	writeAfter clock.Instant
	ready      bool
	dirty      bool
	advising   bool
	demand     demand
	planAfter  clock.Instant
	rated      clock.Instant
	history    map[work.QueueName]*history

	mu      sync.Mutex
	answers map[model.JobID]work.State
	pending map[work.QueueName]int
	serving bool
}

// Observer counts what the chief does; all fields may be called from one goroutine.
type Observer struct {
	Order   func(kind, result string)
	Ended   func(how work.How)
	Plan    func(took time.Duration)
	Started func(queue work.QueueName, waited time.Duration)
}

// stored is a progress record as it was read.
type stored struct {
	progress work.Progress
	revision kv.Revision
}

// Run schedules until ctx ends or the term is over.
func (c *Chief) Run(ctx context.Context) error {
	c.posts = make(chan func(), postQueue)
	c.jobs = map[model.JobID]*job{}
	c.workers = map[model.WorkerID]*worker{}
	c.orphans = map[model.JobID]stored{}
	c.cancels = map[model.JobID]bool{}
	c.mu.Lock()
	c.answers = map[model.JobID]work.State{}
	c.mu.Unlock()
	c.history = map[work.QueueName]*history{}
	group, ctx := errgroup.WithContext(ctx)
	c.ctx = ctx
	if err := c.load(ctx); err != nil {
		return err
	}
	jobs := &kv.Follower{
		Store: c.Store, Prefix: work.JobPrefix, Log: c.Log,
		OnReset:  func(items []kv.Item) { c.post(func() { c.jobItems(items) }) },     //nolint:contextcheck // calls end with the term
		OnEvents: func(events []kv.Event) { c.post(func() { c.jobEvents(events) }) }, //nolint:contextcheck // calls end with the term
	}
	registry := &kv.Follower{
		Store: c.Store, Prefix: c.Registry, Log: c.Log, Pause: registryPause,
		OnReset:  func(items []kv.Item) { c.post(func() { c.registryReset(items) }) },     //nolint:contextcheck // calls end with the term
		OnEvents: func(events []kv.Event) { c.post(func() { c.registryEvents(events) }) }, //nolint:contextcheck // calls end with the term
	}
	group.Go(func() error { return jobs.Run(ctx) })
	group.Go(func() error { return registry.Run(ctx) })
	group.Go(func() error { return c.loop(ctx) })
	err := group.Wait()
	c.mu.Lock()
	c.serving = false
	c.mu.Unlock()
	return err
}

// post has fn run by the goroutine that owns the state.
func (c *Chief) post(fn func()) {
	select {
	case c.posts <- fn:
	case <-c.ctx.Done():
	}
}

func (c *Chief) later(d time.Duration, fn func()) {
	time.AfterFunc(d, func() { c.post(fn) })
}

func (c *Chief) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fn := <-c.posts:
			fn()
			c.drain()
		case <-ticker.C:
			c.tick() //nolint:contextcheck // calls end with the term
		}
		if c.dirty && c.Now() >= c.planAfter {
			c.dirty = false
			c.plan() //nolint:contextcheck // calls end with the term
			c.publish()
			c.planAfter = c.Now().Add(planPause)
			c.later(planPause, func() {})
		}
		c.persist() //nolint:contextcheck // calls end with the term
	}
}

// drain runs everything that waits, so that one plan covers it.
func (c *Chief) drain() {
	for {
		select {
		case fn := <-c.posts:
			fn()
		default:
			return
		}
	}
}

func (c *Chief) tick() {
	now := c.Now()
	for _, w := range c.workers {
		c.checkWorker(w, now)
	}
	c.rateWorkers(now)
	c.clean(now)
	c.dirty = true
}

// load reads the durable state of the term's start.
func (c *Chief) load(ctx context.Context) error {
	for {
		err := c.loadOnce(ctx)
		if err == nil {
			return nil
		}
		c.Log.Warn().Err(err).Msg("chief: durable state not read yet")
		if err := clock.Sleep(ctx, tickEvery); err != nil {
			return err
		}
	}
}

func (c *Chief) loadOnce(ctx context.Context) error {
	if err := c.loadRoster(ctx); err != nil {
		return err
	}
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
		c.orphans[model.JobID(item.Key[len(work.ProgressPrefix):])] = stored{progress, item.Revision}
	}
	return nil
}

// State returns the state of a job as far as it is durable.
func (c *Chief) State(id model.JobID) (work.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, found := c.answers[id]
	return state, found
}

// Pending counts the jobs of each queue of which no task has started; ok is false before the jobs are known.
func (c *Chief) Pending() (counts map[work.QueueName]int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending, c.serving
}

// publish renews the copy for other goroutines.
func (c *Chief) publish() {
	pending := map[work.QueueName]int{}
	for _, j := range c.live {
		if !j.began && !j.cancelled {
			pending[j.spec.Queue]++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.serving = pending, c.ready
}

func (c *Chief) show(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[j.spec.ID] = j.shown
}
