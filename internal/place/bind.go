package place

import (
	"cmp"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// copiesOf lists every copy of the data centre's guarantees in a fixed order.
func copiesOf(set *model.Set, dc model.DataCentreID) []*bound {
	var copies []*bound
	for id, guarantee := range set.Guarantees {
		if guarantee.DataCentre != dc || set.Shapes[guarantee.Shape].Accelerators() <= 0 {
			continue
		}
		for number := range guarantee.Count {
			copies = append(copies, &bound{
				guarantee: id, customer: guarantee.Customer, shape: guarantee.Shape, number: number,
			})
		}
	}
	slices.SortFunc(copies, func(a, b *bound) int {
		return cmp.Or(cmp.Compare(a.guarantee, b.guarantee), cmp.Compare(a.number, b.number))
	})
	return copies
}

// Bind binds every copy that has no binding, best fit decreasing, around the work that cannot be stopped.
func (c *Cluster) Bind() {
	var open []*bound
	for _, b := range c.copies {
		if len(b.slots) == 0 {
			open = append(open, b)
		}
	}
	if len(open) == 0 {
		return
	}
	// Best fit decreasing is a heuristic: when an order leaves copies out, the next is tried, and then those that were
	// left out go first. The best result stays.
	var best [][]Slot
	bestCount := -1
	orders := bindOrders()
	for try := range len(orders) + bindRetries {
		if try < len(orders) {
			slices.SortStableFunc(open, func(a, b *bound) int {
				return orders[try](c.set.Shapes[a.shape], c.set.Shapes[b.shape])
			})
		}
		left := c.bindAll(open)
		if count := len(open) - len(left); count > bestCount {
			bestCount, best = count, nil
			for _, b := range c.copies {
				best = append(best, b.slots)
			}
		}
		if len(left) == 0 {
			return
		}
		for _, b := range open {
			c.unbind(b)
		}
		open = slices.Concat(left, slices.DeleteFunc(open, func(b *bound) bool { return slices.Contains(left, b) }))
	}
	for i, b := range c.copies {
		if len(b.slots) == 0 && len(best[i]) > 0 {
			c.bindAt(b, best[i])
		}
	}
}

// bindRetries bounds the orders that are tried after the fixed ones.
const bindRetries = 8

// bindAll binds the copies in order and returns those that found no place.
func (c *Cluster) bindAll(open []*bound) []*bound {
	var left []*bound
	for _, b := range open {
		slots := c.bindingFor(c.set.Shapes[b.shape])
		if slots == nil {
			left = append(left, b)
			continue
		}
		c.bindAt(b, slots)
	}
	return left
}

// bindOrders are the orders in which copies are tried; wide adjacencies come last because they fit anywhere.
func bindOrders() []func(a, b model.Shape) int {
	wide := func(s model.Shape) int {
		if s.Adjacency == model.AdjacencyAny {
			return 1
		}
		return 0
	}
	size := func(a, b model.Shape) int { return cmp.Compare(b.Accelerators(), a.Accelerators()) }
	task := func(a, b model.Shape) int { return cmp.Compare(unit(b), unit(a)) }
	return []func(a, b model.Shape) int{
		func(a, b model.Shape) int { return cmp.Or(cmp.Compare(wide(a), wide(b)), size(a, b), task(a, b)) },
		func(a, b model.Shape) int { return cmp.Or(cmp.Compare(wide(a), wide(b)), task(a, b), size(a, b)) },
		func(a, b model.Shape) int { return cmp.Or(task(a, b), size(a, b)) },
	}
}

// unit is the number of accelerators that must be on one worker.
func unit(s model.Shape) model.Accelerators {
	if s.Adjacency == model.AdjacencyWorker {
		return s.Accelerators()
	}
	return s.AcceleratorsPerTask
}

// bindingFor finds places for a copy: the rack with the least room left that takes it, and in it the fullest workers.
func (c *Cluster) bindingFor(shape model.Shape) []Slot {
	room := c.bindRoom
	var bestRack *cell
	bestRoom := 0
	if shape.Adjacency != model.AdjacencyAny {
		for _, r := range c.racks {
			sum, tasks := 0, 0
			for _, n := range r.nodes {
				left := room(n)
				sum += left
				tasks = taskSum(shape, tasks, left)
			}
			if tasks >= int(shape.Tasks) && (bestRack == nil || sum < bestRoom) {
				bestRack, bestRoom = r, sum
			}
		}
		if bestRack == nil {
			return nil
		}
		return fill(bestRack.nodes, shape, room, nil)
	}
	var all []*node
	for _, r := range c.racks {
		all = append(all, r.nodes...)
	}
	return fill(all, shape, room, nil)
}

// bindRoom is what a binding may take on a worker. Work that cannot be stopped stays where it is; with a strict partition
// that is all work.
func (c *Cluster) bindRoom(n *node) int {
	if n.State != WorkerUsable {
		return 0
	}
	left := n.total - n.bound - n.firm
	if c.options.NoLending {
		left -= n.soft
	}
	return max(0, left)
}

// taskSum adds the tasks that fit into left accelerators; a worker shape must fit into one worker.
func taskSum(shape model.Shape, tasks, left int) int {
	fits := left / int(max(1, shape.AcceleratorsPerTask))
	if shape.Adjacency == model.AdjacencyWorker {
		return max(tasks, fits)
	}
	return tasks + fits
}

// bindAt binds a copy to places; they must have room.
func (c *Cluster) bindAt(b *bound, slots []Slot) {
	b.slots = slots
	b.uses = c.usesOf(slots)
	c.applyBound(b, 1)
}

// unbind removes a binding. A job that was counted inside the copy stays where it is and counts as work of its class until it ends.
func (c *Cluster) unbind(b *bound) {
	c.applyBound(b, -1)
	b.slots, b.uses = nil, nil
	l := b.job
	// A job that is being added has no uses yet and keeps its copy.
	if l == nil || l.uses == nil {
		return
	}
	c.apply(l, -1)
	l.kind, l.copy, b.job = kindFirm, nil, nil
	if stoppable(c.set.JobClasses[l.job.Class]) {
		l.kind = kindSoft
	}
	c.apply(l, 1)
}

// Unbound lists the copies that cannot be bound now.
func (c *Cluster) Unbound() []Unbound {
	var open []Unbound
	for _, b := range c.copies {
		if len(b.slots) == 0 {
			open = append(open, Unbound{Guarantee: b.guarantee, Copy: b.number})
		}
	}
	return open
}

// Reconfigure applies another configuration. Copies of guarantees that are the same keep their places and jobs; the others
// are bound anew around the work that cannot be stopped.
func (c *Cluster) Reconfigure(set *model.Set) {
	type key struct {
		guarantee model.GuaranteeID
		number    int
	}
	old := make(map[key]*bound, len(c.copies))
	for _, b := range c.copies {
		old[key{b.guarantee, b.number}] = b
	}
	shapes := c.set.Shapes
	c.set = set
	copies := copiesOf(set, c.dc)
	for i, b := range copies {
		kept := old[key{b.guarantee, b.number}]
		if kept != nil && kept.customer == b.customer && kept.shape == b.shape && shapes[b.shape] == set.Shapes[b.shape] {
			copies[i] = kept
			delete(old, key{b.guarantee, b.number})
		}
	}
	for _, b := range old {
		c.unbind(b)
	}
	c.copies = copies
	for _, id := range sortedIDs(c.loads) {
		c.reclassify(c.loads[id])
	}
	c.Bind()
}

// reclassify applies a changed class to a job that is outside of guarantees.
func (c *Cluster) reclassify(l *load) {
	class := c.set.JobClasses[l.job.Class]
	l.rank = class.Priority.Rank()
	want := kindFirm
	if stoppable(class) {
		want = kindSoft
	}
	if l.kind == kindInside || l.kind == want {
		return
	}
	c.apply(l, -1)
	l.kind = want
	c.apply(l, 1)
}

// Running is a job that runs already, as found by a new owner.
type Running struct {
	Job   Job
	Slots []Slot
	Lent  bool
	// Guarantee is set for a job that takes a copy of a guarantee.
	Guarantee model.GuaranteeID
}

// Restore replaces workers and jobs: copies of guarantees are first bound where their customers' jobs run, and the rest
// around the work that cannot be stopped.
func (c *Cluster) Restore(workers []Worker, running []Running) {
	c.loads, c.used = map[model.JobID]*load{}, map[model.CustomerID]model.Accelerators{}
	c.ReleaseHold()
	// Copies are bound after the jobs are known; binding them before would take the jobs' places.
	c.copies = nil
	c.SetWorkers(workers)
	c.copies = copiesOf(c.set, c.dc)
	sorted := slices.Clone(running)
	slices.SortFunc(sorted, func(a, b Running) int {
		return cmp.Or(cmp.Compare(a.Job.Order, b.Job.Order), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	var smaller []Running
	for _, r := range sorted {
		plan := Plan{Slots: r.Slots, Lent: r.Lent}
		if b := c.openCopy(r); b != nil {
			plan.Guarantee, plan.Copy = b.guarantee, b.number
		} else if r.Guarantee != "" {
			smaller = append(smaller, r)
			continue
		}
		c.Add(r.Job, plan)
	}
	// Jobs that take a part of a copy come last, so that the copy is bound around all other work.
	for _, r := range smaller {
		plan := Plan{Slots: r.Slots, Lent: r.Lent}
		if b := c.bindAround(r); b != nil {
			plan.Guarantee, plan.Copy = b.guarantee, b.number
		}
		c.Add(r.Job, plan)
	}
	c.Bind()
}

// bindAround binds an open copy of the job's guarantee so that it covers the places of the job, if that is possible.
func (c *Cluster) bindAround(r Running) *bound {
	at := slices.IndexFunc(c.copies, func(b *bound) bool {
		return len(b.slots) == 0 && b.guarantee == r.Guarantee && b.customer == r.Job.Customer
	})
	uses := c.usesOf(r.Slots)
	if at < 0 || len(uses) == 0 {
		return nil
	}
	mine := make(map[*node]int, len(uses))
	for _, u := range uses {
		mine[u.node] = u.accels
	}
	b := c.copies[at]
	shape := c.set.Shapes[b.shape]
	nodes := uses[0].node.rack.nodes
	if shape.Adjacency == model.AdjacencyAny {
		nodes = nil
		for _, rack := range c.racks {
			nodes = append(nodes, rack.nodes...)
		}
	}
	slots := fill(nodes, shape, c.bindRoom, func(a, b *node) int { return cmp.Compare(mine[b], mine[a]) })
	covered := map[*node]int{}
	for _, u := range c.usesOf(slots) {
		covered[u.node] = u.accels
	}
	for n, accels := range mine {
		if covered[n] < accels {
			return nil
		}
	}
	c.bindAt(b, slots)
	return b
}

// openCopy returns a copy that is not bound yet and has the customer and shape of a job that is not on lent capacity.
func (c *Cluster) openCopy(r Running) *bound {
	if r.Lent {
		return nil
	}
	for _, slot := range r.Slots {
		if n, found := c.nodes[slot.Worker]; !found || n.State != WorkerUsable {
			return nil
		}
	}
	for _, b := range c.copies {
		if len(b.slots) == 0 && b.job == nil && b.customer == r.Job.Customer && b.shape == r.Job.Shape {
			return b
		}
	}
	return nil
}
