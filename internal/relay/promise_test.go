package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// seed fixes the random schedules; it is printed with each spec that uses it.
const seed = 20261204

// randomFaults makes an endpoint draw the faults of each run from a list.
func randomFaults(random *rand.Rand, faults ...fakeep.Faults) fakeep.Faults {
	return fakeep.Faults{Script: func(int) fakeep.Faults { return faults[random.IntN(len(faults))] }}
}

// wrongAnswers counts the answers done, and of these the ones that are not the complete answer to their request.
func wrongAnswers(seed uint64, configure func(*relay.Relay)) (wrong, done int) {
	inVirtualTime(func() {
		h := newHarness(3)
		defer h.close()
		configure(h.relay)
		for i, endpoint := range h.endpoints {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			endpoint.Set(randomFaults(random, fakeep.Faults{}, fakeep.Faults{}, fakeep.Faults{}, fakeep.Faults{CrossAnswers: true},
				fakeep.Faults{CutBody: true}, fakeep.Faults{Corrupt: true}, fakeep.Faults{LateMs: 6000}))
		}
		h.sendAll(150, idempotentRequest, func(id model.RequestID, result relay.Result, body string) {
			if outcomeOf(result) != reply.OutcomeDone {
				return
			}
			done++
			if body != fmt.Sprintf("answer to %s: score %s", id, id) {
				wrong++
			}
		})
	})
	return wrong, done
}

// falseRefusals counts refused requests that ran, non-idempotent requests that ran twice, and refused requests.
func falseRefusals(seed uint64, configure func(*relay.Relay)) (falselyRefused, ranTwice, refused int) {
	inVirtualTime(func() {
		h := newHarness(3)
		defer h.close()
		configure(h.relay)
		for i, endpoint := range h.endpoints {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			endpoint.Set(randomFaults(random, fakeep.Faults{}, fakeep.Faults{Refuse: true}, fakeep.Faults{Refuse: true},
				fakeep.Faults{LoseAnswer: true}, fakeep.Faults{CutBody: true}, fakeep.Faults{Fail: true}, fakeep.Faults{LateMs: 6000}))
		}
		outcomes := map[model.RequestID]reply.Outcome{}
		h.sendAll(150, nonIdempotentRequest, func(id model.RequestID, result relay.Result, _ string) { outcomes[id] = outcomeOf(result) })
		for id, outcome := range outcomes {
			runs := h.runs()[id]
			if runs > 1 {
				ranTwice++
			}
			if outcome == reply.OutcomeRefused {
				refused++
				if runs > 0 {
					falselyRefused++
				}
			}
		}
	})
	return falselyRefused, ranTwice, refused
}

// sendsPerRequest returns the sends per request of 600 requests while all endpoints have the faults.
func sendsPerRequest(faults fakeep.Faults, configure func(*relay.Relay)) (ratio float64) {
	inVirtualTime(func() {
		h := newHarness(4)
		defer h.close()
		configure(h.relay)
		for _, endpoint := range h.endpoints {
			endpoint.Set(faults)
		}
		sends := 0
		h.sendAll(600, idempotentRequest, func(_ model.RequestID, result relay.Result, _ string) { sends += result.Attempts })
		ratio = float64(sends) / 600
	})
	return ratio
}

// unmodified leaves the relay as it is, with its checks on.
func unmodified(*relay.Relay) {}

