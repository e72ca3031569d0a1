package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// newPass returns a pass over a room of 100 accelerators, with tenants and what they use.
func newPass(used map[model.CustomerID]work.Resources, tenants ...work.Tenant) *quota.Pass {
	p := &quota.Pass{Tenants: map[model.CustomerID]work.Tenant{}, Ledger: &quota.Ledger{}, Room: work.Resources{CPU: 100_000, Memory: 100_000, GPU: 100}}
	for _, tenant := range tenants {
		p.Tenants[tenant.Name] = tenant
	}
	for id, amount := range used {
		p.Ledger.Add(id, amount)
	}
	return p
}

// Guards against a start that brings a tenant above its cap, and against a task that waits for a cap that it can never fit into.
func TestAdmit(t *testing.T) {
	limit := work.Resources{CPU: 10_000, GPU: 10}
	for _, c := range []struct {
		name  string
		cap   work.Resources
		used  work.Resources
		need  work.Resources
		tasks int
		held  int // tasks of the same need
		want  view.Reason
	}{
		{"no cap", work.Resources{}, work.Resources{GPU: 90}, work.Resources{GPU: 8}, 4, 0, ""},
		{"fits exactly", limit, work.Resources{CPU: 9000, GPU: 8}, work.Resources{CPU: 1000, GPU: 2}, 1, 0, ""},
		{"one resource does not fit", limit, work.Resources{CPU: 9500, GPU: 1}, work.Resources{CPU: 1000, GPU: 1}, 1, 0, quota.ReasonCap},
		{"memory has no limit", limit, work.Resources{Memory: 90_000}, work.Resources{Memory: 9000}, 1, 0, ""},
		{"task wider than the cap, under half", limit, work.Resources{GPU: 4}, work.Resources{GPU: 12}, 1, 0, ""},
		{"task wider than the cap, half used", limit, work.Resources{GPU: 5}, work.Resources{GPU: 12}, 1, 0, quota.ReasonCap},
		{"gang one task wider than the cap, nothing used", limit, work.Resources{}, work.Resources{GPU: 4}, 3, 0, ""},
		{"gang one task wider than the cap, some used", limit, work.Resources{GPU: 3}, work.Resources{GPU: 4}, 3, 0, quota.ReasonCap},
		{"gang wider than the cap", limit, work.Resources{}, work.Resources{GPU: 4}, 4, 0, quota.ReasonTooWide},
		{"the rest of the cap is held", limit, work.Resources{GPU: 6}, work.Resources{GPU: 2}, 1, 2, quota.ReasonHeld},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPass(map[model.CustomerID]work.Resources{"a": c.used}, work.Tenant{Name: "a", Cap: c.cap})
			if c.held > 0 {
				p.Hold(quota.Request{Tenant: "a", Need: c.need, Tasks: c.held})
			}
			NewWithT(t).Expect(p.Admit(quota.Request{Tenant: "a", Need: c.need, Tasks: c.tasks})).To(Equal(c.want))
		})
	}
}

// Guards against a successor that counts only the runs that it has seen.
func TestUnseenRunsCount(t *testing.T) {
	g := NewWithT(t)
	p := newPass(map[model.CustomerID]work.Resources{"a": {GPU: 4}}, work.Tenant{Name: "a", Cap: work.Resources{GPU: 10}})
	one := quota.Request{Tenant: "a", Need: work.Resources{GPU: 2}, Tasks: 1}
	g.Expect(p.Admit(one)).To(BeEmpty())
	p.AddUnseen("a", work.Resources{GPU: 6})
	g.Expect(p.Admit(one)).To(Equal(quota.ReasonCap))
	p.Rules.Unseen = func(work.Resources) work.Resources { return work.Resources{} }
	off := newPass(map[model.CustomerID]work.Resources{"a": {GPU: 4}}, work.Tenant{Name: "a", Cap: work.Resources{GPU: 10}})
	off.Rules = p.Rules
	off.AddUnseen("a", work.Resources{GPU: 6})
	g.Expect(off.Admit(one)).To(BeEmpty(), "without the count it would start")
}

// Guards against an order in which the largest tenant takes all, and against one that puts weights before priorities or guarantees.
func TestRank(t *testing.T) {
	a, b := work.Tenant{Name: "a", Weight: 1}, work.Tenant{Name: "b", Weight: 1}
	used := map[model.CustomerID]work.Resources{"a": {GPU: 60}, "b": {GPU: 10}}
	for _, c := range []struct {
		name  string
		jobs  []quota.Job
		short bool
		want  []int
	}{
		{"deadline", []quota.Job{{Tenant: "b", Priority: 1, Deadline: 2}, {Tenant: "a", Priority: 1, Deadline: 1}}, false, []int{1, 0}},
		{"room is short", []quota.Job{{Tenant: "a", Priority: 1, Deadline: 1}, {Tenant: "b", Priority: 1, Deadline: 2}}, true, []int{1, 0}},
		{
			"demand of the jobs before", []quota.Job{
				{Tenant: "b", Priority: 1, Deadline: 1, Demand: work.Resources{GPU: 90}}, {Tenant: "b", Priority: 1, Deadline: 2}, {Tenant: "a", Priority: 1, Deadline: 3},
			}, true, []int{0, 2, 1},
		},
		{"priority first", []quota.Job{{Tenant: "b", Priority: 2}, {Tenant: "a", Priority: 1}}, true, []int{1, 0}},
		{"guarantee first", []quota.Job{{Tenant: "b", Lent: true}, {Tenant: "a"}}, true, []int{1, 0}},
		{"late last", []quota.Job{{Tenant: "b", Late: true}, {Tenant: "a"}}, true, []int{1, 0}},
		{"beyond its rate", []quota.Job{{Tenant: "b", Excess: true}, {Tenant: "a", Deadline: 1}}, true, []int{1, 0}},
		{"beyond its rate while there is room", []quota.Job{{Tenant: "b", Excess: true}, {Tenant: "a", Deadline: 1}}, false, []int{0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(newPass(used, a, b).Rank(c.jobs, c.short)).To(Equal(c.want))
		})
	}
	t.Run("no weights", func(t *testing.T) {
		jobs := []quota.Job{{Tenant: "a", Deadline: 1}, {Tenant: "b", Deadline: 2}}
		NewWithT(t).Expect(newPass(used).Rank(jobs, true)).To(Equal([]int{0, 1}), "as before there were weights")
	})
}

// Guards against a burst within the rate that counts as beyond it, and against a flood that does not.
func TestRate(t *testing.T) {
	g := NewWithT(t)
	var r quota.Rate
	beyond := 0
	for i := range 40 {
		if r.Exceeded(time.Second+time.Duration(i)*time.Millisecond, 4) {
			beyond++
		}
	}
	g.Expect(beyond).To(Equal(20), "of 40 jobs at once, 5 s at 4 a second are within the rate")
	g.Expect(r.Exceeded(3*time.Second, 4)).To(BeFalse())
	g.Expect(r.Exceeded(3*time.Second, 0)).To(BeFalse(), "no rate")
}
