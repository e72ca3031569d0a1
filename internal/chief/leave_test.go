package chief_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// gangStarts returns how often each member of a gang of three was started.
func (e *testEnv) gangStarts(id model.JobID) []int {
	var starts []int
	for index := range 3 {
		starts = append(starts, e.fleet.StartCount(taskID(string(id), index)))
	}
	return starts
}

// Guards against a gang that goes on because its member on a leaving worker is done with its part, though the others are not: it is lost
// with that worker, and its tasks wait for the leases there.
func TestGangIsJudgedByItsSlowestMember(t *testing.T) {
	const id model.JobID = "00000000000000d5"
	withTestEnv(t, 6, func(env *testEnv) {
		leader := env.start("a", nil)
		first := taskID(string(id), 0)
		started := time.Now()
		env.fleet.Percent = func(task, _ string) int {
			if task == first {
				return 100
			}
			return int(5 * time.Since(started).Seconds())
		}
		leaving := env.startOne(env.asGang(newJob(string(id), "scan", 3, 8)))
		env.fleet.WithLock(func() {
			env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Second, How: "done"} }
		})
		env.sleep(3 * time.Second)
		env.drain(leaving, 1600*time.Millisecond)
		env.await(time.Second, "it runs elsewhere", func() bool {
			on := env.fleet.RunningOn(first)
			return len(on) == 1 && on[0] != leaving
		})
		env.await(2*time.Second, "it is completed", func() bool { return leader.state(id) == work.StateCompleted })
		env.Expect(env.gangStarts(id)).To(HaveEach(2))
	})
}

// Guards against a stop of a gang all of whose members would have ended before one of their workers leaves.
func TestGangThatEndsInTimeStays(t *testing.T) {
	const id model.JobID = "00000000000000d6"
	withTestEnv(t, 6, func(env *testEnv) {
		leader := env.start("a", nil)
		leaving := env.startOne(env.asGang(newJob(string(id), "scan", 3, 8)))
		env.sleep(runTime - 1500*time.Millisecond)
		env.drain(leaving, 2*time.Second)
		env.await(2*time.Second, "it is completed", func() bool { return leader.state(id) == work.StateCompleted })
		env.Expect(env.gangStarts(id)).To(HaveEach(1))
	})
}

// Guards against a gang that is stopped at the notice although its checkpoint would keep its progress until shortly before its worker
// leaves, and against one that goes on beyond that.
func TestGangWithCheckpointsUsesTheTimeOfALeavingWorker(t *testing.T) {
	const id model.JobID = "00000000000000d7"
	withTestEnv(t, 6, func(env *testEnv) {
		env.start("a", nil)
		job := env.asGang(newJob(string(id), "scan", 3, 8))
		job.Steps[0].Checkpoints = true
		leaving := env.startOne(job)
		env.drain(leaving, 3*time.Second)
		env.sleep(2 * time.Second)
		env.Expect(env.gangStarts(id)).To(HaveEach(1))
		env.await(time.Second, "it runs elsewhere", func() bool {
			on := env.fleet.RunningOn(taskID(string(id), 0))
			return len(on) == 1 && on[0] != leaving
		})
		env.awaitPoll() // The starts of its other members are answered.
		env.Expect(env.gangStarts(id)).To(HaveEach(2))
	})
}
