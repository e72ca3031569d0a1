package place

import (
	"cmp"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// Cluster is the placement state of one data centre.
type Cluster struct {
	set     *model.Set
	dc      model.DataCentreID
	options Options
	racks   []*cell
	nodes   map[model.WorkerID]*node
	loads   map[model.JobID]*load
	copies  []*bound
	used    map[model.CustomerID]model.Accelerators
	holder  model.JobID
	held    map[*cell]bool
	probes  int
	// sets numbers the victim sets.
	sets int
	// largestRack is the largest number of accelerators of a rack.
	largestRack int
}

// cell is a rack. The histograms count usable workers by what each mode may take from them, so that the number of tasks
// that fit is found without visiting workers.
type cell struct {
	name  model.RackID
	nodes []*node
	hist  [modes][]int
	free  [modes]int
	cores int
	total int
}

// node is a worker.
type node struct {
	Worker
	rack     *cell
	total    int
	firm     int
	soft     int
	inside   int
	bound    int
	stopping int
	tasks    int
	avail    [modes]int
	cores    int
	loads    []*load
	mark     mark
}

// NewCluster returns the placement state of a data centre without workers.
func NewCluster(set *model.Set, dc model.DataCentreID) *Cluster {
	return NewVariant(set, dc, Options{})
}

// NewVariant is NewCluster with parts of the placement switched off.
func NewVariant(set *model.Set, dc model.DataCentreID, options Options) *Cluster {
	c := &Cluster{
		set: set, dc: dc, options: options,
		nodes: map[model.WorkerID]*node{}, loads: map[model.JobID]*load{},
		used: map[model.CustomerID]model.Accelerators{}, held: map[*cell]bool{},
	}
	c.copies = copiesOf(set, dc)
	return c
}

// SetWorkers replaces the workers. Guarantees whose workers are still usable keep their binding; the others are bound
// again where that is possible. Jobs on workers that are gone stay counted for their customer until they are removed.
func (c *Cluster) SetWorkers(workers []Worker) {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b Worker) bool { return a.ID == b.ID })
	c.racks, c.nodes = nil, make(map[model.WorkerID]*node, len(sorted))
	cells := map[model.RackID]*cell{}
	c.largestRack, c.probes = 0, 0
	for _, w := range sorted {
		rack, found := cells[w.Rack]
		if !found {
			rack = &cell{name: w.Rack}
			cells[w.Rack] = rack
			c.racks = append(c.racks, rack)
		}
		n := &node{Worker: w, rack: rack, total: int(w.Accelerators)}
		if n.Cores == 0 {
			n.Cores = DefaultCores
		}
		if n.State == WorkerProbe {
			c.probes++
		}
		c.nodes[w.ID] = n
		rack.nodes = append(rack.nodes, n)
		rack.total += n.total
		c.largestRack = max(c.largestRack, rack.total)
	}
	slices.SortFunc(c.racks, func(a, b *cell) int { return cmp.Compare(a.name, b.name) })
	for _, n := range c.nodes {
		n.refresh(c.options)
	}
	c.reattach()
	c.Bind()
	c.moveHold()
}

// reattach puts loads and bindings on the new nodes.
func (c *Cluster) reattach() {
	for _, id := range sortedIDs(c.loads) {
		l := c.loads[id]
		l.uses = c.usesOf(l.slots)
		c.apply(l, 1)
	}
	for _, b := range c.copies {
		b.uses = nil
		if len(b.slots) == 0 {
			continue
		}
		if c.keeps(b) {
			b.uses = c.usesOf(b.slots)
			c.applyBound(b, 1)
			continue
		}
		c.unbind(b)
	}
}

// keeps reports whether all workers of a binding are still usable and large enough.
func (c *Cluster) keeps(b *bound) bool {
	for _, u := range c.usesOf(b.slots) {
		if u.node.State != WorkerUsable || u.node.bound+u.node.firm+u.accels > u.node.total {
			return false
		}
	}
	for _, slot := range b.slots {
		if n, found := c.nodes[slot.Worker]; !found || n.Rack != slot.Rack {
			return false
		}
	}
	return true
}

// Add counts a job at the places of its plan, from the decision on. Accelerators of jobs that are being stopped may be
// counted twice until these jobs are removed.
func (c *Cluster) Add(job Job, plan Plan) {
	c.Remove(job.ID)
	class := c.set.JobClasses[job.Class]
	l := &load{job: job, slots: plan.Slots, rank: class.Priority.Rank(), backfill: plan.Backfill, kind: kindFirm}
	if stoppable(class) {
		l.kind = kindSoft
	}
	for _, slot := range plan.Slots {
		l.accels += slot.Accelerators
	}
	if plan.Guarantee != "" {
		c.take(l, plan)
	}
	l.uses = c.usesOf(plan.Slots)
	c.loads[job.ID] = l
	c.used[job.Customer] += l.accels
	c.apply(l, 1)
	if c.holder == job.ID {
		c.ReleaseHold()
	}
}

// take gives the job its copy and moves the copy's binding to the places of the job when the shape is the guaranteed one.
func (c *Cluster) take(l *load, plan Plan) {
	for _, b := range c.copies {
		if b.guarantee != plan.Guarantee || b.number != plan.Copy || b.job != nil {
			continue
		}
		l.kind, l.copy, b.job = kindInside, b, l
		if b.shape == l.job.Shape {
			c.unbind(b)
			c.bindAt(b, plan.Slots)
		}
		return
	}
}

