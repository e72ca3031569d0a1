package batch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/sched"
	"peridotgw.example/peridotgw/model"
)

// Bounds of the design that a simulation checks, and times that it uses.
const (
	reclaimBound   = 6 * time.Second
	urgentBound    = 6700 * time.Millisecond
	drainBound     = 4 * time.Second
	sampleInterval = 5 * time.Second
	// drainWindowTail is the time from the return of the data centre to the end of the drain window.
	drainWindowTail = 10 * time.Minute
	// stuckTimeout exceeds every time after which the scheduler treats a waiting job differently.
	stuckTimeout = 15 * time.Minute
)

// Violations counts violated guarantees: accelerators allocated to two jobs, gangs that run in part, starts in a data centre
// that is out of service for longer than drainBound, and reclaims that take longer than reclaimBound.
type Violations struct {
	DoubleAllocations, PartialGangs, StartsOutOfService, LateReclaims int
}

// Result is the result of one run of one variant. Its histograms of times are in milliseconds.
type Result struct {
	// Completion has the completion time of each job that was done, by job.
	Completion map[model.JobID]Completion
	Urgent     *hdrhistogram.Histogram
	Reclaim    *hdrhistogram.Histogram
	// Fragmentation holds samples in parts per thousand, one per data centre in service and sample time.
	Fragmentation *hdrhistogram.Histogram
	// Available, Useful, Held and Lost are accelerator seconds in the drain window: the capacity in service, the work that
	// jobs completed and kept, the time that jobs held accelerators, and the run time that was not kept.
	Available, Useful, Held, Lost float64
	// LostTotal is the lost accelerator time of the whole run, in seconds.
	LostTotal        float64
	Preempted, Moved int
	Submitted        int
	Done, Failed     int
	// Stuck counts the jobs that could not start although nothing else ran, by class, shape, data centre and reason.
	Stuck map[string]int
	// LateUrgentByCause counts urgent starts over urgentBound by shape, data centre and the last reason for waiting
	// in the record.
	LateUrgentByCause map[string]int
	// UrgentLate counts all urgent starts over urgentBound. OverQuota counts urgent starts of customers without enough quota
	// left, which are not in Urgent.
	UrgentLate, OverQuota int
	// MaxQuotaShare is the largest share of its quota that a customer's running jobs held in all data centres together.
	MaxQuotaShare float64
	Violations    Violations
}

// Completion holds the class of a job that was done, and the time from its submission to its end.
type Completion struct {
	Class model.JobClassID
	Time  time.Duration
}

// job is the state of a job in the simulation.
type job struct {
	arrival
	class        model.JobClass
	accelerators float64
	submittedAt  time.Time
	// attempt numbers starts and stops, so that a scheduled end of an earlier attempt is ignored.
	attempt   int
	startedAt time.Time
	runningIn *dataCentre
	// kept is the run time that checkpoints saved.
	kept         time.Duration
	everRan      bool
	ended        bool
	exceedsQuota bool
	// reclaims is true for a job that asks for an unused guarantee copy.
	reclaims bool
	// blockedReason is the last reason for waiting
	// in the record.
	blockedReason string
	// copy is the guarantee copy that the running attempt uses.
	copy string
}

// simulation is one run of one variant. It is not safe for concurrent use.
type simulation struct {
	set         *model.Set
	workload    Workload
	clock       *clock
	start       time.Time
	random      *rand.Rand
	dataCentres map[model.DataCentreID]*dataCentre
	// order has the ids of all data centres, sorted.
	order []model.DataCentreID
	jobs  map[model.JobID]*job
	// queued has the data centre of each queued job.
	queued map[model.JobID]model.DataCentreID
	// drained is the data centre that is taken out of service at outAt; outAt is zero while it is in service.
	drained model.DataCentreID
	outAt   time.Time
	// unfinished counts the jobs of the workload that have not ended, running the gangs that run.
	unfinished int
	running    int
	// lastActivity is the time of the last start or end of a gang or job.
	lastActivity time.Time
	// held counts the accelerators that each customer's running jobs hold in all data centres.
	held   map[model.CustomerID]float64
	result *Result
	err    error
}

// Run simulates the workload of a seed with one variant of the placement.
func Run(set *model.Set, workload Workload, seed uint64, options place.Options) (*Result, error) {
	s := newSimulation(set, workload, seed)
	for _, dc := range s.order {
		s.dataCentres[dc] = newDataCentre(s, dc, options)
	}
	for _, a := range generateArrivals(s.set, workload, seed) {
		s.clock.after(a.at, func() { s.submitJob(a) })
		s.unfinished++
	}
	s.drained = s.order[int(seed%uint64(len(s.order)))]
	s.clock.after(workload.DrainAt, func() { s.setService(model.ServiceOut) })
	s.clock.after(workload.ReturnAt, func() { s.setService(model.ServiceIn) })
	for _, dc := range s.order {
		s.dataCentres[dc].tick()
	}
	s.sample()
	end := s.start.Add(workload.Arrivals + workload.FinishLimit)
	for s.unfinished > 0 && s.err == nil && !s.stuck() && s.clock.step(end) {
		continue
	}
	for id, j := range s.jobs {
		if !j.ended {
			s.result.Stuck[fmt.Sprintf("%s %s in %s (%s)", j.spec.Class, j.spec.Shape, s.queued[id], j.blockedReason)]++
		}
	}
	return s.result, s.err
}

