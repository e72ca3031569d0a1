package chief_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	// daysInCI and hopelessDaysInCI are the numbers of drawn days that CI plays, from seed 1 on: they take under 10 s.
	daysInCI         = 12
	hopelessDaysInCI = 6
	// seedsVariable names the environment variable for other seeds, as FIRST-LAST.
	seedsVariable = "PERIDOT_STANDING_SEEDS"
	// reduceVariable names the environment variable that has failing days reduced to the items that matter, and their log printed.
	reduceVariable = "PERIDOT_STANDING_REDUCE"

	// dayEndLimit is the time after the last item of a day within which each job must have ended that finds room.
	dayEndLimit = 3 * time.Minute
	// stopTime is the time from the notice that a leader will stop to its end.
	stopTime = 2 * time.Second
)

// Guards against jobs that have nothing running beside room for them twice over for longer than the rule allows, against jobs that never
// end, and against jobs that fail without cause, on drawn fleets with drawn loads and faults.
func TestNoJobStandsOnDrawnDays(t *testing.T) { playDrawnDays(t, false, daysInCI) }

// Guards against the same beside jobs that fail all their attempts or make no progress, which close workers for some time.
func TestNoJobStandsBesideHopelessJobsOnDrawnDays(t *testing.T) {
	playDrawnDays(t, true, hopelessDaysInCI)
}

// playDrawnDays plays the days of the first seeds, or of those that the environment names.
func playDrawnDays(t *testing.T, hopelessJobs bool, last uint64) {
	t.Helper()
	first := uint64(1)
	if seeds := os.Getenv(seedsVariable); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &first, &last); err != nil {
			t.Fatalf("%s is %q, not FIRST-LAST", seedsVariable, seeds)
		}
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			day := drawDay(seed, hopelessJobs)
			result := day.run(t)
			for _, wrong := range result.wrong {
				t.Errorf("%s", wrong)
			}
			if len(result.wrong) > 0 && os.Getenv(reduceVariable) != "" {
				day.reduce(t, result.wrong)
			}
		})
	}
}

// dayResult is what was wrong on a day.
type dayResult struct {
	wrong   []string
	longest time.Duration // of standing
	lines   []dayLine
}

// dayLine is a line of a scheduler's log.
type dayLine struct {
	at   time.Time
	text string
}

// dayRun is a day that is played.
type dayRun struct {
	*day
	env       *testEnv
	watch     *standingWatch
	watched   map[model.JobID]*watchedJob
	instances []*instance
	faults    atomic.Int32 // that last

	// The fleet's lock guards the fields below.
	jobs    map[string]*dayJob // by job id
	begun   map[string]dayWork // by task, or step of a gang
	failed  map[string]int     // runs that failed, by the same
	failing map[string]bool    // workers
	slow    map[string]bool
	racks   map[string]work.Label // by worker

	linesMu  sync.Mutex // guards the fields below
	logLines []dayLine
	noted    map[string]bool // tasks that a leader knows to be done
}

// dayWork is the work of a run, or a gang, that has begun.
type dayWork struct {
	at    time.Time
	takes time.Duration // 0 if it hangs
}

// Write adds a line of a scheduler's log.
func (r *dayRun) Write(line []byte) (int, error) {
	r.linesMu.Lock()
	defer r.linesMu.Unlock()
	r.logLines = append(r.logLines, dayLine{time.Now(), strings.TrimSpace(string(line))})
	var ended struct{ Message, Task, How string }
	if bytes.Contains(line, []byte("chief: run over")) && json.Unmarshal(line, &ended) == nil && ended.How == "done" {
		r.noted[ended.Task] = true
	}
	return len(line), nil
}

// isNoted reports whether a leader has taken note that a task is done. Its worker may be lost before it learns that.
func (r *dayRun) isNoted(task string) bool {
	r.linesMu.Lock()
	defer r.linesMu.Unlock()
	return r.noted[task]
}

// run plays the day.
func (d *day) run(t *testing.T) dayResult {
	t.Helper()
	var result dayResult
	runTestEnv(t, len(d.labels), func(env *testEnv) {
		r := &dayRun{
			day: d, env: env, watched: map[model.JobID]*watchedJob{}, jobs: map[string]*dayJob{}, begun: map[string]dayWork{},
			failed: map[string]int{}, failing: map[string]bool{}, slow: map[string]bool{}, racks: map[string]work.Label{},
			noted: map[string]bool{},
		}
		result = r.play()
	})
	return result
}

