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

// Bounds of the design that a run checks.
const (
	reclaimBound = 6 * time.Second
	urgentBound  = 6700 * time.Millisecond
	outBound     = 4 * time.Second
	// sampleEvery is the interval of samples of fragmentation.
	sampleEvery = 5 * time.Second
	// afterReturn is how long after the return the window of the data-centre change ends.
	afterReturn = 10 * time.Minute
	// stuckAfter is above every time after which the decisions treat a waiting job differently.
	stuckAfter = 15 * time.Minute
)

// Broken counts broken promises.
type Broken struct {
	TwiceUsed, Partial, StartedOut, NotReclaimed int
}

// Result is what one run of one variant measured. Times are in milliseconds.
type Result struct {
	// Took is the time from submission to the end of each job that was done.
	Took    map[model.JobID]Took
	Urgent  *hdrhistogram.Histogram
	Reclaim *hdrhistogram.Histogram
	// Fragmentation holds samples in parts per thousand, one per data centre in service and sample time.
	Fragmentation *hdrhistogram.Histogram
	// Allowed, Useful, Held and Lost are accelerator seconds while a data centre left and returned: what the capacity in
	// service allowed, what jobs completed and kept, what was held by jobs, and what ran without being kept.
	Allowed, Useful, Held, Lost float64
	// LostAll is the lost accelerator time of the whole run.
	LostAll          float64
	Preempted, Moved int
	Submitted        int
	Done, Failed     int
	// Stuck counts the jobs that could not start although nothing else ran, by class, shape and data centre.
	Stuck map[string]int
	// Late counts urgent starts over the bound by shape, data centre and the reason that the record names.
	Late map[string]int
	// UrgentLate counts urgent starts over the bound, and OverQuota urgent jobs of customers without enough quota left,
	// which are not in Urgent.
	UrgentLate, OverQuota int
	// OfQuota is the largest share of its quota that a customer's running jobs took in all data centres together.
	OfQuota float64
	Broken  Broken
}

// Took is the completion time of one job.
type Took struct {
	Class model.JobClassID
	Time  time.Duration
}

// job is what the driver knows about a job.
type job struct {
	arrival
	class       model.JobClass
	size        float64
	submittedAt time.Time
	// attempt numbers starts and stops, so that a scheduled end of an earlier attempt is ignored.
	attempt   int
	startedAt time.Time
	runningIn *centre
	kept      time.Duration
	everRan   bool
	ended     bool
	overQuota bool
	// reclaims is true for a job that asked for a free copy of a guarantee.
	reclaims bool
	// blocked is the reason for waiting that the record names.
	blocked string
	// copy is the guarantee's copy that the running attempt takes.
	copy string
}

type run struct {
	set      *model.Set
	workload Workload
	clock    *clock
	begin    time.Time
	random   *rand.Rand
	centres  map[model.DataCentreID]*centre
	order    []model.DataCentreID
	jobs     map[model.JobID]*job
	queued   map[model.JobID]model.DataCentreID
	leaving  model.DataCentreID
	outAt    time.Time
	open     int
	running  int
	lastMove time.Time
	// held is the accelerators that each customer's running jobs take in all data centres.
	held   map[model.CustomerID]float64
	result *Result
	err    error
}

// Run runs the workload of a seed through one variant of the placement.
func Run(set *model.Set, workload Workload, seed uint64, options place.Options) (*Result, error) {
	r := newRun(set, workload, seed)
	for _, dc := range r.order {
		r.centres[dc] = newCentre(r, dc, options)
	}
	for _, a := range arrivals(r.set, workload, seed) {
		r.clock.after(a.at, func() { r.submit(a) })
		r.open++
	}
	r.leaving = r.order[int(seed%uint64(len(r.order)))]
	r.clock.after(workload.Out, func() { r.service(model.ServiceOut) })
	r.clock.after(workload.In, func() { r.service(model.ServiceIn) })
	for _, dc := range r.order {
		r.centres[dc].tick()
	}
	r.sample()
	end := r.begin.Add(workload.Arrivals + workload.Rest)
	for r.open > 0 && r.err == nil && !r.stuck() && r.clock.step(end) {
		continue
	}
	for id, j := range r.jobs {
		if !j.ended {
			r.result.Stuck[fmt.Sprintf("%s %s in %s (%s)", j.spec.Class, j.spec.Shape, r.queued[id], j.blocked)]++
		}
	}
	return r.result, r.err
}

