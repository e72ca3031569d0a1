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

// authority grants ownership keys as the store's leases do: one holder, a rising token, and an end.
type authority struct {
	mu    sync.Mutex
	next  model.Token
	held  map[string]model.InstanceID
	token map[string]model.Token
	// paused instances still believe that they hold their keys.
	paused map[model.InstanceID]map[string]model.Token
	// down ends all holds and grants none.
	down bool
}

var errHeld = errors.New("held by another instance")

func (a *authority) acquire(id model.InstanceID, key string) (model.Token, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if holder, held := a.held[key]; a.down || (held && holder != id) {
		return 0, errHeld
	}
	a.next++
	delete(a.paused[id], key)
	a.held[key], a.token[key] = id, a.next
	return a.next, nil
}

func (a *authority) valid(id model.InstanceID, key string) (model.Token, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if believed, ok := a.paused[id][key]; ok {
		return believed, true
	}
	return a.token[key], a.held[key] == id
}

func (a *authority) release(id model.InstanceID, key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held[key] == id {
		delete(a.held, key)
	}
}

// expire ends all leases of an instance; with believes it does not notice, as when its clock check is switched off.
func (a *authority) expire(id model.InstanceID, believes bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, holder := range a.held {
		if holder != id {
			continue
		}
		if believes {
			if a.paused[id] == nil {
				a.paused[id] = map[string]model.Token{}
			}
			a.paused[id][key] = a.token[key]
		}
		delete(a.held, key)
	}
}

// outage ends all holds, and grants none until it is over.
func (a *authority) outage(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	clear(a.held)
}

// resume ends the pauses of all instances.
func (a *authority) resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.paused)
}

// rig is a set of instances over one store and fake workers, under virtual time.
type rig struct {
	mu       sync.Mutex
	set      *model.Set
	kv       *fakekv.Server
	network  *memnet.Net
	workers  map[model.WorkerID]*fakewk.Server
	vms      []sched.WorkerVM
	leases   *authority
	managers map[model.InstanceID]*sched.Manager
	events   []string
	peers    []sched.Peer
	mayStart func(model.DataCentreID) *reply.Error
	tuning   sched.Tuning
	options  place.Options
	cancels  []context.CancelFunc
	running  sync.WaitGroup
	killed   map[model.InstanceID]bool
}

