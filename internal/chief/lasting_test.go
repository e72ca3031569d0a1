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

const (
	lastingJob model.JobID = "b000000000000001"
	claimJob   model.JobID = "a000000000000001"
)

// newLastingJob returns a job of a tenant without a guarantee whose tasks have one accelerator and run until it is cancelled.
func newLastingJob(tasks int) *work.Job {
	job := newJob(string(lastingJob), "tally", tasks, 1)
	job.Tenant = "small"
	job.Steps[0].Lasts, job.Steps[0].Estimate = true, 0
	return job
}

// lastingOutcomes makes tasks of jobs whose ids begin with "b" run until they are stopped, and at work from their start. Others take a second.
func (e *testEnv) lastingOutcomes() {
	e.fleet.Outcome = func(task string, _ int64, _ string) fakepl.Outcome {
		return fakepl.Outcome{After: time.Second, How: "done", Hang: task[0] == 'b'}
	}
	e.fleet.Percent = func(task, _ string) int {
		if task[0] == 'b' {
			return 100
		}
		return 50
	}
}

// atWork returns how many tasks of a job's first step have a run.
func (e *testEnv) atWork(id model.JobID, tasks int) int {
	running := 0
	for index := range tasks {
		running += len(e.fleet.RunningOn(taskID(string(id), index)))
	}
	return running
}

// begun reports whether all tasks of a job's first step have been started.
func (e *testEnv) begun(id model.JobID, tasks int) bool {
	for index := range tasks {
		if e.fleet.StartCount(taskID(string(id), index)) == 0 {
			return false
		}
	}
	return true
}

// fill starts a leader and hands in a job that lasts, and waits until so many of its tasks are at work.
func (e *testEnv) fill(job *work.Job, atWork int) *instance {
	e.lastingOutcomes()
	leader := e.start("a", nil)
	e.sleep(3 * time.Second)
	e.submit(job)
	e.await(6*time.Second, "the tasks that last run", func() bool { return e.atWork(job.ID, job.Steps[0].Count) == atWork })
	e.sleep(2 * time.Second)
	return leader
}

// Pattern: a tenant without a guarantee fills all workers, or a part of each, with tasks that last; then work within a guarantee comes. Guards
// against a guarantee that is never served since tasks that last do not make way.
func TestGuaranteedWorkStartsBesideTasksThatLast(t *testing.T) {
	for _, c := range []struct {
		name         string
		lasting      int
		tasks        int
		accelerators model.Accelerators
		lent         int // tasks that last and need not make way
	}{
		{"all workers are full", 32, 8, 1, 24},
		{"one small task on each worker", 4, 2, 8, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestEnv(t, 4, func(env *testEnv) {
				leader := env.fill(newLastingJob(c.lasting), c.lasting)
				env.submit(newJob(string(claimJob), "check", c.tasks, c.accelerators))
				env.await(reclaimBound, "the guaranteed tasks start", func() bool { return env.begun(claimJob, c.tasks) })
				env.Expect(env.atWork(lastingJob, c.lasting)).To(BeNumerically(">=", c.lent))
				env.await(8*time.Second, "the tasks that last are back", func() bool { return env.atWork(lastingJob, c.lasting) == c.lasting })
				env.Expect(leader.state(lastingJob)).To(Equal(work.StateRunning), "its tenant is not blamed for the stops")
			})
		})
	}
}

// Guards against tasks that last and are stopped for work that is not guaranteed.
func TestTasksThatLastStayBesideUrgentWorkBeyondItsGuarantee(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.fill(newLastingJob(32), 32)
		env.submit(newJob(string(claimJob), "check", 17, 1))
		env.sleep(2 * reclaimBound)
		env.Expect(env.totalStarts(lastingJob, 32)).To(Equal(32))
		env.Expect(env.atWork(lastingJob, 32)).To(Equal(32))
	})
}

// Guards against work within a guarantee that makes way for another tenant's guarantee because its tasks last.
func TestGuaranteedTasksThatLastStay(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.config.Tenants["other"] = work.Tenant{Name: "other", Guaranteed: 16}
		env.config.Index()
		own := newLastingJob(16)
		own.Queue, own.Tenant = "check", "other"
		env.fill(own, 16)
		lent := newLastingJob(16)
		lent.ID = "b000000000000002"
		env.submit(lent)
		env.await(3*time.Second, "the lent room is full", func() bool { return env.atWork(lent.ID, 16) == 16 })
		env.sleep(2 * time.Second)
		env.submit(newJob(string(claimJob), "check", 16, 1))
		env.await(reclaimBound, "the guaranteed tasks start", func() bool { return env.begun(claimJob, 16) })
		env.Expect(env.totalStarts(own.ID, 16)).To(Equal(16))
	})
}

// Pattern: two tenants claim their guarantees in the same moment, again and again.
func TestTwoTenantsClaimBesideTasksThatLast(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.config.Tenants["other"] = work.Tenant{Name: "other", Guaranteed: 16}
		env.config.Index()
		env.fill(newLastingJob(32), 32)
		for round := range 5 {
			first, second := fmt.Sprintf("a00000000000010%d", round), fmt.Sprintf("a00000000000020%d", round)
			env.submit(newJob(first, "check", 16, 1))
			other := newJob(second, "check", 2, 8)
			other.Tenant = "other"
			env.submit(other)
			env.await(reclaimBound, "the guaranteed tasks start", func() bool {
				return env.begun(model.JobID(first), 16) && env.begun(model.JobID(second), 2)
			})
			env.sleep(2 * time.Second)
		}
	})
}

// Pattern: tasks that last of which only some may be away fill what is idle, before a guarantee is claimed. Guards against too many of them that
// are away, and against a guarantee that cannot be claimed since they run on all workers.
func TestProtectedTasksLeaveGuaranteesTheirRoom(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		const lasting, mayMiss = 24, 2
		job := newLastingJob(lasting)
		job.Steps[0].MayMiss = mayMiss
		env.fill(job, 16)
		env.submit(newJob(string(claimJob), "check", 2, 8))
		most := 0
		env.await(reclaimBound, "the guaranteed tasks start", func() bool {
			most = max(most, 16-env.atWork(lastingJob, lasting))
			return env.begun(claimJob, 2)
		})
		env.Expect(most).To(BeZero(), "none had to make way")
	})
}

// Guards against tasks that wait for an idle guarantee while under half of the pool is in use, and against more stops of such tasks than may be
// away when the guarantee is claimed.
func TestProtectedTasksDoNotWaitForAnIdleGuarantee(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		const lasting, mayMiss = 4, 1
		job := newLastingJob(lasting)
		job.Steps[0].MayMiss = mayMiss
		env.lastingOutcomes()
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.submit(job)
		env.await(3*time.Second, "the tasks that last run", func() bool { return env.atWork(lastingJob, lasting) == lasting })
		workers := map[string]bool{}
		for index := range lasting {
			workers[env.fleet.RunningOn(taskID(string(lastingJob), index))[0]] = true
		}
		env.Expect(workers).To(HaveLen(1), "one worker stays whole")
		env.sleep(2 * time.Second)
		env.submit(newJob(string(claimJob), "check", 13, 1))
		for range 300 {
			env.Expect(env.atWork(lastingJob, lasting)).To(BeNumerically(">=", lasting-mayMiss))
			env.sleep(10 * time.Millisecond)
		}
		env.Expect(env.begun(claimJob, 13)).To(BeTrue())
	})
}
