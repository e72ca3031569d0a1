package evict

import (
	"math"
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
)

// Demand is a stage that waits for room and may stop other work for it.
type Demand struct {
	Stage view.StageRef
	Tasks int // that need room at the same time
	// Places is, by view.WorkerRef, how many of the tasks a worker may take if it had the room.
	Places []int
	// OneRack reports whether the tasks take several times as long in several racks: one rack is preferred, whatever it costs.
	OneRack bool
	// Patience is how long the demand may wait for runs that end by themselves, in place of stops.
	Patience time.Duration
}

// Choice is the room that a demand gets, and what is stopped for it.
type Choice struct {
	Stops  []view.Stop
	Claims []view.Claim
	// Lost is the work that the stops lose, in core-seconds.
	Lost float64
	// Cost is Lost with the harm to the callers whose work is stopped, in core-seconds.
	Cost float64
	// Wait is the time until the runs that are left to end by themselves have probably ended; 0 if the room needs none of them.
	Wait time.Duration
}

// Reasons of refusals.
const (
	ReasonNoRoom   view.Reason = "no room, whatever is stopped"
	ReasonTooDear  view.Reason = "the stops lose more than the work is worth"
	ReasonHopeless view.Reason = "it can't be in time, and would push out what can"
)

// Chooser chooses the runs to be stopped for a demand. Its fields are set before use.
type Chooser struct {
	// StopTime is how long a stop takes until its room is free.
	StopTime time.Duration
	// Restart is how long after its stop a task starts again at the earliest.
	Restart time.Duration
}

// Choose returns the cheapest room for a demand, or why it gets none.
func (c *Chooser) Choose(s *view.Snapshot, d *Demand) (*Choice, *view.Refusal) {
	search := newSearch(c, s, d)
	choice := search.best()
	if choice == nil {
		return nil, &view.Refusal{Reason: ReasonNoRoom}
	}
	if why := search.whyNotWorth(choice); why != "" {
		return choice, &view.Refusal{Reason: why}
	}
	return choice, nil
}

// whyNotWorth returns why the stops of a choice are not to be made. Work within its tenant's guarantee gets its room in any case.
func (s *search) whyNotWorth(choice *Choice) view.Reason {
	stage := &s.Stages[s.demand.Stage]
	if stage.Guaranteed || len(choice.Stops) == 0 {
		return ""
	}
	if isLate(stage) && s.stopsTimelyWork(choice) {
		return ReasonHopeless
	}
	if own := float64(s.demand.Tasks) * stage.Need.Cores() * stage.Estimate.Seconds(); choice.Cost > own {
		return ReasonTooDear
	}
	return ""
}

// estimateDoubt is the part of its estimate that a task may take: estimates of short tasks are too high where a queue also has long ones.
const estimateDoubt = 0.5

// isLate reports whether a stage can't be in time, even if its tasks take much less than is expected.
func isLate(stage *view.Stage) bool {
	return stage.Hopeless || stage.Slack+time.Duration((1-estimateDoubt)*float64(stage.Estimate)) < 0
}

// stopsTimelyWork reports whether a choice stops a run whose job can be in time.
func (s *search) stopsTimelyWork(choice *Choice) bool {
	for _, stop := range choice.Stops {
		if s.slack(&s.Runs[stop.Run]) >= 0 {
			return true
		}
	}
	return false
}

// search is the state of one choice.
type search struct {
	*view.Snapshot
	chooser *Chooser
	demand  *Demand
	need    work.Resources // of one task
	units   []unit
	limited bool             // some stages allow only a number of their runs to be stopped
	unitsOn [][]int          // indexes of units by view.WorkerRef
	room    []work.Resources // by view.WorkerRef: free after stops, and after the runs that end by themselves
	endsIn  []time.Duration  // by view.WorkerRef: when the last of these runs ends
	freed   []work.Resources // by view.WorkerRef: scratch space of gain
	plans   [2]*plan         // one for each way to fill
}

// unit is what is stopped together: a gang, or a single run.
type unit struct {
	runs  []view.RunRef
	stage view.StageRef
	stops int // members, also those on workers that the snapshot does not have
	frees []freed
	lost  float64 // core-seconds
	cost  float64 // core-seconds
}

// freed is the room that the stop of a unit frees on one worker.
type freed struct {
	worker view.WorkerRef
	room   work.Resources
}

// freesOn returns the room that the stop of a unit frees on a worker.
func (u *unit) freesOn(w view.WorkerRef) work.Resources {
	for i := range u.frees {
		if u.frees[i].worker == w {
			return u.frees[i].room
		}
	}
	return work.Resources{}
}

