package chief

import "peridotgw.example/peridotgw/internal/work"

// holds is a set of reasons for which the scheduler leaves free room unused.
type holds int

// Reasons to leave free room unused.
const (
	holdLocality   holds = 1 << iota // the wait for the rack of a task's data, or for a single rack
	holdUrgent                       // accelerators and idle workers that are kept for urgent work
	holdReserved                     // what is reserved for urgent tasks while runs there are being stopped
	holdQuarantine                   // workers that get no starts for a time

	allHolds = holdLocality | holdUrgent | holdReserved | holdQuarantine
)

// placesNeeded returns how many tasks of a stage must find room at the same time.
func (s *stage) placesNeeded() int {
	if s.step.Gang {
		return len(s.tasks)
	}
	return 1
}

// whyNoRoom names the hold for which a stage finds no room; waitRoom if there is not enough even without any of them.
func (p *planner) whyNoRoom(s *stage) string {
	need := s.placesNeeded()
	if p.roomFor(s, allHolds) < need {
		return waitRoom
	}
	for _, h := range []struct {
		hold holds
		why  string
	}{{holdLocality, waitLocality}, {holdUrgent, waitUrgentRoom}, {holdReserved, waitReserved}, {holdQuarantine, waitQuarantine}} {
		if p.roomFor(s, h.hold) >= need {
			return h.why
		}
	}
	return waitHolds
}

// roomFor returns how many tasks of a stage fit into the room that is free now, ignoring some holds.
func (p *planner) roomFor(s *stage, ignoring holds) int {
	room, bestRack := 0, 0
	byRack := map[work.Label]int{}
	for _, w := range p.workers {
		fits := p.roomOn(s, w, ignoring)
		room += fits
		byRack[w.info.Rack()] += fits
	}
	if ignoring&holdQuarantine != 0 {
		for _, w := range p.resting {
			fits := p.roomOn(s, w, ignoring)
			room += fits
			byRack[w.info.Rack()] += fits
		}
	}
	for _, fits := range byRack {
		bestRack = max(bestRack, fits)
	}
	switch {
	case ignoring&holdLocality != 0 || p.mayRunRemote(s):
	case s.step.DataRack != "":
		room = byRack[s.step.DataRack]
	case s.step.SameRack && s.step.Gang:
		room = bestRack
	}
	if ignoring&holdUrgent == 0 && p.yieldsToUrgent(s) && s.step.Need.GPU > 0 {
		room = min(room, max(0, int(p.spare[s.job.spec.Pool]/s.step.Need.GPU)))
	}
	return room
}

// roomOn returns how many tasks of a stage fit into the room that is free now on a worker, ignoring some holds.
func (p *planner) roomOn(s *stage, w *worker, ignoring holds) int {
	if !p.suits(s, w) || ignoring&holdUrgent == 0 && p.keptIdle[w] && p.yieldsToUrgent(s) {
		return 0
	}
	free := availableNow(w)
	if ignoring&holdReserved != 0 {
		free = w.free()
	}
	fits := min(countFits(free, s.step.Resources(), maxRoom), p.c.listableRuns(w))
	if s.step.PerWorker > 0 {
		fits = min(fits, s.step.PerWorker-s.runsOn[w])
	}
	return fits
}

// maxRoom limits the count of tasks that fit on one worker: a task may need nothing.
const maxRoom = 1 << 10
