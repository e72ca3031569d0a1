package chief

import (
	"maps"
	"slices"
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

// A gang that does not fit gets a reservation: workers, and the time at which running work will have left room for it there, by its own
// estimates. Work that ends before that time may still start on them (backfill).

const (
	// gangReservationAfter is how long a gang's job must have had nothing running.
	gangReservationAfter = 2 * time.Second
	// Gangs in a pool have minGangReservations at once, and up to maxGangReservations while these hold at most a gangReservationShare of the
	// pool's workers.
	minGangReservations  = 2
	maxGangReservations  = 8
	gangReservationShare = 0.25
	// gangReservationPause is the least time between two searches for room in a pool, and between two moves of a reservation.
	gangReservationPause = 250 * time.Millisecond
	// gangReservationSlack is how far the start of a gang may be behind its expected time before its reservation is moved.
	gangReservationSlack = time.Second
	// A gang gives up its reservation after maxGangMoves moves, or gangReservationLimit, and gets no other for gangReservationRest.
	maxGangMoves         = 5
	gangReservationLimit = 15 * time.Second
	gangReservationRest  = 5 * time.Second
	// minOverrun is the least time that a run which is over its estimate still counts as taking.
	minOverrun = time.Second
	// heldPenalty keeps tasks off a worker that is reserved for a gang as long as another one has capacity.
	heldPenalty = 10
)

// gangReservation reserves workers for a gang from some time on.
type gangReservation struct {
	stage      *stage
	places     map[*worker]int // tasks of the gang by worker
	expected   clock.Instant   // start of the gang, as of the last move
	startsAt   clock.Instant   // start of the gang, as of this planning pass
	reservedAt clock.Instant
	movedAt    clock.Instant // when its workers were last chosen
	moves      int
}

// heldPlace is the part of a gang's reservation on one worker, during a planning pass.
type heldPlace struct {
	reservation *gangReservation
	runs        int            // of the worker when beside was computed; -1 before
	beside      work.Resources // that stay free when the gang starts
}

// runEnd is when a run probably ends.
type runEnd struct {
	worker    *worker
	at        clock.Instant
	resources work.Resources
}

// applyGangReservations drops and moves reservations of gangs, and notes the workers that the others hold.
func (p *planner) applyGangReservations() {
	for _, w := range p.c.workers {
		w.held = nil
	}
	if len(p.c.gangReservations) == 0 {
		return
	}
	usable := make(map[*worker]bool, len(p.workers))
	for _, w := range p.workers {
		usable[w] = true
	}
	for _, g := range slices.Clone(p.c.gangReservations) {
		if !p.mayReserve(g.stage) {
			p.c.dropGangReservation(g.stage)
			continue
		}
		p.hold(g)
	}
	for _, g := range slices.Clone(p.c.gangReservations) {
		possible := p.updateStart(g, usable)
		onTime := max(p.now, g.startsAt) <= g.expected.Add(gangReservationSlack)
		settled := gangReservationPause
		if possible {
			settled = gangReservationSlack
		}
		if possible && onTime || p.now.Sub(g.movedAt) < settled {
			continue
		}
		if g.moves == maxGangMoves || p.now.Sub(g.reservedAt) > gangReservationLimit || !p.moveGangReservation(g, possible) {
			p.c.dropGangReservation(g.stage)
			g.stage.noReservationUntil = p.now.Add(gangReservationRest)
			p.c.Log.Info().Str("step", g.stage.id.String()).Int("moves", g.moves).Dur("reserved", p.now.Sub(g.reservedAt)).
				Msg("chief: gang's reservation given up")
		}
	}
}

// mayReserve reports whether a stage is a gang that may have a reservation.
func (p *planner) mayReserve(s *stage) bool {
	j := s.job
	return s.step.Gang && s.gang == nil && s.unfinished > 0 && !j.state.Final() && p.priority(s) != 0 && !j.late(p.now) &&
		p.now >= s.noReservationUntil && p.now.Sub(s.stalledSince()) >= gangReservationAfter
}

// reserveForGang reserves workers for a gang that does not fit.
func (p *planner) reserveForGang(s *stage) {
	pool := s.job.spec.Pool
	if s.gangReservation != nil || p.settling || !p.mayReserve(s) || p.now.Sub(p.c.reservationsTriedAt[pool]) < gangReservationPause {
		return
	}
	if !p.mayAddGangReservation(s) {
		return
	}
	p.c.reservationsTriedAt[pool] = p.now
	if places, at, found := p.firstRoom(s); found {
		g := &gangReservation{stage: s, reservedAt: p.now}
		s.gangReservation = g
		p.c.gangReservations = append(p.c.gangReservations, g)
		p.reserveForGangAt(g, places, at)
	}
}

// mayAddGangReservation reports whether one more gang of the pool may have a reservation.
func (p *planner) mayAddGangReservation(s *stage) bool {
	pool := s.job.spec.Pool
	reservations, held := 0, len(s.tasks) // On as many workers at most.
	for _, g := range p.c.gangReservations {
		if g.stage.job.spec.Pool == pool {
			reservations++
			held += len(g.places)
		}
	}
	if reservations < minGangReservations || reservations >= maxGangReservations {
		return reservations < minGangReservations
	}
	workers := 0
	for _, w := range p.workers {
		if w.info.Pool == pool {
			workers++
		}
	}
	return float64(held) <= gangReservationShare*float64(workers)
}

// moveGangReservation reserves other workers for a gang, unless it can start as soon on those that it has.
func (p *planner) moveGangReservation(g *gangReservation, possible bool) bool {
	g.moves++
	places, at, found := p.firstRoom(g.stage)
	if possible && (!found || at.Add(gangReservationSlack) > g.startsAt) {
		places, at, found = g.places, g.startsAt, true
	}
	if found {
		p.reserveForGangAt(g, places, at)
	}
	return found
}

// reserveForGangAt reserves workers for a gang from some time on.
func (p *planner) reserveForGangAt(g *gangReservation, places map[*worker]int, at clock.Instant) {
	for w := range g.places {
		w.held = nil
	}
	g.places, g.expected, g.startsAt, g.movedAt = places, at, at, p.now
	p.hold(g)
	workers := make([]string, 0, len(places))
	for w := range places {
		workers = append(workers, string(w.info.ID))
	}
	sort.Strings(workers)
	p.c.Log.Info().Str("step", g.stage.id.String()).Strs("workers", workers).Dur("expected", at.Sub(p.now)).Int("moves", g.moves).
		Dur("stalled", p.now.Sub(g.stage.stalledSince())).Msg("chief: gang reserved")
}

// hold notes the workers that a reservation holds in this planning pass.
func (p *planner) hold(g *gangReservation) {
	for w := range g.places {
		w.held = &heldPlace{reservation: g, runs: -1}
	}
}

// dropGangReservation removes the reservation of a gang, if it has one.
func (c *Scheduler) dropGangReservation(s *stage) {
	if s.gangReservation == nil {
		return
	}
	for w := range s.gangReservation.places {
		w.held = nil
	}
	c.gangReservations = slices.DeleteFunc(c.gangReservations, func(g *gangReservation) bool { return g == s.gangReservation })
	s.gangReservation = nil
}

// gangReservationPlaces returns the reserved workers of a gang if all members can start there now, or nil.
func (p *planner) gangReservationPlaces(s *stage) []*worker {
	if s.gangReservation == nil {
		return nil
	}
	places := make([]*worker, 0, len(s.tasks))
	for w, count := range s.gangReservation.places {
		if !p.eligible(s, w) || availableNow(w).CountFits(s.step.Resources(), count) < count {
			return nil
		}
		for range count {
			places = append(places, w)
		}
	}
	return places
}

// reservedWorkersFree reports whether all reserved workers of a gang have room for it. It then starts there although accelerators are kept
// free for urgent work: small jobs would take those workers one by one before that ends.
func (p *planner) reservedWorkersFree(s *stage) bool {
	g := s.gangReservation
	if g == nil || s.gang != nil {
		return false
	}
	for w, count := range g.places {
		if !p.suits(s, w) || availableNow(w).CountFits(s.step.Resources(), count) < count {
			return false
		}
	}
	return true
}

// heldForOther reports whether a worker is reserved for another stage, which is a gang.
func (p *planner) heldForOther(s *stage, w *worker) bool {
	return w.held != nil && w.held.reservation.stage != s
}

// besideGang returns what a stage may use of the available resources of a worker: on one that is reserved for a gang, work of the same or
// a lower priority that does not end before the gang starts gets what the gang leaves free, unless its job has had nothing running for too
// long and has found room for it for as long.
func (p *planner) besideGang(s *stage, w *worker, available work.Resources) work.Resources {
	if !p.heldForOther(s, w) || s.ignoresHolds && s.besideRoom(p.now) >= holdLimit {
		return available
	}
	held := w.held
	g := held.reservation
	if own := p.priority(s); own == 0 || own < p.priority(g.stage) || p.endsBefore(s, w, g.startsAt) {
		return available
	}
	if held.runs != len(w.runs) {
		held.runs, held.beside = len(w.runs), p.freeBesideGang(g, w)
	}
	return work.Resources{
		CPU: min(available.CPU, held.beside.CPU), Memory: min(available.Memory, held.beside.Memory), GPU: min(available.GPU, held.beside.GPU),
	}
}

// endsBefore reports whether a task of a stage that starts on a worker now ends before a time, by its estimate.
func (p *planner) endsBefore(s *stage, w *worker, at clock.Instant) bool {
	takes := p.c.runTime(s, w)
	if s.step.DataRack != "" && s.step.DataRack != w.info.Rack() {
		takes = time.Duration(p.c.Limits.RemoteSlowdown * float64(takes))
	}
	return !s.step.Lasts && takes > 0 && p.now.Add(takes) <= at
}

// freeBesideGang returns what is free on a worker once a gang has started there.
func (p *planner) freeBesideGang(g *gangReservation, w *worker) work.Resources {
	free := p.unreserved(w)
	for _, end := range p.runEnds(nil, w) {
		if end.at <= g.startsAt {
			free = free.Add(end.resources)
		}
	}
	needed := g.stage.step.Resources()
	for range g.places[w] {
		free = free.Sub(needed)
	}
	// A gang that needs more accelerators than are free then does not keep tasks without any from the rest.
	return work.Resources{CPU: max(free.CPU, 0), Memory: max(free.Memory, 0), GPU: max(free.GPU, 0)}
}

// unreserved returns what is free on a worker now, less what is reserved for urgent work; it may be negative.
func (p *planner) unreserved(w *worker) work.Resources { return w.available.Sub(w.usedByStopping) }

// runEnds appends the probable ends of the runs of a worker, but for those that last.
func (p *planner) runEnds(ends []runEnd, w *worker) []runEnd {
	for _, r := range w.runs {
		switch {
		case r.phase == stopping:
			ends = append(ends, runEnd{w, p.now.Add(p.c.Limits.StopTimeout), r.resources})
		case r.task != nil && !r.task.stage.step.Lasts:
			ends = append(ends, runEnd{w, p.now.Add(p.timeLeft(r)), r.resources})
		}
	}
	return ends
}

// timeLeft estimates how long a run still takes. One that is over its estimate counts as taking as long again as it is over, as nothing
// more is known of it, and at least minOverrun.
func (p *planner) timeLeft(r *run) time.Duration {
	var left time.Duration
	switch {
	case r.percent >= fullPercent && r.gang == nil:
		left = -p.now.Sub(r.progressedAt)
	case r.ratedAt != 0 && r.rate > 0:
		left = p.c.remainingTime(r, p.now)
	default:
		left = p.c.remainingTime(r, p.now) - p.now.Sub(r.progressedAt)
	}
	if left <= 0 {
		return max(-left, minOverrun)
	}
	return left
}

// updateStart updates the time at which all workers of a reservation have room for the gang, and reports whether there is one.
func (p *planner) updateStart(g *gangReservation, usable map[*worker]bool) bool {
	g.startsAt = p.now
	for w, count := range g.places {
		if !usable[w] || !p.suits(g.stage, w) || !w.takes(g.stage, p.now) {
			return false
		}
		_, at, found := p.firstRoomAmong(g.stage, []*worker{w}, count)
		if !found {
			return false
		}
		g.startsAt = max(g.startsAt, at)
	}
	return true
}

// firstRoom returns the workers on which a gang can start first, and the time: within a single rack, or that of its data, as long as the
// gang waits for one that can hold it.
func (p *planner) firstRoom(s *stage) (places map[*worker]int, at clock.Instant, found bool) {
	need := len(s.tasks)
	if dataRack := s.step.DataRack; dataRack != "" {
		places, at, found = p.firstRoomAmong(s, p.racks[dataRack], need)
	}
	if !found && s.step.SameRack {
		for _, rack := range p.racks {
			inRack, readyAt, fits := p.firstRoomAmong(s, rack, need)
			if fits && (!found || readyAt < at) {
				places, at, found = inRack, readyAt, true
			}
		}
	}
	if !p.mayRunRemote(s) {
		return places, at, found
	}
	anywhere, readyAt, fits := p.firstRoomAmong(s, p.workers, need)
	slower := time.Duration((p.c.Limits.RemoteSlowdown - 1) * float64(p.c.estimate(s)))
	if fits && (!found || readyAt.Add(slower) < at) {
		return anywhere, readyAt, true
	}
	return places, at, found
}

// firstRoomAmong returns on which of some workers a number of a gang's tasks can start first, and when.
func (p *planner) firstRoomAmong(s *stage, among []*worker, need int) (places map[*worker]int, at clock.Instant, found bool) {
	resources := s.step.Resources()
	free := map[*worker]work.Resources{}
	places = map[*worker]int{}
	total := 0
	addPlaces := func(w *worker) {
		count := min(p.atMostOn(s, w, free[w].CountFits(resources, need)), places[w]+need-total)
		if count > places[w] {
			total += count - places[w]
			places[w] = count
		}
	}
	var ends []runEnd
	for _, w := range among {
		if p.heldForOther(s, w) || !p.suits(s, w) || !w.takes(s, p.now) || !w.info.Capacity.Fits(resources) {
			continue
		}
		free[w] = p.unreserved(w)
		addPlaces(w)
		ends = p.runEnds(ends, w)
	}
	at = p.now
	if total < need {
		sort.Slice(ends, func(i, j int) bool { return ends[i].at < ends[j].at })
		for _, end := range ends {
			free[end.worker] = free[end.worker].Add(end.resources)
			addPlaces(end.worker)
			at = end.at
			if total == need {
				break
			}
		}
	}
	maps.DeleteFunc(places, func(_ *worker, count int) bool { return count == 0 })
	return places, at, total == need
}
