package chief

import (
	"slices"
	"time"
)

const (
	// passLimit is the longest time for the jobs of a planning pass: polls, orders and writes wait for its end, and polls extend leases.
	passLimit = 500 * time.Millisecond
	// stagesPerCheck is how many stages are planned between two looks at the time.
	stagesPerCheck = 16
)

// overdue reports whether the pass has used up its time before a stage, and notes that the next pass goes on there.
func (p *planner) overdue(next *stage) bool {
	if p.c.resumeAt != nil {
		return true
	}
	p.planned++
	if p.planned%stagesPerCheck == 0 && p.c.Now() > p.limit {
		p.c.resumeAt = next
		p.c.Observe.PassCut()
		p.c.Log.Warn().Int("stages", p.planned).Int("jobs", len(p.c.liveJobs)).Str("step", next.id.String()).
			Msg("chief: planning pass ended before it had planned all jobs")
		return true
	}
	return false
}

// resume returns jobs in the order of a pass that goes on where the last one was cut, and the stage that it begins with; nil if the last
// pass was complete.
func (c *Scheduler) resume(ranked []*job) ([]*job, *stage) {
	at := c.resumeAt
	c.resumeAt = nil
	if at == nil {
		return ranked, nil
	}
	first := slices.Index(ranked, at.job)
	if first < 0 {
		return ranked, nil
	}
	return slices.Concat(ranked[first:], ranked[:first]), at
}

// comesBefore reports whether a stage was planned by the pass before, which was cut at a later stage of the job.
func (p *planner) comesBefore(s *stage) bool {
	from := p.from
	if from == nil || from.job != s.job {
		return false
	}
	if s.id.Occurrence != from.id.Occurrence {
		return s.id.Occurrence < from.id.Occurrence
	}
	return s.id.Step < from.id.Step
}
