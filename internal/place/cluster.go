package place

import (
	"cmp"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// Cluster is the placement state of one data centre.
type Cluster struct {
	config       *model.Set
	dc           model.DataCentreID
	options      Options
	racks        []*rackInfo
	workers      map[model.WorkerID]*worker
	allocations  map[model.JobID]*allocation
	bindings     []*binding                              // all guarantee copies, ordered by guarantee and number
	used         map[model.CustomerID]model.Accelerators // accelerators that count for the quota
	holder       model.JobID                             // job that holds heldRacks, or empty
	heldRacks    map[*rackInfo]bool
	probeWorkers int // number of workers in state WorkerProbe
	// victimSets is the number of victim sets created so far, which is the id of the latest one.
	victimSets int
	// largestRack is the largest number of accelerators of a rack.
	largestRack int
}

// rackInfo is a rack. The histograms count usable workers by the accelerators available in each pool, so that the number
// of tasks that fit is computed without a loop over the workers.
type rackInfo struct {
	name       model.RackID
	workers    []*worker
	histograms [poolCount][]int // number of workers, by pool and available accelerators
	free       [poolCount]int   // available accelerators of all workers, by pool
	freeCores  int
	total      int // accelerators of all workers, usable or not
}

// worker is the placement state of one worker. All int fields but coreTasks and freeCores count accelerators.
type worker struct {
	Worker
	rack        *rackInfo
	total       int
	unstoppable int            // held by jobs of kindUnstoppable
	stoppable   int            // held by jobs of kindStoppable
	guaranteed  int            // held by jobs of kindGuaranteed
	binding     int            // bound to guarantees
	stopping    int            // held by jobs that are being stopped, also counted by kind
	coreTasks   int            // tasks without accelerators
	available   [poolCount]int // free accelerators that a job may take, by pool
	freeCores   int
	allocations []*allocation
	mark        mark
}

// NewCluster returns the placement state of a data centre without workers.
func NewCluster(config *model.Set, dc model.DataCentreID) *Cluster {
	return NewClusterWithOptions(config, dc, Options{})
}

// NewClusterWithOptions is like NewCluster, with parts of the placement switched off.
func NewClusterWithOptions(config *model.Set, dc model.DataCentreID, options Options) *Cluster {
	c := &Cluster{
		config: config, dc: dc, options: options,
		workers: map[model.WorkerID]*worker{}, allocations: map[model.JobID]*allocation{},
		used: map[model.CustomerID]model.Accelerators{}, heldRacks: map[*rackInfo]bool{},
	}
	c.bindings = newBindings(config, dc)
	return c
}

// SetWorkers replaces the workers. Guarantees whose workers are still usable keep their binding; the others are bound
// again where possible. Jobs on removed workers count for the quota until Remove is called. The rack hold ends.
func (c *Cluster) SetWorkers(current []Worker) {
	sorted := slices.Clone(current)
	slices.SortFunc(sorted, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b Worker) bool { return a.ID == b.ID })
	c.racks, c.workers = nil, make(map[model.WorkerID]*worker, len(sorted))
	rackByID := map[model.RackID]*rackInfo{}
	c.largestRack, c.probeWorkers = 0, 0
	for _, reported := range sorted {
		rack, found := rackByID[reported.Rack]
		if !found {
			rack = &rackInfo{name: reported.Rack}
			rackByID[reported.Rack] = rack
			c.racks = append(c.racks, rack)
		}
		w := &worker{Worker: reported, rack: rack, total: int(reported.Accelerators)}
		if w.Cores == 0 {
			w.Cores = DefaultCores
		}
		if w.State == WorkerProbe {
			c.probeWorkers++
		}
		c.workers[reported.ID] = w
		rack.workers = append(rack.workers, w)
		rack.total += w.total
		c.largestRack = max(c.largestRack, rack.total)
	}
	slices.SortFunc(c.racks, func(a, b *rackInfo) int { return cmp.Compare(a.name, b.name) })
	for _, w := range c.workers {
		w.refreshCapacity(c.options)
	}
	c.reattachAllocations()
	c.BindGuarantees()
	c.dropHoldAfterRebuild()
}

// reattachAllocations counts allocations and bindings on the new workers.
func (c *Cluster) reattachAllocations() {
	for _, id := range sortedJobIDs(c.allocations) {
		alloc := c.allocations[id]
		alloc.usages = c.usagesOf(alloc.slots)
		c.applyAllocation(alloc, 1)
	}
	for _, b := range c.bindings {
		b.usages = nil
		if len(b.slots) == 0 {
			continue
		}
		if c.canKeepBinding(b) {
			b.usages = c.usagesOf(b.slots)
			c.applyBinding(b, 1)
			continue
		}
		c.unbind(b)
	}
}

