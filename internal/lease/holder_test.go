package lease_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/lease"
)

// storedValue returns the value of a key, or an empty string without an entry.
func storedValue(ctx context.Context, p *process, key string) string {
	entry, err := p.Store.Get(ctx, key, 0)
	if err != nil {
		return ""
	}
	return string(entry.Value)
}

// interceptReleases passes calls on to kv and copies the last release, which deliverLate sends again. With deliver false, a release
// is not passed on and its connection breaks.
func interceptReleases(kv http.Handler, deliver bool) (handler http.Handler, deliverLate func()) {
	var lastRelease *http.Request
	handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		r.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(`"instance":""`)) {
			lastRelease = r.Clone(context.Background())
			lastRelease.Body = io.NopCloser(bytes.NewReader(body))
			if !deliver {
				panic(http.ErrAbortHandler)
			}
		}
		kv.ServeHTTP(w, r)
	})
	return handler, func() { kv.ServeHTTP(httptest.NewRecorder(), lastRelease) }
}

var _ = Describe("validity", func() {
	// Guards against an owner that acts after the store has expired its lease.
	It("counts from when the renewal was sent, because the store counts from when it arrived",
		inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
			kv.Set(fakekv.Faults{DelayMs: 1000})
			var arrived atomic.Int64
			a := startProcess(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				at := time.Now()
				kv.ServeHTTP(w, r)
				if r.Context().Err() == nil {
					arrived.Store(at.UnixNano())
				}
			}), "a", unchanged)
			time.Sleep(10200 * time.Millisecond) // No renewal is in flight at this time.
			Expect(a.Valid()).To(BeTrue())
			lastArrival := time.Unix(0, arrived.Load())
			_, sentAt := a.LastRenewal()
			Expect(sentAt).To(BeTemporally("==", lastArrival))
			kv.Set(fakekv.Faults{Down: true})
			for time.Since(lastArrival) < 8*time.Second {
				time.Sleep(10 * time.Millisecond)
				Expect(a.Valid()).To(Equal(time.Since(lastArrival) < 4750*time.Millisecond), "%s after the renewal arrived", time.Since(lastArrival))
			}
		}))

	// Guards against ownership that a single failed renewal ends.
	It("survives one lost renewal, and a hanging one", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a := startProcess(ctx, kv, "a", unchanged)
		token, err := a.Acquire(ctx, ownerKey)
		Expect(err).NotTo(HaveOccurred())
		for _, faults := range []fakekv.Faults{{LoseAnswers: 1, LosePrefix: "/leases"}, {DelayMs: 2100}} {
			kv.Set(faults)
			time.Sleep(1600 * time.Millisecond)
			kv.Set(fakekv.Faults{})
			for range 60 {
				time.Sleep(100 * time.Millisecond)
				Expect(a.Valid()).To(BeTrue())
			}
		}
		current, held := a.Token(ownerKey)
		Expect(held).To(BeTrue())
		Expect(current).To(Equal(token))
	}))

	// Guards against a renewal timeout shorter than the timeout of store calls.
	It("lasts while the store is slow, up to the timeout of its calls", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a := startProcess(ctx, kv, "a", unchanged)
		kv.Set(fakekv.Faults{DelayMs: 1900})
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			Expect(a.Valid()).To(BeTrue())
		}
	}))

	// Guards against two owners after a pause that outlasts the lease.
	It("ends while the process is paused, before it has talked to the store again",
		inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
			a, b := startProcess(ctx, kv, "a", unchanged), startProcess(ctx, kv, "b", unchanged)
			first, err := a.Acquire(ctx, ownerKey)
			Expect(err).NotTo(HaveOccurred())
			_, err = b.Acquire(ctx, ownerKey)
			Expect(err).To(MatchError(&lease.HeldError{Key: ownerKey, Holder: "a"}))
			var second atomic.Uint64
			go func() {
				time.Sleep(6 * time.Second)
				token, _ := b.Acquire(ctx, ownerKey)
				second.Store(uint64(token))
			}()
			a.pause <- struct{}{}
			time.Sleep(7 * time.Second)
			_, held := a.Token(ownerKey)
			Expect(held).To(BeFalse())
			<-a.pause
			Expect(second.Load()).To(BeNumerically(">", uint64(first)))
			time.Sleep(3 * time.Second)
			_, held = a.Token(ownerKey)
			Expect(a.Valid()).To(BeTrue())
			Expect(held).To(BeFalse(), "a new lease does not bring the old ownership back")
		}))

	// Guards against a stale revision, with which a stale read would count as current.
	It("is proved by a revision that later reads can be compared with", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a := startProcess(ctx, kv, "a", unchanged)
		_, err := a.Acquire(ctx, ownerKey)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Second)
		revision, sentAt := a.LastRenewal()
		Expect(revision).To(Equal(kv.Revision()))
		Expect(time.Since(sentAt)).To(BeNumerically("<=", lease.DefaultRenewInterval))
	}))
})

