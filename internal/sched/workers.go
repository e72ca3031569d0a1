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

// SetWorkers sets the workers of the VM list. A worker that is no longer listed gets no new work, but its jobs run on until
// it stops answering, because the list may be out of date.
func (c *Core) SetWorkers(vms []WorkerVM) {
	for _, health := range c.workers {
		health.listed = false
	}
	for _, vm := range vms {
		if vm.DataCentre != c.dc {
			continue
		}
		health, found := c.workers[vm.ID]
		if !found {
			health = &workerHealth{}
			c.workers[vm.ID] = health
		}
		health.vm, health.listed = vm, true
	}
}

// Address returns the address of a worker.
func (c *Core) Address(id model.WorkerID) (string, bool) {
	health, found := c.workers[id]
	if !found {
		return "", false
	}
	return health.vm.Address, true
}

// Workers returns the ids of all known workers, sorted.
func (c *Core) Workers() []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// refreshWorkers updates the workers of the cluster if any of them changed.
func (c *Core) refreshWorkers(now time.Time) {
	clusterWorkers := make([]place.Worker, 0, len(c.workers))
	for id, health := range c.workers {
		clusterWorkers = append(clusterWorkers, place.Worker{
			ID: id, Rack: health.vm.Rack, Accelerators: health.vm.Accelerators, Cores: health.vm.Cores,
			State: c.workerState(id, health, now),
		})
	}
	slices.SortFunc(clusterWorkers, func(a, b place.Worker) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(clusterWorkers, c.clusterWorkers) {
		return
	}
	c.clusterWorkers = clusterWorkers
	before := len(c.cluster.Unbound())
	c.cluster.SetWorkers(clusterWorkers)
	if after := c.cluster.Unbound(); len(after) != before {
		c.addEvent("data-centre", string(c.dc), "bound", "workers-changed", map[string]string{"unbound": fmt.Sprint(after)})
	}
}

func (c *Core) workerState(id model.WorkerID, health *workerHealth, now time.Time) place.WorkerState {
	switch {
	case !health.listed || health.vm.Leaving || now.Before(health.suspectUntil) || c.isLost(health, now):
		return place.WorkerClosed
	case health.quarantinedUntil.IsZero():
		return place.WorkerUsable
	case now.Before(health.quarantinedUntil):
		return place.WorkerClosed
	}
	if !health.probing {
		health.probing = true
		c.addEvent("worker", string(id), "probing", "quarantine-over", nil)
	}
	return place.WorkerProbe
}

// LostCause describes how a higher fencing token was seen, which ends this ownership; it is empty until then.
func (c *Core) LostCause() string { return c.lostCause }

func (c *Core) isLost(health *workerHealth, now time.Time) bool {
	return !health.silentSince.IsZero() && now.Sub(health.silentSince) >= c.tuning.LostAfter
}

// stopGangsOnLostWorkers stops the gangs that have a member on a worker that was silent for Tuning.LostAfter.
func (c *Core) stopGangsOnLostWorkers(now time.Time) {
	for _, id := range c.jobIDs() {
		entry := c.entries[id]
		if entry.phase != phaseRunning {
			continue
		}
		for _, p := range entry.record.Placement {
			if health, found := c.workers[p.Worker]; found && c.isLost(health, now) {
				entry.message = fmt.Sprintf("worker %q does not answer", p.Worker)
				c.stopGang(entry, now, CauseMemberLost)
				break
			}
		}
	}
}

// hasSilentMember reports whether a running gang has a member on a worker that does not answer.
func (c *Core) hasSilentMember() bool {
	for _, entry := range c.entries {
		if entry.phase != phaseRunning {
			continue
		}
		for _, p := range entry.record.Placement {
			if health, found := c.workers[p.Worker]; found && !health.silentSince.IsZero() {
				return true
			}
		}
	}
	return false
}

func (c *Core) onLeavingWorker(entry *jobEntry) bool {
	return slices.ContainsFunc(entry.record.Placement, func(p jobs.Placement) bool {
		health, found := c.workers[p.Worker]
		return found && health.vm.Leaving
	})
}

// Renewal is a call that renews the leases of all jobs on a worker.
type Renewal struct {
	Worker  model.WorkerID
	Address string
	Message worker.Renew
}

// Renewals returns the renewals that are due and marks them as in flight.
func (c *Core) Renewals(now time.Time) []Renewal {
	jobsByWorker := map[model.WorkerID][]model.JobID{}
	for _, id := range c.jobIDs() {
		entry := c.entries[id]
		if entry.phase != phaseRunning {
			continue
		}
		for _, p := range entry.record.Placement {
			if workerJobs := jobsByWorker[p.Worker]; len(workerJobs) == 0 || workerJobs[len(workerJobs)-1] != id {
				jobsByWorker[p.Worker] = append(workerJobs, id)
			}
		}
	}
	var due []Renewal
	for _, id := range c.Workers() {
		health := c.workers[id]
		// A silent worker is called even without jobs, because only an answer makes it usable again.
		wanted := len(jobsByWorker[id]) > 0 || !health.silentSince.IsZero()
		if !wanted || health.renewInFlight || now.Before(health.nextRenewAt) {
			continue
		}
		health.renewInFlight = true
		health.nextRenewAt = now.Add(c.tuning.Renew)
		for _, job := range jobsByWorker[id] {
			entry := c.entries[job]
			entry.lastRenewSentAt = now
			c.scheduleRenewal(id, c.nextEndCheck(entry, now))
		}
		due = append(due, Renewal{Worker: id, Address: health.vm.Address, Message: worker.Renew{
			DataCentre: c.dc, Token: c.token, Jobs: jobsByWorker[id], LeaseMs: c.tuning.Lease.Milliseconds(),
		}})
	}
	return due
}

// minRenewInterval is the shortest interval between renewals of one worker.
const minRenewInterval = 250 * time.Millisecond

// nextEndCheck returns when the next renewal should check whether the job has ended: at its declared end, and after that at
// intervals that grow with the time since then.
func (c *Core) nextEndCheck(entry *jobEntry, now time.Time) time.Time {
	if entry.record.Spec.RunTime == 0 {
		return now.Add(c.tuning.Renew)
	}
	end := entry.record.StartedAt.Add((entry.record.Spec.RunTime - entry.record.Progress).Std() + minRenewInterval/5)
	if end.After(now) {
		return now.Add(min(c.tuning.Renew, end.Sub(now)))
	}
	return now.Add(min(c.tuning.Renew, max(minRenewInterval, now.Sub(end)/2)))
}

// scheduleRenewal makes a worker's next renewal due at a time, unless it is due earlier.
func (c *Core) scheduleRenewal(id model.WorkerID, at time.Time) {
	if health, found := c.workers[id]; found && at.Before(health.nextRenewAt) {
		health.nextRenewAt = at
	} else if found && health.nextRenewAt.IsZero() {
		health.nextRenewAt = at
	}
}

// Renewed reports the result of a renewal that was sent at sentAt.
func (c *Core) Renewed(r Renewal, status worker.Status, err error, sentAt, now time.Time) {
	health, found := c.workers[r.Worker]
	if !found {
		return
	}
	health.renewInFlight = false
	if health.nextRenewAt.Before(now.Add(minRenewInterval)) {
		health.nextRenewAt = now.Add(minRenewInterval)
	}
	if reason, refused := worker.Refused(err); refused && reason == worker.RefusedStaleToken {
		c.lostCause = fmt.Sprintf("worker %q has seen a higher token", r.Worker)
		return
	}
	if err != nil {
		if health.silentSince.IsZero() {
			health.silentSince = sentAt
		}
		health.nextRenewAt = now.Add(c.tuning.RetryPause)
		return
	}
	health.silentSince = time.Time{}
	tasks := make(map[model.TaskID]worker.Task, len(status.Tasks))
	for _, task := range status.Tasks {
		tasks[task.Task] = task
	}
	for _, job := range r.Message.Jobs {
		c.checkTasks(job, r.Worker, tasks, sentAt, now)
	}
}

// checkTasks compares the tasks that a worker reported with the placement of a running job.
func (c *Core) checkTasks(job model.JobID, id model.WorkerID, tasks map[model.TaskID]worker.Task, sentAt, now time.Time) {
	entry, found := c.entries[job]
	if !found || entry.phase != phaseRunning || sentAt.Before(entry.runningSince) {
		return
	}
	for _, p := range entry.record.Placement {
		if p.Worker != id || entry.doneTasks[p.Task] {
			continue
		}
		task, reported := tasks[p.Task]
		switch {
		case reported && !task.State.Ended():
		case reported && task.State == worker.TaskDone:
			if entry.doneTasks == nil {
				entry.doneTasks = map[model.TaskID]bool{}
			}
			entry.doneTasks[p.Task] = true
		case reported && task.State == worker.TaskFailed:
			entry.failedWorker, entry.message = id, task.Message
			c.stopGang(entry, now, CauseTaskFailed)
			return
		default:
			entry.message = fmt.Sprintf("task %q on worker %q is gone", p.Task, id)
			c.stopGang(entry, now, CauseMemberLost)
			return
		}
	}
	if len(entry.doneTasks) == len(entry.record.Placement) {
		c.finishJob(entry, now)
	}
}

// handleTaskFailure queues or ends a job after a task failed, and counts the failure against the worker.
func (c *Core) handleTaskFailure(entry *jobEntry, now time.Time, mayRepeat bool) {
	id := entry.failedWorker
	repeated := slices.Contains(entry.record.FailedOn, id)
	if !repeated {
		entry.record.FailedOn = append(slices.Clone(entry.record.FailedOn), id)
	}
	c.addNote(entry, now, "failed", string(CauseTaskFailed), map[string]string{"worker": string(id), "message": entry.message})
	c.countWorkerFailure(id, entry.record.Spec.ID, now)
	failsEverywhere := c.tuning.MaxFailedWorkers > 0 && (repeated || len(entry.record.FailedOn) >= c.tuning.MaxFailedWorkers)
	switch {
	case failsEverywhere:
		// The job is at fault, so its failures no longer count against the workers.
		for _, health := range c.workers {
			health.failedJobs = slices.DeleteFunc(health.failedJobs, func(job model.JobID) bool { return job == entry.record.Spec.ID })
		}
		c.endJob(entry, now, jobs.StateFailed, reply.OutcomeFailed, reply.ReasonJobFailsEverywhere,
			fmt.Sprintf("tasks failed on workers %v", entry.record.FailedOn))
	case mayRepeat:
		pause := c.tuning.RetryPause * time.Duration(len(entry.record.FailedOn))
		c.writeRequeued(entry, now)
		entry.notBefore = now.Add(min(pause, c.tuning.RetryPauseMax))
	default:
		c.endJob(entry, now, jobs.StateFailed, reply.OutcomeFailed, jobs.ReasonTaskFailed, "task failed: "+entry.message)
	}
}

// countWorkerFailure counts a failure against a worker, and quarantines it when enough different jobs failed there in a row.
func (c *Core) countWorkerFailure(id model.WorkerID, job model.JobID, now time.Time) {
	health, found := c.workers[id]
	if !found || c.tuning.QuarantineAfter == 0 {
		return
	}
	if !slices.Contains(health.failedJobs, job) {
		health.failedJobs = append(health.failedJobs, job)
	}
	if len(health.failedJobs) < c.tuning.QuarantineAfter && !health.probing {
		return
	}
	c.addEvent("worker", string(id), "quarantined", "jobs-failed", map[string]string{"jobs": fmt.Sprint(health.failedJobs)})
	health.quarantinedUntil, health.probing, health.failedJobs = now.Add(c.tuning.Quarantine), false, nil
	// The worker is at fault, so its failures no longer count against the jobs.
	for _, entry := range c.entries {
		entry.record.FailedOn = slices.DeleteFunc(slices.Clone(entry.record.FailedOn), func(w model.WorkerID) bool { return w == id })
	}
}

// clearWorkerFailures resets the failures of a job's workers, after the job succeeded or ran long enough.
func (c *Core) clearWorkerFailures(entry *jobEntry) {
	for _, p := range entry.record.Placement {
		health, found := c.workers[p.Worker]
		if !found {
			continue
		}
		health.failedJobs = nil
		if health.probing {
			health.probing, health.quarantinedUntil = false, time.Time{}
			c.addEvent("worker", string(p.Worker), "cleared", "probe-succeeded", map[string]string{"job": string(entry.record.Spec.ID)})
		}
	}
}

// ranLongEnough reports whether a job ran for at least minRunTime or half of its declared run time.
func ranLongEnough(record jobs.Record, now time.Time, minRunTime time.Duration) bool {
	ran := now.Sub(record.StartedAt)
	declared := record.Spec.RunTime.Std()
	return ran >= minRunTime || (declared > 0 && ran >= declared/2)
}
