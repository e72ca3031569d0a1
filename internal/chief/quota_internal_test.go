package chief

import (
	"testing"

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