// canKeepBinding reports whether all workers of a binding are still usable and large enough.
func (c *Cluster) canKeepBinding(b *binding) bool {
	for _, u := range c.usagesOf(b.slots) {
		if u.worker.State != WorkerUsable || u.worker.binding+u.worker.unstoppable+u.accelerators > u.worker.total {
			return false
		}
	}
	for _, slot := range b.slots {
		if w, found := c.workers[slot.Worker]; !found || w.Rack != slot.Rack {
			return false
		}
	}
	return true
}

// Add allocates the slots of a plan to its job. Accelerators of jobs that are being stopped may be counted twice until
// these jobs are removed.
func (c *Cluster) Add(job Job, plan Plan) {
	c.Remove(job.ID)
	class := c.config.JobClasses[job.Class]
	alloc := &allocation{job: job, slots: plan.Slots, rank: class.Priority.Rank(), backfill: plan.Backfill, kind: kindUnstoppable}
	if stoppable(class) {
		alloc.kind = kindStoppable
	}
	for _, slot := range plan.Slots {
		alloc.accelerators += slot.Accelerators
	}
	if plan.Guarantee != "" {
		c.takeCopy(alloc, plan)
	}
	alloc.usages = c.usagesOf(plan.Slots)
	c.allocations[job.ID] = alloc
	c.used[job.Customer] += alloc.accelerators
	c.applyAllocation(alloc, 1)
	if c.holder == job.ID {
		c.ReleaseHold()
	}
}

// takeCopy assigns a guarantee copy to the job, and moves its binding to the job's slots when the job has the guaranteed shape.
func (c *Cluster) takeCopy(alloc *allocation, plan Plan) {
	for _, b := range c.bindings {
		if b.guarantee != plan.Guarantee || b.number != plan.Copy || b.job != nil {
			continue
		}
		alloc.kind, alloc.copy, b.job = kindGuaranteed, b, alloc
		if b.shape == alloc.job.Shape {
			c.unbind(b)
			c.bindTo(b, plan.Slots)
		}
		return
	}
}

// Remove frees the slots of a job that has ended or will not start, and binds guarantees that could not be bound before.
func (c *Cluster) Remove(id model.JobID) {
	alloc, found := c.allocations[id]
	if !found {
		return
	}
	c.applyAllocation(alloc, -1)
	delete(c.allocations, id)
	c.used[alloc.job.Customer] -= alloc.accelerators
	if alloc.stopping {
		c.used[alloc.job.Customer] += alloc.accelerators
	}
	if alloc.copy != nil {
		alloc.copy.job = nil
	}
	if len(c.Unbound()) > 0 {
		c.BindGuarantees()
	}
}

// MarkStopping marks a job as being stopped: it is not preempted again, its accelerators may be planned for other jobs, and
// they no longer count for its customer's quota.
func (c *Cluster) MarkStopping(id model.JobID) {
	alloc, found := c.allocations[id]
	if !found || alloc.stopping {
		return
	}
	alloc.stopping = true
	c.used[alloc.job.Customer] -= alloc.accelerators
	for _, u := range alloc.usages {
		u.worker.stopping += u.accelerators
	}
}

// MarkOverRunTime marks a job that has run for more than three times its declared run time.
func (c *Cluster) MarkOverRunTime(id model.JobID) {
	if alloc, found := c.allocations[id]; found {
		alloc.job.OverRunTime = true
	}
}

// HasJob reports whether a job has an allocation.
func (c *Cluster) HasJob(id model.JobID) bool {
	_, found := c.allocations[id]
	return found
}

// GuaranteeOf returns the guarantee of which the job uses a copy.
func (c *Cluster) GuaranteeOf(id model.JobID) (model.GuaranteeID, bool) {
	alloc, found := c.allocations[id]
	if !found || alloc.copy == nil {
		return "", false
	}
	return alloc.copy.guarantee, true
}

// JobsOnWorker returns the jobs that hold accelerators of a worker, ordered by id.
func (c *Cluster) JobsOnWorker(id model.WorkerID) []model.JobID {
	w, found := c.workers[id]
	if !found {
		return nil
	}
	var ids []model.JobID
	for _, alloc := range w.allocations {
		ids = append(ids, alloc.job.ID)
	}
	slices.Sort(ids)
	return ids
}

