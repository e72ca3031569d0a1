package relay_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// tailLatency returns the 99th percentile of 100 rounds of 3 requests to 8 endpoints, one of which may be slow.
func tailLatency(slow bool, hedge bool) (p99 time.Duration) {
	inVirtualTime(func() {
		h := newHarness(8)
		defer h.close()
		for _, endpoint := range h.endpoints {
			endpoint.ServiceTime = func(model.RequestClassID) time.Duration { return 20 * time.Millisecond }
		}
		hedged := func(id string) *relay.Request {
			request := idempotentRequest(id)
			request.Hedge = hedge
			return request
		}
		h.sendAll(200, hedged, func(model.RequestID, relay.Result, string) {})
		if slow {
			h.endpoints[0].Set(fakeep.Faults{SlowMs: 1000})
		}
		var times []time.Duration
		for range 100 {
			started := time.Now()
			h.sendAll(3, hedged, func(model.RequestID, relay.Result, string) {})
			times = append(times, time.Since(started))
		}
		slices.Sort(times)
		p99 = times[len(times)*99/100]
	})
	return p99
}

var _ = Describe("hedging", func() {
	It("keeps the tail within 3 times the healthy one with a slow endpoint; guards against waiting for the slow answer", func() {
		Expect(tailLatency(true, true)).To(BeNumerically("<=", 3*tailLatency(false, true)))
	})

	// Guards against a bound so loose that the spec above passes without hedging.
	It("the check reports a longer tail without hedging", func() {
		Expect(tailLatency(true, false)).To(BeNumerically(">", 3*tailLatency(false, false)))
	})
})

