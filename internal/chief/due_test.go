package chief_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against jobs that overtake others because the time of day jumped on the instance that accepted them.
func TestClockJumpsDoNotChangeTheOrderOfJobs(t *testing.T) {
	for _, c := range []struct {
		name string
		jump time.Duration // of the clock that accepts the first job
	}{
		{name: "no jump"},
		{name: "8 s ahead", jump: 8 * time.Second},
		{name: "8 s behind", jump: -8 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestEnv(t, 1, func(env *testEnv) {
				env.start("a", nil)
				env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: 6 * time.Second, How: "done"} }
				env.submit(newJob("a000000000000001", "check", 1, 8))
				env.await(5*time.Second, "the worker is in use", func() bool { return len(env.fleet.RunningOn(taskID("a000000000000001", 0))) == 1 })
				accept := func(id string, jump time.Duration) {
					env.jobIntake.Now = func() time.Time { return time.Now().Add(jump) }
					env.submit(newJob(id, "check", 1, 8))
					env.sleep(2500 * time.Millisecond)
				}
				accept("a000000000000002", max(c.jump, 0))
				accept("a000000000000003", min(c.jump, 0))
				env.await(3*time.Second, "the first job runs first", func() bool { return env.fleet.StartCount(taskID("a000000000000002", 0)) == 1 })
				env.Expect(env.fleet.StartCount(taskID("a000000000000003", 0))).To(Equal(0))
			})
		})
	}
}

// Guards against scheduled work that starts early because the leader's time of day jumps ahead after the job is known.
func TestClockJumpOfTheLeaderStartsNothingEarly(t *testing.T) {
	const id model.JobID = "a000000000000004"
	withTestEnv(t, 1, func(env *testEnv) {
		leader := env.start("a", nil)
		env.await(3*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		job := newJob(string(id), "scan", 1, 1)
		job.First, job.Every, job.Times = time.Now().Add(6*time.Second), time.Second, 2
		env.submit(job)
		env.sleep(time.Second)
		env.clockJump.Store(int64(8 * time.Second))
		env.sleep(4 * time.Second)
		env.Expect(env.fleet.StartCount(taskID(string(id), 0))).To(Equal(0))
		env.await(8*time.Second, "both occurrences are done", func() bool { return leader.state(id) == work.StateCompleted })
	})
}
