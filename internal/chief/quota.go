package chief

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// capHeldAfter is how long a stage that is not urgent waits for its tenant's cap before what it needs is kept from other work of the
	// tenant: a wide gang would never start beside a stream of small tasks.
	capHeldAfter = time.Second
	// capStopPause is the least time between two searches for runs to stop for a stage that waits for its tenant's cap.
	capStopPause = 100 * time.Millisecond
	// tenantsInterval is how often the use of tenants is published.
	tenantsInterval = time.Second
)

// capWait is a stage's wait for the cap of its tenant. The zero value is no wait.
type capWait struct {
	since     clock.Instant // 0 while it does not wait
	excusedAt clock.Instant // when it last waited while its tenant used half of its cap or more
	stopsAt   clock.Instant // earliest next search for runs to stop
}

// occupy counts a new run on its worker and for its tenant.
func (c *Scheduler) occupy(r *run) {
	r.worker.used = r.worker.used.Add(r.resources)
	if r.task != nil {
		c.used.Add(r.task.stage.job.spec.Tenant, r.resources)
	}
}

// vacate counts a run no more whose end is certain.
func (c *Scheduler) vacate(r *run) {
	r.worker.used = r.worker.used.Sub(r.resources)
	if r.task != nil {
		c.used.Remove(r.task.stage.job.spec.Tenant, r.resources)
	}
}

// exceedsRate counts a job that becomes known, and reports whether it is beyond its tenant's rate.
func (c *Scheduler) exceedsRate(tenant model.CustomerID) bool {
	config := c.Config()
	if config == nil || config.Tenants[tenant].Weight == 0 {
		return false
	}
	if c.rates[tenant] == nil {
		c.rates[tenant] = &quota.Rate{}
	}
	return c.rates[tenant].Exceeded(time.Duration(c.Now()), config.Tenants[tenant].Weight)
}

// countTenants prepares the limits of tenants for the pass.
func (p *planner) countTenants() {
	p.quota = &quota.Pass{Tenants: p.config.Tenants, Ledger: &p.c.used, Rules: p.c.Quota}
	for _, w := range p.workers {
		p.quota.Room = p.quota.Room.Add(w.info.Capacity)
	}
	if len(p.unseenRuns) == 0 {
		return
	}
	for _, j := range p.c.jobs {
		if j.durableState != work.StateCompleted && p.quota.Limited(j.spec.Tenant) && j.mayHaveRunsOn(p.unseenRuns) {
			p.countUnseen(j)
		}
	}
}

// countUnseen counts the runs of a job that may exist on workers that were not polled yet: one of each task without a known run, as far as
// these workers have room for it. The record of a job that is over does not say which of its steps ran.
func (p *planner) countUnseen(j *job) {
	if j.state.Final() {
		p.countUnseenOfEnded(j)
		return
	}
	for _, s := range j.dueStages(p.now) {
		p.addUnseen(j, s.step, s.waitingTasks())
	}
}

// countUnseenOfEnded counts the runs of a job that has ended. Its occurrences need not be built for that.
func (p *planner) countUnseenOfEnded(j *job) {
	due := max(0, j.dueOccurrences(p.now)-j.done.Len())
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		p.addUnseen(j, step, step.Count*min(due, math.MaxInt/step.Count))
	}
}

// addUnseen counts the runs of so many tasks of a step as far as workers that were not polled yet have room for them.
func (p *planner) addUnseen(j *job, step *work.Step, tasks int) {
	p.quota.AddUnseen(j.spec.Tenant, step.Resources().Times(p.unseenPlaces(j, step, tasks)))
}

// unseenPlaces returns how many of some tasks of a step fit on the workers that were not polled yet and may have runs of its job.
func (p *planner) unseenPlaces(j *job, step *work.Step, tasks int) int {
	places := 0
	for id := range p.unseenRuns {
		if !j.placement.unknown && !j.placement.stored[id] {
			continue
		}
		capacity := p.c.workers[id].info.Capacity
		if capacity == (work.Resources{}) {
			return tasks // It is not registered.
		}
		places += capacity.CountFits(step.Resources(), tasks)
	}
	return min(places, tasks)
}

// jobs plans ranked jobs. Those of a priority get room up to their tenants' parts first, and then what is left of it.
func (p *planner) jobs(ranked []*job) {
	priority := 0
	for _, j := range ranked {
		if own := p.config.Terms(j.spec).Priority; own != priority {
			p.planDeferred()
			priority = own
		}
		p.job(j)
	}
	p.planDeferred()
}

// planDeferred plans the jobs again that their tenants' parts of the room kept from starting more.
func (p *planner) planDeferred() {
	deferred := slices.Compact(p.deferred)
	p.deferred, p.beyondParts = nil, true
	for _, j := range deferred {
		p.job(j)
	}
	p.beyondParts = false
}

// request returns the request for a number of a stage's tasks.
func (p *planner) request(s *stage, tasks int) quota.Request {
	guaranteed := p.priority(s) == 0 && p.withinGuarantee(s.job)
	return quota.Request{
		Tenant: s.job.spec.Tenant, Need: s.step.Resources(), Tasks: tasks, Stalled: s.ignoresHolds,
		Shared: !p.beyondParts && !guaranteed && !s.ignoresHolds,
	}
}

// withinCap returns how many of a number of a stage's tasks the cap of its tenant allows to start.
func (p *planner) withinCap(s *stage, tasks int) int {
	request := p.request(s, tasks)
	request.Shared = false
	return p.quota.Places(request)
}

