package place_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

var _ = Describe("Plan", func() {
	// Guards against small jobs that take unused racks while partly used ones have enough capacity.
	It("puts small jobs on the fullest worker of the fullest rack", func() {
		c := cluster(newConfig(3, 6), place.Options{})
		first := mustPlace(c, newJob("1", "a", "firm", "quad"))
		second := mustPlace(c, newJob("2", "b", "firm", "one"))
		Expect(second.Slots[0].Worker).To(Equal(first.Slots[0].Worker))
		Expect(mustPlace(c, newJob("3", "b", "firm", "rack")).Slots[0].Rack).NotTo(Equal(first.Slots[0].Rack))
	})

	// Guards against shapes that are placed without regard to their adjacency.
	DescribeTable("keeps the adjacency", func(shape model.ShapeID, racks int) {
		plan := mustPlace(cluster(newConfig(2, 6), place.Options{}), newJob("1", "a", "firm", shape))
		Expect(tasksByRack(plan)).To(HaveLen(racks))
	},
		Entry("worker", model.ShapeID("worker"), 1), Entry("rack", model.ShapeID("rack"), 1),
		Entry("any, larger than a rack", model.ShapeID("wide"), 2), Entry("tasks without accelerators", model.ShapeID("cores"), 1),
	)

	// Guards against unstoppable jobs on capacity that a guarantee must be able to reclaim (P1); without the rule the
	// guaranteed job is blocked in the same schedule.
	DescribeTable("lends bound capacity only to work that can be stopped", func(options place.Options, class model.JobClassID, lent, reclaimed bool) {
		config := newConfig(1, 6)
		addGuarantee(config, "g", "a", "rack", 1)
		c := cluster(config, options)
		plan, blocked := c.Plan(newJob("guest", "b", class, "half"))
		Expect(blocked == nil).To(Equal(lent))
		if lent {
			c.Add(newJob("guest", "b", class, "half"), plan)
		}
		owners, blocked := c.Plan(newJob("owner", "a", "firm", "rack"))
		Expect(blocked == nil).To(Equal(reclaimed))
		if reclaimed && lent {
			Expect(owners.Preempt).To(Equal([]model.JobID{"guest"}))
		}
	},
		Entry("checkpointable work", place.Options{}, model.JobClassID("soft"), true, true),
		Entry("work that must not be repeated", place.Options{}, model.JobClassID("firm"), false, true),
		Entry("strict partition", place.Options{NoLending: true}, model.JobClassID("soft"), false, true),
		Entry("rule switched off: the promise is broken", place.Options{LendToUnstoppable: true}, model.JobClassID("firm"), true, false),
	)

	// Guards against preempting more jobs, older jobs or jobs of higher priority than needed.
	It("preempts background before normal work, youngest first, and no more than needed", func() {
		config := newConfig(1, 6)
		c := cluster(config, place.Options{})
		mustPlace(c, newJob("old-back", "b", "back", "worker"))
		mustPlace(c, newJob("normal", "b", "soft", "worker"))
		mustPlace(c, newJob("young-back", "b", "back", "worker"))
		mustPlace(c, newJob("firm", "b", "firm", "half"))
		plan, blocked := c.Plan(newJob("u1", "c", "urgent-firm", "worker"))
		Expect(blocked).To(BeNil())
		Expect(plan.Preempt).To(Equal([]model.JobID{"young-back"}))
		c.Add(newJob("u1", "c", "urgent-firm", "worker"), plan)
		c.MarkStopping("young-back")
		second, blocked := c.Plan(newJob("u2", "c", "urgent-firm", "worker"))
		Expect(blocked).To(BeNil())
		Expect(second.Preempt).To(Equal([]model.JobID{"old-back"}), "the accelerators of young-back are already planned for u1")
	})

	// Guards against urgent jobs that preempt another customer's guaranteed job.
	It("never preempts a job inside its own customer's guarantee", func() {
		config := newConfig(1, 6)
		addGuarantee(config, "g", "a", "rack", 1)
		c := cluster(config, place.Options{})
		Expect(mustPlace(c, newJob("mine", "a", "back", "rack")).Guarantee).To(BeEquivalentTo("g"))
		_, blocked := c.Plan(newJob("u", "b", "urgent", "worker"))
		Expect(blocked).NotTo(BeNil())
		Expect(blocked.Reason).To(Equal(place.BlockNoCapacity))
	})

	// Guards against preemption for a guarantee where free capacity elsewhere fits it.
	It("moves a binding to free capacity instead of preempting", func() {
		config := newConfig(2, 6)
		addGuarantee(config, "g", "a", "rack", 1)
		c := cluster(config, place.Options{})
		mustPlace(c, newJob("guest1", "b", "soft", "rack"))
		mustPlace(c, newJob("guest2", "b", "soft", "rack"))
		c.Remove("guest1")
		plan := mustPlace(c, newJob("owner", "a", "firm", "rack"))
		Expect(plan.Preempt).To(BeEmpty())
		Expect(c.Unbound()).To(BeEmpty())
	})

	// Guards against starvation of a large job by small jobs that always fit first.
	It("holds a rack for a large job and lets only stoppable work use it", func() {
		c := cluster(newConfig(1, 6), place.Options{})
		mustPlace(c, newJob("firm", "b", "firm", "half"))
		large := newJob("large", "a", "firm", "rack")
		_, blocked := c.Plan(large)
		Expect(blocked).NotTo(BeNil())
		Expect(c.HoldRacks(large)).To(BeTrue())
		_, blocked = c.Plan(newJob("small", "b", "firm", "one"))
		Expect(blocked).NotTo(BeNil())
		Expect(blocked.Reason).To(Equal(place.BlockHeld))
		Expect(mustPlace(c, newJob("fill", "b", "soft", "one")).Backfill).To(BeTrue())
		c.Remove("firm")
		plan := mustPlace(c, large)
		Expect(plan.Preempt).To(Equal([]model.JobID{"fill"}))
		holder, _ := c.HoldingJob()
		Expect(holder).To(BeEmpty(), "the hold ends when the job is placed")
	})

	// Guards against a hold that never ends because the held racks no longer fit the job that holds them.
	It("shows that a hold does not fit any more when its rack loses workers", func() {
		config := newConfig(1, 6)
		c := cluster(config, place.Options{})
		mustPlace(c, newJob("firm", "b", "firm", "half"))
		large := newJob("large", "a", "firm", "rack")
		Expect(c.HoldRacks(large)).To(BeTrue())
		Expect(c.HoldFits(large)).To(BeTrue())
		workers := place.DeclaredWorkers(config, "dc")
		workers[0].State = place.WorkerClosed
		c.SetWorkers(workers)
		Expect(c.HoldFits(large)).To(BeFalse())
	})

	// Guards against jobs that wait for ever in a data centre whose unbound capacity can never fit them.
	DescribeTable("counts bound racks only for work that may use them", func(customer model.CustomerID, class model.JobClassID, want bool) {
		config := newConfig(1, 6)
		addGuarantee(config, "g", "a", "rack", 1)
		Expect(place.FitsJob(config, "dc", newJob("j", customer, class, "rack"))).To(Equal(want))
	},
		Entry("another customer's work that can be stopped", model.CustomerID("b"), model.JobClassID("soft"), true),
		Entry("another customer's work that cannot be stopped", model.CustomerID("b"), model.JobClassID("firm"), false),
		Entry("the customer's own work", model.CustomerID("a"), model.JobClassID("firm"), true),
	)

	// Guards against block reasons that do not match the cause.
	DescribeTable("explains why a job is blocked", func(prepare func(*model.Set, *place.Cluster), class model.JobClassID, shape model.ShapeID, want place.BlockReason) {
		config := newConfig(2, 6)
		addGuarantee(config, "g", "a", "rack", 1)
		config.Customers["c"] = model.Customer{QuotaAccelerators: 48}
		c := cluster(config, place.Options{})
		prepare(config, c)
		_, blocked := c.Plan(newJob("x", "c", class, shape))
		Expect(blocked).NotTo(BeNil())
		Expect(blocked.Reason).To(Equal(want))
		Expect(blocked.Inputs).NotTo(BeEmpty())
	},
		Entry("quota", func(_ *model.Set, c *place.Cluster) { mustPlace(c, newJob("1", "c", "firm", "worker")) },
			model.JobClassID("firm"), model.ShapeID("rack"), place.BlockQuota),
		Entry("bound", func(_ *model.Set, c *place.Cluster) { mustPlace(c, newJob("1", "b", "firm", "rack")) },
			model.JobClassID("firm"), model.ShapeID("one"), place.BlockBound),
		Entry("fragmented", func(_ *model.Set, c *place.Cluster) {
			for i := range 6 {
				mustPlace(c, newJob(fmt.Sprint(i), "b", "firm", "quad"))
			}
		}, model.JobClassID("firm"), model.ShapeID("rack"), place.BlockBound),
		Entry("unknown", func(_ *model.Set, _ *place.Cluster) {}, model.JobClassID("firm"), model.ShapeID("none"), place.BlockUnknown),
	)

	// Guards against jobs on quarantined workers, and against a quarantined worker that never returns to use.
	It("leaves closed workers out and sends one stoppable job to a worker on probe", func() {
		config := newConfig(1, 2)
		workers := place.DeclaredWorkers(config, "dc")
		workers[0].State = place.WorkerClosed
		c := place.NewCluster(config, "dc")
		c.SetWorkers(workers)
		mustPlace(c, newJob("1", "a", "firm", "worker"))
		_, blocked := c.Plan(newJob("2", "a", "firm", "worker"))
		Expect(blocked).NotTo(BeNil())
		workers[0].State = place.WorkerProbe
		c.SetWorkers(workers)
		_, blocked = c.Plan(newJob("2", "a", "firm", "worker"))
		Expect(blocked).NotTo(BeNil(), "unstoppable jobs are not placed on a worker on probe")
		Expect(mustPlace(c, newJob("3", "a", "soft", "one")).Slots[0].Worker).To(Equal(workers[0].ID))
		_, blocked = c.Plan(newJob("4", "a", "soft", "one"))
		Expect(blocked).NotTo(BeNil(), "a worker on probe takes one job at a time")
	})
})

