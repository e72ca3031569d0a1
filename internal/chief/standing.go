package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	// standingBound is how long a job may have nothing running while one of its tasks is due and workers have room for it.
	standingBound = 3 * time.Second
	// ampleRoom is how often a waiting task, or gang, must fit into the free room for its job to count as standing beside free workers.
	ampleRoom = 2
)

// standing is a time in which a job with a task that is due has nothing running. The zero value is no such time.
type standing struct {
	since    clock.Instant
	loggedAt clock.Instant // 0 while it is shorter than standingBound, or no worker has had room
}

// hasRun reports whether a run that has ended in a certain way was at work until then.
func (r *run) hasRun(how work.How) bool {
	switch how {
	case work.EndedDone, work.EndedFailed:
		return true
	case work.EndedLeaseExpired:
		return false // It may have ended at any time since its worker was last heard of.
	default:
		return r.startedAt != 0 || r.listedAt != 0
	}
}

// firstDue returns the first stage of a job that has tasks to run now, or nil.
func (j *job) firstDue(now clock.Instant) *stage {
	for occurrence, stages := range j.stages {
		if now < j.dueAt(occurrence) {
			return nil
		}
		for _, s := range stages {
			if s.unfinished > 0 && s.dependenciesDone(stages) {
				return s
			}
		}
	}
	return nil
}

// standingSince returns since when a job whose stage is due has nothing running, as far as this term knows.
func (s *stage) standingSince() clock.Instant { return max(s.job.ranAt, s.job.dueAt(s.id.Occurrence)) }

// noteStanding notes whether a planning pass leaves a job that is due with nothing running, and logs it once that is longer than
// allowed beside free workers.
func (p *planner) noteStanding(j *job) {
	var s *stage
	if j.runs == 0 {
		s = j.firstDue(p.now)
	}
	if s == nil {
		p.c.endStanding(j, p.now)
		return
	}
	j.standing.since = s.standingSince()
	stood := p.now.Sub(j.standing.since)
	if stood < standingBound || j.standing.loggedAt != 0 && p.now.Sub(j.standing.loggedAt) < logWaitAgain {
		return
	}
	room := p.roomFor(s, allHolds)
	if room < ampleRoom*s.placesNeeded() {
		return
	}
	j.standing.loggedAt = p.now
	p.c.Log.Warn().Str("job", string(j.spec.ID)).Str("step", s.id.String()).Str("why", j.waitsFor(s)).Dur("standing", stood).
		Int("room", room).Bool("inherited", j.inherited).Uint64("token", uint64(p.c.Term.Token)).Msg("chief: job has nothing running beside free workers")
}

// waitsFor names what a job with a due stage waits for.
func (j *job) waitsFor(s *stage) string {
	if j.wait.since != 0 {
		return j.wait.why
	}
	return s.wait.why
}

// endStanding notes that something of a job runs, or that it has no task to run.
func (c *Scheduler) endStanding(j *job, now clock.Instant) {
	if j.standing.since == 0 {
		return
	}
	if stood := now.Sub(j.standing.since); stood >= logWaitFrom {
		c.Observe.JobStood(stood, j.standing.loggedAt != 0)
	}
	if j.standing.loggedAt != 0 {
		c.Log.Info().Str("job", string(j.spec.ID)).Dur("standing", now.Sub(j.standing.since)).Msg("chief: job no longer stands")
	}
	j.standing = standing{}
}
