package chief_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// The bounds of the rule LOST: no job may have nothing running for standingLimit while a task's turn has come and there is room for it
// roomFactor times over, if that time and calmTime before it are free of disruptions.
const (
	standingLimit = 3 * time.Second
	calmTime      = 4 * time.Second
	roomFactor    = 2
	watchInterval = 50 * time.Millisecond // virtual time between two samples
)

// standingWatch measures for how long jobs stand: they have nothing running beside free workers. It sees the workers, their
// registrations and what was submitted, and nothing of the scheduler.
type standingWatch struct {
	env *testEnv
	// noted reports whether a leader has taken note that a task is done; nil if workers keep their lists of ends. It is set before the first job.
	noted func(task string) bool

	mu          sync.Mutex // guards the fields below
	submitted   map[model.JobID]*work.Job
	watched     []*watchedJob
	unreachable map[string]bool // by worker id
	disrupted   bool            // a disruption is going on
	disruptedAt time.Time       // when there was one last; zero for never
}

// watchedJob is a job of a standingWatch and its longest time of standing, as the rule counts it.
type watchedJob struct {
	spec    *work.Job
	factor  int           // how often its task, or gang, must fit for it to stand
	maxGap  time.Duration // for which there may be no room without an end of its standing
	since   time.Time     // from which on it stands; zero while it does not
	roomAt  time.Time     // when there was room for it last
	longest time.Duration
	// longestAt is the time of the last sample of the longest time.
	longestAt time.Time
}

// watchStanding starts a watch. All jobs of the test must then be submitted through it.
func (e *testEnv) watchStanding() *standingWatch {
	w := &standingWatch{env: e, submitted: map[model.JobID]*work.Job{}, unreachable: map[string]bool{}}
	go func() {
		for clock.Sleep(e.ctx, watchInterval) == nil {
			w.sample(time.Now())
		}
	}()
	return w
}

// submit submits a job that must not stand.
func (w *standingWatch) submit(job *work.Job) { w.watch(job, roomFactor, 0) }

// submitFitting submits a job that must not stand beside room for it once. Spans of at most maxGap without that room do not end its
// standing: it could have started before them.
func (w *standingWatch) submitFitting(job *work.Job, maxGap time.Duration) { w.watch(job, 1, maxGap) }

func (w *standingWatch) watch(job *work.Job, factor int, maxGap time.Duration) {
	w.load(job)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched = append(w.watched, &watchedJob{spec: job, factor: factor, maxGap: maxGap})
}

// load submits a job that only takes room.
func (w *standingWatch) load(job *work.Job) {
	w.mu.Lock()
	w.submitted[job.ID] = job
	w.mu.Unlock()
	w.env.submit(job)
}

// beginDisruption notes that a disruption begins.
func (w *standingWatch) beginDisruption() { w.setDisrupted(true) }

// endDisruption notes that the disruption is over.
func (w *standingWatch) endDisruption() { w.setDisrupted(false) }

func (w *standingWatch) setDisrupted(disrupted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disrupted, w.disruptedAt = disrupted, time.Now()
}

// kill stops an instance, which is a disruption.
func (w *standingWatch) kill(i *instance) {
	i.kill()
	w.setDisrupted(false)
}

// lose takes a worker away for good and without a word, which is a disruption.
func (w *standingWatch) lose(id string) {
	for _, worker := range w.env.workers {
		if worker.ID == id {
			worker.Crash()
			// A poll that is in flight gets no answer either.
			w.env.net.SetFault(memnet.AnyHost, memnet.Host(worker.Address), memnet.Fault{DropRequests: true, DropAnswers: true})
		}
	}
	w.env.store.Remove(fakepl.WorkerKey(id))
	w.mu.Lock()
	w.unreachable[id] = true
	w.mu.Unlock()
	w.setDisrupted(false)
}

// expectNoneStood expects that no job stood for longer than the rule allows.
func (w *standingWatch) expectNoneStood() {
	w.env.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	stood := map[model.JobID]time.Duration{}
	for _, job := range w.watched {
		if job.longest > standingLimit {
			stood[job.spec.ID] = job.longest
		}
		w.env.t.Logf("%s stood for %v", job.spec.ID, job.longest)
	}
	w.env.Expect(stood).To(BeEmpty(), fmt.Sprintf("jobs that had nothing running for over %v beside free workers", standingLimit))
}

// newLastingLoad returns a job whose tasks run on workers with a label until the end of the test. Its id must begin with "f".
func newLastingLoad(id string, label work.Label, tasks int, gpu model.Accelerators) *work.Job {
	job := newJob(id, "scan", tasks, gpu)
	job.Steps[0].Label, job.Steps[0].Lasts = label, true
	return job
}

