package chief_test

import (
	"fmt"
	"testing"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against jobs that can never be done and take all probes of the workers at rest, since they rank before others: each probe that
// fails puts off the end of the rest.
func TestHopelessJobsDoNotTakeAllProbes(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] == 'e' {
				return fakepl.Outcome{After: 200 * time.Millisecond, How: "failed"}
			}
			return runsOf(2*time.Second)(task, run, worker)
		}
		env.start("a", nil)
		env.sleep(4 * time.Second)
		for i := range 60 {
			watch.load(newJob(fmt.Sprintf("e%015d", i), "scan", 2, 1))
			if i%8 == 7 {
				watch.submit(newJob(fmt.Sprintf("0000000000000e5%d", i/8), "tally", 1, 1))
			}
			env.sleep(500 * time.Millisecond)
		}
		env.sleep(30 * time.Second)
		watch.expectNoneStood()
	})
}
