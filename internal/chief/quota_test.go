package chief_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// setCap puts a configuration in force in which the tenant "big" may have a number of accelerators running.
func (e *testEnv) setCap(limit model.Accelerators) {
	config := testConfig()
	config.Version = e.inForce.Load().Version + 1
	config.Tenants["big"] = work.Tenant{Name: "big", Guaranteed: 16, Weight: 1, Cap: work.Resources{GPU: limit}}
	e.inForce.Store(config)
}

// running returns how many tasks of a job of one step run now.
func (e *testEnv) running(job *work.Job) int {
	count := 0
	for index := range job.Steps[0].Count {
		count += len(e.fleet.RunningOn(taskID(string(job.ID), index)))
	}
	return count
}

// peak returns the most tasks of some jobs that run together during a time.
func (e *testEnv) peak(during time.Duration, jobs ...*work.Job) int {
	most := 0
	for end := time.Now().Add(during); time.Now().Before(end); e.sleep(5 * time.Millisecond) {
		count := 0
		for _, job := range jobs {
			count += e.running(job)
		}
		most = max(most, count)
	}
	return most
}

// peakAfterSuccession returns the most tasks of 4 accelerators, of a tenant that may have 16, that run together while a new leader does not
// reach a worker on which two of them run.
func (e *testEnv) peakAfterSuccession(rules quota.Rules) int {
	e.setCap(16)
	e.fleet.Outcome = runsOf(20 * time.Second)
	leader := e.start("a", nil)
	first, second := newJob("00000000000000e1", "scan", 4, 4), newJob("00000000000000e2", "scan", 4, 4)
	e.submit(first)
	e.await(5*time.Second, "the cap is used", func() bool { return e.running(first) == 4 })
	e.sleep(time.Second)
	cut := e.fleet.RunningOn(taskID(string(first.ID), 0))[0]
	leader.kill()
	e.net.SetFault("b", memnet.Host(cut+":1"), memnet.Fault{DropRequests: true})
	e.start("b", func(i *instance) { i.quota = rules })
	e.submit(second)
	return e.peak(7*time.Second, first, second)
}

// Guards against a successor that starts tasks of a capped tenant while runs of its predecessor, on a worker that does not answer, go on.
func TestSuccessorCountsRunsThatItHasNotSeen(t *testing.T) {
	for name, rules := range map[string]quota.Rules{
		"counted": {}, "not counted": {Unseen: func(work.Resources) work.Resources { return work.Resources{} }},
	} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 6, func(env *testEnv) {
				env.Expect(env.peakAfterSuccession(rules) > 4).To(Equal(name == "not counted"))
			})
		})
	}
}

// Guards against a lowered cap that stops work which may run on, and against starts while the tenant is above it.
func TestLoweredCapStopsNothing(t *testing.T) {
	withTestEnv(t, 6, func(env *testEnv) {
		env.setCap(32)
		env.fleet.Outcome = runsOf(5 * time.Second)
		env.start("a", nil)
		first, second := newJob("00000000000000e3", "scan", 8, 4), newJob("00000000000000e4", "scan", 8, 4)
		env.submit(first)
		env.await(5*time.Second, "the cap is used", func() bool { return env.running(first) == 8 })
		env.setCap(8)
		env.submit(second)
		env.sleep(3 * time.Second)
		env.Expect(env.running(first)).To(Equal(8), "what runs goes on")
		env.Expect(env.running(second)).To(BeZero())
		env.await(4*time.Second, "the tenant is within its cap", func() bool { return env.running(second) == 2 })
		env.Expect(env.peak(4*time.Second, second)).To(Equal(2))
		env.setCap(16)
		env.await(time.Second, "the raised cap is used", func() bool { return env.running(second) == 4 })
	})
}

// Guards against a gang wider than its tenant's cap that starts, or fails, instead of waiting for another configuration; and against a single
// task wider than the cap that never starts.
func TestWorkWiderThanTheCap(t *testing.T) {
	withTestEnv(t, 6, func(env *testEnv) {
		env.setCap(6)
		env.fleet.Outcome = runsOf(2 * time.Second)
		leader := env.start("a", nil)
		wide, task := env.asGang(newJob("00000000000000e5", "scan", 3, 4)), newJob("00000000000000e6", "scan", 1, 8)
		env.submit(wide)
		env.submit(task)
		env.await(5*time.Second, "the task is done", func() bool { return leader.state(task.ID) == work.StateCompleted })
		env.sleep(2 * time.Second)
		env.Expect(env.fleet.StartCount(taskID(string(wide.ID), 0))).To(BeZero())
		env.Expect(leader.state(wide.ID)).To(Equal(work.StateQueued))
		env.Expect(leader.chief.Load().Tenants()).To(ContainElement(And(
			HaveField("Tenant", model.CustomerID("big")), HaveField("TooWide", 1), HaveField("Cap.GPU", model.Accelerators(6)),
		)))
		env.setCap(8)
		env.await(time.Second, "the gang runs", func() bool { return env.running(wide) == 3 })
	})
}

// Guards against urgent work within its guarantee that waits for less urgent work of its own tenant, which uses all of the cap.
func TestGuaranteedWorkStartsAtItsTenantsCap(t *testing.T) {
	for name, rules := range map[string]quota.Rules{"stops": {}, "no stops": {Admit: neverBeyond}} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 6, func(env *testEnv) {
				env.setCap(16)
				env.fleet.Outcome = runsOf(20 * time.Second)
				env.start("a", func(i *instance) { i.quota = rules })
				lent, urgent := newJob("00000000000000e7", "tally", 8, 2), newJob("00000000000000e8", "check", 2, 4)
				env.submit(lent)
				env.await(5*time.Second, "the cap is used", func() bool { return env.running(lent) == 8 })
				env.sleep(time.Second)
				env.submit(urgent)
				env.Expect(env.peak(reclaimBound, urgent) == 2).To(Equal(name == "stops"))
				env.Expect(env.peak(3*time.Second, lent, urgent)).To(BeNumerically("<=", 8), fmt.Sprint("tasks on 16 accelerators, ", name))
			})
		})
	}
}

// neverBeyond admits what fits, and gives a reason for which nothing is stopped.
func neverBeyond(tenant view.Tenant, need work.Resources, tasks int) view.Reason {
	if tenant.Used.GPU+need.GPU*model.Accelerators(tasks) <= tenant.Cap.GPU {
		return ""
	}
	return quota.ReasonTooWide
}
