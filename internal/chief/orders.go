package chief

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/agent"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	orderLimit = 500 * time.Millisecond // for an answer to one try
	startTries = 3
	stopRetry  = 200 * time.Millisecond
	fullPace   = 100 // percent
	// inheritedGap is how far run numbers jump after a change of term, since the last start may not be known.
	inheritedGap = 8
)

// resultOf names the result of a call for the metrics.
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

// nextNumber returns the number of a unit's or a task's next run.
func nextNumber(j *job, last work.RunNumber) work.RunNumber {
	if j.inherited && last == 0 {
		return 1 + inheritedGap
	}
	return last + 1
}

// start places a run of a task on a worker and sends the order.
func (c *Chief) start(t *task, w *worker, number work.RunNumber, g *group) {
	now := c.Now()
	u := t.unit
	r := &run{
		key: runKey{t.id(), number}, task: t, worker: w, room: u.step.Room(), group: g,
		created: now, moved: now, pace: fullPace, saved: t.saved, fresh: t.saved == "",
	}
	if g != nil {
		g.members[r] = true
	}
	t.active, t.last = r, number
	w.runs[r.key] = r
	w.used = w.used.Add(r.room)
	u.perRun[w]++
	order := agent.StartOrder{
		Task: r.key.task, Run: number, Payload: u.job.spec.Payload, Until: c.lease(w, now), Token: c.Term.Token,
		Saved: t.saved, Ticket: u.advice.tickets[w.info.ID],
	}
	c.Log.Info().Str("task", r.key.task.String()).Int64("run", int64(number)).Str("worker", string(w.info.ID)).
		Str("rack", string(w.info.Rack())).Bool("gang", g != nil).Str("saved", string(t.saved)).
		Dur("waited", now.Sub(u.waiting)).Uint64("config", c.configVersion()).Msg("chief: run ordered")
	target := agent.Target{ID: w.info.ID, Address: w.info.Address}
	go func() {
		reading, doubtful, err := c.sendStart(target, order)
		c.post(func() { c.started(r, reading, doubtful, err) })
	}()
}

func (c *Chief) configVersion() uint64 {
	if config := c.Config(); config != nil {
		return uint64(config.Version)
	}
	return 0
}

// sendStart repeats an order without an answer: a worker answers 200 for a run that it already has. doubtful says that a
// try before the last got no answer.
func (c *Chief) sendStart(to agent.Target, order agent.StartOrder) (reading work.WorkerClock, doubtful bool, err error) {
	for try := 1; ; try++ {
		if !c.Valid() {
			return 0, doubtful, &agent.RefusedError{Cause: errTermOver}
		}
		ctx, cancel := context.WithTimeout(c.ctx, orderLimit)
		reading, err = c.Workers.Start(ctx, to, order)
		cancel()
		var doubt *agent.DoubtError
		if !errors.As(err, &doubt) || try == startTries || c.ctx.Err() != nil {
			return reading, doubtful, err
		}
		doubtful = true
	}
}

var errTermOver = errors.New("the term is not proved to go on") //nolint:gochecknoglobals // a constant error

// started handles the result of a start order.
func (c *Chief) started(r *run, reading work.WorkerClock, doubtful bool, err error) {
	c.Observe.Order("start", resultOf(err))
	w := r.worker
	if _, present := w.runs[r.key]; !present {
		return // It has ended meanwhile.
	}
	now := c.Now()
	c.dirty = true
	if err == nil {
		w.tick(reading, now)
		w.missed = 0
		if r.phase == starting {
			r.phase, r.answered, r.moved = running, now, now
		}
		r.task.unit.job.noteBegun(c)
		c.wake(w)
		return
	}
	if r.phase == running {
		return // A look has shown it.
	}
	c.startFailed(r, doubtful, err)
}

func (j *job) noteBegun(c *Chief) {
	if !j.began {
		j.began = true
		if j.state == work.StateQueued {
			j.state, j.shown = work.StateRunning, work.StateRunning
			c.show(j)
		}
		c.Observe.Started(j.spec.Queue, c.Now().Sub(j.known))
	}
}

