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

func get(ctx context.Context, p *process, key string) string {
	entry, err := p.Store.Get(ctx, key, 0)
	if err != nil {
		return ""
	}
	return string(entry.Value)
}

// releases passes calls on, and keeps a copy of the last release that late delivers. Without deliver, releases are held up.
func releases(kv http.Handler, deliver bool) (handler http.Handler, late func()) {
	var kept *http.Request
	handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		r.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(`"instance":""`)) {
			kept = r.Clone(context.Background())
			kept.Body = io.NopCloser(bytes.NewReader(body))
			if !deliver {
				panic(http.ErrAbortHandler)
			}
		}
		kv.ServeHTTP(w, r)
	})
	return handler, func() { kv.ServeHTTP(httptest.NewRecorder(), kept) }
}

var _ = Describe("validity", func() {
	It("counts from when the renewal was sent, because the store counts from when it arrived", virtual(func(ctx context.Context, kv *fakekv.Server) {
		kv.Set(fakekv.Faults{DelayMs: 1000})
		var arrived atomic.Int64
		a := start(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			at := time.Now()
			kv.ServeHTTP(w, r)
			if r.Context().Err() == nil {
				arrived.Store(at.UnixNano())
			}
		}), "a", plain)
		time.Sleep(10200 * time.Millisecond) // No renewal is under way at this time.
		Expect(a.Valid()).To(BeTrue())
		good := time.Unix(0, arrived.Load())
		_, sentAt := a.Proof()
		Expect(sentAt).To(BeTemporally("==", good))
		kv.Set(fakekv.Faults{Down: true})
		for time.Since(good) < 8*time.Second {
			time.Sleep(10 * time.Millisecond)
			Expect(a.Valid()).To(Equal(time.Since(good) < 4750*time.Millisecond), "%s after the renewal arrived", time.Since(good))
		}
	}))

	It("survives one lost renewal, and a hanging one", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a := start(ctx, kv, "a", plain)
		token, err := a.Acquire(ctx, owner)
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
		again, held := a.Token(owner)
		Expect(held).To(BeTrue())
		Expect(again).To(Equal(token))
	}))

	It("lasts while the store is slow, up to the timeout of its calls", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a := start(ctx, kv, "a", plain)
		kv.Set(fakekv.Faults{DelayMs: 1900})
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			Expect(a.Valid()).To(BeTrue())
		}
	}))

	It("ends while the process is paused, before it has talked to the store again", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a, b := start(ctx, kv, "a", plain), start(ctx, kv, "b", plain)
		first, err := a.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Acquire(ctx, owner)
		Expect(err).To(MatchError(&lease.HeldError{Key: owner, Holder: "a"}))
		var second atomic.Uint64
		go func() {
			time.Sleep(6 * time.Second)
			token, _ := b.Acquire(ctx, owner)
			second.Store(uint64(token))
		}()
		a.pause <- struct{}{}
		time.Sleep(7 * time.Second)
		_, held := a.Token(owner)
		Expect(held).To(BeFalse())
		<-a.pause
		Expect(second.Load()).To(BeNumerically(">", uint64(first)))
		time.Sleep(3 * time.Second)
		_, held = a.Token(owner)
		Expect(a.Valid()).To(BeTrue())
		Expect(held).To(BeFalse(), "a new lease does not bring the old ownership back")
	}))

	It("is proved by a revision that later reads can be compared with", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a := start(ctx, kv, "a", plain)
		_, err := a.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Second)
		revision, sentAt := a.Proof()
		Expect(revision).To(Equal(kv.Revision()))
		Expect(time.Since(sentAt)).To(BeNumerically("<=", lease.DefaultRenewEvery))
	}))
})

