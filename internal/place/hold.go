package place

import (
	"cmp"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// Large reports whether a shape takes more than half of the largest rack.
func (c *Cluster) Large(shape model.ShapeID) bool {
	return int(c.set.Shapes[shape].Accelerators())*2 > c.largestRack && c.largestRack > 0
}

// Hold keeps the racks that will take a blocked large job for it: later jobs use them only when they can be stopped. One
// job holds racks at a time; Hold reports whether there are racks that can take the job.
func (c *Cluster) Hold(job Job) bool {
	c.ReleaseHold()
	shape, class := c.set.Shapes[job.Shape], c.set.JobClasses[job.Class]
	if shape.AcceleratorsPerTask <= 0 {
		return false
	}
	m := modeFirm
	if stoppable(class) {
		m = modeSoft
	}
	racks := slices.Clone(c.racks)
	slices.SortStableFunc(racks, func(a, b *cell) int { return cmp.Compare(b.free[m], a.free[m]) })
	left := int(shape.Tasks)
	for _, r := range racks {
		fits := r.mayFit(shape, m, nil)
		if fits == 0 || (shape.Adjacency != model.AdjacencyAny && fits < int(shape.Tasks)) {
			continue
		}
		c.held[r] = true
		if left -= fits; left <= 0 {
			c.holder = job.ID
			return true
		}
	}
	c.ReleaseHold()
	return false
}

// HoldFits reports whether the held racks can still take the job that holds them; workers that fail and bindings that move
// take room from them.
func (c *Cluster) HoldFits(job Job) bool {
	shape, class := c.set.Shapes[job.Shape], c.set.JobClasses[job.Class]
	m := modeFirm
	if stoppable(class) {
		m = modeSoft
	}
	loose := 0
	for r := range c.held {
		fits := r.mayFit(shape, m, nil)
		if loose += fits; fits >= int(shape.Tasks) {
			return true
		}
	}
	return shape.Adjacency == model.AdjacencyAny && loose >= int(shape.Tasks)
}

// Possible reports whether a job could be placed, without the workers that it avoids, if no other job ran.
func (c *Cluster) Possible(job Job) bool {
	shape, class := c.set.Shapes[job.Shape], c.set.JobClasses[job.Class]
	if shape.AcceleratorsPerTask <= 0 {
		return true
	}
	m := modeFirm
	if stoppable(class) {
		m = modeSoft
	}
	avoid, loose := c.avoided(job), 0
	for _, r := range c.racks {
		fits := r.mayFit(shape, m, avoid)
		if loose += fits; fits >= int(shape.Tasks) {
			return true
		}
	}
	return shape.Adjacency == model.AdjacencyAny && loose >= int(shape.Tasks)
}

// mayFit is the number of tasks that fit once all jobs in the rack have ended.
func (r *cell) mayFit(shape model.Shape, m mode, avoid map[*node]bool) int {
	tasks := 0
	for _, n := range r.nodes {
		if n.State != WorkerUsable || avoid[n] {
			continue
		}
		room := n.total
		if m != modeSoft {
			room -= n.bound
		}
		tasks = taskSum(shape, tasks, max(0, room))
	}
	return tasks
}

// ReleaseHold ends the hold, if there is one.
func (c *Cluster) ReleaseHold() {
	c.holder = ""
	clear(c.held)
}

// Holder returns the job that holds racks, and these racks in order.
func (c *Cluster) Holder() (model.JobID, []model.RackID) {
	var racks []model.RackID
	for r := range c.held {
		racks = append(racks, r.name)
	}
	slices.Sort(racks)
	return c.holder, racks
}

// moveHold ends a hold whose racks were rebuilt; the owner holds again in its next pass, on racks that still fit.
func (c *Cluster) moveHold() { c.ReleaseHold() }

// Free returns the free accelerators and those of the rack with the most.
func (c *Cluster) Free() (free, largestRack model.Accelerators) {
	for _, r := range c.racks {
		free += model.Accelerators(r.free[modeSoft])
		largestRack = max(largestRack, model.Accelerators(r.free[modeSoft]))
	}
	return free, largestRack
}

// Total returns the accelerators of all usable workers.
func (c *Cluster) Total() model.Accelerators {
	total := 0
	for _, n := range c.nodes {
		if n.State == WorkerUsable {
			total += n.total
		}
	}
	return model.Accelerators(total)
}

// Fragmentation is the share of free accelerators that cannot serve the largest shape that is queued or guaranteed.
//
// Let L be the shape with the most accelerators among the queued shapes and the shapes of the data centre's guarantees
// (ties: the narrower adjacency, then the name). Let F be the accelerators of usable workers that no job holds. Let U be
// the accelerators that copies of L would take if as many copies as possible were put on free accelerators, each copy
// within its adjacency. The result is (F-U)/F, or 0 when F is 0 or there is no L. Capacity that is free and bound counts
// as free, because L may be the shape to which it is bound.
func (c *Cluster) Fragmentation(queued []model.ShapeID) float64 {
	largest, found := c.largestShape(queued)
	free, _ := c.Free()
	if !found || free == 0 {
		return 0
	}
	k, tasks := int(largest.AcceleratorsPerTask), int(largest.Tasks)
	copies, loose := 0, 0
	for _, r := range c.racks {
		fits := r.capacity(modeSoft, k)
		switch largest.Adjacency {
		case model.AdjacencyWorker:
			copies += r.capacity(modeSoft, int(largest.Accelerators()))
		case model.AdjacencyRack:
			copies += fits / tasks
		default:
			loose += fits
		}
	}
	copies += loose / tasks
	return float64(int(free)-copies*int(largest.Accelerators())) / float64(free)
}

func (c *Cluster) largestShape(queued []model.ShapeID) (largest model.Shape, found bool) {
	ids := slices.Clone(queued)
	for _, b := range c.copies {
		ids = append(ids, b.shape)
	}
	slices.Sort(ids)
	narrow := map[model.Adjacency]int{model.AdjacencyWorker: 0, model.AdjacencyRack: 1, model.AdjacencyAny: 2}
	for _, id := range slices.Compact(ids) {
		shape, known := c.set.Shapes[id]
		if !known || shape.Accelerators() <= 0 {
			continue
		}
		bigger := cmp.Or(
			cmp.Compare(shape.Accelerators(), largest.Accelerators()),
			cmp.Compare(narrow[largest.Adjacency], narrow[shape.Adjacency]),
		)
		if !found || bigger > 0 {
			largest, found = shape, true
		}
	}
	return largest, found
}
