package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/sched"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

var _ = Describe("An outage of the store", func() {
	// Guards against running jobs that stop when the store is down, ends that are lost, and jobs that run again.
	It("stops decisions but not running jobs", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(2))
			defer cluster.close()
			manager := owned(cluster)
			cluster.submitJob(manager,
				jobs.Spec{ID: "ends", Customer: "board", Class: "tally", Shape: "half", RunTime: model.Duration(20 * time.Minute)})
			cluster.submitJob(manager,
				jobs.Spec{ID: "goes-on", Customer: "board", Class: "tally", Shape: "half", RunTime: model.Duration(2 * time.Hour)})
			waitUntil(3*time.Second, "jobs run", func() bool { return cluster.runningTasks("ends")+cluster.runningTasks("goes-on") == 6 })
			time.Sleep(5 * time.Second)
			cluster.storeServer.Set(fakekv.Faults{Down: true})
			cluster.leases.setOutage(true)
			time.Sleep(time.Hour)
			Expect(cluster.runningTasks("goes-on")).To(Equal(3))
			cluster.storeServer.Set(fakekv.Faults{})
			cluster.leases.setOutage(false)
			waitUntil(ownershipMoveLimit, "the end is stored", cluster.hasState(manager, "ends", jobs.StateDone))
			Expect(cluster.startedTasks("ends")).To(Equal(3))
			time.Sleep(time.Hour)
			Expect(cluster.getRecord(manager, "goes-on").State).To(Equal(jobs.StateDone))
			Expect(cluster.startedTasks("goes-on")).To(Equal(3))
		})
	})
})

// coreDriver drives a Core without an owner: every start and write succeeds at once, and stops get no result.
type coreDriver struct {
	core            *sched.Core
	now             time.Time
	placementsByJob map[model.JobID][]jobs.Placement
}

func newCoreDriver(config *model.Set, tuning sched.Tuning) *coreDriver {
	core := sched.NewCore("courthouse", "a", 1, config, tuning, place.Options{})
	var vms []sched.WorkerVM
	for _, w := range place.DeclaredWorkers(config, "courthouse") {
		vms = append(vms, sched.WorkerVM{ID: w.ID, Address: string(w.ID), DataCentre: "courthouse", Rack: w.Rack, Accelerators: w.Accelerators})
	}
	core.SetWorkers(vms)
	return &coreDriver{core: core, now: time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), placementsByJob: map[model.JobID][]jobs.Placement{}}
}

func (d *coreDriver) submitJob(id model.JobID, class model.JobClassID, shape model.ShapeID) {
	d.core.ApplyRecord(jobs.Record{
		Spec: jobs.Spec{ID: id, Customer: "festival", Class: class, Shape: shape}, State: jobs.StateQueued, DataCentre: "courthouse",
		SubmittedAt: d.now, Version: 1,
	}, d.now)
}

// runPasses advances the time, runs passes until there are no more actions, and returns the started jobs.
func (d *coreDriver) runPasses(elapsed time.Duration) []model.JobID {
	d.now = d.now.Add(elapsed)
	var started []model.JobID
	for {
		d.core.RunPass(d.now, true)
		actions := d.core.TakeActions()
		if len(actions) == 0 {
			return started
		}
		for _, action := range actions {
			switch action.Kind {
			case sched.ActionStart:
				started = append(started, action.Job)
				d.placementsByJob[action.Job] = action.Record.Placement
				action.Record.State, action.Record.StartedAt = jobs.StateRunning, d.now
				d.core.Started(action.Job, action.Record, nil, d.now)
			case sched.ActionWrite:
				d.core.Written(action.Job, action.Record, nil, d.now)
			}
		}
	}
}

// finishJob reports all tasks of a job as done in the answers to renewals.
func (d *coreDriver) finishJob(id model.JobID) {
	d.now = d.now.Add(time.Minute)
	for _, renewal := range d.core.Renewals(d.now) {
		var status worker.Status
		for _, p := range d.placementsByJob[id] {
			if p.Worker == renewal.Worker {
				status.Tasks = append(status.Tasks, worker.Task{Task: p.Task, Job: id, State: worker.TaskDone})
			}
		}
		for other, placements := range d.placementsByJob {
			for _, p := range placements {
				if other != id && p.Worker == renewal.Worker {
					status.Tasks = append(status.Tasks, worker.Task{Task: p.Task, Job: other, State: worker.TaskRunning})
				}
			}
		}
		d.core.Renewed(renewal, status, nil, d.now, d.now)
	}
	delete(d.placementsByJob, id)
}

var _ = Describe("The order of the queue", func() {
	// Guards against starvation of background jobs by a steady stream of normal jobs.
	It("starts a background job that waited long before newer normal ones", func() {
		driver := newCoreDriver(newConfig(1), sched.DefaultTuning())
		driver.submitJob("full", "tally", "rack")
		Expect(driver.runPasses(0)).To(Equal([]model.JobID{"full"}))
		driver.submitJob("background", "tag", "rack")
		driver.runPasses(9 * time.Minute)
		driver.submitJob("normal", "score", "rack")
		driver.runPasses(2 * time.Minute)
		driver.finishJob("full")
		Expect(driver.runPasses(time.Second)).To(Equal([]model.JobID{"background"}))
	})

	// Guards against starvation of a large job by small ones that cannot be preempted.
	DescribeTable("holds a rack for a large job", func(holdAfter time.Duration, want model.JobID) {
		tuning := sched.DefaultTuning()
		tuning.HoldAfter = holdAfter
		driver := newCoreDriver(newConfig(1), tuning)
		driver.submitJob("half1", "tally", "half")
		driver.submitJob("half2", "tally", "half")
		driver.runPasses(0)
		driver.submitJob("large", "tally", "rack")
		driver.runPasses(time.Second)
		driver.runPasses(40 * time.Second)
		driver.submitJob("half3", "tally", "half")
		driver.submitJob("half4", "tally", "half")
		driver.finishJob("half1")
		driver.runPasses(time.Second)
		driver.finishJob("half2")
		Expect(driver.runPasses(time.Second)).To(ContainElement(want))
	},
		Entry("after 30 s", 30*time.Second, model.JobID("large")),
		Entry("not when the hold is switched off: small jobs go on", 24*time.Hour, model.JobID("half4")),
	)
})

// BenchmarkPass measures a pass without decisions, with the workers of one data centre and of all.
func BenchmarkPass(b *testing.B) {
	for _, racks := range []int{70, 750} {
		driver := newCoreDriver(newConfig(racks), sched.DefaultTuning())
		for i := range racks * 4 {
			driver.submitJob(model.JobID(fmt.Sprintf("j%05d", i)), "score", "worker")
		}
		driver.runPasses(0)
		b.Run(fmt.Sprintf("workers=%d", racks*6), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				driver.core.RunPass(driver.now, true)
				driver.core.TakeActions()
			}
		})
	}
}