// waitsForCap reports whether the cap of a stage's tenant keeps a number of its tasks from starting together now. Urgent work then stops
// less urgent work of its own tenant: it must start within its guarantee although the tenant has lent its cap to itself.
func (p *planner) waitsForCap(s *stage, tasks int) bool {
	request := p.request(s, tasks)
	why := p.quota.Admit(request)
	if why == "" {
		s.cap.since = 0
		return false
	}
	if why == quota.ReasonShare {
		p.deferred = append(p.deferred, s.job)
		return true
	}
	if s.cap.since == 0 {
		s.cap.since = p.now
	}
	if why == quota.ReasonTooWide || !quota.UnderHalf(p.quota.Tenant(request.Tenant)) {
		s.cap.excusedAt = p.now
	}
	p.noteWait(s, string(why))
	s.reserved, s.ignoresHolds = nil, false
	p.c.dropGangReservation(s)
	if why == quota.ReasonTooWide {
		return true
	}
	urgent := p.priority(s) == 0
	if urgent {
		p.stopForCap(s, request)
	}
	if urgent || p.now.Sub(s.cap.since) >= capHeldAfter && !p.quota.Holds(request.Tenant) {
		p.holdCap(s, request)
	}
	return true
}

// holdCap keeps a part of the cap of a stage's tenant for the stage.
func (p *planner) holdCap(s *stage, request quota.Request) {
	if p.capHolds == nil {
		p.capHolds = map[*stage]quota.Request{}
	}
	p.capHolds[s] = request
	p.quota.Hold(request)
}

// releaseCap ends what a stage holds of its tenant's cap, for the planning of the stage itself: a job whose tenant's part of the room kept it
// from starting is planned twice in a pass, and would wait for its own hold.
func (p *planner) releaseCap(s *stage) {
	if request, found := p.capHolds[s]; found {
		delete(p.capHolds, s)
		p.quota.Release(request)
	}
}

// stopForCap stops less urgent runs of the same tenant, if that brings a request within the tenant's cap and is worth it.
func (p *planner) stopForCap(s *stage, request quota.Request) {
	if p.settling || p.now < s.cap.stopsAt {
		return
	}
	s.cap.stopsAt = p.now.Add(capStopPause)
	excess := p.quota.Excess(request)
	for _, w := range p.c.workers {
		for _, r := range w.runs {
			if r.phase == stopping && r.task != nil && r.task.stage.job.spec.Tenant == request.Tenant {
				excess = excess.Sub(r.resources)
			}
		}
	}
	seen := p.currentSnapshot()
	chooser := p.chooser()
	if choice, refusal := chooser.WithinCap(&seen.Snapshot, seen.stage(p, s), request.Tasks, excess); refusal == nil {
		p.preemptRuns(s, choice.Stops)
	}
}

// rankJobs returns the live jobs in the order in which they get room.
func (p *planner) rankJobs() []*job {
	list := make([]quota.Job, len(p.c.liveJobs))
	weighted := p.c.roomShort && p.quota.Weighted()
	for i, j := range p.c.liveJobs {
		priority := p.config.Terms(j.spec).Priority
		list[i] = quota.Job{
			Tenant: j.spec.Tenant, Priority: priority, Lent: priority == 0 && !p.withinGuarantee(j), Late: j.late(p.now), Excess: j.beyondRate,
			Deadline: time.Duration(j.deadline),
		}
		if weighted {
			list[i].Demand = p.demand(j)
		}
	}
	jobs := make([]*job, len(list))
	for i, index := range p.quota.Rank(list, p.c.roomShort) {
		jobs[i] = p.c.liveJobs[index]
	}
	return jobs
}

// demand returns what the waiting tasks of a job need.
func (p *planner) demand(j *job) work.Resources {
	var demand work.Resources
	for _, s := range j.dueStages(p.now) {
		demand = demand.Add(s.step.Resources().Times(s.waitingTasks()))
	}
	return demand
}

// publishTenants publishes the use of tenants, at most once per tenantsInterval.
func (p *planner) publishTenants() {
	if p.now < p.c.nextTenantsAt {
		return
	}
	p.c.nextTenantsAt = p.now.Add(tenantsInterval)
	waiting, tooWide := map[model.CustomerID]int{}, map[model.CustomerID]int{}
	for _, j := range p.c.liveJobs {
		switch p.capReason(j) {
		case quota.ReasonCap, quota.ReasonHeld:
			waiting[j.spec.Tenant]++
		case quota.ReasonTooWide:
			tooWide[j.spec.Tenant]++
		}
	}
	states := make([]quota.State, 0, len(p.config.Tenants))
	for id := range p.config.Tenants {
		state := p.quota.State(id)
		state.Waiting, state.TooWide = waiting[id], tooWide[id]
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b quota.State) int { return cmp.Compare(a.Tenant, b.Tenant) })
	p.c.mu.Lock()
	p.c.tenants = states
	p.c.mu.Unlock()
	p.c.Observe.Tenants(states)
}

// capReason returns why the cap of its tenant keeps a job from room now, or an empty reason.
func (p *planner) capReason(j *job) view.Reason {
	for _, s := range j.dueStages(p.now) {
		if s.cap.since != 0 {
			return view.Reason(s.wait.why)
		}
	}
	return ""
}

// Tenants returns the limits and the use of all tenants, as of the last second or so; none while the term has not planned yet.
func (c *Scheduler) Tenants() []quota.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tenants
}
