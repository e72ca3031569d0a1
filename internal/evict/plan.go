package evict

import (
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
)

// plan is a set of units to be stopped so that some workers hold a demand.
type plan struct {
	*search
	area    []view.WorkerRef
	inArea  map[view.WorkerRef]bool
	room    map[view.WorkerRef]work.Resources // with the stops of the plan
	places  map[view.WorkerRef]int            // tasks of the demand that fit
	total   int                               // sum of places
	stopped map[int]bool                      // units
	options map[view.WorkerRef]*option        // results of byGain and byCost; none where they are out of date
}

// option is a set of units with runs on one worker, whose stop makes room for at least one more task there.
type option struct {
	units []int
	cost  float64
	gain  int // tasks that find room, also on other workers
}

func (s *search) newPlan(area []view.WorkerRef) *plan {
	p := &plan{
		search: s, area: area, inArea: make(map[view.WorkerRef]bool, len(area)), room: make(map[view.WorkerRef]work.Resources, len(area)),
		places: make(map[view.WorkerRef]int, len(area)), stopped: map[int]bool{}, options: make(map[view.WorkerRef]*option, len(area)),
	}
	for _, w := range area {
		p.inArea[w] = true
		p.room[w] = s.room[w]
		p.count(w)
	}
	return p
}

// count updates how many tasks fit on a worker.
func (p *plan) count(w view.WorkerRef) {
	fits := countFits(p.room[w], p.need, p.demand.Places[w])
	p.total += fits - p.places[w]
	p.places[w] = fits
}

// fill stops units, those of the best option first, until the demand fits, and reports whether it does.
func (p *plan) fill(optionOn func(view.WorkerRef) *option) bool {
	for p.total < p.demand.Tasks {
		best := p.bestOption(optionOn)
		if best == nil {
			return false
		}
		for _, index := range best.units {
			p.stop(index)
		}
	}
	p.dropNeedless()
	return true
}