func newRig(set *model.Set) *rig {
	r := &rig{
		set: set, kv: fakekv.New(), network: memnet.New(), workers: map[model.WorkerID]*fakewk.Server{},
		leases: &authority{
			held: map[string]model.InstanceID{}, token: map[string]model.Token{}, paused: map[model.InstanceID]map[string]model.Token{},
		},
		managers: map[model.InstanceID]*sched.Manager{}, killed: map[model.InstanceID]bool{}, tuning: sched.DefaultTuning(),
	}
	r.network.Serve("kv", r.kv)
	r.mayStart = r.inService
	for dc, spec := range set.DataCentres {
		for _, rack := range spec.Racks {
			for i := range rack.Workers {
				id := model.WorkerID(fmt.Sprintf("%s-%s-%d", dc, rack.Name, i))
				fake := fakewk.New(id, rack.AcceleratorsPerWorker)
				r.workers[id] = fake
				r.network.Serve(memnet.Host(id), fake)
				r.vms = append(r.vms, sched.WorkerVM{
					ID: id, Address: string(id), DataCentre: dc, Rack: rack.Name, Accelerators: rack.AcceleratorsPerWorker,
				})
			}
		}
	}
	slices.SortFunc(r.vms, func(a, b sched.WorkerVM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return r
}

// silence makes all calls to a host hang until they time out, or restores it.
func (r *rig) silence(host string, silent bool) {
	r.network.SetFault(memnet.AnyHost, memnet.Host(host), memnet.Fault{Silent: silent})
}

func (r *rig) inService(dc model.DataCentreID) *reply.Error {
	if r.current().DataCentres[dc].Service != model.ServiceIn {
		return reply.Refused(reply.ReasonDraining, "data centre %q is out of service", dc)
	}
	return nil
}

func (r *rig) current() *model.Set {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set
}

// change publishes a changed configuration.
func (r *rig) change(edit func(*model.Set)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.set.Clone()
	next.Revision++
	edit(next)
	r.set = next
}

func (r *rig) book(do func(*http.Request) (*http.Response, error)) *jobs.Book {
	return &jobs.Book{Store: &store.Client{BaseURL: "http://kv", Role: "jobs", Timeout: 2 * time.Second, Do: do}}
}

var errKilled = errors.New("the instance was killed")

// doFor reaches the network for as long as the instance lives.
func (r *rig) doFor(id model.InstanceID) func(*http.Request) (*http.Response, error) {
	return func(req *http.Request) (*http.Response, error) {
		if r.dead(id) {
			return nil, errKilled
		}
		return r.network.Transport("instance").RoundTrip(req)
	}
}

func (r *rig) dead(id model.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.killed[id]
}

// leave takes an instance out of the members, as when it drains or is not heard.
func (r *rig) leave(id model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = slices.DeleteFunc(slices.Clone(r.peers), func(p sched.Peer) bool { return p.Instance == id })
}

// join brings an instance back into the members.
func (r *rig) join(id model.InstanceID, dc model.DataCentreID) {
	r.leave(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = append(r.peers, sched.Peer{Instance: id, DataCentre: dc})
}

// recorded returns the decisions that were recorded.
func (r *rig) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// service takes a data centre out of service or back in.
func (r *rig) service(id model.DataCentreID, state model.ServiceState) {
	r.change(func(set *model.Set) {
		dc := set.DataCentres[id]
		dc.Service = state
		set.DataCentres[id] = dc
	})
}

// instance starts a manager; the returned function stops it at once, as a kill does.
func (r *rig) instance(id model.InstanceID, dc model.DataCentreID) (manager *sched.Manager, kill func()) {
	self := sched.Peer{Instance: id, DataCentre: dc}
	r.mu.Lock()
	r.peers = append(r.peers, self)
	r.mu.Unlock()
	manager = &sched.Manager{
		Self: self, Current: r.current, Tuning: r.tuning, Options: r.options, Jobs: r.book(r.doFor(id)),
		MayStartTask: func(dc model.DataCentreID) *reply.Error { return r.mayStart(dc) },
		Live: func() []sched.Peer {
			r.mu.Lock()
			defer r.mu.Unlock()
			return slices.Clone(r.peers)
		},
		Workers: func() []sched.WorkerVM {
			r.mu.Lock()
			defer r.mu.Unlock()
			return slices.Clone(r.vms)
		},
		Acquire: func(_ context.Context, key string) (model.Token, error) { return r.leases.acquire(id, key) },
		Token:   func(key string) (model.Token, bool) { return r.leases.valid(id, key) },
		Release: func(_ context.Context, key string) error {
			if !r.dead(id) {
				r.leases.release(id, key)
			}
			return nil
		},
		Record: func(kind, subject, action, reason string, _ map[string]string) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.events = append(r.events, fmt.Sprintf("%s %s %s %s", kind, subject, action, reason))
		},
		Worker: &worker.Client{Timeout: 2 * time.Second, Do: r.doFor(id)},
	}
	r.managers[id] = manager
	ctx, cancel := context.WithCancel(context.Background())
	r.running.Go(func() { Expect(ignore(manager.Run(ctx))).To(Succeed()) })
	r.cancels = append(r.cancels, cancel)
	return manager, func() {
		r.mu.Lock()
		r.killed[id] = true
		r.mu.Unlock()
		cancel()
		r.leave(id)
	}
}

func ignore(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// close ends all instances, so that the virtual clock's test can end.
func (r *rig) close() {
	for _, cancel := range r.cancels {
		cancel()
	}
	r.running.Wait()
}

func (r *rig) submit(m *sched.Manager, spec jobs.Spec) {
	GinkgoHelper()
	_, refused := m.Submit(context.Background(), spec)
	Expect(refused).To(BeNil())
}

func (r *rig) get(m *sched.Manager, id model.JobID) jobs.Record {
	GinkgoHelper()
	record, refused := m.Get(context.Background(), id)
	Expect(refused).To(BeNil())
	return record
}

// within waits up to limit of virtual time for a condition and returns how long it took; it fails the spec otherwise.
func within(limit time.Duration, what string, condition func() bool) time.Duration {
	GinkgoHelper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			Fail(fmt.Sprintf("%s: not so within %v", what, limit))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// runs reports whether a placed task runs on its worker.
func (r *rig) runs(p jobs.Placement) bool {
	return slices.ContainsFunc(r.workers[p.Worker].Runs(), func(run fakewk.Run) bool {
		return run.Task.Task == p.Task && !run.State.Ended()
	})
}

func (r *rig) state(m *sched.Manager, id model.JobID, want jobs.State) func() bool {
	return func() bool {
		record, refused := m.Get(context.Background(), id)
		return refused == nil && record.State == want
	}
}

// busy counts the tasks of a job that hold accelerators now.
func (r *rig) busy(id model.JobID) int {
	count := 0
	for _, fake := range r.workers {
		for _, run := range fake.Runs() {
			if run.Job == id && !run.State.Ended() {
				count++
			}
		}
	}
	return count
}

// starts counts the tasks of a job that ever ran.
func (r *rig) starts(id model.JobID) int {
	count := 0
	for _, fake := range r.workers {
		for _, run := range fake.Runs() {
			if run.Job == id {
				count++
			}
		}
	}
	return count
}

// hollowCreek is a small deployment: racks of six workers with 8 accelerators.
func hollowCreek(racks int) *model.Set {
	set := model.NewSet()
	set.Revision = 1
	dc := model.DataCentre{Service: model.ServiceIn}
	for i := range racks {
		dc.Racks = append(dc.Racks, model.Rack{Name: model.RackID(fmt.Sprintf("r%d", i)), Workers: 6, AcceleratorsPerWorker: 8})
	}
	set.DataCentres["courthouse"] = dc
	set.Customers["festival"], set.Customers["board"] = model.Customer{}, model.Customer{}
	set.Shapes["one"] = model.Shape{Tasks: 1, AcceleratorsPerTask: 1, Adjacency: model.AdjacencyWorker}
	set.Shapes["worker"] = model.Shape{Tasks: 1, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyWorker}
	set.Shapes["half"] = model.Shape{Tasks: 3, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyRack}
	set.Shapes["rack"] = model.Shape{Tasks: 6, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyRack}
	set.JobClasses["score"] = model.JobClass{Priority: model.PriorityNormal, Checkpointable: true, StopWithin: model.Duration(5 * time.Second)}
	set.JobClasses["judge"] = model.JobClass{Priority: model.PriorityUrgent, Repeatable: true}
	set.JobClasses["tally"] = model.JobClass{Priority: model.PriorityNormal}
	set.JobClasses["tag"] = model.JobClass{Priority: model.PriorityBackground, Checkpointable: true, StopWithin: model.Duration(5 * time.Second)}
	return set
}

func always(model.DataCentreID) *reply.Error { return nil }
