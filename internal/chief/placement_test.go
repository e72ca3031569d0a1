package chief_test

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against a new leader that starts no job of its predecessor's until the leases of every worker that it cannot reach have
// expired, and against one that starts a task again that such a worker may still run.
func TestSuccessorWaitsOnlyForTheWorkersOfAJob(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		env.submit(newJob("00000000000000e1", "scan", 1, 8))
		env.await(5*time.Second, "the first job runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000e1", 0))) == 1 })
		lost := env.fleet.RunningOn(taskID("00000000000000e1", 0))[0]
		leader.kill()
		env.submit(newJob("00000000000000e2", "scan", 2, 8)) // Stored before the next term, and started by nobody.
		env.net.SetFault("b", memnet.Host(lost+":1"), memnet.Fault{DropRequests: true, DropAnswers: true})
		env.store.Remove(fakepl.WorkerKey(lost))
		env.start("b", nil)
		env.await(4*time.Second, "the second job runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000e2", 1))) == 1 })
		env.Expect(env.fleet.StartCount(taskID("00000000000000e1", 0))).To(Equal(1))
		env.await(8*time.Second, "the first job runs again", func() bool { return env.fleet.StartCount(taskID("00000000000000e1", 0)) == 2 })
	})
}

// Guards against a run that no successor would know of: it is ordered before its worker is stored.
func TestNothingStartsBeforeItsPlacementIsStored(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		var refused atomic.Bool
		leader := env.start("a", refuseWrites(&refused, work.PlacementPrefix))
		env.sleep(3 * time.Second)
		refused.Store(true)
		env.submit(env.asGang(newJob("00000000000000e3", "scan", 3, 8)))
		env.submit(newJob("00000000000000e4", "scan", 1, 1))
		env.sleep(time.Second)
		env.Expect(env.fleet.StartCount(taskID("00000000000000e3", 0))).To(Equal(0))
		env.Expect(env.jobIntake.Cancel(env.ctx, "00000000000000e4")).To(Succeed())
		env.sleep(100 * time.Millisecond)
		refused.Store(false)
		env.await(500*time.Millisecond, "the gang runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000e3", 2))) == 1 })
		env.await(4*time.Second, "the gang is done", func() bool { return leader.state("00000000000000e3") == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID("00000000000000e4", 0))).To(Equal(0))
	})
}

// Guards against starts that wait for the timeout of a write whose answer was lost.
func TestStartsGoOnWhenAnswersOfTheStoreAreLost(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.submit(newJob("00000000000000e5", "check", 1, 1))
		lostAnswers := 1
		env.store.SetFault(func(path string) fakepl.Fault {
			if path == fakepl.PathTxn && lostAnswers > 0 {
				lostAnswers--
				return fakepl.LostAnswer
			}
			return fakepl.Healthy
		})
		env.await(600*time.Millisecond, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000e5", 0))) == 1 })
		env.Expect(lostAnswers).To(Equal(0))
	})
}

// Guards against a takeover that takes seconds while the store is slow, because the state is read in one call after another.
func TestTakeoverWithASlowStore(t *testing.T) {
	const storeDelay = 200 * time.Millisecond
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		leader.kill()
		env.submit(newJob("00000000000000e6", "check", 1, 1))
		env.net.SetFault("b", storeAddress, memnet.Fault{Delay: storeDelay})
		successor := env.start("b", nil)
		env.await(6*time.Second, "b leads", func() bool { return successor.chief.Load() != nil })
		// The time of three calls: the state, the placement of the job, and what is left for the workers.
		env.await(3*storeDelay, "the job runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000e6", 0))) == 1 })
	})
}

// Guards against a job from before placements were stored whose record, written later, hides where else it may run.
func TestUnknownPlacementStaysUnknown(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		env.submit(newJob("00000000000000e7", "scan", 1, 8)) // Before the first leader has marked that it stores placements.
		leader := env.start("a", nil)
		env.await(9*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000e7", 0))) == 1 })
		running := env.fleet.RunningOn(taskID("00000000000000e7", 0))[0]
		for _, w := range env.workers {
			if w.ID != running {
				env.net.SetFault("b", memnet.Host(w.Address), memnet.Fault{DropRequests: true, DropAnswers: true})
			}
		}
		for _, w := range env.workers {
			if w.ID == running {
				w.Crash() // Its run is gone, and the task could start again at once if no other worker might run it.
				w.Start()
				env.heartbeat(w)
			}
		}
		leader.kill()
		env.start("b", nil)
		env.sleep(5 * time.Second)
		env.Expect(env.fleet.StartCount(taskID("00000000000000e7", 0))).To(Equal(1))
		env.await(8*time.Second, "it runs again", func() bool { return env.fleet.StartCount(taskID("00000000000000e7", 0)) == 2 })
	})
}
