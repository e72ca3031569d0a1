package chief

import (
	"peridotgw.example/peridotgw/internal/evict"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Tasks that last, and of which only some may be away at a time, can't make way for work within a guarantee in time. Workers on which such
// tasks run are pinned. The accelerators of the others cover what tenants are guaranteed: they can be freed whole.

// pins is what is pinned, at a moment of a planning pass.
type pins struct {
	workers map[*worker]bool
	whole   map[work.PoolName]model.Accelerators // of usable workers that are not pinned
	owed    model.Accelerators                   // guaranteed, without what tasks that pin their worker use of it
	used    map[work.PoolName]float64            // cores in use on all workers
	total   map[work.PoolName]float64            // cores of all workers
}

// limitsStops reports whether only some tasks of a stage may be away at a time.
func (s *stage) limitsStops() bool { return s.step.Lasts && s.step.MayMiss > 0 }

// pinsWorkers reports whether the tasks of a stage can't be stopped all at once.
func (s *stage) pinsWorkers() bool {
	return s.limitsStops() && s.step.MayMiss < len(s.tasks)
}

// mayPin reports whether a worker may take tasks of a stage, as far as guarantees are concerned.
func (s *stage) mayPin(w *worker) bool { return s.pinnable == nil || s.pinnable[w] }

// mayStop returns how many runs of a stage that limits its stops may be stopped now. A task counts as away unless it is known to be
// at work on a worker that stays.
func (s *stage) mayStop() int {
	left := s.step.MayMiss
	for index := range s.tasks {
		if r := s.tasks[index].activeRun; r == nil || !r.atWork() {
			left--
		}
	}
	return max(0, left)
}

// atWork reports whether the run of a task that lasts is known to be at work on a worker that stays.
func (r *run) atWork() bool {
	return r.phase == running && r.percent >= fullPercent && r.worker.missedCalls == 0 && !r.worker.leaves()
}

// findPins returns what is pinned now.
func (p *planner) findPins() *pins {
	found := &pins{
		workers: map[*worker]bool{}, whole: map[work.PoolName]model.Accelerators{},
		used: map[work.PoolName]float64{}, total: map[work.PoolName]float64{},
	}
	ownPins := map[model.CustomerID]model.Accelerators{}
	for _, w := range p.c.workers {
		found.used[w.info.Pool] += w.used.Cores()
		found.total[w.info.Pool] += w.info.Capacity.Cores()
		for _, r := range w.runs {
			if r.task == nil || !r.task.stage.pinsWorkers() {
				continue
			}
			found.workers[w] = true
			if p.priority(r.task.stage) == 0 {
				ownPins[r.task.stage.job.spec.Tenant] += r.resources.GPU
			}
		}
	}
	for _, w := range p.workers {
		if !found.workers[w] {
			found.whole[w.info.Pool] += w.info.Capacity.GPU
		}
	}
	for id, tenant := range p.config.Tenants {
		found.owed += max(0, tenant.Guaranteed-ownPins[id])
	}
	return found
}

// limitPins determines the workers that may take the tasks of a stage. Work within a guarantee may take any. So may a stage whose tasks have
// waited for long while under half of the pool is in use, as far as it needs: an idle guarantee must not keep it waiting any longer.
func (p *planner) limitPins(s *stage) {
	s.pinnable = nil
	if !s.pinsWorkers() || p.priority(s) == 0 && p.withinGuarantee(s.job) || s.waitingTasks() == 0 {
		return
	}
	if p.pins == nil {
		p.pins = p.findPins()
	}
	pool := s.job.spec.Pool
	least := 0
	if s.ignoresHolds && p.pins.used[pool] < p.pins.total[pool]/2 {
		least = s.placesNeeded()
	}
	candidates := make([]evict.PinCandidate, len(p.workers))
	for i, w := range p.workers {
		if !p.suits(s, w) {
			continue
		}
		candidates[i] = evict.PinCandidate{
			Accelerators: w.info.Capacity.GPU, Pinned: p.pins.workers[w], Places: availableNow(w).CountFits(s.step.Resources(), len(s.tasks)),
		}
	}
	s.pinnable = map[*worker]bool{}
	for _, index := range evict.Pinnable(candidates, p.pins.whole[pool]-p.pins.owed, least) {
		s.pinnable[p.workers[index]] = true
	}
}

// notePin counts a worker that got a task of a stage as pinned, if it pins it.
func (p *planner) notePin(s *stage, w *worker) {
	if p.pins == nil || !s.pinsWorkers() || p.pins.workers[w] {
		return
	}
	p.pins.workers[w] = true
	p.pins.whole[w.info.Pool] -= w.info.Capacity.GPU
}
