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
	holdGang                         // workers that are reserved for a gang that does not fit yet
	holdGuarantee                    // workers on which nothing runs that can't be stopped in time for work within a guarantee

	allHolds = holdLocality | holdUrgent | holdReserved | holdQuarantine | holdGang | holdGuarantee
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
	if p.allRoom(s) < need {
		return waitRoom
	}
	for _, h := range []struct {
		hold holds
		why  string
	}{{holdLocality, waitLocality}, {holdUrgent, waitUrgentRoom}, {holdReserved, waitReserved}, {holdQuarantine, waitQuarantine}, {holdGang, waitReservedGang}, {holdGuarantee, waitGuarantee}} {
		if p.roomFor(s, h.hold) >= need {
			return h.why
		}
	}
	return waitHolds
}

// roomKind is what the room for a task depends on where nothing is held back.
type roomKind struct {
	pool      work.PoolName
	label     work.Label
	resources work.Resources
}

func (s *stage) roomKind() roomKind {
	return roomKind{s.job.spec.Pool, s.step.Label, s.step.Resources()}
}

// allRoom returns how many tasks of a stage fit into all room that is free now. Jobs that wait are many, and their kinds few, so that it
// is added up once in a pass for each kind.
func (p *planner) allRoom(s *stage) int {
	if s.step.PerWorker > 0 || p.needsAdvice(s) {
		return p.roomFor(s, allHolds)
	}
	kind := s.roomKind()
	room, found := p.rooms[kind]
	if !found {
		room = p.roomFor(s, allHolds)
		p.rooms[kind] = room
	}
	return room
}

// lacksRoom reports whether a stage certainly does not fit, which is known for its kind of task in this pass without a look at the workers.
func (p *planner) lacksRoom(s *stage) bool {
	return s.step.PerWorker == 0 && !p.needsAdvice(s) && p.allRoom(s) < s.placesNeeded()
}

// roomFor returns how many tasks of a stage fit into the room that is free now, ignoring some holds.
func (p *planner) roomFor(s *stage, ignoring holds) int {
	room := p.roomAmong(s, p.workers, ignoring)
	if ignoring&holdQuarantine != 0 {
		room += p.roomAmong(s, p.avoided, ignoring)
	}
	switch {
	case ignoring&holdLocality != 0 || p.mayRunRemote(s):
	case s.step.DataRack != "":
		room = p.roomAmong(s, p.racks[s.step.DataRack], ignoring)
	case s.step.SameRack && s.step.Gang:
		room = 0
		for _, rack := range p.racks {
			room = max(room, p.roomAmong(s, rack, ignoring))
		}
	}
	if ignoring&holdUrgent == 0 && p.yieldsToUrgent(s) && s.step.Need.GPU > 0 {
		room = min(room, max(0, int(p.spare[s.job.spec.Pool]/s.step.Need.GPU)))
	}
	return room
}

// roomAmong returns how many tasks of a stage fit into the room that is free now on some workers, ignoring some holds.
func (p *planner) roomAmong(s *stage, workers []*worker, ignoring holds) int {
	resources := s.step.Resources()
	room := 0
	for _, w := range workers {
		room += p.roomOn(s, w, resources, ignoring)
	}
	return room
}

// roomOn returns how many tasks of a stage fit into the room that is free now on a worker, ignoring some holds.
func (p *planner) roomOn(s *stage, w *worker, resources work.Resources, ignoring holds) int {
	free := w.free()
	if ignoring&holdReserved == 0 {
		free = availableNow(w)
	}
	if ignoring&holdGang == 0 {
		free = p.besideGang(s, w, free)
	}
	fits := free.CountFits(resources, maxRoom)
	if fits == 0 || !p.suits(s, w) || p.keptFrom(s, w, ignoring) {
		return 0
	}
	return p.atMostOn(s, w, fits)
}

// keptFrom reports whether a worker is kept from a stage as a whole, ignoring some holds.
func (p *planner) keptFrom(s *stage, w *worker, ignoring holds) bool {
	return ignoring&holdQuarantine == 0 && s.job.avoidsWorker(w, p.now) ||
		ignoring&holdGuarantee == 0 && !s.mayPin(w) ||
		ignoring&holdUrgent == 0 && p.keptIdle[w] && p.yieldsToUrgent(s)
}

// maxRoom limits the count of tasks that fit on one worker: a task may need nothing.
const maxRoom = 1 << 10
