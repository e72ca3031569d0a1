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

const claims = "/claim/"

var _ = Describe("a duplicate", func() {
	It("gets the stored answer on another instance, and after a restart of the first", virtual(func(ctx context.Context, kv *fakekv.Server) {
		Expect(held(ctx, book(ctx, kv, "a", "1"), key).Finish(ctx, done)).To(Succeed())
		for _, b := range []*claim.Book{book(ctx, kv, "b", "1"), book(ctx, kv, "a", "2")} {
			_, outcome, problem := begin(ctx, b, key, time.Second)
			Expect(problem).To(BeNil())
			Expect(outcome.Body).To(Equal(done.Body))
			Expect(outcome.BodyKept).To(BeTrue())
		}
	}))

	It("waits for the holder and gets its answer, or unknown when its time ends", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a, b := book(ctx, kv, "a", "1"), book(ctx, kv, "b", "1")
		c := held(ctx, a, key)
		started := time.Now()
		Expect(refusal(ctx, b, key).Outcome).To(Equal(reply.OutcomeUnknown))
		Expect(time.Since(started)).To(Equal(5 * time.Second))
		go func() {
			defer GinkgoRecover()
			time.Sleep(time.Second)
			// Another request whose key starts with the same text must not be taken for this one.
			other := claim.Key{Customer: key.Customer, Request: key.Request + "0"}
			Expect(held(ctx, a, other).Finish(ctx, claim.Outcome{})).To(Succeed())
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

	It("with another body or class is refused, so that it does not get a foreign answer", virtual(func(ctx context.Context, kv *fakekv.Server) {
		b := book(ctx, kv, "a", "1")
		held(ctx, b, key)
		_, _, problem := b.Begin(ctx, key, "tally", 8)
		Expect(problem.Reason).To(Equal(reply.ReasonIDReused))
		_, _, problem = b.Begin(ctx, key, "scan", 7)
		Expect(problem.Reason).To(Equal(reply.ReasonIDReused))
	}))

	It("does not wait for a holder that is gone", virtual(func(ctx context.Context, kv *fakekv.Server) {
		held(ctx, book(ctx, kv, "a", "1"), key)
		started := time.Now()
		Expect(refusal(ctx, book(ctx, kv, "a", "2"), key).Reason).To(Equal(reply.ReasonInDoubt))
		Expect(time.Since(started)).To(BeZero())
	}))

	It("of an answer over 64 KB learns that the request ran", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a := book(ctx, kv, "a", "1")
		for size, kept := range map[int]bool{claim.MaxBodyBytes: true, claim.MaxBodyBytes + 1: false} {
			k := claim.Key{Customer: "c", Request: model.RequestID(fmt.Sprint(size))}
			large := done
			large.Body = bytes.Repeat([]byte{'x'}, size)
			Expect(held(ctx, a, k).Finish(ctx, large)).To(Succeed())
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
	It("loses the answer of the claim's write without the request being lost or doubled", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a, b := book(ctx, kv, "a", "1"), book(ctx, kv, "b", "1")
		kv.Set(fakekv.Faults{LoseAnswers: 1, LosePrefix: claims})
		c := held(ctx, a, key)
		Expect(refusal(ctx, b, key).Outcome).To(Equal(reply.OutcomeUnknown))
		kv.Set(fakekv.Faults{LoseAnswers: 1, LosePrefix: claims})
		Expect(c.Finish(ctx, done)).To(Succeed())
		_, outcome, _ := begin(ctx, b, key, time.Second)
		Expect(outcome.Body).To(Equal(done.Body))
	}))

	It("is down: the request is refused and the id stays usable", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a := book(ctx, kv, "a", "1")
		kv.Set(fakekv.Faults{Down: true})
		problem := refusal(ctx, a, key)
		Expect(problem.Outcome).To(Equal(reply.OutcomeRefused))
		Expect(problem.Reason).To(Equal(reply.ReasonStoreUnavailable))
		kv.Set(fakekv.Faults{})
		held(ctx, a, key)
	}))

	It("loses all answers: the refused request's claim is released, so that a retry can run", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a, b := book(ctx, kv, "a", "1"), book(ctx, kv, "b", "1")
		kv.Set(fakekv.Faults{LoseAnswers: 2, LosePrefix: claims})
		Expect(refusal(ctx, a, key).Outcome).To(Equal(reply.OutcomeRefused))
		kv.Set(fakekv.Faults{Down: true})
		time.Sleep(time.Hour)
		kv.Set(fakekv.Faults{})
		time.Sleep(30 * time.Second)
		held(ctx, b, key)
	}))

	It("is down when the request ends: the outcome reaches duplicates later, within the bounded writes", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a := book(ctx, kv, "a", "1")
		c := held(ctx, a, key)
		kv.Set(fakekv.Faults{Down: true})
		Expect(c.Finish(ctx, done)).NotTo(Succeed())
		time.Sleep(time.Hour)
		kv.Set(fakekv.Faults{})
		before := kv.Calls()["PUT kv"]
		time.Sleep(30 * time.Second)
		_, outcome, _ := begin(ctx, book(ctx, kv, "b", "1"), key, time.Second)
		Expect(outcome.Body).To(Equal(done.Body))
		Expect(before).To(BeNumerically("<=", claim.MaxWrites))
		ended := httptest.NewRecorder()
		a.Metrics.Handler().ServeHTTP(ended, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		Expect(ended.Body.String()).To(ContainSubstring(`peridot_claims_ended_total{end="done",writes="4"} 1`))
	}))

	It("answers stale reads: the outcome is still written when the store is back", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a, b := book(ctx, kv, "a", "1"), book(ctx, kv, "b", "1")
		kv.Set(fakekv.Faults{StaleReads: true})
		c := held(ctx, a, key)
		kv.Set(fakekv.Faults{StaleReads: true, Down: true})
		Expect(c.Finish(ctx, done)).NotTo(Succeed())
		kv.Set(fakekv.Faults{StaleReads: true})
		time.Sleep(time.Minute)
		_, outcome, problem := begin(ctx, b, key, time.Second)
		Expect(problem).To(BeNil())
		Expect(outcome.Body).To(Equal(done.Body))
	}))

	It("gets a release late and does not lose the claim of the next holder to it", virtual(func(ctx context.Context, kv *fakekv.Server) {
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
		a, b := book(ctx, handler, "a", "1"), book(ctx, kv, "b", "1")
		Expect(held(ctx, a, key).Release(ctx)).To(Succeed())
		held(ctx, b, key)
		kv.ServeHTTP(httptest.NewRecorder(), late)
		Expect(refusal(ctx, a, key).Outcome).To(Equal(reply.OutcomeUnknown))
	}))

	It("keeps ids for 26 hours under one lease per hour, not for ever", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a, b := book(ctx, kv, "a", "1"), book(ctx, kv, "b", "1")
		time.Sleep(59*time.Minute + 50*time.Second)
		for i := range 10 {
			k := claim.Key{Customer: "c", Request: model.RequestID(fmt.Sprint(i))}
			Expect(held(ctx, a, k).Finish(ctx, done)).To(Succeed())
		}
		Expect(kv.Calls()["POST leases"]).To(Equal(2), "one for each instance")
		time.Sleep(claim.KeepFor)
		last := claim.Key{Customer: "c", Request: "9"}
		_, outcome, _ := begin(ctx, b, last, time.Second)
		Expect(outcome.Body).To(Equal(done.Body))
		Expect(kv.Calls()["POST leases"]).To(BeNumerically("~", 2*27, 2))
		time.Sleep(time.Hour)
		held(ctx, b, last)
	}))
})

var _ = Describe("ids", func() {
	DescribeTable("that cannot be kept are refused and nothing is written", func(k claim.Key) {
		virtual(func(ctx context.Context, kv *fakekv.Server) {
			Expect(refusal(ctx, book(ctx, kv, "a", "1"), k).Reason).To(Equal(reply.ReasonMalformed))
			synctest.Wait()
			Expect(kv.Calls()["PUT kv"]).To(BeZero())
		})()
	},
		Entry("no customer", claim.Key{Request: "1"}),
		Entry("no request", claim.Key{Customer: "1"}),
		Entry("too long", claim.Key{Customer: "1", Request: model.RequestID(strings.Repeat("x", claim.MaxIDBytes+1))}),
	)
})
