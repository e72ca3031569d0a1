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

// Delays of the stand-ins, after the latencies that the users state: a call to a worker, a store write, and how long a
// configuration takes to reach the owner.
const (
	callTime      = 3 * time.Millisecond
	writeTime     = 6 * time.Millisecond
	propagateTime = time.Second
	renewTick     = 250 * time.Millisecond
)

// centre is one data centre: the decisions under test and the workers that carry them out.
type centre struct {
	run      *run
	id       model.DataCentreID
	core     *sched.Core
	machines map[model.WorkerID]*machine
	vms      []sched.WorkerVM
	// shadow counts what runs, apart from the decisions under test, so that all variants are measured alike.
	shadow     *place.Cluster
	nextPass   time.Time
	passQueued bool
}

func newCentre(r *run, id model.DataCentreID, options place.Options) *centre {
	c := &centre{
		run: r, id: id, machines: map[model.WorkerID]*machine{}, shadow: place.NewCluster(r.set, id),
		core: sched.NewCore(id, "bench", 1, r.set, sched.DefaultTuning(), options),
	}
	declared := place.Declared(r.set, id)
	c.shadow.SetWorkers(declared)
	for _, w := range declared {
		c.machines[w.ID] = &machine{
			id: w.ID, total: w.Accelerators, reserved: map[model.JobID]model.Accelerators{}, tasks: map[model.TaskID]*task{},
		}
		c.vms = append(c.vms, sched.WorkerVM{
			ID: w.ID, Address: string(w.ID), DataCentre: id, Rack: w.Rack, Accelerators: w.Accelerators, Cores: w.Cores,
		})
	}
	c.core.SetWorkers(c.vms)
	return c
}

func (c *centre) capacity() float64 {
	total := 0.0
	for _, m := range c.machines {
		total += float64(m.total)
	}
	return total
}

// soon runs a pass after the events of the present time.
func (c *centre) soon() {
	if c.passQueued {
		return
	}
	c.passQueued = true
	c.run.clock.after(0, func() {
		c.passQueued = false
		c.pass()
	})
}

func (c *centre) pass() {
	now := c.run.clock.now
	c.nextPass = now.Add(time.Second)
	c.core.Pass(now, true)
	for _, action := range c.core.Take() {
		c.execute(action)
	}
}

// tick sends the renewals that are due and passes once a second, as the owner's loop does.
func (c *centre) tick() {
	now := c.run.clock.now
	due := c.core.Renewals(now)
	if len(due) > 0 {
		c.run.clock.after(callTime, func() { c.renewed(due, now) })
	}
	if !now.Before(c.nextPass) {
		c.soon()
	}
	c.run.clock.after(renewTick, c.tick)
}

func (c *centre) renewed(due []sched.Renewal, sentAt time.Time) {
	now, news := c.run.clock.now, false
	for _, renewal := range due {
		status := c.machines[renewal.Worker].status(renewal.Message.Jobs, now)
		for _, t := range status.Tasks {
			news = news || t.State.Ended()
		}
		c.core.Renewed(renewal, status, nil, sentAt, now)
	}
	if news {
		c.soon()
	}
}

func (c *centre) execute(action sched.Action) {
	id, record, clock := action.Job, action.Record, c.run.clock
	switch action.Kind {
	case sched.ActionStart:
		clock.after(callTime, func() { c.reserve(record) })
	case sched.ActionStop:
		c.stop(action)
	case sched.ActionWrite:
		clock.after(writeTime, func() {
			record.Version++
			c.run.written(c, record)
			c.core.Written(id, record, nil, clock.now)
			c.soon()
		})
	case sched.ActionMove:
		clock.after(2*writeTime, func() {
			c.run.moved(c, action)
			c.core.Moved(id, nil, clock.now)
			c.soon()
		})
	case sched.ActionEvent:
	default:
		c.run.fail(fmt.Errorf("data centre %q: action %d of job %q is not expected without faults", c.id, action.Kind, id))
	}
}

// reserve takes the places of a gang; a worker without room means that the decision gave an accelerator away twice.
func (c *centre) reserve(record jobs.Record) {
	clock := c.run.clock
	for i, p := range record.Placement {
		if c.machines[p.Worker].reserve(record.Spec.ID, p.Accelerators, clock.now) {
			continue
		}
		c.run.result.Broken.TwiceUsed++
		for _, taken := range record.Placement[:i] {
			delete(c.machines[taken.Worker].reserved, record.Spec.ID)
		}
		cause := &worker.RefusedError{Reason: worker.RefusedFull, Message: "no room"}
		c.core.Started(record.Spec.ID, record, &gang.NotStartedError{Job: record.Spec.ID, Worker: p.Worker, Phase: "reserve", Cause: cause}, clock.now)
		c.soon()
		return
	}
	clock.after(writeTime+callTime, func() { c.start(record) })
}

