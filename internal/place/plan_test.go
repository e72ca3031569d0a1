package place_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

var _ = Describe("Plan", func() {
	// Guards against small jobs that open whole racks while partly used ones have room.
	It("puts small jobs on the fullest worker of the fullest rack", func() {
		c := cluster(county(3, 6), place.Options{})
		first := put(c, job("1", "a", "firm", "quad"))
		second := put(c, job("2", "b", "firm", "one"))
		Expect(second.Slots[0].Worker).To(Equal(first.Slots[0].Worker))
		Expect(put(c, job("3", "b", "firm", "rack")).Slots[0].Rack).NotTo(Equal(first.Slots[0].Rack))
	})

	// Guards against shapes that are placed by their count and not by their adjacency.
	DescribeTable("keeps the adjacency", func(shape model.ShapeID, racks int) {
		plan := put(cluster(county(2, 6), place.Options{}), job("1", "a", "firm", shape))
		Expect(racksOf(plan)).To(HaveLen(racks))
	},
		Entry("worker", model.ShapeID("worker"), 1), Entry("rack", model.ShapeID("rack"), 1),
		Entry("any, larger than a rack", model.ShapeID("wide"), 2), Entry("tasks without accelerators", model.ShapeID("cores"), 1),
	)

	// Guards against work that cannot be stopped on capacity that a guarantee must get back (P1); without the rule the
	// same schedule leaves the guaranteed shape without a place.
	DescribeTable("lends bound capacity only to work that can be stopped", func(options place.Options, class model.JobClassID, lent, reclaimed bool) {
		set := county(1, 6)
		guarantee(set, "g", "a", "rack", 1)
		c := cluster(set, options)
		plan, blocked := c.Plan(job("guest", "b", class, "half"))
		Expect(blocked == nil).To(Equal(lent))
		if lent {
			c.Add(job("guest", "b", class, "half"), plan)
		}
		owners, blocked := c.Plan(job("owner", "a", "firm", "rack"))
		Expect(blocked == nil).To(Equal(reclaimed))
		if reclaimed && lent {
			Expect(owners.Preempt).To(Equal([]model.JobID{"guest"}))
		}
	},
		Entry("checkpointable work", place.Options{}, model.JobClassID("soft"), true, true),
		Entry("work that must not be repeated", place.Options{}, model.JobClassID("firm"), false, true),
		Entry("strict partition", place.Options{NoLending: true}, model.JobClassID("soft"), false, true),
		Entry("rule switched off: the promise is broken", place.Options{LendToAll: true}, model.JobClassID("firm"), true, false),
	)

	// Guards against preempting more, older or more important work than needed.
	It("preempts background before normal work, youngest first, and no more than needed", func() {
		set := county(1, 6)
		c := cluster(set, place.Options{})
		put(c, job("old-back", "b", "back", "worker"))
		put(c, job("normal", "b", "soft", "worker"))
		put(c, job("young-back", "b", "back", "worker"))
		put(c, job("firm", "b", "firm", "half"))
		plan, blocked := c.Plan(job("u1", "c", "urgent-firm", "worker"))
		Expect(blocked).To(BeNil())
		Expect(plan.Preempt).To(Equal([]model.JobID{"young-back"}))
		c.Add(job("u1", "c", "urgent-firm", "worker"), plan)
		c.Stopping("young-back")
		second, blocked := c.Plan(job("u2", "c", "urgent-firm", "worker"))
		Expect(blocked).To(BeNil())
		Expect(second.Preempt).To(Equal([]model.JobID{"old-back"}), "the accelerators of young-back are promised already")
	})

	// Guards against urgent work that takes another customer's guaranteed job.
	It("never preempts a job inside its own customer's guarantee", func() {
		set := county(1, 6)
		guarantee(set, "g", "a", "rack", 1)
		c := cluster(set, place.Options{})
		Expect(put(c, job("mine", "a", "back", "rack")).Guarantee).To(BeEquivalentTo("g"))
		_, blocked := c.Plan(job("u", "b", "urgent", "worker"))
		Expect(blocked).NotTo(BeNil())
		Expect(blocked.Reason).To(Equal(place.BlockNoCapacity))
	})

	// Guards against preemption where free capacity elsewhere serves the guarantee as well.
	It("moves a binding to free capacity instead of preempting", func() {
		set := county(2, 6)
		guarantee(set, "g", "a", "rack", 1)
		c := cluster(set, place.Options{})
		put(c, job("guest1", "b", "soft", "rack"))
		put(c, job("guest2", "b", "soft", "rack"))
		c.Remove("guest1")
		plan := put(c, job("owner", "a", "firm", "rack"))
		Expect(plan.Preempt).To(BeEmpty())
		Expect(c.Unbound()).To(BeEmpty())
	})

	// Guards against a large job that waits forever because small ones always come first.
	It("holds a rack for a large job and lets only stoppable work use it", func() {
		c := cluster(county(1, 6), place.Options{})
		put(c, job("firm", "b", "firm", "half"))
		large := job("large", "a", "firm", "rack")
		_, blocked := c.Plan(large)
		Expect(blocked).NotTo(BeNil())
		Expect(c.Hold(large)).To(BeTrue())
		_, blocked = c.Plan(job("small", "b", "firm", "one"))
		Expect(blocked).NotTo(BeNil())
		Expect(blocked.Reason).To(Equal(place.BlockHeld))
		Expect(put(c, job("fill", "b", "soft", "one")).Backfill).To(BeTrue())
		c.Remove("firm")
		plan := put(c, large)
		Expect(plan.Preempt).To(Equal([]model.JobID{"fill"}))
		holder, _ := c.Holder()
		Expect(holder).To(BeEmpty(), "the hold ends when the job is placed")
	})

	// Guards against a hold that blocks a data centre for good, because its racks lost the room for the job that holds them.
	It("shows that a hold does not fit any more when its rack loses workers", func() {
		set := county(1, 6)
		c := cluster(set, place.Options{})
		put(c, job("firm", "b", "firm", "half"))
		large := job("large", "a", "firm", "rack")
		Expect(c.Hold(large)).To(BeTrue())
		Expect(c.HoldFits(large)).To(BeTrue())
		workers := place.Declared(set, "dc")
		workers[0].State = place.WorkerClosed
		c.SetWorkers(workers)
		Expect(c.HoldFits(large)).To(BeFalse())
	})

	// Guards against work that waits for ever in a data centre whose free part can never take it.
	DescribeTable("counts bound racks only for work that may use them", func(customer model.CustomerID, class model.JobClassID, want bool) {
		set := county(1, 6)
		guarantee(set, "g", "a", "rack", 1)
		Expect(place.FitsJob(set, "dc", job("j", customer, class, "rack"))).To(Equal(want))
	},
		Entry("another customer's work that can be stopped", model.CustomerID("b"), model.JobClassID("soft"), true),
		Entry("another customer's work that cannot be stopped", model.CustomerID("b"), model.JobClassID("firm"), false),
		Entry("the customer's own work", model.CustomerID("a"), model.JobClassID("firm"), true),
	)

	// Guards against reasons that do not tell an operator what to change.
	DescribeTable("explains why a job is blocked", func(prepare func(*model.Set, *place.Cluster), class model.JobClassID, shape model.ShapeID, want place.BlockReason) {
		set := county(2, 6)
		guarantee(set, "g", "a", "rack", 1)
		set.Customers["c"] = model.Customer{QuotaAccelerators: 48}
		c := cluster(set, place.Options{})
		prepare(set, c)
		_, blocked := c.Plan(job("x", "c", class, shape))
		Expect(blocked).NotTo(BeNil())
		Expect(blocked.Reason).To(Equal(want))
		Expect(blocked.Inputs).NotTo(BeEmpty())
	},
		Entry("quota", func(_ *model.Set, c *place.Cluster) { put(c, job("1", "c", "firm", "worker")) },
			model.JobClassID("firm"), model.ShapeID("rack"), place.BlockQuota),
		Entry("bound", func(_ *model.Set, c *place.Cluster) { put(c, job("1", "b", "firm", "rack")) },
			model.JobClassID("firm"), model.ShapeID("one"), place.BlockBound),
		Entry("fragmented", func(_ *model.Set, c *place.Cluster) {
			for i := range 6 {
				put(c, job(fmt.Sprint(i), "b", "firm", "quad"))
			}
		}, model.JobClassID("firm"), model.ShapeID("rack"), place.BlockBound),
		Entry("unknown", func(_ *model.Set, _ *place.Cluster) {}, model.JobClassID("firm"), model.ShapeID("none"), place.BlockUnknown),
	)

	// Guards against work on workers that fail everything, and against a worker that never comes back.
	It("leaves closed workers out and sends one stoppable job to a worker on probe", func() {
		set := county(1, 2)
		workers := place.Declared(set, "dc")
		workers[0].State = place.WorkerClosed
		c := place.NewCluster(set, "dc")
		c.SetWorkers(workers)
		put(c, job("1", "a", "firm", "worker"))
		_, blocked := c.Plan(job("2", "a", "firm", "worker"))
		Expect(blocked).NotTo(BeNil())
		workers[0].State = place.WorkerProbe
		c.SetWorkers(workers)
		_, blocked = c.Plan(job("2", "a", "firm", "worker"))
		Expect(blocked).NotTo(BeNil(), "work that cannot be stopped does not probe")
		Expect(put(c, job("3", "a", "soft", "one")).Slots[0].Worker).To(Equal(workers[0].ID))
		_, blocked = c.Plan(job("4", "a", "soft", "one"))
		Expect(blocked).NotTo(BeNil(), "one job probes at a time")
	})
})

