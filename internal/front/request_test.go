package front_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/front"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

var _ = Describe("requests", func() {
	It("return the endpoint's whole answer; guards against a fault anywhere between caller and endpoint", func() {
		gw := newGateway(2, nil, "a")
		defer gw.close()
		got := gw.mustSend(gw.request("check", "r-1", "score 7"))
		Expect(got.body).To(Equal("answer to r-1: score 7"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.header.Get(reply.HeaderOutcome)).To(Equal("done"))
		Expect(got.header.Get(reply.HeaderRequestID)).To(Equal("r-1"))
		Expect(got.header.Get(reply.HeaderInstance)).To(Equal("a"))
		Expect(got.header.Get(reply.HeaderAttempts)).To(Equal("1"))
	})

	// Guards against an invalid request that reaches an endpoint, and against a wrong reason or status.
	DescribeTable("are refused before running with a typed error", func(change func(*http.Request), reason reply.Reason, status int) {
		inVirtualTime(func() {
			gw := newGateway(1, fakeep.NewNetwork(), "a")
			defer gw.close()
			request := gw.request("check", "r-1", "body")
			change(request)
			got := gw.mustSend(request)
			Expect(got.err.Outcome).To(Equal(reply.OutcomeRefused))
			Expect(got.err.Reason).To(Equal(reason))
			Expect(got.err.Message).NotTo(BeEmpty())
			Expect(got.status).To(Equal(status))
			Expect(gw.endpoints[0].RunCounts()).To(BeEmpty())
		})
	},
		Entry("method", func(r *http.Request) { r.Method = http.MethodPut }, reply.ReasonMalformed, 400),
		Entry("class", func(r *http.Request) { r.URL.Path = "/v1/requests/none" }, reply.ReasonUnknownClass, 400),
		Entry("path", func(r *http.Request) { r.URL.Path = "/v2" }, reply.ReasonNotFound, 404),
		Entry("no customer", func(r *http.Request) { r.Header.Del(reply.HeaderCustomer) }, reply.ReasonMalformed, 400),
		Entry("unknown customer", func(r *http.Request) { r.Header.Set(reply.HeaderCustomer, "x") }, reply.ReasonUnknownCustomer, 400),
		Entry("customer not allowed", func(r *http.Request) {
			r.URL.Path = "/v1/requests/tally"
			r.Header.Set(reply.HeaderCustomer, "other")
		}, reply.ReasonNotAllowed, 403),
		Entry("no id", func(r *http.Request) { r.Header.Del(reply.HeaderRequestID) }, reply.ReasonMalformed, 400),
		Entry("id with a slash", func(r *http.Request) { r.Header.Set(reply.HeaderRequestID, "a/b") }, reply.ReasonMalformed, 400),
		Entry("timeout is no number", func(r *http.Request) { r.Header.Set(reply.HeaderTimeout, "1s") }, reply.ReasonMalformed, 400),
		Entry("timeout over the class's", func(r *http.Request) { r.Header.Set(reply.HeaderTimeout, "5001") }, reply.ReasonMalformed, 400),
		Entry("no time left", func(r *http.Request) { r.Header.Set(reply.HeaderTimeout, "0") }, reply.ReasonDeadlinePast, 400),
	)

	It("over 1 MB are refused, with and without a declared length; guards against memory that a caller can fill", func() {
		gw := newGateway(1, nil, "a")
		defer gw.close()
		request := gw.request("check", "r-1", strings.Repeat("x", front.MaxBody+1))
		Expect(gw.mustSend(request).err.Reason).To(Equal(reply.ReasonTooLarge))
		request = gw.request("check", "r-1", strings.Repeat("x", front.MaxBody+1))
		request.ContentLength = -1
		Expect(gw.mustSend(request).err.Reason).To(Equal(reply.ReasonTooLarge))
		Expect(gw.mustSend(gw.request("check", "r-2", strings.Repeat("x", front.MaxBody))).status).To(Equal(http.StatusOK))
	})

	It("are answered at their deadline; guards against an answer after the caller's deadline", func() {
		inVirtualTime(func() {
			gw := newGateway(1, fakeep.NewNetwork(), "a")
			defer gw.close()
			gw.endpoints[0].Set(fakeep.Faults{LateMs: 900})
			request := gw.request("check", "r-1", "")
			request.Header.Set(reply.HeaderTimeout, "400")
			started := time.Now()
			got := gw.mustSend(request)
			Expect(got.err.Outcome).To(Equal(reply.OutcomeUnknown))
			Expect(got.err.Reason).To(Equal(reply.ReasonAnswerLate))
			Expect(time.Since(started)).To(Equal(400 * time.Millisecond))
		})
	})

	It("that are queued end when their caller disconnects; guards against work whose answer nobody receives", func() {
		inVirtualTime(func() {
			gw := newGateway(1, fakeep.NewNetwork(), "a")
			defer gw.close()
			gw.endpoints[0].ServiceTime = func(model.RequestClassID) time.Duration { return time.Second }
			var group sync.WaitGroup
			ctx, cancel := context.WithCancel(context.Background())
			for i := range 12 {
				request := gw.request("check", "r-"+string(rune('a'+i)), "")
				if i >= 8 {
					request = request.WithContext(ctx)
				}
				group.Go(func() {
					if got, err := gw.send(request); err == nil && got.status != http.StatusOK {
						panic(got.body)
					}
				})
				synctest.Wait()
			}
			Expect(gw.server.Queue.Queued()).To(BeNumerically(">", 0))
			cancel()
			synctest.Wait()
			Expect(gw.server.Queue.Queued()).To(Equal(0))
			group.Wait()
		})
	})
})

// memoryClaims keeps claims in memory; mu guards its fields.
type memoryClaims struct {
	mu       sync.Mutex
	outcomes map[model.RequestID]*front.StoredAnswer
	released int
}

func (m *memoryClaims) claim(_ context.Context, r front.ClaimRequest) (*front.Claim, *front.StoredAnswer, *reply.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stored, known := m.outcomes[r.Request]; known {
		return nil, stored, nil
	}
	m.outcomes[r.Request] = &front.StoredAnswer{Outcome: reply.OutcomeUnknown, Reason: reply.ReasonInDoubt}
	set := func(stored *front.StoredAnswer) error {
		m.mu.Lock()
		defer m.mu.Unlock()
		if stored == nil {
			m.released++
			delete(m.outcomes, r.Request)
			return nil
		}
		m.outcomes[r.Request] = stored
		return nil
	}
	return &front.Claim{
		Finish:  func(_ context.Context, stored front.StoredAnswer) error { return set(&stored) },
		Release: func(context.Context) error { return set(nil) },
	}, nil, nil
}

var _ = Describe("requests that must not be repeated", func() {
	It("P6: run once, and a duplicate gets the stored answer; guards against a second tally", func() {
		inVirtualTime(func() {
			gw := newGateway(2, fakeep.NewNetwork(), "a")
			defer gw.close()
			claims := &memoryClaims{outcomes: map[model.RequestID]*front.StoredAnswer{}}
			gw.server.Claim = claims.claim
			first := gw.mustSend(gw.request("tally", "t-1", "board"))
			synctest.Wait()
			second := gw.mustSend(gw.request("tally", "t-1", "board"))
			Expect(second.body).To(Equal(first.body))
			Expect(second.header.Get(reply.HeaderAttempts)).To(Equal("0"))
			Expect(gw.endpoints[0].RunCounts()["t-1"] + gw.endpoints[1].RunCounts()["t-1"]).To(Equal(1))
		})
	})

	It("send nothing without a claim; guards against a run without a durable record", func() {
		inVirtualTime(func() {
			gw := newGateway(1, fakeep.NewNetwork(), "a")
			defer gw.close()
			gw.server.Claim = func(context.Context, front.ClaimRequest) (*front.Claim, *front.StoredAnswer, *reply.Error) {
				time.Sleep(time.Second)
				return nil, nil, reply.Refused(reply.ReasonStoreUnavailable, "the store does not answer")
			}
			got := gw.mustSend(gw.request("tally", "t-1", ""))
			Expect(got.err.Reason).To(Equal(reply.ReasonStoreUnavailable))
			Expect(got.header.Get("Retry-After")).To(Equal("1"))
			Expect(gw.endpoints[0].RunCounts()).To(BeEmpty())
		})
	})

	It("hold no slot while they wait for an earlier request's outcome; guards against duplicates that block an endpoint", func() {
		inVirtualTime(func() {
			gw := newGateway(1, fakeep.NewNetwork(), "a")
			defer gw.close()
			gw.server.Claim = func(ctx context.Context, _ front.ClaimRequest) (*front.Claim, *front.StoredAnswer, *reply.Error) {
				<-ctx.Done()
				return nil, nil, reply.Unknown(reply.ReasonInDoubt, "the first request has no outcome yet")
			}
			var group sync.WaitGroup
			for range 8 {
				group.Go(func() {
					if got, err := gw.send(gw.request("tally", "t-1", "")); err != nil || got.err.Reason != reply.ReasonInDoubt {
						panic(got.body)
					}
				})
			}
			synctest.Wait()
			started := time.Now()
			Expect(gw.mustSend(gw.request("check", "r-1", "")).status).To(Equal(http.StatusOK))
			Expect(time.Since(started)).To(BeNumerically("<", time.Second))
			group.Wait()
			Expect(gw.endpoints[0].RunCounts()["t-1"]).To(Equal(0))
		})
	})

	It("release the claim when nothing ran, and keep it in doubt otherwise; guards against an id that is blocked or released wrongly", func() {
		inVirtualTime(func() {
			gw := newGateway(1, fakeep.NewNetwork(), "a")
			defer gw.close()
			claims := &memoryClaims{outcomes: map[model.RequestID]*front.StoredAnswer{}}
			gw.server.Claim = claims.claim
			gw.endpoints[0].Set(fakeep.Faults{Refuse: true})
			Expect(gw.mustSend(gw.request("tally", "t-1", "")).err.Outcome).To(Equal(reply.OutcomeRefused))
			gw.endpoints[0].Set(fakeep.Faults{LoseAnswer: true})
			Expect(gw.mustSend(gw.request("tally", "t-2", "")).err.Outcome).To(Equal(reply.OutcomeUnknown))
			synctest.Wait()
			Expect(claims.released).To(Equal(1))
			gw.endpoints[0].Set(fakeep.Faults{})
			Expect(gw.mustSend(gw.request("tally", "t-1", "")).status).To(Equal(http.StatusOK))
			Expect(gw.mustSend(gw.request("tally", "t-2", "")).err.Outcome).To(Equal(reply.OutcomeUnknown))
			Expect(gw.endpoints[0].RunCounts()["t-2"]).To(Equal(1))
		})
	})
})

var _ = Describe("jobs", func() {
	It("are submitted, read and cancelled; guards against a wrong route or status", func() {
		gw := newGateway(1, nil, "a")
		defer gw.close()
		record := json.RawMessage(`{"state":"queued"}`)
		gw.server.Submit = func(context.Context, json.RawMessage) (json.RawMessage, *reply.Error) { return record, nil }
		gw.server.Get = func(_ context.Context, id model.JobID) (json.RawMessage, *reply.Error) {
			return nil, reply.Refused(reply.ReasonNotFound, "job %s does not exist", id)
		}
		gw.server.Cancel = func(context.Context, model.JobID) (json.RawMessage, *reply.Error) { return record, nil }
		for _, c := range []struct {
			method, path, body string
			status             int
		}{
			{http.MethodPost, "/v1/jobs", "{}", http.StatusAccepted},
			{http.MethodPost, "/v1/jobs", "{", http.StatusBadRequest},
			{http.MethodGet, "/v1/jobs/j-1", "", http.StatusNotFound},
			{http.MethodDelete, "/v1/jobs/j-1", "", http.StatusAccepted},
			{http.MethodPut, "/v1/jobs/j-1", "", http.StatusBadRequest},
		} {
			request, err := http.NewRequest(c.method, gw.url+c.path, strings.NewReader(c.body))
			Expect(err).NotTo(HaveOccurred())
			Expect(gw.mustSend(request).status).To(Equal(c.status), c.method+" "+c.path+" "+c.body)
		}
	})
})
