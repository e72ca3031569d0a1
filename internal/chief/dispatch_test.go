package chief_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// waitingStarts is the number of tasks of a test whose starts do not all fit into the orders that may be in flight.
const waitingStarts = 400

// Guards against starts of a cancelled job that wait for their turn until a cut ends, and are then sent: seconds after the cancel.
func TestWaitingStartsOfACancelledJobAreDropped(t *testing.T) {
	withTestEnv(t, 1, func(env *testEnv) {
		env.start("a", nil)
		env.sleep(3 * time.Second)
		worker := env.workers[0].ID
		env.cut("a", worker, true)
		job := newSmallTasks("0000000000000d01", waitingStarts)
		env.submit(job)
		env.sleep(500 * time.Millisecond)
		env.Expect(env.jobIntake.Cancel(env.ctx, job.ID)).To(Succeed())
		env.sleep(4 * time.Second)
		env.cut("a", worker, false)
		env.sleep(10 * time.Second)
		env.Expect(env.startCounts(job)).To(Equal(map[int]int{0: waitingStarts}))
	})
}

// Guards against a start that got no answer and is sent once more although its job was cancelled meanwhile.
func TestUnansweredStartOfACancelledJobIsNotRepeated(t *testing.T) {
	withTestEnv(t, 1, func(env *testEnv) {
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.cut("a", env.workers[0].ID, true)
		job := newJob("0000000000000d07", "scan", 1, 1)
		env.submit(job)
		env.sleep(200 * time.Millisecond)
		env.Expect(env.jobIntake.Cancel(env.ctx, job.ID)).To(Succeed())
		env.sleep(100 * time.Millisecond)
		env.cut("a", env.workers[0].ID, false)
		env.sleep(5 * time.Second)
		env.Expect(env.fleet.StartCount(taskID(string(job.ID), 0))).To(Equal(0))
	})
}

// Guards against starts on a worker that answers, decided before it was to get no more work and sent after orders to another worker, which
// does not answer.
func TestWaitingStartsAreCheckedAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(env *testEnv, id model.JobID, worker string)
	}{
		{name: "job is cancelled", change: func(env *testEnv, id model.JobID, _ string) {
			env.Expect(env.jobIntake.Cancel(env.ctx, id)).To(Succeed())
		}},
		{name: "worker drains", change: func(env *testEnv, _ model.JobID, worker string) { env.drain(worker, time.Minute) }},
		{name: "worker has left the registry", change: func(env *testEnv, _ model.JobID, worker string) {
			env.store.Remove(platform.RegistryKeyPrefix + worker)
		}},
		{name: "data centre is out of service", change: func(env *testEnv, _ model.JobID, _ string) { env.outOfService.Store(true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestEnv(t, 2, func(env *testEnv) {
				env.start("a", nil)
				env.sleep(3 * time.Second)
				env.cut("a", env.workers[0].ID, true)
				first := newSmallTasks("0000000000000d03", waitingStarts)
				first.Steps[0].Label = work.Label(env.workers[0].Labels[1])
				env.submit(first)
				env.sleep(100 * time.Millisecond)
				job := newSmallTasks("0000000000000d04", 10)
				job.Steps[0].Label = work.Label(env.workers[1].Labels[1])
				env.submit(job)
				env.sleep(400 * time.Millisecond)
				c.change(env, job.ID, env.workers[1].ID)
				env.sleep(8 * time.Second)
				env.Expect(env.startCounts(job)).To(Equal(map[int]int{0: 10}))
			})
		})
	}
}

// Guards against a gang that starts in part because the start of one member was dropped.
func TestGangWithADroppedStartDoesNotStart(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.start("a", nil)
		env.sleep(3 * time.Second)
		silent, leaving := env.workers[:2], env.workers[2]
		for _, w := range silent {
			env.cut("a", w.ID, true)
		}
		first := newSmallTasks("0000000000000d08", waitingStarts)
		first.Steps[0].Label = work.Label(silent[0].Labels[1])
		env.submit(first)
		env.sleep(100 * time.Millisecond)
		gang := newJob("0000000000000d09", "scan", 2, 8)
		gang.Steps[0].Label = work.Label(leaving.Labels[1])
		env.submit(env.asGang(gang))
		env.sleep(400 * time.Millisecond)
		env.drain(leaving.ID, time.Minute)
		env.sleep(8 * time.Second)
		env.Expect(env.startCounts(gang)).To(Equal(map[int]int{0: 2}))
	})
}

// Guards against starts that are sent to a worker, in turn and each for its three attempts, although it is known not to answer.
func TestWaitingStartsLeaveASilentWorker(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		env.submit(newJob("0000000000000d05", "scan", 1, 1))
		env.await(time.Second, "it runs", func() bool { return env.fleet.StartCount(taskID("0000000000000d05", 0)) == 1 })
		worker := env.fleet.RunningOn(taskID("0000000000000d05", 0))[0]
		env.cut("a", worker, true)
		env.sleep(600 * time.Millisecond)
		job := newSmallTasks("0000000000000d06", waitingStarts)
		env.submit(job)
		// Three attempts of the starts that are in flight, and what the other starts take.
		env.await(2*time.Second, "all other tasks run", func() bool { return env.startCounts(job)[1] >= waitingStarts-128 })
	})
}

// Guards against tasks that are lost with their dropped starts: they start elsewhere, each once.
func TestDroppedStartsArePlannedAgain(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		env.cut("a", env.workers[0].ID, true)
		job := newSmallTasks("0000000000000d02", waitingStarts)
		env.submit(job)
		env.sleep(500 * time.Millisecond)
		env.drain(env.workers[0].ID, time.Minute)
		env.sleep(4 * time.Second)
		env.cut("a", env.workers[0].ID, false)
		env.await(10*time.Second, "the job is completed", func() bool { return leader.state(job.ID) == work.StateCompleted })
		env.Expect(env.startCounts(job)).To(Equal(map[int]int{1: waitingStarts}))
	})
}

// Guards against starts that wait behind the stops of many runs on a silent worker, each of which runs into its timeout and is sent again.
// The rule counts calm times only; the callers wait all the same.
func TestStartsDoNotWaitBehindStopsOnASilentWorker(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] == 'c' {
				return fakepl.Outcome{Hang: true}
			}
			return runsOf(2*time.Second)(task, run, worker)
		}
		env.start("a", nil)
		env.sleep(3 * time.Second)
		const id model.JobID = "c000000000000001"
		job := newJob(string(id), "scan", 1200, 0)
		job.Steps[0].Label, job.Steps[0].Need = "r1", work.Resources{CPU: 10, Memory: 10}
		watch.load(job)
		env.await(4*time.Second, "all tasks run on one worker", func() bool { return len(env.workers[0].Running()) == job.Steps[0].Count })
		env.cut("a", env.workers[0].ID, true)
		env.Expect(env.jobIntake.Cancel(env.ctx, id)).To(Succeed())
		env.sleep(100 * time.Millisecond)
		sound := newJob("0000000000000e90", "check", 1, 1)
		sound.Steps[0].Label = "r2" // A start on the silent worker would be in doubt until its lease is over.
		watch.submit(sound)
		env.sleep(20 * time.Second)
		watch.expectNoneStood()
	})
}
