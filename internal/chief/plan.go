package chief

import (
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// leaveAfter is the least time that a task waits for its data's rack, and a gang for a single rack.
	leaveAfter = 2 * time.Second
	// unheardLimit is how long after a term's start an unlisted worker may still come back with ends of earlier terms.
	unheardLimit = 15 * time.Second
	// lateFactor of the objective is when a job earns nothing more.
	lateFactor = 3
)

// pass is one planning pass over all waiting tasks.
type pass struct {
	c       *Chief
	now     clock.Instant
	today   time.Time
	config  *work.Config
	workers []*worker // that may get starts
	racks   map[work.Label][]*worker
	hidden  bool                                    // a worker may hold runs of an earlier term that nobody has seen
	spare   model.Accelerators                      // that work which is not urgent may take
	needs   map[model.CustomerID]model.Accelerators // of urgent jobs that are not over, by tenant
	unheard bool                                    // a worker may list ends of an earlier term that nobody has seen
}

// plan starts what can be started, most urgent first, and stops what must make way.
func (c *Chief) plan() {
	config := c.Config()
	if config == nil || !c.ready || !c.Valid() {
		return
	}
	began := time.Now()
	p := &pass{c: c, now: c.Now(), today: c.Clock(), config: config, racks: map[work.Label][]*worker{}}
	p.survey()
	p.sumNeeds()
	p.measureReserve()
	p.holds()
	for _, j := range p.ordered() {
		p.job(j)
	}
	c.Observe.Plan(time.Since(began))
}

// survey lists the workers that may get starts.
func (p *pass) survey() {
	for _, w := range p.c.workers {
		w.soon = w.free().Add(w.leaving)
		if w.roster && !w.visited {
			p.hidden = p.hidden || !p.c.lapsed(w, p.now)
			p.unheard = p.unheard || w.listed || p.now.Sub(p.c.Term.Since) < unheardLimit
		}
		if !w.listed || !w.visited || w.info.Draining || w.missed > 0 || p.now < w.restTill || !p.c.enrolled(w) || p.c.Out(w.info.Zone) {
			continue
		}
		p.workers = append(p.workers, w)
	}
	sort.Slice(p.workers, func(i, j int) bool { return p.workers[i].info.ID < p.workers[j].info.ID })
	for _, w := range p.workers {
		rack := w.info.Rack()
		p.racks[rack] = append(p.racks[rack], w)
	}
}

// ordered returns the jobs that may start tasks: by priority, guaranteed ones first, then those that can still be in time, then
// by deadline.
func (p *pass) ordered() []*job {
	type ranked struct {
		job      *job
		priority int
		lent     bool // beyond the tenant's guarantee
		late     bool
	}
	var list []ranked
	for _, j := range p.c.live {
		priority := p.config.Terms(j.spec).Priority
		objective := j.deadline.Sub(j.spec.Due(0))
		list = append(list, ranked{j, priority, priority == 0 && !p.guaranteed(j), p.today.Sub(j.spec.Due(0)) > lateFactor*objective})
	}
	sort.SliceStable(list, func(a, b int) bool {
		if list[a].priority != list[b].priority {
			return list[a].priority < list[b].priority
		}
		if list[a].lent != list[b].lent {
			return !list[a].lent
		}
		if list[a].late != list[b].late {
			return !list[a].late
		}
		return list[a].job.deadline.Before(list[b].job.deadline)
	})
	jobs := make([]*job, len(list))
	for i := range list {
		jobs[i] = list[i].job
	}
	return jobs
}

func (p *pass) job(j *job) {
	if j.inherited && p.hidden {
		return
	}
	for k, units := range j.units {
		if p.today.Before(j.spec.Due(k)) && !j.spec.First.IsZero() {
			p.c.later(min(j.spec.Due(k).Sub(p.today), tickEvery), func() { p.c.dirty = true })
			return
		}
		for _, u := range units {
			if u.left > 0 && p.after(units, u) {
				p.unit(u)
			}
		}
	}
}

// after reports whether all steps before a unit are done.
func (p *pass) after(units []*unit, u *unit) bool {
	for _, before := range u.step.After {
		if units[before].left > 0 {
			return false
		}
	}
	if u.waiting == 0 {
		u.waiting = p.now
	}
	return true
}

func (p *pass) unit(u *unit) {
	if u.group == nil && !p.advise(u) {
		return
	}
	p.release(u)
	if u.step.Gang {
		p.gang(u)
	} else {
		p.singles(u)
	}
	p.keep(u)
}