// runsOf returns outcomes by which runs of jobs whose ids begin with "f" go on for ever, and all others are done after a time.
func runsOf(others time.Duration) func(task string, run int64, worker string) fakepl.Outcome {
	return func(task string, _ int64, _ string) fakepl.Outcome {
		if task[0] == 'f' {
			return fakepl.Outcome{Hang: true}
		}
		return fakepl.Outcome{After: others, How: "done"}
	}
}

// label changes the labels of a worker, before an instance is started.
func (e *testEnv) label(w *fakepl.Worker, labels ...string) {
	e.fleet.WithLock(func() { w.Labels = labels })
	e.heartbeat(w)
}

// sample updates the times of all watched jobs.
func (w *standingWatch) sample(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.disrupted {
		w.disruptedAt = now
	}
	workers, running := w.readWorkers()
	for _, job := range w.watched {
		if running[job.spec.ID] {
			job.since = time.Time{}
			continue
		}
		if !w.hasRoomForNext(job, workers) {
			if now.Sub(job.roomAt) > job.maxGap {
				job.since = time.Time{}
			}
			continue
		}
		job.roomAt = now
		if job.since.IsZero() {
			job.since = now
		}
		from := job.since
		if calmSince := w.disruptedAt.Add(calmTime); !w.disruptedAt.IsZero() && calmSince.After(from) {
			from = calmSince
		}
		if stood := now.Sub(from); stood > job.longest {
			job.longest, job.longestAt = stood, now
		}
	}
}

// watchedWorker is a worker that may get runs, with its free capacity.
type watchedWorker struct {
	info   work.WorkerInfo
	free   work.Resources
	runsOf map[work.StepID]int
}

// readWorkers returns the workers that may get runs, and the jobs with a run on any worker.
func (w *standingWatch) readWorkers() ([]watchedWorker, map[model.JobID]bool) {
	var workers []watchedWorker
	running := map[model.JobID]bool{}
	for _, worker := range w.env.workers {
		key := fakepl.WorkerKey(worker.ID)
		info, err := platform.DecodeWorker(key, w.env.store.Value(key))
		seen := watchedWorker{info: info, free: info.Capacity, runsOf: map[work.StepID]int{}}
		for _, name := range worker.Running() {
			id, parseErr := work.ParseTaskID(name)
			job := w.submitted[id.Job]
			if parseErr != nil || job == nil {
				w.env.t.Errorf("%s runs %s, which was not submitted through the watch", worker.ID, name)
				continue
			}
			running[id.Job] = true
			seen.free = seen.free.Sub(job.Steps[id.Step].Resources())
			seen.runsOf[id.StepID]++
		}
		if err == nil && !info.Draining && !w.unreachable[worker.ID] {
			workers = append(workers, seen)
		}
	}
	return workers, running
}

// hasRoomForNext reports whether a task of a job is due, or all of a gang, and fits as often as its factor says.
func (w *standingWatch) hasRoomForNext(watched *watchedJob, workers []watchedWorker) bool {
	job := watched.spec
	for index := range job.Steps {
		step := &job.Steps[index]
		if w.isDone(job, index) || !w.dependenciesDone(job, step) {
			continue
		}
		needed := watched.factor
		if step.Gang {
			needed *= step.Count
		}
		id := work.StepID{Job: job.ID, Step: index}
		for i := range workers {
			needed -= workers[i].fits(job, step, id)
		}
		if needed <= 0 {
			return true
		}
	}
	return false
}

// fits returns how many more tasks of a step fit on a worker.
func (w *watchedWorker) fits(job *work.Job, step *work.Step, id work.StepID) int {
	if w.info.Pool != job.Pool || !w.info.Has(step.Label) {
		return 0
	}
	count := 0
	for free := w.free; free.Fits(step.Resources()); free = free.Sub(step.Resources()) {
		count++
	}
	if step.PerWorker > 0 {
		count = min(count, step.PerWorker-w.runsOf[id])
	}
	return max(count, 0)
}

func (w *standingWatch) dependenciesDone(job *work.Job, step *work.Step) bool {
	for _, before := range step.After {
		if !w.isDone(job, before) {
			return false
		}
	}
	return true
}

// isDone reports whether all tasks of a step have ended as done.
func (w *standingWatch) isDone(job *work.Job, step int) bool {
	for index := range job.Steps[step].Count {
		id := work.TaskID{StepID: work.StepID{Job: job.ID, Step: step}, Index: index}
		if task := id.String(); !w.env.fleet.Done(task) && (w.noted == nil || !w.noted(task)) {
			return false
		}
	}
	return true
}
