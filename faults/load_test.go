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

// pollReady is the time between the balancer's checks of /readyz.
const pollReady = 200 * time.Millisecond

func isReady(one *instance) bool {
	response, err := direct.Get(one.url("metrics") + "/readyz")
	return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// balancer stands in for the platform's: it chooses an instance for each new connection, in turn.
type balancer struct {
	instances []*instance
	mu        sync.Mutex
	chosen    []string
	next      int
}

// fixed returns a balancer that never looks at /readyz.
func fixed(instances []*instance) *balancer {
	b := &balancer{instances: instances}
	for _, one := range instances {
		b.chosen = append(b.chosen, one.url("callers"))
	}
	return b
}

// run checks the instances until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(pollReady)
	defer ticker.Stop()
	for ctx.Err() == nil {
		b.check()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (b *balancer) check() {
	ready := make([]string, len(b.instances))
	var group sync.WaitGroup
	for i, one := range b.instances {
		group.Go(func() {
			// The address is read first, so that an instance that starts again is not taken for its former address.
			address := one.url("callers")
			if isReady(one) {
				ready[i] = address
			}
		})
	}
	group.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chosen = nil
	for _, address := range ready {
		if address != "" {
			b.chosen = append(b.chosen, address)
		}
	}
}

func (b *balancer) choose() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.chosen) == 0 {
		return ""
	}
	b.next++
	return b.chosen[b.next%len(b.chosen)]
}

// sent is one request with its result.
type sent struct {
	id         model.RequestID
	class      model.RequestClassID
	kept       bool
	begin, end time.Time
	instance   model.InstanceID
	attempts   int
	err        error
}

func (s sent) outcome() reply.Outcome {
	var typed *reply.Error
	switch {
	case s.err == nil:
		return reply.OutcomeDone
	case errors.As(s.err, &typed):
		return typed.Outcome
	default:
		return "unreachable"
	}
}

func (s sent) String() string {
	return fmt.Sprintf("%s %s (connection kept: %t) after %s: %v", s.class, s.id, s.kept, s.end.Sub(s.begin), s.err)
}

// send sends one request over connections of h and checks the body of its answer.
func send(h *http.Client, address string, class model.RequestClassID, id model.RequestID) sent {
	result := sent{id: id, class: class, begin: time.Now()}
	caller := &client.Caller{Target: client.Target{Addresses: []string{address}, Do: h.Do}, Customer: customer}
	answer, err := caller.Do(context.Background(), client.Request{Class: class, ID: id, Timeout: classTimeout, Body: []byte("body")})
	result.end, result.err, result.instance, result.attempts = time.Now(), err, answer.Instance, answer.Attempts
	if want := "answer to " + string(id) + ": body"; err == nil && string(answer.Body) != want {
		result.err = fmt.Errorf("the answer is %q, not %q", answer.Body, want)
	}
	return result
}

// load sends requests until it is stopped.
type load struct {
	balancer *balancer
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	results  []sent
}

// startLoad starts callers for each class: half of them keep one connection for as long as the instance does, the other
// half open one for each request.
func startLoad(b *balancer, callers map[model.RequestClassID]int) *load {
	l := &load{balancer: b}
	// The load ends by itself when a spec does not stop it.
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	l.cancel = cancel
	for class, count := range callers {
		for i := range count {
			l.group.Go(func() { l.caller(ctx, class, i%2 == 0) })
		}
	}
	return l
}

func (l *load) caller(ctx context.Context, class model.RequestClassID, keep bool) {
	transport := &http.Transport{DisableKeepAlives: !keep, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	closed := true
	h := &http.Client{Transport: roundTrip(func(request *http.Request) (*http.Response, error) {
		response, err := transport.RoundTrip(request)
		closed = err != nil || response.Close
		return response, err
	}), Timeout: 2 * classTimeout}
	address := ""
	for ctx.Err() == nil {
		if closed || !keep {
			address = l.balancer.choose()
		}
		if address != "" {
			result := send(h, address, class, client.NewRequestID())
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

// stop waits for the requests in flight and returns all results; it may be called again.
func (l *load) stop() []sent {
	l.cancel()
	l.group.Wait()
	return l.results
}

// filter returns the requests that keep says true of.
func filter(all []sent, keep func(sent) bool) []sent {
	var kept []sent
	for _, one := range all {
		if keep(one) {
			kept = append(kept, one)
		}
	}
	return kept
}

// failures describes the requests that were not done.
func failures(all []sent) []string {
	var found []string
	for _, one := range all {
		if one.err != nil {
			found = append(found, one.String())
		}
	}
	return found
}
