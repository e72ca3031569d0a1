package place

import (
	"cmp"
	"math"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// planGuaranteed takes a copy of the customer's own guarantee: one whose places are free, otherwise other free places to
// which the binding moves, otherwise the copy that costs the least preemption.
func (c *Cluster) planGuaranteed(job Job, shape model.Shape) (Plan, bool) {
	best, bestVictims := Plan{}, []*load(nil)
	found := false
	for _, b := range c.copies {
		if b.customer != job.Customer || b.shape != job.Shape || b.job != nil || len(b.slots) == 0 || c.avoids(job, b.uses) {
			continue
		}
		victims, waits, ok := victimsFor(b.uses, func(l *load) bool { return l.kind == kindSoft })
		if !ok {
			continue
		}
		if !found || cheaper(victims, bestVictims) {
			best = Plan{Slots: b.slots, Guarantee: b.guarantee, Copy: b.number, Preempt: idsOf(victims), WaitFor: idsOf(waits)}
			bestVictims, found = victims, true
		}
	}
	if !found || len(best.Preempt)+len(best.WaitFor) == 0 {
		return best, found
	}
	class := c.set.JobClasses[job.Class]
	if slots, backfill := c.find(job, shape, class, modeFirm); slots != nil && !backfill {
		best.Slots, best.Preempt, best.WaitFor = slots, nil, nil
	}
	return best, true
}

func (c *Cluster) avoids(job Job, uses []use) bool {
	avoid := c.avoided(job)
	return slices.ContainsFunc(uses, func(u use) bool { return avoid[u.node] })
}

// planCustomer puts a job of another shape into a free copy of its customer's guarantee.
func (c *Cluster) planCustomer(job Job, shape model.Shape) (Plan, bool) {
	for _, b := range c.copies {
		if b.customer != job.Customer || b.job != nil || len(b.slots) == 0 || c.avoids(job, b.uses) {
			continue
		}
		if shape.Adjacency != model.AdjacencyAny && slices.ContainsFunc(b.slots, func(s Slot) bool { return s.Rack != b.slots[0].Rack }) {
			continue
		}
		inCopy := map[*node]int{}
		nodes := make([]*node, 0, len(b.uses))
		for _, u := range b.uses {
			inCopy[u.node] = u.accels
			nodes = append(nodes, u.node)
		}
		slots := fill(nodes, shape, func(n *node) int { return inCopy[n] }, nil)
		if slots == nil {
			continue
		}
		victims, waits, ok := victimsFor(c.usesOf(slots), func(l *load) bool { return l.kind == kindSoft })
		if ok {
			return Plan{
				Slots: slots, Guarantee: b.guarantee, Copy: b.number, Preempt: idsOf(victims), WaitFor: idsOf(waits),
			}, true
		}
	}
	return Plan{}, false
}

// victimsFor chooses jobs whose end frees the wanted accelerators on every worker, and names the jobs that are being
// stopped there already.
func victimsFor(uses []use, allowed func(*load) bool) (victims, waits []*load, ok bool) {
	freed := map[*node]int{}
	short := func(u use) int { return u.accels - u.node.physical() - u.node.stopping - freed[u.node] }
	for _, u := range uses {
		if short(u) <= 0 {
			continue
		}
		for _, l := range preemptionOrder(u.node.loads, allowed) {
			if slices.Contains(victims, l) {
				continue
			}
			victims = append(victims, l)
			for _, taken := range l.uses {
				freed[taken.node] += taken.accels
			}
			if short(u) <= 0 {
				break
			}
		}
		if short(u) > 0 {
			return nil, nil, false
		}
	}
	enough := func() bool { return !slices.ContainsFunc(uses, func(u use) bool { return short(u) > 0 }) }
	return prune(victims, freed, enough), waitsOf(uses), true
}

// waitsOf lists the jobs that are being stopped on workers where the wanted accelerators are not free yet.
func waitsOf(uses []use) []*load {
	var waits []*load
	for _, u := range uses {
		if u.accels <= u.node.physical() {
			continue
		}
		for _, l := range u.node.loads {
			if l.stopping && !slices.Contains(waits, l) {
				waits = append(waits, l)
			}
		}
	}
	return waits
}

// prune drops victims that are not needed, the last in preemption order first.
func prune(victims []*load, freed map[*node]int, enough func() bool) []*load {
	slices.SortStableFunc(victims, comparePreemption)
	for i := len(victims) - 1; i >= 0; i-- {
		for _, u := range victims[i].uses {
			freed[u.node] -= u.accels
		}
		if enough() {
			victims = slices.Delete(victims, i, i+1)
			continue
		}
		for _, u := range victims[i].uses {
			freed[u.node] += u.accels
		}
	}
	return victims
}

// comparePreemption orders jobs by who is preempted first: lower priority, then beyond its declared time, then youngest.
func comparePreemption(a, b *load) int {
	// Sorting is most of the cost of a large plan, so later keys are compared only where earlier ones are equal.
	switch {
	case a.rank != b.rank:
		return cmp.Compare(b.rank, a.rank)
	case a.job.Weak != b.job.Weak && a.job.Weak:
		return -1
	case a.job.Weak != b.job.Weak:
		return 1
	case a.job.Order != b.job.Order:
		return cmp.Compare(b.job.Order, a.job.Order)
	default:
		return cmp.Compare(a.job.ID, b.job.ID)
	}
}

func preemptionOrder(loads []*load, allowed func(*load) bool) []*load {
	var chosen []*load
	for _, l := range loads {
		if !l.stopping && allowed(l) {
			chosen = append(chosen, l)
		}
	}
	slices.SortFunc(chosen, comparePreemption)
	return chosen
}

// cheaper compares sets of victims by the most urgent priority lost, then by accelerators, then by jobs, and prefers the
// set whose oldest job is younger.
func cheaper(a, b []*load) bool {
	rank := func(victims []*load) int {
		least := len(model.PriorityBackground)
		for _, l := range victims {
			least = min(least, l.rank)
		}
		return least
	}
	accels := func(victims []*load) (sum model.Accelerators) {
		for _, l := range victims {
			sum += l.accels
		}
		return sum
	}
	oldest := func(victims []*load) int64 {
		least := int64(math.MaxInt64)
		for _, l := range victims {
			least = min(least, l.job.Order)
		}
		return least
	}
	return cmp.Or(
		cmp.Compare(rank(b), rank(a)), cmp.Compare(accels(a), accels(b)), cmp.Compare(len(a), len(b)),
		cmp.Compare(oldest(b), oldest(a)),
	) < 0
}

func idsOf(loads []*load) []model.JobID {
	var ids []model.JobID
	for _, l := range loads {
		ids = append(ids, l.job.ID)
	}
	return ids
}

// maxEvaluated bounds the racks for which a set of victims is computed; those with the most free accelerators come first.
const maxEvaluated = 32

// planPreempting stops other work: urgent jobs preempt stoppable background and then normal jobs outside guarantees, and
// the job that holds a rack preempts the jobs that were backfilled there.
func (c *Cluster) planPreempting(job Job, shape model.Shape, class model.JobClass) (Plan, bool) {
	allowed := func(l *load) bool { return l.kind == kindSoft && l.backfill }
	if class.Priority == model.PriorityUrgent {
		allowed = func(l *load) bool { return l.kind == kindSoft && l.rank > class.Priority.Rank() }
	} else if c.holder != job.ID {
		return Plan{}, false
	}
	soft := stoppable(class) && !c.options.NoLending
	avoid := c.avoided(job)
	var best *victimSet
	for _, nodes := range c.groups(shape, class.Priority == model.PriorityUrgent) {
		set := c.newVictimSet(nodes, shape, soft, avoid)
		if set.choose(allowed) && (best == nil || cheaper(set.victims, best.victims)) {
			best = set
		}
	}
	if best == nil {
		return Plan{}, false
	}
	if best.id != c.sets {
		// The marks on the workers belong to the last set that was tried.
		best = c.newVictimSet(best.nodes, shape, soft, avoid)
		best.choose(allowed)
	}
	slots := fill(best.nodes, shape, best.room, nil)
	if slots == nil {
		return Plan{}, false
	}
	uses := c.usesOf(slots)
	lent := slices.ContainsFunc(uses, func(u use) bool { return u.node.bound > 0 })
	return Plan{Slots: slots, Preempt: idsOf(best.victims), WaitFor: idsOf(waitsOf(uses)), Lent: soft && lent}, true
}

// groups lists the sets of workers that may take the whole shape: single workers, racks, or all workers.
func (c *Cluster) groups(shape model.Shape, everywhere bool) [][]*node {
	racks := make([]*cell, 0, len(c.racks))
	for _, r := range c.racks {
		if (everywhere || c.held[r]) && r.total >= int(min(shape.Accelerators(), unit(shape))) {
			racks = append(racks, r)
		}
	}
	var groups [][]*node
	switch shape.Adjacency {
	case model.AdjacencyWorker:
		for _, r := range racks {
			for _, n := range r.nodes {
				if n.total >= int(shape.Accelerators()) {
					groups = append(groups, []*node{n})
				}
			}
		}
	case model.AdjacencyRack:
		racks = slices.DeleteFunc(racks, func(r *cell) bool { return r.total < int(shape.Accelerators()) })
		slices.SortStableFunc(racks, func(a, b *cell) int { return cmp.Compare(b.free[modeSoft], a.free[modeSoft]) })
		for _, r := range racks[:min(len(racks), maxEvaluated)] {
			groups = append(groups, r.nodes)
		}
	default:
		var all []*node
		for _, r := range racks {
			all = append(all, r.nodes...)
		}
		groups = append(groups, all)
	}
	return groups
}

// victimSet collects victims on a group of workers until the shape fits.
type victimSet struct {
	nodes   []*node
	shape   model.Shape
	soft    bool
	id      int
	victims []*load
}

// mark is what the latest victimSet noted on a worker; it is void for sets with another id.
type mark struct {
	set     int
	inGroup bool
	freed   int
}

func (c *Cluster) newVictimSet(nodes []*node, shape model.Shape, soft bool, avoid map[*node]bool) *victimSet {
	c.sets++
	s := &victimSet{nodes: nodes, shape: shape, soft: soft, id: c.sets}
	for _, n := range nodes {
		n.mark = mark{set: s.id, inGroup: n.State == WorkerUsable && !avoid[n]}
	}
	return s
}

func (s *victimSet) inGroup(n *node) bool { return n.mark.set == s.id && n.mark.inGroup }

// room is what the job may take on a worker once the victims and the jobs that are being stopped have ended.
func (s *victimSet) room(n *node) int {
	if !s.inGroup(n) {
		return 0
	}
	free := n.physical() + n.stopping + n.mark.freed
	if !s.soft {
		free = min(free, n.total-n.bound-n.firm)
	}
	return max(0, free)
}

func (s *victimSet) tasks() int {
	tasks := 0
	for _, n := range s.nodes {
		tasks += s.room(n) / int(s.shape.AcceleratorsPerTask)
	}
	return tasks
}

// add changes what is freed (sign 1 or -1) and returns the change of the tasks that fit.
func (s *victimSet) add(l *load, sign int) int {
	change := 0
	for _, u := range l.uses {
		if !s.inGroup(u.node) {
			continue
		}
		before := s.room(u.node)
		u.node.mark.freed += sign * u.accels
		change += s.room(u.node)/int(s.shape.AcceleratorsPerTask) - before/int(s.shape.AcceleratorsPerTask)
	}
	return change
}

// choose adds victims in preemption order until the shape fits, and then drops those that are not needed.
func (s *victimSet) choose(allowed func(*load) bool) bool {
	tasks, want := s.tasks(), int(s.shape.Tasks)
	if tasks >= want {
		return true
	}
	seen := map[*load]bool{}
	var candidates []*load
	for _, n := range s.nodes {
		if !s.inGroup(n) {
			continue
		}
		for _, l := range n.loads {
			if !seen[l] && !l.stopping && allowed(l) {
				seen[l] = true
				candidates = append(candidates, l)
			}
		}
	}
	slices.SortFunc(candidates, comparePreemption)
	s.victims = nil
	for _, l := range candidates {
		change := s.add(l, 1)
		s.victims = append(s.victims, l)
		if tasks += change; tasks >= want {
			break
		}
	}
	if tasks < want {
		return false
	}
	for i := len(s.victims) - 1; i >= 0; i-- {
		l := s.victims[i]
		if change := s.add(l, -1); tasks+change >= want {
			tasks += change
			s.victims = slices.Delete(s.victims, i, i+1)
			continue
		}
		s.add(l, 1)
	}
	return true
}
