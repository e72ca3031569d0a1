package chief

import (
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/work"
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

// clear returns the runs to preempt for need tasks on some workers, and their cost, or nil. It takes the runs that cost the least for
// each task that fits in their place; a gang stops as a whole, and makes room wherever it runs.
func (p *planner) clear(s *stage, among []*worker, need int) ([]*run, float64) {
	c := clearing{
		p: p, stage: s, need: need, usable: map[*worker]bool{}, extra: map[*worker]work.Resources{}, stopped: map[*run]bool{},
		options: map[*worker]option{},
	}
	for _, w := range among {
		if p.eligible(s, w) {
			c.workers = append(c.workers, w)
			c.usable[w] = true
			c.fitting += c.fits(w)
		}
	}
	for _, w := range c.workers {
		c.updateOption(w)
	}
	victims := []*run{}
	cost := 0.0
	for c.fitting < need {
		best, found := c.best()
		if !found {
			return nil, 0
		}
		victims = append(victims, best.victims...)
		cost += best.cost
		c.stop(best.victims)
	}
	return victims, cost
}

// option is a way to make room for one more task on a worker.
type option struct {
	victims []*run
	cost    float64
	gain    int // tasks that fit then, on all workers
}

// clearing is the search for runs to preempt.
type clearing struct {
	p       *planner
	stage   *stage
	need    int
	workers []*worker
	usable  map[*worker]bool           // the same workers
	fitting int                        // tasks that fit
	extra   map[*worker]work.Resources // freed by the runs chosen so far
	stopped map[*run]bool
	options map[*worker]option // for the workers where one more task could fit
}

// available is the capacity of a worker once the chosen runs have ended.
func (c *clearing) available(w *worker) work.Resources { return w.available.Add(c.extra[w]) }

// fits returns how many tasks fit on a worker, at most those needed.
func (c *clearing) fits(w *worker) int {
	return countFits(c.available(w), c.stage.step.Resources(), c.need)
}

// best returns the option with the least cost for each task that it makes room for.
func (c *clearing) best() (option, bool) {
	var best option
	found := false
	for _, w := range c.workers {
		o, possible := c.options[w]
		if !possible {
			continue
		}
		left := c.need - c.fitting
		if !found || o.cost*float64(min(best.gain, left)) < best.cost*float64(min(o.gain, left)) {
			best, found = o, true
		}
	}
	return best, found
}

// stop counts the room of runs, and of their gangs, as free.
func (c *clearing) stop(victims []*run) {
	changed := map[*worker]bool{}
	for _, r := range c.withGangs(victims) {
		c.stopped[r] = true
		if !c.usable[r.worker] {
			continue
		}
		c.fitting -= c.fits(r.worker)
		c.extra[r.worker] = c.extra[r.worker].Add(r.resources)
		c.fitting += c.fits(r.worker)
		changed[r.worker] = true
	}
	for _, w := range c.workers {
		if changed[w] {
			c.updateOption(w)
		}
	}
}

// updateOption finds the cheapest runs to preempt for one more task on a worker.
func (c *clearing) updateOption(w *worker) {
	delete(c.options, w)
	victims, cost, possible := c.victims(w)
	if !possible {
		return
	}
	gain := 0
	freed := map[*worker]work.Resources{}
	for _, r := range c.withGangs(victims) {
		freed[r.worker] = freed[r.worker].Add(r.resources)
	}
	resources := c.stage.step.Resources()
	for other, room := range freed {
		if c.usable[other] {
			gain += countFits(c.available(other).Add(room), resources, c.need) - c.fits(other)
		}
	}
	if gain > 0 {
		c.options[w] = option{victims, cost, gain}
	}
}

// victims returns the cheapest runs to preempt for one more task on a worker, and their cost. It returns false if the worker cannot
// hold the task even after that.
func (c *clearing) victims(w *worker) ([]*run, float64, bool) {
	count := c.fits(w) + 1
	needed := c.stage.step.Resources()
	target := work.Resources{CPU: needed.CPU * count, Memory: needed.Memory * count, GPU: needed.GPU * model.Accelerators(count)}
	if !w.info.Capacity.Fits(target) {
		return nil, 0, false
	}
	var candidates []*run
	for _, r := range w.runs {
		if !c.stopped[r] && c.p.mayPreempt(c.stage, r) {
			candidates = append(candidates, r)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return c.p.preemptionCost(candidates[i]) < c.p.preemptionCost(candidates[j]) })
	resources, total := c.available(w), 0.0
	var chosen []*run
	freed := map[*run]bool{}
	for _, r := range candidates {
		if resources.Fits(target) {
			break
		}
		if freed[r] {
			continue
		}
		chosen = append(chosen, r)
		total += c.p.preemptionCost(r)
		for _, member := range c.withGangs([]*run{r}) {
			if member.worker == w && !freed[member] {
				freed[member] = true
				resources = resources.Add(member.resources)
			}
		}
	}
	return chosen, total, resources.Fits(target)
}

// withGangs returns runs and the other members of their gangs, each once, without those that are stopping or chosen already.
func (c *clearing) withGangs(runs []*run) []*run {
	seen := map[*run]bool{}
	var all []*run
	add := func(r *run) {
		if !seen[r] && !c.stopped[r] && r.phase != stopping {
			seen[r] = true
			all = append(all, r)
		}
	}
	for _, r := range runs {
		add(r)
		if r.gang == nil || r.gang.ending {
			continue
		}
		for member := range r.gang.members {
			add(member)
		}
	}
	return all
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
	lost := r.age(p.now)
	if s.step.Checkpoints {
		lost = min(lost, p.c.Limits.CheckpointInterval+p.c.Limits.RestoreTime)
	}
	preemptionCost := float64(members) * s.step.Need.Cores() * (lost.Seconds() + preemptionOverheadSeconds)
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
	t.notBefore = max(t.notBefore, p.now.Add(time.Duration(t.preemptions)*preemptedPause))
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