func (r *dayRun) play() dayResult {
	env := r.env
	for i, w := range env.workers {
		env.label(w, r.labels[i]...)
		r.racks[w.ID] = work.Label(r.labels[i][1])
	}
	env.config.Tenants["big"] = work.Tenant{Name: "big", Guaranteed: r.guaranteed}
	for i := range r.items {
		if job := r.items[i].job; job != nil {
			r.jobs[string(job.spec.ID)] = job
		}
	}
	env.fleet.Outcome, env.fleet.Percent, env.fleet.Gang = r.outcome, r.percent, r.gang
	r.watch = env.watchStanding()
	r.watch.noted = r.isNoted
	r.start()
	env.sleep(3 * time.Second)
	r.start()
	began := time.Now()
	for i := range r.items {
		item := &r.items[i]
		for time.Since(began) < item.at {
			env.sleep(min(item.at-time.Since(began), 100*time.Millisecond))
			r.forgetFailed()
		}
		r.apply(item)
	}
	result := dayResult{wrong: r.finish()}
	result.wrong = append(result.wrong, env.fleet.Violations()...)
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	for _, job := range r.watched {
		result.longest = max(result.longest, job.longest)
		if job.longest > standingLimit {
			result.wrong = append(result.wrong, fmt.Sprintf("seed %d: %s stood for %v until %v: %s", r.seed, job.spec.ID, job.longest,
				job.longestAt.Sub(began), r.causes(job)))
		}
	}
	slices.Sort(result.wrong)
	r.linesMu.Lock()
	defer r.linesMu.Unlock()
	result.lines = slices.Clone(r.logLines)
	return result
}

func (r *dayRun) start() {
	r.instances = append(r.instances, r.env.start(fmt.Sprintf("i-%02d", len(r.instances)), func(i *instance) { i.log = zerolog.New(r) }))
}

func (r *dayRun) leader() *instance {
	for _, i := range r.instances {
		if i.leads() {
			return i
		}
	}
	return nil
}

func (r *dayRun) apply(item *dayItem) {
	if item.job != nil {
		spec := *item.job.spec
		r.watch.submit(&spec)
		r.watch.mu.Lock()
		r.watched[spec.ID] = r.watch.watched[len(r.watch.watched)-1]
		r.watch.mu.Unlock()
		return
	}
	worker := r.env.workers[item.worker].ID
	leader := r.leader()
	switch item.event {
	case "worker fails":
		r.fault(r.failing, worker, item.duration)
	case "worker is slow":
		r.fault(r.slow, worker, item.duration)
	case "worker is lost":
		r.watch.lose(worker)
	case "leader is killed":
		if leader != nil {
			r.watch.kill(leader)
			r.start()
		}
	case "leader hands over": // As planned, so that it is no disruption.
		if leader != nil {
			leader.elector.StopSoon(r.env.ctx)
			r.start()
			time.AfterFunc(stopTime, leader.kill)
		}
	}
	if r.faults.Load() > 0 {
		r.watch.beginDisruption()
	}
}

// fault adds a worker to a set for a time.
func (r *dayRun) fault(set map[string]bool, worker string, lasts time.Duration) {
	r.faults.Add(1)
	r.env.fleet.WithLock(func() { set[worker] = true })
	r.watch.beginDisruption()
	time.AfterFunc(lasts, func() {
		r.env.fleet.WithLock(func() { delete(set, worker) })
		if r.faults.Add(-1) == 0 {
			r.watch.endDisruption()
		}
	})
}

// workKey returns the task, or the step if it is a gang.
func (r *dayRun) workKey(task string) (string, *dayJob, *work.Step, work.TaskID) {
	id, err := work.ParseTaskID(task)
	job := r.jobs[string(id.Job)]
	if err != nil || job == nil {
		return task, nil, nil, id
	}
	step := &job.spec.Steps[id.Step]
	if step.Gang {
		task = id.StepID.String()
	}
	return task, job, step, id
}

func (r *dayRun) outcome(task string, _ int64, worker string) fakepl.Outcome {
	key, job, step, id := r.workKey(task)
	_, again := r.begun[key]
	began := dayWork{at: time.Now()}
	defer func() { r.begun[key] = began }()
	switch {
	case job == nil || step.Lasts:
		return fakepl.Outcome{Hang: true}
	case r.failing[worker]:
		r.failed[key]++
		return fakepl.Outcome{After: 200 * time.Millisecond, How: "failed"}
	case job.hangs && !again && id.Step == 0 && (step.Gang || id.Index == 0):
		return fakepl.Outcome{Hang: true}
	}
	began.takes = job.takes
	if step.DataRack != "" && r.racks[worker] != step.DataRack {
		began.takes *= 3
	}
	if r.slow[worker] {
		began.takes *= 4
	}
	if r.failed[key] < job.failures && (step.Gang || id.Index == 0) {
		r.failed[key]++
		return fakepl.Outcome{After: min(job.failsAt, began.takes), How: "failed"}
	}
	return fakepl.Outcome{After: began.takes, How: "done"}
}

