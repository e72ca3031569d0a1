package chief_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against a task that is started again although its run is done: the worker has listed the end, but this leader is too slow, or
// cut off, to read it before the leases have expired.
func TestTaskOfASilentRegisteredWorkerIsNotRepeated(t *testing.T) {
	const id model.JobID = "00000000000000f1"
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: 3 * time.Second, How: "done"} }
		env.submit(newJob(string(id), "scan", 1, 1))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID(string(id), 0))) == 1 })
		env.awaitPoll()
		worker := memnet.Host(env.fleet.RunningOn(taskID(string(id), 0))[0] + ":1")
		env.net.SetFault("a", worker, memnet.Fault{DropRequests: true, DropAnswers: true})
		env.sleep(7500 * time.Millisecond)
		env.net.SetFault("a", worker, memnet.Fault{})
		env.await(2*time.Second, "the job is completed", func() bool { return leader.state(id) == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID(string(id), 0))).To(Equal(1))
	})
}

// Guards against work that waits for ever for a worker that renews its registration but cannot be reached.
func TestTaskOfAnUnreachableRegisteredWorkerStartsElsewhere(t *testing.T) {
	const id model.JobID = "00000000000000f2"
	withTestEnv(t, 2, func(env *testEnv) {
		env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		env.submit(newJob(string(id), "scan", 1, 1))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID(string(id), 0))) == 1 })
		env.awaitPoll()
		worker := memnet.Host(env.fleet.RunningOn(taskID(string(id), 0))[0] + ":1")
		env.net.SetFault("a", worker, memnet.Fault{DropRequests: true, DropAnswers: true})
		env.await(11*time.Second, "it runs elsewhere", func() bool { return env.fleet.StartCount(taskID(string(id), 0)) == 2 })
	})
}

// Guards against a task that is held for the longest lease since its start had no answer: its worker was lost, which nobody has noticed as
// nothing ran on it, and its registration has not expired yet.
func TestStartInDoubtHoldsItsTaskForAShortLease(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.start("a", nil)
		env.sleep(5 * time.Second)
		registration := env.store.Value(fakepl.WorkerKey(env.workers[0].ID))
		watch.lose(env.workers[0].ID)
		env.store.Put(fakepl.WorkerKey(env.workers[0].ID), registration)
		env.sleep(2 * time.Second)
		watch.submit(newJob("0000000000000e91", "scan", 1, 1))
		env.sleep(2 * time.Second)
		env.store.Remove(fakepl.WorkerKey(env.workers[0].ID))
		env.sleep(10 * time.Second)
		watch.expectNoneStood()
		env.Expect(env.fleet.StartCount(taskID("0000000000000e91", 0))).To(Equal(1))
	})
}

// Guards against a run that lapses, or that is started a second time, since only its short first lease was counted: polls extend it.
func TestRunOutlivesTheLeaseOfItsStart(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		env.fleet.Outcome = runsOf(20 * time.Second)
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		env.submit(newJob("0000000000000e92", "scan", 1, 1))
		env.await(24*time.Second, "it is done", func() bool { return leader.state("0000000000000e92") == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID("0000000000000e92", 0))).To(Equal(1))
	})
}
