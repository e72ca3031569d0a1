package chief_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// day is a drawn fleet and what happens on it.
type day struct {
	seed       uint64
	labels     [][]string // by worker
	guaranteed model.Accelerators
	items      []dayItem // in order of their times
}

// dayItem is a job that is submitted, or an event.
type dayItem struct {
	at       time.Duration // since the leader has had time to poll all workers
	job      *dayJob
	event    string // without a job
	worker   int
	duration time.Duration // of a fault
}

// dayJob is a job and how its runs go.
type dayJob struct {
	spec     *work.Job
	takes    time.Duration // of a run near its data, on a worker that is not slow
	failures int           // the first runs of task 0 of each step, or of the gang, that fail
	failsAt  time.Duration // after the start of such a run
	hangs    bool          // the first run of the first step makes no progress
}

func (i *dayItem) String() string {
	if i.job == nil {
		return fmt.Sprintf("%v %s %d for %v", i.at, i.event, i.worker, i.duration)
	}
	var steps []string
	for s := range i.job.spec.Steps {
		steps = append(steps, fmt.Sprintf("%+v", i.job.spec.Steps[s]))
	}
	return fmt.Sprintf("%v job %s %s %s takes %v fails %d at %v hangs %v %s", i.at, i.job.spec.ID, i.job.spec.Queue, i.job.spec.Tenant,
		i.job.takes, i.job.failures, i.job.failsAt, i.job.hangs, strings.Join(steps, " "))
}

// dayDraw draws a day.
type dayDraw struct {
	*rand.Rand
	day          *day
	racks        int
	jobs         int
	hopelessJobs bool // some jobs fail all their attempts or make no progress at first
}

func drawDay(seed uint64, hopelessJobs bool) *day {
	d := &dayDraw{
		Rand: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // The days must be the same in each run.
		day:  &day{seed: seed}, hopelessJobs: hopelessJobs,
	}
	workers, perRack := d.between(4, 24), d.between(1, 6)
	d.racks = (workers + perRack - 1) / perRack
	for i := range workers {
		labels := []string{"a", fmt.Sprintf("r%d", i/perRack)}
		if d.IntN(4) == 0 {
			labels = append(labels, "x1")
		}
		d.day.labels = append(d.day.labels, labels)
	}
	d.day.guaranteed = model.Accelerators(d.IntN(4) * 8)
	d.lastingLoad()
	for range d.between(4, 24) {
		d.add(d.milliseconds(1000, 25000), d.ordinaryJob())
	}
	for range d.IntN(3) {
		d.urgentStream()
	}
	for range d.IntN(4) {
		d.event()
	}
	slices.SortStableFunc(d.day.items, func(a, b dayItem) int { return int(a.at - b.at) })
	return d.day
}

// between returns a number from low to high.
func (d *dayDraw) between(low, high int) int { return low + d.IntN(high-low+1) }

func (d *dayDraw) milliseconds(low, high int) time.Duration {
	return time.Duration(d.between(low, high)) * time.Millisecond
}

func (d *dayDraw) oneIn(n int) bool { return d.IntN(n) == 0 }

func (d *dayDraw) rack() work.Label { return work.Label(fmt.Sprintf("r%d", d.IntN(d.racks))) }

func (d *dayDraw) add(at time.Duration, job *dayJob) {
	d.day.items = append(d.day.items, dayItem{at: at, job: job})
}

// newJob returns a job with a new id that begins with kind.
func (d *dayDraw) newJob(kind byte, queue work.QueueName, tasks int, gpu model.Accelerators) *work.Job {
	d.jobs++
	job := newJob(fmt.Sprintf("%c%015d", kind, d.jobs), queue, tasks, gpu)
	if d.oneIn(2) {
		job.Tenant = "small"
	}
	return job
}

// lastingLoad takes part of the racks for the whole day.
func (d *dayDraw) lastingLoad() {
	for rack := range d.racks {
		if d.oneIn(2) {
			continue
		}
		load := d.newJob('f', "scan", d.between(1, 5), model.Accelerators(d.between(1, 8)))
		load.Steps[0].Label, load.Steps[0].Lasts = work.Label(fmt.Sprintf("r%d", rack)), true
		d.add(0, &dayJob{spec: load})
	}
}

