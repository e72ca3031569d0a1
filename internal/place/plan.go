package place

import (
	"cmp"
	"slices"
	"strconv"

	"peridotgw.example/peridotgw/model"
)

// Plan chooses slots for a job, or explains why there are none. It does not change the allocations: Add applies a plan.
func (c *Cluster) Plan(job Job) (Plan, *Blocked) {
	shape, known := c.config.Shapes[job.Shape]
	class, classKnown := c.config.JobClasses[job.Class]
	if !known || !classKnown || shape.Tasks <= 0 {
		return Plan{}, &Blocked{Reason: BlockUnknown, Inputs: map[string]string{
			"shape": string(job.Shape), "class": string(job.Class),
		}}
	}
	quota := c.config.Customers[job.Customer].QuotaAccelerators
	if used := c.used[job.Customer]; quota > 0 && used+shape.Accelerators() > quota {
		return Plan{}, &Blocked{Reason: BlockQuota, Inputs: map[string]string{
			"quota": itoa(quota), "used": itoa(used), "needed": itoa(shape.Accelerators()),
		}}
	}
	if shape.AcceleratorsPerTask == 0 {
		return c.planCoreTasks(job, shape)
	}
	if plan, ok := c.planGuaranteed(job, shape); ok {
		return plan, nil
	}
	if plan, ok := c.planOnProbeWorker(job, shape, class); ok {
		return plan, nil
	}
	if plan, ok := c.planOnFreeCapacity(job, shape, class); ok {
		return plan, nil
	}
	if plan, ok := c.planInsideCopy(job, shape); ok {
		return plan, nil
	}
	if plan, ok := c.planWithPreemption(job, shape, class); ok {
		return plan, nil
	}
	return Plan{}, c.blocked(job, shape, class)
}

// planOnFreeCapacity uses free capacity: for stoppable jobs first the unbound part, then the lent part.
func (c *Cluster) planOnFreeCapacity(job Job, shape model.Shape, class model.JobClass) (Plan, bool) {
	pools := []capacityPool{poolUnstoppable}
	if stoppable(class) {
		pools = []capacityPool{poolUnbound, poolAny}
	}
	for _, pool := range pools {
		slots, backfill := c.findFreeSlots(job, shape, class, pool)
		if slots == nil {
			continue
		}
		return Plan{Slots: slots, Lent: pool == poolAny, Backfill: backfill}, true
	}
	return Plan{}, false
}

// mayUseRack reports whether a job may use a rack, and whether that is backfill of a held rack.
func (c *Cluster) mayUseRack(r *rackInfo, job Job, class model.JobClass) (allowed, backfill bool) {
	if !c.heldRacks[r] || c.holder == job.ID || class.Priority == model.PriorityUrgent {
		return true, false
	}
	return stoppable(class), true
}

// findFreeSlots returns free slots by best fit, in the fullest rack that fits the shape, or nil.
func (c *Cluster) findFreeSlots(job Job, shape model.Shape, class model.JobClass, pool capacityPool) (slots []Slot, backfill bool) {
	perTask, tasks := int(shape.AcceleratorsPerTask), int(shape.Tasks)
	need := perTask
	if shape.Adjacency == model.AdjacencyWorker {
		need, tasks = int(shape.Accelerators()), 1
	}
	avoid := c.avoidedWorkers(job)
	capacity := func(w *worker) int {
		if avoid[w] {
			return 0
		}
		return w.available[pool]
	}
	var candidates []*rackInfo
	for _, r := range c.racks {
		allowed, _ := c.mayUseRack(r, job, class)
		if allowed && r.fittingTasks(pool, need) >= tasks {
			candidates = append(candidates, r)
		}
	}
	// Racks are compared by all free accelerators, so that partly used racks fill up whichever part of them is bound.
	compare := func(a, b *rackInfo) int {
		return cmp.Or(cmp.Compare(a.free[poolAny], b.free[poolAny]), cmp.Compare(a.name, b.name))
	}
	for len(candidates) > 0 {
		best := 0
		if !c.options.FirstFit {
			for i := range candidates {
				if compare(candidates[i], candidates[best]) < 0 {
					best = i
				}
			}
		}
		if slots := c.placeTasks(candidates[best].workers, shape, capacity); slots != nil {
			_, backfill := c.mayUseRack(candidates[best], job, class)
			return slots, backfill
		}
		candidates = slices.Delete(candidates, best, best+1)
	}
	if shape.Adjacency != model.AdjacencyAny {
		return nil, false
	}
	return c.spreadOverRacks(job, shape, class, pool, capacity, compare)
}