// start runs all tasks of a gang, unless the data centre went out of service, which the last check before a start sees.
func (c *centre) start(record jobs.Record) {
	now, job := c.run.clock.now, c.run.jobs[record.Spec.ID]
	for _, p := range record.Placement {
		delete(c.machines[p.Worker].reserved, record.Spec.ID)
	}
	record.Version++
	if c.run.knownOut(c.id) {
		refused := reply.Refused(reply.ReasonDraining, "data centre %q is out of service", c.id)
		c.core.Started(record.Spec.ID, record, &gang.NotStartedError{Job: record.Spec.ID, Phase: "check", Cause: refused}, now)
		c.soon()
		return
	}
	ends := now.Add(max(time.Millisecond, job.runs-job.kept))
	slots := make([]place.Slot, 0, len(record.Placement))
	for _, p := range record.Placement {
		c.machines[p.Worker].tasks[p.Task] = &task{startedAt: now, endsAt: ends, Task: worker.Task{
			Task: p.Task, Job: record.Spec.ID, DataCentre: c.id, State: worker.TaskRunning, Accelerators: p.Accelerators,
		}}
		slots = append(slots, place.Slot{Worker: p.Worker, Rack: p.Rack, Accelerators: p.Accelerators})
	}
	c.shadow.Add(place.Job{ID: record.Spec.ID, Customer: record.Spec.Customer, Class: record.Spec.Class, Shape: record.Spec.Shape}, place.Plan{Slots: slots})
	record.State, record.StartedAt = jobs.StateRunning, now
	c.run.started(c, record)
	c.run.clock.at(ends, func() { c.ended(record) })
	c.core.Started(record.Spec.ID, record, nil, now)
	c.soon()
}

// ended accounts a gang that ran to its end; the decisions learn of it by the next renewal.
func (c *centre) ended(record jobs.Record) {
	job := c.run.jobs[record.Spec.ID]
	if job.attempt != record.Attempts || job.runningIn != c {
		return
	}
	c.release(job, record, job.runs-job.kept, true)
}

// release ends the account of a running attempt: ran is its run time, kept whether that counts.
func (c *centre) release(job *job, record jobs.Record, ran time.Duration, kept bool) {
	c.shadow.Remove(record.Spec.ID)
	c.run.account(job, ran, kept)
	c.run.hold(job, -1)
	job.runningIn = nil
}

// stop ends a gang: a kill at once, a checkpoint after the time that it takes, during which the accelerators are held.
func (c *centre) stop(action sched.Action) {
	clock, job := c.run.clock, c.run.jobs[action.Job]
	takes := time.Duration(0)
	if action.Mode == worker.ModeCheckpoint {
		takes = min(c.run.checkpointTime(), action.Within)
	}
	clock.after(callTime, func() {
		if job.runningIn != c {
			// All tasks ended before the stop arrived.
			c.core.Stopped(action.Job, gang.Outcome{Stopped: true, Done: true, Ran: true, Progress: job.runs}, clock.now)
			c.soon()
			return
		}
		ran := clock.now.Sub(job.startedAt)
		c.freeze(action.Record, clock.now.Add(takes))
		c.run.stopping(c, job, takes)
		kept := time.Duration(0)
		if action.Mode == worker.ModeCheckpoint {
			kept = ran
		}
		job.attempt++ // The scheduled end no longer holds.
		clock.after(takes, func() {
			c.release(job, action.Record, ran, kept > 0)
			job.kept += kept
			c.clear(action.Record)
			c.core.Stopped(action.Job, gang.Outcome{Stopped: true, Ran: true, Progress: kept}, clock.now)
			c.soon()
		})
	})
}

// freeze stops the work of a gang while its accelerators stay taken until a time.
func (c *centre) freeze(record jobs.Record, until time.Time) {
	for _, p := range record.Placement {
		if t, found := c.machines[p.Worker].tasks[p.Task]; found {
			t.State, t.freeAt = worker.TaskStopping, until
		}
	}
}

func (c *centre) clear(record jobs.Record) {
	for _, p := range record.Placement {
		c.machines[p.Worker].forget(record.Spec.ID)
	}
}
