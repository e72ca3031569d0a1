package chief_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
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

// Guards against faulty workers whose tasks fail only after some time: a probe that gets on for a second opens them for all, and what
// starts there uses up the attempts of many jobs. A fifth of the jobs may fail before it is known that the workers are at fault.
func TestLateFailuresDoNotUseUpTheAttemptsOfManyJobs(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		until := time.Now().Add(30 * time.Second)
		env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] != 'f' && (worker == "w-02" || worker == "w-03") && time.Now().Before(until) {
				return fakepl.Outcome{After: 2500 * time.Millisecond, How: "failed"}
			}
			return runsOf(4*time.Second)(task, run, worker)
		}
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		watch.load(newLoad("f000000000000001", "r1", 2, 8))
		env.sleep(time.Second)
		ended := map[work.State]int{}
		var jobs []model.JobID
		for i := range 40 {
			job := newJob(fmt.Sprintf("0000000000000d%02d", i), "scan", 1, 1)
			watch.load(job)
			jobs = append(jobs, job.ID)
			env.sleep(500 * time.Millisecond)
		}
		env.sleep(60 * time.Second)
		for _, id := range jobs {
			ended[leader.state(id)]++
		}
		env.Expect(ended[work.StateFailed]).To(BeNumerically("<=", len(jobs)/5))
	})
}
