package chief

import (
	"slices"
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// minEndsLimit is the least time after which the ends that a silent worker may still list count no more.
	minEndsLimit = 15 * time.Second
	// lateFactor times its objective is the age from which a job is late: its completion has no value any more.
	lateFactor = 3
)

// planner plans one pass over all waiting tasks.
type planner struct {
	c              *Scheduler
	now            clock.Instant
	config         *work.Config
	workers        []*worker // that may get new runs, by id
	avoided        []*worker // that could get new runs but for their quarantine
	racks          map[work.Label][]*worker
	rackMembers    map[work.Label][]rackMember             // result of members; nil until it is needed
	rackRooms      map[rackKind]int                        // results of rackHolds
	unseenRuns     map[model.WorkerID]bool                 // workers that were not polled yet and may have runs of an earlier term
	rooms          map[roomKind]int                        // results of allRoom
	keptIdle       map[*worker]bool                        // idle workers that work which is not urgent may not take
	settling       bool                                    // registered workers have not been polled yet: their free capacity is unknown
	spare          map[work.PoolName]model.Accelerators    // that work which is not urgent may take
	urgentNeeds    map[model.CustomerID]model.Accelerators // of unfinished urgent jobs, by tenant
	probers        map[*job]bool                           // that may probe workers in quarantine; nil until it is needed
	unseenEnds     map[model.WorkerID]bool                 // workers that were not polled yet and may list ends of an earlier term
	reservedStages []*stage                                // with workers that are reserved for them
	seen           *snapshot                               // for decisions; nil until it is needed
	adviceRequest  *adviceRequest                          // to be made at the end of the pass; nil for none
	quota          *quota.Pass
	capHolds       map[*stage]quota.Request // what stages hold of their tenants' caps
	pins           *pins                    // nil until it is needed
	roomShort      bool                     // a task found no room
	deferred       []*job                   // that their tenant's part of the room kept from starting more
	beyondParts    bool                     // the tenants' parts of the room limit no start now
	limit          clock.Instant            // when the pass ends, if jobs are left
	planned        int                      // stages that were looked at
	from           *stage                   // with which the first job's stages begin; nil for the first one
}

// planStarts runs a planning pass: it starts tasks in order of rank and stops the runs that they preempt.
func (c *Scheduler) planStarts() {
	config := c.Config()
	if config == nil || !c.jobsLoaded || !c.TermValid() {
		return
	}
	began := time.Now()
	pass := &planner{c: c, now: c.Now(), config: config, racks: map[work.Label][]*worker{}, rooms: map[roomKind]int{}, rackRooms: map[rackKind]int{}}
	pass.unseenRuns, pass.unseenEnds = map[model.WorkerID]bool{}, map[model.WorkerID]bool{}
	for _, j := range c.liveJobs {
		c.openDue(j, pass.now)
	}
	pass.listUsableWorkers()
	pass.countTenants()
	pass.sumUrgentNeeds()
	pass.measureSpare()
	pass.applyReservations()
	pass.applyGangReservations()
	var ranked []*job
	ranked, pass.from = c.resume(pass.rankJobs())
	pass.limit = c.Now().Add(passLimit)
	pass.jobs(ranked)
	pass.callAdvice()
	c.roomShort = pass.roomShort
	pass.publishTenants()
	c.Observe.PassDuration(time.Since(began))
}

// listUsableWorkers lists the workers that may get new runs, and groups them by rack.
func (p *planner) listUsableWorkers() {
	for _, w := range p.c.workers {
		w.available = w.free().Add(w.usedByStopping)
		if w.roster && !w.polled {
			p.noteUnseen(w)
		}
		p.settling = p.settling || w.registered && !w.polled && w.missedCalls == 0 && p.now.Sub(p.c.loadedAt) < settleTime
		if p.c.whyUnusable(w) != "" || !w.polled || p.c.mayHideEnds(w) || w.missedCalls > 0 {
			continue
		}
		if w.avoided(p.now) {
			p.avoided = append(p.avoided, w)
			continue
		}
		p.workers = append(p.workers, w)
	}
	sort.Slice(p.workers, func(i, j int) bool {
		a, b := p.workers[i], p.workers[j]
		if rackA, rackB := a.info.Rack(), b.info.Rack(); rackA != rackB {
			return rackA < rackB // Single tasks take idle workers in this order, which leaves other racks whole.
		}
		return a.info.ID < b.info.ID
	})
	for _, w := range p.workers {
		rack := w.info.Rack()
		p.racks[rack] = append(p.racks[rack], w)
	}
}

