package chief

import (
	"maps"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

func (c *Scheduler) applyJobItems(items []kv.Item) {
	clear(c.cancelRequested) // Records that have expired are not in the list.
	for _, item := range items {
		c.applyJobItem(item)
	}
	if !c.jobsLoaded {
		c.jobsLoaded, c.loadedAt = true, c.Now()
		c.Log.Info().Uint64("token", uint64(c.Term.Token)).Int("jobs", len(c.jobs)).Int("live", len(c.liveJobs)).
			Int("workers", len(c.workers)).Int("roster", len(c.roster.entries)).Uint64("roster-revision", uint64(c.roster.revision)).
			Uint64("placements-since", uint64(c.placementsSince)).Msg("chief: jobs loaded")
		for _, w := range c.workers {
			c.pollIfDue(w)
		}
	}
	c.dirty = true
}

func (c *Scheduler) applyJobEvents(events []kv.Event) {
	for _, event := range events {
		if event.Removed {
			c.applyJobRemoval(event.Key)
			continue
		}
		c.applyJobItem(event.Item)
	}
	c.dirty = true
}

// applyJobRemoval forgets a cancellation without a job that has expired. Jobs are forgotten once this instance has removed their records.
func (c *Scheduler) applyJobRemoval(key string) {
	if id, cancel := work.SplitJobKey(key); cancel && c.jobs[id] == nil {
		delete(c.cancelRequested, id)
	}
}

func (c *Scheduler) applyJobItem(item kv.Item) {
	id, cancel := work.SplitJobKey(item.Key)
	if cancel {
		c.cancelRequested[id] = item.Created
		if j := c.jobs[id]; j != nil {
			c.cancelIfRequested(j)
		}
		return
	}
	if j := c.jobs[id]; j != nil {
		if item.Created > j.created {
			c.resubmitted[id] = item
		}
		return
	}
	if removed, found := c.forgotten[id]; found && removed.created == item.Created {
		return
	}
	spec, err := work.Decode[work.Job](item.Value)
	if err != nil {
		c.Log.Error().Err(err).Str("job", string(id)).Msg("chief: job's record ignored")
		return
	}
	c.addJob(&spec, item.Created, "watch")
}

// addJob adds a job to the state; source names where it was learned from.
func (c *Scheduler) addJob(spec *work.Job, created kv.Revision, source string) {
	j := &job{
		spec: spec, graph: work.NewGraph(spec.Steps), created: created, state: work.StateQueued, durableState: work.StateQueued, knownAt: c.Now(),
		inherited: created < kv.Revision(c.Term.Token),
	}
	j.placement = c.claimPlacement(spec.ID, created)
	j.beyondRate = !j.inherited && c.exceedsRate(spec.Tenant)
	c.jobs[spec.ID] = j
	if record, found := c.unclaimedProgress[spec.ID]; found {
		delete(c.unclaimedProgress, spec.ID)
		j.record = record.revision
		c.restoreProgress(j, record.progress)
	}
	c.setDue(j)
	if !j.state.Final() {
		c.liveJobs = append(c.liveJobs, j)
		c.openDue(j, c.Now())
	}
	c.countMemory(j)
	c.publishState(j)
	c.logJobKnown(j, source)
	c.cancelIfRequested(j)
}

// cancelIfRequested cancels a job if the store has a cancellation of it, which is newer than the job. An older one is that of a job that had the
// id before.
func (c *Scheduler) cancelIfRequested(j *job) {
	if c.cancelRequested[j.spec.ID] > j.created {
		c.cancelJob(j)
	}
}

// logJobKnown logs a job that became known; of one of an earlier term, also which records it was restored from.
func (c *Scheduler) logJobKnown(j *job, source string) {
	line := c.Log.Info().Str("job", string(j.spec.ID)).Str("queue", string(j.spec.Queue)).Int("steps", len(j.spec.Steps)).
		Dur("known-after", c.WallClock().Sub(j.spec.Accepted)).Str("state", string(j.state)).Str("by", source).
		Uint64("created", uint64(j.created))
	if j.inherited {
		line = line.Uint64("progress", uint64(j.record)).Int("occurrences-done", j.done.Len()).Uint64("placement", uint64(j.placement.revision)).
			Int("placed-on", len(j.placement.stored)).Bool("placed-anywhere", j.placement.unknown)
	}
	line.Msg("chief: job known")
	switch {
	case !j.inherited:
		c.Observe.JobStep(JobKnown)
	case !j.state.Final():
		c.Observe.JobStep(JobTakenOver)
	}
}

// restoreProgress applies a progress record of an earlier term.
func (c *Scheduler) restoreProgress(j *job, progress work.Progress) {
	j.started = true
	if progress.State != "" {
		j.state, j.durableState = progress.State, progress.State
	}
	j.endedAt = progress.Ended
	if j.state.Final() {
		j.finishedAt = c.Now()
	}
	j.done, j.saved = progress.Done, progress
}

func restoreStage(s *stage, saved work.StepProgress) {
	for index := range s.tasks {
		t := &s.tasks[index]
		if !s.step.Gang {
			t.failedRuns = saved.Failed[index]
		}
		for _, number := range saved.Failed[index] {
			t.lastRun = max(t.lastRun, number)
		}
		if saved.IsDone(index) {
			t.done = true
			s.unfinished--
		}
	}
	if s.step.Gang {
		s.failedRuns = saved.Failed[0]
		for index := range s.tasks {
			s.tasks[index].lastRun = max(s.tasks[index].lastRun, s.tasks[0].lastRun)
		}
	}
	if s.unfinished == 0 {
		s.complete()
	}
}

// progressRecord returns the progress record to store for a job.
func (j *job) progressRecord() work.Progress {
	record := work.Progress{State: j.state, Ended: j.endedAt, Why: j.reason}
	if j.state.Final() {
		return record
	}
	record.Done, record.Steps, record.Complete = j.done, map[int]map[int]work.StepProgress{}, map[int]work.Ranges{}
	maps.Copy(record.Steps, j.saved.Steps)
	maps.Copy(record.Complete, j.saved.Complete)
	for _, o := range j.occurrences {
		if o.unfinished > 0 {
			o.addProgress(&record)
		}
	}
	return record
}

// addProgress adds the progress of an occurrence that is not complete to the record of its job.
func (o *occurrence) addProgress(record *work.Progress) {
	var complete work.Ranges
	steps := map[int]work.StepProgress{}
	for i, s := range o.stages {
		if s.unfinished == 0 {
			complete.Add(i)
		} else if step, found := s.progressRecord(); found {
			steps[i] = step
		}
	}
	if len(complete) > 0 {
		record.Complete[o.number] = complete
	}
	if len(steps) > 0 {
		record.Steps[o.number] = steps
	}
}

// progressRecord returns the progress of a step that is not complete, and whether it has any.
func (s *stage) progressRecord() (step work.StepProgress, found bool) {
	for index := range s.tasks {
		t := &s.tasks[index]
		if t.done {
			step.SetDone(index)
			found = true
		}
		failedRuns := t.failedRuns
		if s.step.Gang && index == 0 {
			failedRuns = s.failedRuns
		}
		if len(failedRuns) > 0 {
			if step.Failed == nil {
				step.Failed = map[int][]work.RunNumber{}
			}
			step.Failed[index] = failedRuns
			found = true
		}
	}
	return step, found
}

func (c *Scheduler) cancelJob(j *job) {
	if j.cancelled || j.state.Final() {
		return
	}
	j.cancelled = true
	c.finishJob(j, work.StateCancelled, "cancelled by its caller")
}

// finishJob ends a job: its runs are stopped, and State returns the final state once that is stored.
func (c *Scheduler) finishJob(j *job, state work.State, reason string) {
	j.state, j.reason, j.endedAt, j.finishedAt = state, reason, c.WallClock(), c.Now()
	j.dirty = true
	c.dirty = true
	c.endStall(j, j.finishedAt)
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			for index := range s.tasks {
				// The remaining members of a gang end by themselves once one is done.
				if r := s.tasks[index].activeRun; r != nil && !s.tasks[index].done {
					c.stopRun(r, "job is "+string(state))
				}
			}
		}
	}
	for i, other := range c.liveJobs {
		if other == j {
			c.liveJobs = append(c.liveJobs[:i], c.liveJobs[i+1:]...)
			break
		}
	}
	c.releaseSoon(j)
	c.Log.Info().Str("job", string(j.spec.ID)).Str("state", string(state)).Str("why", reason).
		Dur("after", j.finishedAt.Sub(j.due)).Dur("late-by", j.finishedAt.Sub(j.deadline)).Msg("chief: job over")
	c.Observe.JobStep(JobOver)
}