// stuck reports whether, after all arrivals, nothing runs and nothing has started or ended for stuckTimeout.
func (s *simulation) stuck() bool {
	return s.clock.now.Sub(s.start) > s.workload.Arrivals && s.running == 0 && s.clock.now.Sub(s.lastActivity) > stuckTimeout
}

func newSimulation(set *model.Set, workload Workload, seed uint64) *simulation {
	set = set.Clone()
	set.JobClasses[UrgentClass] = model.JobClass{
		Priority: model.PriorityUrgent, Repeatable: true, StopWithin: model.Duration(2 * time.Second),
	}
	start := time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)
	return &simulation{
		set: set, workload: workload, clock: &clock{now: start}, start: start,
		random:      rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // Checkpoint times are seeded, not secret.
		dataCentres: map[model.DataCentreID]*dataCentre{}, order: sortedKeys(set.DataCentres),
		jobs: map[model.JobID]*job{}, queued: map[model.JobID]model.DataCentreID{}, held: map[model.CustomerID]float64{},
		result: &Result{
			LateUrgentByCause: map[string]int{}, Stuck: map[string]int{},
			Completion: map[model.JobID]Completion{}, Urgent: histogram(), Reclaim: histogram(), Fragmentation: histogram(),
		},
	}
}

// histogram returns a histogram of values from 1 to a week in milliseconds, with three significant digits.
func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (7 * 24 * time.Hour).Milliseconds(), 3)
}

func (s *simulation) addError(err error) { s.err = errors.Join(s.err, err) }

func (s *simulation) recordDuration(into *hdrhistogram.Histogram, took time.Duration) {
	if err := into.RecordValue(max(1, took.Milliseconds())); err != nil {
		s.addError(err)
	}
}

// submitJob queues a job in the data centre that sched.ChooseDataCentre selects from the load summaries, as the gateway does.
func (s *simulation) submitJob(a arrival) {
	now := s.clock.now
	class := s.set.JobClasses[a.spec.Class]
	j := &job{
		arrival: a, class: class, submittedAt: now, accelerators: float64(s.set.Shapes[a.spec.Shape].Accelerators()),
	}
	s.jobs[a.spec.ID] = j
	s.result.Submitted++
	dc, found := sched.ChooseDataCentre(s.set, a.spec, s.loadSummaries(), "")
	if !found {
		s.unfinished--
		s.result.Failed++
		j.ended = true
		return
	}
	j.exceedsQuota = s.exceedsQuota(j, dc)
	j.reclaims = s.hasFreeGuarantee(j, dc)
	record := jobs.Record{Spec: a.spec, State: jobs.StateQueued, DataCentre: dc, SubmittedAt: now, Version: 1}
	s.queued[a.spec.ID] = dc
	s.clock.after(writeLatency, func() {
		s.dataCentres[dc].core.ApplyRecord(record, s.clock.now)
		s.dataCentres[dc].schedulePass()
	})
}

func (s *simulation) loadSummaries() []sched.LoadSummary {
	loads := make([]sched.LoadSummary, 0, len(s.order))
	for _, dc := range s.order {
		loads = append(loads, s.dataCentres[dc].core.LoadSummary())
	}
	return loads
}

// drawCheckpointTime draws the time that a worker takes to write a checkpoint: 0.5 s to 4 s.
func (s *simulation) drawCheckpointTime() time.Duration {
	return 500*time.Millisecond + time.Duration(s.random.Float64()*3.5*float64(time.Second))
}

// setService takes the drained data centre out of service or back into it; owners learn of it after propagationDelay.
func (s *simulation) setService(state model.ServiceState) {
	set := s.set.Clone()
	set.Revision++
	dc := set.DataCentres[s.drained]
	dc.Service = state
	set.DataCentres[s.drained] = dc
	if state == model.ServiceOut {
		s.outAt = s.clock.now
	} else {
		s.outAt = time.Time{}
	}
	s.clock.after(propagationDelay, func() {
		s.set = set
		for _, id := range s.order {
			s.dataCentres[id].core.SetConfig(set)
			s.dataCentres[id].schedulePass()
		}
	})
}

// isOut reports whether the data centre is out of service in the configuration in effect.
func (s *simulation) isOut(dc model.DataCentreID) bool {
	return s.set.DataCentres[dc].Service != model.ServiceIn
}

// requeueMoved queues a moved job in the data centre that sched.ChooseDataCentre selects from the load summaries. The core's own
// choice does not consider loads, because it gets them only from the owner's loop.
func (s *simulation) requeueMoved(from *dataCentre, action sched.Action) {
	record := action.Record
	to, found := sched.ChooseDataCentre(s.set, record.Spec, s.loadSummaries(), from.id)
	if !found {
		to = action.To
	}
	s.result.Moved++
	record.State, record.DataCentre, record.Owner, record.Token, record.Version = jobs.StateQueued, to, "", 0, 1
	record.Placement, record.Lent = nil, false
	s.queued[record.Spec.ID] = to
	s.jobs[record.Spec.ID].reclaims = false
	s.dataCentres[to].core.ApplyRecord(record, s.clock.now)
	s.dataCentres[to].schedulePass()
}
