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

// Load of each request class: the number of callers, and the delay of each between two requests.
const (
	callersPerClass = 6
	callerDelay     = 10 * time.Millisecond
	// readyPollInterval is the time between the balancer's checks of /readyz; it is below the instances' balancer delay of 2 s.
	readyPollInterval = 300 * time.Millisecond
)

// outcomeUnreachable is the outcome of requests without an answer from any instance.
const outcomeUnreachable reply.Outcome = "unreachable"

// requestResult is the result of one request.
type requestResult struct {
	id          model.RequestID
	class       model.RequestClassID
	phase       string
	idempotent  bool
	outcome     reply.Outcome
	reason      reply.Reason
	message     string
	took        time.Duration
	wrongAnswer bool
}

// balancer simulates the platform's load balancer: it assigns requests to the ready instances in round-robin order. mu guards
// ready and next.
type balancer struct {
	deployment *deployment
	http       *http.Client
	mu         sync.Mutex
	ready      []string
	next       int
}

// run refreshes the addresses of the ready instances until ctx is done.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
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
	for _, inst := range instances {
		if b.isReady(ctx, inst) {
			ready = append(ready, "http://"+inst.process.ready["callers"])
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *balancer) isReady(ctx context.Context, inst *instance) bool {
	if !inst.process.running() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readyPollInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.process.ready["metrics"]+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := b.http.Do(req)
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

func (b *balancer) nextAddress() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	b.next++
	return b.ready[b.next%len(b.ready)], true
}

// load sends requests of all classes until it is stopped. phase holds the current phase as a string; mu guards results.
type load struct {
	deployment *deployment
	balancer   *balancer
	phase      atomic.Value
	count      atomic.Int64
	mu         sync.Mutex
	results    []requestResult
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
			l.group.Go(func() { l.runCaller(ctx, class, spec, customer) })
		}
	}
	return l
}

func (l *load) runCaller(ctx context.Context, class model.RequestClassID, spec model.RequestClass, customer model.CustomerID) {
	for ctx.Err() == nil {
		l.sendRequest(class, spec, customer) //nolint:contextcheck // A request in flight outlives the load.
		select {
		case <-time.After(callerDelay):
		case <-ctx.Done():
		}
	}
}

// sendRequest sends one request, which is not cancelled when the load stops.
func (l *load) sendRequest(class model.RequestClassID, spec model.RequestClass, customer model.CustomerID) {
	id := model.RequestID(fmt.Sprintf("%s-%s-%d", l.deployment.name, class, l.count.Add(1)))
	result := requestResult{id: id, class: class, phase: l.phase.Load().(string), idempotent: spec.Idempotent}
	address, ok := l.balancer.nextAddress()
	if !ok {
		time.Sleep(readyPollInterval)
		return
	}
	caller := &client.Caller{Target: client.Target{Addresses: []string{address}, Do: l.balancer.http.Do}, Customer: customer}
	body := []byte("scan of entry " + string(id))
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), spec.Timeout.Std()+2*time.Second)
	answer, err := caller.Do(ctx, client.Request{Class: class, ID: id, Timeout: spec.Timeout.Std(), Body: body})
	cancel()
	result.took = time.Since(begin)
	result.outcome, result.reason, result.message = classifyError(err)
	if err == nil {
		result.wrongAnswer = string(answer.Body) != "answer to "+string(id)+": "+string(body)
	}
	l.mu.Lock()
	l.results = append(l.results, result)
	l.mu.Unlock()
}

// classifyError returns the outcome, reason and message of a request's error; nil is the outcome done.
func classifyError(err error) (reply.Outcome, reply.Reason, string) {
	if err == nil {
		return reply.OutcomeDone, "", ""
	}
	var replyErr *reply.Error
	if errors.As(err, &replyErr) {
		return replyErr.Outcome, replyErr.Reason, replyErr.Message
	}
	return outcomeUnreachable, "", err.Error()
}

// stop stops the callers, waits for the requests in flight and returns all results.
func (l *load) stop() []requestResult {
	l.cancel()
	l.group.Wait()
	return l.results
}

// requestRuns returns how often each request ran, summed over all simulated endpoints.
func (d *deployment) requestRuns(ctx context.Context) (map[model.RequestID]int, error) {
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
