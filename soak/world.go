package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	beatEvery  = 500 * time.Millisecond
	listedFor  = 1500 * time.Millisecond // without a beat
	taskTime   = 1500 * time.Millisecond
	faultEvery = 900 * time.Millisecond // on average
	faultTime  = 4 * time.Second        // at most
	startUp    = 3 * time.Second
	settleTime = 2 * time.Second
)

// world is one run: the stand-in of the platform, the instances, the callers and the faults.
type world struct {
	random  *rand.Rand
	store   *fakepl.Store
	fleet   *fakepl.Fleet
	workers []*place
	nodes   []*node
	callers *callers
	closers []func()
	version int

	group   sync.WaitGroup
	mu      sync.Mutex
	gangs   map[string]int
	injured int
}

// place is a worker with the proxy through which it is reached.
type place struct {
	worker *fakepl.Worker
	proxy  *proxy
	silent bool // does not reach the store
}

func newWorld(ctx context.Context, o options, dir string, random *rand.Rand) (*world, error) {
	w := &world{random: random, store: fakepl.NewStore(), fleet: fakepl.NewFleet(taskTime), gangs: map[string]int{}}
	w.configure()
	storeAddress, err := w.serve(w.store)
	if err != nil {
		return nil, err
	}
	for i := range o.workers {
		if err := w.addWorker(ctx, i); err != nil {
			return nil, err
		}
	}
	for i := range o.nodes {
		p, cleanup, err := newProxy(ctx, storeAddress)
		if err != nil {
			return nil, err
		}
		w.closers = append(w.closers, cleanup)
		n, err := newNode(dir, o.binary, i, p)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
		w.group.Go(func() { n.run(ctx) })
	}
	w.fleet.Gang = w.gangSize
	w.callers = &callers{nodes: w.nodes, announce: w.announce, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	return w, nil
}

func (w *world) announce(id string, tasks int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gangs[id+".0.0"] = tasks
}

func (w *world) gangSize(step string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangs[step]
}

func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listening does not block
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() //nolint:errcheck // It ends with the run.
	w.closers = append(w.closers, func() { closeAll(server) })
	return listener.Addr().String(), nil
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	w.store.Put(fakepl.ConfigKey, fakepl.Config(w.version, w.version%2))
}

func (w *world) addWorker(ctx context.Context, i int) error {
	worker := &fakepl.Worker{
		ID: fmt.Sprintf("i-%02d", i), Zone: "zone-1", Service: "pool", Labels: []string{"a", fmt.Sprintf("r%d", i%3)},
		CPU: 64000, MemoryMB: 64000, GPU: 8, Fleet: w.fleet,
	}
	worker.Start()
	address, err := w.serve(worker)
	if err != nil {
		return err
	}
	p, cleanup, err := newProxy(ctx, address)
	if err != nil {
		return err
	}
	w.closers = append(w.closers, cleanup)
	worker.Address = p.address()
	at := &place{worker: worker, proxy: p}
	w.workers = append(w.workers, at)
	w.group.Go(func() { w.beat(ctx, at) })
	return nil
}

// beat registers a worker, and lets its entry lapse while it does not reach the store.
func (w *world) beat(ctx context.Context, at *place) {
	key := fakepl.WorkerKey(at.worker.ID)
	last := time.Now()
	for ctx.Err() == nil {
		w.mu.Lock()
		silent := at.silent
		w.mu.Unlock()
		if !silent {
			w.store.Put(key, at.worker.Registration())
			last = time.Now()
		} else if time.Since(last) > listedFor {
			w.store.Remove(key)
		}
		time.Sleep(beatEvery)
	}
}

