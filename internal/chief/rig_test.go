package chief_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/chief"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	storeAddress = "store:1"
	beatEvery    = 1500 * time.Millisecond
	reclaim      = 2700 * time.Millisecond
)

// rig runs instances against the stand-in of the platform, under virtual time.
type rig struct {
	*WithT
	t       *testing.T
	ctx     context.Context
	began   time.Time
	net     *memnet.Net
	store   *fakepl.Store
	fleet   *fakepl.Fleet
	workers []*fakepl.Worker
	config  *work.Config
	desk    *intake.Desk
}

// run has body work with a rig of some workers in two racks, each with 8 accelerators.
func run(t *testing.T, workers int, body func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &rig{
			WithT: NewWithT(t), t: t, ctx: ctx, began: time.Now(), net: memnet.New(), store: fakepl.NewStore(),
			fleet: fakepl.NewFleet(2 * time.Second), config: testConfig(),
		}
		r.net.Latency = time.Millisecond
		r.net.Serve(storeAddress, r.store)
		for i := range workers {
			r.addWorker(i, workers)
		}
		r.desk = &intake.Desk{Store: r.kv("caller"), Log: zerolog.Nop(), Now: time.Now}
		body(r)
		r.Expect(r.fleet.Violations()).To(BeEmpty())
		cancel()
		synctest.Wait()
	})
}

// testConfig has an urgent queue, a normal one and a background one, and a tenant with a guarantee of 16 accelerators.
func testConfig() *work.Config {
	config := &work.Config{
		Version: 1,
		Queues: []work.Queue{
			{Name: "check", Pool: "pool", Terms: work.Terms{Priority: 0, MaxAttempts: 3, Stretch: 1.5, Latency: 250 * time.Millisecond}},
			{Name: "scan", Pool: "pool", Terms: work.Terms{Priority: 1, MaxAttempts: 3, Stretch: 3, Latency: time.Second}},
			{Name: "tally", Pool: "pool", Terms: work.Terms{Priority: 2, MaxAttempts: 2, Stretch: 3, Latency: 3 * time.Second}},
		},
		Tenants: map[model.CustomerID]work.Tenant{"big": {Name: "big", Guaranteed: 16}, "small": {Name: "small"}},
	}
	config.Index()
	return config
}

func (r *rig) addWorker(i, of int) {
	id := fmt.Sprintf("w-%02d", i)
	rack := "r1"
	if i >= (of+1)/2 {
		rack = "r2"
	}
	w := &fakepl.Worker{
		ID: id, Address: id + ":1", Zone: "zone-1", Service: "pool", Labels: []string{"a", rack},
		CPU: 64000, MemoryMB: 128000, GPU: 8, Fleet: r.fleet,
	}
	w.Start()
	r.workers = append(r.workers, w)
	r.net.Serve(memnet.Host(w.Address), w)
	r.beat(w)
	go func() {
		for clock.Sleep(r.ctx, beatEvery) == nil {
			if r.store.Value(platform.RegistryPrefix+id) != nil {
				r.beat(w)
			}
		}
	}()
}

func (r *rig) beat(w *fakepl.Worker) { r.store.Put(platform.RegistryPrefix+w.ID, w.Entry()) }

func (r *rig) kv(from memnet.Host) *kv.Store {
	return platform.NewStore(r.net.Client(from), storeAddress, func(string, string, bool) {})
}

// instance is one process that takes part in elections.
type instance struct {
	name    memnet.Host
	chief   atomic.Pointer[chief.Chief]
	elector *elect.Elector
	stop    context.CancelFunc
	// unproved makes the term count as not proved, as while the store is away.
	unproved atomic.Bool
	// store may be wrapped before the instance starts.
	store *kv.Store
}

// start runs an instance; change may alter it before.
func (r *rig) start(name string, change func(*instance)) *instance {
	i := &instance{name: memnet.Host(name), store: r.kv(memnet.Host(name))}
	if change != nil {
		change(i)
	}
	ctx, stop := context.WithCancel(r.ctx)
	i.stop = stop
	now := func() clock.Instant { return clock.Instant(time.Since(r.began) + time.Hour) }
	i.elector = &elect.Elector{
		Store: i.store, Self: elect.Node{ID: model.InstanceID(name), Address: name + ":1", Share: 1}, Log: zerolog.Nop(), Now: now,
	}
	i.elector.Lead = func(ctx context.Context, term elect.Term) error {
		c := &chief.Chief{
			Store: i.store, Workers: platform.NewWorkers(r.net.Client(i.name)), Term: term, Log: testLog(), Now: now, Clock: time.Now,
			Limits: chief.Limits{
				MaxLease: 6 * time.Second, StatusFor: 120 * time.Second, Reclaim: reclaim, Remote: 3,
				Checkpoint: time.Second, Restore: 250 * time.Millisecond,
			},
			Config: func() *work.Config { return r.config }, Out: func(model.DataCentreID) bool { return false },
			Valid: func() bool { return !i.unproved.Load() && i.elector.Valid(term) }, Deposed: func() { i.elector.Deposed(term) },
			Registry: platform.RegistryPrefix, DecodeWorker: platform.DecodeWorker,
			Observe: chief.Observer{
				Order: func(string, string) {}, Ended: func(work.How) {}, Plan: func(time.Duration) {},
				Started: func(work.QueueName, time.Duration) {},
			},
		}
		i.chief.Store(c)
		return c.Run(ctx)
	}
	go func() {
		if err := i.elector.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			r.t.Error(err)
		}
	}()
	return i
}

// kill ends an instance without a farewell.
func (i *instance) kill() { i.stop() }

func (i *instance) state(id model.JobID) work.State {
	c := i.chief.Load()
	if c == nil {
		return ""
	}
	state, _ := c.State(id)
	return state
}

// job returns a job of equal tasks; further fields may be set before it is submitted.
func job(id string, queue work.QueueName, tasks int, gpu model.Accelerators) *work.Job {
	return &work.Job{
		ID: model.JobID(id), Queue: queue, Pool: "pool", Tenant: "big",
		Steps: []work.Step{{Count: tasks, Need: work.Room{CPU: 1000, Memory: 1000, GPU: gpu}, Estimate: 2 * time.Second}},
	}
}

func (r *rig) submit(j *work.Job) {
	r.Expect(r.desk.Submit(r.ctx, j)).To(Succeed())
}

func (r *rig) sleep(d time.Duration) { r.Expect(clock.Sleep(r.ctx, d)).To(Succeed()) }

// reach waits until a condition holds, and fails after the limit.
func (r *rig) reach(limit time.Duration, what string, holds func() bool) time.Duration {
	started := time.Now()
	for !holds() {
		if time.Since(started) > limit {
			r.t.Fatalf("%s: not within %v", what, limit)
		}
		r.sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

func task(id string, index int) string { return fmt.Sprintf("%s.0.0.%d", id, index) }

// gangOf makes the first step of a job a gang.
func (r *rig) gangOf(j *work.Job) *work.Job {
	j.Steps[0].Gang = true
	before := r.fleet.Gang
	step := string(j.ID) + ".0.0"
	size := j.Steps[0].Count
	r.fleet.Gang = func(name string) int {
		if name == step {
			return size
		}
		return before(name)
	}
	return j
}

var _ http.Handler = (*fakepl.Worker)(nil)

// testLog prints the chief's lines when PERIDOT_TEST_LOG is set.
func testLog() zerolog.Logger {
	if os.Getenv("PERIDOT_TEST_LOG") == "" {
		return zerolog.Nop()
	}
	return zerolog.New(os.Stdout)
}
