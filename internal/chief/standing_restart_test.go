package chief_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// newGang returns a gang whose members end each by themselves, so that the scheduler stops the others after a failure.
func newGang(id string, queue work.QueueName, tasks int, gpu model.Accelerators) *work.Job {
	job := newJob(id, queue, tasks, gpu)
	job.Steps[0].Gang, job.Steps[0].Estimate = true, 10*time.Second
	return job
}

// spreadOverRacks puts two workers into each rack.
func (e *testEnv) spreadOverRacks() {
	for i, w := range e.workers {
		e.label(w, "a", fmt.Sprintf("r%d", i/2))
	}
}

// failFirstRun makes task 0 of a job fail once, some time after its first start. All other runs are done after 20 s.
func (e *testEnv) failFirstRun(id string, after time.Duration) {
	failed := false
	e.fleet.Outcome = func(task string, _ int64, _ string) fakepl.Outcome {
		if task == taskID(id, 0) && !failed {
			failed = true
			return fakepl.Outcome{After: after, How: "failed"}
		}
		return fakepl.Outcome{After: 20 * time.Second, How: "done"}
	}
}

// allRun reports whether all tasks of a job's first step run.
func (e *testEnv) allRun(job *work.Job) bool {
	for index := range job.Steps[0].Count {
		if len(e.fleet.RunningOn(taskID(string(job.ID), index))) != 1 {
			return false
		}
	}
	return true
}

// awaitAllRun waits until all tasks of a job's first step run, and logs how long that took.
func (e *testEnv) awaitAllRun(limit time.Duration, job *work.Job, what string) {
	e.t.Helper()
	e.t.Logf("%s: after %v", what, e.await(limit, what, func() bool { return e.allRun(job) }))
}

// awaitEnd waits until a task does not run.
func (e *testEnv) awaitEnd(limit time.Duration, task string) {
	e.t.Helper()
	e.await(limit, "the run ends", func() bool { return len(e.fleet.RunningOn(task)) == 0 })
}

// silence makes a worker answer no calls; it renews its registration.
func (e *testEnv) silence(w *fakepl.Worker) {
	w.SetFault(func(string) fakepl.Fault { return fakepl.Silent })
}

