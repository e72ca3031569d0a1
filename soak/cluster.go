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
	heartbeatInterval = 500 * time.Millisecond
	registrationTTL   = 1500 * time.Millisecond // without a heartbeat
	taskDuration      = 1500 * time.Millisecond
	meanFaultInterval = 900 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	startupDelay      = 3 * time.Second
	settleDelay       = 2 * time.Second
)

// cluster holds one run: the fake platform, the instances, the callers and the source of faults.
type cluster struct {
	random        *rand.Rand // source of the faults; the order of draws decides what a seed does
	store         *fakepl.Store
	fleet         *fakepl.Fleet
	workers       []*proxiedWorker
	nodes         []*node
	callers       *callers
	cleanups      []func()
	configVersion int

	group      sync.WaitGroup
	mu         sync.Mutex     // guards gangSizes, additions to workers and the silent fields of the workers
	gangSizes  map[string]int // tasks by step ID
	faultCount int            // injected so far
}

// proxiedWorker is a worker and the proxy that carries calls to it.
type proxiedWorker struct {
	worker *fakepl.Worker
	proxy  *proxy
	silent bool // sends no heartbeats
}

func newCluster(ctx context.Context, opts options, dir string, random *rand.Rand) (*cluster, error) {
	c := &cluster{random: random, store: fakepl.NewStore(), fleet: fakepl.NewFleet(taskDuration), gangSizes: map[string]int{}}
	c.writeConfig()
	storeAddress, err := c.serveLoopback(c.store)
	if err != nil {
		return nil, err
	}
	for i := range opts.workers {
		if err := c.addWorker(ctx, i); err != nil {
			return nil, err
		}
	}
	ports, reservation, err := reservePorts()
	if err != nil {
		return nil, err
	}
	c.cleanups = append(c.cleanups, func() { closeAll(reservation) })
	for i := range opts.nodes {
		p, cleanup, err := newProxy(ctx, storeAddress)
		if err != nil {
			return nil, err
		}
		c.cleanups = append(c.cleanups, cleanup)
		n, err := newNode(dir, opts.binary, ports+i*portsPerNode, i, p)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
		c.group.Go(func() { n.run(ctx) })
	}
	c.fleet.Gang = c.gangSize
	c.callers = &callers{nodes: c.nodes, registerGang: c.registerGang, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	return c, nil
}

func (c *cluster) registerGang(id string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gangSizes[id+".0.0"] = tasks
}

func (c *cluster) gangSize(step string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gangSizes[step]
}

func (c *cluster) serveLoopback(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listening does not block
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() //nolint:errcheck // The server ends with the run.
	c.cleanups = append(c.cleanups, func() { closeAll(server) })
	return listener.Addr().String(), nil
}

// writeConfig stores the next version of the configuration.
func (c *cluster) writeConfig() {
	c.configVersion++
	c.store.Put(fakepl.ConfigKey, fakepl.Config(c.configVersion, c.configVersion%2))
}

func (c *cluster) addWorker(ctx context.Context, i int) error {
	worker := &fakepl.Worker{
		ID: fmt.Sprintf("i-%02d", i), Zone: "zone-1", Service: "pool", Labels: []string{"a", fmt.Sprintf("r%d", i%3)},
		CPU: 64000, MemoryMB: 64000, GPU: 8, Fleet: c.fleet,
	}
	worker.Start()
	address, err := c.serveLoopback(worker)
	if err != nil {
		return err
	}
	p, cleanup, err := newProxy(ctx, address)
	if err != nil {
		return err
	}
	c.cleanups = append(c.cleanups, cleanup)
	worker.Address = p.address()
	proxied := &proxiedWorker{worker: worker, proxy: p}
	c.mu.Lock()
	c.workers = append(c.workers, proxied)
	c.mu.Unlock()
	c.group.Go(func() { c.sendHeartbeats(ctx, proxied) })
	return nil
}

// sendHeartbeats keeps a worker registered, and removes its entry after registrationTTL while it is silent.
func (c *cluster) sendHeartbeats(ctx context.Context, proxied *proxiedWorker) {
	key := fakepl.WorkerKey(proxied.worker.ID)
	last := time.Now()
	for ctx.Err() == nil {
		c.mu.Lock()
		silent := proxied.silent
		c.mu.Unlock()
		if !silent {
			c.store.Put(key, proxied.worker.Registration())
			last = time.Now()
		} else if time.Since(last) > registrationTTL {
			c.store.Remove(key)
		}
		time.Sleep(heartbeatInterval)
	}
}

// runScenario injects faults under load, waits for the open jobs to end, and returns the violations.
func (c *cluster) runScenario(ctx context.Context, opts options) []string {
	time.Sleep(startupDelay)
	load, endLoad := context.WithTimeout(ctx, opts.faults)
	defer endLoad()
	var following sync.WaitGroup
	seed := c.random.Uint64()
	following.Go(func() { c.load(load, ctx, opts, &following, seed) })
	for load.Err() == nil {
		c.injectFault(ctx)
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * meanFaultInterval))))
	}
	calm := time.Now()
	for time.Since(calm) < opts.calm && c.openJobs() > 0 {
		time.Sleep(heartbeatInterval)
	}
	openJobs := c.openJobs()
	time.Sleep(settleDelay)
	violations := append(c.fleet.Violations(), c.callers.recordedViolations()...)
	if openJobs > 0 {
		violations = append(violations, fmt.Sprintf("%d accepted jobs have no final state %v after the faults", openJobs, opts.calm))
	}
	return append(violations, c.falseRefusals()...)
}