func newSearch(c *Chooser, snapshot *view.Snapshot, d *Demand) *search {
	s := &search{Snapshot: snapshot, chooser: c, demand: d, need: snapshot.Stages[d.Stage].Need}
	s.room = make([]work.Resources, len(s.Workers))
	s.endsIn = make([]time.Duration, len(s.Workers))
	s.unitsOn = make([][]int, len(s.Workers))
	s.freed = make([]work.Resources, len(s.Workers))
	for w := range s.Workers {
		s.room[w] = s.Workers[w].Available
	}
	s.listUnits()
	s.plans = [2]*plan{s.newPlan(), s.newPlan()}
	return s
}

// listUnits groups the runs that may be stopped, and adds the room of those that end by themselves.
func (s *search) listUnits() {
	gangs, left := map[view.GangRef]int{}, s.gangsLeft()
	s.units = make([]unit, 0, len(s.Runs))
	refs, frees := make([]view.RunRef, len(s.Runs)), make([]freed, len(s.Runs)) // Most units are single runs.
	for ref := range s.Runs {
		r := &s.Runs[ref]
		if r.Stopping || r.Protected {
			continue
		}
		ends := max(r.Left, left[r.Gang])
		if s.Stages[r.Stage].Lasts {
			ends = math.MaxInt64
		}
		if ends <= s.demand.Patience {
			s.room[r.Worker] = s.room[r.Worker].Add(r.Need)
			s.endsIn[r.Worker] = max(s.endsIn[r.Worker], r.Left)
			continue
		}
		if !s.mayStop(r) {
			continue
		}
		index, found := gangs[r.Gang]
		if r.Gang == 0 || !found {
			index = len(s.units)
			u := s.newUnit(r, ends)
			s.limited = s.limited || s.Stages[r.Stage].MaxStops > 0
			u.runs, u.frees = refs[ref:ref:ref+1], frees[ref:ref:ref+1]
			s.units = append(s.units, u)
		}
		if r.Gang != 0 {
			gangs[r.Gang] = index
		}
		s.addRun(index, view.RunRef(ref))
	}
}

// gangsLeft returns the time until the last member of each gang ends.
func (s *search) gangsLeft() map[view.GangRef]time.Duration {
	left := map[view.GangRef]time.Duration{}
	for ref := range s.Runs {
		if r := &s.Runs[ref]; r.Gang != 0 {
			left[r.Gang] = max(left[r.Gang], r.Left)
		}
	}
	return left
}

// addRun adds a run to a unit.
func (s *search) addRun(index int, ref view.RunRef) {
	u, r := &s.units[index], &s.Runs[ref]
	u.runs = append(u.runs, ref)
	for i := range u.frees {
		if u.frees[i].worker == r.Worker {
			u.frees[i].room = u.frees[i].room.Add(r.Need)
			return
		}
	}
	u.frees = append(u.frees, freed{r.Worker, r.Need})
	s.unitsOn[r.Worker] = append(s.unitsOn[r.Worker], index)
}

// mayStop reports whether a run may be stopped for the demand. Tasks that last make way only for work within a guarantee.
func (s *search) mayStop(r *view.Run) bool {
	own, other := &s.Stages[s.demand.Stage], &s.Stages[r.Stage]
	if other.Lasts && !own.Guaranteed {
		return false
	}
	return other.Priority > own.Priority || own.Priority == 0 && other.Priority == 0 && own.Guaranteed && !other.Guaranteed
}

const (
	// stopOverhead is added to the lost time of each run: a stop and a new start take time of a worker by themselves.
	stopOverhead = 500 * time.Millisecond
	// lastingLoss is the work that the stop of a task that lasts counts as losing: until it is at work elsewhere, its users are not served.
	lastingLoss = time.Minute
	// urgentFactor makes urgent work the last to be stopped.
	urgentFactor = 8
	// hopelessFactor is the part of its cost that work counts whose end has no value to its caller any more.
	hopelessFactor = 0.25
	// sameTenantFactor is the part of its cost that work of the tenant counts which sends the demand: a burst pays for itself first.
	sameTenantFactor = 0.5
)

// newUnit returns a unit with the cost of stopping a run and, if it is a member of one, its whole gang, whose room is free at its end in any
// case.
func (s *search) newUnit(r *view.Run, ends time.Duration) unit {
	stage := &s.Stages[r.Stage]
	members := 1
	if r.Gang != 0 {
		members = stage.Tasks
	}
	cores := float64(members) * stage.Need.Cores()
	lost := cores * r.Lost.Seconds()
	cost := lost + cores*stopOverhead.Seconds()
	if stage.Lasts {
		cost += cores * lastingLoss.Seconds()
	}
	cost *= float64(1+r.Stops) * s.shortGain(ends)
	if s.becomesLate(r) {
		cost += stage.CoreSeconds()
	}
	switch {
	case stage.Hopeless:
		cost *= hopelessFactor
	case stage.Tenant == s.Stages[s.demand.Stage].Tenant:
		cost *= sameTenantFactor
	}
	if stage.Priority == 0 {
		cost *= urgentFactor
	}
	return unit{stage: r.Stage, stops: members, lost: lost, cost: cost}
}

