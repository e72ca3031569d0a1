package relay_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

var suiteT *testing.T

func TestRelay(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	// The random schedules are the same in each run.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "15"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "relay")
}

// inVirtualTime runs a spec in virtual time.
func inVirtualTime(spec func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		spec()
	})
}

// harness is a relay with endpoints on an in-memory network; mu serializes the callbacks of sendAll.
type harness struct {
	relay     *relay.Relay
	table     *route.Table
	endpoints []*fakeep.Server
	network   *fakeep.Network
	cleanups  []func()
	mu        sync.Mutex
}

// newHarness starts a harness; configure sets fields of its relay before it runs.
func newHarness(endpoints int, configure ...func(*harness)) *harness {
	h := &harness{network: fakeep.NewNetwork()}
	probes := &http.Transport{DialContext: h.network.Dial, DisableKeepAlives: true}
	h.table = &route.Table{Self: "a", DataCentre: "library", SkipProbe: true, Do: probes.RoundTrip}
	h.relay = &relay.Relay{Table: h.table, Dial: h.network.Dial}
	var vms []vmlist.VM
	for i := range endpoints {
		name := fmt.Sprintf("ep-%d", i)
		endpoint := fakeep.New(8)
		h.endpoints = append(h.endpoints, endpoint)
		h.cleanups = append(h.cleanups, h.network.Serve(name+":80", endpoint))
		vms = append(vms, vmlist.VM{Name: name, Kind: vmlist.KindEndpoint, Address: name + ":80", DataCentre: "library", Slots: 8, Incarnation: "1"})
	}
	h.table.Update(vms)
	for _, apply := range configure {
		apply(h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- h.relay.Run(ctx) }()
	go func() { ended <- h.table.Run(ctx) }()
	h.cleanups = append(h.cleanups, func() { cancel(); <-ended; <-ended })
	return h
}

func (h *harness) close() {
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
}

// idempotentRequest returns a request of class check with 5 s until its deadline.
func idempotentRequest(id string) *relay.Request {
	return &relay.Request{ID: model.RequestID(id), Class: "check", Idempotent: true, Body: []byte("score " + id), Deadline: time.Now().Add(5 * time.Second)}
}

// nonIdempotentRequest returns a request of class tally, which must not be repeated.
func nonIdempotentRequest(id string) *relay.Request {
	request := idempotentRequest(id)
	request.Class, request.Idempotent = "tally", false
	return request
}

// send sends a request and returns the result with a copy of the answer's body.
func (h *harness) send(request *relay.Request) (relay.Result, string) {
	slot := h.table.AcquireWait(context.Background(), route.SlotRequest{})
	result := h.relay.Send(context.Background(), request, slot)
	body := ""
	if result.Answer != nil {
		body = string(result.Answer.Body)
		result.Answer.Release()
	}
	return result, body
}

// sendAll sends n requests, at most 8 at a time, and calls handle with each result.
func (h *harness) sendAll(n int, newRequest func(string) *relay.Request, handle func(id model.RequestID, result relay.Result, body string)) {
	var group sync.WaitGroup
	semaphore := make(chan struct{}, 8)
	for i := range n {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			request := newRequest(fmt.Sprintf("r-%d", i))
			result, body := h.send(request)
			h.mu.Lock()
			defer h.mu.Unlock()
			handle(request.ID, result, body)
		})
	}
	group.Wait()
}

// runs returns how often each request ran on any endpoint.
func (h *harness) runs() map[model.RequestID]int {
	total := map[model.RequestID]int{}
	for _, endpoint := range h.endpoints {
		for id, n := range endpoint.RunCounts() {
			total[id] += n
		}
	}
	return total
}

func outcomeOf(result relay.Result) reply.Outcome {
	if result.Err != nil {
		return result.Err.Outcome
	}
	return reply.OutcomeDone
}
