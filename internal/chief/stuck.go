package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/model"
)

// A run without progress may be on a worker that hangs, or just be long: progress comes in whole percents, and an estimate may be absent, or
// wrong by any factor. So the patience with a task doubles with each of its runs that was stopped, and what the runs of one job show about
// a worker keeps only that job from it until another job has shown the same.

const (
	// stuckAfter is how long a task may show no progress, or stuckPercent of the time that its work takes if that is longer.
	stuckAfter   = 2 * time.Second
	stuckPercent = 12
	// unknownStuckAfter is the same for a task of which neither an estimate nor the progress of a task of its step tells how long it takes.
	unknownStuckAfter = 10 * time.Second
	// maxStuckDoublings bounds the patience: beyond it, one percent takes a quarter of an hour at least.
	maxStuckDoublings = 9
	// stuckQuarantine is how long a worker gets no starts, of a job or of all.
	stuckQuarantine = 6 * time.Second
	// maxStuckShare is the divisor of the number of a pool's workers that get no starts at the same time because runs make no progress.
	maxStuckShare = 4
)

// stuckWorker is what runs without progress have shown about a worker. The zero value is nothing.
type stuckWorker struct {
	job   model.JobID // whose run was the last one
	at    clock.Instant
	until clock.Instant // until when no job gets starts there
}

// patience returns how long a run may show no progress.
func (c *Scheduler) patience(r *run) time.Duration {
	s := r.task.stage
	takes := max(c.estimate(s), fullPercent*s.percentTime)
	limit := max(stuckAfter, stuckPercent*takes/100)
	if takes == 0 {
		limit = unknownStuckAfter
	}
	return limit << min(r.task.stuckStops+s.stuckStops, maxStuckDoublings)
}

// noteProgress learns from the progress of a run that a worker lists, before it is recorded.
func (c *Scheduler) noteProgress(r *run, percent int, now clock.Instant) {
	if percent <= r.percent {
		return
	}
	r.worker.progressedAt = now
	if r.task == nil || r.pace < fullPace || r.task.stage.step.Lasts {
		return
	}
	took := now.Sub(max(r.progressedAt, r.createdAt)) / time.Duration(percent-r.percent)
	r.task.stage.percentTime = max(r.task.stage.percentTime, took)
}

// stopStuckRun stops a run without progress, with its gang, and keeps new runs off its worker for a time.
func (c *Scheduler) stopStuckRun(r *run, now clock.Instant) {
	s := r.task.stage
	c.avoidStuckWorker(r, now)
	if s.step.Gang {
		s.stuckStops++
	} else {
		r.task.stuckStops++
	}
	c.stopRun(r, "no progress")
	if r.gang != nil {
		c.stopGang(r.gang, "member makes no progress")
	}
}

// avoidStuckWorker keeps the job of a run without progress off its worker, and all jobs if the run of another one has made none there either. A
// task that was as slow elsewhere, one of which nothing tells how long it takes, and one beside work that gets on say nothing about the worker.
func (c *Scheduler) avoidStuckWorker(r *run, now clock.Instant) {
	w, s := r.worker, r.task.stage
	s.job.avoid(w, now.Add(stuckQuarantine))
	c.logNoStartsOfJob(s.job, w)
	known := c.speeds.Runs(s.kind()) > 0 || s.percentTime > 0 || s.step.Estimate > 0
	if r.task.stuckStops+s.stuckStops > 0 || !known || now.Sub(w.progressedAt) < stuckAfter {
		return
	}
	closed := now < w.stuck.until
	confirms := w.stuck.at != 0 && now.Sub(w.stuck.at) < stuckQuarantine && w.stuck.job != s.job.spec.ID
	w.stuck.job, w.stuck.at = s.job.spec.ID, now
	if !closed && !confirms || !c.mayCloseStuck(w, now) {
		return
	}
	w.stuck.until = now.Add(stuckQuarantine)
	if r.createdAt >= w.quarantinedAt || now >= w.quarantinedUntil {
		c.quarantine(w, stuckQuarantine, "its tasks make no progress")
	}
}

// mayCloseStuck reports whether one more worker of a pool may get no starts because runs make no progress there.
func (c *Scheduler) mayCloseStuck(w *worker, now clock.Instant) bool {
	workers, closed := 0, 0
	for _, other := range c.workers {
		if other.info.Pool != w.info.Pool || !other.registered {
			continue
		}
		workers++
		if other != w && now < other.stuck.until {
			closed++
		}
	}
	return closed < max(1, workers/maxStuckShare)
}

func (c *Scheduler) logNoStartsOfJob(j *job, w *worker) {
	c.Log.Info().Str("worker", string(w.info.ID)).Str("job", string(j.spec.ID)).Dur("for", stuckQuarantine).
		Msg("chief: worker gets no starts of a job that made no progress there")
}

// avoid keeps a job off a worker until a time.
func (j *job) avoid(w *worker, until clock.Instant) {
	if j.avoids == nil {
		j.avoids = map[*worker]clock.Instant{}
	}
	j.avoids[w] = until
}

// avoidsWorker reports whether a job gets no starts on a worker now, since it made no progress there.
func (j *job) avoidsWorker(w *worker, now clock.Instant) bool {
	until, found := j.avoids[w]
	if found && now >= until {
		delete(j.avoids, w)
		return false
	}
	return found
}
