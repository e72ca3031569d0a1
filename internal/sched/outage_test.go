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
	// Guards against running work that ends with the store, against ends that are forgotten, and against repeated work.
	It("stops decisions and not running work", func() {
		virtual(func() {
			r := newRig(hollowCreek(2))
			defer r.close()
			m := owned(r)
			r.submit(m, jobs.Spec{ID: "ends", Customer: "board", Class: "tally", Shape: "half", RunTime: model.Duration(20 * time.Minute)})
			r.submit(m, jobs.Spec{ID: "goes-on", Customer: "board", Class: "tally", Shape: "half", RunTime: model.Duration(2 * time.Hour)})
			within(3*time.Second, "jobs run", func() bool { return r.busy("ends")+r.busy("goes-on") == 6 })
			time.Sleep(5 * time.Second)
			r.kv.Set(fakekv.Faults{Down: true})
			r.leases.outage(true)
			time.Sleep(time.Hour)
			Expect(r.busy("goes-on")).To(Equal(3))
			r.kv.Set(fakekv.Faults{})
			r.leases.outage(false)
			within(ownershipMoves, "the end is stored", r.state(m, "ends", jobs.StateDone))
			Expect(r.starts("ends")).To(Equal(3))
			time.Sleep(time.Hour)
			Expect(r.get(m, "goes-on").State).To(Equal(jobs.StateDone))
			Expect(r.starts("goes-on")).To(Equal(3))
		})
	})
})

// decide drives the decision code alone: every start succeeds at once and every stop takes a second.
type decide struct {
	core   *sched.Core
	now    time.Time
	placed map[model.JobID][]jobs.Placement
}

func newDecide(set *model.Set, tuning sched.Tuning) *decide {
	core := sched.NewCore("courthouse", "a", 1, set, tuning, place.Options{})
	var vms []sched.WorkerVM
	for _, w := range place.Declared(set, "courthouse") {
		vms = append(vms, sched.WorkerVM{ID: w.ID, Address: string(w.ID), DataCentre: "courthouse", Rack: w.Rack, Accelerators: w.Accelerators})
	}
	core.SetWorkers(vms)
	return &decide{core: core, now: time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), placed: map[model.JobID][]jobs.Placement{}}
}

func (d *decide) submit(id model.JobID, class model.JobClassID, shape model.ShapeID) {
	d.core.Seen(jobs.Record{
		Spec: jobs.Spec{ID: id, Customer: "festival", Class: class, Shape: shape}, State: jobs.StateQueued, DataCentre: "courthouse",
		SubmittedAt: d.now, Version: 1,
	}, d.now)
}

// run passes and returns the jobs that start.
func (d *decide) run(ahead time.Duration) []model.JobID {
	d.now = d.now.Add(ahead)
	var started []model.JobID
	for {
		d.core.Pass(d.now, true)
		actions := d.core.Take()
		if len(actions) == 0 {
			return started
		}
		for _, action := range actions {
			switch action.Kind {
			case sched.ActionStart:
				started = append(started, action.Job)
				d.placed[action.Job] = action.Record.Placement
				action.Record.State, action.Record.StartedAt = jobs.StateRunning, d.now
				d.core.Started(action.Job, action.Record, nil, d.now)
			case sched.ActionWrite:
				d.core.Written(action.Job, action.Record, nil, d.now)
			}
		}
	}
}

// finish ends a job well, as its worker's answers report it.
func (d *decide) finish(id model.JobID) {
	d.now = d.now.Add(time.Minute)
	for _, renewal := range d.core.Renewals(d.now) {
		var status worker.Status
		for _, p := range d.placed[id] {
			if p.Worker == renewal.Worker {
				status.Tasks = append(status.Tasks, worker.Task{Task: p.Task, Job: id, State: worker.TaskDone})
			}
		}
		for other, placements := range d.placed {
			for _, p := range placements {
				if other != id && p.Worker == renewal.Worker {
					status.Tasks = append(status.Tasks, worker.Task{Task: p.Task, Job: other, State: worker.TaskRunning})
				}
			}
		}
		d.core.Renewed(renewal, status, nil, d.now, d.now)
	}
	delete(d.placed, id)
}

var _ = Describe("The order of the queue", func() {
	// Guards against background work that starves behind a steady stream of normal work.
	It("lets a background job that waited long come before newer normal ones", func() {
		d := newDecide(hollowCreek(1), sched.DefaultTuning())
		d.submit("full", "tally", "rack")
		Expect(d.run(0)).To(Equal([]model.JobID{"full"}))
		d.submit("background", "tag", "rack")
		d.run(9 * time.Minute)
		d.submit("normal", "score", "rack")
		d.run(2 * time.Minute)
		d.finish("full")
		Expect(d.run(time.Second)).To(Equal([]model.JobID{"background"}))
	})

	// Guards against a large job that starves behind small ones that cannot be stopped.
	DescribeTable("holds a rack for a large job", func(holdAfter time.Duration, want model.JobID) {
		tuning := sched.DefaultTuning()
		tuning.HoldAfter = holdAfter
		d := newDecide(hollowCreek(1), tuning)
		d.submit("half1", "tally", "half")
		d.submit("half2", "tally", "half")
		d.run(0)
		d.submit("large", "tally", "rack")
		d.run(time.Second)
		d.run(40 * time.Second)
		d.submit("half3", "tally", "half")
		d.submit("half4", "tally", "half")
		d.finish("half1")
		d.run(time.Second)
		d.finish("half2")
		Expect(d.run(time.Second)).To(ContainElement(want))
	},
		Entry("after 30 s", 30*time.Second, model.JobID("large")),
		Entry("not when the hold is switched off: small jobs go on", 24*time.Hour, model.JobID("half4")),
	)
})

// BenchmarkPass is one pass with nothing to decide, at the size of one data centre and of all.
func BenchmarkPass(b *testing.B) {
	for _, racks := range []int{70, 750} {
		d := newDecide(hollowCreek(racks), sched.DefaultTuning())
		for i := range racks * 4 {
			d.submit(model.JobID(fmt.Sprintf("j%05d", i)), "score", "worker")
		}
		d.run(0)
		b.Run(fmt.Sprintf("workers=%d", racks*6), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.core.Pass(d.now, true)
				d.core.Take()
			}
		})
	}
}
