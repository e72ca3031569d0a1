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
	// Guards against load on the store that grows with the number of decisions.
	It("happen at most once a second, and not at all without events", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		time.Sleep(time.Minute)
		Expect(kv.Calls()).To(BeEmpty())
		for i := range 1000 {
			l.Add(jobEvent(decimal(i)))
			time.Sleep(10 * time.Millisecond)
		}
		// The writer mark of the hour is one additional write.
		Expect(kv.Calls()["PUT kv"]).To(BeNumerically("<=", 12))
		time.Sleep(2 * time.Second)
		Expect(mustExplain(ctx, l, audit.KindJob, "999")).To(HaveLen(1))
	}))

	// Guards against a retry that stores a batch twice or drops it.
	It("whose answer is lost are not recorded twice, and an outage loses none", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		for i := range 20 {
			kv.Set([]fakekv.Faults{{}, {LoseAnswers: 2}, {Down: true}, {DelayMs: 2500}}[i%4])
			l.Add(jobEvent(decimal(i)))
			time.Sleep(3 * time.Second)
		}
		kv.Set(fakekv.Faults{})
		time.Sleep(time.Minute)
		other := startLog(ctx, kv, "b")
		for i := range 20 {
			Expect(mustExplain(ctx, other, audit.KindJob, decimal(i))).To(HaveLen(1), "event %d", i)
		}
	}))

	// Guards against events that are lost when an instance stops.
	It("of Flush take all events at a stop, and fail when the store is down", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		kv.Set(fakekv.Faults{Down: true})
		for i := range 5000 {
			l.Add(jobEvent(decimal(i)))
		}
		Expect(l.Flush(ctx)).NotTo(Succeed())
		kv.Set(fakekv.Faults{})
		time.Sleep(time.Second)
		started := time.Now()
		Expect(l.Flush(ctx)).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
		Expect(mustExplain(ctx, startLog(ctx, kv, "b"), audit.KindJob, "4999")).To(HaveLen(1))
	}))
})

var _ = Describe("events", func() {
	// Guards against an outage of the store that stalls decisions or exhausts memory, and against dropped events without a count.
	It("never block the caller; over 4 MB, requests are dropped first", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		kv.Set(fakekv.Faults{Down: true})
		started, requests := time.Now(), 0
		for range 100 {
			for i := range 100 {
				l.Add(refusalEvent(decimal(i), "reason "+decimal(i), 500))
				requests++
			}
			time.Sleep(time.Second)
		}
		Expect(time.Since(started)).To(Equal(100*time.Second), "Add takes no time")
		for i := range 10000 {
			l.Add(jobEvent(decimal(i)))
		}
		Expect(countDropped(l, audit.KindRequest, "buffer-full")).To(BeNumerically(">", 0))
		Expect(countDropped(l, audit.KindJob, "")).To(BeZero())
		for i := range 20000 {
			l.Add(jobEvent(decimal(i)))
		}
		Expect(countDropped(l, audit.KindRequest, "")).To(BeNumerically("~", requests, 500), "the rest was in an unsent batch")
		Expect(countDropped(l, audit.KindJob, "")).To(BeNumerically(">", 0))
	}))

	// Guards against an overload that fills the log with equal refusals, and against refusals that are not counted.
	It("of refusals are sampled at 20 per second for each class and reason", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		for range 3 {
			for range 100 {
				l.Add(refusalEvent("r", "queue-full", 1))
				l.Add(refusalEvent("r", "overload", 1))
			}
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second)
		Expect(mustExplain(ctx, l, audit.KindRequest, "r")).To(HaveLen(3 * 2 * audit.MaxRefusalsPerSecond))
		Expect(countDropped(l, audit.KindRequest, "sampled")).To(Equal(3 * 2 * (100 - audit.MaxRefusalsPerSecond)))
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

	// Guards against request events that outgrow the batches.
	It("of requests beyond 64 KB in a second are dropped and counted", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		for i := range 1000 {
			l.Add(refusalEvent("r", "reason "+decimal(i), 500))
		}
		Expect(countDropped(l, audit.KindRequest, "rate")).To(BeNumerically(">", 800))
		time.Sleep(1500 * time.Millisecond)
		Expect(mustExplain(ctx, l, audit.KindRequest, "r")).To(HaveLen(1000 - countDropped(l, audit.KindRequest, "rate")))
	}))

	// Guards against events that no batch can hold, and against a data race with the caller's map.
	It("with texts of any size fit a batch and ignore later changes of the map", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		event := jobEvent("big")
		for i := range 100 {
			event.Inputs[decimal(i)] = string(make([]byte, 100<<10))
		}
		l.Add(event)
		event = jobEvent("map")
		l.Add(event)
		event.Inputs["rack"] = "changed"
		time.Sleep(2 * time.Second)
		Expect(mustExplain(ctx, l, audit.KindJob, "big")).To(HaveLen(1))
		Expect(mustExplain(ctx, l, audit.KindJob, "map")[0].Inputs).To(HaveKeyWithValue("rack", "r1"))
	}))
})

