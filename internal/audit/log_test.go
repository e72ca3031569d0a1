package audit_test

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/audit"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/store"
)

var _ = Describe("writes", func() {
	It("happen at most once a second, and not at all without events", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		time.Sleep(time.Minute)
		Expect(kv.Calls()).To(BeEmpty())
		for i := range 1000 {
			l.Add(job(number(i)))
			time.Sleep(10 * time.Millisecond)
		}
		// The mark of the hour is one write more.
		Expect(kv.Calls()["PUT kv"]).To(BeNumerically("<=", 12))
		time.Sleep(2 * time.Second)
		Expect(explain(ctx, l, audit.KindJob, "999")).To(HaveLen(1))
	}))

	It("whose answer is lost are not recorded twice, and none is lost in an outage", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		for i := range 20 {
			kv.Set([]fakekv.Faults{{}, {LoseAnswers: 2}, {Down: true}, {DelayMs: 2500}}[i%4])
			l.Add(job(number(i)))
			time.Sleep(3 * time.Second)
		}
		kv.Set(fakekv.Faults{})
		time.Sleep(time.Minute)
		other := start(ctx, kv, "b")
		for i := range 20 {
			Expect(explain(ctx, other, audit.KindJob, number(i))).To(HaveLen(1), "event %d", i)
		}
	}))

	It("of Flush take all events at a stop, and fail when the store is down", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		kv.Set(fakekv.Faults{Down: true})
		for i := range 5000 {
			l.Add(job(number(i)))
		}
		Expect(l.Flush(ctx)).NotTo(Succeed())
		kv.Set(fakekv.Faults{})
		time.Sleep(time.Second)
		started := time.Now()
		Expect(l.Flush(ctx)).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
		Expect(explain(ctx, start(ctx, kv, "b"), audit.KindJob, "4999")).To(HaveLen(1))
	}))
})

var _ = Describe("events", func() {
	It("never block the caller and stay within 4 MB: requests give way to decisions, with a count", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		kv.Set(fakekv.Faults{Down: true})
		started, requests := time.Now(), 0
		for range 100 {
			for i := range 100 {
				l.Add(refusal(number(i), "reason "+number(i), 500))
				requests++
			}
			time.Sleep(time.Second)
		}
		Expect(time.Since(started)).To(Equal(100*time.Second), "Add takes no time")
		for i := range 10000 {
			l.Add(job(number(i)))
		}
		Expect(dropped(l, audit.KindRequest, "buffer-full")).To(BeNumerically(">", 0))
		Expect(dropped(l, audit.KindJob, "")).To(BeZero())
		for i := range 20000 {
			l.Add(job(number(i)))
		}
		Expect(dropped(l, audit.KindRequest, "")).To(BeNumerically("~", requests, 500), "what is left was in a batch under way")
		Expect(dropped(l, audit.KindJob, "")).To(BeNumerically(">", 0))
	}))

	It("of refusals are sampled at 20 per second for each class and reason", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		for range 3 {
			for range 100 {
				l.Add(refusal("r", "queue-full", 1))
				l.Add(refusal("r", "overload", 1))
			}
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second)
		Expect(explain(ctx, l, audit.KindRequest, "r")).To(HaveLen(3 * 2 * audit.RefusalsPerSecond))
		Expect(dropped(l, audit.KindRequest, "sampled")).To(Equal(3 * 2 * (100 - audit.RefusalsPerSecond)))
		listing, err := l.Store.List(ctx, store.Prefix("audit"))
		Expect(err).NotTo(HaveOccurred())
		counted := map[string]int{}
		for _, entry := range listing.Entries {
			var batch struct {
				Refused []struct {
					Reason string
					Count  int
				}
			}
			Expect(json.Unmarshal(entry.Value, &batch)).To(Succeed())
			for _, refused := range batch.Refused {
				counted[refused.Reason] += refused.Count
			}
		}
		Expect(counted).To(Equal(map[string]int{"queue-full": 300, "overload": 300}))
	}))

	It("of requests beyond 64 KB in a second are dropped and counted", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		for i := range 1000 {
			l.Add(refusal("r", "reason "+number(i), 500))
		}
		Expect(dropped(l, audit.KindRequest, "rate")).To(BeNumerically(">", 800))
		time.Sleep(1500 * time.Millisecond)
		Expect(explain(ctx, l, audit.KindRequest, "r")).To(HaveLen(1000 - dropped(l, audit.KindRequest, "rate")))
	}))

	It("with texts of any size fit a batch, and do not change with the caller's map", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		event := job("big")
		for i := range 100 {
			event.Inputs[number(i)] = string(make([]byte, 100<<10))
		}
		l.Add(event)
		event = job("map")
		l.Add(event)
		event.Inputs["rack"] = "changed"
		time.Sleep(2 * time.Second)
		Expect(explain(ctx, l, audit.KindJob, "big")).To(HaveLen(1))
		Expect(explain(ctx, l, audit.KindJob, "map")[0].Inputs).To(HaveKeyWithValue("rack", "r1"))
	}))
})

