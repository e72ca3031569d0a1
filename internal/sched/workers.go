package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// SetWorkers takes the workers of the VM list. A worker that is no longer listed gets no new work; its jobs go on until
// it does not answer, because the list lags.
func (c *Core) SetWorkers(vms []WorkerVM) {
	for _, h := range c.workers {
		h.listed = false
	}
	for _, vm := range vms {
		if vm.DataCentre != c.dc {
			continue
		}
		h, found := c.workers[vm.ID]
		if !found {
			h = &health{}
			c.workers[vm.ID] = h
		}
		h.vm, h.listed = vm, true
	}
}

// Address returns the address of a worker.
func (c *Core) Address(id model.WorkerID) (string, bool) {
	h, found := c.workers[id]
	if !found {
		return "", false
	}
	return h.vm.Address, true
}

// Workers lists the ids of all known workers in order.
func (c *Core) Workers() []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// refreshWorkers gives the cluster the workers when a state changed.
func (c *Core) refreshWorkers(now time.Time) {
	placed := make([]place.Worker, 0, len(c.workers))
	for id, h := range c.workers {
		placed = append(placed, place.Worker{
			ID: id, Rack: h.vm.Rack, Accelerators: h.vm.Accelerators, Cores: h.vm.Cores, State: c.workerState(id, h, now),
		})
	}
	slices.SortFunc(placed, func(a, b place.Worker) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(placed, c.placed) {
		return
	}
	c.placed = placed
	before := len(c.cluster.Unbound())
	c.cluster.SetWorkers(placed)
	if after := c.cluster.Unbound(); len(after) != before {
		c.event("data-centre", string(c.dc), "bound", "workers-changed", map[string]string{"unbound": fmt.Sprint(after)})
	}
}

func (c *Core) workerState(id model.WorkerID, h *health, now time.Time) place.WorkerState {
	switch {
	case !h.listed || h.vm.Leaving || now.Before(h.suspectUntil) || c.lost(h, now):
		return place.WorkerClosed
	case h.quarantinedUntil.IsZero():
		return place.WorkerUsable
	case now.Before(h.quarantinedUntil):
		return place.WorkerClosed
	}
	if !h.probe {
		h.probe = true
		c.event("worker", string(id), "probing", "quarantine-over", nil)
	}
	return place.WorkerProbe
}

// Lost returns why the data centre belongs to another owner, or nothing.
func (c *Core) Lost() string { return c.lostTo }

func (c *Core) lost(h *health, now time.Time) bool {
	return !h.silentSince.IsZero() && now.Sub(h.silentSince) >= c.tuning.LostAfter
}

// stopLost stops the gangs that have a member on a lost worker.
func (c *Core) stopLost(now time.Time) {
	for _, id := range c.ids() {
		e := c.entries[id]
		if e.phase != phaseRunning {
			continue
		}
		for _, p := range e.record.Placement {
			if h, found := c.workers[p.Worker]; found && c.lost(h, now) {
				e.message = fmt.Sprintf("worker %q does not answer", p.Worker)
				c.stop(e, now, CauseMemberLost)
				break
			}
		}
	}
}

// silentMember reports whether a running gang has a member on a worker that does not answer and is not lost yet.
func (c *Core) silentMember() bool {
	for _, e := range c.entries {
		if e.phase != phaseRunning {
			continue
		}
		for _, p := range e.record.Placement {
			if h, found := c.workers[p.Worker]; found && !h.silentSince.IsZero() {
				return true
			}
		}
	}
	return false
}

func (c *Core) onLeavingWorker(e *entry) bool {
	return slices.ContainsFunc(e.record.Placement, func(p jobs.Placement) bool {
		h, found := c.workers[p.Worker]
		return found && h.vm.Leaving
	})
}

// Renewal is one call that renews the leases of all jobs on a worker.
type Renewal struct {
	Worker  model.WorkerID
	Address string
	Message worker.Renew
}

// Renewals returns the renewals that are due.
func (c *Core) Renewals(now time.Time) []Renewal {
	on := map[model.WorkerID][]model.JobID{}
	for _, id := range c.ids() {
		e := c.entries[id]
		if e.phase != phaseRunning {
			continue
		}
		for _, p := range e.record.Placement {
			if listed := on[p.Worker]; len(listed) == 0 || listed[len(listed)-1] != id {
				on[p.Worker] = append(listed, id)
			}
		}
	}
	var due []Renewal
	for _, id := range c.Workers() {
		h := c.workers[id]
		// A silent worker is asked even without jobs, because only an answer makes it usable again.
		wanted := len(on[id]) > 0 || !h.silentSince.IsZero()
		if !wanted || h.renewing || now.Before(h.nextRenew) {
			continue
		}
		h.renewing = true
		h.nextRenew = now.Add(c.tuning.Renew)
		for _, job := range on[id] {
			e := c.entries[job]
			e.renewSentAt = now
			c.renewSoon(id, c.expectedEnd(e, now))
		}
		due = append(due, Renewal{Worker: id, Address: h.vm.Address, Message: worker.Renew{
			DataCentre: c.dc, Token: c.token, Jobs: on[id], LeaseMs: c.tuning.Lease.Milliseconds(),
		}})
	}
	return due
}

// endCheckMin is the shortest interval of renewals of one worker.
const endCheckMin = 250 * time.Millisecond

// expectedEnd is when the next renewal should look for the job's end: at the declared end, and when that is past, less
// often the longer ago it was.
func (c *Core) expectedEnd(e *entry, now time.Time) time.Time {
	if e.record.Spec.RunTime == 0 {
		return now.Add(c.tuning.Renew)
	}
	end := e.record.StartedAt.Add((e.record.Spec.RunTime - e.record.Progress).Std() + endCheckMin/5)
	if end.After(now) {
		return now.Add(min(c.tuning.Renew, end.Sub(now)))
	}
	return now.Add(min(c.tuning.Renew, max(endCheckMin, now.Sub(end)/2)))
}

// renewSoon makes a worker's next renewal due at a time, at the earliest shortly from the last one.
func (c *Core) renewSoon(id model.WorkerID, at time.Time) {
	if h, found := c.workers[id]; found && at.Before(h.nextRenew) {
		h.nextRenew = at
	} else if found && h.nextRenew.IsZero() {
		h.nextRenew = at
	}
}

// Renewed reports the result of a renewal.
func (c *Core) Renewed(r Renewal, status worker.Status, err error, sentAt, now time.Time) {
	h, found := c.workers[r.Worker]
	if !found {
		return
	}
	h.renewing = false
	if h.nextRenew.Before(now.Add(endCheckMin)) {
		h.nextRenew = now.Add(endCheckMin)
	}
	if reason, refused := worker.Refused(err); refused && reason == worker.RefusedStaleToken {
		c.lostTo = fmt.Sprintf("worker %q has seen a higher token", r.Worker)
		return
	}
	if err != nil {
		if h.silentSince.IsZero() {
			h.silentSince = sentAt
		}
		h.nextRenew = now.Add(c.tuning.RetryPause)
		return
	}
	h.silentSince = time.Time{}
	tasks := make(map[model.TaskID]worker.Task, len(status.Tasks))
	for _, task := range status.Tasks {
		tasks[task.Task] = task
	}
	for _, job := range r.Message.Jobs {
		c.observe(job, r.Worker, tasks, sentAt, now)
	}
}

// observe compares what a worker says about a running job's tasks with what should be there.
func (c *Core) observe(job model.JobID, id model.WorkerID, tasks map[model.TaskID]worker.Task, sentAt, now time.Time) {
	e, found := c.entries[job]
	if !found || e.phase != phaseRunning || sentAt.Before(e.since) {
		return
	}
	for _, p := range e.record.Placement {
		if p.Worker != id || e.doneTasks[p.Task] {
			continue
		}
		task, there := tasks[p.Task]
		switch {
		case there && !task.State.Ended():
		case there && task.State == worker.TaskDone:
			if e.doneTasks == nil {
				e.doneTasks = map[model.TaskID]bool{}
			}
			e.doneTasks[p.Task] = true
		case there && task.State == worker.TaskFailed:
			e.failedOn, e.message = id, task.Message
			c.stop(e, now, CauseTaskFailed)
			return
		default:
			e.message = fmt.Sprintf("task %q on worker %q is gone", p.Task, id)
			c.stop(e, now, CauseMemberLost)
			return
		}
	}
	if len(e.doneTasks) == len(e.record.Placement) {
		c.done(e, now)
	}
}

// failure decides what becomes of a job of which a task failed, and whether its worker is at fault.
func (c *Core) failure(e *entry, now time.Time, again bool) {
	id := e.failedOn
	repeated := slices.Contains(e.record.FailedOn, id)
	if !repeated {
		e.record.FailedOn = append(slices.Clone(e.record.FailedOn), id)
	}
	c.note(e, now, "failed", string(CauseTaskFailed), map[string]string{"worker": string(id), "message": e.message})
	c.blame(id, e.record.Spec.ID, now)
	everywhere := c.tuning.FailsOn > 0 && (repeated || len(e.record.FailedOn) >= c.tuning.FailsOn) && slices.Contains(e.record.FailedOn, id)
	switch {
	case everywhere:
		// The fault is the job's: it no longer counts against the workers.
		for _, h := range c.workers {
			h.failed = slices.DeleteFunc(h.failed, func(job model.JobID) bool { return job == e.record.Spec.ID })
		}
		c.end(e, now, jobs.StateFailed, reply.OutcomeFailed, reply.ReasonJobFailsEverywhere,
			fmt.Sprintf("tasks failed on workers %v", e.record.FailedOn))
	case again:
		pause := c.tuning.RetryPause * time.Duration(len(e.record.FailedOn))
		c.queueAgain(e, now)
		e.readyAt = now.Add(min(pause, c.tuning.RetryPauseMax))
	default:
		c.end(e, now, jobs.StateFailed, reply.OutcomeFailed, jobs.ReasonTaskFailed, "task failed: "+e.message)
	}
}

// blame counts a failure against a worker and quarantines it after different jobs failed there in a row.
func (c *Core) blame(id model.WorkerID, job model.JobID, now time.Time) {
	h, found := c.workers[id]
	if !found || c.tuning.QuarantineAfter == 0 {
		return
	}
	if !slices.Contains(h.failed, job) {
		h.failed = append(h.failed, job)
	}
	if len(h.failed) < c.tuning.QuarantineAfter && !h.probe {
		return
	}
	c.event("worker", string(id), "quarantined", "jobs-failed", map[string]string{"jobs": fmt.Sprint(h.failed)})
	h.quarantinedUntil, h.probe, h.failed = now.Add(c.tuning.Quarantine), false, nil
	// The worker is at fault: its failures no longer count against the jobs.
	for _, e := range c.entries {
		e.record.FailedOn = slices.DeleteFunc(slices.Clone(e.record.FailedOn), func(w model.WorkerID) bool { return w == id })
	}
}

// cleared notes that a job ended well or ran long: its workers are not at fault.
func (c *Core) cleared(e *entry) {
	for _, p := range e.record.Placement {
		h, found := c.workers[p.Worker]
		if !found {
			continue
		}
		h.failed = nil
		if h.probe {
			h.probe, h.quarantinedUntil = false, time.Time{}
			c.event("worker", string(p.Worker), "cleared", "probe-succeeded", map[string]string{"job": string(e.record.Spec.ID)})
		}
	}
}

// ranLong reports whether a job ran at least a minute or half of its declared time.
func ranLong(record jobs.Record, now time.Time, long time.Duration) bool {
	ran := now.Sub(record.StartedAt)
	declared := record.Spec.RunTime.Std()
	return ran >= long || (declared > 0 && ran >= declared/2)
}