// QuotaUsed returns the accelerators that count for a customer's quota.
func (c *Cluster) QuotaUsed(customer model.CustomerID) model.Accelerators { return c.used[customer] }

// applyAllocation adds (sign 1) or removes (sign -1) an allocation on its workers.
func (c *Cluster) applyAllocation(alloc *allocation, sign int) {
	for _, u := range alloc.usages {
		w := u.worker
		switch alloc.kind {
		case kindUnstoppable:
			w.unstoppable += sign * u.accelerators
		case kindStoppable:
			w.stoppable += sign * u.accelerators
		case kindGuaranteed:
			w.guaranteed += sign * u.accelerators
		}
		if alloc.stopping {
			w.stopping += sign * u.accelerators
		}
		w.coreTasks += sign * u.coreTasks
		if u.accelerators > 0 {
			if sign > 0 {
				w.allocations = append(w.allocations, alloc)
			} else if at := slices.Index(w.allocations, alloc); at >= 0 {
				w.allocations = slices.Delete(w.allocations, at, at+1)
			}
		}
		w.refreshCapacity(c.options)
	}
}

// applyBinding adds (sign 1) or removes (sign -1) a binding on its workers.
func (c *Cluster) applyBinding(b *binding, sign int) {
	for _, u := range b.usages {
		u.worker.binding += sign * u.accelerators
		u.worker.refreshCapacity(c.options)
	}
}

// usagesOf sums slots by worker, in the order of the slots; slots on unknown workers are left out.
func (c *Cluster) usagesOf(slots []Slot) []usage {
	usages := make([]usage, 0, min(len(slots), 8))
	indexOf := make(map[*worker]int, len(slots))
	for _, slot := range slots {
		w, found := c.workers[slot.Worker]
		if !found {
			continue
		}
		i, seen := indexOf[w]
		if !seen {
			i = len(usages)
			indexOf[w] = i
			usages = append(usages, usage{worker: w})
		}
		usages[i].accelerators += int(slot.Accelerators)
		if slot.Accelerators == 0 {
			usages[i].coreTasks++
		}
	}
	return usages
}

// unused is the number of accelerators that no job holds; it is negative while a planned job waits for jobs that are
// being stopped.
func (w *worker) unused() int { return w.total - w.unstoppable - w.stoppable - w.guaranteed }

// refreshCapacity recomputes the available accelerators of each pool and updates the rack's totals and histograms.
func (w *worker) refreshCapacity(options Options) {
	var available [poolCount]int
	freeCores := 0
	if w.State == WorkerUsable {
		free := w.unused()
		unbound := w.total - w.binding - w.unstoppable
		available[poolUnstoppable] = max(0, min(free, unbound))
		available[poolUnbound] = max(0, min(free, unbound-w.stoppable))
		available[poolAny] = max(0, free)
		if options.NoLending {
			available[poolUnstoppable], available[poolAny] = available[poolUnbound], available[poolUnbound]
		}
		if options.LendToUnstoppable {
			available[poolUnstoppable] = available[poolAny]
		}
		freeCores = max(0, w.Cores-w.coreTasks)
	}
	w.rack.freeCores += freeCores - w.freeCores
	w.freeCores = freeCores
	for pool := range poolCount {
		w.rack.moveInHistogram(pool, w.available[pool], available[pool])
	}
	w.available = available
}

// moveInHistogram updates one worker's entry in a histogram; workers with nothing available are not counted.
func (r *rackInfo) moveInHistogram(pool capacityPool, from, to int) {
	if from == to {
		return
	}
	if from > 0 {
		r.histograms[pool][from]--
	}
	if to > 0 {
		for len(r.histograms[pool]) <= to {
			r.histograms[pool] = append(r.histograms[pool], 0)
		}
		r.histograms[pool][to]++
	}
	r.free[pool] += to - from
}

// fittingTasks is the number of tasks of perTask accelerators that fit into the rack.
func (r *rackInfo) fittingTasks(pool capacityPool, perTask int) int {
	tasks := 0
	for avail := perTask; avail < len(r.histograms[pool]); avail++ {
		tasks += r.histograms[pool][avail] * (avail / perTask)
	}
	return tasks
}

// stoppable reports whether jobs of a class may run on lent capacity, because they can be stopped within model.MaxStopWithin.
func stoppable(class model.JobClass) bool {
	return class.Stoppable() && class.StopWithin <= model.MaxStopWithin
}

func sortedJobIDs[V any](from map[model.JobID]V) []model.JobID {
	ids := make([]model.JobID, 0, len(from))
	for id := range from {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
