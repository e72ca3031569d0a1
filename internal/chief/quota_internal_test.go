package chief

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Guards against a stage that loses its reserved workers, and the room that was stopped for it, as it waits for the part of its tenant's cap
// that it holds itself: a job that its tenant's part of the room kept from starting is planned twice in a pass.
func TestStageDoesNotWaitForItsOwnHold(t *testing.T) {
	g := NewWithT(t)
	p := pacedPlanner(2)
	p.config.Tenants = map[model.CustomerID]work.Tenant{"": {Cap: work.Resources{GPU: 16}}}
	p.quota = &quota.Pass{Tenants: p.config.Tenants, Ledger: &p.c.used}
	s := p.stageOf("fast", work.Step{Count: 2})
	for _, w := range p.workers {
		w.used = w.info.Capacity // What runs there is being stopped.
		w.available = work.Resources{}
	}
	s.reserved = p.workers
	for range 2 {
		p.stage(s)
		g.Expect(s.reserved).To(HaveLen(2))
		g.Expect(p.quota.Holds("")).To(BeTrue())
	}
	p.releaseCap(s)
	g.Expect(p.quota.Holds("")).To(BeFalse(), "the cap is held once")
}

// Guards against a tenant without a weight all of whose jobs come before those of others, however much they need together.
func TestDemandOfTenantsWithoutWeightCounts(t *testing.T) {
	g := NewWithT(t)
	p := pacedPlanner(4)
	p.config.Tenants = map[model.CustomerID]work.Tenant{"weighted": {Weight: 1}}
	p.quota = &quota.Pass{Tenants: p.config.Tenants, Ledger: &p.c.used, Room: work.Resources{CPU: 256_000, GPU: 32}}
	p.c.roomShort = true
	var jobs []*job
	for i, tenant := range []model.CustomerID{"unweighted", "unweighted", "weighted"} {
		j := p.stageOf("slow", work.Step{Count: 3}).job
		j.spec.Tenant, j.deadline = tenant, p.now.Add(time.Hour+time.Duration(i)*time.Second)
		jobs = append(jobs, j)
	}
	p.c.liveJobs = jobs
	g.Expect(p.rankJobs()).To(Equal([]*job{jobs[0], jobs[2], jobs[1]}))
}

// cappedStage returns a stage of one task, of a tenant that may have two running, that has had nothing running for some time.
func cappedStage(stalled time.Duration) (*planner, *stage) {
	p := pacedPlanner(4)
	p.config.Tenants = map[model.CustomerID]work.Tenant{"": {Cap: work.Resources{GPU: 16}}}
	p.quota = &quota.Pass{Tenants: p.config.Tenants, Ledger: &p.c.used, Room: work.Resources{CPU: 256_000, GPU: 32}}
	p.spare = map[work.PoolName]model.Accelerators{"pool": 32}
	p.c.rates = map[model.CustomerID]*quota.Rate{}
	s := p.stageOf("slow", work.Step{Count: 1})
	s.job.due = p.now.Add(-stalled)
	return p, s
}

// Guards against a job that stands beside free workers, with its tenant under half of its cap, for what another job of the tenant holds; and
// against holds that keep nothing.
func TestStalledJobStartsBesideHeldCap(t *testing.T) {
	for stalled, starts := range map[time.Duration]bool{time.Second: false, 3 * time.Second: true} {
		g := NewWithT(t)
		p, s := cappedStage(stalled)
		wide := p.stageOf("slow", work.Step{Count: 2, Gang: true})
		p.holdCap(wide, p.request(wide, 2))
		p.stage(s)
		g.Expect(s.tasks[0].activeRun != nil).To(Equal(starts), "after %v", stalled)
	}
}

// Guards against a job that counts as standing beside free workers while its tenant uses half of its cap.
func TestWaitAtTheCapIsExcused(t *testing.T) {
	g := NewWithT(t)
	p, s := cappedStage(3 * time.Second)
	p.c.used.Add("", work.Resources{GPU: 16})
	p.stage(s)
	g.Expect(s.tasks[0].activeRun).To(BeNil())
	g.Expect(s.stalledSince()).To(Equal(p.now))
}

// Guards against one job that takes, in one pass, more than its tenant's part of the room before other tenants had theirs.
func TestPartsOfTheRoomLimitStarts(t *testing.T) {
	g := NewWithT(t)
	p, s := cappedStage(time.Second)
	p.config.Tenants = map[model.CustomerID]work.Tenant{"": {Weight: 1}, "other": {Weight: 7}}
	p.quota.Tenants, p.c.roomShort = p.config.Tenants, true
	other := p.stageOf("slow", work.Step{Count: 1})
	other.job.spec.Tenant = "other"
	p.c.liveJobs = []*job{s.job, other.job}
	p.rankJobs()
	p.stage(s)
	g.Expect(s.tasks[0].activeRun).To(BeNil(), "a task takes a quarter of the room, and the tenant's part is an eighth")
	g.Expect(p.deferred).To(ConsistOf(s.job))
	p.planDeferred()
	g.Expect(s.tasks[0].activeRun).NotTo(BeNil(), "what others leave is for all")
}

// Guards against a flood of jobs that ranks among those that the platform owes something for.
func TestJobsBeyondTheRateAreMarked(t *testing.T) {
	g := NewWithT(t)
	p, _ := cappedStage(time.Second)
	p.config.Tenants[""] = work.Tenant{Weight: 1}
	var beyond []bool
	for range 6 {
		beyond = append(beyond, p.stageOf("slow", work.Step{Count: 1}).job.beyondRate)
	}
	g.Expect(beyond).To(Equal([]bool{false, false, false, false, false, true}), "a weight of 1 is 5 jobs in 5 s")
}