// markFinalStored notes that the final state of a job is stored: only then do callers see it.
func (c *Scheduler) markFinalStored(j *job) {
	c.Observe.JobStep(JobStored)
	c.Log.Info().Str("job", string(j.spec.ID)).Str("state", string(j.durableState)).Uint64("revision", uint64(j.record)).
		Dur("after", c.Now().Sub(j.finishedAt)).Msg("chief: end of job stored")
}

// handleRunEnd updates the task and the gang of a run that has ended and whose resources are freed.
func (c *Scheduler) handleRunEnd(r *run, how work.How, checkpoint work.Checkpoint) {
	t := r.task
	if t == nil {
		return
	}
	s := t.stage
	if t.activeRun == r {
		t.activeRun, t.endedAt = nil, c.Now()
	}
	if checkpoint != "" {
		c.setCheckpoint(s, t, checkpoint)
	}
	if r.gang != nil {
		delete(r.gang.members, r)
	}
	switch how {
	case work.EndedDone:
		c.completeTask(s, t, r)
	case work.EndedFailed:
		c.recordTaskFailure(s, t, r)
	default:
		if r.gang != nil {
			c.stopGang(r.gang, memberEnded+string(how))
		}
	}
	if r.gang != nil && len(r.gang.members) == 0 && s.gang == r.gang {
		s.gang = nil
	}
	if s.occurrence.unfinished == 0 || s.job.state.Final() {
		c.releaseSoon(s.job)
	}
	if s.waitingSince == 0 {
		s.waitingSince = c.Now()
	}
	c.dirty = true
}

