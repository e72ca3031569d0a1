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
