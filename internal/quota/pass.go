package quota

import (
	"math"

	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Reasons why a stage gets no room now.
const (
	ReasonCap     view.Reason = "its tenant's cap"
	ReasonHeld    view.Reason = "its tenant's cap, of which the rest is held for other work of the tenant"
	ReasonTooWide view.Reason = "a gang wider than its tenant's cap"
	// ReasonShare is given only to requests that are limited to their tenant's part of the room.
	ReasonShare view.Reason = "its tenant's part of the room"
)

// Rules are the seams of a Pass. The zero value keeps all limits; a test sets a field to switch one mechanism off.
type Rules struct {
	// Admit replaces the check of caps, of tenants that have one.
	Admit func(limits view.Tenant, need work.Resources, tasks int) view.Reason
	// Level replaces the computation of how many times its part of the room a tenant uses.
	Level func(share, part float64) int
	// Unseen replaces the count of the runs of an earlier term on workers that were not polled yet.
	Unseen func(counted work.Resources) work.Resources
}

// Pass is what a planning pass knows of the tenants. Starts that are decided in the pass must be added to the Ledger.
type Pass struct {
	Tenants map[model.CustomerID]work.Tenant
	Ledger  *Ledger
	// Room is the capacity of all workers, which shares refer to.
	Room  work.Resources
	Rules Rules

	unseen map[model.CustomerID]work.Resources
	held   map[model.CustomerID]work.Resources
	// targets are the shares up to which tenants get room before others that use fewer times their part; nil while room is not short.
	targets map[model.CustomerID]float64
}

// AddUnseen counts runs of an earlier term that may exist on workers that were not polled yet, for the rest of the pass.
func (p *Pass) AddUnseen(tenant model.CustomerID, runs work.Resources) {
	if p.Rules.Unseen != nil {
		runs = p.Rules.Unseen(runs)
	}
	if p.unseen == nil {
		p.unseen = map[model.CustomerID]work.Resources{}
	}
	p.unseen[tenant] = p.unseen[tenant].Add(runs)
}

// Tenant returns a tenant's limits, and what it may have running.
func (p *Pass) Tenant(id model.CustomerID) view.Tenant {
	limits := p.Tenants[id]
	return view.Tenant{
		Guaranteed: limits.Guaranteed, Weight: limits.Weight, Cap: limits.Cap, Used: p.Ledger.Used(id).Add(p.unseen[id]),
	}
}

// Limited reports whether a tenant has a cap.
func (p *Pass) Limited(id model.CustomerID) bool { return p.Tenants[id].Cap != work.Resources{} }

// Request is a number of equal tasks that are to start together.
type Request struct {
	Tenant  model.CustomerID
	Need    work.Resources // of one task
	Tasks   int
	Stalled bool // its job has had nothing running for too long
	Shared  bool // it may start only up to its tenant's part of the room
}

// Admit returns why the tasks of a request may not start now, or an empty reason. They may start if the tenant stays within its cap. A
// tenant that uses under half of it may exceed it by one task: it would otherwise wait beside free workers for as long as its own small
// tasks go on, and for ever for a task that is wider than the cap.
func (p *Pass) Admit(r Request) view.Reason {
	if r.Shared && p.exceedsTarget(r) {
		return ReasonShare
	}
	if !p.Limited(r.Tenant) {
		return ""
	}
	tenant, held := p.Tenant(r.Tenant), p.held[r.Tenant]
	if p.Rules.Admit != nil {
		return p.Rules.Admit(tenant, r.Need, r.Tasks)
	}
	noneHeld := held == work.Resources{}
	switch {
	case !within(tenant.Cap, r.Need.Times(r.Tasks-1)):
		return ReasonTooWide
	case within(tenant.Cap, tenant.Used.Add(held).Add(r.Need.Times(r.Tasks))):
		return ""
	case (noneHeld || r.Stalled) && UnderHalf(tenant) && within(tenant.Cap, tenant.Used.Add(r.Need.Times(r.Tasks-1))):
		return ""
	case !noneHeld && within(tenant.Cap, tenant.Used.Add(r.Need.Times(r.Tasks))):
		return ReasonHeld
	}
	return ReasonCap
}

// Places returns how many tasks of a request may start.
func (p *Pass) Places(r Request) int {
	if !p.Limited(r.Tenant) {
		return r.Tasks
	}
	for r.Tasks > 0 && p.Admit(r) != "" {
		r.Tasks--
	}
	return r.Tasks
}

// Hold keeps a part of a tenant's cap for a request, from work of the tenant that is asked for later in the pass.
func (p *Pass) Hold(r Request) {
	if !p.Limited(r.Tenant) {
		return
	}
	if p.held == nil {
		p.held = map[model.CustomerID]work.Resources{}
	}
	p.held[r.Tenant] = p.held[r.Tenant].Add(r.Need.Times(r.Tasks))
}

// Release takes back a Hold of the same request: what a request holds itself does not keep it from starting.
func (p *Pass) Release(r Request) {
	if p.Limited(r.Tenant) {
		p.held[r.Tenant] = p.held[r.Tenant].Sub(r.Need.Times(r.Tasks))
	}
}

// Holds reports whether a part of a tenant's cap is held.
func (p *Pass) Holds(id model.CustomerID) bool { return p.held[id] != work.Resources{} }

// Excess returns by how much a request would bring its tenant above its cap; parts that fit are 0.
func (p *Pass) Excess(r Request) work.Resources {
	tenant := p.Tenant(r.Tenant)
	total := tenant.Used.Add(r.Need.Times(r.Tasks))
	var excess work.Resources
	if tenant.Cap.CPU > 0 {
		excess.CPU = max(0, total.CPU-tenant.Cap.CPU)
	}
	if tenant.Cap.Memory > 0 {
		excess.Memory = max(0, total.Memory-tenant.Cap.Memory)
	}
	if tenant.Cap.GPU > 0 {
		excess.GPU = max(0, total.GPU-tenant.Cap.GPU)
	}
	return excess
}

// Share returns the largest part of the room that an amount takes, over all kinds of resources: its dominant share.
func (p *Pass) Share(used work.Resources) float64 {
	return max(part(used.CPU, p.Room.CPU), part(used.Memory, p.Room.Memory), part(int(used.GPU), int(p.Room.GPU)))
}

// UnderHalf reports whether a tenant uses less than half of each part of its cap.
func UnderHalf(tenant view.Tenant) bool {
	return (tenant.Cap.CPU == 0 || 2*tenant.Used.CPU < tenant.Cap.CPU) && (tenant.Cap.Memory == 0 || 2*tenant.Used.Memory < tenant.Cap.Memory) &&
		(tenant.Cap.GPU == 0 || 2*tenant.Used.GPU < tenant.Cap.GPU)
}

// within reports whether an amount is within a cap, of which a part that is 0 is no limit.
func within(limit, amount work.Resources) bool {
	return (limit.CPU == 0 || amount.CPU <= limit.CPU) && (limit.Memory == 0 || amount.Memory <= limit.Memory) &&
		(limit.GPU == 0 || amount.GPU <= limit.GPU)
}

// part returns a part of a whole; of a whole that is 0, nothing can be used.
func part(amount, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return math.Max(0, float64(amount)/float64(whole))
}