// ordinaryJob draws a single task, a job of several steps, or a gang, which may all follow each other in one job.
func (d *dayDraw) ordinaryJob() *dayJob {
	queue := []work.QueueName{"check", "scan", "scan", "scan", "tally", "tally"}[d.IntN(6)]
	job := d.newJob('b', queue, 1, 0)
	drawn := &dayJob{spec: job, takes: d.milliseconds(200, 8000), failsAt: d.milliseconds(50, 4000)}
	steps := 1
	if d.oneIn(3) {
		steps = d.between(2, 4)
	}
	job.Steps = make([]work.Step, steps)
	for index := range job.Steps {
		step := &job.Steps[index]
		*step = d.step()
		step.Estimate = drawn.takes * time.Duration(d.between(50, 200)) / 100
		if index > 0 && !d.oneIn(4) {
			step.After = []int{d.IntN(index)}
		}
		d.shrinkToFleet(job, step)
	}
	switch kind := d.IntN(8); {
	case kind < 2:
		drawn.failures = 1
	case kind == 2 && d.hopelessJobs:
		drawn.failures = 100
	case kind == 3 && d.hopelessJobs:
		drawn.hangs = true
	}
	return drawn
}

func (d *dayDraw) step() work.Step {
	step := work.Step{Count: 1, Need: work.Resources{CPU: 1000, Memory: 1000}}
	if d.oneIn(3) {
		step.Need.CPU = []int{8000, 16000, 32000, 64000}[d.IntN(4)]
	} else {
		step.Need.GPU = model.Accelerators([]int{1, 2, 4, 8}[d.IntN(4)])
	}
	switch d.IntN(4) {
	case 0, 1:
		step.Gang, step.Count = true, d.between(2, 16)
		step.SameRack = d.oneIn(2)
	case 2:
		step.Count = d.between(2, 8)
	}
	if d.oneIn(4) {
		step.DataRack = d.rack()
	}
	if d.oneIn(5) {
		step.PerWorker = d.between(1, 2)
	}
	if d.oneIn(8) {
		step.Label = "x1"
	}
	return step
}

// shrinkToFleet reduces a gang until it fits into the fleet while nothing runs there.
func (d *dayDraw) shrinkToFleet(job *work.Job, step *work.Step) {
	room := 0
	for _, labels := range d.day.labels {
		w := watchedWorker{
			info: work.WorkerInfo{Pool: job.Pool}, free: work.Resources{CPU: 64000, Memory: 128000, GPU: 8},
			runsOf: map[work.StepID]int{},
		}
		for _, label := range labels {
			w.info.Labels = append(w.info.Labels, work.Label(label))
		}
		room += w.fits(job, step, work.StepID{})
	}
	step.Count = max(1, min(step.Count, room))
	step.Gang = step.Gang && step.Count > 1
}

// urgentStream draws waves of urgent jobs.
func (d *dayDraw) urgentStream() {
	tenant := []model.CustomerID{"big", "small"}[d.IntN(2)]
	every, jobs, tasks := d.milliseconds(500, 4000), d.between(1, 4), d.between(1, 2)
	gpu, takes := model.Accelerators(d.between(0, 8)), d.milliseconds(50, 2500)
	for at := d.milliseconds(0, 5000); at < 24*time.Second; at += every {
		for range jobs {
			job := d.newJob('a', "check", tasks, gpu)
			job.Tenant, job.Steps[0].Estimate = tenant, takes
			d.add(at, &dayJob{spec: job, takes: takes})
		}
	}
}

func (d *dayDraw) event() {
	events := []string{"worker fails", "worker is slow", "worker is lost", "leader is killed", "leader hands over"}
	d.day.items = append(d.day.items, dayItem{
		at: d.milliseconds(1000, 25000), event: events[d.IntN(len(events))], worker: d.IntN(len(d.day.labels)),
		duration: d.milliseconds(500, 6000),
	})
}