var _ = Describe("outcomes", func() {
	It("are refused with the reason of CheckSend when sending is not allowed; guards against a send and a leaked slot", func() {
		inVirtualTime(func() {
			h := newHarness(1)
			defer h.close()
			h.relay.CheckSend = func(_ model.DataCentreID, idempotent bool) *reply.Error {
				Expect(idempotent).To(BeFalse())
				return reply.Refused(reply.ReasonConfigStale, "the configuration is stale")
			}
			result, _ := h.send(nonIdempotentRequest("t"))
			Expect(result.Err.Reason).To(Equal(reply.ReasonConfigStale))
			Expect(h.runs()).To(BeEmpty())
			Expect(h.table.Acquire(route.SlotRequest{})).NotTo(BeNil(), "the slot was released")
		})
	})

	It("are refused after dial errors and another endpoint is tried; guards against an unknown outcome without a connection", func() {
		inVirtualTime(func() {
			metrics := metric.New()
			h := newHarness(2, func(h *harness) {
				h.relay.Metrics = metrics
				h.relay.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					if strings.HasPrefix(address, "ep-0") {
						return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("no route")}
					}
					return h.network.Dial(ctx, network, address)
				}
			})
			defer h.close()
			done := 0
			h.sendAll(20, nonIdempotentRequest, func(_ model.RequestID, result relay.Result, _ string) {
				if result.Err == nil {
					done++
				}
			})
			Expect(done).To(Equal(20))
			Expect(testutil.ToFloat64(metrics.Retries.WithLabelValues("relay", "not-sent"))).To(BeNumerically(">", 0))
		})
	})

	It("match what ran over TCP when the endpoint closes connections at any time; guards against races with the transport", func() {
		h := newHarness(3, func(h *harness) {
			addresses := map[string]string{}
			for i, endpoint := range h.endpoints {
				server := httptest.NewUnstartedServer(endpoint)
				server.Config.IdleTimeout = 2 * time.Millisecond
				server.Start()
				h.cleanups = append(h.cleanups, server.Close)
				addresses[fmt.Sprintf("ep-%d:80", i)] = server.Listener.Addr().String()
			}
			h.relay.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, network, addresses[address])
			}
		})
		defer h.close()
		for i, endpoint := range h.endpoints {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			endpoint.Set(randomFaults(random, fakeep.Faults{}, fakeep.Faults{}, fakeep.Faults{}, fakeep.Faults{}, fakeep.Faults{},
				fakeep.Faults{}, fakeep.Faults{SlowMs: 2}, fakeep.Faults{Refuse: true}, fakeep.Faults{LoseAnswer: true}, fakeep.Faults{CutBody: true},
				fakeep.Faults{CrossAnswers: true}))
		}
		outcomes := map[model.RequestID]reply.Outcome{}
		h.sendAll(300, nonIdempotentRequest, func(id model.RequestID, result relay.Result, _ string) {
			outcomes[id] = outcomeOf(result)
			time.Sleep(time.Duration(len(outcomes)%4) * time.Millisecond)
		})
		runs := h.runs()
		for id, outcome := range outcomes {
			Expect(runs[id]).To(BeNumerically("<=", 1), string(id))
			if outcome == reply.OutcomeRefused {
				Expect(runs[id]).To(Equal(0), string(id))
			}
			if outcome == reply.OutcomeDone {
				Expect(runs[id]).To(Equal(1), string(id))
			}
		}
	})

	It("are failed when the answer is over the size limit; guards against unknown or refused for a request that ran", func() {
		inVirtualTime(func() {
			h := newHarness(1, func(h *harness) { h.relay.MaxAnswer = 10 })
			defer h.close()
			result, _ := h.send(nonIdempotentRequest("t"))
			Expect(result.Err.Outcome).To(Equal(reply.OutcomeFailed))
			Expect(h.runs()["t"]).To(Equal(1))
		})
	})

	It("are failed when the endpoint answers a complete error; guards against a fake endpoint whose errors fail verification", func() {
		inVirtualTime(func() {
			h := newHarness(1)
			defer h.close()
			h.endpoints[0].Set(fakeep.Faults{Fail: true})
			result, _ := h.send(nonIdempotentRequest("t"))
			Expect(result.Err.Outcome).To(Equal(reply.OutcomeFailed))
			Expect(h.runs()["t"]).To(Equal(1))
		})
	})

	It("are unknown when the caller goes away while a request runs; guards against a false refused", func() {
		inVirtualTime(func() {
			h := newHarness(1)
			defer h.close()
			h.endpoints[0].Set(fakeep.Faults{SlowMs: 1000})
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			result := h.relay.Send(ctx, nonIdempotentRequest("t"), h.table.Acquire(route.SlotRequest{}))
			Expect(result.Err.Outcome).To(Equal(reply.OutcomeUnknown))
		})
	})
})

// Guards against answers that are accepted for another request or attempt, or with a wrong digest.
var _ = DescribeTable("answers are verified", func(change func(http.Header), reason reply.Reason) {
	header := http.Header{}
	header.Set(reply.HeaderRequestID, "r")
	header.Set(reply.HeaderAttempt, "2")
	header.Set(reply.HeaderDigest, "44bc2cf5ad770999")
	change(header)
	err := relay.VerifyAnswer(&relay.Request{ID: "r"}, 2, header, []byte("abc"))
	if reason == "" {
		Expect(err).NotTo(HaveOccurred())
		return
	}
	var mismatch *relay.MismatchError
	Expect(errors.As(err, &mismatch)).To(BeTrue())
	Expect(mismatch.Reason).To(Equal(reason))
},
	Entry("whole", func(http.Header) {}, reply.Reason("")),
	Entry("endpoint that does not echo the attempt", func(h http.Header) { h.Del(reply.HeaderAttempt) }, reply.Reason("")),
	Entry("other request", func(h http.Header) { h.Set(reply.HeaderRequestID, "x") }, reply.ReasonAnswerCrossed),
	Entry("earlier attempt", func(h http.Header) { h.Set(reply.HeaderAttempt, "1") }, reply.ReasonAnswerCrossed),
	Entry("other digest", func(h http.Header) { h.Set(reply.HeaderDigest, "0") }, reply.ReasonAnswerIncomplete),
	Entry("no digest", func(h http.Header) { h.Del(reply.HeaderDigest) }, reply.ReasonAnswerIncomplete),
)
