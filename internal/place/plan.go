package place

import (
	"cmp"
	"slices"
	"strconv"

	"peridotgw.example/peridotgw/model"
)

// Plan finds places for a job, or explains why there are none. It changes nothing; Add counts the job.
func (c *Cluster) Plan(job Job) (Plan, *Blocked) {
	shape, known := c.set.Shapes[job.Shape]
	class, classKnown := c.set.JobClasses[job.Class]
	if !known || !classKnown || shape.Tasks <= 0 {
		return Plan{}, &Blocked{Reason: BlockUnknown, Inputs: map[string]string{
			"shape": string(job.Shape), "class": string(job.Class),
		}}
	}
	quota := c.set.Customers[job.Customer].QuotaAccelerators
	if used := c.used[job.Customer]; quota > 0 && used+shape.Accelerators() > quota {
		return Plan{}, &Blocked{Reason: BlockQuota, Inputs: map[string]string{
			"quota": itoa(quota), "used": itoa(used), "needed": itoa(shape.Accelerators()),
		}}
	}
	if shape.AcceleratorsPerTask == 0 {
		return c.planCores(job, shape)
	}
	if plan, ok := c.planGuaranteed(job, shape); ok {
		return plan, nil
	}
	if plan, ok := c.planProbe(job, shape, class); ok {
		return plan, nil
	}
	if plan, ok := c.planFree(job, shape, class); ok {
		return plan, nil
	}
	if plan, ok := c.planCustomer(job, shape); ok {
		return plan, nil
	}
	if plan, ok := c.planPreempting(job, shape, class); ok {
		return plan, nil
	}
	return Plan{}, c.blocked(job, shape, class)
}

// planFree uses free capacity: for work that can be stopped first the unbound part, then the lent part.
func (c *Cluster) planFree(job Job, shape model.Shape, class model.JobClass) (Plan, bool) {
	tried := []mode{modeFirm}
	if stoppable(class) {
		tried = []mode{modeOwn, modeSoft}
	}
	for _, m := range tried {
		slots, backfill := c.find(job, shape, class, m)
		if slots == nil {
			continue
		}
		return Plan{Slots: slots, Lent: m == modeSoft, Backfill: backfill}, true
	}
	return Plan{}, false
}

// mayUse reports whether a job may use a rack, and whether that is backfill of a held one.
func (c *Cluster) mayUse(r *cell, job Job, class model.JobClass) (may, backfill bool) {
	if !c.held[r] || c.holder == job.ID || class.Priority == model.PriorityUrgent {
		return true, false
	}
	return stoppable(class), true
}

// find returns places of free capacity by best fit: the fullest rack that takes the shape.
func (c *Cluster) find(job Job, shape model.Shape, class model.JobClass, m mode) (slots []Slot, backfill bool) {
	k, tasks := int(shape.AcceleratorsPerTask), int(shape.Tasks)
	need := k
	if shape.Adjacency == model.AdjacencyWorker {
		need, tasks = int(shape.Accelerators()), 1
	}
	avoid := c.avoided(job)
	room := func(n *node) int {
		if avoid[n] {
			return 0
		}
		return n.avail[m]
	}
	var candidates []*cell
	for _, r := range c.racks {
		may, _ := c.mayUse(r, job, class)
		if may && r.capacity(m, need) >= tasks {
			candidates = append(candidates, r)
		}
	}
	// Fullness counts all free accelerators, so that partly used racks are used up whichever part is bound.
	order := func(a, b *cell) int {
		return cmp.Or(cmp.Compare(a.free[modeSoft], b.free[modeSoft]), cmp.Compare(a.name, b.name))
	}
	for len(candidates) > 0 {
		at := 0
		if !c.options.FirstFit {
			for i := range candidates {
				if order(candidates[i], candidates[at]) < 0 {
					at = i
				}
			}
		}
		if slots := c.fill(candidates[at].nodes, shape, room); slots != nil {
			_, backfill := c.mayUse(candidates[at], job, class)
			return slots, backfill
		}
		candidates = slices.Delete(candidates, at, at+1)
	}
	if shape.Adjacency != model.AdjacencyAny {
		return nil, false
	}
	return c.span(job, shape, class, m, room, order)
}

// span places a shape with adjacency any over several racks, the fullest first.
func (c *Cluster) span(
	job Job, shape model.Shape, class model.JobClass, m mode, room func(*node) int, order func(a, b *cell) int,
) (slots []Slot, backfill bool) {
	k, capacity := int(shape.AcceleratorsPerTask), 0
	var racks []*cell
	for _, r := range c.racks {
		may, held := c.mayUse(r, job, class)
		if fits := r.capacity(m, k); may && fits > 0 {
			racks = append(racks, r)
			capacity += fits
			backfill = backfill || held
		}
	}
	if capacity < int(shape.Tasks) {
		return nil, false
	}
	if !c.options.FirstFit {
		slices.SortFunc(racks, order)
	}
	left := shape
	for _, r := range racks {
		part := left
		part.Tasks = min(left.Tasks, model.TaskCount(roomFor(r.nodes, k, room)))
		if part.Tasks == 0 {
			continue
		}
		slots = append(slots, c.fill(r.nodes, part, room)...)
		left.Tasks -= part.Tasks
		if left.Tasks == 0 {
			return slots, backfill
		}
	}
	return nil, false
}

