package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/work"
)

const (
	// minLocalWait is the least time that a task waits for the rack of its data, and a gang for a single rack.
	minLocalWait = 2 * time.Second
	// ampleRoom is how often a waiting task, or gang, must fit into the free room for its job to give up a place near its data.
	ampleRoom = 2
)

// mayRunRemote reports whether a stage's tasks may run outside the rack of their data or on several racks. They take several times longer
// there: waiting is better until the wait exceeds the extra run time, unless no rack can ever hold them, or free workers are plenty while
// the job has nothing running.
func (p *planner) mayRunRemote(s *stage) bool {
	switch {
	case !s.prefersRack(), p.now.Sub(s.waitingSince) > p.rackWait(s):
		return true
	case s.ignoresHolds && p.allRoom(s) >= ampleRoom*s.placesNeeded():
		return true
	}
	return p.rackHolds(s) < s.placesNeeded()
}

// rackWait is how long a stage waits at most for the rack of its data, or for a single rack.
func (p *planner) rackWait(s *stage) time.Duration {
	longer := (p.c.Limits.RemoteSlowdown - 1) * float64(p.c.estimate(s))
	limit := max(time.Duration(longer), minLocalWait)
	if p.priority(s) == 0 {
		limit = min(limit, p.sameRackWait())
	}
	return limit
}

// prefersRack reports whether a stage's tasks run faster in a certain rack, or in a single one.
func (s *stage) prefersRack() bool { return s.step.DataRack != "" || s.step.SameRack && s.step.Gang }

// rackKind is what the capacity of racks for a task depends on.
type rackKind struct {
	roomKind
	perWorker int
	dataRack  work.Label // empty for any rack
}

// rackHolds returns how many tasks of a stage the rack of its data could hold at the same time, or, of a stage that runs best in a single
// rack, the rack that could hold the most, if nothing ran there but tasks that last. It is added up once in a pass for each kind of task,
// and for each stage that needs tickets.
func (p *planner) rackHolds(s *stage) int {
	if p.needsAdvice(s) {
		return p.sumRackHolds(s)
	}
	kind := rackKind{s.roomKind(), s.step.PerWorker, s.step.DataRack}
	holds, found := p.rackRooms[kind]
	if !found {
		holds = p.sumRackHolds(s)
		p.rackRooms[kind] = holds
	}
	return holds
}

func (p *planner) sumRackHolds(s *stage) int {
	if s.step.DataRack != "" {
		return p.rackCapacity(s, p.members()[s.step.DataRack])
	}
	most := 0
	for _, members := range p.members() {
		most = max(most, p.rackCapacity(s, members))
	}
	return most
}

// rackMember is a worker that may get runs now or soon.
type rackMember struct {
	worker   *worker
	capacity work.Resources // less what tasks that last use
}

// members returns the workers by rack that may get runs now or soon: also those that were not polled yet in this term, and those that
// missed a call.
func (p *planner) members() map[work.Label][]rackMember {
	if p.rackMembers != nil {
		return p.rackMembers
	}
	p.rackMembers = map[work.Label][]rackMember{}
	for _, w := range p.c.workers {
		if p.c.whyUnusable(w) != "" || p.c.mayHideEnds(w) || w.missedCalls >= silentAfterMisses || w.avoided(p.now) {
			continue
		}
		rack := w.info.Rack()
		p.rackMembers[rack] = append(p.rackMembers[rack], rackMember{w, w.info.Capacity.Sub(w.usedByLastingTasks())})
	}
	return p.rackMembers
}

// rackCapacity returns how many tasks of a stage the members of a rack could hold at the same time. A worker for which no advice was
// requested yet may still get a ticket.
func (p *planner) rackCapacity(s *stage, members []rackMember) int {
	capacity := 0
	for _, m := range members {
		w := m.worker
		if w.info.Pool != s.job.spec.Pool || !w.info.Has(s.step.Label) || p.c.listableRuns(w) == 0 || s.advice.Denied(w.life(), p.now) {
			continue
		}
		capacity += s.placesIn(m.capacity, maxRoom)
	}
	return capacity
}

// usedByLastingTasks returns the resources of the worker's runs of tasks that last.
func (w *worker) usedByLastingTasks() work.Resources {
	var used work.Resources
	for _, r := range w.runs {
		if r.task != nil && r.task.stage.step.Lasts {
			used = used.Add(r.resources)
		}
	}
	return used
}
