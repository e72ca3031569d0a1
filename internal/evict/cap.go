package evict

import (
	"sort"

	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
)

// WithinCap returns the cheapest less urgent runs of a stage's own tenant whose end frees an amount of the tenant's cap for a number of the
// stage's tasks, or why none are stopped. Where they run doesn't matter.
func (c *Chooser) WithinCap(s *view.Snapshot, stage view.StageRef, tasks int, excess work.Resources) (*Choice, *view.Refusal) {
	search := newSearch(c, s, &Demand{Stage: stage, Tasks: tasks})
	choice := search.freeOwn(excess)
	if choice == nil {
		return nil, &view.Refusal{Reason: ReasonNoRoom}
	}
	if why := search.whyNotWorth(choice); why != "" {
		return choice, &view.Refusal{Reason: why}
	}
	return choice, nil
}

// freeOwn returns units of the demand's tenant, of which none is urgent, that free an amount; nil if all of them do not.
func (s *search) freeOwn(excess work.Resources) *Choice {
	units := s.ownUnits()
	s.sortUnits(units, func(index int) float64 { return s.units[index].cost / s.coveredShare(index, excess) })
	units = s.allowed(units, nil)
	var chosen []int
	for _, index := range units {
		if covered(excess) {
			break
		}
		if room := s.roomOf(index); helps(room, excess) {
			chosen = append(chosen, index)
			excess = excess.Sub(room)
		}
	}
	if !covered(excess) {
		return nil
	}
	return s.choiceOf(s.needed(chosen, excess))
}

// needed drops the units, the dearest first, without which the rest covers the amount as well; excess is what is left of it, below 0.
func (s *search) needed(chosen []int, excess work.Resources) []int {
	s.sortUnits(chosen, func(index int) float64 { return -s.units[index].cost })
	var kept []int
	for _, index := range chosen {
		if without := excess.Add(s.roomOf(index)); covered(without) {
			excess = without
			continue
		}
		kept = append(kept, index)
	}
	sort.Ints(kept)
	return kept
}

// ownUnits returns the units of the demand's tenant that are not urgent.
func (s *search) ownUnits() []int {
	tenant := s.Stages[s.demand.Stage].Tenant
	var own []int
	for index := range s.units {
		if stage := &s.Stages[s.Runs[s.units[index].runs[0]].Stage]; stage.Tenant == tenant && stage.Priority > 0 {
			own = append(own, index)
		}
	}
	return own
}

// roomOf returns the room that the stop of a unit frees on all workers.
func (s *search) roomOf(index int) work.Resources {
	var room work.Resources
	for _, f := range s.units[index].frees {
		room = room.Add(f.room)
	}
	return room
}

// coveredShare returns which part of an amount a unit frees; above 0.
func (s *search) coveredShare(index int, excess work.Resources) float64 {
	return max(lackingShare(s.roomOf(index), excess), leastUsefulness)
}

// helps reports whether room covers some part of an amount.
func helps(room, excess work.Resources) bool { return lackingShare(room, excess) > 0 }

// covered reports whether nothing of an amount is left.
func covered(excess work.Resources) bool {
	return excess.CPU <= 0 && excess.Memory <= 0 && excess.GPU <= 0
}

// choiceOf returns the choice that stops some units.
func (s *search) choiceOf(units []int) *Choice {
	c := &Choice{}
	for _, index := range units {
		c.Lost += s.units[index].lost
		c.Cost += s.units[index].cost
		for _, ref := range s.units[index].runs {
			c.Stops = append(c.Stops, view.Stop{Run: ref})
		}
	}
	return c
}
