package place

import (
	"cmp"
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
		if u.accels > u.node.physical() {
			for _, l := range u.node.loads {
				if l.stopping && !slices.Contains(waits, l) {
					waits = append(waits, l)
				}
			}
		}
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
	return prune(victims, freed, enough), waits, true
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
	weak := func(l *load) int {
		if l.job.Weak {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.rank, a.rank), cmp.Compare(weak(a), weak(b)),
		cmp.Compare(b.job.Order, a.job.Order), cmp.Compare(a.job.ID, b.job.ID),
	)
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

// cheaper compares sets of victims by the most urgent priority lost, then by accelerators, then by jobs.
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
	return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(accels(a), accels(b)), cmp.Compare(len(a), len(b))) < 0
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
		set := newVictimSet(nodes, shape, soft, avoid)
		if set.choose(allowed) && (best == nil || cheaper(set.victims, best.victims)) {
			best = set
		}
	}
	if best == nil {
		return Plan{}, false
	}
	slots := fill(best.nodes, shape, func(n *node) int { return best.room(n) }, nil)
	if slots == nil {
		return Plan{}, false
	}
	_, waits, _ := victimsFor(c.usesOf(slots), func(l *load) bool { return slices.Contains(best.victims, l) })
	lent := slices.ContainsFunc(c.usesOf(slots), func(u use) bool { return u.node.bound > 0 })
	return Plan{Slots: slots, Preempt: idsOf(best.victims), WaitFor: idsOf(waits), Lent: soft && lent}, true
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
	avoid   map[*node]bool
	inGroup map[*node]bool
	freed   map[*node]int
	victims []*load
}

func newVictimSet(nodes []*node, shape model.Shape, soft bool, avoid map[*node]bool) *victimSet {
	s := &victimSet{nodes: nodes, shape: shape, soft: soft, avoid: avoid, freed: map[*node]int{}}
	s.inGroup = make(map[*node]bool, len(nodes))
	for _, n := range nodes {
		s.inGroup[n] = n.State == WorkerUsable && !avoid[n]
	}
	return s
}

// room is what the job may take on a worker once the victims and the jobs that are being stopped have ended.
func (s *victimSet) room(n *node) int {
	if !s.inGroup[n] {
		return 0
	}
	free := n.physical() + n.stopping + s.freed[n]
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
		before := s.room(u.node)
		s.freed[u.node] += sign * u.accels
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
		if !s.inGroup[n] {
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
