package chief_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// failOn makes all runs that start on some workers fail after 200 ms, until a time.
func (e *testEnv) failOn(workers []*fakepl.Worker, until time.Time) {
	e.fleet.WithLock(func() {
		before := e.fleet.Outcome
		e.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			faulty := slices.ContainsFunc(workers, func(w *fakepl.Worker) bool { return w.ID == worker })
			if faulty && time.Now().Before(until) {
				return fakepl.Outcome{After: 200 * time.Millisecond, How: "failed"}
			}
			return before(task, run, worker)
		}
	})
}

// Guards against workers that failed everything for some seconds, are sound again, and stay closed for up to 24 s, while they are the only
// ones with room.
func TestSoundWorkersOpenSoonAfterTheirFailures(t *testing.T) {
	for _, c := range []struct {
		name  string
		tasks int
		gpu   model.Accelerators
		fails time.Duration
	}{
		{name: "one failure after the other", tasks: 2, gpu: 8, fails: 10 * time.Second},
		{name: "many failures at once", tasks: 16, gpu: 1, fails: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestEnv(t, 4, func(env *testEnv) {
				env.config.Queue("tally").MaxAttempts = 100
				watch := env.watchStanding()
				env.fleet.Outcome = runsOf(2 * time.Second)
				env.start("a", nil)
				env.sleep(3 * time.Second)
				watch.load(newLastingLoad("f000000000000001", "r1", 2, 8))
				env.sleep(time.Second)
				watch.beginDisruption()
				env.failOn(env.workers[2:], time.Now().Add(c.fails))
				watch.load(newJob("d000000000000001", "tally", c.tasks, c.gpu))
				env.sleep(c.fails)
				watch.endDisruption()
				for i := range 3 {
					watch.submit(newJob(fmt.Sprintf("0000000000000c%02d", i), "scan", 1, 1))
				}
				env.sleep(28 * time.Second)
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against hopeless jobs, all tasks of which fail at once, that close all workers: then nothing starts anywhere.
func TestHopelessJobsDoNotCloseAllWorkers(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] == 'e' {
				return fakepl.Outcome{After: 200 * time.Millisecond, How: "failed"}
			}
			return runsOf(2*time.Second)(task, run, worker)
		}
		env.start("a", nil)
		env.sleep(4 * time.Second)
		watch.beginDisruption()
		for i := range 6 {
			watch.load(newJob(fmt.Sprintf("e%015d", i), "scan", 8, 1))
			env.sleep(500 * time.Millisecond)
		}
		watch.endDisruption()
		watch.submit(newJob("0000000000000c10", "scan", 1, 1))
		env.sleep(28 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a job whose tasks never get on, by their own fault, that closes all workers in turn: then nothing starts anywhere.
func TestHangingJobDoesNotCloseAllWorkers(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] == 'e' {
				return fakepl.Outcome{Hang: true}
			}
			return runsOf(2*time.Second)(task, run, worker)
		}
		env.fleet.Percent = func(task, _ string) int {
			if task[0] == 'e' {
				return 0
			}
			return int(time.Since(env.startedAt)/(100*time.Millisecond)) % 100
		}
		env.start("a", nil)
		env.sleep(4 * time.Second)
		watch.load(newJob("e000000000000001", "scan", 8, 4))
		env.await(9*time.Second, "its runs are stopped", func() bool { return len(env.workers[0].Running()) == 0 && env.totalStarts("e000000000000001", 8) > 0 })
		watch.submit(newJob("0000000000000c70", "scan", 1, 1))
		env.sleep(20 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against workers whose runs stood still for some seconds and that stay closed after that, while they are the only ones with room.
func TestSoundWorkersOpenSoonAfterTheirRunsStoodStill(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(4 * time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		watch.load(newLastingLoad("f000000000000001", "r1", 2, 8))
		env.sleep(time.Second)
		watch.beginDisruption()
		env.fleet.WithLock(func() {
			env.fleet.Percent = func(string, string) int { return 7 }
			env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{Hang: true} }
		})
		watch.submit(newJob("0000000000000c20", "scan", 2, 8))
		env.await(9*time.Second, "the runs are stopped", func() bool {
			return env.fleet.StartCount(taskID("0000000000000c20", 1)) == 1 &&
				len(env.fleet.RunningOn(taskID("0000000000000c20", 0)))+len(env.fleet.RunningOn(taskID("0000000000000c20", 1))) == 0
		})
		env.fleet.WithLock(func() {
			env.fleet.Percent = nil
			env.fleet.Outcome = runsOf(4 * time.Second)
		})
		watch.endDisruption()
		env.sleep(20 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against workers that take no starts in the rest of a term, once they have an end that must not be acknowledged and their list of
// ends is full.
func TestWorkersWithAFullListOfEndsTakeStarts(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		watch := env.watchStanding()
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.fleet.WithLock(func() {
			env.fleet.Outcome = func(_ string, run int64, _ string) fakepl.Outcome {
				return fakepl.Outcome{After: time.Duration(run) * 2 * time.Second, How: "done"}
			}
		})
		for i, w := range env.workers {
			job := newJob(fmt.Sprintf("0000000000000c3%d", i), "scan", 1, 1)
			job.Steps[0].DataRack, job.Steps[0].Estimate = work.Label(w.Labels[1]), time.Second
			watch.load(job)
			env.await(3*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID(string(job.ID), 0))) == 1 })
			env.Expect(env.fleet.RunningOn(taskID(string(job.ID), 0))).To(Equal([]string{w.ID}))
			watch.beginDisruption()
			env.cut("a", w.ID, true)
			env.await(16*time.Second, "it runs again", func() bool { return env.fleet.StartCount(taskID(string(job.ID), 0)) == 2 })
			env.cut("a", w.ID, false)
			watch.endDisruption()
			env.sleep(6 * time.Second)
		}
		env.endAllAt(time.Now())
		watch.load(newSmallTasks("0000000000000c40", manyEnds))
		env.sleep(20 * time.Second)
		watch.submit(newJob("0000000000000c41", "scan", 1, 1))
		env.sleep(20 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against faulty workers that are tried too often while they are the only ones with room: they use up the attempts of many waiting
// jobs. A fifth of the jobs may fail before it is known that the workers are at fault.
func TestFaultyWorkersDoNotUseUpTheAttemptsOfManyJobs(t *testing.T) {
	for faulty := range 2 {
		t.Run(fmt.Sprintf("faulty workers: %d", faulty+1), func(t *testing.T) {
			withTestEnv(t, 4, func(env *testEnv) {
				env.label(env.workers[2], "a", "r2", fmt.Sprintf("x%d", faulty))
				watch := env.watchStanding()
				env.fleet.Outcome = runsOf(2 * time.Second)
				leader := env.start("a", nil)
				env.sleep(3 * time.Second)
				watch.load(newLastingLoad("f000000000000001", "r1", 2, 8))
				watch.load(newLastingLoad("f000000000000002", "x0", 1, 8))
				env.sleep(time.Second)
				env.failOn(env.workers[2:], time.Now().Add(20*time.Second))
				var jobs []model.JobID
				for i := range 40 {
					job := newJob(fmt.Sprintf("0000000000000d%02d", i), "scan", 1, 1)
					watch.load(job)
					jobs = append(jobs, job.ID)
					env.sleep(500 * time.Millisecond)
				}
				env.sleep(60 * time.Second)
				ended := map[work.State]int{}
				for _, id := range jobs {
					ended[leader.state(id)]++
				}
				env.Expect(ended[work.StateFailed]).To(BeNumerically("<=", len(jobs)/5))
				env.Expect(ended[work.StateFailed] + ended[work.StateCompleted]).To(Equal(len(jobs)))
				t.Log(ended)
			})
		})
	}
}

// makeWorkersSlow has two workers count as slow: their tasks of a step take longer than the others of it. They are left with room, and the
// other workers are full. Other tasks take a time of their own.
func (w *standingWatch) makeWorkersSlow(others time.Duration) {
	const id = "b000000000000001"
	env := w.env
	took := map[string]time.Duration{
		taskID(id, 0): time.Minute, taskID(id, 1): time.Minute, taskID(id, 2): 12 * time.Second, taskID(id, 3): 12 * time.Second,
	}
	begun := time.Time{}
	env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
		if after, found := took[task]; found {
			begun = time.Now()
			return fakepl.Outcome{After: after, How: "done"}
		}
		return runsOf(others)(task, run, worker)
	}
	env.fleet.Percent = func(task, _ string) int {
		if after, found := took[task]; found {
			return int(100 * time.Since(begun) / after)
		}
		return int(time.Since(env.startedAt)/(500*time.Millisecond)) % 100
	}
	env.start("a", nil)
	env.sleep(3 * time.Second)
	w.load(newJob(id, "scan", 4, 6))
	env.sleep(time.Second)
	for _, index := range []int{0, 1} { // The workers of the long tasks are left with room.
		env.Expect(env.fleet.RunningOn(taskID(id, index))).To(Equal([]string{env.workers[index].ID}))
	}
	w.load(newLastingLoad("f000000000000001", "r2", 2, 2))
	env.sleep(4 * time.Second)
}

// Guards against sound workers that count as slow, and get no starts, because their tasks of a step are longer than the others of it.
func TestWorkersWithLongTasksGetStarts(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		watch.makeWorkersSlow(2 * time.Second)
		watch.submit(newJob("0000000000000c50", "scan", 1, 1))
		env.sleep(14 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against starts that are sent again and again to a worker that answers polls but no starts, while jobs have nothing running
// beside other workers. The rule counts calm times only; the callers wait all the same.
func TestStartsLeaveAWorkerThatAnswersNone(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.workers[0].SetFault(fakepl.FaultOn(fakepl.Silent, fakepl.PathStart))
		for i := range 3 {
			watch.submit(newJob(fmt.Sprintf("0000000000000c6%d", i), "scan", 1, 1))
		}
		env.sleep(20 * time.Second)
		watch.expectNoneStood()
	})
}
