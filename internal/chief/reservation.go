package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/evict"
	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	// reservationTTL is how long workers stay reserved for tasks that have not started there.
	reservationTTL = 2500 * time.Millisecond
	// expectedEndMargin is how long after the expected end of a run its room stays reserved for the stage that waits for it.
	expectedEndMargin     = 100 * time.Millisecond
	refusedRoomPause      = 100 * time.Millisecond // least time between two searches for room for a stage that gets none
	noCapacityLogInterval = time.Second            // least time between two logs for a stage
)

// applyReservations deducts the reservations of waiting stages from the available capacity, and drops invalid ones.
func (p *planner) applyReservations() {
	usable := make(map[*worker]bool, len(p.workers))
	for _, w := range p.workers {
		usable[w] = true
	}
	for _, j := range p.c.liveJobs {
		for _, o := range j.occurrences {
			for _, s := range o.open {
				if len(s.reserved) > 0 && !p.reservationValid(s, usable) {
					s.reserved = nil
				}
				p.deductReservation(s)
				if len(s.reserved) > 0 {
					p.reservedStages = append(p.reservedStages, s)
				}
			}
		}
	}
}

func (p *planner) reservationValid(s *stage, usable map[*worker]bool) bool {
	if s.unfinished == 0 || s.gang != nil || p.now.Sub(s.reservedAt) > s.reservedFor {
		return false
	}
	for _, w := range s.reserved {
		if !usable[w] {
			return false
		}
	}
	return true
}

// deductReservation removes a stage's reservation from the available capacity.
func (p *planner) deductReservation(s *stage) {
	for _, w := range s.reserved {
		w.available = w.available.Sub(s.step.Resources())
	}
}

// creditReservation returns a stage's reservation to the available capacity, for the planning of the stage itself.
func (p *planner) creditReservation(s *stage) {
	for _, w := range s.reserved {
		w.available = w.available.Add(s.step.Resources())
	}
}

// takeIdleReservations ends the reservations of other stages that need no stop, if a stage fits into all free room: they are for urgent work
// that waits for its rack, and a stream of such work would keep the room for ever. It reports whether there were any.
func (p *planner) takeIdleReservations(s *stage) bool {
	if p.allRoom(s) < s.placesNeeded() {
		return false
	}
	taken := false
	for _, other := range p.reservedStages {
		if other != s && len(other.reserved) > 0 && other.reservedRoomFree() {
			p.creditReservation(other)
			other.reserved = nil
			taken = true
		}
	}
	return taken
}

// reservedRoomFree reports whether nothing runs in the room that a stage has reserved.
func (s *stage) reservedRoomFree() bool {
	places := map[*worker]int{}
	for _, w := range s.reserved {
		places[w]++
	}
	for w, count := range places {
		if w.free().CountFits(s.step.Resources(), count) < count {
			return false
		}
	}
	return true
}

// reservedPlaces returns the reserved workers of a gang if all members can start there now, or nil.
func (p *planner) reservedPlaces(s *stage) []*worker {
	if len(s.reserved) < len(s.tasks) {
		return nil
	}
	free := map[*worker]work.Resources{}
	for _, w := range s.reserved {
		available, seen := free[w]
		if !seen {
			available = availableNow(w)
		}
		available = available.Sub(s.step.Resources())
		if available.CPU < 0 || available.Memory < 0 || available.GPU < 0 {
			return nil
		}
		free[w] = available
	}
	return s.reserved
}

// reserveForUrgent reserves workers for the waiting tasks of an urgent stage, and preempts runs there if it must.
func (p *planner) reserveForUrgent(s *stage) {
	if p.priority(s) != 0 || len(s.reserved) > 0 || p.settling {
		return
	}
	need := p.withinCap(s, s.waitingTasks())
	if places := p.placeAfterStops(s, need, s.step.SameRack && p.now.Sub(s.waitingSince) < p.sameRackWait()); places != nil {
		p.reserveWorkers(s, places)
		return
	}
	if p.now.Sub(s.roomRefusedAt) < refusedRoomPause {
		return
	}
	choice, refusal := p.chooseRoom(s, need)
	if refusal != nil {
		s.roomRefusedAt = p.now
		p.logNoCapacity(s, choice, refusal)
		return
	}
	p.preemptRuns(s, choice.Stops)
	p.reserveWorkers(s, p.claimedWorkers(choice.Claims))
	if choice.Wait > 0 {
		s.reservedFor = choice.Wait + expectedEndMargin
	}
}

// claimedWorkers returns a worker for each task of some claims.
func (p *planner) claimedWorkers(claims []view.Claim) []*worker {
	var places []*worker
	for _, claim := range claims {
		for range claim.Tasks {
			places = append(places, p.seen.workers[claim.Worker])
		}
	}
	return places
}

func (p *planner) reserveWorkers(s *stage, places []*worker) {
	s.reserved, s.reservedAt, s.reservedFor = places, p.now, reservationTTL
	p.reservedStages = append(p.reservedStages, s)
	workers := make([]string, len(places))
	for i, w := range places {
		workers[i] = string(w.info.ID)
	}
	p.c.Log.Info().Str("step", s.id.String()).Strs("workers", workers).Dur("waited", p.now.Sub(s.waitingSince)).
		Bool("guaranteed", p.withinGuarantee(s.job)).Msg("chief: room held")
}

// logNoCapacity logs, at most once per noCapacityLogInterval, that an urgent stage cannot be placed.
func (p *planner) logNoCapacity(s *stage, choice *evict.Choice, refusal *view.Refusal) {
	if p.now.Sub(s.noCapacityLoggedAt) < noCapacityLogInterval {
		return
	}
	s.noCapacityLoggedAt = p.now
	cost := 0.0
	if choice != nil {
		cost = choice.Cost
	}
	p.c.Log.Info().Str("step", s.id.String()).Dur("waited", p.now.Sub(s.waitingSince)).Bool("guaranteed", p.withinGuarantee(s.job)).
		Str("why", string(refusal.Reason)).Float64("cost-core-seconds", cost).Int("workers", len(p.workers)).Msg("chief: no room for urgent work")
}

// sameRackWait is how long urgent work waits for the rack of its data, or for stops in flight to free capacity in a single rack: its
// reservations in other racks keep room from others meanwhile.
func (p *planner) sameRackWait() time.Duration {
	return time.Duration(sameRackWaitShare * float64(p.c.Limits.ReclaimBound))
}
