package chief

import (
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// spreadReclaim is the part of the reclaim bound after which urgent work no longer waits for a single rack.
const spreadReclaim = 0.4

// sumNeeds adds up what the urgent jobs of each tenant need.
func (p *pass) sumNeeds() {
	p.needs = map[model.CustomerID]model.Accelerators{}
	for _, j := range p.c.live {
		if p.config.Terms(j.spec).Priority == 0 {
			p.needs[j.spec.Tenant] += j.widest()
		}
	}
}

// guaranteed reports whether a job is within its tenant's guarantee: all urgent work of the tenant needs no more.
func (p *pass) guaranteed(j *job) bool {
	tenant, found := p.config.Tenants[j.spec.Tenant]
	return found && p.needs[j.spec.Tenant] <= tenant.Guaranteed
}

// widest returns the accelerators that a job's widest step needs.
func (j *job) widest() model.Accelerators {
	var widest model.Accelerators
	for i := range j.spec.Steps {
		widest = max(widest, j.spec.Steps[i].Need.GPU*model.Accelerators(j.spec.Steps[i].Count))
	}
	return widest
}

// placesSoon returns places for a number of tasks in room that is free or being freed.
func (p *pass) placesSoon(u *unit, need int, rackOnly bool) []*worker {
	if u.step.SameRack {
		if places := p.oneRack(u, need, fitsSoon); places != nil || rackOnly {
			return places
		}
	}
	return p.spread(u, p.workers, need, fitsSoon)
}

// rackVictims returns the cheapest runs whose end makes room for a number of tasks in one rack, or nil.
func (p *pass) rackVictims(u *unit, need int) ([]*run, float64) {
	var best []*run
	bestCost := 0.0
	for _, rack := range p.racks {
		if victims, cost := p.clear(u, rack, need); victims != nil && (best == nil || cost < bestCost) {
			best, bestCost = victims, cost
		}
	}
	return best, bestCost
}

// clear returns runs whose end makes room for a number of tasks among some workers, cheapest workers first, or nil.
func (p *pass) clear(u *unit, among []*worker, need int) ([]*run, float64) {
	type option struct {
		victims []*run
		cost    float64
	}
	room := u.step.Room()
	var options []option
	for _, w := range among {
		if !p.allowed(u, w) {
			continue
		}
		have := times(w.soon, room, need)
		need -= have
		if victims, cost, ok := p.victims(u, w, have+1); ok {
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

// victims returns the cheapest runs of a worker whose end makes room for count tasks of a unit.
func (p *pass) victims(u *unit, w *worker, count int) ([]*run, float64, bool) {
	need := u.step.Room()
	target := work.Room{CPU: need.CPU * count, Memory: need.Memory * count, GPU: need.GPU * model.Accelerators(count)}
	if !w.info.Capacity.Holds(target) {
		return nil, 0, false
	}
	var candidates []*run
	for _, r := range w.runs {
		if p.mayEvict(u, r) {
			candidates = append(candidates, r)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return p.cost(candidates[i]) < p.cost(candidates[j]) })
	room, total := w.soon, 0.0
	var chosen []*run
	for _, r := range candidates {
		if room.Holds(target) {
			break
		}
		chosen = append(chosen, r)
		room = room.Add(r.room)
		total += p.cost(r)
	}
	return chosen, total, room.Holds(target)
}

// mayEvict reports whether a run may make way for a unit.
func (p *pass) mayEvict(u *unit, r *run) bool {
	if r.phase == stopping || r.task == nil || r.task.unit.step.Lasts {
		return false
	}
	own, other := p.priority(u), p.priority(r.task.unit)
	return other > own || own == 0 && other == 0 && p.guaranteed(u.job) && !p.guaranteed(r.task.unit.job)
}

// cost is the work in core-seconds that a stop throws away, of a whole gang where the run belongs to one.
func (p *pass) cost(r *run) float64 {
	u := r.task.unit
	members := 1
	if r.group != nil {
		members = len(r.group.members)
	}
	lost := r.age(p.now)
	if u.step.Checkpoints {
		lost = min(lost, p.c.Limits.Checkpoint+p.c.Limits.Restore)
	}
	cost := float64(members) * u.step.Need.Cores() * (lost.Seconds() + evictionSeconds)
	if p.priority(u) == 0 {
		cost *= urgentFactor
	}
	return cost
}

// evictionSeconds is added to what a stop throws away, so that few runs are stopped.
const evictionSeconds = 0.5

// urgentFactor makes urgent work the last to be stopped.
const urgentFactor = 8

func (p *pass) evict(u *unit, victims []*run) {
	for _, r := range victims {
		why := "makes way for " + string(u.job.spec.ID)
		if r.phase == stopping {
			continue
		}
		before := r.worker.leaving
		p.setBack(r.task)
		p.c.stop(r, why)
		r.worker.soon = r.worker.soon.Add(r.worker.leaving.Sub(before))
		if r.group != nil {
			p.evictGroup(r.group, why)
		}
	}
}

// setBack has a task that makes way wait before it starts again.
func (p *pass) setBack(t *task) {
	if t == nil {
		return
	}
	t.evicted = min(t.evicted+1, evictedPauses)
	t.after = max(t.after, p.now.Add(time.Duration(t.evicted)*evictedPause))
}

func (p *pass) evictGroup(g *group, why string) {
	if g.ending {
		return
	}
	g.ending = true
	for r := range g.members {
		if r.phase != stopping {
			p.setBack(r.task)
			p.c.stop(r, why)
			r.worker.soon = r.worker.soon.Add(r.room)
		}
	}
}