// candidates returns the workers that may get new runs, and those that are avoided, which may get probes.
func (p *planner) candidates() []*worker { return slices.Concat(p.workers, p.avoided) }

// noteUnseen notes what a worker of an earlier term may hold that was not polled yet.
func (p *planner) noteUnseen(w *worker) {
	expired := p.c.leasesExpired(w, p.now) && !p.c.awaitsFirstAnswer(w, p.now)
	if !expired {
		p.unseenRuns[w.info.ID] = true
	}
	if expired && p.c.hidesEndsForGood(w) {
		return // It will list no further ends in this term.
	}
	if !expired || p.now.Sub(p.c.Term.Since) < p.c.endsLimit() {
		p.unseenEnds[w.info.ID] = true
	}
}

// job plans the stages of a job that are due and whose dependencies are done.
func (p *planner) job(j *job) {
	if j.mayHaveRunsOn(p.unseenRuns) {
		p.noteUnseenWait(j)
		p.noteStall(j)
		return
	}
	p.c.endJobWait(j, p.now)
	if j.next < j.spec.Occurrences() {
		if wait := j.dueAt(j.next).Sub(p.now); wait > 0 && wait < tickInterval {
			p.c.postAfter(wait, func() { p.c.dirty = true })
		}
	}
	for _, o := range j.occurrences {
		if p.now < j.dueAt(o.number) {
			break
		}
		for _, s := range o.open {
			if p.comesBefore(s) {
				continue
			}
			if p.overdue(s) {
				return
			}
			p.stage(s)
		}
	}
	p.noteStall(j)
}

// stage starts the waiting tasks of a stage, or its gang.
func (p *planner) stage(s *stage) {
	if s.waitingSince == 0 {
		s.waitingSince = p.now
	}
	if s.gang == nil && !p.ensureAdvice(s) {
		p.noteWait(s, waitAdvice)
		return
	}
	p.creditReservation(s)
	p.releaseCap(s)
	s.haste = p.haste(s)
	s.ignoresHolds = p.stalledTooLong(s) || p.reservedWorkersFree(s) && s.foundRoomForLong(p.now)
	p.limitPins(s)
	runs := s.job.runs
	p.startStage(s)
	if s.ignoresHolds && s.job.runs == runs && p.takeIdleReservations(s) {
		p.startStage(s)
	}
	s.ignoresHolds = false
	p.deductReservation(s)
	if len(s.reserved) > 0 {
		p.holdCap(s, p.request(s, len(s.reserved)))
	}
}

func (p *planner) startStage(s *stage) {
	if s.step.Gang {
		p.planGang(s)
	} else {
		p.startTasks(s)
	}
}

// startTasks starts the waiting tasks of a stage. If it is urgent, workers are reserved for those that do not fit.
func (p *planner) startTasks(s *stage) {
	allStarted := true
	for index := range s.tasks {
		t := &s.tasks[index]
		if t.done || t.activeRun != nil {
			continue
		}
		if why := p.whyNotYet(s, t, len(t.failedRuns)); why != "" {
			p.noteWait(s, why)
			allStarted = false
			continue
		}
		if p.waitsForCap(s, 1) {
			return
		}
		if !p.startTask(s, t) {
			p.noteWait(s, waitRoom)
			p.reserveForUrgent(s)
			return
		}
		s.reserved = nil // The remaining tasks reserve anew.
		s.ignoresHolds = s.ignoresHolds && s.step.Lasts
	}
	s.reserved = nil
	if allStarted {
		s.waitingSince = 0
	}
}

// whyNotYet returns why a task, or a gang with it, may not start now even if there is room; an empty text if it may.
func (p *planner) whyNotYet(s *stage, t *task, failures int) string {
	switch {
	case p.now < t.notBefore || p.now < t.pausedUntil && !s.ignoresHolds:
		return waitPause
	case p.mayExceedAttempts(s, t, failures):
		return waitLastAttempt
	}
	return ""
}

