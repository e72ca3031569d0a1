package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Load per class.
const (
	callersPerClass = 6
	pause           = 10 * time.Millisecond
	// readyEvery is how often the balancer's stand-in checks the instances; it is below the instances' balancer delay of 2 s.
	readyEvery = 300 * time.Millisecond
)

// outcomeUnreachable counts requests that no instance took.
const outcomeUnreachable reply.Outcome = "unreachable"

// sent is one request with its result.
type sent struct {
	id         model.RequestID
	class      model.RequestClassID
	phase      string
	idempotent bool
	outcome    reply.Outcome
	reason     reply.Reason
	message    string
	took       time.Duration
	wrong      bool
}

// balancer sends to instances that are ready, in turn.
type balancer struct {
	deployment *deployment
	http       *http.Client
	mu         sync.Mutex
	ready      []string
	next       int
}

// run refreshes the ready instances until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for {
		b.refresh(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) refresh(ctx context.Context) {
	var ready []string
	b.deployment.mu.Lock()
	instances := append([]*instance{}, b.deployment.instances...)
	b.deployment.mu.Unlock()
	for _, one := range instances {
		if b.isReady(ctx, one) {
			ready = append(ready, "http://"+one.process.ready["callers"])
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *balancer) isReady(ctx context.Context, one *instance) bool {
	if !one.process.running() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readyEvery)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+one.process.ready["metrics"]+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := b.http.Do(req)
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

func (b *balancer) choose() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	b.next++
	return b.ready[b.next%len(b.ready)], true
}

// load sends requests of all classes until it is stopped.
type load struct {
	deployment *deployment
	balancer   *balancer
	phase      atomic.Value
	count      atomic.Int64
	mu         sync.Mutex
	results    []sent
	group      sync.WaitGroup
	cancel     context.CancelFunc
}

func startLoad(ctx context.Context, d *deployment) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	l := &load{deployment: d, balancer: &balancer{deployment: d, http: &http.Client{Transport: transport}}}
	l.phase.Store("start")
	ctx, l.cancel = context.WithCancel(ctx)
	l.balancer.refresh(ctx)
	l.group.Go(func() { l.balancer.run(ctx) })
	customers := make([]model.CustomerID, 0, len(d.set.Customers))
	for customer := range d.set.Customers {
		customers = append(customers, customer)
	}
	for class, spec := range d.set.RequestClasses {
		for i := range callersPerClass {
			customer := customers[i%len(customers)]
			l.group.Go(func() { l.caller(ctx, class, spec, customer) })
		}
	}
	return l
}

func (l *load) caller(ctx context.Context, class model.RequestClassID, spec model.RequestClass, customer model.CustomerID) {
	for ctx.Err() == nil {
		l.one(class, spec, customer) //nolint:contextcheck // A request in flight outlives the load.
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// one sends one request; it is not cut off when the load stops.
func (l *load) one(class model.RequestClassID, spec model.RequestClass, customer model.CustomerID) {
	id := model.RequestID(fmt.Sprintf("%s-%s-%d", l.deployment.name, class, l.count.Add(1)))
	result := sent{id: id, class: class, phase: l.phase.Load().(string), idempotent: spec.Idempotent}
	address, ok := l.balancer.choose()
	if !ok {
		time.Sleep(readyEvery)
		return
	}
	caller := &client.Caller{Target: client.Target{Addresses: []string{address}, Do: l.balancer.http.Do}, Customer: customer}
	body := []byte("scan of entry " + string(id))
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), spec.Timeout.Std()+2*time.Second)
	answer, err := caller.Do(ctx, client.Request{Class: class, ID: id, Timeout: spec.Timeout.Std(), Body: body})
	cancel()
	result.took = time.Since(begin)
	result.outcome, result.reason, result.message = classify(err)
	if err == nil {
		result.wrong = string(answer.Body) != "answer to "+string(id)+": "+string(body)
	}
	l.mu.Lock()
	l.results = append(l.results, result)
	l.mu.Unlock()
}

func classify(err error) (reply.Outcome, reply.Reason, string) {
	if err == nil {
		return reply.OutcomeDone, "", ""
	}
	var typed *reply.Error
	if errors.As(err, &typed) {
		return typed.Outcome, typed.Reason, typed.Message
	}
	return outcomeUnreachable, "", err.Error()
}

// stop ends the load after the requests in flight, and returns all results.
func (l *load) stop() []sent {
	l.cancel()
	l.group.Wait()
	return l.results
}

// runs returns how often each request ran, from the endpoints' stand-ins.
func (d *deployment) runs(ctx context.Context) (map[model.RequestID]int, error) {
	total := map[model.RequestID]int{}
	for _, m := range d.machines {
		if m.Kind != "endpoint" {
			continue
		}
		var state struct {
			Runs map[model.RequestID]int `json:"runs"`
		}
		if err := d.getJSON(ctx, m.URL+"/faults", &state); err != nil {
			return nil, eris.Wrapf(err, "reading the runs of %s", m.Name)
		}
		for id, n := range state.Runs {
			total[id] += n
		}
	}
	return total, nil
}