// setCheckpoint records a task's checkpoint; in a gang it counts for all members.
func (c *Scheduler) setCheckpoint(s *stage, t *task, checkpoint work.Checkpoint) {
	t.checkpoint = checkpoint
	if s.step.Gang {
		for index := range s.tasks {
			s.tasks[index].checkpoint = checkpoint
		}
	}
}

// completeTask marks a task as done, or all tasks of its gang; tasks of a step that lasts are never done.
func (c *Scheduler) completeTask(s *stage, t *task, r *run) {
	if s.step.Lasts || t.done {
		return
	}
	if s.step.Gang {
		// One member that is done completes the whole gang.
		for index := range s.tasks {
			s.tasks[index].done = true
		}
		s.unfinished = 0
		if r.gang != nil {
			r.gang.ending = true
		}
	} else {
		t.done = true
		s.unfinished--
	}
	s.job.dirty = true
	c.recordRunTime(s, r)
	if s.unfinished > 0 {
		return
	}
	s.finishedAt = c.Now()
	s.complete()
	if s.job.complete() && !s.job.state.Final() {
		c.finishJob(s.job, work.StateCompleted, "all tasks are done")
	}
}

// recordTaskFailure counts a failed run of a task or gang, and fails the job once its attempts are used up.
func (c *Scheduler) recordTaskFailure(s *stage, t *task, r *run) {
	if t.done || s.job.state.Final() {
		return
	}
	t.failedOn = r.worker.info.ID
	s.job.hasFailed = true
	if s.step.Lasts {
		t.notBefore = c.Now().Add(restartPause)
		return
	}
	s.job.dirty = true
	failures := 0
	if s.step.Gang {
		s.failedRuns = addFailedRun(s.failedRuns, r.key.number)
		if r.gang != nil {
			c.stopGang(r.gang, "member failed")
		}
		failures = len(s.failedRuns)
	} else {
		t.failedRuns = addFailedRun(t.failedRuns, r.key.number)
		failures = len(t.failedRuns)
	}
	if failures >= c.maxAttempts(s.job) {
		c.finishJob(s.job, work.StateFailed, "a task failed as often as its queue allows")
	}
}

// addFailedRun adds a failed run unless it is already counted.
func addFailedRun(failedRuns []work.RunNumber, number work.RunNumber) []work.RunNumber {
	if slices.Contains(failedRuns, number) {
		return failedRuns
	}
	return append(failedRuns, number)
}

// restartPause delays the next start of a task after a rejected start, and that of a long-running task after a failure.
const restartPause = 100 * time.Millisecond

func (c *Scheduler) maxAttempts(j *job) int { return c.Config().Terms(j.spec).MaxAttempts }

// stopGang stops the remaining members of a gang.
func (c *Scheduler) stopGang(g *gang, reason string) {
	if g.ending {
		return
	}
	g.ending = true
	for r := range g.members {
		c.stopRun(r, reason)
	}
}

// findTask returns the task with an id, or nil.
func (c *Scheduler) findTask(id work.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Step >= len(j.spec.Steps) {
		return nil
	}
	o := c.occurrence(j, id.Occurrence)
	if o == nil {
		return nil
	}
	s := o.stages[id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[id.Index]
}

const (
	finishedRetention = 30 * time.Second // beyond Limits.StatusRetention
	// forgottenRetention is far longer than a list of all jobs takes to read: each of its pages has at most two seconds.
	forgottenRetention = 2 * time.Minute
	maxRemovedJobs     = 6 // in one transaction: each job has four keys and a condition, which must fit in kv.MaxTxnEntries
)

// forgottenJob is a job whose records were removed.
type forgottenJob struct {
	created kv.Revision // of the job's record
	at      clock.Instant
}

// removeExpiredJobs deletes finished jobs whose state can no longer be queried.
func (c *Scheduler) removeExpiredJobs(now clock.Instant) {
	if c.writeInFlight || !c.TermValid() {
		return
	}
	var ids []model.JobID
	for id, j := range c.jobs {
		if j.durableState.Final() && now.Sub(j.finishedAt) > c.Limits.StatusRetention+finishedRetention {
			ids = append(ids, id)
			if len(ids) == maxRemovedJobs {
				break
			}
		}
	}
	if len(ids) > 0 {
		c.removeJobs(ids)
	}
	maps.DeleteFunc(c.forgotten, func(_ model.JobID, f forgottenJob) bool { return now.Sub(f.at) > forgottenRetention })
}