// load submits jobs at random times until ctx ends, and follows the accepted ones until follow ends.
func (c *cluster) load(ctx, follow context.Context, opts options, following *sync.WaitGroup, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for ctx.Err() == nil {
		own := rand.New(rand.NewPCG(random.Uint64(), 3))
		following.Go(func() {
			if j := c.callers.submitJob(follow, own); j.accepted {
				c.callers.follow(follow, own, j)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / opts.rate * float64(time.Second)))
	}
}

// openJobs returns the number of accepted jobs without a final state.
func (c *cluster) openJobs() int {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	openJobs := 0
	for _, j := range c.callers.jobs {
		if j.accepted && j.state != "completed" && j.state != "cancelled" && j.state != "failed" {
			openJobs++
		}
	}
	return openJobs
}

// falseRefusals returns a violation for each task that ran although every attempt to submit its job was refused.
func (c *cluster) falseRefusals() []string {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	var violations []string
	for _, j := range c.callers.jobs {
		for i := range j.tasks {
			if j.rejected && c.fleet.StartCount(fmt.Sprintf("%s.0.0.%d", j.id, i)) > 0 {
				violations = append(violations, fmt.Sprintf("job %s ran although every attempt to submit it was refused", j.id))
			}
		}
	}
	return violations
}

// injectFault injects one random fault; faults that last are cleared after a random time.
func (c *cluster) injectFault(ctx context.Context) {
	c.faultCount++
	n := c.nodes[c.random.IntN(len(c.nodes))]
	proxied := c.workers[c.random.IntN(len(c.workers))]
	duration := time.Duration(c.random.Int64N(int64(maxFaultDuration)))
	faultMode := mode(1 + c.random.IntN(int(modeCount)-1))
	clearLater := func(fn func()) {
		c.group.Go(func() {
			select {
			case <-time.After(duration):
			case <-ctx.Done():
			}
			fn()
		})
	}
	switch c.random.IntN(9) {
	case 0:
		n.signal(syscall.SIGKILL)
	case 1:
		n.signal(syscall.SIGTERM)
	case 2:
		n.signal(syscall.SIGHUP)
	case 3:
		n.signal(syscall.SIGSTOP)
		clearLater(func() { n.signal(syscall.SIGCONT) })
	case 4:
		n.store.setMode(faultMode)
		clearLater(func() { n.store.setMode(modePass) })
	case 5:
		proxied.proxy.setMode(faultMode)
		clearLater(func() { proxied.proxy.setMode(modePass) })
	case 6:
		proxied.worker.Crash()
		proxied.worker.Start()
	case 7:
		c.setSilent(proxied, true)
		proxied.proxy.setMode(modeCut)
		clearLater(func() {
			proxied.proxy.setMode(modePass)
			c.setSilent(proxied, false)
		})
	case 8:
		c.store.Compact()
		c.writeConfig()
	}
}

func (c *cluster) setSilent(proxied *proxiedWorker, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	proxied.silent = silent
}

func (c *cluster) close() {
	c.group.Wait()
	for _, fn := range c.cleanups {
		fn()
	}
	for _, n := range c.nodes {
		closeAll(n.log)
	}
}

func (c *cluster) summary() string {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	accepted, completed, exits := 0, 0, 0
	for _, j := range c.callers.jobs {
		if j.accepted {
			accepted++
		}
		if j.state == "completed" {
			completed++
		}
	}
	for _, n := range c.nodes {
		exits += n.exits
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d completed; %d faults, %d process exits",
		len(c.callers.jobs), accepted, completed, c.faultCount, exits)
}
