package chief_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against a gang that is stopped again and again for an urgent gang that does not fit even then: of its tasks, a worker takes fewer
// than fit there.
func TestGangIsNotStoppedForAnUrgentGangThatCannotStart(t *testing.T) {
	withGangEnv(t, 4, 1, func(env *testEnv, watch *standingWatch) {
		env.fleet.Outcome = runsOf(10 * time.Second)
		// One worker is taken by work within a guarantee of its own, which makes way for nobody's.
		config := testConfig()
		config.Tenants["other"] = work.Tenant{Name: "other", Guaranteed: 8}
		env.inForce.Store(config)
		guaranteed := newLastingLoad("f000000000000003", "r3", 1, 8)
		guaranteed.Queue, guaranteed.Tenant = "check", "other"
		watch.load(guaranteed)
		watch.load(newLastingLoad("f0000000000000ff", "r0", 1, 4))
		env.sleep(2 * time.Second)
		gang := env.asGang(newJob("b000000000000d02", "scan", 2, 8))
		watch.submitFitting(gang, 0)
		env.awaitAllRun(time.Second, gang, "it runs")
		urgent := newJob("a000000000000d02", "check", 4, 2)
		urgent.Steps[0].PerWorker = 1
		watch.load(env.asGang(urgent))
		env.sleep(40 * time.Second)
		env.Expect(env.fleet.StartCount(taskID(string(gang.ID), 0))).To(Equal(1))
		env.Expect(env.fleet.Done(taskID(string(gang.ID), 0))).To(BeTrue())
		watch.expectNoneStood()
	})
}

// Guards against a worker at rest that nobody probes beside room for a job there: the turn to probe goes to a job that has had nothing
// running for longer, and that cannot run on this worker at all.
func TestTurnToProbeGoesToAJobThatTheWorkerSuits(t *testing.T) {
	withGangEnv(t, 2, 1, func(env *testEnv, watch *standingWatch) {
		env.config.Queue("tally").MaxAttempts = 3
		hangs := false
		env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] == 'b' {
				hangs = run == 1
			}
			if hangs {
				return fakepl.Outcome{Hang: true}
			}
			return runsOf(2*time.Second)(task, run, worker)
		}
		env.fleet.Percent = func(task, _ string) int {
			if hangs {
				return 0
			}
			return int(time.Since(env.startedAt)/(100*time.Millisecond)) % 100
		}
		watch.loadRacks(1, 0)
		waits := newJob("d000000000000d03", "scan", 1, 8)
		waits.Steps[0].Label = "r0" // Its worker is full until the end of the test.
		watch.load(waits)
		env.sleep(time.Second)
		watch.submit(newJob("b000000000000d04", "tally", 1, 1))
		env.sleep(20 * time.Second)
		watch.expectNoneStood()
	})
}
