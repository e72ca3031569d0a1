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

// The classes of Hollow Creek, with their shares of the requests and mean service times.
const (
	classCheck model.RequestClassID = "check"
	classScan  model.RequestClassID = "scan"
	classTally model.RequestClassID = "tally"
)

type class struct {
	id         model.RequestClassID
	share      float64
	priority   model.Priority
	idempotent bool
	hedge      bool
	timeout    time.Duration
	limit      int
	mean       time.Duration
}

func classes() []class {
	return []class{
		{classCheck, 0.3, model.PriorityUrgent, true, true, 2 * time.Second, 100, 60 * time.Millisecond},
		{classScan, 0.6, model.PriorityNormal, true, false, 20 * time.Second, 1000, 100 * time.Millisecond},
		{classTally, 0.1, model.PriorityBackground, false, false, 30 * time.Second, 200, 200 * time.Millisecond},
	}
}

func means() map[model.RequestClassID]time.Duration {
	byClass := map[model.RequestClassID]time.Duration{}
	for _, c := range classes() {
		byClass[c.id] = c.mean
	}
	return byClass
}

// Rule is a way to choose endpoints; a nil Choose is the design.
type Rule struct {
	Name   string
	Choose func() func([]route.Candidate) int
	// NoControl switches overload control off.
	NoControl bool
	// NoBudget allows every retry.
	NoBudget bool
}

// Config is one run.
type Config struct {
	Rule Rule
	// Load is the offered share of the capacity of all healthy endpoints.
	Load     float64
	Slow     bool
	Fault    fault
	Arrivals time.Duration
	Seed     uint64
}

// warmUp is left out of the measures.
const warmUp = 2 * time.Second

// ClassResult is what requests of one class met; latencies are in microseconds.
type ClassResult struct {
	Latency                *hdrhistogram.Histogram
	Asked, Refused, Failed int
	// Reasons counts the refusals, apart by whether a send had taken place.
	Reasons map[string]int
}

// Result is what one run measured.
type Result struct {
	Classes map[model.RequestClassID]*ClassResult
	// Requests counts those that were sent at least once, and Sends all sends to endpoints, Full those refused by a full
	// endpoint.
	Requests, Sends, Full int
	err                   error
}

// instance is the request path of one peridotd.
type instance struct {
	table *route.Table
	queue *queue.Queue
	relay *relay.Relay
}

type run struct {
	config    Config
	platform  *platform
	instances []*instance
	began     time.Time

	mu     sync.Mutex
	result *Result
}

// Run sends seeded arrivals through nine instances.
func Run(config Config) (*Result, error) {
	r := &run{config: config, result: &Result{Classes: map[model.RequestClassID]*ClassResult{}}}
	for _, c := range classes() {
		r.result.Classes[c.id] = &ClassResult{Latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3), Reasons: map[string]int{}}
	}
	vtime.Run(r.run)
	r.result.Sends, r.result.Full = r.platform.sends, r.platform.full
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
		one := r.newInstance(self, members)
		r.instances = append(r.instances, one)
		services.Go(func() {
			if err := one.table.Run(ctx); err != nil {
				r.fail(err)
			}
		})
	}
	r.began = time.Now()
	r.arrive(ctx, &requests)
	requests.Wait()
	cancel()
	services.Wait()
}

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result.err == nil {
		r.result.err = err
	}
}

func (r *run) newInstance(self model.InstanceID, members []model.InstanceID) *instance {
	one := &instance{table: &route.Table{
		Members: func() []model.InstanceID { return members }, Self: self, DataCentre: "library", Do: r.platform.do, Trust: true,
	}}
	if r.config.Rule.Choose != nil {
		one.table.Choose = r.config.Rule.Choose()
	}
	one.queue = &queue.Queue{Acquire: one.table.Acquire, Slots: one.table.Slots, Usable: one.table.Usable}
	if r.config.Rule.NoControl {
		one.queue.Control = func() bool { return false }
	}
	one.table.OnFree = one.queue.Kick
	one.relay = &relay.Relay{Table: one.table, Do: r.platform.do}
	if r.config.Rule.NoBudget {
		one.relay.Allow = func(model.RequestClassID) bool { return true }
	}
	var vms []vmlist.VM
	for i := range endpoints {
		vms = append(vms, vmlist.VM{
			Name: address(i), Kind: vmlist.KindEndpoint, Address: address(i), DataCentre: "library", Slots: slots, State: vmlist.StateLive,
		})
	}
	one.table.Update(vms)
	return one
}