// spreadOverRacks places a shape with adjacency any on several racks, the fullest first.
func (c *Cluster) spreadOverRacks(
	job Job, shape model.Shape, class model.JobClass, pool capacityPool, capacity func(*worker) int, compare func(a, b *rackInfo) int,
) (slots []Slot, backfill bool) {
	perTask, fittingTasks := int(shape.AcceleratorsPerTask), 0
	var racks []*rackInfo
	for _, r := range c.racks {
		allowed, held := c.mayUseRack(r, job, class)
		if fits := r.fittingTasks(pool, perTask); allowed && fits > 0 {
			racks = append(racks, r)
			fittingTasks += fits
			backfill = backfill || held
		}
	}
	if fittingTasks < int(shape.Tasks) {
		return nil, false
	}
	if !c.options.FirstFit {
		slices.SortFunc(racks, compare)
	}
	remaining := shape
	for _, r := range racks {
		part := remaining
		part.Tasks = min(remaining.Tasks, model.TaskCount(fittingTasksOn(r.workers, perTask, capacity)))
		if part.Tasks == 0 {
			continue
		}
		slots = append(slots, c.placeTasks(r.workers, part, capacity)...)
		remaining.Tasks -= part.Tasks
		if remaining.Tasks == 0 {
			return slots, backfill
		}
	}
	return nil, false
}

func fittingTasksOn(workers []*worker, perTask int, capacity func(*worker) int) int {
	tasks := 0
	for _, w := range workers {
		tasks += capacity(w) / perTask
	}
	return tasks
}

func (c *Cluster) placeTasks(workers []*worker, shape model.Shape, capacity func(*worker) int) []Slot {
	if c.options.FirstFit {
		return placeTasks(workers, shape, capacity, func(_, _ *worker) int { return 0 })
	}
	return placeTasks(workers, shape, capacity, nil)
}

// placeTasks puts the tasks of a shape on the workers with the least capacity first, or in the order of compare if it is not
// nil. It returns nil if the tasks do not fit.
func placeTasks(workers []*worker, shape model.Shape, capacity func(*worker) int, compare func(a, b *worker) int) []Slot {
	perTask, tasks, need := int(shape.AcceleratorsPerTask), int(shape.Tasks), int(shape.AcceleratorsPerTask)
	if shape.Adjacency == model.AdjacencyWorker {
		need = int(shape.Accelerators())
	}
	usable := make([]*worker, 0, min(len(workers), 64))
	for _, w := range workers {
		if capacity(w) >= need {
			usable = append(usable, w)
		}
	}
	if compare == nil {
		compare = func(a, b *worker) int { return cmp.Compare(capacity(a), capacity(b)) }
	}
	slices.SortStableFunc(usable, compare)
	slots := make([]Slot, 0, tasks)
	for _, w := range usable {
		for left := capacity(w); left >= perTask && len(slots) < tasks; left -= perTask {
			slots = append(slots, Slot{Worker: w.ID, Rack: w.Rack, Accelerators: shape.AcceleratorsPerTask})
		}
		if len(slots) == tasks {
			return slots
		}
	}
	return nil
}

// planOnProbeWorker places one stoppable job on an empty worker in state WorkerProbe, which is leaving quarantine.
func (c *Cluster) planOnProbeWorker(job Job, shape model.Shape, class model.JobClass) (Plan, bool) {
	if c.probeWorkers == 0 || !stoppable(class) {
		return Plan{}, false
	}
	avoid := c.avoidedWorkers(job)
	for _, r := range c.racks {
		for _, w := range r.workers {
			if w.State != WorkerProbe || len(w.allocations) > 0 || avoid[w] || w.total < int(shape.Accelerators()) {
				continue
			}
			capacity := func(w *worker) int { return w.total }
			return Plan{Slots: placeTasks([]*worker{w}, shape, capacity, nil)}, true
		}
	}
	return Plan{}, false
}

