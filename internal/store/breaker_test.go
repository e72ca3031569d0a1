package store_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
)

var _ = Describe("an unavailable service", func() {
	// Guards against a load of calls that keeps the service from recovering, and a breaker that stays open afterwards.
	It("gets one probe per second after 5 failures, so that it can recover", inVirtualTime(func() {
		kv := fakekv.New()
		client := newClientWithBreaker(kv)
		client.Metrics = metric.New()
		kv.Set(fakekv.Faults{Down: true})
		for range 100 {
			_, err := client.Put(context.Background(), "/a", nil, 0, 0)
			Expect(err).To(HaveOccurred())
			time.Sleep(callInterval)
		}
		Expect(kv.Calls()["PUT kv"]).To(Equal(5 + 9))
		kv.Set(fakekv.Faults{})
		time.Sleep(time.Second)
		for range 10 {
			_, err := client.Get(context.Background(), "/a", 0)
			Expect(err).To(BeAssignableToTypeOf(&store.NotFoundError{}))
		}
	}))

	// Guards against callers whose own deadline hides that the service hangs.
	It("opens the breaker when it hangs, also for callers with short deadlines", inVirtualTime(func() {
		client := newClientWithBreaker(neverAnswer)
		for range 5 {
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			_, err := client.Grant(ctx, time.Second)
			cancel()
			Expect(err).To(HaveOccurred())
		}
		_, err := client.Put(context.Background(), "/a", nil, 0, 0)
		var unavailable *store.UnavailableError
		var open *store.OpenError
		Expect(errors.As(err, &unavailable)).To(BeTrue())
		Expect(errors.As(err, &open)).To(BeTrue())
		Expect(unavailable.Sent || unavailable.MaybeApplied).To(BeFalse())
	}))

	// Guards against a breaker that opens although the service works.
	It("does not count calls that are cancelled at once, conflicts, or values that are too large", inVirtualTime(func() {
		client := newClientWithBreaker(fakekv.New())
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := client.Put(context.Background(), "/a", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		for range 10 {
			_, err := client.Put(ended, "/a", nil, 0, 0)
			Expect(err).To(MatchError(context.Canceled))
			_, err = client.Put(context.Background(), "/a", nil, 0, 0)
			Expect(err).To(BeAssignableToTypeOf(&store.ConflictError{}))
			_, err = client.Put(context.Background(), "/a", make([]byte, store.MaxValueBytes+1), 0, 0)
			var large *store.TooLargeError
			Expect(errors.As(err, &large)).To(BeTrue())
		}
		Expect(client.Breaker.Open()).To(BeFalse())
	}))
})

var _ = Describe("P5: an error that says not applied", func() {
	// countFalseNotApplied counts writes that were applied although their error said that they were not.
	countFalseNotApplied := func(client *store.Client, kv *fakekv.Server) int {
		violations := 0
		for _, faults := range []fakekv.Faults{{Down: true}, {LoseAnswers: 1}, {DelayMs: 3000}} {
			kv.Set(faults)
			key := store.Key("p5", faults.LosePrefix, time.Now().String())
			_, err := client.Put(context.Background(), key, nil, 0, 0)
			var unavailable *store.UnavailableError
			Expect(errors.As(err, &unavailable)).To(BeTrue())
			time.Sleep(5 * time.Second)
			kv.Set(fakekv.Faults{})
			if _, err := client.Get(context.Background(), key, 0); err == nil && !unavailable.MaybeApplied {
				violations++
			}
		}
		return violations
	}

	// Guards against a write that is reported as not applied, so that the caller repeats it, and is applied all the same.
	It("is true after outages, lost answers and slow writes", inVirtualTime(func() {
		kv := fakekv.New()
		Expect(countFalseNotApplied(newClient(kv), kv)).To(BeZero())
	}))

	// Shows that the faults above detect a client that reports every write as not applied.
	It("is seen to be false when doubt is not tracked", inVirtualTime(func() {
		kv := fakekv.New()
		client := newClient(kv)
		client.MayHaveApplied = func(bool, int) bool { return false }
		Expect(countFalseNotApplied(client, kv)).To(BeNumerically(">", 0))
	}))

	// Guards against a wrong MaybeApplied for a single kind of failure.
	DescribeTable("follows from whether the call was sent and from the status", func(cause error, status int, maybe bool) {
		client := newClient(nil)
		client.Do = func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Body: http.NoBody}, cause
		}
		_, err := client.Put(context.Background(), "/a", nil, 0, 0)
		var unavailable *store.UnavailableError
		Expect(errors.As(err, &unavailable)).To(BeTrue())
		Expect(unavailable.MaybeApplied).To(Equal(maybe))
	},
		Entry("no connection was made", &net.OpError{Op: "dial", Err: errors.New("refused")}, 0, false),
		Entry("the connection broke", &net.OpError{Op: "read", Err: errors.New("reset")}, 0, true),
		Entry("503, which is sent before anything is applied", nil, http.StatusServiceUnavailable, false),
		Entry("a gateway lost the answer", nil, http.StatusBadGateway, true),
		Entry("a truncated answer", nil, http.StatusOK, true),
		Entry("a request that is not processed", nil, http.StatusBadRequest, false),
	)
})
