package sched_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/fakewk"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/sched"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// leaseAuthority is a fake of the store's leases. A key has at most one holder, and each acquisition gets a higher fencing
// token.
type leaseAuthority struct {
	mu     sync.Mutex
	next   model.Token
	held   map[string]model.InstanceID
	tokens map[string]model.Token
	// staleTokens are the tokens of paused instances, which do not notice that their leases have expired.
	staleTokens map[model.InstanceID]map[string]model.Token
	// down is true while no key can be acquired.
	down bool
}

var errHeld = errors.New("held by another instance")

func (a *leaseAuthority) acquire(id model.InstanceID, key string) (model.Token, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if holder, held := a.held[key]; a.down || (held && holder != id) {
		return 0, errHeld
	}
	a.next++
	delete(a.staleTokens[id], key)
	a.held[key], a.tokens[key] = id, a.next
	return a.next, nil
}

func (a *leaseAuthority) valid(id model.InstanceID, key string) (model.Token, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if stale, ok := a.staleTokens[id][key]; ok {
		return stale, true
	}
	return a.tokens[key], a.held[key] == id
}

func (a *leaseAuthority) release(id model.InstanceID, key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held[key] == id {
		delete(a.held, key)
	}
}

// expireLeases ends all leases of an instance. With unnoticed, the instance still takes them for valid, as with its clock
// check disabled.
func (a *leaseAuthority) expireLeases(id model.InstanceID, unnoticed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, holder := range a.held {
		if holder != id {
			continue
		}
		if unnoticed {
			if a.staleTokens[id] == nil {
				a.staleTokens[id] = map[string]model.Token{}
			}
			a.staleTokens[id][key] = a.tokens[key]
		}
		delete(a.held, key)
	}
}

// setOutage ends all leases, and while down is true none can be acquired.
func (a *leaseAuthority) setOutage(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	clear(a.held)
}

// resumeAll makes all paused instances notice that their leases have expired.
func (a *leaseAuthority) resumeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.staleTokens)
}

// testCluster is a set of instances with one fake store and fake workers, under a virtual clock.
type testCluster struct {
	// mu guards config, decisions, peers and killed.
	mu          sync.Mutex
	config      *model.Set
	storeServer *fakekv.Server
	network     *memnet.Net
	workers     map[model.WorkerID]*fakewk.Server
	vms         []sched.WorkerVM
	leases      *leaseAuthority
	managers    map[model.InstanceID]*sched.Manager
	decisions   []string
	peers       []sched.Peer
	mayStart    func(model.DataCentreID) *reply.Error
	// tuning and options are used by the instances that are started later.
	tuning     sched.Tuning
	options    place.Options
	cancels    []context.CancelFunc
	background sync.WaitGroup
	killed     map[model.InstanceID]bool
}

