package chief_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against jobs that have nothing running beside free workers because each of several leaders waits anew for the leases of a worker
// that was lost before the first of them began.
func TestWaitForLostWorkersIsNotRepeatedByEachTerm(t *testing.T) {
	const id model.JobID = "00000000000000b1"
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: 5 * time.Second, How: "done"} }
		watch.submit(newJob(string(id), "scan", 1, 1))
		env.await(time.Second, "it runs", func() bool { return env.fleet.StartCount(taskID(string(id), 0)) == 1 })
		env.sleep(time.Second)
		watch.lose(env.fleet.RunningOn(taskID(string(id), 0))[0])
		env.sleep(2 * time.Second)
		watch.kill(leader)
		second := env.start("b", nil)
		env.await(5*time.Second, "b leads", func() bool { return second.chief.Load() != nil })
		env.sleep(3 * time.Second)
		watch.kill(second)
		third := env.start("c", nil)
		env.await(5*time.Second, "c leads", func() bool { return third.chief.Load() != nil })
		env.sleep(12 * time.Second)
		watch.expectNoneStood()
		env.Expect(env.fleet.StartCount(taskID(string(id), 0))).To(Equal(2))
	})
}