// Remove forgets a job that has ended, or that will not start, and binds guarantees that could not be bound before.
func (c *Cluster) Remove(id model.JobID) {
	l, found := c.loads[id]
	if !found {
		return
	}
	c.apply(l, -1)
	delete(c.loads, id)
	c.used[l.job.Customer] -= l.accels
	if l.stopping {
		c.used[l.job.Customer] += l.accels
	}
	if l.copy != nil {
		l.copy.job = nil
	}
	if len(c.Unbound()) > 0 {
		c.Bind()
	}
}

// Stopping marks a job as being stopped: it is not chosen again, its accelerators may be planned for others, and they no
// longer count for its customer's quota.
func (c *Cluster) Stopping(id model.JobID) {
	l, found := c.loads[id]
	if !found || l.stopping {
		return
	}
	l.stopping = true
	c.used[l.job.Customer] -= l.accels
	for _, u := range l.uses {
		u.node.stopping += u.accels
	}
}

// SetWeak marks a job that ran beyond three times its declared time.
func (c *Cluster) SetWeak(id model.JobID) {
	if l, found := c.loads[id]; found {
		l.job.Weak = true
	}
}

// Has reports whether a job is counted.
func (c *Cluster) Has(id model.JobID) bool {
	_, found := c.loads[id]
	return found
}

// Inside returns the guarantee of which a job takes a copy.
func (c *Cluster) Inside(id model.JobID) (model.GuaranteeID, bool) {
	l, found := c.loads[id]
	if !found || l.copy == nil {
		return "", false
	}
	return l.copy.guarantee, true
}

// On returns the jobs on a worker, ordered by id.
func (c *Cluster) On(id model.WorkerID) []model.JobID {
	n, found := c.nodes[id]
	if !found {
		return nil
	}
	var ids []model.JobID
	for _, l := range n.loads {
		ids = append(ids, l.job.ID)
	}
	slices.Sort(ids)
	return ids
}

// Used returns the accelerators that count for a customer's quota.
func (c *Cluster) Used(customer model.CustomerID) model.Accelerators { return c.used[customer] }

// apply adds (1) or removes (-1) a load.
func (c *Cluster) apply(l *load, sign int) {
	for _, u := range l.uses {
		n := u.node
		switch l.kind {
		case kindFirm:
			n.firm += sign * u.accels
		case kindSoft:
			n.soft += sign * u.accels
		case kindInside:
			n.inside += sign * u.accels
		}
		if l.stopping {
			n.stopping += sign * u.accels
		}
		n.tasks += sign * u.tasks
		if u.accels > 0 {
			if sign > 0 {
				n.loads = append(n.loads, l)
			} else if at := slices.Index(n.loads, l); at >= 0 {
				n.loads = slices.Delete(n.loads, at, at+1)
			}
		}
		n.refresh(c.options)
	}
}

func (c *Cluster) applyBound(b *bound, sign int) {
	for _, u := range b.uses {
		u.node.bound += sign * u.accels
		u.node.refresh(c.options)
	}
}

// usesOf sums slots by worker, in the order of the slots; slots on unknown workers are left out.
func (c *Cluster) usesOf(slots []Slot) []use {
	uses := make([]use, 0, min(len(slots), 8))
	at := make(map[*node]int, len(slots))
	for _, slot := range slots {
		n, found := c.nodes[slot.Worker]
		if !found {
			continue
		}
		i, seen := at[n]
		if !seen {
			i = len(uses)
			at[n] = i
			uses = append(uses, use{node: n})
		}
		uses[i].accels += int(slot.Accelerators)
		if slot.Accelerators == 0 {
			uses[i].tasks++
		}
	}
	return uses
}

// physical is what no job holds; it is negative while a planned job waits for jobs that are being stopped.
func (n *node) physical() int { return n.total - n.firm - n.soft - n.inside }

// refresh recomputes what each mode may take and keeps the rack's histograms.
func (n *node) refresh(options Options) {
	var avail [modes]int
	cores := 0
	if n.State == WorkerUsable {
		free := n.physical()
		unbound := n.total - n.bound - n.firm
		avail[modeFirm] = max(0, min(free, unbound))
		avail[modeOwn] = max(0, min(free, unbound-n.soft))
		avail[modeSoft] = max(0, free)
		if options.NoLending {
			avail[modeFirm], avail[modeSoft] = avail[modeOwn], avail[modeOwn]
		}
		if options.LendToAll {
			avail[modeFirm] = avail[modeSoft]
		}
		cores = max(0, n.Cores-n.tasks)
	}
	n.rack.cores += cores - n.cores
	n.cores = cores
	for m := range modes {
		n.rack.move(m, n.avail[m], avail[m])
	}
	n.avail = avail
}

// move changes one worker's entry in a histogram; workers without room are not counted.
func (r *cell) move(m mode, from, to int) {
	if from == to {
		return
	}
	if from > 0 {
		r.hist[m][from]--
	}
	if to > 0 {
		for len(r.hist[m]) <= to {
			r.hist[m] = append(r.hist[m], 0)
		}
		r.hist[m][to]++
	}
	r.free[m] += to - from
}

// capacity is the number of tasks of k accelerators that fit into the rack.
func (r *cell) capacity(m mode, k int) int {
	tasks := 0
	for avail := k; avail < len(r.hist[m]); avail++ {
		tasks += r.hist[m][avail] * (avail / k)
	}
	return tasks
}

// stoppable reports whether jobs of a class may run on lent capacity: they can be stopped within the bound.
func stoppable(class model.JobClass) bool {
	return class.Stoppable() && class.StopWithin <= model.MaxStopWithin
}

func sortedIDs[V any](from map[model.JobID]V) []model.JobID {
	ids := make([]model.JobID, 0, len(from))
	for id := range from {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