func roomFor(nodes []*node, k int, room func(*node) int) int {
	tasks := 0
	for _, n := range nodes {
		tasks += room(n) / k
	}
	return tasks
}

func (c *Cluster) fill(nodes []*node, shape model.Shape, room func(*node) int) []Slot {
	if c.options.FirstFit {
		return fill(nodes, shape, room, func(_, _ *node) int { return 0 })
	}
	return fill(nodes, shape, room, nil)
}

// fill puts the tasks of a shape on the workers with the least room first, or returns nil.
func fill(nodes []*node, shape model.Shape, room func(*node) int, order func(a, b *node) int) []Slot {
	k, tasks, need := int(shape.AcceleratorsPerTask), int(shape.Tasks), int(shape.AcceleratorsPerTask)
	if shape.Adjacency == model.AdjacencyWorker {
		need = int(shape.Accelerators())
	}
	usable := make([]*node, 0, min(len(nodes), 64))
	for _, n := range nodes {
		if room(n) >= need {
			usable = append(usable, n)
		}
	}
	if order == nil {
		order = func(a, b *node) int { return cmp.Compare(room(a), room(b)) }
	}
	slices.SortStableFunc(usable, order)
	slots := make([]Slot, 0, tasks)
	for _, n := range usable {
		for left := room(n); left >= k && len(slots) < tasks; left -= k {
			slots = append(slots, Slot{Worker: n.ID, Rack: n.Rack, Accelerators: shape.AcceleratorsPerTask})
		}
		if len(slots) == tasks {
			return slots
		}
	}
	return nil
}

// planProbe sends one small stoppable job to a worker that leaves quarantine.
func (c *Cluster) planProbe(job Job, shape model.Shape, class model.JobClass) (Plan, bool) {
	if c.probes == 0 || !stoppable(class) {
		return Plan{}, false
	}
	avoid := c.avoided(job)
	for _, r := range c.racks {
		for _, n := range r.nodes {
			if n.State != WorkerProbe || len(n.loads) > 0 || avoid[n] || n.total < int(shape.Accelerators()) {
				continue
			}
			room := func(n *node) int { return n.total }
			return Plan{Slots: fill([]*node{n}, shape, room, nil)}, true
		}
	}
	return Plan{}, false
}

// planCores places tasks without accelerators, which take one core each.
func (c *Cluster) planCores(job Job, shape model.Shape) (Plan, *Blocked) {
	tasks, free := int(shape.Tasks), 0
	var best *cell
	for _, r := range c.racks {
		free += r.cores
		if r.cores < tasks || (shape.Adjacency == model.AdjacencyWorker && !r.hasCores(tasks)) {
			continue
		}
		if best == nil || (!c.options.FirstFit && r.cores < best.cores) {
			best = r
		}
	}
	racks := []*cell{best}
	if best == nil {
		if shape.Adjacency != model.AdjacencyAny || free < tasks {
			return Plan{}, &Blocked{Reason: BlockNoCapacity, Inputs: map[string]string{
				"tasks": strconv.Itoa(tasks), "free-cores": strconv.Itoa(free), "adjacency": string(shape.Adjacency),
			}}
		}
		racks = c.racks
	}
	avoid := c.avoided(job)
	slots := make([]Slot, 0, tasks)
	for _, r := range racks {
		for _, n := range r.nodes {
			if avoid[n] || (shape.Adjacency == model.AdjacencyWorker && n.cores < tasks) {
				continue
			}
			for left := n.cores; left > 0 && len(slots) < tasks; left-- {
				slots = append(slots, Slot{Worker: n.ID, Rack: n.Rack})
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

func (r *cell) hasCores(tasks int) bool {
	return slices.ContainsFunc(r.nodes, func(n *node) bool { return n.cores >= tasks })
}

func (c *Cluster) avoided(job Job) map[*node]bool {
	if len(job.Avoid) == 0 {
		return nil
	}
	avoid := make(map[*node]bool, len(job.Avoid))
	for _, id := range job.Avoid {
		if n, found := c.nodes[id]; found {
			avoid[n] = true
		}
	}
	return avoid
}

// blocked names the reason that is closest to what would have to change.
func (c *Cluster) blocked(job Job, shape model.Shape, class model.JobClass) *Blocked {
	k := int(shape.AcceleratorsPerTask)
	free, unbound, tasks, largest, held := 0, 0, 0, 0, false
	for _, r := range c.racks {
		free += r.free[modeSoft]
		unbound += r.free[modeFirm]
		tasks += r.capacity(modeFirm, k)
		largest = max(largest, r.free[modeSoft])
		may, _ := c.mayUse(r, job, class)
		held = held || (!may && r.capacity(modeFirm, k) >= int(shape.Tasks))
	}
	blocked := &Blocked{Reason: BlockNoCapacity, Inputs: map[string]string{
		"tasks": strconv.Itoa(int(shape.Tasks)), "accelerators-per-task": itoa(shape.AcceleratorsPerTask),
		"adjacency": string(shape.Adjacency), "free": strconv.Itoa(free), "free-unbound": strconv.Itoa(unbound),
		"largest-rack-free": strconv.Itoa(largest), "fitting-tasks": strconv.Itoa(tasks),
		"stoppable": strconv.FormatBool(stoppable(class)),
	}}
	if open := len(c.Unbound()); open > 0 {
		blocked.Inputs["unbound-copies"] = strconv.Itoa(open)
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
