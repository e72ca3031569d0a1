package chief

import (
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// AnnounceJob tells the scheduler of a job that is stored since the given revision, before its watch reports the job: while the
// store drops its history, watches report nothing for a second. It may be called from any goroutine, and reports whether the
// scheduler takes announcements.
func (c *Scheduler) AnnounceJob(spec *work.Job, created kv.Revision) bool {
	return c.announce(func() {
		switch {
		case c.jobs[spec.ID] != nil:
		case c.createdInTerm(created):
			c.addJob(spec, created, "announcement")
			c.dirty = true
		default:
			c.Log.Info().Str("job", string(spec.ID)).Uint64("created", uint64(created)).Uint64("token", uint64(c.Term.Token)).
				Uint64("forgotten", uint64(c.lastForgotten)).Msg("chief: announcement left to the watch")
		}
	})
}

// AnnounceCancel tells the scheduler that the cancellation of a job is stored. It may be called from any goroutine, and reports
// whether the scheduler takes announcements.
func (c *Scheduler) AnnounceCancel(id model.JobID) bool {
	return c.announce(func() {
		if j := c.jobs[id]; j != nil {
			c.cancelJob(j)
			c.dirty = true
		}
	})
}

// announce runs apply on the goroutine that owns the state, unless the jobs are not loaded or the term is over.
func (c *Scheduler) announce(apply func()) bool {
	c.mu.Lock()
	ready := c.pendingKnown
	c.mu.Unlock()
	if ready {
		c.post(apply)
	}
	return ready
}

// createdInTerm reports whether a job that is not known here was created in this term. A late announcement of an older job, or of
// one that was removed after its end, would run that job again.
func (c *Scheduler) createdInTerm(created kv.Revision) bool {
	return created > kv.Revision(c.Term.Token) && created > c.lastForgotten
}
