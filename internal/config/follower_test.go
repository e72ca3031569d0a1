package config_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Bounds from the design page.
const (
	inEffectBound = 2 * time.Second
	noStartBound  = 4 * time.Second
)

var _ = Describe("Follower", func() {
	It("has each accepted revision in effect everywhere within the bound, and fetches only changed segments", func() {
		virtual(func(ctx context.Context) {
			c := newCluster(ctx, "a", "b", "c").run()
			time.Sleep(3 * time.Second)
			p := c.instances["a"].publisher
			c.must(p, "first", 0, dataCentre(model.ServiceIn), customer("clerks", 1))
			time.Sleep(inEffectBound)
			reads := c.kv.Calls()["GET kv"]
			c.must(p, "second", 1, customer("clerks", 2))
			time.Sleep(inEffectBound)
			for id, i := range c.instances {
				Expect(i.follower.Current().Revision).To(BeEquivalentTo(2), id)
				Expect(i.follower.Level()).To(Equal(config.LevelConfirmed), id)
				Expect(i.follower.MayStartTask(dcName)).To(BeNil(), id)
			}
			// The publisher reads the head and the change record; each instance reads the head at most 1.5 times a second
			// and once more for the change, and one new segment. Reading both segments would take three reads more.
			Expect(c.kv.Calls()["GET kv"] - reads).To(BeNumerically("<=", 2+3*(3+1+1)))
		})
	})

	// takeOut takes a data centre out while instance b is cut off, and returns the latest start on b after the acceptance.
	takeOut := func(ctx context.Context, fromStore, fromPeers bool, alter func(*config.Follower)) (latest time.Duration, b *instance) {
		c := newCluster(ctx, "a", "b", "c")
		c.alter = alter
		c.run()
		time.Sleep(3 * time.Second)
		p := c.instances["a"].publisher
		c.must(p, "first", 0, dataCentre(model.ServiceIn))
		time.Sleep(3 * time.Second)
		b = c.instances["b"]
		Expect(b.follower.MayStartTask(dcName)).To(BeNil())
		c.net.Cut("b", kvHost, fromStore)
		c.net.Cut("b", "a", fromPeers)
		c.net.Cut("b", "c", fromPeers)
		c.must(p, "out", 1, dataCentre(model.ServiceOut))
		accepted := time.Now()
		for time.Since(accepted) < 20*time.Second {
			if b.follower.MayStartTask(dcName) == nil {
				latest = time.Since(accepted)
			}
			time.Sleep(10 * time.Millisecond)
		}
		return latest, b
	}

	DescribeTable("starts nothing in a data centre taken out, after the bound, on an instance that is cut off (P3)",
		func(fromStore, fromPeers bool, level config.Level) {
			virtual(func(ctx context.Context) {
				latest, b := takeOut(ctx, fromStore, fromPeers, nil)
				Expect(latest).To(BeNumerically("<=", noStartBound))
				Expect(b.follower.Level()).To(Equal(level))
				if level == config.LevelConfirmed {
					Expect(b.follower.Current().Revision).To(BeEquivalentTo(2))
				}
			})
		},
		Entry("from nobody", false, false, config.LevelConfirmed),
		Entry("from the store", true, false, config.LevelConfirmed),
		Entry("from its peers", false, true, config.LevelConfirmed),
		Entry("from both", true, true, config.LevelStale),
	)

	It("is seen to start tasks after the bound when confirmations never grow old (P3 off)", func() {
		virtual(func(ctx context.Context) {
			latest, _ := takeOut(ctx, true, true, func(f *config.Follower) { f.Fresh = func(time.Duration) bool { return true } })
			Expect(latest).To(BeNumerically(">", noStartBound))
		})
	})

	It("falls to agreed and then stale when the store is down, and sends only idempotent requests while agreed", func() {
		virtual(func(ctx context.Context) {
			c := newCluster(ctx, "a", "b", "c").run()
			time.Sleep(3 * time.Second)
			c.must(c.instances["a"].publisher, "first", 0, dataCentre(model.ServiceIn))
			time.Sleep(3 * time.Second)
			c.kv.Set(fakekv.Faults{Down: true})
			time.Sleep(4 * time.Second)
			a := c.instances["a"].follower
			Expect(a.Level()).To(Equal(config.LevelAgreed))
			Expect(a.MaySend(dcName, true)).To(BeNil())
			Expect(a.MaySend(dcName, false).Reason).To(Equal(reply.ReasonConfigStale))
			Expect(a.MayStartTask(dcName).Reason).To(Equal(reply.ReasonConfigStale))
			c.instances["b"].stop()
			c.instances["c"].stop()
			c.net.Cut("a", "b", true)
			c.net.Cut("a", "c", true)
			time.Sleep(4 * time.Second)
			Expect(a.Level()).To(Equal(config.LevelStale), "one of three members was heard")
			Expect(a.MaySend(dcName, true).Reason).To(Equal(reply.ReasonConfigStale))
		})
	})

	It("is not ready after a restart until a read is proved or a peer confirmed the head since, so that it cannot go back", func() {
		virtual(func(ctx context.Context) {
			c := newCluster(ctx, "a", "b").run()
			time.Sleep(3 * time.Second)
			c.must(c.instances["a"].publisher, "first", 0, dataCentre(model.ServiceIn))
			time.Sleep(3 * time.Second)
			c.kv.Set(fakekv.Faults{Down: true})
			b := c.start("b")
			time.Sleep(5 * time.Second)
			Expect(b.follower.Ready()).To(BeFalse())
			Expect(b.follower.Current()).To(BeNil())
			c.kv.Set(fakekv.Faults{})
			time.Sleep(3 * time.Second)
			Expect(b.follower.Ready()).To(BeTrue())

			// The new process of b lists the members and then loses the store.
			b = c.start("b")
			b.stop()
			c.alter = func(f *config.Follower) { f.Proof = nil }
			b = c.start("b")
			time.Sleep(5 * time.Second)
			Expect(b.follower.Ready()).To(BeTrue(), "a confirmed peer stands in for the store")
			Expect(b.follower.Level()).To(Equal(config.LevelConfirmed))
		})
	})

	// staleRestart publishes during stale reads and lost watches, restarts an instance and returns the reverts.
	staleRestart := func(ctx context.Context, alter func(*config.Follower)) []string {
		c := newCluster(ctx, "a")
		c.alter = alter
		c.loseWatches.Store(true)
		c.run()
		w := &watcher{last: map[string]model.Revision{}}
		w.during(c, 3*time.Second)
		c.must(c.instances["a"].publisher, "first", 0, dataCentre(model.ServiceIn))
		w.during(c, 3*time.Second)
		c.must(c.instances["a"].publisher, "second", 1, customer("clerks", 1))
		w.during(c, 3*time.Second)
		Expect(w.last["a"]).To(BeEquivalentTo(2))
		c.kv.Set(fakekv.Faults{StaleReads: true})
		c.must(&config.Publisher{Store: c.client("op"), Follower: c.instances["a"].follower}, "third", 2, customer("clerks", 2))
		w.during(c, 3*time.Second)
		c.start("a")
		w.during(c, 3*time.Second)
		return w.reverts
	}

	It("takes no older revision from stale reads, while running and after a restart (P9)", func() {
		virtual(func(ctx context.Context) { Expect(staleRestart(ctx, nil)).To(BeEmpty()) })
	})

	It("is seen to revert after a restart when reads are not tied to a write of its own (P9 off)", func() {
		virtual(func(ctx context.Context) {
			unproved := func() (store.Revision, time.Time) { return 0, time.Now() }
			reverts := staleRestart(ctx, func(f *config.Follower) { f.Proof = unproved })
			Expect(reverts).To(ConsistOf("a went from 3 to 2"))
		})
	})

	It("calls subscribers with each revision in order, and late ones with the current one first", func() {
		virtual(func(ctx context.Context) {
			c := newCluster(ctx, "a").run()
			time.Sleep(3 * time.Second)
			a := c.instances["a"]
			seen := make(chan model.Revision, 10)
			a.follower.Subscribe(func(set *model.Set) { seen <- set.Revision })
			for i := range 3 {
				c.must(a.publisher, fmt.Sprintf("change-%d", i), model.Revision(i), customer("clerks", i+1))
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
