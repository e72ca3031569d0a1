package chief_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// longRuns makes tasks of jobs whose ids begin with "b" take a time for each percent of their work, and those of other jobs a second. Nothing
// gets on, and nothing ends, on workers that hang.
func (e *testEnv) longRuns(percent time.Duration, hangs func(worker string) bool) {
	type key struct{ task, worker string }
	var mu sync.Mutex
	since := map[key]time.Time{}
	e.fleet.Outcome = func(task string, _ int64, worker string) fakepl.Outcome {
		mu.Lock()
		defer mu.Unlock()
		since[key{task, worker}] = time.Now()
		after := time.Second
		if task[0] == 'b' {
			after = 100 * percent
		}
		return fakepl.Outcome{After: after, How: "done", Hang: hangs != nil && hangs(worker)}
	}
	e.fleet.Percent = func(task, worker string) int {
		mu.Lock()
		defer mu.Unlock()
		if hangs != nil && hangs(worker) {
			return 0
		}
		each := 10 * time.Millisecond
		if task[0] == 'b' {
			each = percent
		}
		return int(min(time.Since(since[key{task, worker}])/each, 99))
	}
}

// longJob returns a job of a tenant without a guarantee with tasks of one accelerator.
func longJob(id string, tasks int, estimate time.Duration) *work.Job {
	job := newJob(id, "tally", tasks, 1)
	job.Tenant = "small"
	job.Steps[0].Estimate = estimate
	return job
}

// Pattern: a large job with long tasks, whose estimate is missing or far too low, has runs on all workers; then a gang within a guarantee comes,
// at a moment drawn from the patience with its runs. Guards against sound runs that count as stuck, are stopped for ever, and close all workers
// for the guarantee.
func TestLongTasksKeepNoGuaranteeWaiting(t *testing.T) {
	for _, c := range []struct {
		name     string
		percent  time.Duration
		estimate time.Duration
		starts   int // of each task at most, without those after a preemption
	}{
		{"300 s without an estimate", 3 * time.Second, 0, 1},
		{"300 s, estimate 2 s", 3 * time.Second, 2 * time.Second, 2},
		{"an hour, no estimate", 36 * time.Second, 0, 3},
		{"an hour, estimate 2 s", 36 * time.Second, 2 * time.Second, 6},
	} {
		for _, at := range []time.Duration{2100 * time.Millisecond, 3 * time.Second, 10100 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, claimed after %v", c.name, at), func(t *testing.T) {
				withTestEnv(t, 4, func(env *testEnv) {
					env.longRuns(c.percent, nil)
					leader := env.start("a", nil)
					env.sleep(3 * time.Second)
					env.submit(longJob(string(lastingJob), 32, c.estimate))
					env.await(time.Second, "the long tasks run", func() bool { return env.atWork(lastingJob, 32) == 32 })
					env.sleep(at)
					env.submit(env.asGang(newJob(string(claimJob), "check", 16, 1)))
					env.await(reclaimBound, "the guaranteed gang starts", func() bool { return env.begun(claimJob, 16) })
					env.sleep(2 * time.Minute)
					env.Expect(env.totalStarts(lastingJob, 32)).To(BeNumerically("<=", 32*c.starts+16))
					env.Expect(leader.state(lastingJob)).To(Equal(work.StateRunning))
				})
			})
		}
	}
}

// Guards against a long task without an estimate that never ends since each of its runs is stopped.
func TestLongTaskWithoutAnEstimateEnds(t *testing.T) {
	for _, percent := range []time.Duration{3 * time.Second, 15 * time.Second} {
		t.Run(percent.String(), func(t *testing.T) {
			withTestEnv(t, 2, func(env *testEnv) {
				env.longRuns(percent, nil)
				leader := env.start("a", nil)
				env.sleep(3 * time.Second)
				env.submit(longJob(string(lastingJob), 1, 0))
				// Runs that are stopped before the first percent is done lose less than three percent of the work.
				env.await(104*percent+time.Second, "the job is completed", func() bool { return leader.state(lastingJob) == work.StateCompleted })
			})
		})
	}
}

// Guards against a worker that hangs and is never found, where no estimate tells how long a task takes.
func TestTaskWithoutAnEstimateLeavesAWorkerThatHangs(t *testing.T) {
	for _, tasks := range []int{1, 8} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) {
			withTestEnv(t, 2, func(env *testEnv) {
				env.longRuns(200*time.Millisecond, func(worker string) bool { return worker == "w-00" })
				leader := env.start("a", nil)
				env.sleep(3 * time.Second)
				job := longJob(string(lastingJob), tasks, 0)
				job.Steps[0].PerWorker = 8
				env.submit(job)
				env.await(45*time.Second, "the job is completed", func() bool { return leader.state(lastingJob) == work.StateCompleted })
			})
		})
	}
}

// Guards against a worker that is closed for all since one job's task makes no progress there, and against one that hangs and stays open once a
// second job has shown it.
func TestWorkerIsClosedWhenTwoJobsMakeNoProgressThere(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.label(env.workers[0], "a", "r1", "x0")
		env.longRuns(20*time.Millisecond, func(worker string) bool { return worker == "w-00" })
		env.start("a", nil)
		env.sleep(3 * time.Second)
		submit := func(id string, label work.Label) {
			job := newJob(id, "scan", 1, 1)
			job.Steps[0].Estimate, job.Steps[0].Label = time.Second, label
			env.submit(job)
		}
		const first, second, third model.JobID = "c000000000000001", "c000000000000002", "c000000000000003"
		runsOnFirstWorker := func(id model.JobID) func() bool {
			return func() bool {
				running := env.fleet.RunningOn(taskID(string(id), 0))
				return len(running) == 1 && running[0] == "w-00"
			}
		}
		isStopped := func(id model.JobID) func() bool { return func() bool { return !runsOnFirstWorker(id)() } }
		submit(string(first), "")
		env.await(time.Second, "the tightest fit is the first worker", runsOnFirstWorker(first))
		env.await(5*time.Second, "its run is stopped", isStopped(first))
		submit(string(second), "x0")
		env.await(500*time.Millisecond, "one job shows nothing for others", runsOnFirstWorker(second))
		env.await(5*time.Second, "its run is stopped", isStopped(second))
		env.Expect(env.fleet.Done(taskID(string(first), 0))).To(BeTrue(), "elsewhere")
		submit(string(third), "x0")
		env.sleep(1500 * time.Millisecond)
		env.Expect(env.fleet.StartCount(taskID(string(third), 0))).To(BeZero(), "two jobs close the worker")
	})
}

// Pattern: several jobs of one tenant have long tasks with an estimate that is far too low on all workers. Guards against jobs that close all
// workers together for another tenant's guarantee.
func TestManyLongJobsDoNotCloseAllWorkers(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.longRuns(36*time.Second, nil)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		for i := range 4 {
			job := longJob(fmt.Sprintf("b%015d", i), 8, time.Second)
			job.Steps[0].PerWorker = 2
			env.submit(job)
		}
		env.await(time.Second, "the long tasks run", func() bool { return env.atWork("b000000000000003", 8) == 8 })
		for round := range 6 {
			env.sleep(2100 * time.Millisecond)
			id := fmt.Sprintf("a%015d", round)
			env.submit(env.asGang(newJob(id, "check", 16, 1)))
			env.await(reclaimBound, "the guaranteed gang starts", func() bool { return env.begun(model.JobID(id), 16) })
		}
	})
}
