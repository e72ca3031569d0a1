package evict

import (
	"slices"
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
)

// plan is a set of units to be stopped so that some workers hold a demand.
type plan struct {
	*search
	area    []view.WorkerRef
	limit   float64          // cost above which the plan is given up
	inArea  []bool           // by view.WorkerRef, as are room, places and options
	room    []work.Resources // with the stops of the plan
	places  []int            // tasks of the demand that fit
	options []option         // results of byGain or byCost
	total   int              // sum of places
	stopped []bool           // by index of the unit
	touched []int            // units that have been stopped, also those that are kept again
	cost    float64          // of the units that are stopped
	stops   stopCounts       // of the runs that are stopped
}

// option is a set of units with runs on one worker, whose stop makes room for at least one more task there.
type option struct {
	known bool // false if it is out of date
	units []int
	cost  float64
	gain  int // tasks that find room, also on other workers; 0 if there is no such set
}

func (s *search) newPlan() *plan {
	return &plan{
		search: s, inArea: make([]bool, len(s.Workers)), room: make([]work.Resources, len(s.Workers)),
		places: make([]int, len(s.Workers)), stopped: make([]bool, len(s.units)), options: make([]option, len(s.Workers)),
		stops: stopCounts{},
	}
}

// reset empties a plan, for use on other workers: racks are many, and a plan has a place for each worker.
func (p *plan) reset(area []view.WorkerRef, limit float64) {
	for _, w := range p.area {
		p.inArea[w], p.places[w], p.options[w] = false, 0, option{}
	}
	for _, index := range p.touched {
		p.stopped[index] = false
	}
	p.touched = p.touched[:0]
	clear(p.stops)
	p.area, p.limit, p.total, p.cost = area, limit, 0, 0
	for _, w := range area {
		p.inArea[w] = true
		p.room[w] = p.search.room[w]
		p.count(w)
	}
}

// count updates how many tasks fit on a worker.
func (p *plan) count(w view.WorkerRef) {
	fits := p.room[w].CountFits(p.need, p.demand.Places[w])
	p.total += fits - p.places[w]
	p.places[w] = fits
}

// fill stops units, those of the best option first, until the demand fits, and reports whether it does.
func (p *plan) fill(optionOn func(view.WorkerRef) option) bool {
	for p.total < p.demand.Tasks {
		best := p.bestOption(optionOn)
		if best == nil || p.cost > p.limit {
			return false
		}
		for _, index := range best.units {
			p.stop(index)
		}
	}
	p.dropNeedless()
	return true
}

func (p *plan) bestOption(optionOn func(view.WorkerRef) option) *option {
	missing := p.demand.Tasks - p.total
	var best *option
	bestCost := 0.0
	for _, w := range p.area {
		o := &p.options[w]
		if !o.known {
			*o = optionOn(w)
			o.known = true
		}
		if o.gain == 0 {
			continue
		}
		if cost := o.cost / float64(min(o.gain, missing)); best == nil || cost < bestCost {
			best, bestCost = o, cost
		}
	}
	return best
}

// stop adds a unit to the plan.
func (p *plan) stop(index int) {
	p.stopped[index] = true
	p.touched = append(p.touched, index)
	p.cost += p.units[index].cost
	p.countStops(index, 1)
	for _, f := range p.units[index].frees {
		if p.inArea[f.worker] {
			p.room[f.worker] = p.room[f.worker].Add(f.room)
			p.count(f.worker)
			p.options[f.worker].known = false
		}
	}
}

// keep takes a unit out of the plan.
func (p *plan) keep(index int) {
	p.stopped[index] = false
	p.cost -= p.units[index].cost
	p.countStops(index, -1)
	for _, f := range p.units[index].frees {
		if p.inArea[f.worker] {
			p.room[f.worker] = p.room[f.worker].Sub(f.room)
			p.count(f.worker)
		}
	}
}

// dropNeedless keeps the units, the dearest first, without which the demand fits as well.
func (p *plan) dropNeedless() {
	list := p.stoppedUnits()
	p.sortUnits(list, func(index int) float64 { return -p.units[index].cost })
	for _, index := range list {
		p.keep(index)
		if p.total < p.demand.Tasks {
			p.stop(index)
		}
	}
}

func (p *plan) stoppedUnits() []int {
	var list []int
	for _, index := range p.touched {
		if p.stopped[index] {
			list = append(list, index)
		}
	}
	sort.Ints(list)
	return slices.Compact(list)
}

// byGain returns the units on a worker with the least cost for each task that gets room, whether there or where the rest of a gang runs.
func (p *plan) byGain(w view.WorkerRef) option {
	units := p.stoppableOn(w)
	target := p.oneMore(w)
	p.sortUnits(units, func(index int) float64 { return p.units[index].cost / p.usefulness(w, index, target) })
	return p.optionFrom(w, p.allowed(units, p.stops), p.demand.Places[w])
}

