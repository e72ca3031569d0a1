package chief_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// totalStarts returns the number of runs of all tasks of a job's first step.
func (e *testEnv) totalStarts(id model.JobID, tasks int) int {
	total := 0
	for index := range tasks {
		total += e.fleet.StartCount(taskID(string(id), index))
	}
	return total
}

// outcomes makes runs of urgent jobs take less time than those of other jobs, whose ids begin with "b".
func (e *testEnv) outcomes(urgent, other time.Duration) {
	e.fleet.Outcome = func(task string, _ int64, _ string) fakepl.Outcome {
		if task[0] == 'b' {
			return fakepl.Outcome{After: other, How: "done"}
		}
		return fakepl.Outcome{After: urgent, How: "done"}
	}
}

// Pattern: urgent jobs that need whole workers come one after another, beside background tasks with one accelerator each. Guards
// against idle workers that the background tasks share, so that each urgent job stops tasks on several of them.
func TestUrgentGangsFindWholeWorkers(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.start("a", nil)
		env.outcomes(time.Second, time.Minute)
		env.sleep(3 * time.Second)
		env.submit(env.asGang(newJob("a000000000000001", "check", 2, 8)))
		env.await(time.Second, "the urgent gang runs", func() bool { return len(env.fleet.RunningOn(taskID("a000000000000001", 1))) == 1 })
		background := newJob("b000000000000001", "tally", 16, 1)
		background.Steps[0].PerWorker = 4
		env.submit(background)
		env.await(2*time.Second, "the urgent gang is done", func() bool { return len(env.fleet.RunningOn(taskID("a000000000000001", 1))) == 0 })
		env.sleep(time.Second)
		env.submit(env.asGang(newJob("a000000000000002", "check", 2, 8)))
		env.await(100*time.Millisecond, "the next gang runs", func() bool { return len(env.fleet.RunningOn(taskID("a000000000000002", 1))) == 1 })
		env.Expect(env.totalStarts("b000000000000001", 16)).To(Equal(8))
		env.await(15*time.Second, "all background tasks run", func() bool { return env.totalStarts("b000000000000001", 16) == 16 })
	})
}

// Pattern: urgent jobs wait when another instance takes over. Guards against work that the new leader stops on the first workers that
// answer, while others are idle.
func TestSuccessorPreemptsOnlyAfterItHasSeenTheWorkers(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		env.outcomes(time.Second, time.Minute)
		env.sleep(3 * time.Second)
		env.submit(newJob("b000000000000001", "scan", 2, 8))
		env.await(time.Second, "the tasks run", func() bool { return env.totalStarts("b000000000000001", 2) == 2 })
		busy := map[string]bool{}
		for index := range 2 {
			busy[env.fleet.RunningOn(taskID("b000000000000001", index))[0]] = true
		}
		for _, w := range env.workers {
			if !busy[w.ID] {
				env.net.SetFault("b", memnet.Host(w.Address), memnet.Fault{Delay: 200 * time.Millisecond})
			}
		}
		leader.kill()
		env.submit(env.asGang(newJob("a000000000000001", "check", 2, 8)))
		env.start("b", nil)
		env.await(4*time.Second, "the urgent gang runs", func() bool { return len(env.fleet.RunningOn(taskID("a000000000000001", 1))) == 1 })
		env.Expect(env.totalStarts("b000000000000001", 2)).To(Equal(2))
		env.Expect(env.fleet.RunningOn(taskID("b000000000000001", 0))).To(HaveLen(1))
		env.Expect(env.fleet.RunningOn(taskID("b000000000000001", 1))).To(HaveLen(1))
	})
}