// mayExceedAttempts reports whether one more failure ends the job while a silent worker may hold a failure that was not
// reported yet: the task could then be started more often than its queue allows.
func (p *planner) mayExceedAttempts(s *stage, t *task, failures int) bool {
	if s.step.Lasts || failures+1 < p.c.maxAttempts(s.job) {
		return false
	}
	return t.lostOn != nil && p.mayListEndsThatCount(t.lostOn) || s.job.mayHaveRunsOn(p.unseenEnds)
}

// endsLimit is how long after a term's start, or after it was last heard of, a silent worker may list ends that count. A lease that lapsed
// between an end and its acknowledgment keeps the end from counting, and all leases have lapsed by then.
func (c *Scheduler) endsLimit() time.Duration {
	return max(minEndsLimit, slowed(c.Limits.MaxLease)+leaseExpiryMargin)
}

// mayListEndsThatCount reports whether a silent worker of this term may still list ends that count. One that stays registered and silent is
// not waited for longer than one of an earlier term, unless calls that it may have received have extended its leases.
func (p *planner) mayListEndsThatCount(w *worker) bool {
	if w.missedCalls == 0 || w.removed {
		return false
	}
	return p.now.Sub(max(w.reportedAt, p.c.Term.Since)) < p.c.endsLimit() || !p.c.leasesExpired(w, p.now)
}

// startTask starts a task if a worker has capacity for it, and reports whether it did.
func (p *planner) startTask(s *stage, t *task) bool {
	if !p.withinSpare(s, 1) || p.lacksRoom(s) {
		return false
	}
	s.lastAttempt = !s.step.Lasts && len(t.failedRuns)+1 >= p.c.maxAttempts(s.job)
	w := p.bestWorker(s, p.workers, p.mayRunRemote(s))
	if w == nil {
		w = p.tightestFit(s, p.probeable(s), s.step.Resources())
	}
	if w != nil {
		p.spend(s, 1)
		p.c.startRun(t, w, nextRunNumber(s.job, t.lastRun), nil)
		p.notePin(s, w)
		w.available = w.available.Sub(s.step.Resources())
		return true
	}
	return false
}

func (p *planner) priority(s *stage) int { return p.config.Terms(s.job.spec).Priority }

// priority returns the priority of a stage's queue; 0 is urgent.
func (c *Scheduler) priority(s *stage) int { return c.Config().Terms(s.job.spec).Priority }

// planGang starts all members of a gang at once, or none.
func (p *planner) planGang(s *stage) {
	if g := s.gang; g != nil {
		if len(g.members) < len(s.tasks) && !s.job.mayHaveRunsOn(p.unseenRuns) {
			// No worker lists the members of an earlier term that were lost with their workers.
			p.c.stopGang(g, "gang is not complete")
		}
		return
	}
	for index := range s.tasks {
		if s.tasks[index].activeRun != nil {
			p.noteWait(s, waitGang)
			return
		}
		if why := p.whyNotYet(s, &s.tasks[index], len(s.failedRuns)); why != "" {
			p.noteWait(s, why)
			return
		}
	}
	if p.waitsForCap(s, len(s.tasks)) {
		return
	}
	if !p.withinSpare(s, len(s.tasks)) {
		p.noteWait(s, waitRoom)
		p.reserveForGang(s)
		return
	}
	s.lastAttempt = !s.step.Lasts && len(s.failedRuns)+1 >= p.c.maxAttempts(s.job)
	places := p.placeGang(s)
	if places == nil {
		places = p.reservedPlaces(s)
	}
	if places == nil {
		places = p.gangReservationPlaces(s)
	}
	if probes := p.probeable(s); places == nil && len(probes) > 0 {
		places = p.placeTasks(s, append(slices.Clone(p.workers), probes...), len(s.tasks), availableNow)
	}
	if places == nil {
		p.noteWait(s, waitRoom)
		p.reserveForUrgent(s)
		p.reserveForGang(s)
		return
	}
	p.c.dropGangReservation(s)
	g := &gang{stage: s, members: map[*run]bool{}}
	for index := range s.tasks {
		g.number = max(g.number, nextRunNumber(s.job, s.tasks[index].lastRun))
	}
	s.gang, s.reserved = g, nil
	p.spend(s, len(s.tasks))
	for index := range s.tasks {
		p.c.startRun(&s.tasks[index], places[index], g.number, g)
		p.notePin(s, places[index])
		places[index].available = places[index].available.Sub(s.step.Resources())
	}
	s.waitingSince = 0
}