// singles starts the waiting tasks of a unit, and makes room for the rest if the unit may.
func (p *pass) singles(u *unit) {
	for n := range u.tasks {
		t := &u.tasks[n]
		if t.done || t.active != nil || p.now < t.after || p.lastTry(u, t, len(t.counted)) {
			continue
		}
		if !p.single(u, t) {
			p.claimRoom(u)
			return
		}
		u.hold = nil // What else was cleared is claimed again for the rest.
	}
	u.waiting, u.hold = 0, nil
}

// lastTry reports whether one more failure ends the job while a failure that nobody has heard of may be listed by a worker
// that does not answer: the task would then be started once too often.
func (p *pass) lastTry(u *unit, t *task, failures int) bool {
	if u.step.Lasts || failures+1 < p.c.maxAttempts(u.job) {
		return false
	}
	silent := t.lostOn != nil && t.lostOn.missed > 0 && !t.lostOn.gone
	return silent || u.job.inherited && p.unheard
}

// single starts one task, and reports whether it was placed.
func (p *pass) single(u *unit, t *task) bool {
	if !p.withinReserve(u, 1) {
		return false
	}
	if w := p.best(u, p.workers, p.mayLeave(u)); w != nil {
		p.spend(u, 1)
		p.c.start(t, w, nextNumber(u.job, t.last), nil)
		w.soon = w.soon.Sub(u.step.Room())
		return true
	}
	return false
}

func (p *pass) priority(u *unit) int { return p.config.Terms(u.job.spec).Priority }

// priority returns the priority of a unit's queue; 0 is urgent.
func (c *Chief) priority(u *unit) int { return c.Config().Terms(u.job.spec).Priority }

// mayLeave reports whether a unit's tasks have waited long enough to run away from their data or on several racks. They take
// several times longer there: until the wait makes up for that, waiting is better.
func (p *pass) mayLeave(u *unit) bool {
	longer := (p.c.Limits.Remote - 1) * float64(p.c.estimate(u))
	return p.now.Sub(u.waiting) > max(time.Duration(longer), leaveAfter)
}

// fits reports whether a worker may take one more task of a unit now.
func (p *pass) fits(u *unit, w *worker, room work.Room) bool {
	return p.allowed(u, w) && w.free().Holds(room) && w.soon.Holds(room)
}

// allowed reports whether a worker may ever run a unit's tasks.
func (p *pass) allowed(u *unit, w *worker) bool {
	return w.info.Pool == u.job.spec.Pool && w.info.Has(u.step.Label) && (u.step.PerWorker == 0 || u.perRun[w] < u.step.PerWorker) &&
		p.advised(u, w)
}

// best returns the worker that fits most tightly, near the data if it can be.
func (p *pass) best(u *unit, among []*worker, remote bool) *worker {
	room := u.step.Room()
	near := u.step.DataRack
	if near != "" {
		if w := p.tightest(u, p.racks[near], room); w != nil || !remote {
			return w
		}
	}
	return p.tightest(u, among, room)
}

func (p *pass) tightest(u *unit, among []*worker, room work.Room) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range among {
		if !p.fits(u, w, room) {
			continue
		}
		if score := p.score(u, w, room); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// score is lower for workers that are left with less unused room.
func (p *pass) score(u *unit, w *worker, room work.Room) float64 {
	left := w.soon.Sub(room)
	score := float64(left.GPU) + float64(left.CPU)/float64(max(1, w.info.Capacity.CPU))
	if u.step.Lasts {
		score = -score // Spread what stays.
	}
	if w.suspect() {
		score += suspectScore
	}
	if u.step.Fills && w.serving() || u.step.TailTarget > 0 && w.filling() {
		score += apartScore
	}
	return score
}

// suspectScore keeps tasks away from a worker on which the last one failed, as long as there is another worker.
const suspectScore = 100

// apartScore keeps work that fills away from work that serves, as long as there is another worker.
const apartScore = 1000

func (w *worker) serving() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.unit.step.TailTarget > 0 {
			return true
		}
	}
	return false
}

func (w *worker) filling() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.unit.step.Fills {
			return true
		}
	}
	return false
}

