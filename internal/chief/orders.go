package chief

import (
	"errors"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/agent"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	maxStartAttempts = 3
	stopRetryPause   = 200 * time.Millisecond
	fullPace         = 100 // percent
	// runNumberGap is how far run numbers jump after a change of term, since the last start may not be known.
	runNumberGap = 8
)

// resultOf returns the metric label for the result of a call.
func resultOf(err error) string {
	var rejected *agent.RejectedError
	var refused *agent.RefusedError
	var gone *agent.GoneError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &rejected):
		return "rejected-" + string(rejected.Reason)
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &gone):
		return "gone"
	}
	return "no-answer"
}

// nextRunNumber returns the number of the next run of a task, given its last.
func nextRunNumber(j *job, last work.RunNumber) work.RunNumber {
	if j.inherited && last == 0 {
		return 1 + runNumberGap
	}
	return last + 1
}

// startRun creates a run of a task on a worker; its order is queued once its placement is stored.
func (c *Scheduler) startRun(t *task, w *worker, number work.RunNumber, g *gang) {
	now := c.Now()
	s := t.stage
	c.endWait(s, now)
	r := &run{
		key: runKey{t.id(), number}, task: t, worker: w, resources: s.step.Resources(), gang: g,
		createdAt: now, progressedAt: now, pace: fullPace, checkpoint: t.checkpoint, fromStart: t.checkpoint == "",
		expectedSpeed: w.speedFactor(),
	}
	if g != nil {
		g.add(r)
	}
	t.activeRun, t.lastRun = r, number
	w.beginProbe(r, now)
	w.runs[r.key] = r
	w.neighbours.add(r, 1, now)
	c.occupy(r)
	s.runsOn[w]++
	s.job.runs++
	s.job.lastStartAt = now
	c.Log.Info().Str("task", r.key.task.String()).Int64("run", int64(number)).Str("worker", string(w.info.ID)).
		Str("rack", string(w.info.Rack())).Bool("gang", g != nil).Str("saved", string(t.checkpoint)).
		Dur("waited", now.Sub(s.waitingSince)).Uint64("config", c.configVersion()).Msg("chief: run ordered")
	c.orderWhenPlaced(r)
}

func (c *Scheduler) configVersion() uint64 {
	if config := c.Config(); config != nil {
		return uint64(config.Version)
	}
	return 0
}

// handleStartResult applies the result of an attempt to start a run. An attempt without an answer is repeated while the run may still
// start: a worker answers 200 for a run that it already has.
func (c *Scheduler) handleStartResult(r *run, start agent.StartOrder, reading work.WorkerClock, err error) {
	c.Observe.CallResult("start", resultOf(err))
	w := r.worker
	if _, present := w.runs[r.key]; !present {
		return // The run has ended in the meantime.
	}
	now := c.Now()
	c.dirty = true
	if err == nil {
		w.updateClock(reading, now, r.sentToBorn)
		w.missedCalls, w.unanswered = 0, 0
		if r.phase == starting {
			r.phase, r.ackedAt, r.startedAt, r.progressedAt = running, now, now, now
			r.task.stage.job.ranAt = now
			r.task.stage.advice.Used()
		}
		r.task.stage.job.markStarted(c)
		c.pollIfDue(w)
		return
	}
	if r.phase == running {
		return // A poll has already listed the run.
	}
	var inDoubt *agent.InDoubtError
	if errors.As(err, &inDoubt) && r.attempts < maxStartAttempts && c.whyNotStart(r) == "" {
		c.recordMissedCall(w, err)
		c.sendStart(r, start)
		return
	}
	c.handleStartError(r, r.attempts > 1, err)
}

func (j *job) markStarted(c *Scheduler) {
	if !j.started {
		j.started = true
		if j.state == work.StateQueued {
			j.state, j.durableState = work.StateRunning, work.StateRunning
			c.publishState(j)
		}
		c.Observe.JobStep(JobStarted)
		c.Observe.JobStarted(j.spec.Queue, c.Now().Sub(j.knownAt))
	}
}

// handleStartError ends a run that certainly did not start, and stops one that may have started.
func (c *Scheduler) handleStartError(r *run, doubtful bool, err error) {
	w := r.worker
	c.Log.Warn().Err(err).Str("task", r.key.task.String()).Int64("run", int64(r.key.number)).
		Str("worker", string(w.info.ID)).Bool("doubtful", doubtful).Msg("chief: start failed")
	var gone *agent.GoneError
	var rejected *agent.RejectedError
	var refused *agent.RefusedError
	switch {
	case errors.As(err, &gone) && r.sentToBorn != w.born: // Only the incarnation that the order was sent to is gone.
		c.endRun(r, work.EndedStopped, "")
	case errors.As(err, &gone):
		w.registered = false
		c.endAllRuns(w, "another worker at the address")
	case doubtful:
		c.avoidUnanswering(w)
		c.stopRun(r, "start without an answer")
	case errors.As(err, &rejected):
		c.handleStartRejection(r, rejected)
	case errors.As(err, &refused):
		if !errors.Is(err, errTermOver) {
			c.quarantine(w, refusedQuarantine, "start refused")
		}
		c.endRun(r, work.EndedStopped, "")
	default:
		c.recordMissedCall(w, err)
		c.avoidUnanswering(w)
		c.stopRun(r, "start without an answer")
	}
}