var _ = Describe("promises", func() {
	BeforeEach(func() { GinkgoWriter.Printf("seed %d\n", seed) })

	It("P4: returns only whole answers to the caller's own request; guards against crossed, cut, corrupt and late answers", func() {
		wrong, done := wrongAnswers(seed, unmodified)
		Expect(wrong).To(Equal(0))
		Expect(done).To(BeNumerically(">", 50), "too few answers were checked")
	})

	// Guards against a check that cannot detect a wrong answer.
	It("P4: the check reports wrong answers when answers are not verified", func() {
		wrong, _ := wrongAnswers(seed, func(r *relay.Relay) {
			r.Verify = func(*relay.Request, int, http.Header, []byte) error { return nil }
		})
		Expect(wrong).To(BeNumerically(">", 0))
	})

	It("P5, P6: refuses only what did not run and runs nothing twice; guards against a false refused under random faults", func() {
		falselyRefused, ranTwice, refused := falseRefusals(seed, unmodified)
		Expect(falselyRefused).To(Equal(0))
		Expect(ranTwice).To(Equal(0))
		Expect(refused).To(BeNumerically(">", 0), "no refusal was checked")
	})

	// Guards against a check that cannot detect a false refusal.
	It("P5: the check reports false refusals when errors count as not sent", func() {
		falselyRefused, _, _ := falseRefusals(seed, func(r *relay.Relay) { r.MayHaveSent = func(error) bool { return false } })
		Expect(falselyRefused).To(BeNumerically(">", 0))
	})

	DescribeTable("keeps sends per request under 1.2 while all endpoints fail; guards against a retry storm",
		func(faults fakeep.Faults) { Expect(sendsPerRequest(faults, unmodified)).To(BeNumerically("<", 1.2)) },
		Entry("with errors, which eject half of the endpoints", fakeep.Faults{Fail: true}),
		Entry("with answers that fail verification, which eject all endpoints", fakeep.Faults{Corrupt: true}),
	)

	// Guards against faults that cause no retry storm, so that the table above shows nothing.
	It("the check reports a retry storm when the budget is off", func() {
		ratio := sendsPerRequest(fakeep.Faults{Fail: true},
			func(r *relay.Relay) { r.AllowRetry = func(model.RequestClassID) bool { return true } })
		Expect(ratio).To(BeNumerically(">", 1.2))
	})

	It("holds P4 and P5 for random mixes of faults; guards against combinations of faults that the other specs lack", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			wrong, _ := wrongAnswers(seed, unmodified)
			falselyRefused, ranTwice, _ := falseRefusals(seed, unmodified)
			if wrong+falselyRefused+ranTwice > 0 {
				t.Fatalf("wrong answers %d, false refusals %d, runs twice %d", wrong, falselyRefused, ranTwice)
			}
		})
	})
})

var _ = Describe("silent connections", func() {
	It("costs an idempotent request at most one detection time; guards against waiting until the deadline", func() {
		inVirtualTime(func() {
			h := newHarness(1)
			defer h.close()
			h.endpoints[0].ServiceTime = func(model.RequestClassID) time.Duration { return 10 * time.Millisecond }
			h.sendAll(100, idempotentRequest, func(model.RequestID, relay.Result, string) {})
			h.endpoints[0].Set(fakeep.Faults{Silent: true})
			started := time.Now()
			result, _ := h.send(idempotentRequest("after"))
			Expect(result.Err).To(BeNil())
			// Detection takes up to 250 ms until the answer is overdue and 250 ms for the probe.
			Expect(time.Since(started)).To(BeNumerically("<", 520*time.Millisecond))
			Expect(result.Attempts).To(Equal(2))
		})
	})

	It("frees the slots that silent sends hold, without retry budget; guards against slots that stay held until the deadlines", func() {
		inVirtualTime(func() {
			h := newHarness(1)
			defer h.close()
			h.endpoints[0].ServiceTime = func(model.RequestClassID) time.Duration { return 10 * time.Millisecond }
			h.sendAll(100, idempotentRequest, func(model.RequestID, relay.Result, string) {})
			h.endpoints[0].Set(fakeep.Faults{Silent: true})
			h.relay.AllowRetry = func(model.RequestClassID) bool { return false }
			started := time.Now()
			done := 0
			h.sendAll(8, idempotentRequest, func(_ model.RequestID, result relay.Result, _ string) {
				if result.Err == nil {
					done++
				}
			})
			Expect(done).To(Equal(8))
			Expect(time.Since(started)).To(BeNumerically("<", 520*time.Millisecond))
		})
	})

	It("sends what must not be repeated on a new connection after a pause; guards against an avoidable unknown outcome", func() {
		inVirtualTime(func() {
			h := newHarness(1)
			defer h.close()
			h.sendAll(20, nonIdempotentRequest, func(model.RequestID, relay.Result, string) {})
			time.Sleep(2 * time.Second)
			h.endpoints[0].Set(fakeep.Faults{Silent: true})
			result, _ := h.send(nonIdempotentRequest("after"))
			Expect(result.Err).To(BeNil())
			Expect(result.Attempts).To(Equal(1))
		})
	})

	It("drops connections that are found silent while idle; guards against a delay of the next request", func() {
		inVirtualTime(func() {
			h := newHarness(1)
			defer h.close()
			h.sendAll(20, idempotentRequest, func(model.RequestID, relay.Result, string) {})
			h.endpoints[0].Set(fakeep.Faults{Silent: true})
			time.Sleep(8 * time.Second)
			started := time.Now()
			result, _ := h.send(idempotentRequest("after"))
			Expect(result.Err).To(BeNil())
			Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond))
		})
	})
})