func (p *plan) bestOption(optionOn func(view.WorkerRef) *option) *option {
	missing := p.demand.Tasks - p.total
	var best *option
	bestCost := 0.0
	for _, w := range p.area {
		o, known := p.options[w]
		if !known {
			o = optionOn(w)
			p.options[w] = o
		}
		if o == nil {
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
	for _, ref := range p.units[index].runs {
		w := p.Runs[ref].Worker
		if p.inArea[w] {
			p.room[w] = p.room[w].Add(p.Runs[ref].Need)
			p.count(w)
			delete(p.options, w)
		}
	}
}

// keep takes a unit out of the plan.
func (p *plan) keep(index int) {
	delete(p.stopped, index)
	for _, ref := range p.units[index].runs {
		w := p.Runs[ref].Worker
		if p.inArea[w] {
			p.room[w] = p.room[w].Sub(p.Runs[ref].Need)
			p.count(w)
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
	list := make([]int, 0, len(p.stopped))
	for index := range p.stopped {
		list = append(list, index)
	}
	sort.Ints(list)
	return list
}

// byGain returns the units on a worker with the least cost for each task that gets room, whether there or where the rest of a gang runs.
func (p *plan) byGain(w view.WorkerRef) *option {
	units := p.unitsOn(w)
	target := p.oneMore(w)
	useful := map[int]float64{}
	for _, index := range units {
		useful[index] = p.units[index].cost / p.usefulness(w, index, target)
	}
	p.sortUnits(units, func(index int) float64 { return useful[index] })
	return p.optionFrom(w, units, p.demand.Places[w])
}

// byCost returns the cheapest units on a worker that make room for one more task.
func (p *plan) byCost(w view.WorkerRef) *option {
	units := p.unitsOn(w)
	p.sortUnits(units, func(index int) float64 { return p.units[index].cost })
	return p.optionFrom(w, units, p.places[w]+1)
}

// unitsOn returns the units with runs on a worker that are not stopped yet.
func (p *plan) unitsOn(w view.WorkerRef) []int {
	if p.places[w] >= p.demand.Places[w] || !p.Workers[w].Capacity.Fits(p.oneMore(w)) {
		return nil
	}
	var units []int
	seen := map[int]bool{}
	for _, ref := range p.Workers[w].Runs {
		index := p.unitOf[ref]
		if index >= 0 && !p.stopped[index] && !seen[index] {
			seen[index] = true
			units = append(units, index)
		}
	}
	return units
}

// oneMore returns the room that one more task than now takes on a worker.
func (p *plan) oneMore(w view.WorkerRef) work.Resources {
	return times(p.need, p.places[w]+1)
}

func times(one work.Resources, count int) work.Resources {
	scaled := work.Resources{CPU: one.CPU * count, Memory: one.Memory * count}
	for range count {
		scaled.GPU += one.GPU
	}
	return scaled
}

// usefulness returns which part of the room that a worker lacks for a target a unit frees there, with what it frees elsewhere; above 0.
func (p *plan) usefulness(w view.WorkerRef, index int, target work.Resources) float64 {
	freed := work.Resources{}
	for _, ref := range p.units[index].runs {
		if p.Runs[ref].Worker == w {
			freed = freed.Add(p.Runs[ref].Need)
		}
	}
	lacking := target.Sub(p.room[w])
	sum, parts := 0.0, 0.0
	for _, part := range [][2]int{{freed.CPU, lacking.CPU}, {freed.Memory, lacking.Memory}, {int(freed.GPU), int(lacking.GPU)}} {
		if part[1] > 0 {
			sum += min(1, float64(part[0])/float64(part[1]))
			parts++
		}
	}
	return max(sum/max(1, parts), leastUsefulness)
}

// leastUsefulness ranks a unit last that frees nothing of what a worker lacks.
const leastUsefulness = 1e-6

// optionFrom returns the first units of a list that make room for one more task, or for up to a number of tasks where that costs less for
// each of them; nil if there is no room for one.
func (p *plan) optionFrom(w view.WorkerRef, units []int, most int) *option {
	room := p.room[w]
	places := p.places[w]
	var best *option
	var chosen []int
	cost := 0.0
	for _, index := range units {
		if places >= most {
			break
		}
		chosen = append(chosen, index)
		cost += p.units[index].cost
		for _, ref := range p.units[index].runs {
			if p.Runs[ref].Worker == w {
				room = room.Add(p.Runs[ref].Need)
			}
		}
		fits := countFits(room, p.need, p.demand.Places[w])
		if fits <= places {
			continue
		}
		places = fits
		gain := p.gain(chosen)
		if best == nil || cost*float64(best.gain) < best.cost*float64(gain) {
			best = &option{units: append([]int(nil), chosen...), cost: cost, gain: gain}
		}
	}
	return best
}

// gain returns how many more tasks of the demand find room once some units are stopped.
func (p *plan) gain(units []int) int {
	freed := map[view.WorkerRef]work.Resources{}
	for _, index := range units {
		for _, ref := range p.units[index].runs {
			if w := p.Runs[ref].Worker; p.inArea[w] {
				freed[w] = freed[w].Add(p.Runs[ref].Need)
			}
		}
	}
	gain := 0
	for w, resources := range freed {
		gain += countFits(p.room[w].Add(resources), p.need, p.demand.Places[w]) - p.places[w]
	}
	return gain
}

func (p *plan) cost() float64 {
	cost := 0.0
	for _, index := range p.stoppedUnits() {
		cost += p.units[index].cost
	}
	return cost
}

// choice returns the stops of the plan, and claims on the workers where the room is free soonest.
func (p *plan) choice() *Choice {
	c := &Choice{Cost: p.cost()}
	for _, index := range p.stoppedUnits() {
		c.Lost += p.units[index].lost
		for _, ref := range p.units[index].runs {
			c.Stops = append(c.Stops, view.Stop{Run: ref})
		}
	}
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
	if countFits(p.Workers[w].Available, p.need, p.demand.Places[w]) >= p.places[w] {
		return 0
	}
	return p.endsIn[w]
}