// gang starts all members at once, or none.
func (p *pass) gang(u *unit) {
	if g := u.group; g != nil {
		if len(g.members) < len(u.tasks) && (!u.job.inherited || !p.hidden) {
			// Members of a run from an earlier term that were lost with their workers are nowhere listed.
			p.c.breakGroup(g, "gang is not complete")
		}
		return
	}
	if p.now < u.tasks[0].after {
		return
	}
	for n := range u.tasks {
		if u.tasks[n].active != nil || p.lastTry(u, &u.tasks[n], len(u.counted)) {
			return
		}
	}
	if !p.withinReserve(u, len(u.tasks)) {
		return
	}
	places := p.gangPlaces(u)
	if places == nil {
		places = p.heldPlaces(u)
	}
	if places == nil {
		p.claimRoom(u)
		return
	}
	g := &group{unit: u, members: map[*run]bool{}}
	for n := range u.tasks {
		g.number = max(g.number, nextNumber(u.job, u.tasks[n].last))
	}
	u.group, u.hold = g, nil
	p.spend(u, len(u.tasks))
	for n := range u.tasks {
		p.c.start(&u.tasks[n], places[n], g.number, g)
		places[n].soon = places[n].soon.Sub(u.step.Room())
	}
	u.waiting = 0
}

// gangPlaces returns a worker for each member, or nil.
func (p *pass) gangPlaces(u *unit) []*worker {
	if near := u.step.DataRack; near != "" {
		if places := p.spread(u, p.racks[near], len(u.tasks), fitsNow); places != nil {
			return places
		}
	}
	if u.step.SameRack {
		if places := p.oneRack(u, len(u.tasks), fitsNow); places != nil {
			return places
		}
	}
	if (u.step.DataRack != "" || u.step.SameRack) && !p.mayLeave(u) {
		return nil
	}
	return p.spread(u, p.workers, len(u.tasks), fitsNow)
}

// oneRack returns places within the rack that is left with the least room, of those with the fewest places on suspect workers.
func (p *pass) oneRack(u *unit, need int, fit fit) []*worker {
	var best []*worker
	bestSuspects, bestLeft := 0, 0.0
	for _, rack := range p.racks {
		places := p.spread(u, rack, need, fit)
		if places == nil {
			continue
		}
		suspects, left := 0, 0.0
		for _, w := range places {
			if w.suspect() {
				suspects++
			}
		}
		for _, w := range rack {
			left += w.soon.Cores()
		}
		if best == nil || suspects < bestSuspects || suspects == bestSuspects && left < bestLeft {
			best, bestSuspects, bestLeft = places, suspects, left
		}
	}
	return best
}

// fit returns the room of a worker that counts.
type fit func(*worker) work.Room

// fitsNow is the room that is free and not promised.
func fitsNow(w *worker) work.Room {
	free := w.free()
	return work.Room{CPU: min(free.CPU, w.soon.CPU), Memory: min(free.Memory, w.soon.Memory), GPU: min(free.GPU, w.soon.GPU)}
}

// fitsSoon is the room that is free once all stops are done, and not promised.
func fitsSoon(w *worker) work.Room { return w.soon }

// spread returns a worker for each of a number of tasks among some workers, filling those with the least room first, or nil. A gang
// that has failed before goes to the workers that have completed a task most recently.
func (p *pass) spread(u *unit, among []*worker, need int, fit fit) []*worker {
	room := u.step.Room()
	type option struct {
		worker *worker
		count  int
	}
	var options []option
	total := 0
	for _, w := range among {
		if !p.allowed(u, w) {
			continue
		}
		count := times(fit(w), room, need)
		if u.step.PerWorker > 0 {
			count = min(count, u.step.PerWorker-u.perRun[w])
		}
		if count > 0 {
			options = append(options, option{w, count})
			total += count
		}
	}
	if total < need {
		return nil
	}
	sort.SliceStable(options, func(i, j int) bool {
		a, b := options[i].worker, options[j].worker
		if a.suspect() != b.suspect() {
			return b.suspect()
		}
		// Where one worker fails everything there may be more that are not known yet.
		if idleA, idleB := p.unproven(a), p.unproven(b); len(u.counted) > 0 && idleA != idleB {
			return idleA < idleB
		}
		return fit(a).GPU < fit(b).GPU
	})
	places := make([]*worker, 0, need)
	for _, o := range options {
		for range min(o.count, need-len(places)) {
			places = append(places, o.worker)
		}
	}
	return places
}

// unproven returns the whole seconds, up to a limit, since a worker last completed a task.
func (p *pass) unproven(w *worker) int {
	return int(min(p.now.Sub(w.doneAt), unprovenLimit) / time.Second)
}

// unprovenLimit is the time without a completed task after which workers are equally unproven.
const unprovenLimit = 10 * time.Second

// times returns how often need fits into room, at most limit.
func times(room, need work.Room, limit int) int {
	count := limit
	if need.CPU > 0 {
		count = min(count, room.CPU/need.CPU)
	}
	if need.Memory > 0 {
		count = min(count, room.Memory/need.Memory)
	}
	if need.GPU > 0 {
		count = min(count, int(room.GPU/need.GPU))
	}
	return max(count, 0)
}