// rate is the requests per second that keep the given share of all slots busy.
func rate(load float64) float64 {
	mean := 0.0
	for _, c := range classes() {
		mean += c.share * (c.mean + 2*oneWay).Seconds()
	}
	return load * endpoints * slots / mean
}

// arrive starts one goroutine per request at seeded times, until the arrivals end.
func (r *run) arrive(ctx context.Context, requests *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(r.config.Seed, 5)) //nolint:gosec // Arrivals are seeded, not secret.
	perSecond := rate(r.config.Load)
	next := time.Duration(0)
	for n := 0; ; n++ {
		next += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if next >= r.config.Arrivals {
			return
		}
		c, drawn := classes()[0], random.Float64()
		for _, other := range classes() {
			if c = other; drawn < other.share {
				break
			}
			drawn -= other.share
		}
		customer := model.CustomerID(fmt.Sprintf("customer-%d", 1+random.IntN(4)))
		to := r.instances[random.IntN(instances)]
		time.Sleep(time.Until(r.began.Add(next)))
		requests.Go(func() { r.one(ctx, to, c, customer, n) })
	}
}

func (r *run) one(ctx context.Context, to *instance, c class, customer model.CustomerID, n int) {
	arrived := time.Now()
	deadline := arrived.Add(c.timeout)
	item := &queue.Item{
		Class: c.id, Customer: customer, Priority: c.priority, Limit: c.limit, Timeout: c.timeout, Deadline: deadline,
	}
	request := &relay.Request{
		ID: model.RequestID(fmt.Sprintf("r%d", n)), Class: c.id, Customer: customer, Idempotent: c.idempotent, Hedge: c.hedge, Deadline: deadline,
	}
	result, attempts := relay.Result{}, 0
	// A full endpoint's refusal goes back to the queue, as package front does it.
	for range maxMoves + 1 {
		result = r.send(ctx, to, item, request)
		attempts += result.Attempts
		if !result.Full {
			break
		}
		item.OwnOnly = true
	}
	result.Attempts = attempts
	r.end(c.id, result, arrived)
	result.Answer.Free()
}

// maxMoves is that of package front.
const maxMoves = 4

// send queues a request and sends it once it has a slot.
func (r *run) send(ctx context.Context, to *instance, item *queue.Item, request *relay.Request) relay.Result {
	ticket, refused := to.queue.Wait(ctx, item)
	if refused != nil {
		return relay.Result{Err: refused}
	}
	sent := time.Now()
	result := to.relay.Send(ctx, request, ticket.Pick)
	if result.Err != nil && result.Err.Outcome == reply.OutcomeRefused {
		ticket.Cancel()
	} else {
		ticket.Done(time.Since(sent))
	}
	return result
}

// end accounts one request.
func (r *run) end(id model.RequestClassID, result relay.Result, arrived time.Time) {
	took := time.Since(arrived)
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Attempts > 0 {
		r.result.Requests++
	}
	if arrived.Sub(r.began) < warmUp {
		return
	}
	into := r.result.Classes[id]
	into.Asked++
	switch {
	case result.Err == nil:
		if err := into.Latency.RecordValue(max(1, took.Microseconds())); err != nil {
			r.result.err = err
		}
	case result.Err.Outcome == reply.OutcomeRefused:
		into.Refused++
		where := "in the queue"
		if result.Attempts > 0 {
			where = "after a send"
		}
		into.Reasons[fmt.Sprintf("%s %s", result.Err.Reason, where)]++
	default:
		into.Failed++
	}
}
