package speed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"peridotgw.example/peridotgw/bench/internal/table"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/sched"
	"peridotgw.example/peridotgw/model"
)

// FleetSizes returns the fleet sizes, in workers, at which the steps are measured.
func FleetSizes(quick bool) []int {
	if quick {
		return []int{50, 500}
	}
	return []int{50, 500, 1500, designWorkers}
}

// Limits of one series of repetitions.
const (
	maxRepetitions = 2000
	maxSeriesTime  = 400 * time.Millisecond
)

// MeasurePlacement measures placement decisions, and passes of a data centre's owner, in data centres of the given
// numbers of workers.
func MeasurePlacement(ctx context.Context, workers []int) ([]*table.Table, error) {
	decisions := table.New("Speed: one placement decision in one data centre", "workers", "accelerators", "free", "tasks",
		"customers", "decision", "median us", "p99 us", "result")
	passes := table.New("Speed: one pass of a data centre's owner", "workers", "jobs running", "jobs queued", "median us", "p99 us")
	for _, count := range workers {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		s := scaledSize(count)
		set := newSet(s)
		c, running := newLoadedCluster(set, s, 0.25)
		if err := measureDecisions(decisions, s, c, running, decisionKinds(s)); err != nil {
			return nil, err
		}
		fullCluster, runningWhenFull := newLoadedCluster(set, s, 0.02)
		if err := measureDecisions(decisions, s, fullCluster, runningWhenFull, decisionKinds(s)[3:4]); err != nil {
			return nil, err
		}
		for _, queued := range []int{0, 100} {
			if err := measurePass(passes, s, set, running, queued); err != nil {
				return nil, err
			}
		}
	}
	decisions.Note("The design size of 4,500 workers is put into one data centre here, the worst case; 11 data centres share it. A gang takes a quarter of the accelerators, at most 512.")
	passes.Note("The queued jobs cannot be placed and differ in class and customer, so each is tried; an owner passes at least once a second and after each event.")
	return []*table.Table{decisions, passes}, nil
}

// decisionKind is one kind of job to place.
type decisionKind struct {
	name  string
	class model.JobClassID
	shape model.ShapeID
}

func decisionKinds(s size) []decisionKind {
	return []decisionKind{
		{"small job", classSoft, "one"},
		{"small job, not stoppable", classFirm, "quad"},
		{"gang of " + fmt.Sprint(s.gang), classSoft, "gang"},
		{"urgent gang of " + fmt.Sprint(s.gang), classUrgent, "gang"},
		{"100 tasks without accelerators", classSoft, "batch"},
	}
}

func measureDecisions(t *table.Table, s size, c *place.Cluster, running []place.Running, kinds []decisionKind) error {
	tasks := 0
	for _, r := range running {
		tasks += len(r.Slots)
	}
	free, _ := c.Free()
	for _, kind := range kinds {
		job := place.Job{ID: "new", Customer: customerID(0), Class: kind.class, Shape: kind.shape, Order: int64(len(running))}
		result := ""
		timing, err := measure(maxRepetitions, maxSeriesTime, func() {
			plan, blocked := c.Plan(job)
			result = fmt.Sprintf("placed, %d jobs preempted", len(plan.Preempt))
			if blocked != nil {
				result = string(blocked.Reason)
			}
		})
		if err != nil {
			return err
		}
		t.Add(s.workers, s.accelerators, int(free), tasks, s.customers, kind.name, timing.micros(50), timing.micros(99), result)
	}
	return nil
}

// measurePass measures Core.RunPass with the given running jobs, and with queued jobs that do not fit.
func measurePass(t *table.Table, s size, set *model.Set, running []place.Running, queued int) error {
	now := time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)
	core := sched.NewCore("dc", "bench", 1, set, sched.DefaultTuning(), place.Options{})
	var vms []sched.WorkerVM
	for _, w := range place.DeclaredWorkers(set, "dc") {
		vms = append(vms, sched.WorkerVM{
			ID: w.ID, Address: string(w.ID), DataCentre: "dc", Rack: w.Rack, Accelerators: w.Accelerators, Cores: w.Cores,
		})
	}
	core.SetWorkers(vms)
	core.RunPass(now, true)
	for _, r := range running {
		record := jobs.Record{
			Spec:  jobs.Spec{ID: r.Job.ID, Customer: r.Job.Customer, Class: r.Job.Class, Shape: r.Job.Shape, RunTime: model.Duration(time.Hour)},
			State: jobs.StateRunning, DataCentre: "dc", SubmittedAt: now, StartedAt: now, Lent: r.Lent, Version: 1,
		}
		for i, slot := range r.Slots {
			record.Placement = append(record.Placement, jobs.Placement{
				Task: model.TaskID(fmt.Sprintf("%s/%d", r.Job.ID, i)), Worker: slot.Worker, Rack: slot.Rack, Accelerators: slot.Accelerators,
			})
		}
		core.ApplyRecord(record, now)
	}
	for i := range queued {
		core.ApplyRecord(jobs.Record{
			Spec:  jobs.Spec{ID: model.JobID(fmt.Sprintf("queued-%d", i)), Customer: customerID(i % s.customers), Class: classFirm, Shape: "half"},
			State: jobs.StateQueued, DataCentre: "dc", SubmittedAt: now, Version: 1,
		}, now)
	}
	core.RunPass(now, true)
	started := 0
	for _, action := range core.TakeActions() {
		if action.Kind == sched.ActionStart {
			started++
		}
	}
	if len(vms) != s.workers {
		return errors.New("the data centre has a different number of workers than its size")
	}
	timing, err := measure(maxRepetitions, maxSeriesTime, func() {
		core.SetWorkers(vms)
		core.RunPass(now, true)
		core.LoadSummary()
		core.Fragmentation()
	})
	if err != nil {
		return err
	}
	t.Add(s.workers, len(running), queued-started, timing.micros(50), timing.micros(99))
	return nil
}
