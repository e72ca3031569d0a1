package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/claim"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// claimPrefix limits store faults to claims.
const claimPrefix = "/claim/"

var _ = Describe("a duplicate", func() {
	// Guards against a second run on an instance that did not handle the first request.
	It("gets the stored answer on another instance and after a restart", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		Expect(mustClaim(ctx, startRegistry(ctx, kv, "a", "1"), key).Finish(ctx, done)).To(Succeed())
		for _, b := range []*claim.Registry{startRegistry(ctx, kv, "b", "1"), startRegistry(ctx, kv, "a", "2")} {
			_, outcome, problem := begin(ctx, b, key, time.Second)
			Expect(problem).To(BeNil())
			Expect(outcome.Body).To(Equal(done.Body))
			Expect(outcome.BodyKept).To(BeTrue())
		}
	}))

	// Guards against a second run, or a wait past the deadline, while the first request is in flight.
	It("waits for the holder and gets its answer, or unknown when its time ends", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a, b := startRegistry(ctx, kv, "a", "1"), startRegistry(ctx, kv, "b", "1")
		c := mustClaim(ctx, a, key)
		started := time.Now()
		Expect(mustNotClaim(ctx, b, key).Outcome).To(Equal(reply.OutcomeUnknown))
		Expect(time.Since(started)).To(Equal(5 * time.Second))
		go func() {
			defer GinkgoRecover()
			time.Sleep(time.Second)
			// A request whose key has this one as a prefix must not be mistaken for it.
			other := claim.Key{Customer: key.Customer, Request: key.Request + "0"}
			Expect(mustClaim(ctx, a, other).Finish(ctx, claim.Outcome{})).To(Succeed())
			time.Sleep(time.Second)
			kv.Set(fakekv.Faults{DownFor: "b"})
			Expect(c.Finish(ctx, done)).To(Succeed())
			time.Sleep(2 * time.Second)
			kv.Set(fakekv.Faults{})
		}()
		_, outcome, problem := begin(ctx, b, key, 20*time.Second)
		Expect(problem).To(BeNil())
		Expect(outcome.Body).To(Equal(done.Body))
	}))

	// Guards against an id that is used for two different requests.
	It("with another body or class is refused, not given a foreign answer", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		b := startRegistry(ctx, kv, "a", "1")
		mustClaim(ctx, b, key)
		_, _, problem := b.Begin(ctx, key, "tally", 8)
		Expect(problem.Reason).To(Equal(reply.ReasonIDReused))
		_, _, problem = b.Begin(ctx, key, "scan", 7)
		Expect(problem.Reason).To(Equal(reply.ReasonIDReused))
	}))

	// Guards against a wait for an outcome that can no longer be written.
	It("does not wait for a holder that is gone", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		mustClaim(ctx, startRegistry(ctx, kv, "a", "1"), key)
		started := time.Now()
		Expect(mustNotClaim(ctx, startRegistry(ctx, kv, "a", "2"), key).Reason).To(Equal(reply.ReasonInDoubt))
		Expect(time.Since(started)).To(BeZero())
	}))

	// Guards against large answers in the store, and against a duplicate that is told that the request did not run.
	It("of an answer over 64 KB learns that the request ran", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a := startRegistry(ctx, kv, "a", "1")
		for size, kept := range map[int]bool{claim.MaxBodyBytes: true, claim.MaxBodyBytes + 1: false} {
			k := claim.Key{Customer: "c", Request: model.RequestID(fmt.Sprint(size))}
			large := done
			large.Body = bytes.Repeat([]byte{'x'}, size)
			Expect(mustClaim(ctx, a, k).Finish(ctx, large)).To(Succeed())
			_, outcome, problem := begin(ctx, a, k, time.Second)
			Expect(outcome != nil).To(Equal(kept))
			if !kept {
				Expect(problem.Outcome).To(Equal(reply.OutcomeUnknown))
				Expect(problem.Message).To(ContainSubstring("ran once"))
			}
		}
	}))
})

