package chief_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against two waits one after the other: for the leases of a lost worker, and from then on for another worker in the rack of the
// data. Either alone is within the bound.
func TestLostWorkerAndRackOfTheDataAreNotWaitedForInTurn(t *testing.T) {
	const id model.JobID = "00000000000000b2"
	withTestEnv(t, 4, func(env *testEnv) {
		env.label(env.workers[1], "a", "r1", "x1")
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(5 * time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		watch.load(newLastingLoad("f000000000000001", "x1", 1, 8))
		env.sleep(time.Second)
		job := newJob(string(id), "scan", 1, 1)
		job.Steps[0].DataRack, job.Steps[0].Estimate = "r1", 1500*time.Millisecond
		watch.submit(job)
		env.await(time.Second, "it runs", func() bool { return env.fleet.StartCount(taskID(string(id), 0)) == 1 })
		env.sleep(time.Second)
		env.Expect(env.fleet.RunningOn(taskID(string(id), 0))).To(Equal([]string{"w-00"}))
		watch.lose("w-00")
		env.sleep(16 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a new leader that waits, from its own start on, for the leases of a worker that was lost together with its predecessor.
func TestJobDoesNotStandForAWorkerLostWithTheLeader(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(5 * time.Second)
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		watch.submit(newJob("00000000000000b3", "scan", 1, 1))
		env.await(time.Second, "it runs", func() bool { return env.fleet.StartCount(taskID("00000000000000b3", 0)) == 1 })
		env.sleep(500 * time.Millisecond)
		watch.lose(env.fleet.RunningOn(taskID("00000000000000b3", 0))[0])
		watch.kill(leader)
		env.start("b", nil)
		env.sleep(20 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a new leader that waits for the leases of a lost worker on which all runs of a job had ended, with their ends stored.
func TestJobDoesNotStandForAWorkerWhereItsRunsHaveEnded(t *testing.T) {
	const id model.JobID = "00000000000000b4"
	for _, c := range []struct {
		name string
		how  string // the first run ends, on w-00
		next string // task that runs when the leader stops
	}{
		{name: "it was done, and the next step is due", how: "done", next: string(id) + ".0.1.0"},
		{name: "it has failed, and the last attempt is due", how: "failed", next: taskID(string(id), 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestEnv(t, 4, func(env *testEnv) {
				watch := env.watchStanding()
				env.fleet.Outcome = func(task string, run int64, _ string) fakepl.Outcome {
					if task == taskID(string(id), 0) && run == 1 {
						return fakepl.Outcome{After: time.Second, How: c.how}
					}
					return fakepl.Outcome{After: 2 * time.Second, How: "done"}
				}
				leader := env.start("a", nil)
				env.sleep(3 * time.Second)
				job := newJob(string(id), "tally", 1, 1) // two attempts
				second := job.Steps[0]
				second.After, second.Label = []int{0}, "r2"
				job.Steps = append(job.Steps, second)
				watch.submit(job)
				env.await(time.Second, "it runs", func() bool { return env.fleet.StartCount(taskID(string(id), 0)) == 1 })
				env.Expect(env.fleet.RunningOn(taskID(string(id), 0))).To(Equal([]string{"w-00"}))
				env.sleep(1500 * time.Millisecond)
				env.Expect(env.fleet.RunningOn(c.next)).To(HaveLen(1))
				env.Expect(env.fleet.RunningOn(c.next)).NotTo(Equal([]string{"w-00"}))
				env.restartAllBut("w-00")
				watch.lose("w-00")
				watch.kill(leader)
				successor := env.start("b", nil)
				env.sleep(20 * time.Second)
				watch.expectNoneStood()
				env.Expect(successor.state(id)).To(Equal(work.StateCompleted))
			})
		})
	}
}

// restartAllBut restarts all workers but one: they come back at once, without their runs.
func (e *testEnv) restartAllBut(id string) {
	for _, w := range e.workers {
		if w.ID != id {
			w.Crash()
			w.Start()
			e.heartbeat(w)
		}
	}
}
