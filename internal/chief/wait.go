package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
)

const (
	logWaitFrom  = time.Second     // from which on a wait is logged
	logWaitAgain = 5 * time.Second // least time between two lines on a wait
	maxWaitLines = 64              // on the steps of one job in logWaitAgain
)

// Reasons why a step waits.
const (
	waitRoom         = "room" // no worker has any
	waitLocality     = "rack of its data, or one rack"
	waitUrgentRoom   = "room kept for urgent work"
	waitReserved     = "room reserved for urgent work"
	waitQuarantine   = "workers in quarantine"
	waitReservedGang = "room reserved for a gang"
	waitGuarantee    = "room kept for what tenants are guaranteed"
	waitHolds        = "room that is kept free for several reasons"
	waitPause        = "pause before the next attempt"
	waitAdvice       = "advice"
	waitGang         = "members of an earlier run"
	// waitLastAttempt is for workers that may hold a failure that was not reported yet.
	waitLastAttempt = "a silent worker before the last attempt"
)

// wait is a time in which tasks that are due were not started. The zero value is no wait.
type wait struct {
	why      string
	since    clock.Instant
	loggedAt clock.Instant // 0 while it is not logged
	logged   string        // why, as last logged
}

// update notes that the tasks wait, and reports whether this is to be logged now: the room of one moment does not tell why a longer wait
// goes on, so that a wait is logged again and again.
func (w *wait) update(why string, now clock.Instant) bool {
	if w.since == 0 {
		w.since = now
	}
	w.why = why
	return now.Sub(w.since) >= logWaitFrom && (w.loggedAt == 0 || now.Sub(w.loggedAt) >= logWaitAgain)
}

// waitLines counts the lines on waits of a job's steps.
type waitLines struct {
	since clock.Instant // the first of them
	count int
}

// take reports whether one more line may be written, and counts it.
func (l *waitLines) take(now clock.Instant) bool {
	if now.Sub(l.since) >= logWaitAgain {
		*l = waitLines{since: now}
	}
	l.count++
	return l.count <= maxWaitLines
}

// noteWait notes why a planning pass does not start a stage's tasks.
func (p *planner) noteWait(s *stage, why string) {
	p.roomShort = p.roomShort || why == waitRoom
	if !s.wait.update(why, p.now) || !s.job.waitLines.take(p.now) {
		return
	}
	s.wait.loggedAt = p.now
	if why == waitRoom {
		why = p.whyNoRoom(s)
	}
	s.wait.logged = why
	eligible := 0
	for _, w := range p.workers {
		if p.eligible(s, w) {
			eligible++
		}
	}
	p.c.Log.Info().Str("step", s.id.String()).Str("why", why).Dur("waited", p.now.Sub(s.wait.since)).Int("tasks", len(s.tasks)).
		Int("open", s.unfinished).Int("workers", len(p.workers)).Int("eligible", eligible).
		Int("room", p.allRoom(s)).Int("rack-holds", p.rackHolds(s)).Dur("stalled", p.now.Sub(s.stalledSince())).Int("runs", s.job.runs).
		Msg("chief: step waits")
}

// endWait notes that a task of a stage has a run.
func (c *Scheduler) endWait(s *stage, now clock.Instant) {
	if s.wait.loggedAt != 0 {
		c.Log.Info().Str("step", s.id.String()).Str("why", s.wait.logged).Dur("waited", now.Sub(s.wait.since)).Msg("chief: step waits no more")
	}
	s.wait = wait{}
}

// noteUnseenWait notes that a job waits since workers that were not polled in this term may have runs of it.
func (p *planner) noteUnseenWait(j *job) {
	if !j.wait.update("workers of an earlier term", p.now) {
		return
	}
	j.wait.loggedAt = p.now
	var unseen []string
	var left time.Duration // of the longest lease among them
	for id := range p.unseenRuns {
		if j.placement.unknown || j.placement.stored[id] {
			unseen = append(unseen, string(id))
			left = max(left, p.c.leasesEnd(p.c.workers[id]).Sub(p.now))
		}
	}
	p.c.Log.Info().Str("job", string(j.spec.ID)).Strs("workers", unseen).Dur("leases-left", left).Uint64("placement", uint64(j.placement.revision)).
		Bool("placed-anywhere", j.placement.unknown).Dur("waited", p.now.Sub(j.wait.since)).Msg("chief: job waits for workers of an earlier term")
}

// endJobWait notes that a job no longer waits for workers of an earlier term.
func (c *Scheduler) endJobWait(j *job, now clock.Instant) {
	if j.wait.loggedAt == 0 {
		return
	}
	c.Log.Info().Str("job", string(j.spec.ID)).Dur("waited", now.Sub(j.wait.since)).Dur("term", now.Sub(c.Term.Since)).
		Msg("chief: job waits no more for workers of an earlier term")
	j.wait = wait{}
}

// logDelayedStart logs a run that was created but has not been reported as started.
func (c *Scheduler) logDelayedStart(r *run, now clock.Instant) {
	r.delayed = true
	step := "order to the worker"
	switch {
	case r.ordered:
	case !r.task.stage.job.placement.stored[r.worker.info.ID]:
		step = "store of its placement"
	default:
		step = "orders before it"
	}
	c.Log.Info().Str("task", r.key.task.String()).Int64("run", int64(r.key.number)).Str("worker", string(r.worker.info.ID)).
		Str("waits-for", step).Int("attempts", r.attempts).Dur("age", r.age(now)).Int("orders", c.orders.waiting()).Msg("chief: run not started yet")
}
