package chief_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// runTime is the time of a run whose progress the fake workers report at their default rate.
const runTime = 5 * time.Second

// drain makes a worker drain and leave after a time, like one that is taken away at short notice.
func (e *testEnv) drain(id string, remaining time.Duration) {
	for _, w := range e.workers {
		if w.ID == id {
			w.Drain(remaining)
			e.heartbeat(w)
			time.AfterFunc(remaining, func() {
				w.Crash()
				e.net.SetHandler(memnet.Host(w.Address), nil)
				e.store.Remove(platform.RegistryKeyPrefix + id)
			})
		}
	}
}

// startOne submits a job of one task and returns the worker that runs it.
func (e *testEnv) startOne(job *work.Job) string {
	e.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: runTime, How: "done"} }
	job.Steps[0].Estimate = runTime
	e.submit(job)
	e.await(5*time.Second, "it runs", func() bool { return len(e.fleet.RunningOn(taskID(string(job.ID), 0))) == 1 })
	return e.fleet.RunningOn(taskID(string(job.ID), 0))[0]
}

// Guards against work that is lost with a worker that is taken away at short notice, and whose task then waits for the leases.
func TestRunsMoveOffALeavingWorker(t *testing.T) {
	const id model.JobID = "00000000000000d1"
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		leaving := env.startOne(newJob(string(id), "scan", 1, 8))
		env.sleep(time.Second)
		env.drain(leaving, 2*time.Second)
		env.await(500*time.Millisecond, "it runs elsewhere", func() bool {
			on := env.fleet.RunningOn(taskID(string(id), 0))
			return len(on) == 1 && on[0] != leaving
		})
		env.await(runTime+time.Second, "it is completed", func() bool { return leader.state(id) == work.StateCompleted })
	})
}

// Guards against a stop of work that would have ended before its worker leaves.
func TestRunsThatEndInTimeStayOnALeavingWorker(t *testing.T) {
	const id model.JobID = "00000000000000d2"
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		leaving := env.startOne(newJob(string(id), "scan", 1, 8))
		env.sleep(runTime - 1500*time.Millisecond)
		env.drain(leaving, 2*time.Second)
		env.await(2*time.Second, "it is completed", func() bool { return leader.state(id) == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID(string(id), 0))).To(Equal(1))
	})
}

// Guards against work that is stopped early although its checkpoint would have kept it until shortly before its worker leaves.
func TestRunsWithCheckpointsUseTheTimeOfALeavingWorker(t *testing.T) {
	const id model.JobID = "00000000000000d3"
	withTestEnv(t, 4, func(env *testEnv) {
		env.start("a", nil)
		job := newJob(string(id), "scan", 1, 8)
		job.Steps[0].Checkpoints = true
		leaving := env.startOne(job)
		env.drain(leaving, 3*time.Second)
		env.sleep(2 * time.Second)
		env.Expect(env.fleet.StartCount(taskID(string(id), 0))).To(Equal(1))
		env.await(time.Second, "it runs elsewhere", func() bool { return env.fleet.StartCount(taskID(string(id), 0)) == 2 })
	})
}

// Guards against a gang that loses a member with its worker: all members stop at the notice and start again together.
func TestGangsMoveOffALeavingWorker(t *testing.T) {
	const id model.JobID = "00000000000000d4"
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		leaving := env.startOne(env.asGang(newJob(string(id), "scan", 3, 8)))
		env.sleep(time.Second)
		env.drain(leaving, 2*time.Second)
		env.await(time.Second, "it runs elsewhere", func() bool {
			on := env.fleet.RunningOn(taskID(string(id), 0))
			return len(on) == 1 && on[0] != leaving
		})
		env.await(runTime+time.Second, "it is completed", func() bool { return leader.state(id) == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID(string(id), 1))).To(Equal(2))
	})
}
