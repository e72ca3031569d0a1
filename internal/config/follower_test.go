package config_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Bounds from the design page, measured from the acceptance of a change.
const (
	inEffectBound = 2 * time.Second
	noStartBound  = 4 * time.Second
)

// metricValue returns the value of a gauge or counter, or -1 if it does not exist.
func metricValue(set *metric.Set, name string) float64 {
	families, err := set.Registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() == metric.Prefix+name {
			return family.GetMetric()[0].GetGauge().GetValue() + family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return -1
}

var _ = Describe("Follower", func() {
	// Guards against slow propagation, against fetching all segments for each revision, and against polling the store too often.
	It("has each accepted revision in effect everywhere within the bound, and fetches only changed segments", func() {
		inVirtualTime(func(ctx context.Context) {
			c := newCluster(ctx, "a", "b", "c")
			c.configure = func(f *config.Follower) { f.Metrics = metric.New() }
			c.startAll()
			time.Sleep(3 * time.Second)
			p := c.instances["a"].publisher
			c.mustPublish(p, "first", 0, dataCentre(model.ServiceIn), customer("clerks", 1))
			time.Sleep(inEffectBound)
			reads := c.segmentReads.Load()
			c.mustPublish(p, "second", 1, customer("clerks", 2))
			time.Sleep(inEffectBound)
			for id, i := range c.instances {
				Expect(i.follower.Current().Revision).To(BeEquivalentTo(2), id)
				Expect(i.follower.Level()).To(Equal(config.LevelConfirmed), id)
				Expect(i.follower.MayStartTask(dcName)).To(BeNil(), id)
				Expect(metricValue(i.follower.Metrics, "config_revision")).To(BeEquivalentTo(2), id)
				Expect(metricValue(i.follower.Metrics, "config_level")).To(BeEquivalentTo(2), id)
				Expect(metricValue(i.follower.Metrics, "config_confirmation_age_seconds")).To(And(BeNumerically(">", 0), BeNumerically("<=", 3)), id)
				Expect(metricValue(i.follower.Metrics, "config_applied_total")).To(BeEquivalentTo(2), id)
			}
			Expect(c.segmentReads.Load()-reads).To(BeEquivalentTo(3), "one changed segment on three instances")

			const quiet = 60
			before := c.kv.Calls()["GET kv"]
			lists := quiet / 5 * 3
			time.Sleep(quiet * time.Second)
			Expect(c.kv.Calls()["GET kv"]-before-lists).To(BeNumerically("<=", 1.5*3*quiet), "reads of the head")
		})
	})

	// lastStartAfterTakeOut takes a data centre out of service while instance b is partitioned, and returns the time from the
	// acceptance of that change to the last moment at which b would still start a task.
	lastStartAfterTakeOut := func(ctx context.Context, cutStore, cutPeers, stale bool, configure func(*config.Follower)) (latest time.Duration, b *instance) {
		c := newCluster(ctx, "a", "b", "c")
		c.configure = configure
		c.startAll()
		time.Sleep(3 * time.Second)
		p := c.instances["a"].publisher
		c.mustPublish(p, "first", 0, dataCentre(model.ServiceIn))
		time.Sleep(3 * time.Second)
		b = c.instances["b"]
		Expect(b.follower.MayStartTask(dcName)).To(BeNil())
		c.net.Partition("b", kvHost, cutStore)
		c.net.Partition("b", "a", cutPeers)
		c.net.Partition("b", "c", cutPeers)
		c.unproved.Store(stale)
		c.loseWatches.Store(stale)
		c.kv.Set(fakekv.Faults{StaleReads: stale})
		c.mustPublish(p, "out", 1, dataCentre(model.ServiceOut))
		accepted := time.Now()
		for time.Since(accepted) < 20*time.Second {
			if b.follower.MayStartTask(dcName) == nil {
				latest = time.Since(accepted)
			}
			time.Sleep(10 * time.Millisecond)
		}
		return latest, b
	}

	// Guards against task starts from an outdated configuration on a partitioned instance.
	DescribeTable("starts nothing in a data centre taken out, after the bound, on an instance that is cut off (P3)",
		func(cutStore, cutPeers, stale bool, level config.Level) {
			inVirtualTime(func(ctx context.Context) {
				latest, b := lastStartAfterTakeOut(ctx, cutStore, cutPeers, stale, nil)
				Expect(latest).To(BeNumerically("<=", noStartBound))
				Expect(b.follower.Level()).To(Equal(level))
				if level == config.LevelConfirmed {
					Expect(b.follower.Current().Revision).To(BeEquivalentTo(2))
				}
			})
		},
		Entry("from nobody", false, false, false, config.LevelConfirmed),
		Entry("from the store", true, false, false, config.LevelConfirmed),
		Entry("from its peers", false, true, false, config.LevelConfirmed),
		Entry("from both", true, true, false, config.LevelStale),
		Entry("from its peers, while its renewals fail and its reads are stale", false, true, true, config.LevelStale),
	)

	// Shows that the table above fails if a confirmation never expires.
	It("is seen to start tasks after the bound when confirmations never grow old (P3 off)", func() {
		inVirtualTime(func(ctx context.Context) {
			latest, _ := lastStartAfterTakeOut(ctx, true, true, false,
				func(f *config.Follower) { f.ConfirmationValid = func(time.Duration) bool { return true } })
			Expect(latest).To(BeNumerically(">", noStartBound))
		})
	})

	// Guards against serving from an unconfirmed configuration during an outage of the store.
	It("falls to agreed and then stale when the store is down, and sends only idempotent requests while agreed", func() {
		inVirtualTime(func(ctx context.Context) {
			c := newCluster(ctx, "a", "b", "c").startAll()
			time.Sleep(3 * time.Second)
			c.mustPublish(c.instances["a"].publisher, "first", 0, dataCentre(model.ServiceIn))
			time.Sleep(3 * time.Second)
			c.kv.Set(fakekv.Faults{Down: true})
			time.Sleep(4 * time.Second)
			a := c.instances["a"].follower
			Expect(a.Level()).To(Equal(config.LevelAgreed))
			Expect(a.CheckSend(dcName, true)).To(BeNil())
			Expect(a.CheckSend(dcName, false).Reason).To(Equal(reply.ReasonConfigStale))
			Expect(a.MayStartTask(dcName).Reason).To(Equal(reply.ReasonConfigStale))
			c.instances["b"].stop()
			c.instances["c"].stop()
			c.net.Partition("a", "b", true)
			c.net.Partition("a", "c", true)
			time.Sleep(4 * time.Second)
			Expect(a.Level()).To(Equal(config.LevelStale), "only one of three members reports")
			Expect(a.CheckSend(dcName, true).Reason).To(Equal(reply.ReasonConfigStale))
		})
	})

	// Guards against a restarted process that starts work from an older configuration than the process before it.
	It("is not ready after a restart until a read is proved or a peer confirmed the head since, so that it cannot go back", func() {
		inVirtualTime(func(ctx context.Context) {
			c := newCluster(ctx, "a", "b").startAll()
			time.Sleep(3 * time.Second)
			c.mustPublish(c.instances["a"].publisher, "first", 0, dataCentre(model.ServiceIn))
			time.Sleep(3 * time.Second)
			c.kv.Set(fakekv.Faults{Down: true})
			b := c.start("b")
			time.Sleep(5 * time.Second)
			Expect(b.follower.Ready()).To(BeFalse())
			Expect(b.follower.Current()).To(BeNil())
			c.kv.Set(fakekv.Faults{})
			time.Sleep(3 * time.Second)
			Expect(b.follower.Ready()).To(BeTrue())

			// A process of b registers and ends; its successor has no proof of its own.
			b = c.start("b")
			b.stop()
			c.configure = func(f *config.Follower) { f.LastRenewal = nil }
			b = c.start("b")
			time.Sleep(5 * time.Second)
			Expect(b.follower.Ready()).To(BeTrue(), "a confirmed peer stands in for the store")
			Expect(b.follower.Level()).To(Equal(config.LevelConfirmed))
		})
	})

	// revertsDuringStaleReads publishes during stale reads and lost watches, then restarts the follower or drops its proof, and
	// returns the reverts.
	revertsDuringStaleReads := func(ctx context.Context, restart bool, configure func(*config.Follower)) []string {
		c := newCluster(ctx, "a")
		c.loseWatches.Store(true)
		var unproved atomic.Bool
		c.configure = func(f *config.Follower) {
			proof := f.LastRenewal
			f.LastRenewal = func() (store.Revision, time.Time) {
				if unproved.Load() {
					return 0, time.Now()
				}
				return proof()
			}
			if configure != nil {
				configure(f)
			}
		}
		c.startAll()
		w := &revertWatcher{last: map[string]model.Revision{}}
		w.watchFor(c, 3*time.Second)
		operator := &config.Publisher{Store: c.client("operator")}
		c.mustPublish(operator, "first", 0, dataCentre(model.ServiceIn))
		c.mustPublish(operator, "second", 1, customer("clerks", 1))
		w.watchFor(c, 3*time.Second)
		c.kv.Set(fakekv.Faults{StaleReads: true})
		c.mustPublish(operator, "third", 2, customer("clerks", 2))
		w.watchFor(c, 3*time.Second)
		Expect(w.last["a"]).To(BeEquivalentTo(3))
		if restart {
			c.start("a")
		} else {
			unproved.Store(true)
		}
		w.watchFor(c, 3*time.Second)
		return w.reverts
	}

	// Guards against reverting to an older revision that a lagging store replica returns.
	It("takes no older revision from stale reads, while running and after a restart (P9)", func() {
		inVirtualTime(func(ctx context.Context) {
			Expect(revertsDuringStaleReads(ctx, true, nil)).To(BeEmpty())
			Expect(revertsDuringStaleReads(ctx, false, nil)).To(BeEmpty())
		})
	})

	// Shows that the spec above fails if a read need not be as new as a write of the same process.
	It("is seen to revert after a restart when reads are not tied to a write of its own (P9 off)", func() {
		inVirtualTime(func(ctx context.Context) {
			process := 0
			reverts := revertsDuringStaleReads(ctx, true, func(f *config.Follower) {
				if process++; process == 2 {
					f.LastRenewal = func() (store.Revision, time.Time) { return 0, time.Now() }
				}
			})
			Expect(reverts).To(ConsistOf("a went from 3 to 2"))
		})
	})

	// Shows that the same spec fails if revisions are not compared.
	It("is seen to revert while running when an older revision may replace a newer one (P9 off)", func() {
		inVirtualTime(func(ctx context.Context) {
			reverts := revertsDuringStaleReads(ctx, false, func(f *config.Follower) {
				f.MayReplace = func(current, offered model.Revision) bool { return offered != current }
			})
			Expect(reverts).To(ConsistOf("a went from 3 to 2"))
		})
	})

	// Guards against a revert by way of a peer.
	It("takes no revision from a peer that was confirmed before the restart, because the former process may have had a newer one", func() {
		inVirtualTime(func(ctx context.Context) {
			c := newCluster(ctx, "a", "b").startAll()
			time.Sleep(3 * time.Second)
			operator := &config.Publisher{Store: c.client("operator")}
			c.mustPublish(operator, "first", 0, dataCentre(model.ServiceIn))
			time.Sleep(3 * time.Second)
			w := &revertWatcher{last: map[string]model.Revision{}}
			c.net.Partition("a", kvHost, true)
			c.net.Partition("a", "b", true)
			c.mustPublish(operator, "second", 1, customer("clerks", 1))
			w.watchFor(c, 200*time.Millisecond)
			Expect(w.last).To(Equal(map[string]model.Revision{"a": 1, "b": 2}))

			c.loseWatches.Store(true)
			c.configure = func(f *config.Follower) { f.LastRenewal = nil }
			c.net.Partition("a", "b", false)
			b := c.start("b")
			w.watchFor(c, 600*time.Millisecond)
			Expect(c.instances["a"].follower.Level()).To(Equal(config.LevelConfirmed))
			Expect(b.follower.Ready()).To(BeFalse())
			c.net.Partition("a", kvHost, false)
			w.watchFor(c, 5*time.Second)
			Expect(b.follower.Ready()).To(BeTrue())
			Expect(w.reverts).To(BeEmpty())
		})
	})

	// Guards against subscribers that miss a revision or see revisions out of order.
	It("calls subscribers with each revision in order, and late ones with the current one first", func() {
		inVirtualTime(func(ctx context.Context) {
			c := newCluster(ctx, "a").startAll()
			time.Sleep(3 * time.Second)
			a := c.instances["a"]
			seen := make(chan model.Revision, 10)
			a.follower.Subscribe(func(set *model.Set) { seen <- set.Revision })
			for i := range 3 {
				c.mustPublish(a.publisher, fmt.Sprintf("change-%d", i), model.Revision(i), customer("clerks", i+1))
				time.Sleep(inEffectBound)
			}
			var order []model.Revision
			for len(seen) > 0 {
				order = append(order, <-seen)
			}
			Expect(order).To(Equal([]model.Revision{0, 1, 2, 3}))
		})
	})
})