var _ = Describe("Explain", func() {
	// Guards against an Explain that only sees running instances or only stored events.
	It("finds events of all instances, oldest first, within the window", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		firstCtx, stop := context.WithCancel(ctx)
		first := startLog(firstCtx, kv, "a/1")
		first.Add(jobEvent("j"))
		time.Sleep(2 * time.Second)
		stop()
		time.Sleep(30 * time.Minute)
		b := startLog(ctx, kv, "b")
		b.Add(jobEvent("j"))
		b.Add(jobEvent("other"))
		events := mustExplain(ctx, b, audit.KindJob, "j")
		Expect(events).To(HaveLen(2), "the event that is not written yet counts too")
		Expect(events[0].Instance).To(BeEquivalentTo("a/1"))
		Expect(events[0].At).To(BeTemporally("<", events[1].At))
		time.Sleep(31 * time.Minute)
		Expect(mustExplain(ctx, b, audit.KindJob, "j")).To(HaveLen(1))
		b.Window = 2 * time.Hour
		Expect(mustExplain(ctx, b, audit.KindJob, "j")).To(HaveLen(2))
	}))

	// Guards against a writer mark in the hour of the write instead of the hour of the batch.
	It("finds a batch that an outage delayed into another hour", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		kv.Set(fakekv.Faults{Down: true})
		l.Add(jobEvent("j"))
		time.Sleep(2 * time.Hour)
		kv.Set(fakekv.Faults{})
		time.Sleep(5 * time.Second)
		b := startLog(ctx, kv, "b")
		b.Window = 3 * time.Hour
		Expect(mustExplain(ctx, b, audit.KindJob, "j")).To(HaveLen(1))
	}))

	// Guards against an Explain that overloads the store, and against a truncated answer without an error.
	It("bounds its reads and says what it left out", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		for hour := range 24 {
			l.Add(jobEvent(decimal(hour)))
			time.Sleep(time.Hour)
		}
		l.Add(jobEvent("last"))
		time.Sleep(2 * time.Second)
		l.Window = 24 * time.Hour
		before := kv.Calls()["GET kv"]
		events, err := l.Explain(ctx, audit.Subject{Kind: audit.KindJob, ID: "last"})
		var tooMany *audit.TooManyReadsError
		Expect(errors.As(err, &tooMany)).To(BeTrue())
		Expect(events).To(HaveLen(1))
		Expect(kv.Calls()["GET kv"] - before).To(BeNumerically("<=", audit.MaxListings+25))
		_, err = l.Explain(ctx, audit.Subject{Kind: audit.KindJob})
		Expect(err).To(BeAssignableToTypeOf(&audit.SubjectError{}))
		kv.Set(fakekv.Faults{Down: true})
		_, err = l.Explain(ctx, audit.Subject{Kind: audit.KindJob, ID: "last"})
		Expect(err).To(HaveOccurred())
	}))

	// Guards against events that expire early and against entries that never expire.
	It("finds events for 7 days, after which they are gone from the store", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		l := startLog(ctx, kv, "a")
		l.Add(jobEvent("j"))
		time.Sleep(retention - time.Minute)
		listing, err := l.Store.List(ctx, store.Prefix("audit"))
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Entries).To(HaveLen(1))
		time.Sleep(2 * time.Hour)
		listing, err = l.Store.List(ctx, "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Entries).To(BeEmpty())
	}))
})
