package daemon_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/daemon"
	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/fakevm"
	"peridotgw.example/peridotgw/internal/fakewk"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/params"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

const (
	hostStore     = memnet.Host("store")
	hostVMs       = memnet.Host("vms")
	operatorToken = "operator-token-for-specs"
	serviceTimeMs = 20
)

// rig runs complete instances and fakes of the platform's services in one process, connected by an in-memory network.
type rig struct {
	net       *memnet.Net
	kv        *fakekv.Server
	vms       *fakevm.Server
	workers   map[string]*fakewk.Server
	endpoints map[string]*fakeep.Server
	instances []*instance
	running   sync.WaitGroup // of the instances' Run calls
}

// instance is one instance of a rig.
type instance struct {
	*daemon.Daemon
	id     string
	cancel context.CancelFunc
	// done is closed when Run has returned err.
	done chan struct{}
	err  error
}

// newRig starts the fakes of two data centres, each with two endpoints and a rack of two workers with four accelerators each.
func newRig() *rig {
	r := &rig{
		net: memnet.New(), kv: fakekv.New(), workers: map[string]*fakewk.Server{}, endpoints: map[string]*fakeep.Server{},
	}
	var vms []vmlist.VM
	for _, dc := range []model.DataCentreID{"north", "south"} {
		for i := range 2 {
			worker, endpoint := fmt.Sprintf("%s-w%d", dc, i), fmt.Sprintf("%s-e%d", dc, i)
			r.workers[worker] = fakewk.New(model.WorkerID(worker), 4)
			r.net.SetHandler(memnet.Host(worker), r.workers[worker])
			r.endpoints[endpoint] = fakeep.New(8)
			r.endpoints[endpoint].ServiceTime = func(model.RequestClassID) time.Duration { return serviceTimeMs * time.Millisecond }
			r.net.SetHandler(memnet.Host(endpoint), r.endpoints[endpoint])
			vms = append(vms,
				vmlist.VM{Name: worker, Kind: vmlist.KindWorker, Address: worker, DataCentre: dc, Rack: model.RackID(dc + "-r"), Accelerators: 4, Cores: 64, State: vmlist.StateLive},
				vmlist.VM{Name: endpoint, Kind: vmlist.KindEndpoint, Address: endpoint, DataCentre: dc, Slots: 8, State: vmlist.StateLive})
		}
	}
	r.vms = fakevm.New(vms...)
	r.net.SetHandler(hostVMs, r.vms)
	r.net.SetHandler(hostStore, r.kv)
	return r
}

// startInstance adds an instance and runs it.
func (r *rig) startInstance(id, dc string) *instance {
	GinkgoHelper()
	settings := params.Default()
	settings.Instance, settings.DataCentre = model.InstanceID(id), model.DataCentreID(dc)
	settings.Incarnation = model.Incarnation(fmt.Sprintf("%s-%d", id, time.Now().UnixNano()))
	settings.Advertise = params.Advertise{Callers: id + ".callers", Peers: id + ".peers"}
	settings.Store.URL, settings.VMList.URL = "http://"+string(hostStore), "http://"+string(hostVMs)
	settings.VMList.PollInterval = model.Duration(time.Second)
	settings.OperatorTokens = []params.Operator{{Name: "spec", Token: operatorToken}}
	d, cleanup, err := daemon.New(settings, zerolog.Nop(), r.net.Transport(memnet.Host(id)))
	Expect(err).NotTo(HaveOccurred())
	inst := &instance{Daemon: d, id: id, done: make(chan struct{})}
	r.net.SetHandler(memnet.Host(id+".callers"), d.Front.Handler())
	r.net.SetHandler(memnet.Host(id+".peers"), d.PeerHandler())
	r.net.SetHandler(memnet.Host(id+".operators"), d.Ops.Handler())
	var ctx context.Context
	ctx, inst.cancel = context.WithCancel(context.Background())
	r.running.Go(func() {
		defer cleanup()
		inst.err = d.Run(ctx)
		close(inst.done)
	})
	r.instances = append(r.instances, inst)
	return inst
}

// startInstances starts n instances, publishes the configuration and waits until every data centre has an owner.
func (r *rig) startInstances(n int) {
	GinkgoHelper()
	for i := range n {
		r.startInstance(fmt.Sprintf("i%d", i), []string{"north", "south"}[i%2])
	}
	time.Sleep(3 * time.Second)
	r.publish(r.instances[0], initialObjects()...)
	eventually(15*time.Second, "data centres have owners", func() bool { return r.owner("north") != nil && r.owner("south") != nil })
}

// kill simulates a crash of an instance: it is cut off, so that nothing that it sends while it stops arrives.
func (r *rig) kill(inst *instance) {
	r.setFault(inst, memnet.AnyHost, memnet.Fault{Refuse: true})
	for _, suffix := range []string{".callers", ".peers", ".operators"} {
		r.net.SetHandler(memnet.Host(inst.id+suffix), nil)
	}
	inst.cancel()
}

// setFault sets the fault of an instance's calls to a host.
func (r *rig) setFault(inst *instance, to memnet.Host, fault memnet.Fault) {
	r.net.SetFault(memnet.Host(inst.id), to, fault)
}

// cutFromPeers makes the connections between an instance and all others silent, in both directions.
func (r *rig) cutFromPeers(inst *instance) {
	for _, other := range r.instances {
		if other == inst {
			continue
		}
		r.setFault(inst, memnet.Host(other.id+".peers"), memnet.Fault{DropRequests: true})
		r.setFault(other, memnet.Host(inst.id+".peers"), memnet.Fault{DropRequests: true})
	}
}

