package evict

import "peridotgw.example/peridotgw/internal/view"

// stopCounts holds how many runs are stopped of the stages that limit that number.
type stopCounts map[view.StageRef]int

// allowed returns the first units of a list that may be stopped together, beside what is stopped already.
func (s *search) allowed(units []int, stopped stopCounts) []int {
	if !s.limited {
		return units
	}
	more := stopCounts{}
	allowed := make([]int, 0, len(units))
	for _, index := range units {
		u := &s.units[index]
		if most := s.Stages[u.stage].MaxStops; most > 0 {
			if stopped[u.stage]+more[u.stage]+u.stops > most {
				continue
			}
			more[u.stage] += u.stops
		}
		allowed = append(allowed, index)
	}
	return allowed
}

// countStops counts the runs of a unit that is stopped, or that is kept again where sign is -1. The options on other workers that have runs of
// the same stage change with that.
func (p *plan) countStops(index, sign int) {
	u := &p.units[index]
	if p.Stages[u.stage].MaxStops == 0 {
		return
	}
	p.stops[u.stage] += sign * u.stops
	for _, w := range p.area {
		p.options[w].known = false
	}
}