// byCost returns the cheapest units on a worker that make room for one more task there. What finds room elsewhere doesn't count.
func (p *plan) byCost(w view.WorkerRef) option {
	units := p.stoppableOn(w)
	p.sortUnits(units, func(index int) float64 { return p.units[index].cost })
	o := p.optionFrom(w, p.allowed(units, p.stops), p.places[w]+1)
	o.gain = min(o.gain, 1)
	return o
}

// stoppableOn returns the units with runs on a worker that are not stopped yet.
func (p *plan) stoppableOn(w view.WorkerRef) []int {
	if p.places[w] >= p.demand.Places[w] || !p.Workers[w].Capacity.Fits(p.oneMore(w)) {
		return nil
	}
	units := make([]int, 0, len(p.unitsOn[w]))
	for _, index := range p.unitsOn[w] {
		if !p.stopped[index] {
			units = append(units, index)
		}
	}
	return units
}

// oneMore returns the room that one more task than now takes on a worker.
func (p *plan) oneMore(w view.WorkerRef) work.Resources {
	return p.need.Times(p.places[w] + 1)
}

// usefulness returns which part of the room that a worker lacks for a target a unit frees there, with what it frees elsewhere; above 0.
func (p *plan) usefulness(w view.WorkerRef, index int, target work.Resources) float64 {
	return max(lackingShare(p.units[index].freesOn(w), target.Sub(p.room[w])), leastUsefulness)
}

// lackingShare returns which part of a lacking amount is freed, as the mean over the resources that lack.
func lackingShare(freed, lacking work.Resources) float64 {
	sum, parts := 0.0, 0.0
	for _, part := range [...][2]int{{freed.CPU, lacking.CPU}, {freed.Memory, lacking.Memory}, {int(freed.GPU), int(lacking.GPU)}} {
		if part[1] > 0 {
			sum += min(1, float64(part[0])/float64(part[1]))
			parts++
		}
	}
	return sum / max(1, parts)
}

// leastUsefulness ranks a unit last that frees nothing of what a worker lacks.
const leastUsefulness = 1e-6

// optionFrom returns the first units of a list that make room for one more task, or for up to a number of tasks where that costs less for
// each of them.
func (p *plan) optionFrom(w view.WorkerRef, units []int, most int) option {
	room := p.room[w]
	places := p.places[w]
	var best option
	cost := 0.0
	for i, index := range units {
		if places >= most {
			break
		}
		cost += p.units[index].cost
		room = room.Add(p.units[index].freesOn(w))
		fits := room.CountFits(p.need, p.demand.Places[w])
		if fits <= places {
			continue
		}
		places = fits
		gain := p.gain(units[:i+1])
		if best.gain == 0 || cost*float64(best.gain) < best.cost*float64(gain) {
			best = option{units: units[:i+1], cost: cost, gain: gain}
		}
	}
	return best
}

// gain returns how many more tasks of the demand find room once some units are stopped.
func (p *plan) gain(units []int) int {
	gain := 0
	for _, index := range units {
		for _, f := range p.units[index].frees {
			if !p.inArea[f.worker] {
				continue
			}
			before := p.room[f.worker].Add(p.freed[f.worker]).CountFits(p.need, p.demand.Places[f.worker])
			p.freed[f.worker] = p.freed[f.worker].Add(f.room)
			gain += p.room[f.worker].Add(p.freed[f.worker]).CountFits(p.need, p.demand.Places[f.worker]) - before
		}
	}
	for _, index := range units {
		for _, f := range p.units[index].frees {
			p.freed[f.worker] = work.Resources{}
		}
	}
	return gain
}

// choice returns the stops of the plan, and claims on the workers where the room is free soonest.
func (p *plan) choice() *Choice {
	c := p.choiceOf(p.stoppedUnits())
	area := append([]view.WorkerRef(nil), p.area...)
	sort.SliceStable(area, func(i, j int) bool { return p.waitOn(area[i]) < p.waitOn(area[j]) })
	missing := p.demand.Tasks
	for _, w := range area {
		if tasks := min(p.places[w], missing); tasks > 0 {
			c.Claims = append(c.Claims, view.Claim{Worker: w, Tasks: tasks})
			c.Wait = max(c.Wait, p.waitOn(w))
			missing -= tasks
		}
	}
	return c
}

// waitOn returns how long the runs on a worker take whose end the plan waits for.
func (p *plan) waitOn(w view.WorkerRef) time.Duration {
	if p.Workers[w].Available.CountFits(p.need, p.demand.Places[w]) >= p.places[w] {
		return 0
	}
	return p.endsIn[w]
}