// close stops all instances.
func (r *rig) close() {
	for _, inst := range r.instances {
		inst.cancel()
	}
	r.running.Wait()
	// The timers of running tasks' leases must expire before the bubble ends.
	time.Sleep(time.Minute)
}

// owner returns the running instance that owns a data centre, or nil.
func (r *rig) owner(dc model.DataCentreID) *instance {
	for _, inst := range r.instances {
		if owner, found := inst.SchedulerAdapter.Manager.LocalOwner(dc); found && owner.Valid() {
			return inst
		}
	}
	return nil
}

// operator returns an operator's client of one instance.
func (r *rig) operator(of *instance) *client.Operator {
	return &client.Operator{
		Target: client.Target{Addresses: []string{"http://" + of.id + ".operators"}, Do: r.net.Client("operator").Do, Timeout: 30 * time.Second},
		Token:  operatorToken,
	}
}

// publish publishes objects as one change, based on the revision in effect on the instance.
func (r *rig) publish(inst *instance, objects ...model.Object) client.Result {
	GinkgoHelper()
	revision, _, _ := inst.Follower.Confirmation()
	result, err := r.operator(inst).Publish(context.Background(), client.Change{ID: client.NewChangeID(), Base: revision, Put: objects})
	Expect(err).NotTo(HaveOccurred())
	return result
}

// sendRequest sends a request to one instance and returns the outcome, the reason, and the response body or error message.
func (r *rig) sendRequest(to *instance, class model.RequestClassID, id string, within time.Duration) (reply.Outcome, reply.Reason, string) {
	GinkgoHelper()
	caller := &client.Caller{
		Target: client.Target{Addresses: []string{"http://" + to.id + ".callers"}, Do: r.net.Client("caller").Do}, Customer: "big",
	}
	answer, err := caller.Do(context.Background(), client.Request{Class: class, ID: model.RequestID(id), Timeout: within, Body: []byte(id)})
	if err == nil {
		return reply.OutcomeDone, "", string(answer.Body)
	}
	var replyErr *reply.Error
	if errors.As(err, &replyErr) {
		return replyErr.Outcome, replyErr.Reason, replyErr.Message
	}
	return "unreachable", "", err.Error()
}

// runCount returns how often a request ran, summed over all endpoints.
func (r *rig) runCount(id string) int {
	total := 0
	for _, endpoint := range r.endpoints {
		total += endpoint.RunCounts()[model.RequestID(id)]
	}
	return total
}

// submitJob submits a job of one task that runs for the given time.
func (r *rig) submitJob(inst *instance, id string, dc model.DataCentreID, class model.JobClassID, run time.Duration) {
	GinkgoHelper()
	_, err := r.operator(inst).Submit(context.Background(), client.Job{
		ID: model.JobID(id), Customer: "small", Class: class, Shape: "one", DataCentre: dc, RunTime: model.Duration(run),
	})
	Expect(err).NotTo(HaveOccurred())
}

// startTimes returns the times at which tasks were started in a data centre.
func (r *rig) startTimes(dc string) []time.Time {
	var times []time.Time
	for name, worker := range r.workers {
		if !strings.HasPrefix(name, dc) {
			continue
		}
		for _, run := range worker.Runs() {
			times = append(times, run.Started)
		}
	}
	return times
}

// eventually polls condition in virtual time and fails the spec if it does not hold in time.
func eventually(within time.Duration, what string, condition func() bool) {
	GinkgoHelper()
	for deadline := time.Now().Add(within); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			Fail(fmt.Sprintf("condition not met within %s: %s", within, what))
		}
	}
}

func newObject(kind model.Kind, name string, spec any) model.Object {
	data, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	return model.Object{Kind: kind, Name: name, Spec: data}
}

func newDataCentre(name string, service model.ServiceState) model.Object {
	return newObject(model.KindDataCentre, name, model.DataCentre{
		Service: service, Racks: []model.Rack{{Name: model.RackID(name + "-r"), Workers: 2, AcceleratorsPerWorker: 4}},
	})
}

// initialObjects returns the configuration of a rig: two data centres with a rack each, two customers, two shapes, and classes.
func initialObjects() []model.Object {
	second := model.Duration(time.Second)
	return []model.Object{
		newDataCentre("north", model.ServiceIn), newDataCentre("south", model.ServiceIn),
		newObject(model.KindCustomer, "big", model.Customer{}), newObject(model.KindCustomer, "small", model.Customer{}),
		newObject(model.KindShape, "one", model.Shape{Tasks: 1, AcceleratorsPerTask: 1, Adjacency: model.AdjacencyWorker}),
		newObject(model.KindShape, "rack", model.Shape{Tasks: 2, AcceleratorsPerTask: 4, Adjacency: model.AdjacencyRack}),
		newObject(model.KindGuarantee, "big-north", model.Guarantee{Customer: "big", Shape: "rack", DataCentre: "north", Count: 1}),
		newObject(model.KindJobClass, "soft", model.JobClass{Priority: model.PriorityBackground, Repeatable: true, StopWithin: second}),
		newObject(model.KindRequestClass, "check", model.RequestClass{Priority: model.PriorityUrgent, Idempotent: true, Timeout: 2 * second}),
		newObject(model.KindRequestClass, "tally", model.RequestClass{Priority: model.PriorityBackground, Timeout: 20 * second}),
	}
}
