package chief_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// manyEnds is more than the number of ends that a worker lists in one report.
const manyEnds = 1200

// newSmallTasks returns a job of many tasks, all of which fit on one worker at once.
func newSmallTasks(id model.JobID, tasks int) *work.Job {
	job := newJob(string(id), "scan", tasks, 0)
	job.Steps[0].Need = work.Resources{CPU: 10, Memory: 10}
	return job
}

// startCounts returns how many tasks of a job's first step have been started how often.
func (e *testEnv) startCounts(job *work.Job) map[int]int {
	counts := map[int]int{}
	for index := range job.Steps[0].Count {
		counts[e.fleet.StartCount(taskID(string(job.ID), index))]++
	}
	return counts
}

// endAllAt makes every run end as done at the same time.
func (e *testEnv) endAllAt(at time.Time) {
	e.fleet.WithLock(func() {
		e.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			return fakepl.Outcome{After: max(time.Second, time.Until(at)), How: "done"}
		}
	})
}

// cut drops the calls of an instance to a worker, or ends that.
func (e *testEnv) cut(instance, worker string, apart bool) {
	e.net.SetFault(memnet.Host(instance), memnet.Host(worker+":1"), memnet.Fault{DropRequests: apart, DropAnswers: apart})
}

// Guards against tasks that are done again and again because their ends are beyond the part of the list that one report shows.
func TestEndsBeyondOneReportAreKept(t *testing.T) {
	withTestEnv(t, 1, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		env.endAllAt(time.Now().Add(4 * time.Second))
		job := newSmallTasks("0000000000000e01", manyEnds)
		env.submit(job)
		env.await(10*time.Second, "the job is completed", func() bool { return leader.state(job.ID) == work.StateCompleted })
		env.Expect(env.startCounts(job)).To(Equal(map[int]int{1: manyEnds}))
	})
}

// Guards against a new leader that starts tasks again whose ends are beyond the part of the list that the first report shows.
func TestSuccessorReadsAllEnds(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		env.endAllAt(time.Now().Add(4 * time.Second))
		job := newSmallTasks("0000000000000e02", manyEnds)
		env.submit(job)
		env.sleep(3500 * time.Millisecond)
		env.Expect(env.startCounts(job)).To(Equal(map[int]int{1: manyEnds}))
		leader.kill()
		successor := env.start("b", nil)
		env.await(8*time.Second, "the job is completed", func() bool { return successor.state(job.ID) == work.StateCompleted })
		env.Expect(env.startCounts(job)).To(Equal(map[int]int{1: manyEnds}))
	})
}

// Guards against a worker whose list of ends grows over what one report shows because its first end is never acknowledged: the ends of
// later runs would not be seen.
func TestWorkerWithAnUnacknowledgedEndStaysReadable(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		silent := env.repeatOnOtherWorker("0000000000000e03")
		env.fleet.WithLock(func() {
			env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Second, How: "done"} }
		})
		for _, w := range env.workers {
			if w.ID != silent {
				w.SetFault(fakepl.FaultOn(fakepl.Refused, fakepl.PathStart)) // All later work goes to the worker with the end that is not acknowledged.
			}
		}
		job := newSmallTasks("0000000000000e04", manyEnds)
		env.submit(job)
		env.sleep(8 * time.Second)
		for _, w := range env.workers {
			w.SetFault(nil)
		}
		env.await(8*time.Second, "the job is completed", func() bool { return leader.state(job.ID) == work.StateCompleted })
		env.Expect(env.startCounts(job)).To(Equal(map[int]int{1: manyEnds}))
	})
}

// Guards against a new leader that waits for ever for the rest of a list whose first ends it must not acknowledge.
func TestSuccessorGoesOnBesideAListThatItCannotRead(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		env.endAllAt(time.Now().Add(4 * time.Second))
		job := newSmallTasks("0000000000000e05", manyEnds)
		job.Steps[0].Need.CPU = 50
		env.submit(job)
		env.sleep(3 * time.Second)
		silent := env.fleet.RunningOn(taskID(string(job.ID), 0))[0]
		env.cut("a", silent, true)
		env.fleet.WithLock(func() {
			env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: 9 * time.Second, How: "done"} }
		})
		other := newJob("0000000000000e06", "scan", 1, 0)
		other.Steps[0].Need = work.Resources{CPU: 34000}
		env.submit(other) // Leaves room for half of the tasks on the other worker.
		env.await(14*time.Second, "some tasks run again", func() bool { return env.startCounts(job)[2] > manyEnds/3 })
		leader.kill()
		// The new leader learns first from the other worker that the tasks have a second run.
		env.net.SetFault("b", memnet.Host(silent+":1"), memnet.Fault{Delay: 100 * time.Millisecond})
		successor := env.start("b", nil)
		env.await(30*time.Second, "the job is completed", func() bool { return successor.state(job.ID) == work.StateCompleted })
	})
}

// Guards against a worker that gets no starts because its runs seem to make no progress, while they have ended and the store is too busy to
// let their ends be acknowledged.
func TestEndsNotYetListedAreNoLackOfProgress(t *testing.T) {
	withTestEnv(t, 1, func(env *testEnv) {
		var refused atomic.Bool
		leader := env.start("a", refuseWrites(&refused, work.ProgressPrefix))
		env.sleep(3 * time.Second)
		env.endAllAt(time.Now().Add(3 * time.Second))
		job := newSmallTasks("0000000000000e07", manyEnds)
		env.submit(job)
		env.sleep(2 * time.Second)
		refused.Store(true)
		env.sleep(5 * time.Second)
		refused.Store(false)
		env.await(2*time.Second, "the job is completed", func() bool { return leader.state(job.ID) == work.StateCompleted })
		env.submit(newJob("0000000000000e08", "scan", 1, 1))
		env.await(time.Second, "the next job runs", func() bool { return env.fleet.StartCount(taskID("0000000000000e08", 0)) == 1 })
		env.Expect(env.startCounts(job)).To(Equal(map[int]int{1: manyEnds}))
	})
}

// repeatOnOtherWorker submits a job whose run is done while its worker is cut off, waits until its task runs elsewhere, and returns the
// first worker, reachable again: it lists an end that must not be acknowledged.
func (e *testEnv) repeatOnOtherWorker(id string) string {
	e.fleet.WithLock(func() {
		e.fleet.Outcome = func(_ string, run int64, _ string) fakepl.Outcome {
			return fakepl.Outcome{After: time.Duration(run) * 2 * time.Second, How: "done"}
		}
	})
	e.submit(newJob(id, "scan", 1, 1))
	e.await(2*time.Second, "it runs", func() bool { return e.fleet.StartCount(taskID(id, 0)) == 1 })
	silent := e.fleet.RunningOn(taskID(id, 0))[0]
	e.cut("a", silent, true)
	e.await(12*time.Second, "it runs again", func() bool { return e.fleet.StartCount(taskID(id, 0)) == 2 })
	e.cut("a", silent, false)
	e.sleep(4 * time.Second)
	e.Expect(e.fleet.RunningOn(taskID(id, 0))).To(BeEmpty(), fmt.Sprintf("%s is done", id))
	return silent
}