const (
	refusedQuarantine    = 1500 * time.Millisecond
	rejectedQuarantine   = 300 * time.Millisecond
	unansweredQuarantine = 1500 * time.Millisecond
)

// avoidUnanswering keeps new runs off a worker that left a start without an answer, longer if it does so again: it may answer polls all
// the while, and the same tasks would be started there again and again.
func (c *Scheduler) avoidUnanswering(w *worker) {
	c.quarantine(w, unansweredQuarantine<<min(w.unanswered, 1), "it leaves starts unanswered")
	w.unanswered++
}

func (c *Scheduler) handleStartRejection(r *run, rejected *agent.RejectedError) {
	w, now := r.worker, c.Now()
	w.updateClock(rejected.Clock, now, r.sentToBorn)
	switch rejected.Reason {
	case agent.ReasonToken:
		c.EndTerm()
	case agent.ReasonStaleRun:
		r.task.lastRun += runNumberGap
	case agent.ReasonTicket:
		r.task.stage.advice.Expire(w.life())
		c.adviceMissed(r.task.stage, "a worker rejected its ticket")
	case agent.ReasonNoCapacity:
		c.quarantine(w, rejectedQuarantine, "its free capacity is not as recorded")
	}
	r.task.notBefore = now.Add(restartPause)
	c.endRun(r, work.EndedStopped, "")
}

// quarantine keeps new runs off a worker for a time. One that does not extend the quarantine in force is not logged.
func (c *Scheduler) quarantine(w *worker, d time.Duration, reason string) {
	now := c.Now()
	until := now.Add(d)
	w.quarantinedAt = now
	if until <= w.quarantinedUntil {
		return
	}
	w.quarantinedUntil = until
	c.logNoStarts(w, d, reason)
}

func (c *Scheduler) logNoStarts(w *worker, d time.Duration, reason string) {
	c.Log.Info().Str("worker", string(w.info.ID)).Dur("for", d).Str("why", reason).Msg("chief: worker gets no starts")
}

// stopRun orders a run to stop. Its resources stay in use until its end is certain.
func (c *Scheduler) stopRun(r *run, reason string) {
	if !r.present() || r.phase == stopping {
		return
	}
	if !r.ordered {
		r.reason = reason
		c.endRun(r, work.EndedStopped, "")
		return
	}
	lost := r.resources.Cores() * c.lostByStop(r, c.Now()).Seconds()
	c.Observe.RunStopped(stopCause(reason), lost)
	r.phase, r.reason, r.ackedAt = stopping, reason, 0
	if r.task != nil {
		r.task.stage.job.runs--
	}
	r.worker.usedByStopping = r.worker.usedByStopping.Add(r.resources)
	c.Log.Info().Str("task", r.key.task.String()).Int64("run", int64(r.key.number)).Str("worker", string(r.worker.info.ID)).
		Str("why", reason).Int("percent", r.percent).Float64("lost-core-seconds", lost).Msg("chief: stop ordered")
	c.queueStop(r)
}

// memberEnded begins the reason of a stop of a gang of which a member has ended; how it ended follows.
const memberEnded = "member ended: "

// stopCause returns the metric label for the reason of a stop.
func stopCause(reason string) string {
	switch {
	case strings.HasPrefix(reason, preemptedBy):
		return "preempted"
	case strings.HasPrefix(reason, memberEnded):
		return "member-ended"
	case strings.HasPrefix(reason, workerLeaves):
		return "its-worker-leaves"
	case strings.HasPrefix(reason, membersWorkerLeaves):
		return "a-members-worker-leaves"
	}
	return strings.ReplaceAll(strings.ReplaceAll(reason, " ", "-"), "'", "")
}

func (c *Scheduler) retryStop(r *run) {
	c.postAfter(stopRetryPause, func() {
		if _, present := r.worker.runs[r.key]; present && r.ackedAt == 0 {
			c.queueStop(r)
		}
	})
}

func (c *Scheduler) handleStopResult(r *run, reading work.WorkerClock, err error) {
	c.Observe.CallResult("stop", resultOf(err))
	w := r.worker
	if _, present := w.runs[r.key]; !present {
		return
	}
	now := c.Now()
	var gone *agent.GoneError
	var rejected *agent.RejectedError
	switch {
	case err == nil:
		w.updateClock(reading, now, r.sentToBorn)
		r.ackedAt = now
		c.pollIfDue(w)
	case errors.As(err, &gone) && r.sentToBorn != w.born:
		r.ackedAt = now // The run ended with that incarnation; the next poll does not list it.
	case errors.As(err, &gone):
		c.endAllRuns(w, "another worker at the address")
	case errors.As(err, &rejected) && rejected.Reason == agent.ReasonToken:
		c.EndTerm()
	case errors.As(err, &rejected):
		r.ackedAt = now // The worker does not have the run.
	case errors.Is(err, errTermOver):
		c.retryStop(r)
	default:
		c.recordMissedCall(w, err)
		c.retryStop(r)
	}
}

// age returns the time since the run was ordered or adopted.
func (r *run) age(now clock.Instant) time.Duration { return now.Sub(r.createdAt) }
