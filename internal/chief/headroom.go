package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/evict"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// preemptedPause times a task's preemptions, up to maxPreemptedPauses, delays its next start.
	preemptedPause     = 400 * time.Millisecond
	maxPreemptedPauses = 8
)

// headroom is what urgent work has free in one pool.
type headroom struct {
	urgent, free model.Accelerators
	kept         model.Accelerators // for more urgent work
}

// measureSpare computes, for each pool, how many accelerators work that is not urgent may still take.
func (p *planner) measureSpare() {
	pools := map[work.PoolName]*headroom{}
	pool := func(w *worker) *headroom {
		if pools[w.info.Pool] == nil {
			pools[w.info.Pool] = &headroom{}
		}
		return pools[w.info.Pool]
	}
	for _, w := range p.c.workers {
		for _, r := range w.runs {
			if r.task != nil && r.phase != stopping && p.priority(r.task.stage) == 0 {
				pool(w).urgent += r.resources.GPU
			}
		}
	}
	for _, w := range p.workers {
		pool(w).free += max(0, w.available.GPU)
	}
	p.spare = map[work.PoolName]model.Accelerators{}
	for name, h := range pools {
		if p.c.urgentDemand[name] == nil {
			p.c.urgentDemand[name] = &evict.Usage{}
		}
		h.kept = max(0, p.c.urgentDemand[name].Record(time.Duration(p.now), h.urgent)-h.urgent)
		p.spare[name] = h.free - h.kept
	}
	p.keepIdleWorkers(pools)
}

// keepIdleWorkers keeps idle workers for urgent work, up to the accelerators that are kept in their pool.
func (p *planner) keepIdleWorkers(pools map[work.PoolName]*headroom) {
	p.keptIdle = map[*worker]bool{}
	for name, h := range pools {
		if h.kept == 0 {
			continue
		}
		var idle []evict.IdleWorker
		var workers []*worker
		for _, w := range p.workers {
			if w.info.Pool == name && w.info.Capacity.GPU > 0 && w.available.GPU == w.info.Capacity.GPU {
				idle = append(idle, evict.IdleWorker{Rack: w.info.Rack(), Accelerators: w.info.Capacity.GPU})
				workers = append(workers, w)
			}
		}
		for _, index := range evict.KeepIdle(idle, h.kept) {
			p.keptIdle[workers[index]] = true
		}
	}
}

// yieldsToUrgent reports whether a stage leaves the accelerators that are kept for urgent work to it.
func (p *planner) yieldsToUrgent(s *stage) bool {
	return p.priority(s) != 0 && s.step.Need.GPU > 0 && !s.step.Lasts && !s.ignoresHolds
}

// withinSpare reports whether a number of a stage's tasks may start without taking accelerators that are kept for urgent work.
func (p *planner) withinSpare(s *stage, tasks int) bool {
	if !p.yieldsToUrgent(s) {
		return true
	}
	return s.step.Need.GPU*model.Accelerators(tasks) <= p.spare[s.job.spec.Pool]
}

// spend deducts the accelerators of tasks that start from those that work which is not urgent may take.
func (p *planner) spend(s *stage, tasks int) {
	p.spare[s.job.spec.Pool] -= s.step.Need.GPU * model.Accelerators(tasks)
}