// stuck reports whether, after all arrivals, nothing runs and nothing started or ended for a long time.
func (r *run) stuck() bool {
	return r.clock.now.Sub(r.begin) > r.workload.Arrivals && r.running == 0 && r.clock.now.Sub(r.lastMove) > stuckAfter
}

func newRun(set *model.Set, workload Workload, seed uint64) *run {
	set = set.Clone()
	set.JobClasses[UrgentClass] = model.JobClass{
		Priority: model.PriorityUrgent, Repeatable: true, StopWithin: model.Duration(2 * time.Second),
	}
	begin := time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)
	return &run{
		set: set, workload: workload, clock: &clock{now: begin}, begin: begin,
		random:  rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // Checkpoint times are seeded, not secret.
		centres: map[model.DataCentreID]*centre{}, order: sorted(set.DataCentres),
		jobs: map[model.JobID]*job{}, queued: map[model.JobID]model.DataCentreID{}, held: map[model.CustomerID]float64{},
		result: &Result{
			Late: map[string]int{}, Stuck: map[string]int{},
			Took: map[model.JobID]Took{}, Urgent: histogram(), Reclaim: histogram(), Fragmentation: histogram(),
		},
	}
}

// histogram holds values from 1 to a week of milliseconds with three digits.
func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (7 * 24 * time.Hour).Milliseconds(), 3)
}

func (r *run) fail(err error) { r.err = errors.Join(r.err, err) }

func (r *run) observe(into *hdrhistogram.Histogram, took time.Duration) {
	if err := into.RecordValue(max(1, took.Milliseconds())); err != nil {
		r.fail(err)
	}
}

// submit gives a job to the data centre that the product would choose from the load summaries.
func (r *run) submit(a arrival) {
	now := r.clock.now
	class := r.set.JobClasses[a.spec.Class]
	j := &job{
		arrival: a, class: class, submittedAt: now, size: float64(r.set.Shapes[a.spec.Shape].Accelerators()),
	}
	r.jobs[a.spec.ID] = j
	r.result.Submitted++
	dc, found := sched.Choose(r.set, a.spec, r.summaries(), "")
	if !found {
		r.open--
		r.result.Failed++
		j.ended = true
		return
	}
	j.overQuota = r.overQuota(j, dc)
	j.reclaims = r.reclaimable(j, dc)
	record := jobs.Record{Spec: a.spec, State: jobs.StateQueued, DataCentre: dc, SubmittedAt: now, Version: 1}
	r.queued[a.spec.ID] = dc
	r.clock.after(writeTime, func() {
		r.centres[dc].core.Seen(record, r.clock.now)
		r.centres[dc].soon()
	})
}

func (r *run) summaries() []sched.Summary {
	loads := make([]sched.Summary, 0, len(r.order))
	for _, dc := range r.order {
		loads = append(loads, r.centres[dc].core.Summary())
	}
	return loads
}

// checkpointTime is how long a worker takes to write a checkpoint.
func (r *run) checkpointTime() time.Duration {
	return 500*time.Millisecond + time.Duration(r.random.Float64()*3.5*float64(time.Second))
}

// service takes the leaving data centre out of service or back; owners learn of it after the propagation time.
func (r *run) service(state model.ServiceState) {
	set := r.set.Clone()
	set.Revision++
	dc := set.DataCentres[r.leaving]
	dc.Service = state
	set.DataCentres[r.leaving] = dc
	if state == model.ServiceOut {
		r.outAt = r.clock.now
	} else {
		r.outAt = time.Time{}
	}
	r.clock.after(propagateTime, func() {
		r.set = set
		for _, id := range r.order {
			r.centres[id].core.SetConfig(set)
			r.centres[id].soon()
		}
	})
}

// knownOut reports whether the configuration in effect has the data centre out of service.
func (r *run) knownOut(dc model.DataCentreID) bool {
	return r.set.DataCentres[dc].Service != model.ServiceIn
}

// moved puts a job into the data centre that the load summaries name. The core's own choice knows no loads, because only
// the owner's loop can give it any.
func (r *run) moved(from *centre, action sched.Action) {
	record := action.Record
	to, found := sched.Choose(r.set, record.Spec, r.summaries(), from.id)
	if !found {
		to = action.To
	}
	r.result.Moved++
	record.State, record.DataCentre, record.Owner, record.Token, record.Version = jobs.StateQueued, to, "", 0, 1
	record.Placement, record.Lent = nil, false
	r.queued[record.Spec.ID] = to
	r.jobs[record.Spec.ID].reclaims = false
	r.centres[to].core.Seen(record, r.clock.now)
	r.centres[to].soon()
}
