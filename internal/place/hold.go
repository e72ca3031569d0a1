package place

import (
	"cmp"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// IsLargeShape reports whether a shape takes more than half of the largest rack.
func (c *Cluster) IsLargeShape(shape model.ShapeID) bool {
	return int(c.config.Shapes[shape].Accelerators())*2 > c.largestRack && c.largestRack > 0
}

// HoldRacks holds racks for a blocked large job: later jobs may use them only if they are stoppable or urgent. One job holds
// racks at a time. HoldRacks reports whether there are racks that fit the job.
func (c *Cluster) HoldRacks(job Job) bool {
	c.ReleaseHold()
	shape, class := c.config.Shapes[job.Shape], c.config.JobClasses[job.Class]
	if shape.AcceleratorsPerTask <= 0 {
		return false
	}
	pool := poolUnstoppable
	if stoppable(class) {
		pool = poolAny
	}
	racks := slices.Clone(c.racks)
	slices.SortStableFunc(racks, func(a, b *rackInfo) int { return cmp.Compare(b.free[pool], a.free[pool]) })
	left := int(shape.Tasks)
	for _, r := range racks {
		fits := r.fittingTasksWhenEmpty(shape, pool, nil)
		if fits == 0 || (shape.Adjacency != model.AdjacencyAny && fits < int(shape.Tasks)) {
			continue
		}
		c.heldRacks[r] = true
		if left -= fits; left <= 0 {
			c.holder = job.ID
			return true
		}
	}
	c.ReleaseHold()
	return false
}

// HoldFits reports whether the held racks still fit the job that holds them; failed workers and moved bindings reduce their
// capacity.
func (c *Cluster) HoldFits(job Job) bool {
	shape, class := c.config.Shapes[job.Shape], c.config.JobClasses[job.Class]
	pool := poolUnstoppable
	if stoppable(class) {
		pool = poolAny
	}
	totalFits := 0
	for r := range c.heldRacks {
		fits := r.fittingTasksWhenEmpty(shape, pool, nil)
		if totalFits += fits; fits >= int(shape.Tasks) {
			return true
		}
	}
	return shape.Adjacency == model.AdjacencyAny && totalFits >= int(shape.Tasks)
}

// FitsWhenEmpty reports whether a job could be placed on the workers that it does not avoid if no other job ran.
func (c *Cluster) FitsWhenEmpty(job Job) bool {
	shape, class := c.config.Shapes[job.Shape], c.config.JobClasses[job.Class]
	if shape.AcceleratorsPerTask <= 0 {
		return true
	}
	pool := poolUnstoppable
	if stoppable(class) {
		pool = poolAny
	}
	avoid, totalFits := c.avoidedWorkers(job), 0
	for _, r := range c.racks {
		fits := r.fittingTasksWhenEmpty(shape, pool, avoid)
		if totalFits += fits; fits >= int(shape.Tasks) {
			return true
		}
	}
	return shape.Adjacency == model.AdjacencyAny && totalFits >= int(shape.Tasks)
}

// fittingTasksWhenEmpty is the number of tasks that fit once all jobs in the rack have ended.
func (r *rackInfo) fittingTasksWhenEmpty(shape model.Shape, pool capacityPool, avoid map[*worker]bool) int {
	tasks := 0
	for _, w := range r.workers {
		if w.State != WorkerUsable || avoid[w] {
			continue
		}
		capacity := w.total
		if pool != poolAny {
			capacity -= w.binding
		}
		tasks = addFittingTasks(shape, tasks, max(0, capacity))
	}
	return tasks
}

// ReleaseHold ends the hold, if there is one.
func (c *Cluster) ReleaseHold() {
	c.holder = ""
	clear(c.heldRacks)
}

// HoldingJob returns the job that holds racks, and these racks in order.
func (c *Cluster) HoldingJob() (model.JobID, []model.RackID) {
	var racks []model.RackID
	for r := range c.heldRacks {
		racks = append(racks, r.name)
	}
	slices.Sort(racks)
	return c.holder, racks
}

// dropHoldAfterRebuild ends a hold whose racks were rebuilt; the owner holds racks that still fit in its next pass.
func (c *Cluster) dropHoldAfterRebuild() { c.ReleaseHold() }

// Free returns the free accelerators of all racks and those of the rack with the most.
func (c *Cluster) Free() (free, largestRack model.Accelerators) {
	for _, r := range c.racks {
		free += model.Accelerators(r.free[poolAny])
		largestRack = max(largestRack, model.Accelerators(r.free[poolAny]))
	}
	return free, largestRack
}

// Total returns the accelerators of all usable workers.
func (c *Cluster) Total() model.Accelerators {
	total := 0
	for _, w := range c.workers {
		if w.State == WorkerUsable {
			total += w.total
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
	perTask, tasks := int(largest.AcceleratorsPerTask), int(largest.Tasks)
	copies, spreadFits := 0, 0
	for _, r := range c.racks {
		fits := r.fittingTasks(poolAny, perTask)
		switch largest.Adjacency {
		case model.AdjacencyWorker:
			copies += r.fittingTasks(poolAny, int(largest.Accelerators()))
		case model.AdjacencyRack:
			copies += fits / tasks
		default:
			spreadFits += fits
		}
	}
	copies += spreadFits / tasks
	return float64(int(free)-copies*int(largest.Accelerators())) / float64(free)
}

func (c *Cluster) largestShape(queued []model.ShapeID) (largest model.Shape, found bool) {
	ids := slices.Clone(queued)
	for _, b := range c.bindings {
		ids = append(ids, b.shape)
	}
	slices.Sort(ids)
	adjacencyRank := map[model.Adjacency]int{model.AdjacencyWorker: 0, model.AdjacencyRack: 1, model.AdjacencyAny: 2}
	for _, id := range slices.Compact(ids) {
		shape, known := c.config.Shapes[id]
		if !known || shape.Accelerators() <= 0 {
			continue
		}
		bigger := cmp.Or(
			cmp.Compare(shape.Accelerators(), largest.Accelerators()),
			cmp.Compare(adjacencyRank[largest.Adjacency], adjacencyRank[shape.Adjacency]),
		)
		if !found || bigger > 0 {
			largest, found = shape, true
		}
	}
	return largest, found
}
