package calls

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotgw.example/peridotgw/bench/internal/vtime"
	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Request classes of the example deployment hollow-creek; requestClasses has their parameters.
const (
	classCheck model.RequestClassID = "check"
	classScan  model.RequestClassID = "scan"
	classTally model.RequestClassID = "tally"
)

// requestClass is one class of the load: share is its share of all requests, limit bounds the queued requests of one customer.
type requestClass struct {
	id              model.RequestClassID
	share           float64
	priority        model.Priority
	idempotent      bool
	hedge           bool
	timeout         time.Duration
	limit           int
	meanServiceTime time.Duration
}

func requestClasses() []requestClass {
	return []requestClass{
		{classCheck, 0.3, model.PriorityUrgent, true, true, 2 * time.Second, 100, 60 * time.Millisecond},
		{classScan, 0.6, model.PriorityNormal, true, false, 20 * time.Second, 1000, 100 * time.Millisecond},
		{classTally, 0.1, model.PriorityBackground, false, false, 30 * time.Second, 200, 200 * time.Millisecond},
	}
}

func meanServiceTimes() map[model.RequestClassID]time.Duration {
	byClass := map[model.RequestClassID]time.Duration{}
	for _, c := range requestClasses() {
		byClass[c.id] = c.meanServiceTime
	}
	return byClass
}

// Rule is a variant of endpoint selection and overload handling. SelectEndpoint returns a new selection function for one instance;
// nil is the selection of the design.
type Rule struct {
	Name           string
	SelectEndpoint func() func([]route.Candidate) int
	// NoOverloadControl disables overload control.
	NoOverloadControl bool
	// NoRetryBudget disables the retry budget, so that every retry is allowed.
	NoRetryBudget bool
}

// Config is the configuration of one run.
type Config struct {
	Rule Rule
	// Load is the offered load as a share of the capacity of all endpoints at normal speed.
	Load float64
	// Slow makes one endpoint slower by slowFactor.
	Slow  bool
	Fault fault
	// Arrivals is the time during which requests arrive, warmUp included.
	Arrivals time.Duration
	Seed     uint64
}

// warmUp is the initial time whose requests are left out of the latencies and shares.
const warmUp = 2 * time.Second

// ClassResult counts the requests of one class by outcome; latencies are in microseconds.
type ClassResult struct {
	Latency                   *hdrhistogram.Histogram
	Requests, Refused, Failed int
	// Reasons counts the refusals by reason and by whether the request had been sent before.
	Reasons map[string]int
}

// Result is the result of one run.
type Result struct {
	Classes map[model.RequestClassID]*ClassResult
	// SentRequests counts the requests that were sent at least once, Sends all sends to endpoints, and RefusedFull the sends
	// that a full endpoint refused.
	SentRequests, Sends, RefusedFull int
	err                              error
}

// instance is the request path of one peridotd process.
type instance struct {
	table *route.Table
	queue *queue.Queue
	relay *relay.Relay
}

// run is one run with seeded arrivals.
type run struct {
	config    Config
	platform  *platform
	instances []*instance
	start     time.Time

	mu     sync.Mutex // mu guards result.
	result *Result
}

// Run sends seeded arrivals through nine instances.
func Run(config Config) (*Result, error) {
	r := &run{config: config, result: &Result{Classes: map[model.RequestClassID]*ClassResult{}}}
	for _, c := range requestClasses() {
		r.result.Classes[c.id] = &ClassResult{Latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3), Reasons: map[string]int{}}
	}
	vtime.Run(r.run)
	r.result.Sends, r.result.RefusedFull = r.platform.sends, r.platform.full
	return r.result, r.result.err
}

func (r *run) run() {
	r.platform = newPlatform(r.config.Seed, r.config.Slow, r.config.Fault)
	ctx, cancel := context.WithCancel(context.Background())
	var members []model.InstanceID
	for i := range instances {
		members = append(members, model.InstanceID(fmt.Sprintf("entry-%d", i+1)))
	}
	var services, requests sync.WaitGroup
	for _, self := range members {
		inst := r.newInstance(self, members)
		r.instances = append(r.instances, inst)
		services.Go(func() {
			if err := inst.table.Run(ctx); err != nil {
				r.setError(err)
			}
		})
	}
	r.start = time.Now()
	r.generateRequests(ctx, &requests)
	requests.Wait()
	cancel()
	services.Wait()
}

func (r *run) setError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result.err == nil {
		r.result.err = err
	}
}

