package chief_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a job that has nothing running beside idle workers, which an urgent job has reserved while its tasks wait for the rack of
// their data.
func TestJobDoesNotStandBesideRoomReservedForTasksThatWaitForARack(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(40 * time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		watch.load(newLastingLoad("f000000000000001", "r1", 2, 8))
		env.sleep(time.Second)
		urgent := newJob("a000000000000001", "check", 2, 8)
		urgent.Steps[0].DataRack, urgent.Steps[0].Estimate = "r1", 10*time.Second
		watch.load(urgent)
		env.sleep(500 * time.Millisecond)
		watch.submit(newJob("0000000000000e01", "scan", 1, 1))
		env.sleep(28 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a job with two steps that are due, of which the first has no room, so that the second is held back beside idle workers.
func TestSecondDueStepOfAJobDoesNotStand(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		watch.load(newLastingLoad("f000000000000001", "r1", 2, 8))
		env.sleep(time.Second)
		job := newJob("0000000000000e02", "scan", 1, 1)
		second := job.Steps[0]
		job.Steps[0].Label = "r1" // Its workers are full.
		second.DataRack, second.Estimate = "r1", 10*time.Second
		job.Steps = append(job.Steps, second)
		watch.submit(job)
		env.sleep(28 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a job whose time of standing begins anew with each term, while leaders hand over as planned, one after the other.
func TestTimeOfStandingIsCountedOverPlannedChangesOfTheLeader(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		next := env.start("b", nil)
		watch.load(newLastingLoad("f000000000000001", "r1", 2, 8))
		env.sleep(time.Second)
		job := newJob("0000000000000e03", "scan", 1, 1)
		job.Steps[0].DataRack, job.Steps[0].Estimate = "r1", 10*time.Second
		watch.submit(job)
		for change := range 3 {
			env.sleep(1500 * time.Millisecond)
			leader.elector.StopSoon(env.ctx)
			env.await(2*time.Second, "the next instance leads", func() bool { return next.chief.Load() != nil })
			leader.kill()
			leader, next = next, env.start(fmt.Sprintf("c%d", change), nil)
		}
		env.sleep(10 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against urgent tasks within the guarantee of their customer that wait for the rack of their data beside idle workers.
func TestGuaranteedTasksDoNotWaitForTheRackOfTheirData(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.fleet.Outcome = runsOf(40 * time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.submit(newLastingLoad("f000000000000001", "r1", 2, 8))
		env.sleep(time.Second)
		urgent := newJob("a000000000000002", "check", 2, 4)
		urgent.Steps[0].DataRack, urgent.Steps[0].Estimate = "r1", 10*time.Second
		env.submit(urgent)
		took := env.await(30*time.Second, "all tasks run", func() bool { return env.totalStarts(urgent.ID, 2) == 2 })
		env.Expect(took).To(BeNumerically("<", reclaimBound))
	})
}
