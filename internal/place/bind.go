package place

import (
	"cmp"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// newBindings returns an unbound binding for every copy of the data centre's guarantees, in a fixed order.
func newBindings(config *model.Set, dc model.DataCentreID) []*binding {
	var bindings []*binding
	for id, guarantee := range config.Guarantees {
		if guarantee.DataCentre != dc || config.Shapes[guarantee.Shape].Accelerators() <= 0 {
			continue
		}
		for number := range guarantee.Count {
			bindings = append(bindings, &binding{
				guarantee: id, customer: guarantee.Customer, shape: guarantee.Shape, number: number,
			})
		}
	}
	slices.SortFunc(bindings, func(a, b *binding) int {
		return cmp.Or(cmp.Compare(a.guarantee, b.guarantee), cmp.Compare(a.number, b.number))
	})
	return bindings
}

// BindGuarantees binds unbound guarantee copies, by best fit decreasing, to accelerators that no unstoppable job holds. Copies that
// do not fit stay unbound.
func (c *Cluster) BindGuarantees() {
	var unbound []*binding
	for _, b := range c.bindings {
		if len(b.slots) == 0 {
			unbound = append(unbound, b)
		}
	}
	if len(unbound) == 0 {
		return
	}
	// Best fit decreasing is a heuristic: when an order leaves copies unbound, the next order is tried, and after the fixed
	// orders the copies left unbound go first. The best result is kept.
	var best [][]Slot
	bestCount := -1
	orders := bindingOrders()
	for try := range len(orders) + bindRetries {
		if try < len(orders) {
			slices.SortStableFunc(unbound, func(a, b *binding) int {
				return orders[try](c.config.Shapes[a.shape], c.config.Shapes[b.shape])
			})
		}
		unplaced := c.bindInOrder(unbound)
		if count := len(unbound) - len(unplaced); count > bestCount {
			bestCount, best = count, nil
			for _, b := range c.bindings {
				best = append(best, b.slots)
			}
		}
		if len(unplaced) == 0 {
			return
		}
		for _, b := range unbound {
			c.unbind(b)
		}
		unbound = slices.Concat(unplaced, slices.DeleteFunc(unbound, func(b *binding) bool { return slices.Contains(unplaced, b) }))
	}
	for i, b := range c.bindings {
		if len(b.slots) == 0 && len(best[i]) > 0 {
			c.bindTo(b, best[i])
		}
	}
}

// bindRetries is the number of orders tried after the fixed ones.
const bindRetries = 8

// bindInOrder binds the copies in order and returns those that do not fit.
func (c *Cluster) bindInOrder(copies []*binding) []*binding {
	var unplaced []*binding
	for _, b := range copies {
		slots := c.findBinding(c.config.Shapes[b.shape])
		if slots == nil {
			unplaced = append(unplaced, b)
			continue
		}
		c.bindTo(b, slots)
	}
	return unplaced
}

// bindingOrders returns the fixed orders in which copies are tried; shapes with adjacency any mostly come last because they
// fit anywhere.
func bindingOrders() []func(a, b model.Shape) int {
	wide := func(s model.Shape) int {
		if s.Adjacency == model.AdjacencyAny {
			return 1
		}
		return 0
	}
	size := func(a, b model.Shape) int { return cmp.Compare(b.Accelerators(), a.Accelerators()) }
	task := func(a, b model.Shape) int { return cmp.Compare(acceleratorsPerWorker(b), acceleratorsPerWorker(a)) }
	return []func(a, b model.Shape) int{
		func(a, b model.Shape) int { return cmp.Or(cmp.Compare(wide(a), wide(b)), size(a, b), task(a, b)) },
		func(a, b model.Shape) int { return cmp.Or(cmp.Compare(wide(a), wide(b)), task(a, b), size(a, b)) },
		func(a, b model.Shape) int { return cmp.Or(task(a, b), size(a, b)) },
	}
}

// acceleratorsPerWorker is the number of accelerators that must be on one worker.
func acceleratorsPerWorker(s model.Shape) model.Accelerators {
	if s.Adjacency == model.AdjacencyWorker {
		return s.Accelerators()
	}
	return s.AcceleratorsPerTask
}

// findBinding returns slots for a copy, or nil. It takes the rack with the least free capacity that fits the shape, and in it
// the fullest workers first.
func (c *Cluster) findBinding(shape model.Shape) []Slot {
	capacity := c.bindableAccelerators
	var bestRack *rackInfo
	bestFree := 0
	if shape.Adjacency != model.AdjacencyAny {
		for _, r := range c.racks {
			rackFree, tasks := 0, 0
			for _, w := range r.workers {
				free := capacity(w)
				rackFree += free
				tasks = addFittingTasks(shape, tasks, free)
			}
			if tasks >= int(shape.Tasks) && (bestRack == nil || rackFree < bestFree) {
				bestRack, bestFree = r, rackFree
			}
		}
		if bestRack == nil {
			return nil
		}
		return placeTasks(bestRack.workers, shape, capacity, nil)
	}
	var all []*worker
	for _, r := range c.racks {
		all = append(all, r.workers...)
	}
	return placeTasks(all, shape, capacity, nil)
}

// bindableAccelerators is the number of accelerators that a binding may take on a worker: those that are not bound and that no
// unstoppable job holds. With Options.NoLending, the accelerators of stoppable jobs are excluded too.
func (c *Cluster) bindableAccelerators(w *worker) int {
	if w.State != WorkerUsable {
		return 0
	}
	free := w.total - w.binding - w.unstoppable
	if c.options.NoLending {
		free -= w.stoppable
	}
	return max(0, free)
}

// addFittingTasks adds the tasks that fit into the free accelerators of one more worker. For adjacency worker it returns the
// maximum, because one worker must take the whole shape.
func addFittingTasks(shape model.Shape, tasks, free int) int {
	fits := free / int(max(1, shape.AcceleratorsPerTask))
	if shape.Adjacency == model.AdjacencyWorker {
		return max(tasks, fits)
	}
	return tasks + fits
}

// bindTo binds a copy to slots, which must have enough bindable accelerators.
func (c *Cluster) bindTo(b *binding, slots []Slot) {
	b.slots = slots
	b.usages = c.usagesOf(slots)
	c.applyBinding(b, 1)
}

// unbind removes the slots of a binding. A job that uses the copy stays where it is and counts as a job of its class from
// then on.
func (c *Cluster) unbind(b *binding) {
	c.applyBinding(b, -1)
	b.slots, b.usages = nil, nil
	alloc := b.job
	// A job that is being added has no usages yet and keeps its copy.
	if alloc == nil || alloc.usages == nil {
		return
	}
	c.applyAllocation(alloc, -1)
	alloc.kind, alloc.copy, b.job = kindUnstoppable, nil, nil
	if stoppable(c.config.JobClasses[alloc.job.Class]) {
		alloc.kind = kindStoppable
	}
	c.applyAllocation(alloc, 1)
}

// Unbound returns the guarantee copies that cannot be bound now, ordered by guarantee and number.
func (c *Cluster) Unbound() []Unbound {
	var unbound []Unbound
	for _, b := range c.bindings {
		if len(b.slots) == 0 {
			unbound = append(unbound, Unbound{Guarantee: b.guarantee, Copy: b.number})
		}
	}
	return unbound
}

// Reconfigure applies another configuration. Copies of unchanged guarantees keep their slots and jobs; the others are bound
// again to accelerators that no unstoppable job holds.
func (c *Cluster) Reconfigure(config *model.Set) {
	type copyKey struct {
		guarantee model.GuaranteeID
		number    int
	}
	previous := make(map[copyKey]*binding, len(c.bindings))
	for _, b := range c.bindings {
		previous[copyKey{b.guarantee, b.number}] = b
	}
	shapes := c.config.Shapes
	c.config = config
	bindings := newBindings(config, c.dc)
	for i, b := range bindings {
		kept := previous[copyKey{b.guarantee, b.number}]
		if kept != nil && kept.customer == b.customer && kept.shape == b.shape && shapes[b.shape] == config.Shapes[b.shape] {
			bindings[i] = kept
			delete(previous, copyKey{b.guarantee, b.number})
		}
	}
	for _, b := range previous {
		c.unbind(b)
	}
	c.bindings = bindings
	for _, id := range sortedJobIDs(c.allocations) {
		c.updateClass(c.allocations[id])
	}
	c.BindGuarantees()
}

// updateClass applies the current priority of the job's class, and its kind if the job uses no guarantee copy.
func (c *Cluster) updateClass(alloc *allocation) {
	class := c.config.JobClasses[alloc.job.Class]
	alloc.rank = class.Priority.Rank()
	want := kindUnstoppable
	if stoppable(class) {
		want = kindStoppable
	}
	if alloc.kind == kindGuaranteed || alloc.kind == want {
		return
	}
	c.applyAllocation(alloc, -1)
	alloc.kind = want
	c.applyAllocation(alloc, 1)
}

// Running is a job that already runs when a new owner takes over the data centre.
type Running struct {
	Job   Job
	Slots []Slot
	Lent  bool
	// Guarantee is set for a job that uses a copy of a guarantee.
	Guarantee model.GuaranteeID
}

// Restore replaces all workers and jobs. Guarantee copies are bound to the slots of their customers' jobs first, and the remaining
// ones to accelerators that no unstoppable job holds.
func (c *Cluster) Restore(workers []Worker, running []Running) {
	c.allocations, c.used = map[model.JobID]*allocation{}, map[model.CustomerID]model.Accelerators{}
	c.ReleaseHold()
	// Copies are bound after the jobs are added; binding them before would take the jobs' slots.
	c.bindings = nil
	c.SetWorkers(workers)
	c.bindings = newBindings(c.config, c.dc)
	sorted := slices.Clone(running)
	slices.SortFunc(sorted, func(a, b Running) int {
		return cmp.Or(cmp.Compare(a.Job.Order, b.Job.Order), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	var smaller []Running
	for _, r := range sorted {
		plan := Plan{Slots: r.Slots, Lent: r.Lent}
		if b := c.unboundCopyFor(r); b != nil {
			plan.Guarantee, plan.Copy = b.guarantee, b.number
		} else if r.Guarantee != "" {
			smaller = append(smaller, r)
			continue
		}
		c.Add(r.Job, plan)
	}
	// Jobs that use a part of a copy come last, so that their copy is bound to slots that no other job holds.
	for _, r := range smaller {
		plan := Plan{Slots: r.Slots, Lent: r.Lent}
		if b := c.bindCopyAround(r); b != nil {
			plan.Guarantee, plan.Copy = b.guarantee, b.number
		}
		c.Add(r.Job, plan)
	}
	c.BindGuarantees()
}

// bindCopyAround binds an unbound copy of the job's guarantee so that it covers the slots of the job; it returns nil if that
// is not possible.
func (c *Cluster) bindCopyAround(r Running) *binding {
	index := slices.IndexFunc(c.bindings, func(b *binding) bool {
		return len(b.slots) == 0 && b.guarantee == r.Guarantee && b.customer == r.Job.Customer
	})
	usages := c.usagesOf(r.Slots)
	if index < 0 || len(usages) == 0 {
		return nil
	}
	needed := make(map[*worker]int, len(usages))
	for _, u := range usages {
		needed[u.worker] = u.accelerators
	}
	b := c.bindings[index]
	shape := c.config.Shapes[b.shape]
	workers := usages[0].worker.rack.workers
	if shape.Adjacency == model.AdjacencyAny {
		workers = nil
		for _, rack := range c.racks {
			workers = append(workers, rack.workers...)
		}
	}
	slots := placeTasks(workers, shape, c.bindableAccelerators, func(a, b *worker) int { return cmp.Compare(needed[b], needed[a]) })
	covered := map[*worker]int{}
	for _, u := range c.usagesOf(slots) {
		covered[u.worker] = u.accelerators
	}
	for w, accelerators := range needed {
		if covered[w] < accelerators {
			return nil
		}
	}
	c.bindTo(b, slots)
	return b
}

// unboundCopyFor returns an unbound copy with the customer and shape of the job, or nil; a job on lent capacity gets none.
func (c *Cluster) unboundCopyFor(r Running) *binding {
	if r.Lent {
		return nil
	}
	for _, slot := range r.Slots {
		if w, found := c.workers[slot.Worker]; !found || w.State != WorkerUsable {
			return nil
		}
	}
	for _, b := range c.bindings {
		if len(b.slots) == 0 && b.job == nil && b.customer == r.Job.Customer && b.shape == r.Job.Shape {
			return b
		}
	}
	return nil
}
