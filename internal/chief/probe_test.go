package chief_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against jobs that can never be done and take all probes of the workers at rest, since they rank before others: each probe that
// fails puts off the end of the rest.
func TestHopelessJobsDoNotTakeAllProbes(t *testing.T) {
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
		for i := range 60 {
			watch.load(newJob(fmt.Sprintf("e%015d", i), "scan", 2, 1))
			if i%8 == 7 {
				watch.submit(newJob(fmt.Sprintf("0000000000000e5%d", i/8), "tally", 1, 1))
			}
			env.sleep(500 * time.Millisecond)
		}
		env.sleep(30 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against faulty workers whose tasks fail only after some time: a probe that gets on for a second opens them for all, and what
// starts there uses up the attempts of many jobs. A fifth of the jobs may fail before it is known that the workers are at fault.
func TestLateFailuresDoNotUseUpTheAttemptsOfManyJobs(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		until := time.Now().Add(30 * time.Second)
		env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] != 'f' && (worker == "w-02" || worker == "w-03") && time.Now().Before(until) {
				return fakepl.Outcome{After: 2500 * time.Millisecond, How: "failed"}
			}
			return runsOf(4*time.Second)(task, run, worker)
		}
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		watch.load(newLastingLoad("f000000000000001", "r1", 2, 8))
		env.sleep(time.Second)
		ended := map[work.State]int{}
		var jobs []model.JobID
		for i := range 40 {
			job := newJob(fmt.Sprintf("0000000000000d%02d", i), "scan", 1, 1)
			watch.load(job)
			jobs = append(jobs, job.ID)
			env.sleep(500 * time.Millisecond)
		}
		env.sleep(60 * time.Second)
		for _, id := range jobs {
			ended[leader.state(id)]++
		}
		env.Expect(ended[work.StateFailed]).To(BeNumerically("<=", len(jobs)/5))
	})
}

// closeWorkers fills two of four workers, and makes one task after the other fail on each of the others, so that these get no starts for
// 12 s from now on. They are sound from here on.
func (w *standingWatch) closeWorkers() {
	e := w.env
	e.config.Queue("tally").MaxAttempts = 1
	closing := e.workers[2:]
	for i, worker := range closing {
		e.label(worker, "a", "r2", fmt.Sprintf("x%d", i))
	}
	e.sleep(3 * time.Second)
	w.load(newLastingLoad("f000000000000001", "r1", 2, 8))
	e.sleep(time.Second)
	w.beginDisruption()
	e.failOn(closing, time.Now().Add(11*time.Second))
	// Two failures in a row close a worker for 3 s, each further one for twice as long.
	for n, failure := range []struct {
		tasks int
		pause time.Duration
	}{{2, 3500 * time.Millisecond}, {1, 6500 * time.Millisecond}, {1, time.Second}} {
		for i := range closing {
			job := newJob(fmt.Sprintf("d0000000000000%d%d", n, i), "tally", failure.tasks, 1)
			job.Steps[0].Label = work.Label(fmt.Sprintf("x%d", i))
			w.load(job)
		}
		e.sleep(failure.pause)
	}
	w.endDisruption()
}

// Guards against jobs of a queue with advice that wait for workers at rest to their end: without a ticket they start no probe.
func TestAdvisedJobsDoNotStandForWorkersAtRest(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.config.Queue("scan").Advised = true
		env.advise = func(
			_ context.Context, _ work.StepID, workers []model.WorkerID,
		) (map[model.WorkerID]string, time.Duration, error) {
			tickets := map[model.WorkerID]string{}
			for _, worker := range workers {
				tickets[worker] = "ticket"
			}
			return tickets, ticketLife, nil
		}
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		env.start("a", nil)
		watch.closeWorkers()
		for i := range 3 {
			watch.submit(newJob(fmt.Sprintf("0000000000000e1%d", i), "scan", 1, 1))
		}
		env.sleep(28 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against workers that count as slow and take one run at a time, however long that takes, while several jobs stand beside them.
func TestSlowWorkersTakeTheRunsOfSeveralJobs(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		watch.makeWorkersSlow(10 * time.Second)
		for i := range 4 {
			watch.submit(newJob(fmt.Sprintf("0000000000000e2%d", i), "scan", 1, 1))
		}
		env.sleep(14 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a probe whose progress says nothing for long, while other jobs stand beside its worker: of a task that lasts, or of one
// that takes a quarter of an hour.
func TestJobsDoNotStandBehindALongProbe(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		t.Run(fmt.Sprintf("the task lasts: %v", lasts), func(t *testing.T) {
			withTestEnv(t, 4, func(env *testEnv) {
				watch := env.watchStanding()
				env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
					if task[0] == '9' {
						return fakepl.Outcome{Hang: true}
					}
					return runsOf(2*time.Second)(task, run, worker)
				}
				begun := map[string]time.Time{}
				env.fleet.Percent = func(task, _ string) int {
					switch {
					case task[0] != '9':
						return int(time.Since(env.startedAt)/(200*time.Millisecond)) % 100
					case lasts:
						return 0
					case begun[task].IsZero():
						begun[task] = time.Now()
					}
					return int(time.Since(begun[task]) / (10 * time.Second))
				}
				env.start("a", nil)
				watch.closeWorkers()
				for i := range 2 {
					job := newJob(fmt.Sprintf("900000000000000%d", i), "check", 1, 1)
					job.Steps[0].Lasts, job.Steps[0].Estimate = lasts, 1000*time.Second
					watch.submit(job)
				}
				env.sleep(200 * time.Millisecond)
				for i := range 2 {
					watch.submit(newJob(fmt.Sprintf("0000000000000e3%d", i), "scan", 1, 1))
				}
				env.sleep(28 * time.Second)
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against jobs whose queue allows a single attempt and that wait for workers at rest to their end: a last attempt is no probe.
func TestJobsOfOneAttemptDoNotStandForWorkersAtRest(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.config.Queue("scan").MaxAttempts = 1
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		env.start("a", nil)
		watch.closeWorkers()
		for i := range 3 {
			watch.submit(newJob(fmt.Sprintf("0000000000000e6%d", i), "scan", 1, 1))
		}
		env.sleep(28 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against runs that stand still and are found one after another, each of which puts off the probe of its worker.
func TestHangingTasksFoundInTurnDoNotPutOffProbes(t *testing.T) {
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
		for i := range 6 {
			job := newJob(fmt.Sprintf("e%015d", i), "scan", 4, 1)
			job.Steps[0].PerWorker, job.Steps[0].Estimate = 1, 40*time.Second
			watch.load(job)
			env.sleep(700 * time.Millisecond)
		}
		env.sleep(1400 * time.Millisecond)
		for i := range 8 {
			watch.submit(newJob(fmt.Sprintf("0000000000000e4%d", i), "scan", 1, 1))
			env.sleep(700 * time.Millisecond)
		}
		env.sleep(20 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against tasks that last and wait for workers at rest to their end, since each of these takes one task as a probe: every one of
// them has to run, whether others of its job do or not.
func TestEachLastingTaskStartsOnWorkersAtRest(t *testing.T) {
	const id, tasks = "fa00000000000001", 6
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		env.fleet.Percent = func(string, string) int { return 0 }
		env.start("a", nil)
		watch.closeWorkers()
		watch.load(newLastingLoad(id, "r2", tasks, 1))
		env.sleep(calmTime + standingLimit)
		running := 0
		for index := range tasks {
			running += len(env.fleet.RunningOn(taskID(id, index)))
		}
		env.Expect(running).To(Equal(tasks))
	})
}
