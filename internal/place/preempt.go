package place

import (
	"cmp"
	"math"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// planGuaranteed uses a copy of the customer's own guarantee: one whose slots are free, otherwise other free slots to which
// the binding moves, otherwise the copy that costs the least preemption.
func (c *Cluster) planGuaranteed(job Job, shape model.Shape) (Plan, bool) {
	best, bestVictims := Plan{}, []*allocation(nil)
	found := false
	for _, b := range c.bindings {
		if b.customer != job.Customer || b.shape != job.Shape || b.job != nil || len(b.slots) == 0 || c.avoidsAny(job, b.usages) {
			continue
		}
		victims, waitFor, ok := chooseVictims(b.usages, func(alloc *allocation) bool { return alloc.kind == kindStoppable })
		if !ok {
			continue
		}
		if !found || cheaper(victims, bestVictims) {
			best = Plan{Slots: b.slots, Guarantee: b.guarantee, Copy: b.number, Preempt: jobIDs(victims), WaitFor: jobIDs(waitFor)}
			bestVictims, found = victims, true
		}
	}
	if !found || len(best.Preempt)+len(best.WaitFor) == 0 {
		return best, found
	}
	class := c.config.JobClasses[job.Class]
	if slots, backfill := c.findFreeSlots(job, shape, class, poolUnstoppable); slots != nil && !backfill {
		best.Slots, best.Preempt, best.WaitFor = slots, nil, nil
	}
	return best, true
}

func (c *Cluster) avoidsAny(job Job, usages []usage) bool {
	avoid := c.avoidedWorkers(job)
	return slices.ContainsFunc(usages, func(u usage) bool { return avoid[u.worker] })
}

// planInsideCopy places a job with another shape than the guaranteed one on the slots of an unused copy of its customer's guarantee.
func (c *Cluster) planInsideCopy(job Job, shape model.Shape) (Plan, bool) {
	for _, b := range c.bindings {
		if b.customer != job.Customer || b.job != nil || len(b.slots) == 0 || c.avoidsAny(job, b.usages) {
			continue
		}
		if shape.Adjacency != model.AdjacencyAny && slices.ContainsFunc(b.slots, func(s Slot) bool { return s.Rack != b.slots[0].Rack }) {
			continue
		}
		inCopy := map[*worker]int{}
		workers := make([]*worker, 0, len(b.usages))
		for _, u := range b.usages {
			inCopy[u.worker] = u.accelerators
			workers = append(workers, u.worker)
		}
		slots := placeTasks(workers, shape, func(w *worker) int { return inCopy[w] }, nil)
		if slots == nil {
			continue
		}
		victims, waitFor, ok := chooseVictims(c.usagesOf(slots), func(alloc *allocation) bool { return alloc.kind == kindStoppable })
		if ok {
			return Plan{
				Slots: slots, Guarantee: b.guarantee, Copy: b.number, Preempt: jobIDs(victims), WaitFor: jobIDs(waitFor),
			}, true
		}
	}
	return Plan{}, false
}

// chooseVictims chooses jobs whose end frees the wanted accelerators on every worker, and returns the jobs that are already
// being stopped there. It reports false if the allowed victims do not suffice.
func chooseVictims(usages []usage, allowed func(*allocation) bool) (victims, waitFor []*allocation, ok bool) {
	freed := map[*worker]int{}
	missing := func(u usage) int { return u.accelerators - u.worker.unused() - u.worker.stopping - freed[u.worker] }
	for _, u := range usages {
		if missing(u) <= 0 {
			continue
		}
		for _, alloc := range preemptionCandidates(u.worker.allocations, allowed) {
			if slices.Contains(victims, alloc) {
				continue
			}
			victims = append(victims, alloc)
			for _, taken := range alloc.usages {
				freed[taken.worker] += taken.accelerators
			}
			if missing(u) <= 0 {
				break
			}
		}
		if missing(u) > 0 {
			return nil, nil, false
		}
	}
	enough := func() bool { return !slices.ContainsFunc(usages, func(u usage) bool { return missing(u) > 0 }) }
	return pruneVictims(victims, freed, enough), stoppingAllocations(usages), true
}

// stoppingAllocations lists the jobs that are being stopped on workers where the wanted accelerators are not free yet.
func stoppingAllocations(usages []usage) []*allocation {
	var waitFor []*allocation
	for _, u := range usages {
		if u.accelerators <= u.worker.unused() {
			continue
		}
		for _, alloc := range u.worker.allocations {
			if alloc.stopping && !slices.Contains(waitFor, alloc) {
				waitFor = append(waitFor, alloc)
			}
		}
	}
	return waitFor
}

// pruneVictims drops victims that are not needed, the last in preemption order first.
func pruneVictims(victims []*allocation, freed map[*worker]int, enough func() bool) []*allocation {
	slices.SortStableFunc(victims, comparePreemption)
	for i := len(victims) - 1; i >= 0; i-- {
		for _, u := range victims[i].usages {
			freed[u.worker] -= u.accelerators
		}
		if enough() {
			victims = slices.Delete(victims, i, i+1)
			continue
		}
		for _, u := range victims[i].usages {
			freed[u.worker] += u.accelerators
		}
	}
	return victims
}

// comparePreemption orders jobs by which is preempted first: lower priority, then jobs with OverRunTime, then the youngest.
func comparePreemption(a, b *allocation) int {
	// Sorting is most of the cost of a large plan, so later keys are compared only where earlier ones are equal.
	switch {
	case a.rank != b.rank:
		return cmp.Compare(b.rank, a.rank)
	case a.job.OverRunTime != b.job.OverRunTime && a.job.OverRunTime:
		return -1
	case a.job.OverRunTime != b.job.OverRunTime:
		return 1
	case a.job.Order != b.job.Order:
		return cmp.Compare(b.job.Order, a.job.Order)
	default:
		return cmp.Compare(a.job.ID, b.job.ID)
	}
}

// preemptionCandidates returns the allowed jobs that are not being stopped, in preemption order.
func preemptionCandidates(allocations []*allocation, allowed func(*allocation) bool) []*allocation {
	var candidates []*allocation
	for _, alloc := range allocations {
		if !alloc.stopping && allowed(alloc) {
			candidates = append(candidates, alloc)
		}
	}
	slices.SortFunc(candidates, comparePreemption)
	return candidates
}

// cheaper compares sets of victims by the most urgent priority lost, then by accelerators, then by jobs, and prefers the
// set whose oldest job is younger.
func cheaper(a, b []*allocation) bool {
	rank := func(victims []*allocation) int {
		least := len(model.PriorityBackground)
		for _, alloc := range victims {
			least = min(least, alloc.rank)
		}
		return least
	}
	accelerators := func(victims []*allocation) (sum model.Accelerators) {
		for _, alloc := range victims {
			sum += alloc.accelerators
		}
		return sum
	}
	oldest := func(victims []*allocation) int64 {
		least := int64(math.MaxInt64)
		for _, alloc := range victims {
			least = min(least, alloc.job.Order)
		}
		return least
	}
	return cmp.Or(
		cmp.Compare(rank(b), rank(a)), cmp.Compare(accelerators(a), accelerators(b)), cmp.Compare(len(a), len(b)),
		cmp.Compare(oldest(b), oldest(a)),
	) < 0
}

func jobIDs(allocations []*allocation) []model.JobID {
	var ids []model.JobID
	for _, alloc := range allocations {
		ids = append(ids, alloc.job.ID)
	}
	return ids
}

// maxEvaluatedRacks bounds the racks for which a victim set is computed; those with the most free accelerators come first.
const maxEvaluatedRacks = 32

// planWithPreemption plans to stop other jobs: urgent jobs preempt stoppable background and then normal jobs that use no
// guarantee, and the job that holds a rack preempts the jobs that were backfilled there.
func (c *Cluster) planWithPreemption(job Job, shape model.Shape, class model.JobClass) (Plan, bool) {
	allowed := func(alloc *allocation) bool { return alloc.kind == kindStoppable && alloc.backfill }
	if class.Priority == model.PriorityUrgent {
		allowed = func(alloc *allocation) bool { return alloc.kind == kindStoppable && alloc.rank > class.Priority.Rank() }
	} else if c.holder != job.ID {
		return Plan{}, false
	}
	mayUseBound := stoppable(class) && !c.options.NoLending
	avoid := c.avoidedWorkers(job)
	var best *victimSet
	for _, workers := range c.candidateGroups(shape, class.Priority == model.PriorityUrgent) {
		candidate := c.newVictimSet(workers, shape, mayUseBound, avoid)
		if candidate.chooseUntilFit(allowed) && (best == nil || cheaper(candidate.victims, best.victims)) {
			best = candidate
		}
	}
	if best == nil {
		return Plan{}, false
	}
	if best.id != c.victimSets {
		// The marks on the workers belong to the set that was created last.
		best = c.newVictimSet(best.workers, shape, mayUseBound, avoid)
		best.chooseUntilFit(allowed)
	}
	slots := placeTasks(best.workers, shape, best.capacity, nil)
	if slots == nil {
		return Plan{}, false
	}
	usages := c.usagesOf(slots)
	lent := slices.ContainsFunc(usages, func(u usage) bool { return u.worker.binding > 0 })
	return Plan{Slots: slots, Preempt: jobIDs(best.victims), WaitFor: jobIDs(stoppingAllocations(usages)), Lent: mayUseBound && lent}, true
}

// candidateGroups lists the groups of workers that may fit the whole shape: single workers, racks, or all workers.
func (c *Cluster) candidateGroups(shape model.Shape, allRacks bool) [][]*worker {
	racks := make([]*rackInfo, 0, len(c.racks))
	for _, r := range c.racks {
		if (allRacks || c.heldRacks[r]) && r.total >= int(min(shape.Accelerators(), acceleratorsPerWorker(shape))) {
			racks = append(racks, r)
		}
	}
	var candidateGroups [][]*worker
	switch shape.Adjacency {
	case model.AdjacencyWorker:
		for _, r := range racks {
			for _, w := range r.workers {
				if w.total >= int(shape.Accelerators()) {
					candidateGroups = append(candidateGroups, []*worker{w})
				}
			}
		}
	case model.AdjacencyRack:
		racks = slices.DeleteFunc(racks, func(r *rackInfo) bool { return r.total < int(shape.Accelerators()) })
		slices.SortStableFunc(racks, func(a, b *rackInfo) int { return cmp.Compare(b.free[poolAny], a.free[poolAny]) })
		for _, r := range racks[:min(len(racks), maxEvaluatedRacks)] {
			candidateGroups = append(candidateGroups, r.workers)
		}
	default:
		var all []*worker
		for _, r := range racks {
			all = append(all, r.workers...)
		}
		candidateGroups = append(candidateGroups, all)
	}
	return candidateGroups
}

// victimSet collects victims on a group of workers until the shape fits.
type victimSet struct {
	workers     []*worker
	shape       model.Shape
	mayUseBound bool
	id          int
	victims     []*allocation
}

// mark is the scratch state of the victimSet with id setID on a worker; it is invalid for other sets.
type mark struct {
	setID   int
	inGroup bool
	freed   int
}

func (c *Cluster) newVictimSet(workers []*worker, shape model.Shape, mayUseBound bool, avoid map[*worker]bool) *victimSet {
	c.victimSets++
	s := &victimSet{workers: workers, shape: shape, mayUseBound: mayUseBound, id: c.victimSets}
	for _, w := range workers {
		w.mark = mark{setID: s.id, inGroup: w.State == WorkerUsable && !avoid[w]}
	}
	return s
}

func (s *victimSet) inGroup(w *worker) bool { return w.mark.setID == s.id && w.mark.inGroup }

// capacity is the number of accelerators that the job may take on a worker once the victims and the jobs that are being
// stopped have ended.
func (s *victimSet) capacity(w *worker) int {
	if !s.inGroup(w) {
		return 0
	}
	free := w.unused() + w.stopping + w.mark.freed
	if !s.mayUseBound {
		free = min(free, w.total-w.binding-w.unstoppable)
	}
	return max(0, free)
}

func (s *victimSet) fittingTasks() int {
	fittingTasks := 0
	for _, w := range s.workers {
		fittingTasks += s.capacity(w) / int(s.shape.AcceleratorsPerTask)
	}
	return fittingTasks
}

// changeFreed adds (sign 1) or removes (sign -1) a victim and returns the change in the number of tasks that fit.
func (s *victimSet) changeFreed(alloc *allocation, sign int) int {
	change := 0
	for _, u := range alloc.usages {
		if !s.inGroup(u.worker) {
			continue
		}
		before := s.capacity(u.worker)
		u.worker.mark.freed += sign * u.accelerators
		change += s.capacity(u.worker)/int(s.shape.AcceleratorsPerTask) - before/int(s.shape.AcceleratorsPerTask)
	}
	return change
}

// chooseUntilFit adds victims in preemption order until the shape fits, and then drops those that are not needed. It reports
// false if the shape does not fit with all allowed victims.
func (s *victimSet) chooseUntilFit(allowed func(*allocation) bool) bool {
	fittingTasks, want := s.fittingTasks(), int(s.shape.Tasks)
	if fittingTasks >= want {
		return true
	}
	seen := map[*allocation]bool{}
	var candidates []*allocation
	for _, w := range s.workers {
		if !s.inGroup(w) {
			continue
		}
		for _, alloc := range w.allocations {
			if !seen[alloc] && !alloc.stopping && allowed(alloc) {
				seen[alloc] = true
				candidates = append(candidates, alloc)
			}
		}
	}
	slices.SortFunc(candidates, comparePreemption)
	s.victims = nil
	for _, alloc := range candidates {
		change := s.changeFreed(alloc, 1)
		s.victims = append(s.victims, alloc)
		if fittingTasks += change; fittingTasks >= want {
			break
		}
	}
	if fittingTasks < want {
		return false
	}
	for i := len(s.victims) - 1; i >= 0; i-- {
		alloc := s.victims[i]
		if change := s.changeFreed(alloc, -1); fittingTasks+change >= want {
			fittingTasks += change
			s.victims = slices.Delete(s.victims, i, i+1)
			continue
		}
		s.changeFreed(alloc, 1)
	}
	return true
}
