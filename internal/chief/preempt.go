package chief

import (
	"sort"
	"time"

	"peridotgw.example/peridotgw/model"
)

// sameRackWaitShare is the part of the reclaim bound after which urgent work no longer waits for a single rack.
const sameRackWaitShare = 0.4

// sumUrgentNeeds adds up the accelerators that the urgent jobs of each tenant need.
func (p *planner) sumUrgentNeeds() {
	p.urgentNeeds = map[model.CustomerID]model.Accelerators{}
	for _, j := range p.c.liveJobs {
		if p.config.Terms(j.spec).Priority == 0 {
			p.urgentNeeds[j.spec.Tenant] += j.maxAccelerators()
		}
	}
}

// withinGuarantee reports whether a tenant's urgent jobs together need no more than its guarantee.
func (p *planner) withinGuarantee(j *job) bool {
	tenant, found := p.config.Tenants[j.spec.Tenant]
	return found && p.urgentNeeds[j.spec.Tenant] <= tenant.Guaranteed
}

// maxAccelerators returns the most accelerators that one step of a job needs.
func (j *job) maxAccelerators() model.Accelerators {
	var maxAccelerators model.Accelerators
	for i := range j.spec.Steps {
		maxAccelerators = max(maxAccelerators, j.spec.Steps[i].Need.GPU*model.Accelerators(j.spec.Steps[i].Count))
	}
	return maxAccelerators
}

// placeAfterStops returns a worker for each of need tasks, counting capacity that is being freed, or nil.
func (p *planner) placeAfterStops(s *stage, need int, rackOnly bool) []*worker {
	if s.step.SameRack {
		if places := p.placeInOneRack(s, need, availableAfterStops); places != nil || rackOnly {
			return places
		}
	}
	return p.placeTasks(s, p.workers, need, availableAfterStops)
}

// victimsInOneRack returns the cheapest runs to preempt for need tasks in one rack, and their cost, or nil.
func (p *planner) victimsInOneRack(s *stage, need int) ([]*run, float64) {
	var best []*run
	bestCost := 0.0
	for _, rack := range p.racks {
		if victims, cost := p.clear(s, rack, need); victims != nil && (best == nil || cost < bestCost) {
			best, bestCost = victims, cost
		}
	}
	return best, bestCost
}

// clear returns the runs to preempt for need tasks on some workers, and their cost, or nil. It takes the cheapest workers
// first.
func (p *planner) clear(s *stage, among []*worker, need int) ([]*run, float64) {
	type option struct {
		victims []*run
		cost    float64
	}
	resources := s.step.Resources()
	var options []option
	for _, w := range among {
		if !p.eligible(s, w) {
			continue
		}
		limit := need
		if s.step.PerWorker > 0 {
			limit = min(limit, s.step.PerWorker-s.runsOn[w])
		}
		have := countFits(w.available, resources, limit)
		need -= have
		if have == limit {
			continue
		}
		if victims, cost, ok := p.victims(s, w, have+1); ok {
			options = append(options, option{victims, cost})
		}
	}
	sort.SliceStable(options, func(i, j int) bool { return options[i].cost < options[j].cost })
	victims := []*run{}
	total := 0.0
	for _, o := range options {
		if need <= 0 {
			break
		}
		victims = append(victims, o.victims...)
		total += o.cost
		need--
	}
	if need > 0 {
		return nil, 0
	}
	return victims, total
}

// victims returns the cheapest runs to preempt for count tasks of a stage on a worker, and their cost. It returns false if the worker
// cannot hold the tasks even after that.
func (p *planner) victims(s *stage, w *worker, count int) ([]*run, float64, bool) {
	target := s.need(count)
	if !w.info.Capacity.Fits(target) {
		return nil, 0, false
	}
	var candidates []*run
	for _, r := range w.runs {
		if p.mayPreempt(s, r) {
			candidates = append(candidates, r)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return p.preemptionCost(candidates[i]) < p.preemptionCost(candidates[j]) })
	resources, total := w.available, 0.0
	var chosen []*run
	for _, r := range candidates {
		if resources.Fits(target) {
			break
		}
		chosen = append(chosen, r)
		resources = resources.Add(r.resources)
		total += p.preemptionCost(r)
	}
	return chosen, total, resources.Fits(target)
}

// mayPreempt reports whether a stage may preempt a run.
func (p *planner) mayPreempt(s *stage, r *run) bool {
	if r.phase == stopping || r.task == nil || r.task.stage.step.Lasts {
		return false
	}
	own, other := p.priority(s), p.priority(r.task.stage)
	return other > own || own == 0 && other == 0 && p.withinGuarantee(s.job) && !p.withinGuarantee(r.task.stage.job)
}

// preemptionCost is the work in core-seconds that preempting a run loses, counting all members of its gang.
func (p *planner) preemptionCost(r *run) float64 {
	s := r.task.stage
	members := 1
	if r.gang != nil {
		members = len(r.gang.members)
	}
	preemptionCost := float64(members) * s.step.Need.Cores() * (p.lostByStop(r).Seconds() + preemptionOverheadSeconds)
	if p.priority(s) == 0 {
		preemptionCost *= urgentCostFactor
	}
	return preemptionCost
}

// preemptionOverheadSeconds is added to the lost time of each run, so that few runs are preempted.
const preemptionOverheadSeconds = 0.5

// urgentCostFactor makes urgent work the last to be preempted.
const urgentCostFactor = 8

// preemptRuns stops runs and, with each, the rest of its gang; their resources count as available for the rest of the pass.
func (p *planner) preemptRuns(s *stage, victims []*run) {
	for _, r := range victims {
		reason := "preempted by " + string(s.job.spec.ID)
		if r.phase == stopping {
			continue
		}
		p.delayRestart(r.task)
		p.c.stopRun(r, reason)
		r.worker.available = r.worker.available.Add(r.resources)
		if r.gang != nil {
			p.preemptGang(r.gang, reason)
		}
	}
}

// delayRestart delays the next start of a preempted task.
func (p *planner) delayRestart(t *task) {
	if t == nil {
		return
	}
	t.preemptions = min(t.preemptions+1, maxPreemptedPauses)
	t.pausedUntil = p.now.Add(time.Duration(t.preemptions) * preemptedPause)
}

func (p *planner) preemptGang(g *gang, reason string) {
	if g.ending {
		return
	}
	g.ending = true
	for r := range g.members {
		if r.phase != stopping {
			p.delayRestart(r.task)
			p.c.stopRun(r, reason)
			r.worker.available = r.worker.available.Add(r.resources)
		}
	}
}