// planCoreTasks places tasks without accelerators, which take one core each.
func (c *Cluster) planCoreTasks(job Job, shape model.Shape) (Plan, *Blocked) {
	tasks, free := int(shape.Tasks), 0
	var best *rackInfo
	for _, r := range c.racks {
		free += r.freeCores
		if r.freeCores < tasks || (shape.Adjacency == model.AdjacencyWorker && !r.hasWorkerWithCores(tasks)) {
			continue
		}
		if best == nil || (!c.options.FirstFit && r.freeCores < best.freeCores) {
			best = r
		}
	}
	racks := []*rackInfo{best}
	if best == nil {
		if shape.Adjacency != model.AdjacencyAny || free < tasks {
			return Plan{}, &Blocked{Reason: BlockNoCapacity, Inputs: map[string]string{
				"tasks": strconv.Itoa(tasks), "free-cores": strconv.Itoa(free), "adjacency": string(shape.Adjacency),
			}}
		}
		racks = c.racks
	}
	avoid := c.avoidedWorkers(job)
	slots := make([]Slot, 0, tasks)
	for _, r := range racks {
		for _, w := range r.workers {
			if avoid[w] || (shape.Adjacency == model.AdjacencyWorker && w.freeCores < tasks) {
				continue
			}
			for left := w.freeCores; left > 0 && len(slots) < tasks; left-- {
				slots = append(slots, Slot{Worker: w.ID, Rack: w.Rack})
			}
			if len(slots) == tasks {
				return Plan{Slots: slots}, nil
			}
		}
	}
	return Plan{}, &Blocked{Reason: BlockFragmented, Inputs: map[string]string{
		"tasks": strconv.Itoa(tasks), "avoided-workers": strconv.Itoa(len(avoid)),
	}}
}

func (r *rackInfo) hasWorkerWithCores(tasks int) bool {
	return slices.ContainsFunc(r.workers, func(w *worker) bool { return w.freeCores >= tasks })
}

func (c *Cluster) avoidedWorkers(job Job) map[*worker]bool {
	if len(job.Avoid) == 0 {
		return nil
	}
	avoid := make(map[*worker]bool, len(job.Avoid))
	for _, id := range job.Avoid {
		if w, found := c.workers[id]; found {
			avoid[w] = true
		}
	}
	return avoid
}

// blocked explains why a job does not fit, with the reason on which an operator or customer can act.
func (c *Cluster) blocked(job Job, shape model.Shape, class model.JobClass) *Blocked {
	perTask := int(shape.AcceleratorsPerTask)
	free, unbound, tasks, largest, held := 0, 0, 0, 0, false
	for _, r := range c.racks {
		free += r.free[poolAny]
		unbound += r.free[poolUnstoppable]
		tasks += r.fittingTasks(poolUnstoppable, perTask)
		largest = max(largest, r.free[poolAny])
		allowed, _ := c.mayUseRack(r, job, class)
		held = held || (!allowed && r.fittingTasks(poolUnstoppable, perTask) >= int(shape.Tasks))
	}
	blocked := &Blocked{Reason: BlockNoCapacity, Inputs: map[string]string{
		"tasks": strconv.Itoa(int(shape.Tasks)), "accelerators-per-task": itoa(shape.AcceleratorsPerTask),
		"adjacency": string(shape.Adjacency), "free": strconv.Itoa(free), "free-unbound": strconv.Itoa(unbound),
		"largest-rack-free": strconv.Itoa(largest), "fitting-tasks": strconv.Itoa(tasks),
		"stoppable": strconv.FormatBool(stoppable(class)),
	}}
	if unboundCopies := len(c.Unbound()); unboundCopies > 0 {
		blocked.Inputs["unbound-copies"] = strconv.Itoa(unboundCopies)
	}
	need := int(shape.Accelerators())
	switch {
	case held:
		blocked.Reason = BlockHeld
		blocked.Inputs["holder"] = string(c.holder)
	case unbound >= need || (stoppable(class) && free >= need):
		blocked.Reason = BlockFragmented
	case free >= need:
		blocked.Reason = BlockBound
	}
	return blocked
}

func itoa(n model.Accelerators) string { return strconv.Itoa(int(n)) }
