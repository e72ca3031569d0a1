package quota

import (
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// State is what operators see of a tenant.
type State struct {
	Tenant     model.CustomerID
	Guaranteed model.Accelerators
	Weight     float64        // 0 if none is set
	Cap        work.Resources // a part that is 0 has no limit
	Used       work.Resources // by all runs that may be present
	Share      float64        // largest part of all usable workers that it uses, over all kinds of resources
	Waiting    int            // jobs that wait for its cap
	TooWide    int            // jobs with a gang that is wider than its cap
}

// State returns the state of a tenant, without the jobs that wait.
func (p *Pass) State(id model.CustomerID) State {
	tenant := p.Tenant(id)
	return State{
		Tenant: id, Guaranteed: tenant.Guaranteed, Weight: tenant.Weight, Cap: tenant.Cap, Used: tenant.Used, Share: p.Share(tenant.Used),
	}
}
