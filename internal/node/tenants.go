package node

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/internal/work"
)

// procTenants is the procedure by which peridotctl reads the use of tenants from the leader.
const procTenants wire.Procedure = "/peer/tenants"

type tenantsQuery struct{}

type tenantsAnswer struct {
	Tenants   []quota.State `cbor:"1,keyasint,omitempty"`
	Ownership ownership     `cbor:"2,keyasint"`
}

// handleTenants answers with the use of tenants as the scheduler of this instance sees it.
func (n *Node) handleTenants(context.Context, *tenantsQuery) (*tenantsAnswer, error) {
	scheduler := n.chief.Load()
	if scheduler == nil {
		return &tenantsAnswer{Ownership: n.ownership(false)}, nil
	}
	return &tenantsAnswer{Tenants: scheduler.Tenants(), Ownership: n.ownership(true)}, nil
}

// Tenants returns the limits and the use of all tenants from the instance at an address. It returns a NotLeaderError if that instance does
// not schedule.
func Tenants(ctx context.Context, caller *wire.Caller, address string) ([]quota.State, error) {
	answer, err := wire.Call[tenantsQuery, tenantsAnswer](ctx, caller, address, procTenants, &tenantsQuery{})
	if err != nil {
		return nil, err
	}
	if !answer.Ownership.Owner {
		return nil, &NotLeaderError{Address: address, Leader: answer.Ownership.Leader}
	}
	return answer.Tenants, nil
}

// NotLeaderError reports that an instance does not schedule.
type NotLeaderError struct {
	Address string
	Leader  string // address of the leader that it knows; empty for none
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "the instance at " + e.Address + " does not schedule, and knows no leader"
	}
	return "the instance at " + e.Address + " does not schedule; the leader that it knows is at " + e.Leader
}

// tenantMeters are the metrics of tenants; only the leader has any.
type tenantMeters struct {
	used, limit, share, weight, waiting *prometheus.GaugeVec
}

func newTenantMeters(set *metric.Set) tenantMeters {
	return tenantMeters{
		used:    set.Gauge("tenant_used", "What a tenant has running: thousandths of a core, MB, accelerators.", "tenant", "resource"),
		limit:   set.Gauge("tenant_cap", "Most that a tenant may have running; none without a limit.", "tenant", "resource"),
		share:   set.Gauge("tenant_share", "Largest part of all usable workers that a tenant uses.", "tenant"),
		weight:  set.Gauge("tenant_weight", "Weight of a tenant when room is short.", "tenant"),
		waiting: set.Gauge("tenant_waiting_jobs", "Jobs that wait for their tenant's cap, or have a gang wider than it.", "tenant", "why"),
	}
}

// set replaces all values; without states there are none.
func (m *tenantMeters) set(states []quota.State) {
	for _, vec := range []*prometheus.GaugeVec{m.used, m.limit, m.share, m.weight, m.waiting} {
		vec.Reset()
	}
	for i := range states {
		state, tenant := &states[i], string(states[i].Tenant)
		setResources(m.used, tenant, state.Used)
		setResources(m.limit, tenant, state.Cap)
		m.share.WithLabelValues(tenant).Set(state.Share)
		if state.Weight > 0 {
			m.weight.WithLabelValues(tenant).Set(state.Weight)
		}
		m.waiting.WithLabelValues(tenant, "cap").Set(float64(state.Waiting))
		m.waiting.WithLabelValues(tenant, "too-wide").Set(float64(state.TooWide))
	}
}

// setResources sets the parts of an amount that are not 0.
func setResources(vec *prometheus.GaugeVec, tenant string, amount work.Resources) {
	for _, part := range []struct {
		name  string
		value int
	}{{"cpu", amount.CPU}, {"memory", amount.Memory}, {"accelerators", int(amount.GPU)}} {
		if part.value != 0 {
			vec.WithLabelValues(tenant, part.name).Set(float64(part.value))
		}
	}
}