var _ = Describe("Explain", func() {
	It("finds events of all instances, also of those that are gone, oldest first, within the window", virtual(func(ctx context.Context, kv *fakekv.Server) {
		gone, stop := context.WithCancel(ctx)
		old := start(gone, kv, "a/1")
		old.Add(job("j"))
		time.Sleep(2 * time.Second)
		stop()
		time.Sleep(30 * time.Minute)
		b := start(ctx, kv, "b")
		b.Add(job("j"))
		b.Add(job("other"))
		events := explain(ctx, b, audit.KindJob, "j")
		Expect(events).To(HaveLen(2), "the event that is not written yet counts too")
		Expect(events[0].Instance).To(BeEquivalentTo("a/1"))
		Expect(events[0].At).To(BeTemporally("<", events[1].At))
		time.Sleep(31 * time.Minute)
		Expect(explain(ctx, b, audit.KindJob, "j")).To(HaveLen(1))
		b.Window = 2 * time.Hour
		Expect(explain(ctx, b, audit.KindJob, "j")).To(HaveLen(2))
	}))

	It("finds a batch that an outage delayed into another hour", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		kv.Set(fakekv.Faults{Down: true})
		l.Add(job("j"))
		time.Sleep(2 * time.Hour)
		kv.Set(fakekv.Faults{})
		time.Sleep(5 * time.Second)
		b := start(ctx, kv, "b")
		b.Window = 3 * time.Hour
		Expect(explain(ctx, b, audit.KindJob, "j")).To(HaveLen(1))
	}))

	It("bounds its reads and says what it left out", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		for hour := range 24 {
			l.Add(job(number(hour)))
			time.Sleep(time.Hour)
		}
		l.Add(job("last"))
		time.Sleep(2 * time.Second)
		l.Window = 24 * time.Hour
		before := kv.Calls()["GET kv"]
		events, err := l.Explain(ctx, audit.Subject{Kind: audit.KindJob, ID: "last"})
		var tooMany *audit.TooManyReadsError
		Expect(errors.As(err, &tooMany)).To(BeTrue())
		Expect(events).To(HaveLen(1))
		Expect(kv.Calls()["GET kv"] - before).To(BeNumerically("<=", audit.MaxReads+25))
		_, err = l.Explain(ctx, audit.Subject{Kind: audit.KindJob})
		Expect(err).To(BeAssignableToTypeOf(&audit.SubjectError{}))
		kv.Set(fakekv.Faults{Down: true})
		_, err = l.Explain(ctx, audit.Subject{Kind: audit.KindJob, ID: "last"})
		Expect(err).To(HaveOccurred())
	}))

	It("finds events for 7 days, after which they are gone from the store", virtual(func(ctx context.Context, kv *fakekv.Server) {
		l := start(ctx, kv, "a")
		l.Add(job("j"))
		time.Sleep(week - time.Minute)
		listing, err := l.Store.List(ctx, store.Prefix("audit"))
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Entries).To(HaveLen(1))
		time.Sleep(2 * time.Hour)
		listing, err = l.Store.List(ctx, "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Entries).To(BeEmpty())
	}))
})