var _ = Describe("the store", func() {
	// Guards against an instance that takes its own claim for that of another holder.
	It("loses the answer of the claim's write: its request keeps the claim", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a, b := startRegistry(ctx, kv, "a", "1"), startRegistry(ctx, kv, "b", "1")
		kv.Set(fakekv.Faults{LoseAnswers: 1, LosePrefix: claimPrefix})
		c := mustClaim(ctx, a, key)
		Expect(mustNotClaim(ctx, b, key).Outcome).To(Equal(reply.OutcomeUnknown))
		kv.Set(fakekv.Faults{LoseAnswers: 1, LosePrefix: claimPrefix})
		Expect(c.Finish(ctx, done)).To(Succeed())
		_, outcome, _ := begin(ctx, b, key, time.Second)
		Expect(outcome.Body).To(Equal(done.Body))
	}))

	// Guards against a request that is sent without a claim, and against an id that stays blocked.
	It("is down: the request is refused and the id stays usable", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a := startRegistry(ctx, kv, "a", "1")
		kv.Set(fakekv.Faults{Down: true})
		problem := mustNotClaim(ctx, a, key)
		Expect(problem.Outcome).To(Equal(reply.OutcomeRefused))
		Expect(problem.Reason).To(Equal(reply.ReasonStoreUnavailable))
		kv.Set(fakekv.Faults{})
		mustClaim(ctx, a, key)
	}))

	// Guards against a claim that was applied unnoticed and blocks its id.
	It("loses all answers: the refused request's claim is released for a retry", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a, b := startRegistry(ctx, kv, "a", "1"), startRegistry(ctx, kv, "b", "1")
		kv.Set(fakekv.Faults{LoseAnswers: 2, LosePrefix: claimPrefix})
		Expect(mustNotClaim(ctx, a, key).Outcome).To(Equal(reply.OutcomeRefused))
		kv.Set(fakekv.Faults{Down: true})
		time.Sleep(time.Hour)
		kv.Set(fakekv.Faults{})
		time.Sleep(30 * time.Second)
		mustClaim(ctx, b, key)
	}))

	// Guards against a lost outcome and against unbounded writes during an outage.
	It("is down when the request ends: duplicates get the outcome later", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a := startRegistry(ctx, kv, "a", "1")
		c := mustClaim(ctx, a, key)
		kv.Set(fakekv.Faults{Down: true})
		Expect(c.Finish(ctx, done)).NotTo(Succeed())
		time.Sleep(time.Hour)
		kv.Set(fakekv.Faults{})
		before := kv.Calls()["PUT kv"]
		time.Sleep(30 * time.Second)
		_, outcome, _ := begin(ctx, startRegistry(ctx, kv, "b", "1"), key, time.Second)
		Expect(outcome.Body).To(Equal(done.Body))
		Expect(before).To(BeNumerically("<=", claim.MaxWrites))
		ended := httptest.NewRecorder()
		a.Metrics.Handler().ServeHTTP(ended, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		Expect(ended.Body.String()).To(ContainSubstring(`peridot_claims_ended_total{end="done",writes="4"} 1`))
	}))

	// Guards against a retry that trusts a stale read and drops the outcome.
	It("answers stale reads: the outcome is still written when the store is back", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a, b := startRegistry(ctx, kv, "a", "1"), startRegistry(ctx, kv, "b", "1")
		kv.Set(fakekv.Faults{StaleReads: true})
		c := mustClaim(ctx, a, key)
		kv.Set(fakekv.Faults{StaleReads: true, Down: true})
		Expect(c.Finish(ctx, done)).NotTo(Succeed())
		kv.Set(fakekv.Faults{StaleReads: true})
		time.Sleep(time.Minute)
		_, outcome, problem := begin(ctx, b, key, time.Second)
		Expect(problem).To(BeNil())
		Expect(outcome.Body).To(Equal(done.Body))
	}))

	// Guards against a delayed release that overwrites the claim of the next holder.
	It("gets a release late and does not lose the claim of the next holder to it", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		var late *http.Request
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			r.Body = io.NopCloser(bytes.NewReader(body))
			if bytes.Contains(body, []byte(`"released"`)) && late == nil {
				late = r.Clone(context.Background())
				late.Body = io.NopCloser(bytes.NewReader(body))
			}
			kv.ServeHTTP(w, r)
		})
		a, b := startRegistry(ctx, handler, "a", "1"), startRegistry(ctx, kv, "b", "1")
		Expect(mustClaim(ctx, a, key).Release(ctx)).To(Succeed())
		mustClaim(ctx, b, key)
		kv.ServeHTTP(httptest.NewRecorder(), late)
		Expect(mustNotClaim(ctx, a, key).Outcome).To(Equal(reply.OutcomeUnknown))
	}))

	// Guards against a lease per claim, and against ids that expire early or never.
	It("keeps ids for 26 hours under one lease per hour, not for ever", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a, b := startRegistry(ctx, kv, "a", "1"), startRegistry(ctx, kv, "b", "1")
		time.Sleep(59*time.Minute + 50*time.Second)
		for i := range 10 {
			k := claim.Key{Customer: "c", Request: model.RequestID(fmt.Sprint(i))}
			Expect(mustClaim(ctx, a, k).Finish(ctx, done)).To(Succeed())
		}
		Expect(kv.Calls()["POST leases"]).To(Equal(2), "one for each instance")
		time.Sleep(claim.Retention)
		last := claim.Key{Customer: "c", Request: "9"}
		_, outcome, _ := begin(ctx, b, last, time.Second)
		Expect(outcome.Body).To(Equal(done.Body))
		Expect(kv.Calls()["POST leases"]).To(BeNumerically("~", 2*27, 2))
		time.Sleep(time.Hour)
		mustClaim(ctx, b, last)
	}))
})

var _ = Describe("ids", func() {
	// Guards against keys in the store that are empty or too long.
	DescribeTable("that cannot be kept are refused and nothing is written", func(k claim.Key) {
		inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
			Expect(mustNotClaim(ctx, startRegistry(ctx, kv, "a", "1"), k).Reason).To(Equal(reply.ReasonMalformed))
			synctest.Wait()
			Expect(kv.Calls()["PUT kv"]).To(BeZero())
		})()
	},
		Entry("no customer", claim.Key{Request: "1"}),
		Entry("no request", claim.Key{Customer: "1"}),
		Entry("too long", claim.Key{Customer: "1", Request: model.RequestID(strings.Repeat("x", claim.MaxIDBytes+1))}),
	)
})