// play injects faults while callers work, waits for what is open, and returns the broken promises.
func (w *world) play(ctx context.Context, o options) []string {
	time.Sleep(startUp)
	load, endLoad := context.WithTimeout(ctx, o.faults)
	defer endLoad()
	var following sync.WaitGroup
	seed := w.random.Uint64()
	following.Go(func() { w.load(load, ctx, o, &following, seed) })
	for load.Err() == nil {
		w.injure(ctx)
		time.Sleep(time.Duration(w.random.Int64N(int64(2 * faultEvery))))
	}
	calm := time.Now()
	for time.Since(calm) < o.calm && w.open() > 0 {
		time.Sleep(beatEvery)
	}
	open := w.open()
	time.Sleep(settleTime)
	violations := append(w.fleet.Violations(), w.callers.violations...)
	if open > 0 {
		violations = append(violations, fmt.Sprintf("%d accepted jobs are not over %v after the faults", open, o.calm))
	}
	return append(violations, w.falseRefusals()...)
}

// load submits jobs; those that are accepted are followed beyond the load's end.
func (w *world) load(ctx, follow context.Context, o options, following *sync.WaitGroup, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for ctx.Err() == nil {
		own := rand.New(rand.NewPCG(random.Uint64(), 3))
		following.Go(func() {
			if j := w.callers.submit(follow, own); j.accepted {
				w.callers.follow(follow, own, j)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / o.rate * float64(time.Second)))
	}
}

// open counts the accepted jobs that are not seen to be over.
func (w *world) open() int {
	w.callers.mu.Lock()
	defer w.callers.mu.Unlock()
	open := 0
	for _, j := range w.callers.jobs {
		if j.accepted && j.state != "completed" && j.state != "cancelled" && j.state != "failed" {
			open++
		}
	}
	return open
}

// falseRefusals returns the jobs that ran though every try was refused.
func (w *world) falseRefusals() []string {
	w.callers.mu.Lock()
	defer w.callers.mu.Unlock()
	var violations []string
	for _, j := range w.callers.jobs {
		for i := range j.tasks {
			if j.rejected && w.fleet.StartCount(fmt.Sprintf("%s.0.0.%d", j.id, i)) > 0 {
				violations = append(violations, fmt.Sprintf("job %s ran though every try was refused", j.id))
			}
		}
	}
	return violations
}

// injure injects one fault, and heals it after a while.
func (w *world) injure(ctx context.Context) {
	w.injured++
	n := w.nodes[w.random.IntN(len(w.nodes))]
	at := w.workers[w.random.IntN(len(w.workers))]
	lasts := time.Duration(w.random.Int64N(int64(faultTime)))
	bad := mode(1 + w.random.IntN(int(modes)-1))
	heal := func(fn func()) {
		w.group.Go(func() {
			select {
			case <-time.After(lasts):
			case <-ctx.Done():
			}
			fn()
		})
	}
	switch w.random.IntN(9) {
	case 0:
		n.signal(syscall.SIGKILL)
	case 1:
		n.signal(syscall.SIGTERM)
	case 2:
		n.signal(syscall.SIGHUP)
	case 3:
		n.signal(syscall.SIGSTOP)
		heal(func() { n.signal(syscall.SIGCONT) })
	case 4:
		n.store.set(bad)
		heal(func() { n.store.set(pass) })
	case 5:
		at.proxy.set(bad)
		heal(func() { at.proxy.set(pass) })
	case 6:
		at.worker.Crash()
		at.worker.Start()
	case 7:
		w.setSilent(at, true)
		at.proxy.set(cut)
		heal(func() {
			at.proxy.set(pass)
			w.setSilent(at, false)
		})
	case 8:
		w.store.Compact()
		w.configure()
	}
}

func (w *world) setSilent(at *place, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at.silent = silent
}

func (w *world) close() {
	w.group.Wait()
	for _, fn := range w.closers {
		fn()
	}
	for _, n := range w.nodes {
		closeAll(n.log)
	}
}

func (w *world) summary() string {
	w.callers.mu.Lock()
	defer w.callers.mu.Unlock()
	accepted, completed, exits := 0, 0, 0
	for _, j := range w.callers.jobs {
		if j.accepted {
			accepted++
		}
		if j.state == "completed" {
			completed++
		}
	}
	for _, n := range w.nodes {
		exits += n.exits
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d completed; %d faults, %d ends of processes", len(w.callers.jobs), accepted, completed, w.injured, exits)
}