func newTestCluster(config *model.Set) *testCluster {
	c := &testCluster{
		config: config, storeServer: fakekv.New(), network: memnet.New(), workers: map[model.WorkerID]*fakewk.Server{},
		leases: &leaseAuthority{
			held: map[string]model.InstanceID{}, tokens: map[string]model.Token{}, staleTokens: map[model.InstanceID]map[string]model.Token{},
		},
		managers: map[model.InstanceID]*sched.Manager{}, killed: map[model.InstanceID]bool{}, tuning: sched.DefaultTuning(),
	}
	c.network.SetHandler("kv", c.storeServer)
	c.mayStart = c.checkInService
	for dc, spec := range config.DataCentres {
		for _, rack := range spec.Racks {
			for i := range rack.Workers {
				id := model.WorkerID(fmt.Sprintf("%s-%s-%d", dc, rack.Name, i))
				fake := fakewk.New(id, rack.AcceleratorsPerWorker)
				c.workers[id] = fake
				c.network.SetHandler(memnet.Host(id), fake)
				c.vms = append(c.vms, sched.WorkerVM{
					ID: id, Address: string(id), DataCentre: dc, Rack: rack.Name, Accelerators: rack.AcceleratorsPerWorker,
				})
			}
		}
	}
	slices.SortFunc(c.vms, func(a, b sched.WorkerVM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return c
}

// setSilent makes all calls to a host hang until they time out, or ends that fault.
func (c *testCluster) setSilent(host string, silent bool) {
	c.network.SetFault(memnet.AnyHost, memnet.Host(host), memnet.Fault{DropRequests: silent})
}

func (c *testCluster) checkInService(dc model.DataCentreID) *reply.Error {
	if c.currentConfig().DataCentres[dc].Service != model.ServiceIn {
		return reply.Refused(reply.ReasonDraining, "data centre %q is out of service", dc)
	}
	return nil
}

func (c *testCluster) currentConfig() *model.Set {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// changeConfig publishes a new revision of the configuration.
func (c *testCluster) changeConfig(edit func(*model.Set)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.config.Clone()
	next.Revision++
	edit(next)
	c.config = next
}

func (c *testCluster) newRecordStore(do func(*http.Request) (*http.Response, error)) *jobs.RecordStore {
	return &jobs.RecordStore{Store: &store.Client{BaseURL: "http://kv", Role: "jobs", Timeout: 2 * time.Second, Do: do}}
}

var errKilled = errors.New("the instance was killed")

// roundTripFor returns the transport of an instance, which fails after the instance was killed.
func (c *testCluster) roundTripFor(id model.InstanceID) func(*http.Request) (*http.Response, error) {
	return func(req *http.Request) (*http.Response, error) {
		if c.isKilled(id) {
			return nil, errKilled
		}
		return c.network.Transport("instance").RoundTrip(req)
	}
}

func (c *testCluster) isKilled(id model.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed[id]
}

// removePeer removes an instance from the live instances, as when it drains or is unreachable.
func (c *testCluster) removePeer(id model.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = slices.DeleteFunc(slices.Clone(c.peers), func(p sched.Peer) bool { return p.Instance == id })
}

// addPeer adds an instance to the live instances.
func (c *testCluster) addPeer(id model.InstanceID, dc model.DataCentreID) {
	c.removePeer(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = append(c.peers, sched.Peer{Instance: id, DataCentre: dc})
}

// recordedDecisions returns the decisions passed to Manager.Record, as "kind subject action reason".
func (c *testCluster) recordedDecisions() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.decisions)
}

// setService sets the service state of a data centre.
func (c *testCluster) setService(id model.DataCentreID, state model.ServiceState) {
	c.changeConfig(func(config *model.Set) {
		dc := config.DataCentres[id]
		dc.Service = state
		config.DataCentres[id] = dc
	})
}

// startInstance starts a manager. The returned function stops it without releasing its data centres, as a kill does.
func (c *testCluster) startInstance(id model.InstanceID, dc model.DataCentreID) (manager *sched.Manager, kill func()) {
	self := sched.Peer{Instance: id, DataCentre: dc}
	c.mu.Lock()
	c.peers = append(c.peers, self)
	c.mu.Unlock()
	manager = &sched.Manager{
		Self: self, Current: c.currentConfig, Tuning: c.tuning, Options: c.options, Jobs: c.newRecordStore(c.roundTripFor(id)),
		MayStartTask: func(dc model.DataCentreID) *reply.Error { return c.mayStart(dc) },
		Live: func() []sched.Peer {
			c.mu.Lock()
			defer c.mu.Unlock()
			return slices.Clone(c.peers)
		},
		Workers: func() []sched.WorkerVM {
			c.mu.Lock()
			defer c.mu.Unlock()
			return slices.Clone(c.vms)
		},
		Acquire: func(_ context.Context, key string) (model.Token, error) { return c.leases.acquire(id, key) },
		Token:   func(key string) (model.Token, bool) { return c.leases.valid(id, key) },
		Release: func(_ context.Context, key string) error {
			if !c.isKilled(id) {
				c.leases.release(id, key)
			}
			return nil
		},
		Record: func(kind, subject, action, reason string, _ map[string]string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.decisions = append(c.decisions, fmt.Sprintf("%s %s %s %s", kind, subject, action, reason))
		},
		Worker: &worker.Client{Timeout: 2 * time.Second, Do: c.roundTripFor(id)},
	}
	c.managers[id] = manager
	ctx, cancel := context.WithCancel(context.Background())
	c.background.Go(func() { Expect(ignoreCancel(manager.Run(ctx))).To(Succeed()) })
	c.cancels = append(c.cancels, cancel)
	return manager, func() {
		c.mu.Lock()
		c.killed[id] = true
		c.mu.Unlock()
		cancel()
		c.removePeer(id)
	}
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// close stops all instances, because the virtual clock requires all goroutines of a test to end.
func (c *testCluster) close() {
	for _, cancel := range c.cancels {
		cancel()
	}
	c.background.Wait()
}

func (c *testCluster) submitJob(m *sched.Manager, spec jobs.Spec) {
	GinkgoHelper()
	_, refused := m.Submit(context.Background(), spec)
	Expect(refused).To(BeNil())
}

func (c *testCluster) getRecord(m *sched.Manager, id model.JobID) jobs.Record {
	GinkgoHelper()
	record, refused := m.Get(context.Background(), id)
	Expect(refused).To(BeNil())
	return record
}

// waitUntil waits for a condition and returns how long that took. It fails the spec after limit of virtual time.
func waitUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	GinkgoHelper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			Fail(fmt.Sprintf("%s: not true within %v", what, limit))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// isTaskRunning reports whether the task of a placement runs on its worker.
func (c *testCluster) isTaskRunning(p jobs.Placement) bool {
	return slices.ContainsFunc(c.workers[p.Worker].Runs(), func(run fakewk.Run) bool {
		return run.Task.Task == p.Task && !run.State.Ended()
	})
}

// hasState returns a condition for waitUntil: the job is in state want.
func (c *testCluster) hasState(m *sched.Manager, id model.JobID, want jobs.State) func() bool {
	return func() bool {
		record, refused := m.Get(context.Background(), id)
		return refused == nil && record.State == want
	}
}

// runningTasks counts the tasks of a job that hold accelerators now.
func (c *testCluster) runningTasks(id model.JobID) int {
	count := 0
	for _, fake := range c.workers {
		for _, run := range fake.Runs() {
			if run.Job == id && !run.State.Ended() {
				count++
			}
		}
	}
	return count
}

// startedTasks counts the tasks of a job that were ever started.
func (c *testCluster) startedTasks(id model.JobID) int {
	count := 0
	for _, fake := range c.workers {
		for _, run := range fake.Runs() {
			if run.Job == id {
				count++
			}
		}
	}
	return count
}

// newConfig returns a configuration of one data centre with racks of six workers with 8 accelerators each.
func newConfig(racks int) *model.Set {
	config := model.NewSet()
	config.Revision = 1
	dc := model.DataCentre{Service: model.ServiceIn}
	for i := range racks {
		dc.Racks = append(dc.Racks, model.Rack{Name: model.RackID(fmt.Sprintf("r%d", i)), Workers: 6, AcceleratorsPerWorker: 8})
	}
	config.DataCentres["courthouse"] = dc
	config.Customers["festival"], config.Customers["board"] = model.Customer{}, model.Customer{}
	config.Shapes["one"] = model.Shape{Tasks: 1, AcceleratorsPerTask: 1, Adjacency: model.AdjacencyWorker}
	config.Shapes["worker"] = model.Shape{Tasks: 1, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyWorker}
	config.Shapes["half"] = model.Shape{Tasks: 3, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyRack}
	config.Shapes["rack"] = model.Shape{Tasks: 6, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyRack}
	config.JobClasses["score"] = model.JobClass{Priority: model.PriorityNormal, Checkpointable: true, StopWithin: model.Duration(5 * time.Second)}
	config.JobClasses["judge"] = model.JobClass{Priority: model.PriorityUrgent, Repeatable: true}
	config.JobClasses["tally"] = model.JobClass{Priority: model.PriorityNormal}
	config.JobClasses["tag"] = model.JobClass{Priority: model.PriorityBackground, Checkpointable: true, StopWithin: model.Duration(5 * time.Second)}
	return config
}

func alwaysAllowed(model.DataCentreID) *reply.Error { return nil }
