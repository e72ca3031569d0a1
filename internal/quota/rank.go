package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Job is what the rank of a job depends on.
type Job struct {
	Tenant   model.CustomerID
	Priority int  // 0 is urgent
	Lent     bool // urgent, beyond its tenant's guarantee
	Late     bool // its completion has no value any more
	Excess   bool // handed in beyond its tenant's rate
	// Deadline is when it should be complete, from any common origin.
	Deadline time.Duration
	Demand   work.Resources // of its tasks that wait
}

// Weighted reports whether any tenant has a weight. The rank depends on the demands of jobs only then, also on those of tenants without one.
func (p *Pass) Weighted() bool {
	for id := range p.Tenants {
		if p.Tenants[id].Weight > 0 {
			return true
		}
	}
	return false
}

// ranked is a job with its place in the list.
type ranked struct {
	Job
	index int
	level int // how many times its part of the room the tenant uses before the job
}

// Rank returns the indexes of jobs in the order in which they get room: by priority, work within a guarantee first, then work that is not
// late, then by deadline. While room is short, a tenant's jobs come after those of tenants that use fewer times their part of the room,
// and those beyond its rate after all others. Parts are by weight, among the tenants with jobs; without any weight there are none. Requests
// of the pass that are Shared are limited from then on.
func (p *Pass) Rank(jobs []Job, short bool) []int {
	list := make([]ranked, len(jobs))
	for i := range jobs {
		list[i] = ranked{Job: jobs[i], index: i}
		list[i].Excess = short && jobs[i].Excess
	}
	slices.SortStableFunc(list, compare)
	if short && p.setLevels(list) {
		slices.SortStableFunc(list, compare)
	}
	order := make([]int, len(list))
	for i := range list {
		order[i] = list[i].index
	}
	return order
}

func compare(a, b ranked) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority), compareBool(a.Lent, b.Lent), compareBool(a.Late, b.Late), compareBool(a.Excess, b.Excess),
		cmp.Compare(a.level, b.level), cmp.Compare(a.Deadline, b.Deadline),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// setLevels sets how many times its part of the room each job's tenant uses once the jobs before it have what they wait for, and up to which
// share each tenant gets room first. It reports whether any tenant has a weight. A tenant without one has the smallest weight of the
// others.
func (p *Pass) setLevels(list []ranked) bool {
	weights := p.weights(list)
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(weights)) { // In one order: rounding errors would differ between passes.
		sum += weights[id]
	}
	if sum == 0 {
		return false
	}
	used := make(map[model.CustomerID]work.Resources, len(weights))
	p.targets = make(map[model.CustomerID]float64, len(weights))
	for id, weight := range weights {
		used[id] = p.Tenant(id).Used
		part := weight / sum
		p.targets[id] = float64(p.level(p.Share(used[id]), part)+1) * part
	}
	for i := range list {
		id := list[i].Tenant
		list[i].level = p.level(p.Share(used[id]), weights[id]/sum)
		used[id] = used[id].Add(list[i].Demand)
	}
	return true
}

// weights returns the weights of the tenants of jobs; all are 0 if none has one.
func (p *Pass) weights(list []ranked) map[model.CustomerID]float64 {
	weights := map[model.CustomerID]float64{}
	smallest := math.Inf(1)
	for i := range list {
		weight := p.Tenants[list[i].Tenant].Weight
		weights[list[i].Tenant] = weight
		if weight > 0 {
			smallest = min(smallest, weight)
		}
	}
	if math.IsInf(smallest, 1) {
		return nil
	}
	for id, weight := range weights {
		weights[id] = max(weight, smallest)
	}
	return weights
}

// level returns how many whole times a share holds a part. Within it, deadlines decide: an order by the exact share would put a job with
// more time before one with less whenever any task ends.
func (p *Pass) level(share, part float64) int {
	if p.Rules.Level != nil {
		return p.Rules.Level(share, part)
	}
	return int(share / part)
}

// exceedsTarget reports whether a request would bring its tenant above the share up to which it gets room first. One job could otherwise
// take, in one pass, all that ends at the same time; and tenants that each exceed their part by one task would leave a small one none.
func (p *Pass) exceedsTarget(r Request) bool {
	target, found := p.targets[r.Tenant]
	return found && p.Share(p.Tenant(r.Tenant).Used.Add(r.Need.Times(r.Tasks))) > target+shareTolerance
}

// shareTolerance is above the rounding errors of shares and below the share of any task.
const shareTolerance = 1e-9