var _ = Describe("Bindings", func() {
	// Guards against a publication that promises more than the racks hold together.
	It("are checked together at publication", func() {
		set := county(2, 6)
		guarantee(set, "g1", "a", "rack", 1)
		guarantee(set, "g2", "b", "twelve", 1)
		Expect(place.Check(set)).To(BeEmpty())
		guarantee(set, "g3", "c", "one", 1)
		Expect(place.Check(set)).To(HaveLen(1))
		Expect(place.Check(set)[0].Name).To(Equal("g3"))
		delete(set.Guarantees, "g3")
		set.Customers["a"] = model.Customer{QuotaAccelerators: 8}
		Expect(place.Check(set)).To(HaveLen(1))
		Expect(place.Check(set)[0].Kind).To(Equal(model.KindCustomer))
	})

	// Guards against guarantees that stay on failed workers, or that move when another worker fails.
	It("are made again when workers fail and return, and keep what they can", func() {
		set := county(2, 6)
		guarantee(set, "g", "a", "half", 3)
		c := cluster(set, place.Options{})
		Expect(c.Unbound()).To(BeEmpty())
		workers := place.Declared(set, "dc")
		for i := range 4 {
			workers[i].State = place.WorkerClosed
		}
		c.SetWorkers(workers)
		Expect(c.Unbound()).To(HaveLen(1))
		for i := range 4 {
			workers[i].State = place.WorkerUsable
		}
		c.SetWorkers(workers)
		Expect(c.Unbound()).To(BeEmpty())
	})

	// Guards against a new owner that binds a guarantee away from where its customer's job runs.
	It("follow the jobs that run when the state is rebuilt", func() {
		set := county(3, 6)
		guarantee(set, "g", "a", "rack", 2)
		c := cluster(set, place.Options{})
		mine := job("mine", "a", "firm", "rack")
		plan := put(c, mine)
		guest := job("guest", "b", "soft", "rack")
		lent := put(c, guest)
		again := place.NewCluster(set, "dc")
		again.Restore(place.Declared(set, "dc"), []place.Running{
			{Job: mine, Slots: plan.Slots}, {Job: guest, Slots: lent.Slots, Lent: lent.Lent},
		})
		Expect(again.Unbound()).To(BeEmpty())
		second, blocked := again.Plan(job("second", "a", "firm", "rack"))
		Expect(blocked).To(BeNil())
		Expect(second.Guarantee).To(BeEquivalentTo("g"))
		_, blocked = again.Plan(job("third", "a", "firm", "rack"))
		Expect(blocked == nil).To(BeTrue(), "one rack is not bound")
	})
})

var _ = Describe("Fragmentation", func() {
	// Guards against a measure that counts accelerators and not shapes.
	It("is the share of free accelerators that the largest shape cannot use", func() {
		c := cluster(county(2, 6), place.Options{})
		Expect(c.Fragmentation([]model.ShapeID{"rack"})).To(BeZero())
		put(c, job("1", "a", "firm", "one"))
		Expect(c.Fragmentation([]model.ShapeID{"rack", "one"})).To(BeNumerically("~", 47.0/95, 1e-9))
		Expect(c.Fragmentation([]model.ShapeID{"one"})).To(BeZero())
	})
})
