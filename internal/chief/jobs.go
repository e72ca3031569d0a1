package chief

import (
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

func (c *Chief) jobItems(items []kv.Item) {
	for _, item := range items {
		c.jobItem(item)
	}
	if !c.ready {
		c.ready = true
		c.Log.Info().Int("jobs", len(c.jobs)).Int("live", len(c.live)).Int("workers", len(c.workers)).Msg("chief: jobs loaded")
		for _, w := range c.workers {
			c.wake(w)
		}
	}
	c.dirty = true
}

func (c *Chief) jobEvents(events []kv.Event) {
	for _, event := range events {
		if !event.Removed {
			c.jobItem(event.Item)
		}
	}
	c.dirty = true
}

func (c *Chief) jobItem(item kv.Item) {
	id, cancel := work.SplitJobKey(item.Key)
	if cancel {
		c.cancels[id] = true
		if j := c.jobs[id]; j != nil {
			c.cancelJob(j)
		}
		return
	}
	if c.jobs[id] != nil {
		return
	}
	spec, err := work.Decode[work.Job](item.Value)
	if err != nil {
		c.Log.Error().Err(err).Str("job", string(id)).Msg("chief: job's record ignored")
		return
	}
	c.addJob(&spec, item.Created)
	if c.cancels[id] {
		c.cancelJob(c.jobs[id])
	}
}

func (c *Chief) addJob(spec *work.Job, created kv.Revision) {
	j := &job{
		spec: spec, state: work.StateQueued, shown: work.StateQueued, known: c.Now(),
		inherited: created < kv.Revision(c.Term.Token),
	}
	for k := range spec.Occurrences() {
		var units []*unit
		for i := range spec.Steps {
			step := &spec.Steps[i]
			u := &unit{
				job: j, id: work.StepID{Job: spec.ID, Occurrence: k, Step: i}, step: step,
				tasks: make([]task, step.Count), left: step.Count, perRun: map[*worker]int{},
			}
			for n := range u.tasks {
				u.tasks[n].unit, u.tasks[n].index = u, n
			}
			units = append(units, u)
		}
		j.units = append(j.units, units)
		j.left += len(units)
	}
	c.jobs[spec.ID] = j
	if record, found := c.orphans[spec.ID]; found {
		delete(c.orphans, spec.ID)
		j.record = record.revision
		c.restore(j, record.progress)
	}
	if !j.state.Final() {
		c.live = append(c.live, j)
		j.deadline = c.deadline(j)
	}
	c.show(j)
	c.Log.Info().Str("job", string(spec.ID)).Str("queue", string(spec.Queue)).Int("steps", len(spec.Steps)).
		Dur("known-after", c.Clock().Sub(spec.Accepted)).Str("state", string(j.state)).Msg("chief: job known")
}

// restore applies the durable progress of an earlier term.
func (c *Chief) restore(j *job, progress work.Progress) {
	j.began = true
	if progress.State != "" {
		j.state, j.shown = progress.State, progress.State
	}
	j.ended = progress.Ended
	if j.state.Final() {
		j.finished = c.Now()
	}
	for k, steps := range progress.Steps {
		for i, saved := range steps {
			if k < len(j.units) && i < len(j.units[k]) {
				restoreUnit(j.units[k][i], saved)
			}
		}
	}
}

func restoreUnit(u *unit, saved work.StepProgress) {
	for n := range u.tasks {
		t := &u.tasks[n]
		if !u.step.Gang {
			t.counted = saved.Failed[n]
		}
		for _, number := range saved.Failed[n] {
			t.last = max(t.last, number)
		}
		if saved.IsDone(n) {
			t.done = true
			u.left--
		}
	}
	if u.step.Gang {
		u.counted = saved.Failed[0]
		for n := range u.tasks {
			u.tasks[n].last = max(u.tasks[n].last, u.tasks[0].last)
		}
	}
	if u.left == 0 {
		u.job.left--
	}
}

// progress returns the durable record of a job.
func (j *job) progress() work.Progress {
	p := work.Progress{State: j.state, Ended: j.ended, Why: j.why, Steps: map[int]map[int]work.StepProgress{}}
	if j.state.Final() {
		return p
	}
	for k, units := range j.units {
		for i, u := range units {
			if step, found := u.progress(); found {
				if p.Steps[k] == nil {
					p.Steps[k] = map[int]work.StepProgress{}
				}
				p.Steps[k][i] = step
			}
		}
	}
	return p
}

func (u *unit) progress() (step work.StepProgress, found bool) {
	if u.left == 0 {
		return work.StepProgress{All: true}, true
	}
	for n := range u.tasks {
		t := &u.tasks[n]
		if t.done {
			step.SetDone(n)
			found = true
		}
		counted := t.counted
		if u.step.Gang && n == 0 {
			counted = u.counted
		}
		if len(counted) > 0 {
			if step.Failed == nil {
				step.Failed = map[int][]work.RunNumber{}
			}
			step.Failed[n] = counted
			found = true
		}
	}
	return step, found
}

// deadline returns when a job should be complete by its queue's target.
func (c *Chief) deadline(j *job) time.Time {
	due := j.spec.Accepted
	if first := j.spec.Due(0); first.After(due) {
		due = first
	}
	terms := c.Config().Terms(j.spec)
	return due.Add(time.Duration(terms.Stretch*float64(j.spec.Chain())) + terms.Latency)
}

func (c *Chief) cancelJob(j *job) {
	if j.cancelled || j.state.Final() {
		return
	}
	j.cancelled = true
	c.finishJob(j, work.StateCancelled, "cancelled by its caller")
}

// finishJob ends a job: what runs is stopped, and the state is shown once it is durable.
func (c *Chief) finishJob(j *job, state work.State, why string) {
	j.state, j.why, j.ended, j.finished = state, why, c.Clock(), c.Now()
	j.dirty = true
	c.dirty = true
	for _, units := range j.units {
		for _, u := range units {
			for n := range u.tasks {
				// The members of a gang of which one has ended done end by themselves.
				if r := u.tasks[n].active; r != nil && !u.tasks[n].done {
					c.stop(r, "job is "+string(state))
				}
			}
		}
	}
	for i, other := range c.live {
		if other == j {
			c.live = append(c.live[:i], c.live[i+1:]...)
			break
		}
	}
	c.Log.Info().Str("job", string(j.spec.ID)).Str("state", string(state)).Str("why", why).
		Dur("after", j.ended.Sub(j.spec.Accepted)).Dur("late-by", j.ended.Sub(j.deadline)).Msg("chief: job over")
}

// ended handles a run that is certainly over; room has been freed.
func (c *Chief) ended(r *run, how work.How, saved work.Checkpoint) {
	t := r.task
	if t == nil {
		return
	}
	u := t.unit
	if t.active == r {
		t.active = nil
	}
	if saved != "" {
		c.keepCheckpoint(u, t, saved)
	}
	if r.group != nil {
		delete(r.group.members, r)
	}
	switch how {
	case work.EndedDone:
		c.taskDone(u, t, r)
	case work.EndedFailed:
		c.taskFailed(u, t, r)
	default:
		if r.group != nil {
			c.breakGroup(r.group, "member ended: "+string(how))
		}
	}
	if r.group != nil && len(r.group.members) == 0 && u.group == r.group {
		u.group = nil
	}
	if u.waiting == 0 {
		u.waiting = c.Now()
	}
	c.dirty = true
}

// keepCheckpoint notes saved progress; in a gang it holds for all members.
func (c *Chief) keepCheckpoint(u *unit, t *task, saved work.Checkpoint) {
	t.saved = saved
	if u.step.Gang {
		for n := range u.tasks {
			u.tasks[n].saved = saved
		}
	}
}

func (c *Chief) taskDone(u *unit, t *task, r *run) {
	if u.step.Lasts || t.done {
		return
	}
	if u.step.Gang {
		// One end stands for all members.
		for n := range u.tasks {
			u.tasks[n].done = true
		}
		u.left = 0
		if r.group != nil {
			r.group.ending = true
		}
	} else {
		t.done = true
		u.left--
	}
	u.job.dirty = true
	c.learn(u, r)
	if u.left > 0 {
		return
	}
	u.finished = c.Now()
	u.job.left--
	if u.job.left == 0 && !u.job.state.Final() {
		c.finishJob(u.job, work.StateCompleted, "all tasks are done")
	}
}

func (c *Chief) taskFailed(u *unit, t *task, r *run) {
	if t.done || u.job.state.Final() {
		return
	}
	t.failedOn = r.worker.info.ID
	if u.step.Lasts {
		t.after = c.Now().Add(restartPause)
		return
	}
	u.job.dirty = true
	failures := 0
	if u.step.Gang {
		u.counted = countOnce(u.counted, r.key.number)
		if r.group != nil {
			c.breakGroup(r.group, "member failed")
		}
		failures = len(u.counted)
	} else {
		t.counted = countOnce(t.counted, r.key.number)
		failures = len(t.counted)
	}
	if failures >= c.maxAttempts(u.job) {
		c.finishJob(u.job, work.StateFailed, "a task failed as often as its queue allows")
	}
}

// countOnce adds a failed run unless it is counted already.
func countOnce(counted []work.RunNumber, number work.RunNumber) []work.RunNumber {
	if slices.Contains(counted, number) {
		return counted
	}
	return append(counted, number)
}

const restartPause = 100 * time.Millisecond

func (c *Chief) maxAttempts(j *job) int { return c.Config().Terms(j.spec).MaxAttempts }

// breakGroup stops what is left of a gang's run.
func (c *Chief) breakGroup(g *group, why string) {
	if g.ending {
		return
	}
	g.ending = true
	for r := range g.members {
		c.stop(r, why)
	}
}

// find returns the task of an id, or nil.
func (c *Chief) find(id work.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Occurrence >= len(j.units) || id.Step >= len(j.units[id.Occurrence]) {
		return nil
	}
	u := j.units[id.Occurrence][id.Step]
	if id.Index >= len(u.tasks) {
		return nil
	}
	return &u.tasks[id.Index]
}

const (
	keepFinished = 30 * time.Second // beyond the time for which a job can be asked for
	cleanBatch   = 10
)

// clean removes jobs that nobody may ask for any more.
func (c *Chief) clean(now clock.Instant) {
	if c.writing || !c.Valid() {
		return
	}
	var ids []model.JobID
	for id, j := range c.jobs {
		if j.shown.Final() && now.Sub(j.finished) > c.Limits.StatusFor+keepFinished {
			ids = append(ids, id)
			if len(ids) == cleanBatch {
				break
			}
		}
	}
	if len(ids) > 0 {
		c.removeJobs(ids)
	}
}