const (
	// maxShortGain limits how much dearer a run is that ends soon by itself.
	maxShortGain = 4
	// shortestLeft is the least time that a run counts as taking, since estimates are not exact.
	shortestLeft = 100 * time.Millisecond
)

// shortGain returns how many times longer the demand uses the room of a run than the run, with that time left, would have kept it; at least 1. Work that is nearly
// done is lost for little time gained.
func (s *search) shortGain(left time.Duration) float64 {
	uses := s.Stages[s.demand.Stage].Estimate
	if left >= uses {
		return 1
	}
	return min(maxShortGain, uses.Seconds()/max(left, shortestLeft).Seconds())
}

// slack returns the time until the target of a run's job, less what the job still takes.
func (s *search) slack(r *view.Run) time.Duration {
	stage := &s.Stages[r.Stage]
	return stage.Slack + stage.Estimate - r.Left
}

// becomesLate reports whether a stop of a run makes its job late that would be in time without.
func (s *search) becomesLate(r *view.Run) bool {
	slack := s.slack(r)
	return slack >= 0 && slack < r.Lost+s.chooser.StopTime+s.chooser.Restart
}

// best returns the cheapest room in one rack or, if no rack holds the demand or it needs none, on all workers; nil if there is none.
func (s *search) best() *Choice {
	var best *Choice
	if s.demand.OneRack {
		for _, rack := range s.racks() {
			if choice := s.choose(rack, best); choice != nil && (best == nil || choice.less(best)) {
				best = choice
			}
		}
	}
	if best != nil {
		return best
	}
	all := make([]view.WorkerRef, len(s.Workers))
	for w := range s.Workers {
		all[w] = view.WorkerRef(w)
	}
	return s.choose(all, nil)
}

func (c *Choice) less(other *Choice) bool {
	if c.Cost != other.Cost {
		return c.Cost < other.Cost
	}
	return c.Wait < other.Wait
}

// racks returns the workers by rack, in the order of their first worker.
func (s *search) racks() [][]view.WorkerRef {
	var racks [][]view.WorkerRef
	index := map[work.Label]int{}
	for w := range s.Workers {
		rack := s.Workers[w].Rack
		at, found := index[rack]
		if !found {
			at = len(racks)
			index[rack] = at
			racks = append(racks, nil)
		}
		racks[at] = append(racks[at], view.WorkerRef(w))
	}
	return racks
}

// choose returns the cheaper of two plans for some workers: by the cost of each place gained, and with the cheapest runs of each worker; nil if there is none, or none at less than a number of times the cost of another choice.
func (s *search) choose(area []view.WorkerRef, other *Choice) *Choice {
	if !s.mayHold(area) {
		return nil
	}
	limit := math.Inf(1)
	if other != nil {
		limit = needlessAllowance*other.Cost + 1
	}
	gainful, cheapest := s.plans[0], s.plans[1]
	gainful.reset(area, limit)
	found := gainful.fill(gainful.byGain)
	if found {
		limit = min(limit, needlessAllowance*gainful.cost)
	}
	cheapest.reset(area, limit)
	if cheapest.fill(cheapest.byCost) && (!found || cheapest.cost < gainful.cost) {
		return cheapest.choice()
	}
	if !found {
		return nil
	}
	return gainful.choice()
}

// needlessAllowance times the cost of another plan is the cost above which a plan is given up before it is complete: it may still drop units
// that are not needed in the end.
const needlessAllowance = 2

// mayHold reports whether some workers hold the demand with nothing else on them.
func (s *search) mayHold(area []view.WorkerRef) bool {
	places := 0
	for _, w := range area {
		places += s.Workers[w].Capacity.CountFits(s.need, s.demand.Places[w])
	}
	return places >= s.demand.Tasks
}

// sortUnits sorts units by a key, and by their first run where the keys are equal, so that a choice repeats.
func (s *search) sortUnits(list []int, key func(index int) float64) {
	sort.Slice(list, func(i, j int) bool {
		a, b := key(list[i]), key(list[j])
		if a != b {
			return a < b
		}
		return s.units[list[i]].runs[0] < s.units[list[j]].runs[0]
	})
}