func (c *Chief) startFailed(r *run, doubtful bool, err error) {
	w := r.worker
	c.Log.Warn().Err(err).Str("task", r.key.task.String()).Int64("run", int64(r.key.number)).
		Str("worker", string(w.info.ID)).Bool("doubtful", doubtful).Msg("chief: start failed")
	var gone *agent.GoneError
	var rejected *agent.RejectedError
	var refused *agent.RefusedError
	switch {
	case errors.As(err, &gone):
		w.listed = false
		c.dropRuns(w, "another worker at the address")
	case doubtful:
		c.stop(r, "start without an answer")
	case errors.As(err, &rejected):
		c.startRejected(r, rejected)
	case errors.As(err, &refused):
		if !errors.Is(err, errTermOver) {
			c.rest(w, refusedRest, "start refused")
		}
		c.over(r, work.EndedStopped, "")
	default:
		c.miss(w, err)
		c.stop(r, "start without an answer")
	}
}

const (
	refusedRest  = 1500 * time.Millisecond
	rejectedRest = 300 * time.Millisecond
)

func (c *Chief) startRejected(r *run, rejected *agent.RejectedError) {
	w, now := r.worker, c.Now()
	w.tick(rejected.Clock, now)
	switch rejected.Reason {
	case agent.ReasonToken:
		c.Deposed()
	case agent.ReasonOld:
		r.task.last += inheritedGap
	case agent.ReasonTicket:
		r.task.unit.advice = advice{}
	case agent.ReasonRoom:
		c.rest(w, rejectedRest, "its room is not what is known")
	}
	r.task.after = now.Add(restartPause)
	c.over(r, work.EndedStopped, "")
}

// rest keeps new starts from a worker for a while. A rest that does not extend the one under way is not logged.
func (c *Chief) rest(w *worker, d time.Duration, why string) {
	till := c.Now().Add(d)
	if till <= w.restTill {
		return
	}
	w.restTill = till
	c.Log.Info().Str("worker", string(w.info.ID)).Dur("for", d).Str("why", why).Msg("chief: worker gets no starts")
}

// stop has a run ended. Its room stays taken until the end is certain.
func (c *Chief) stop(r *run, why string) {
	if _, present := r.worker.runs[r.key]; !present || r.phase == stopping {
		return
	}
	r.phase, r.why, r.answered = stopping, why, 0
	r.worker.leaving = r.worker.leaving.Add(r.room)
	c.Log.Info().Str("task", r.key.task.String()).Int64("run", int64(r.key.number)).Str("worker", string(r.worker.info.ID)).
		Str("why", why).Int("percent", r.percent).Msg("chief: stop ordered")
	c.sendStop(r)
}

func (c *Chief) sendStop(r *run) {
	order := agent.StopOrder{Task: r.key.task, Run: r.key.number, Token: c.Term.Token}
	target := agent.Target{ID: r.worker.info.ID, Address: r.worker.info.Address}
	go func() {
		if !c.Valid() {
			c.post(func() { c.retryStop(r) })
			return
		}
		ctx, cancel := context.WithTimeout(c.ctx, orderLimit)
		defer cancel()
		reading, err := c.Workers.Stop(ctx, target, order)
		c.post(func() { c.stopped(r, reading, err) })
	}()
}

func (c *Chief) retryStop(r *run) {
	c.later(stopRetry, func() {
		if _, present := r.worker.runs[r.key]; present && r.answered == 0 {
			c.sendStop(r)
		}
	})
}

func (c *Chief) stopped(r *run, reading work.WorkerClock, err error) {
	c.Observe.Order("stop", resultOf(err))
	w := r.worker
	if _, present := w.runs[r.key]; !present {
		return
	}
	now := c.Now()
	var gone *agent.GoneError
	var rejected *agent.RejectedError
	switch {
	case err == nil:
		w.tick(reading, now)
		r.answered = now
		c.wake(w)
	case errors.As(err, &gone):
		c.dropRuns(w, "another worker at the address")
	case errors.As(err, &rejected) && rejected.Reason == agent.ReasonToken:
		c.Deposed()
	case errors.As(err, &rejected):
		r.answered = now // There is nothing to stop.
	default:
		c.miss(w, err)
		c.retryStop(r)
	}
}

// age returns how long a run has been wanted.
func (r *run) age(now clock.Instant) time.Duration { return now.Sub(r.created) }
