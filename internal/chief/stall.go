package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	// stallBound is how long a job may have nothing running while one of its tasks is due and workers have room for it.
	stallBound = 3 * time.Second
	// holdLimit is how long free room may be kept from a job that has nothing running; the rest of stallBound is for its start.
	holdLimit = stallBound - time.Second
	// roomCheckPause is the least time between two checks of the room for a job that has nothing running.
	roomCheckPause = 250 * time.Millisecond
	// listedInterval is the time within which each worker that answers lists its runs.
	listedInterval = pollWait + pollTimeoutMargin
)

// stall is a time in which a job with a task that is due has nothing running. The zero value is no such time.
type stall struct {
	since     clock.Instant
	checkedAt clock.Instant // when the room for its stages was last added up
	loggedAt  clock.Instant // 0 while it is not longer than allowed beside room
}

// wasRunning reports whether a run that has ended in a certain way was at work until then.
func (r *run) wasRunning(how work.How) bool {
	switch how {
	case work.EndedDone, work.EndedFailed:
		return true
	case work.EndedLeaseExpired:
		return false // It may have ended at any time since its worker was last heard of.
	default:
		return r.startedAt != 0 || r.listedAt != 0
	}
}

// stalled reports whether none of a job's runs is known to run.
func (j *job) stalled(now clock.Instant) bool {
	return j.runs == 0 || now.Sub(j.ranAt) >= listedInterval
}

// stalledSince returns since when a job whose stage is due has nothing running, as far as this term knows, and may have.
func (s *stage) stalledSince() clock.Instant {
	return max(s.job.ranAt, s.job.dueAt(s.id.Occurrence), s.cap.excusedAt)
}

// besideRoom returns for how long a stage's job has had nothing running beside room for the stage.
func (s *stage) besideRoom(now clock.Instant) time.Duration {
	if s.job.stall.since == 0 || s.roomSince == 0 {
		return 0
	}
	return now.Sub(max(s.job.stall.since, s.roomSince))
}

// stalledTooLong reports whether a stage's job, or a task of it that lasts, has had nothing running for so long that free room must not be
// kept for anything else. The time counts from its last run, over failures, preemptions and terms, whether there was room meanwhile or not:
// on a loaded service room comes and goes, and a time that began anew with it would never pass.
func (p *planner) stalledTooLong(s *stage) bool {
	if s.step.Lasts {
		return s.lastingTaskStalled(p.now)
	}
	j := s.job
	startInFlight := j.runs > 0 && p.now.Sub(j.lastStartAt) < listedInterval
	return !startInFlight && j.stalled(p.now) && p.now.Sub(s.stalledSince()) >= holdLimit && s.foundRoomForLong(p.now)
}

// foundRoomForLong reports whether a stage whose tasks were preempted has found room for long enough to take room that is kept for others.
// That takes longer after each preemption: its tasks would be started in each pause between urgent jobs, and stopped by the next one.
func (s *stage) foundRoomForLong(now clock.Instant) bool {
	return s.besideRoom(now) >= min(time.Duration(s.fewestPreemptions())*preemptedPause, holdLimit)
}

// fewestPreemptions returns how often the waiting task of a stage that was preempted least often was preempted, at most maxPreemptedPauses.
func (s *stage) fewestPreemptions() int {
	least := maxPreemptedPauses
	for index := range s.tasks {
		if t := &s.tasks[index]; !t.done && t.activeRun == nil {
			least = min(least, t.preemptions)
		}
	}
	return least
}

// lastingTaskStalled reports whether a task that lasts has had no run for holdLimit; each of them counts by itself.
func (s *stage) lastingTaskStalled(now clock.Instant) bool {
	for index := range s.tasks {
		t := &s.tasks[index]
		if t.activeRun == nil && now.Sub(max(t.endedAt, s.job.dueAt(s.id.Occurrence), s.cap.excusedAt)) >= holdLimit {
			return true
		}
	}
	return false
}

// noteStall notes whether a planning pass leaves a job that is due with nothing running, and logs it once that is longer than
// allowed beside room for it.
func (p *planner) noteStall(j *job) {
	stall := &j.stall
	if !j.stalled(p.now) {
		p.c.endStall(j, p.now)
		return
	}
	if stall.checkedAt != 0 && p.now.Sub(stall.checkedAt) < roomCheckPause {
		return
	}
	due := j.dueStages(p.now)
	if len(due) == 0 {
		p.c.endStall(j, p.now)
		return
	}
	stall.since = due[0].stalledSince()
	longest := due[0]
	for _, s := range due {
		p.checkRoom(s)
		if s.besideRoom(p.now) > longest.besideRoom(p.now) {
			longest = s
		}
	}
	stall.checkedAt = p.now
	if longest.besideRoom(p.now) < stallBound || stall.loggedAt != 0 && p.now.Sub(stall.loggedAt) < logWaitAgain {
		return
	}
	stall.loggedAt = p.now
	p.c.Log.Warn().Str("job", string(j.spec.ID)).Str("step", longest.id.String()).Str("why", p.waitsFor(longest)).
		Dur("stalled", p.now.Sub(stall.since)).Dur("beside-room", longest.besideRoom(p.now)).Int("room", p.allRoom(longest)).
		Bool("inherited", j.inherited).Uint64("token", uint64(p.c.Term.Token)).Msg("chief: job has nothing running beside free workers")
}

// checkRoom updates since when there is room for a stage. An inherited job that finds room as soon as the workers have been polled
// counts as stalled beside it from before the term: the time must not begin anew with each leader.
func (p *planner) checkRoom(s *stage) {
	switch stall := &s.job.stall; {
	case p.allRoom(s) < s.placesNeeded(), s.cap.excusedAt == p.now:
		s.roomSince = 0
	case s.roomSince != 0:
	case s.job.inherited && s.job.ranAt == 0 && p.now.Sub(p.c.loadedAt) < listedInterval:
		s.roomSince = stall.since
	default:
		s.roomSince = p.now
	}
}

// waitsFor names what a job with a due stage waits for.
func (p *planner) waitsFor(s *stage) string {
	switch {
	case s.job.wait.since != 0:
		return s.job.wait.why
	case s.wait.why == waitRoom:
		return p.whyNoRoom(s)
	}
	return s.wait.why
}

// endStall notes that something of a job runs, or that it has no task to run.
func (c *Scheduler) endStall(j *job, now clock.Instant) {
	if j.stall.since == 0 {
		return
	}
	if stalled := now.Sub(j.stall.since); stalled >= logWaitFrom {
		c.Observe.JobStalled(stalled, j.stall.loggedAt != 0)
	}
	if j.stall.loggedAt != 0 {
		c.Log.Info().Str("job", string(j.spec.ID)).Dur("stalled", now.Sub(j.stall.since)).Msg("chief: job runs again")
	}
	j.stall = stall{}
}
