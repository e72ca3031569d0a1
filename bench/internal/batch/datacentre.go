package batch

import (
	"fmt"
	"time"

	"peridotgw.example/peridotgw/internal/gang"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/sched"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Simulated delays, based on the latencies that the users state: a call to a worker, a store write, and the time until a
// configuration reaches the owner.
const (
	callLatency      = 3 * time.Millisecond
	writeLatency     = 6 * time.Millisecond
	propagationDelay = time.Second
	renewInterval    = 250 * time.Millisecond
)

// dataCentre is one data centre: the scheduler under test and the simulated workers that carry out its decisions.
type dataCentre struct {
	simulation *simulation
	id         model.DataCentreID
	core       *sched.Core
	workers    map[model.WorkerID]*simWorker
	vms        []sched.WorkerVM
	// actual holds the jobs that really run, independently of the scheduler under test, so that all variants are measured
	// alike.
	actual      *place.Cluster
	nextPassAt  time.Time
	passPending bool
}

func newDataCentre(s *simulation, id model.DataCentreID, options place.Options) *dataCentre {
	c := &dataCentre{
		simulation: s, id: id, workers: map[model.WorkerID]*simWorker{}, actual: place.NewCluster(s.set, id),
		core: sched.NewCore(id, "bench", 1, s.set, sched.DefaultTuning(), options),
	}
	declared := place.DeclaredWorkers(s.set, id)
	c.actual.SetWorkers(declared)
	for _, w := range declared {
		c.workers[w.ID] = &simWorker{
			id: w.ID, totalAccelerators: w.Accelerators, reserved: map[model.JobID]model.Accelerators{}, tasks: map[model.TaskID]*task{},
		}
		c.vms = append(c.vms, sched.WorkerVM{
			ID: w.ID, Address: string(w.ID), DataCentre: id, Rack: w.Rack, Accelerators: w.Accelerators, Cores: w.Cores,
		})
	}
	c.core.SetWorkers(c.vms)
	return c
}

// capacity returns the number of accelerators of all workers.
func (c *dataCentre) capacity() float64 {
	totalAccelerators := 0.0
	for _, w := range c.workers {
		totalAccelerators += float64(w.totalAccelerators)
	}
	return totalAccelerators
}

// schedulePass runs a pass after the other events of the current time.
func (c *dataCentre) schedulePass() {
	if c.passPending {
		return
	}
	c.passPending = true
	c.simulation.clock.after(0, func() {
		c.passPending = false
		c.runPass()
	})
}

func (c *dataCentre) runPass() {
	now := c.simulation.clock.now
	c.nextPassAt = now.Add(time.Second)
	c.core.RunPass(now, true)
	for _, action := range c.core.TakeActions() {
		c.execute(action)
	}
}

// tick sends the due renewals and runs a pass at least once a second, as the owner's loop does.
func (c *dataCentre) tick() {
	now := c.simulation.clock.now
	due := c.core.Renewals(now)
	if len(due) > 0 {
		c.simulation.clock.after(callLatency, func() { c.handleRenewals(due, now) })
	}
	if !now.Before(c.nextPassAt) {
		c.schedulePass()
	}
	c.simulation.clock.after(renewInterval, c.tick)
}

// handleRenewals applies the workers' answers to renewals, and runs a pass if one of them reports an ended task.
func (c *dataCentre) handleRenewals(due []sched.Renewal, sentAt time.Time) {
	now, taskEnded := c.simulation.clock.now, false
	for _, renewal := range due {
		status := c.workers[renewal.Worker].status(renewal.Message.Jobs, now)
		for _, t := range status.Tasks {
			taskEnded = taskEnded || t.State.Ended()
		}
		c.core.Renewed(renewal, status, nil, sentAt, now)
	}
	if taskEnded {
		c.schedulePass()
	}
}

// execute carries out one action of the scheduler after its simulated delay.
func (c *dataCentre) execute(action sched.Action) {
	id, record, clock := action.Job, action.Record, c.simulation.clock
	switch action.Kind {
	case sched.ActionStart:
		clock.after(callLatency, func() { c.reserve(record) })
	case sched.ActionStop:
		c.stop(action)
	case sched.ActionWrite:
		clock.after(writeLatency, func() {
			record.Version++
			c.simulation.recordStored(c, record)
			c.core.Written(id, record, nil, clock.now)
			c.schedulePass()
		})
	case sched.ActionMove:
		clock.after(2*writeLatency, func() {
			c.simulation.requeueMoved(c, action)
			c.core.Moved(id, nil, clock.now)
			c.schedulePass()
		})
	case sched.ActionEvent:
	default:
		c.simulation.addError(fmt.Errorf("data centre %q: unexpected action %d of job %q in a run without faults", c.id, action.Kind, id))
	}
}

// reserve reserves the accelerators of a gang. A worker that lacks capacity shows that the scheduler allocated an
// accelerator twice.
func (c *dataCentre) reserve(record jobs.Record) {
	clock := c.simulation.clock
	for i, p := range record.Placement {
		if c.workers[p.Worker].reserve(record.Spec.ID, p.Accelerators, clock.now) {
			continue
		}
		c.simulation.result.Violations.DoubleAllocations++
		for _, taken := range record.Placement[:i] {
			delete(c.workers[taken.Worker].reserved, record.Spec.ID)
		}
		cause := &worker.RefusedError{Reason: worker.RefusedFull, Message: "no room"}
		c.core.Started(record.Spec.ID, record, &gang.NotStartedError{Job: record.Spec.ID, Worker: p.Worker, Phase: "reserve", Cause: cause}, clock.now)
		c.schedulePass()
		return
	}
	clock.after(writeLatency+callLatency, func() { c.start(record) })
}

// start starts all tasks of a gang, unless the last check before the start finds the data centre out of service.
func (c *dataCentre) start(record jobs.Record) {
	now, job := c.simulation.clock.now, c.simulation.jobs[record.Spec.ID]
	for _, p := range record.Placement {
		delete(c.workers[p.Worker].reserved, record.Spec.ID)
	}
	record.Version++
	if c.simulation.isOut(c.id) {
		refused := reply.Refused(reply.ReasonDraining, "data centre %q is out of service", c.id)
		c.core.Started(record.Spec.ID, record, &gang.NotStartedError{Job: record.Spec.ID, Phase: "check", Cause: refused}, now)
		c.schedulePass()
		return
	}
	end := now.Add(max(time.Millisecond, job.runTime-job.kept))
	slots := make([]place.Slot, 0, len(record.Placement))
	for _, p := range record.Placement {
		c.workers[p.Worker].tasks[p.Task] = &task{startedAt: now, endsAt: end, Task: worker.Task{
			Task: p.Task, Job: record.Spec.ID, DataCentre: c.id, State: worker.TaskRunning, Accelerators: p.Accelerators,
		}}
		slots = append(slots, place.Slot{Worker: p.Worker, Rack: p.Rack, Accelerators: p.Accelerators})
	}
	c.actual.Add(place.Job{ID: record.Spec.ID, Customer: record.Spec.Customer, Class: record.Spec.Class, Shape: record.Spec.Shape}, place.Plan{Slots: slots})
	record.State, record.StartedAt = jobs.StateRunning, now
	c.simulation.recordStart(c, record)
	c.simulation.clock.at(end, func() { c.complete(record) })
	c.core.Started(record.Spec.ID, record, nil, now)
	c.schedulePass()
}

// complete records a gang that ran to its end. The scheduler learns of it by the next renewal.
func (c *dataCentre) complete(record jobs.Record) {
	job := c.simulation.jobs[record.Spec.ID]
	if job.attempt != record.Attempts || job.runningIn != c {
		return
	}
	c.endAttempt(job, record, job.runTime-job.kept, true)
}

// endAttempt ends a running attempt that ran for the given time; kept says whether that time counts as useful work.
func (c *dataCentre) endAttempt(job *job, record jobs.Record, ran time.Duration, kept bool) {
	c.actual.Remove(record.Spec.ID)
	c.simulation.recordAttempt(job, ran, kept)
	c.simulation.addHeld(job, -1)
	job.runningIn = nil
}

// stop stops a gang. A kill ends it at once; a checkpoint takes some time, during which the accelerators stay held.
func (c *dataCentre) stop(action sched.Action) {
	clock, job := c.simulation.clock, c.simulation.jobs[action.Job]
	duration := time.Duration(0)
	if action.Mode == worker.ModeCheckpoint {
		duration = min(c.simulation.drawCheckpointTime(), action.Within)
	}
	clock.after(callLatency, func() {
		if job.runningIn != c {
			// All tasks ended before the stop arrived.
			c.core.Stopped(action.Job, gang.Outcome{Stopped: true, Done: true, Ran: true, Progress: job.runTime}, clock.now)
			c.schedulePass()
			return
		}
		ran := clock.now.Sub(job.startedAt)
		c.holdAccelerators(action.Record, clock.now.Add(duration))
		c.simulation.recordStop(c, job, duration)
		kept := time.Duration(0)
		if action.Mode == worker.ModeCheckpoint {
			kept = ran
		}
		job.attempt++ // Invalidates the scheduled end.
		clock.after(duration, func() {
			c.endAttempt(job, action.Record, ran, kept > 0)
			job.kept += kept
			c.clear(action.Record)
			c.core.Stopped(action.Job, gang.Outcome{Stopped: true, Ran: true, Progress: kept}, clock.now)
			c.schedulePass()
		})
	})
}

// holdAccelerators puts the tasks of a gang into the stopping state; their accelerators stay held until the given time.
func (c *dataCentre) holdAccelerators(record jobs.Record, until time.Time) {
	for _, p := range record.Placement {
		if t, found := c.workers[p.Worker].tasks[p.Task]; found {
			t.State, t.freeAt = worker.TaskStopping, until
		}
	}
}

// clear removes the tasks of a job from its workers.
func (c *dataCentre) clear(record jobs.Record) {
	for _, p := range record.Placement {
		c.workers[p.Worker].removeTasks(record.Spec.ID)
	}
}