var _ = Describe("Bindings", func() {
	// Guards against publishing guarantees that exceed the capacity of the racks together.
	It("are checked together at publication", func() {
		config := newConfig(2, 6)
		addGuarantee(config, "g1", "a", "rack", 1)
		addGuarantee(config, "g2", "b", "twelve", 1)
		Expect(place.Check(config)).To(BeEmpty())
		addGuarantee(config, "g3", "c", "one", 1)
		Expect(place.Check(config)).To(HaveLen(1))
		Expect(place.Check(config)[0].Name).To(Equal("g3"))
		delete(config.Guarantees, "g3")
		config.Customers["a"] = model.Customer{QuotaAccelerators: 8}
		Expect(place.Check(config)).To(HaveLen(1))
		Expect(place.Check(config)[0].Kind).To(Equal(model.KindCustomer))
	})

	// Guards against guarantees that stay on failed workers, and against other guarantees that lose their binding with them.
	It("are made again when workers fail and return, and keep what they can", func() {
		config := newConfig(2, 6)
		addGuarantee(config, "g", "a", "half", 3)
		c := cluster(config, place.Options{})
		Expect(c.Unbound()).To(BeEmpty())
		workers := place.DeclaredWorkers(config, "dc")
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

	// Guards against a new owner that binds a guarantee to other slots than those of its customer's running job.
	It("follow the jobs that run when the state is rebuilt", func() {
		config := newConfig(3, 6)
		addGuarantee(config, "g", "a", "rack", 2)
		c := cluster(config, place.Options{})
		mine := newJob("mine", "a", "firm", "rack")
		plan := mustPlace(c, mine)
		guest := newJob("guest", "b", "soft", "rack")
		lent := mustPlace(c, guest)
		again := place.NewCluster(config, "dc")
		again.Restore(place.DeclaredWorkers(config, "dc"), []place.Running{
			{Job: mine, Slots: plan.Slots}, {Job: guest, Slots: lent.Slots, Lent: lent.Lent},
		})
		Expect(again.Unbound()).To(BeEmpty())
		second, blocked := again.Plan(newJob("second", "a", "firm", "rack"))
		Expect(blocked).To(BeNil())
		Expect(second.Guarantee).To(BeEquivalentTo("g"))
		_, blocked = again.Plan(newJob("third", "a", "firm", "rack"))
		Expect(blocked == nil).To(BeTrue(), "one rack is not bound")
	})
})

var _ = Describe("Fragmentation", func() {
	// Guards against a figure that counts free accelerators without regard to the shapes that fit.
	It("is the share of free accelerators that the largest shape cannot use", func() {
		c := cluster(newConfig(2, 6), place.Options{})
		Expect(c.Fragmentation([]model.ShapeID{"rack"})).To(BeZero())
		mustPlace(c, newJob("1", "a", "firm", "one"))
		Expect(c.Fragmentation([]model.ShapeID{"rack", "one"})).To(BeNumerically("~", 47.0/95, 1e-9))
		Expect(c.Fragmentation([]model.ShapeID{"one"})).To(BeZero())
	})
})
