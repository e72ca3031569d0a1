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

// script makes an endpoint draw the faults of each run from a list.
func script(random *rand.Rand, faults ...fakeep.Faults) fakeep.Faults {
	return fakeep.Faults{Script: func(int) fakeep.Faults { return faults[random.IntN(len(faults))] }}
}

// wrongAnswers counts callers that got anything but the whole answer to their own request.
func wrongAnswers(seed uint64, setUp func(*relay.Relay)) (wrong, done int) {
	virtual(func() {
		r := newRig(3)
		defer r.close()
		setUp(r.relay)
		for i, endpoint := range r.endpoints {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			endpoint.Set(script(random, fakeep.Faults{}, fakeep.Faults{}, fakeep.Faults{}, fakeep.Faults{Cross: true},
				fakeep.Faults{Cut: true}, fakeep.Faults{Corrupt: true}, fakeep.Faults{LateMs: 6000}))
		}
		r.sendAll(150, check, func(id model.RequestID, result relay.Result, body string) {
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

// falseRefusals counts refused requests that ran, and requests that must not be repeated that ran twice.
func falseRefusals(seed uint64, setUp func(*relay.Relay)) (falseRefused, twice, refused int) {
	virtual(func() {
		r := newRig(3)
		defer r.close()
		setUp(r.relay)
		for i, endpoint := range r.endpoints {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			endpoint.Set(script(random, fakeep.Faults{}, fakeep.Faults{Refuse: true}, fakeep.Faults{Refuse: true},
				fakeep.Faults{CutBefore: true}, fakeep.Faults{Cut: true}, fakeep.Faults{Fail: true}, fakeep.Faults{LateMs: 6000}))
		}
		outcomes := map[model.RequestID]reply.Outcome{}
		r.sendAll(150, tally, func(id model.RequestID, result relay.Result, _ string) { outcomes[id] = outcomeOf(result) })
		for id, outcome := range outcomes {
			runs := r.runs()[id]
			if runs > 1 {
				twice++
			}
			if outcome == reply.OutcomeRefused {
				refused++
				if runs > 0 {
					falseRefused++
				}
			}
		}
	})
	return falseRefused, twice, refused
}

// sendsPerRequest sends 600 requests while all endpoints have the faults.
func sendsPerRequest(faults fakeep.Faults, setUp func(*relay.Relay)) (ratio float64) {
	virtual(func() {
		r := newRig(4)
		defer r.close()
		setUp(r.relay)
		for _, endpoint := range r.endpoints {
			endpoint.Set(faults)
		}
		sends := 0
		r.sendAll(600, check, func(_ model.RequestID, result relay.Result, _ string) { sends += result.Attempts })
		ratio = float64(sends) / 600
	})
	return ratio
}

func on(*relay.Relay) {}

var _ = Describe("promises", func() {
	BeforeEach(func() { GinkgoWriter.Printf("seed %d\n", seed) })

	It("P4: returns only whole answers to the caller's own request; guards against crossed, cut, corrupt and late answers", func() {
		wrong, done := wrongAnswers(seed, on)
		Expect(wrong).To(Equal(0))
		Expect(done).To(BeNumerically(">", 50), "the check needs answers to look at")
	})

	It("P4: the check reports wrong answers when answers are not verified", func() {
		wrong, _ := wrongAnswers(seed, func(r *relay.Relay) {
			r.Verify = func(*relay.Request, int, http.Header, []byte) error { return nil }
		})
		Expect(wrong).To(BeNumerically(">", 0))
	})

	It("P5, P6: refuses only what did not run and runs nothing twice; guards against a false not-run under random faults", func() {
		falseRefused, twice, refused := falseRefusals(seed, on)
		Expect(falseRefused).To(Equal(0))
		Expect(twice).To(Equal(0))
		Expect(refused).To(BeNumerically(">", 0), "the check needs refusals to look at")
	})

	It("P5: the check reports false refusals when errors count as not sent", func() {
		falseRefused, _, _ := falseRefusals(seed, func(r *relay.Relay) { r.Left = func(error) bool { return false } })
		Expect(falseRefused).To(BeNumerically(">", 0))
	})

	DescribeTable("keeps sends per request under 1.2 while all endpoints fail; guards against a retry storm",
		func(faults fakeep.Faults) { Expect(sendsPerRequest(faults, on)).To(BeNumerically("<", 1.2)) },
		Entry("with errors, which leave half of the endpoints in use", fakeep.Faults{Fail: true}),
		Entry("with answers that fail the check, which take all endpoints out", fakeep.Faults{Corrupt: true}),
	)

	It("the check reports a retry storm when the budget is off", func() {
		storm := sendsPerRequest(fakeep.Faults{Fail: true}, func(r *relay.Relay) { r.Allow = func(model.RequestClassID) bool { return true } })
		Expect(storm).To(BeNumerically(">", 1.2))
	})

	It("holds P4 and P5 for random mixes of faults; guards against combinations that no one listed", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			wrong, _ := wrongAnswers(seed, on)
			falseRefused, twice, _ := falseRefusals(seed, on)
			if wrong+falseRefused+twice > 0 {
				t.Fatalf("wrong answers %d, false refusals %d, runs twice %d", wrong, falseRefused, twice)
			}
		})
	})
})

var _ = Describe("silent connections", func() {
	It("costs an idempotent request at most one detection time; guards against waiting until the deadline", func() {
		virtual(func() {
			r := newRig(1)
			defer r.close()
			r.endpoints[0].Service = func(model.RequestClassID) time.Duration { return 10 * time.Millisecond }
			r.sendAll(100, check, func(model.RequestID, relay.Result, string) {})
			r.endpoints[0].Set(fakeep.Faults{Silent: true})
			started := time.Now()
			result, _ := r.send(check("after"))
			Expect(result.Err).To(BeNil())
			// Detection is 250 ms until the answer is overdue and 250 ms for the probe.
			Expect(time.Since(started)).To(BeNumerically("<", 520*time.Millisecond))
			Expect(result.Attempts).To(Equal(2))
		})
	})

	It("frees the slots that silent sends hold, without retry budget; guards against an endpoint that is stuck until deadlines", func() {
		virtual(func() {
			r := newRig(1)
			defer r.close()
			r.endpoints[0].Service = func(model.RequestClassID) time.Duration { return 10 * time.Millisecond }
			r.sendAll(100, check, func(model.RequestID, relay.Result, string) {})
			r.endpoints[0].Set(fakeep.Faults{Silent: true})
			r.relay.Allow = func(model.RequestClassID) bool { return false }
			started := time.Now()
			done := 0
			r.sendAll(8, check, func(_ model.RequestID, result relay.Result, _ string) {
				if result.Err == nil {
					done++
				}
			})
			Expect(done).To(Equal(8))
			Expect(time.Since(started)).To(BeNumerically("<", 520*time.Millisecond))
		})
	})

	It("sends what must not be repeated on a new connection after a pause; guards against a doubt that was avoidable", func() {
		virtual(func() {
			r := newRig(1)
			defer r.close()
			r.sendAll(20, tally, func(model.RequestID, relay.Result, string) {})
			time.Sleep(2 * time.Second)
			r.endpoints[0].Set(fakeep.Faults{Silent: true})
			result, _ := r.send(tally("after"))
			Expect(result.Err).To(BeNil())
			Expect(result.Attempts).To(Equal(1))
		})
	})

	It("drops connections that are found silent while idle; guards against paying at the next request", func() {
		virtual(func() {
			r := newRig(1)
			defer r.close()
			r.sendAll(20, check, func(model.RequestID, relay.Result, string) {})
			r.endpoints[0].Set(fakeep.Faults{Silent: true})
			time.Sleep(8 * time.Second)
			started := time.Now()
			result, _ := r.send(check("after"))
			Expect(result.Err).To(BeNil())
			Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond))
		})
	})
})