func (r *run) newInstance(self model.InstanceID, members []model.InstanceID) *instance {
	inst := &instance{table: &route.Table{
		Members: func() []model.InstanceID { return members }, Self: self, DataCentre: "library", Do: r.platform.do, SkipProbe: true,
	}}
	if r.config.Rule.SelectEndpoint != nil {
		inst.table.SelectEndpoint = r.config.Rule.SelectEndpoint()
	}
	inst.queue = &queue.Queue{Acquire: inst.table.Acquire, Slots: inst.table.Slots, UsableEndpoints: inst.table.UsableEndpoints}
	if r.config.Rule.NoOverloadControl {
		inst.queue.OverloadControl = func() bool { return false }
	}
	inst.table.OnSlotFree = inst.queue.StartQueued
	inst.relay = &relay.Relay{Table: inst.table, Do: r.platform.do}
	if r.config.Rule.NoRetryBudget {
		inst.relay.AllowRetry = func(model.RequestClassID) bool { return true }
	}
	var vms []vmlist.VM
	for i := range endpoints {
		vms = append(vms, vmlist.VM{
			Name: endpointAddress(i), Kind: vmlist.KindEndpoint, Address: endpointAddress(i), DataCentre: "library", Slots: slots, State: vmlist.StateLive,
		})
	}
	inst.table.Update(vms)
	return inst
}

// rate returns the requests per second that keep the given share of all slots busy.
func rate(load float64) float64 {
	meanServiceTime := 0.0
	for _, c := range requestClasses() {
		meanServiceTime += c.share * (c.meanServiceTime + 2*oneWayLatency).Seconds()
	}
	return load * endpoints * slots / meanServiceTime
}

// generateRequests starts one goroutine per request at seeded times, until the arrivals end.
func (r *run) generateRequests(ctx context.Context, requests *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(r.config.Seed, 5)) //nolint:gosec // Arrivals are seeded, not secret.
	perSecond := rate(r.config.Load)
	offset := time.Duration(0)
	for n := 0; ; n++ {
		offset += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if offset >= r.config.Arrivals {
			return
		}
		c, drawn := requestClasses()[0], random.Float64()
		for _, other := range requestClasses() {
			if c = other; drawn < other.share {
				break
			}
			drawn -= other.share
		}
		customer := model.CustomerID(fmt.Sprintf("customer-%d", 1+random.IntN(4)))
		target := r.instances[random.IntN(instances)]
		time.Sleep(time.Until(r.start.Add(offset)))
		requests.Go(func() { r.handleRequest(ctx, target, c, customer, n) })
	}
}

// handleRequest queues and sends one request through the target instance and records its result.
func (r *run) handleRequest(ctx context.Context, target *instance, c requestClass, customer model.CustomerID, n int) {
	arrived := time.Now()
	deadline := arrived.Add(c.timeout)
	item := &queue.Item{
		Class: c.id, Customer: customer, Priority: c.priority, Limit: c.limit, Timeout: c.timeout, Deadline: deadline,
	}
	request := &relay.Request{
		ID: model.RequestID(fmt.Sprintf("r%d", n)), Class: c.id, Customer: customer, Idempotent: c.idempotent, Hedge: c.hedge, Deadline: deadline,
	}
	result, attempts := relay.Result{}, 0
	// A request that a full endpoint refused returns to the queue, as in package front.
	for range maxRequeues + 1 {
		result = r.send(ctx, target, item, request)
		attempts += result.Attempts
		if !result.EndpointFull {
			break
		}
		item.OwnOnly = true
	}
	result.Attempts = attempts
	r.recordResult(c.id, result, arrived)
	result.Answer.Release()
}

// maxRequeues is the limit that package front uses.
const maxRequeues = 4

// send queues a request and sends it once it gets a slot.
func (r *run) send(ctx context.Context, target *instance, item *queue.Item, request *relay.Request) relay.Result {
	permit, refused := target.queue.Wait(ctx, item)
	if refused != nil {
		return relay.Result{Err: refused}
	}
	sent := time.Now()
	result := target.relay.Send(ctx, request, permit.Slot)
	if result.Err != nil && result.Err.Outcome == reply.OutcomeRefused {
		permit.Cancel()
	} else {
		permit.Done(time.Since(sent))
	}
	return result
}

// recordResult counts the outcome of one request.
func (r *run) recordResult(id model.RequestClassID, result relay.Result, arrived time.Time) {
	took := time.Since(arrived)
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Attempts > 0 {
		r.result.SentRequests++
	}
	if arrived.Sub(r.start) < warmUp {
		return
	}
	class := r.result.Classes[id]
	class.Requests++
	switch {
	case result.Err == nil:
		if err := class.Latency.RecordValue(max(1, took.Microseconds())); err != nil {
			r.result.err = err
		}
	case result.Err.Outcome == reply.OutcomeRefused:
		class.Refused++
		stage := "in the queue"
		if result.Attempts > 0 {
			stage = "after a send"
		}
		class.Reasons[fmt.Sprintf("%s %s", result.Err.Reason, stage)]++
	default:
		class.Failed++
	}
}
