package chief

import (
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

// chainsInterval is the least time between two estimates of the chains of a job's steps: run times are learned from each run that ends.
const chainsInterval = time.Second

// occurrence is one time that the steps of a job run. It is built when it is due, or when a worker reports a run of it, and released once it
// is complete and nothing of it runs: a schedule may have more times than there is memory for.
type occurrence struct {
	job        *job
	number     int
	stages     []*stage // by step
	unfinished int      // stages that are not complete
	// open holds the stages that are not complete and wait for no other, by step.
	open []*stage
}

// newOccurrence returns an occurrence of which nothing is done.
func newOccurrence(j *job, number int) *occurrence {
	spec := j.spec
	o := &occurrence{job: j, number: number, stages: make([]*stage, len(spec.Steps)), unfinished: len(spec.Steps)}
	for i := range spec.Steps {
		step := &spec.Steps[i]
		s := &stage{
			job: j, occurrence: o, id: work.StepID{Job: spec.ID, Occurrence: number, Step: i}, step: step, noisyKind: noisyKindOf(spec, step),
			tasks: make([]task, step.Count), unfinished: step.Count, waitsFor: len(step.After), runsOn: map[*worker]int{},
		}
		for n := range s.tasks {
			s.tasks[n].stage, s.tasks[n].index = s, n
		}
		o.stages[i] = s
		if s.waitsFor == 0 {
			o.open = append(o.open, s)
		}
	}
	return o
}

// complete notes that all tasks of a stage are done, and opens the stages that waited for it alone.
func (s *stage) complete() {
	o := s.occurrence
	if i, found := o.find(s); found {
		o.open = slices.Delete(o.open, i, i+1)
	}
	for _, step := range o.job.graph.Next(s.id.Step) {
		next := o.stages[step]
		if next.waitsFor--; next.waitsFor == 0 && next.unfinished > 0 {
			i, _ := o.find(next)
			o.open = slices.Insert(o.open, i, next)
		}
	}
	if o.unfinished--; o.unfinished == 0 {
		o.job.done.Add(o.number)
	}
}

// find returns where a stage is among the open ones or belongs there, and whether it is there.
func (o *occurrence) find(s *stage) (index int, found bool) {
	return slices.BinarySearchFunc(o.open, s.id.Step, func(other *stage, step int) int { return other.id.Step - step })
}

// hasRuns reports whether runs of an occurrence are on workers, or may be.
func (o *occurrence) hasRuns() bool {
	return slices.ContainsFunc(o.stages, func(s *stage) bool { return len(s.runsOn) > 0 })
}

// restore applies stored progress.
func (o *occurrence) restore(progress *work.Progress) {
	for i, s := range o.stages {
		if saved := progress.Step(o.number, i); !saved.IsZero() {
			restoreStage(s, saved)
		}
	}
}

// complete reports whether all occurrences of a job are.
func (j *job) complete() bool { return j.done.Len() >= j.spec.Occurrences() }

// findOccurrence returns where an occurrence is among those that are built or belongs there, and whether it is there.
func (j *job) findOccurrence(number int) (index int, found bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, number int) int { return o.number - number })
}

// occurrence returns an occurrence of a job, which is built if it is not there; nil if the job has none of that number.
func (c *Scheduler) occurrence(j *job, number int) *occurrence {
	if number >= j.spec.Occurrences() {
		return nil
	}
	i, found := j.findOccurrence(number)
	if found {
		return j.occurrences[i]
	}
	o := newOccurrence(j, number)
	o.restore(&work.Progress{Done: j.done, Steps: j.saved.Steps, Complete: j.saved.Complete})
	delete(j.saved.Steps, number)
	delete(j.saved.Complete, number)
	j.occurrences = slices.Insert(j.occurrences, i, o)
	c.countMemory(j)
	if o.unfinished == 0 {
		c.releaseSoon(j)
	}
	return o
}

// openDue builds the occurrences of a job that are due, one at least and more as far as there is memory for them: while the next ones wait
// for it, the job has something to run.
func (c *Scheduler) openDue(j *job, now clock.Instant) {
	for {
		j.next = j.done.NextMissing(j.next)
		if j.next >= j.spec.Occurrences() || now < j.dueAt(j.next) {
			return
		}
		if _, found := j.findOccurrence(j.next); !found {
			if j.hasOpen() && !c.memory.FitsExtra(j.spec.OccurrenceSize()) {
				return
			}
			c.occurrence(j, j.next)
		}
		j.next++
	}
}

// hasOpen reports whether an occurrence of a job that is not complete is built.
func (j *job) hasOpen() bool {
	return slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return o.unfinished > 0 })
}

// releaseOccurrences releases those of the jobs that were noted since the last call.
func (c *Scheduler) releaseOccurrences() {
	for j := range c.releasing {
		c.release(j)
	}
	clear(c.releasing)
}

// releaseSoon notes that a job may have occurrences to release. The caller may be walking through them.
func (c *Scheduler) releaseSoon(j *job) {
	if c.releasing == nil {
		c.releasing = map[*job]bool{}
	}
	c.releasing[j] = true
}

// release drops the occurrences of a job that need no memory any more: those that are complete, or all if the job has ended, of which nothing
// runs.
func (c *Scheduler) release(j *job) {
	if c.jobs[j.spec.ID] != j {
		return // Its records are removed.
	}
	built := len(j.occurrences)
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool {
		return (o.unfinished == 0 || j.state.Final()) && !o.hasRuns()
	})
	if len(j.occurrences) != built {
		c.countMemory(j)
	}
}

// countMemory counts what a job takes now. A job that has not ended needs one occurrence at least.
func (c *Scheduler) countMemory(j *job) {
	occurrences := len(j.occurrences)
	if !j.state.Final() {
		occurrences = max(1, occurrences)
	}
	c.memory.Set(j.spec.ID, j.spec.Size()+budget.Bytes(occurrences)*j.spec.OccurrenceSize())
}

// dueStages returns the stages of a job that have tasks to run now.
func (j *job) dueStages(now clock.Instant) []*stage {
	var due []*stage
	for _, o := range j.occurrences {
		if now < j.dueAt(o.number) {
			break
		}
		due = append(due, o.open...)
	}
	return due
}

// chainAfter returns the estimated time of the longest chain of steps that wait for a stage.
func (c *Scheduler) chainAfter(s *stage, now clock.Instant) time.Duration {
	j := s.job
	if len(j.spec.Steps) == 1 {
		return 0
	}
	if j.chains == nil || now.Sub(j.chainsAt) >= chainsInterval {
		j.chains = j.graph.Chains(func(step int) time.Duration { return c.estimateOf(j.spec, &j.spec.Steps[step]) })
		j.chainsAt = now
	}
	return j.chains[s.id.Step]
}