var _ = Describe("kept keys", func() {
	It("come back after the lease expired, and follow their value", virtual(func(ctx context.Context, kv *fakekv.Server) {
		var value atomic.Value
		value.Store("up")
		a := start(ctx, kv, "a", plain)
		a.Keep(member, func() []byte { return []byte(value.Load().(string)) })
		time.Sleep(time.Millisecond)
		Expect(get(ctx, a, member)).To(Equal("up"))
		kv.LapseLeases()
		Expect(get(ctx, a, member)).To(BeEmpty())
		time.Sleep(2 * time.Second)
		Expect(get(ctx, a, member)).To(Equal("up"))
		value.Store("draining")
		time.Sleep(2 * time.Second)
		Expect(get(ctx, a, member)).To(Equal("draining"))
		writes := kv.Calls()["PUT kv"]
		time.Sleep(time.Minute)
		Expect(kv.Calls()["PUT kv"]).To(Equal(writes), "an unchanged value is not written again")
	}))

	It("of an earlier process are taken over, and do not expire with its lease", virtual(func(ctx context.Context, kv *fakekv.Server) {
		old, stop := context.WithCancel(ctx)
		start(old, kv, "a", plain).Keep(member, func() []byte { return []byte("1") })
		time.Sleep(time.Second)
		stop()
		next := start(ctx, kv, "a", func(h *lease.Holder) { h.Incarnation = "2" })
		next.Keep(member, func() []byte { return []byte("2") })
		time.Sleep(20 * time.Second)
		Expect(get(ctx, next, member)).To(Equal("2"))
	}))
})

var _ = Describe("ownership", func() {
	It("is learned when the answer of its write is lost", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a := start(ctx, kv, "a", plain)
		kv.Set(fakekv.Faults{LoseAnswers: 1, LosePrefix: owner})
		token, err := a.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		entry, err := a.Store.Get(ctx, owner, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Modified).To(BeEquivalentTo(token))
	}))

	It("that is in doubt is given up in the background, so that others are not locked out", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a, b := start(ctx, kv, "a", plain), start(ctx, kv, "b", plain)
		kv.Set(fakekv.Faults{LoseAnswers: 3, LosePrefix: owner})
		_, err := a.Acquire(ctx, owner)
		Expect(err).To(BeAssignableToTypeOf(&lease.DoubtError{}))
		_, held := a.Token(owner)
		Expect(held).To(BeFalse())
		time.Sleep(3 * time.Second)
		_, err = b.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Second)
		_, held = b.Token(owner)
		Expect(held).To(BeTrue())
		Expect(get(ctx, b, owner)).To(ContainSubstring(`"b"`))
	}))

	It("passes on when it is released, with a higher token, and a late release does not end the next one", virtual(func(ctx context.Context, kv *fakekv.Server) {
		handler, late := releases(kv, true)
		a, b := start(ctx, handler, "a", plain), start(ctx, kv, "b", plain)
		first, err := a.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Release(ctx, owner)).To(Succeed())
		second, err := b.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(BeNumerically(">", first))
		late()
		Expect(get(ctx, b, owner)).To(ContainSubstring(`"b"`))
	}))

	It("that is taken again is not ended by its own late release", virtual(func(ctx context.Context, kv *fakekv.Server) {
		handler, late := releases(kv, false)
		a := start(ctx, handler, "a", plain)
		first, err := a.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Release(ctx, owner)).To(BeAssignableToTypeOf(&lease.DoubtError{}))
		_, held := a.Token(owner)
		Expect(held).To(BeFalse())
		second, err := a.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(BeNumerically(">", first))
		late()
		Expect(get(ctx, a, owner)).To(ContainSubstring(`"a"`))
	}))

	It("ends with Close at once, and no lease is granted afterwards", virtual(func(ctx context.Context, kv *fakekv.Server) {
		a, b := start(ctx, kv, "a", plain), start(ctx, kv, "b", plain)
		_, err := a.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		a.Keep(member, func() []byte { return nil })
		time.Sleep(time.Second)
		kv.Set(fakekv.Faults{LoseAnswers: 1, LosePrefix: "/leases"})
		Expect(a.Close(ctx)).To(Succeed())
		time.Sleep(2 * time.Second)
		_, err = b.Acquire(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Second)
		Expect(a.Valid()).To(BeFalse())
		_, err = a.Acquire(ctx, "/owner/other")
		Expect(err).To(BeAssignableToTypeOf(&lease.InvalidError{}))
	}))
})