var _ = Describe("kept keys", func() {
	// Guards against an instance that stays out of the membership, or keeps an old value there, and against needless writes.
	It("come back after the lease expired, and follow their value", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		var value atomic.Value
		value.Store("up")
		a := startProcess(ctx, kv, "a", unchanged)
		a.KeepKey(memberKey, func() []byte { return []byte(value.Load().(string)) })
		time.Sleep(time.Millisecond)
		Expect(storedValue(ctx, a, memberKey)).To(Equal("up"))
		kv.ExpireShortLeases()
		Expect(storedValue(ctx, a, memberKey)).To(BeEmpty())
		time.Sleep(2 * time.Second)
		Expect(storedValue(ctx, a, memberKey)).To(Equal("up"))
		value.Store("draining")
		time.Sleep(2 * time.Second)
		Expect(storedValue(ctx, a, memberKey)).To(Equal("draining"))
		writes := kv.Calls()["PUT kv"]
		time.Sleep(time.Minute)
		Expect(kv.Calls()["PUT kv"]).To(Equal(writes), "an unchanged value is not written again")
	}))

	// Guards against a membership key that vanishes when the lease of the process before a restart expires.
	It("of an earlier process are taken over, and do not expire with its lease", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		old, stop := context.WithCancel(ctx)
		startProcess(old, kv, "a", unchanged).KeepKey(memberKey, func() []byte { return []byte("1") })
		time.Sleep(time.Second)
		stop()
		next := startProcess(ctx, kv, "a", func(h *lease.Holder) { h.Incarnation = "2" })
		next.KeepKey(memberKey, func() []byte { return []byte("2") })
		time.Sleep(20 * time.Second)
		Expect(storedValue(ctx, next, memberKey)).To(Equal("2"))
	}))
})

var _ = Describe("ownership", func() {
	// Guards against a lost answer that fails Acquire, or that yields a token other than that of the stored entry.
	It("is confirmed by a second write when the answer of the first is lost", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a := startProcess(ctx, kv, "a", unchanged)
		kv.Set(fakekv.Faults{LoseAnswers: 1, LosePrefix: ownerKey})
		token, err := a.Acquire(ctx, ownerKey)
		Expect(err).NotTo(HaveOccurred())
		entry, err := a.Store.Get(ctx, ownerKey, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Modified).To(BeEquivalentTo(token))
	}))

	// Guards against a key that stays with an instance which does not act as its owner.
	It("that is in doubt is released in the background for others to acquire", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a, b := startProcess(ctx, kv, "a", unchanged), startProcess(ctx, kv, "b", unchanged)
		kv.Set(fakekv.Faults{LoseAnswers: 3, LosePrefix: ownerKey})
		_, err := a.Acquire(ctx, ownerKey)
		Expect(err).To(BeAssignableToTypeOf(&lease.InDoubtError{}))
		_, held := a.Token(ownerKey)
		Expect(held).To(BeFalse())
		time.Sleep(3 * time.Second)
		_, err = b.Acquire(ctx, ownerKey)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Second)
		_, held = b.Token(ownerKey)
		Expect(held).To(BeTrue())
		Expect(storedValue(ctx, b, ownerKey)).To(ContainSubstring(`"b"`))
	}))

	// Guards against a delayed or repeated release that removes the entry of the next owner.
	It("passes on with a higher token after a release; a late release does not affect it",
		inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
			handler, deliverLate := interceptReleases(kv, true)
			a, b := startProcess(ctx, handler, "a", unchanged), startProcess(ctx, kv, "b", unchanged)
			first, err := a.Acquire(ctx, ownerKey)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Release(ctx, ownerKey)).To(Succeed())
			second, err := b.Acquire(ctx, ownerKey)
			Expect(err).NotTo(HaveOccurred())
			Expect(second).To(BeNumerically(">", first))
			deliverLate()
			Expect(storedValue(ctx, b, ownerKey)).To(ContainSubstring(`"b"`))
		}))

	// Guards against a delayed release that arrives after the same instance acquired the key again.
	It("that is acquired again is not ended by its own late release", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		handler, deliverLate := interceptReleases(kv, false)
		a := startProcess(ctx, handler, "a", unchanged)
		first, err := a.Acquire(ctx, ownerKey)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Release(ctx, ownerKey)).To(BeAssignableToTypeOf(&lease.InDoubtError{}))
		_, held := a.Token(ownerKey)
		Expect(held).To(BeFalse())
		second, err := a.Acquire(ctx, ownerKey)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(BeNumerically(">", first))
		deliverLate()
		Expect(storedValue(ctx, a, ownerKey)).To(ContainSubstring(`"a"`))
	}))

	// Guards against a stopped instance that blocks its successor until the lease expires, or acquires a key later.
	It("ends with Close at once, and no lease is granted afterwards", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		a, b := startProcess(ctx, kv, "a", unchanged), startProcess(ctx, kv, "b", unchanged)
		_, err := a.Acquire(ctx, ownerKey)
		Expect(err).NotTo(HaveOccurred())
		a.KeepKey(memberKey, func() []byte { return nil })
		time.Sleep(time.Second)
		kv.Set(fakekv.Faults{LoseAnswers: 1, LosePrefix: "/leases"})
		Expect(a.Close(ctx)).To(Succeed())
		time.Sleep(2 * time.Second)
		_, err = b.Acquire(ctx, ownerKey)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Second)
		Expect(a.Valid()).To(BeFalse())
		_, err = a.Acquire(ctx, "/owner/other")
		Expect(err).To(BeAssignableToTypeOf(&lease.NoLeaseError{}))
	}))
})