// Guards against a gang, wider than any rack, that waits for a single rack: before its first run under a new leader, and again after the
// failure of a member.
func TestWideGangRunsAgainAfterAFailedMember(t *testing.T) {
	const id = "0000000000001101"
	for _, c := range []struct {
		name  string
		tasks int
	}{{name: "room once over", tasks: 16}, {name: "room twice over", tasks: 8}} {
		t.Run(c.name, func(t *testing.T) {
			withTestEnv(t, 8, func(env *testEnv) {
				env.spreadOverRacks()
				watch := env.watchStanding()
				env.failFirstRun(id, 6*time.Second)
				leader := env.start("a", nil)
				env.sleep(6 * time.Second)
				watch.kill(leader)
				job := newGang(id, "scan", c.tasks, 4)
				job.Steps[0].SameRack = true
				watch.submitFitting(job, 0)
				env.start("b", nil)
				env.awaitAllRun(40*time.Second, job, "it runs under b")
				env.awaitEnd(8*time.Second, taskID(id, 0))
				env.awaitAllRun(40*time.Second, job, "it runs again")
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against a gang before its last attempt that waits for a silent worker which never had a run of it, or for nothing at all.
func TestGangBeforeItsLastAttemptRunsAgain(t *testing.T) {
	const id = "0000000000001102"
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent worker: %v", silent), func(t *testing.T) {
			withTestEnv(t, 8, func(env *testEnv) {
				env.spreadOverRacks()
				watch := env.watchStanding()
				env.failFirstRun(id, 6*time.Second)
				if silent {
					env.silence(env.workers[0])
				}
				leader := env.start("a", nil)
				env.sleep(6 * time.Second)
				watch.kill(leader)
				job := newGang(id, "tally", 14, 4) // two attempts
				watch.submitFitting(job, 0)
				env.start("b", nil)
				env.awaitAllRun(20*time.Second, job, "it runs under b")
				env.awaitEnd(8*time.Second, taskID(id, 0))
				env.awaitAllRun(20*time.Second, job, "it runs again")
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against a gang before its last attempt that waits for ever for a worker which never started a member: it had an order in an
// earlier term, does not answer, and stays registered. A wait as long as for a worker that has left the registry is allowed.
func TestLastAttemptDoesNotWaitForEverForASilentRegisteredWorker(t *testing.T) {
	const id = "0000000000001108"
	withTestEnv(t, 8, func(env *testEnv) {
		env.spreadOverRacks()
		env.failFirstRun(id, 6*time.Second)
		leader := env.start("a", nil)
		env.sleep(6 * time.Second)
		env.silence(env.workers[0])
		job := newGang(id, "tally", 14, 4) // two attempts
		env.submit(job)
		env.sleep(200 * time.Millisecond)
		env.restartAllBut(env.workers[0].ID)
		leader.kill()
		env.start("b", nil)
		env.awaitAllRun(20*time.Second, job, "it runs under b")
		env.awaitEnd(8*time.Second, taskID(id, 0))
		env.awaitAllRun(15*time.Second, job, "it runs again")
	})
}

// Guards against a gang, stopped for urgent work near its end, that stands beside room which is kept for more of that work.
func TestPreemptedGangRunsAgainAfterUrgentWork(t *testing.T) {
	const id = "b000000000001103"
	for _, c := range []struct {
		name          string
		tasks, urgent int // of 8 accelerators, on 4 workers
	}{{name: "room once over", tasks: 4, urgent: 1}, {name: "room twice over", tasks: 2, urgent: 4}} {
		for phase := range 5 {
			t.Run(fmt.Sprintf("%s, phase %d", c.name, phase), func(t *testing.T) {
				withTestEnv(t, 4, func(env *testEnv) {
					env.config.Tenants["big"] = work.Tenant{Name: "big", Guaranteed: 32}
					watch := env.watchStanding()
					env.outcomes(time.Second, 10*time.Second)
					env.start("a", nil)
					env.sleep(3 * time.Second)
					job := newGang(id, "scan", c.tasks, 8)
					watch.submitFitting(job, 0)
					env.awaitAllRun(time.Second, job, "it runs")
					env.sleep(9*time.Second + time.Duration(phase)*50*time.Millisecond)
					urgent := newJob("a000000000001103", "check", c.urgent, 8)
					watch.load(urgent)
					env.awaitAllRun(reclaimBound, urgent, "the urgent job runs")
					env.awaitAllRun(20*time.Second, job, "it runs again")
					watch.expectNoneStood()
				})
			})
		}
	}
}

// Guards against a gang that is started in each pause between urgent jobs, and stopped by the next one. What that loses is more than its
// own work soon. Beside room for both it ends.
func TestGangIsNotStoppedByEachUrgentJob(t *testing.T) {
	const id = "b000000000001104"
	for _, c := range []struct {
		name  string
		tasks int // of 8 accelerators, on 4 workers
	}{{name: "beside the room for one urgent job", tasks: 3}, {name: "in all room", tasks: 4}} {
		t.Run(c.name, func(t *testing.T) {
			withTestEnv(t, 4, func(env *testEnv) {
				watch := env.watchStanding()
				env.outcomes(time.Second, 10*time.Second)
				leader := env.start("a", nil)
				env.sleep(3 * time.Second)
				job := newGang(id, "scan", c.tasks, 8)
				watch.submitFitting(job, 0)
				env.awaitAllRun(time.Second, job, "it runs")
				ran := time.Duration(0) // with all its members
				go func() {
					for clock.Sleep(env.ctx, watchInterval) == nil {
						if env.allRun(job) {
							ran += watchInterval
						}
					}
				}()
				env.sleep(6 * time.Second)
				for i := range 30 {
					urgent := newJob(fmt.Sprintf("a0000000000012%02d", i), "check", 1, 8)
					watch.load(urgent)
					env.awaitAllRun(reclaimBound, urgent, "the urgent job runs")
					env.sleep(2 * time.Second)
				}
				starts, lost := env.fleet.StartCount(taskID(id, 0)), ran
				if leader.state(id) == work.StateCompleted {
					lost = max(0, lost-10*time.Second)
				}
				t.Logf("after 30 urgent jobs: %s, %d starts, %.0f core-seconds lost", leader.state(id), starts,
					lost.Seconds()*float64(c.tasks)*job.Steps[0].Need.Cores())
				env.Expect(starts).To(BeNumerically("<=", 3))
				env.await(20*time.Second, "it is done after the urgent jobs", func() bool { return leader.state(id) == work.StateCompleted })
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against a gang that does not run again once the lease of a lost member has lapsed, beside room for it once over.
func TestGangRunsAgainAfterTheLossOfAMembersWorker(t *testing.T) {
	const id = "0000000000001105"
	for _, sameRack := range []bool{false, true} {
		t.Run(fmt.Sprintf("same rack: %v", sameRack), func(t *testing.T) {
			withTestEnv(t, 5, func(env *testEnv) {
				env.spreadOverRacks()
				watch := env.watchStanding()
				env.fleet.Outcome = runsOf(time.Minute)
				env.start("a", nil)
				env.sleep(3 * time.Second)
				job := newGang(id, "scan", 4, 8)
				job.Steps[0].SameRack = sameRack
				watch.submitFitting(job, 0)
				env.awaitAllRun(40*time.Second, job, "it runs")
				env.sleep(3 * time.Second)
				lost := env.fleet.RunningOn(taskID(id, 0))[0]
				watch.lose(lost)
				env.awaitAllRun(40*time.Second, job, "it runs again")
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against a gang that stands after a planned change of leader, if one of its members fails in the first second of the new term.
func TestGangRunsAgainAfterAFailureEarlyInATerm(t *testing.T) {
	const id = "0000000000001106"
	for _, queue := range []work.QueueName{"scan", "tally"} {
		t.Run(string(queue), func(t *testing.T) {
			withTestEnv(t, 8, func(env *testEnv) {
				env.spreadOverRacks()
				watch := env.watchStanding()
				fails := time.Time{}
				env.fleet.Outcome = func(task string, run int64, _ string) fakepl.Outcome {
					if task == taskID(id, 0) && run == 1 {
						return fakepl.Outcome{After: time.Until(fails), How: "failed"}
					}
					return fakepl.Outcome{After: 20 * time.Second, How: "done"}
				}
				leader := env.start("a", nil)
				successor := env.start("b", nil)
				env.await(6*time.Second, "one leads", func() bool { return leader.leads() || successor.leads() })
				if successor.leads() {
					leader, successor = successor, leader
				}
				env.sleep(3 * time.Second)
				fails = time.Now().Add(5 * time.Second)
				job := newGang(id, queue, 16, 4)
				watch.submitFitting(job, 0)
				env.awaitAllRun(time.Second, job, "it runs")
				env.sleep(time.Until(fails) - 500*time.Millisecond)
				leader.elector.Resign(env.ctx)
				env.await(5*time.Second, "the other leads", successor.leads)
				t.Logf("the other leads %v before the failure", time.Until(fails))
				env.awaitEnd(5*time.Second, taskID(id, 0))
				env.awaitAllRun(20*time.Second, job, "it runs again")
				env.Expect(env.fleet.StartCount(taskID(id, 1))).To(Equal(2))
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against gangs that fail together on one faulty worker, and start there again or wait for it.
func TestGangsRunAgainWithoutTheFaultyWorker(t *testing.T) {
	withTestEnv(t, 8, func(env *testEnv) {
		env.spreadOverRacks()
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(20 * time.Second)
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		env.failOn(env.workers[:1], time.Now().Add(time.Minute))
		var gangs []*work.Job
		for i := range 3 {
			job := newGang(fmt.Sprintf("00000000000011%d7", i), "scan", 7, 2)
			job.Steps[0].PerWorker = 1
			watch.submitFitting(job, 0)
			gangs = append(gangs, job)
		}
		env.sleep(30 * time.Second)
		for _, job := range gangs {
			t.Logf("%s: %d starts", job.ID, env.fleet.StartCount(taskID(string(job.ID), 0)))
			env.Expect(leader.state(job.ID)).To(Equal(work.StateCompleted))
			env.Expect(env.fleet.StartCount(taskID(string(job.ID), 0))).To(Equal(2))
		}
		watch.expectNoneStood()
	})
}