func (r *dayRun) percent(task, _ string) int {
	key, _, _, _ := r.workKey(task)
	began := r.begun[key]
	if began.takes == 0 {
		return 0
	}
	return min(100, int(100*time.Since(began.at)/began.takes))
}

func (r *dayRun) gang(step string) int {
	_, _, spec, _ := r.workKey(step + ".0")
	if spec == nil || !spec.Gang {
		return 0
	}
	return spec.Count
}

// mayFail reports whether a task of a job, or a gang, has failed as often as its queue allows.
func (r *dayRun) mayFail(job *work.Job) bool {
	may := false
	r.env.fleet.WithLock(func() {
		for key, failed := range r.failed {
			may = may || strings.HasPrefix(key, string(job.ID)+".") && failed >= r.env.config.Queue(job.Queue).MaxAttempts
		}
	})
	return may
}

// forgetFailed ends the watch of jobs that have failed with cause: nothing of them is due any more.
func (r *dayRun) forgetFailed() {
	leader := r.leader()
	if leader == nil {
		return
	}
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	r.watch.watched = slices.DeleteFunc(r.watch.watched, func(job *watchedJob) bool {
		return leader.state(job.spec.ID) == work.StateFailed && r.mayFail(job.spec)
	})
}

// finish waits until all jobs have ended that find room, and returns what is wrong with the others.
func (r *dayRun) finish() []string {
	began := time.Now()
	for {
		r.env.sleep(500 * time.Millisecond)
		r.forgetFailed()
		unfinished := r.unfinished()
		if len(unfinished) == 0 || time.Since(began) > dayEndLimit {
			return unfinished
		}
	}
}

// unfinished returns the jobs that run, that find room once and do not run, or that have failed without cause.
func (r *dayRun) unfinished() []string {
	leader := r.leader()
	if leader == nil {
		return []string{"nobody leads"}
	}
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	var wrong []string
	workers, running := r.watch.readWorkers()
	for _, job := range r.watch.watched {
		if job.spec.Lasts() {
			continue
		}
		once := *job
		once.factor = 1
		state := leader.state(job.spec.ID)
		if state == work.StateFailed || state != work.StateCompleted && (running[job.spec.ID] || r.watch.hasRoomForNext(&once, workers)) {
			wrong = append(wrong, fmt.Sprintf("seed %d: %s does not end: %q", r.seed, job.spec.ID, state))
		}
	}
	return wrong
}

// causes returns why a job stood, as the schedulers have logged.
func (r *dayRun) causes(job *watchedJob) string {
	var causes []string
	r.linesMu.Lock()
	defer r.linesMu.Unlock()
	for _, line := range r.logLines {
		if line.at.Before(job.longestAt.Add(-job.longest)) || line.at.After(job.longestAt) || !strings.Contains(line.text, string(job.spec.ID)) {
			continue
		}
		var logged struct{ Message, Why string }
		if json.Unmarshal([]byte(line.text), &logged) != nil {
			continue
		}
		if cause := strings.TrimPrefix(logged.Message, "chief: ") + " " + logged.Why; !slices.Contains(causes, cause) {
			causes = append(causes, cause)
		}
	}
	return strings.Join(causes, "; ")
}

// reduceTries is how often a day is played before it counts as sound: the order of goroutines differs from run to run.
const reduceTries = 3

// reduce drops items of a day as long as something of the same kind as before is wrong on it, and logs what is left.
func (d *day) reduce(t *testing.T, wrong []string) {
	t.Helper()
	kind := " stood for "
	if !strings.Contains(strings.Join(wrong, " "), kind) {
		kind = ""
	}
	fails := func(d *day) (dayResult, bool) {
		for range reduceTries {
			if result := d.run(t); len(result.wrong) > 0 && strings.Contains(strings.Join(result.wrong, " "), kind) {
				return result, true
			}
		}
		return dayResult{}, false
	}
	reduced, result := *d, dayResult{}
	for size := max(1, len(reduced.items)/2); size > 0; size /= 2 {
		for from := 0; from < len(reduced.items); {
			fewer := reduced
			fewer.items = slices.Concat(reduced.items[:from], reduced.items[min(from+size, len(reduced.items)):])
			if again, failed := fails(&fewer); failed {
				reduced, result = fewer, again
			} else {
				from += size
			}
		}
	}
	t.Logf("reduced: guaranteed %d, workers %v", reduced.guaranteed, reduced.labels)
	for i := range reduced.items {
		t.Log(reduced.items[i].String())
	}
	t.Log(result.wrong)
	for _, line := range result.lines {
		t.Log(line.at.Format("05.000"), line.text)
	}
}
