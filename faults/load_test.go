package main_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// readyPollInterval is the time between the balancer's checks of /readyz.
const readyPollInterval = 200 * time.Millisecond

func isReady(inst *instance) bool {
	response, err := directClient.Get(inst.url("metrics") + "/readyz")
	return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// balancer simulates the platform's load balancer: it assigns new connections to the instances in round-robin order.
type balancer struct {
	instances []*instance
	mu        sync.Mutex
	addresses []string
	next      int
}

// newStaticBalancer returns a balancer that never checks /readyz.
func newStaticBalancer(instances []*instance) *balancer {
	b := &balancer{instances: instances}
	for _, inst := range instances {
		b.addresses = append(b.addresses, inst.url("callers"))
	}
	return b
}

// run refreshes the addresses of the ready instances until ctx is done.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		b.refresh()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (b *balancer) refresh() {
	ready := make([]string, len(b.instances))
	var group sync.WaitGroup
	for i, inst := range b.instances {
		group.Go(func() {
			// The address is read first, so that an instance that restarts is not mistaken for its former address.
			address := inst.url("callers")
			if isReady(inst) {
				ready[i] = address
			}
		})
	}
	group.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = nil
	for _, address := range ready {
		if address != "" {
			b.addresses = append(b.addresses, address)
		}
	}
}

func (b *balancer) nextAddress() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addresses) == 0 {
		return ""
	}
	b.next++
	return b.addresses[b.next%len(b.addresses)]
}

// requestResult is the result of one request.
type requestResult struct {
	id         model.RequestID
	class      model.RequestClassID
	kept       bool // whether the caller reuses its connection
	begin, end time.Time
	instance   model.InstanceID
	attempts   int
	err        error
}

func (s requestResult) outcome() reply.Outcome {
	var replyErr *reply.Error
	switch {
	case s.err == nil:
		return reply.OutcomeDone
	case errors.As(s.err, &replyErr):
		return replyErr.Outcome
	default:
		return "unreachable"
	}
}

func (s requestResult) String() string {
	return fmt.Sprintf("%s %s (connection kept: %t) after %s: %v", s.class, s.id, s.kept, s.end.Sub(s.begin), s.err)
}

// sendRequest sends one request through httpClient and checks the body of the answer.
func sendRequest(httpClient *http.Client, address string, class model.RequestClassID, id model.RequestID) requestResult {
	result := requestResult{id: id, class: class, begin: time.Now()}
	caller := &client.Caller{Target: client.Target{Addresses: []string{address}, Do: httpClient.Do}, Customer: customer}
	answer, err := caller.Do(context.Background(), client.Request{Class: class, ID: id, Timeout: classTimeout, Body: []byte("body")})
	result.end, result.err, result.instance, result.attempts = time.Now(), err, answer.Instance, answer.Attempts
	if want := "answer to " + string(id) + ": body"; err == nil && string(answer.Body) != want {
		result.err = fmt.Errorf("the answer is %q, not %q", answer.Body, want)
	}
	return result
}

// loadGenerator sends requests until it is stopped.
type loadGenerator struct {
	balancer *balancer
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	results  []requestResult
}

// startLoad starts the given number of callers for each class: half of them reuse one connection until the instance
// closes it, the others open a new connection for each request.
func startLoad(b *balancer, callers map[model.RequestClassID]int) *loadGenerator {
	l := &loadGenerator{balancer: b}
	// The timeout ends the load when a spec does not stop it.
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	l.cancel = cancel
	for class, count := range callers {
		for i := range count {
			l.group.Go(func() { l.runCaller(ctx, class, i%2 == 0) })
		}
	}
	return l
}

func (l *loadGenerator) runCaller(ctx context.Context, class model.RequestClassID, keep bool) {
	transport := &http.Transport{DisableKeepAlives: !keep, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	closed := true
	httpClient := &http.Client{Transport: roundTrip(func(request *http.Request) (*http.Response, error) {
		response, err := transport.RoundTrip(request)
		closed = err != nil || response.Close
		return response, err
	}), Timeout: 2 * classTimeout}
	address := ""
	for ctx.Err() == nil {
		if closed || !keep {
			address = l.balancer.nextAddress()
		}
		if address != "" {
			result := sendRequest(httpClient, address, class, client.NewRequestID())
			result.kept = keep
			l.mu.Lock()
			l.results = append(l.results, result)
			l.mu.Unlock()
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip calls the function.
func (f roundTrip) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }

// stop waits for the requests in flight and returns all results; calling it again is safe.
func (l *loadGenerator) stop() []requestResult {
	l.cancel()
	l.group.Wait()
	return l.results
}

// filterResults returns the results for which keep returns true.
func filterResults(all []requestResult, keep func(requestResult) bool) []requestResult {
	var kept []requestResult
	for _, result := range all {
		if keep(result) {
			kept = append(kept, result)
		}
	}
	return kept
}

// describeFailures describes the requests that ended in an error.
func describeFailures(all []requestResult) []string {
	var found []string
	for _, result := range all {
		if result.err != nil {
			found = append(found, result.String())
		}
	}
	return found
}
