package chief

import (
	"context"
	"time"

	"peridotgw.example/peridotgw/internal/agent"
)

const (
	// Filling tasks are slowed when the tail latency of a serving task on the worker reaches paceDownAt of its target, and
	// sped up again when it is below paceUpBelow.
	paceDownAt   = 0.9
	paceUpBelow  = 0.6
	paceReduced  = 30 // percent of full speed, at the first reduction
	paceStep     = 25 // percent of full speed, per increase
	paceInterval = 700 * time.Millisecond
	paceTimeout  = 500 * time.Millisecond
)

// adjustPace compares the serving tasks on a worker with their latency targets, and sets the pace of its filling tasks.
func (c *Scheduler) adjustPace(w *worker) {
	now := c.Now()
	if now < w.nextPaceAt {
		return
	}
	worst, serving := w.worstServing()
	for r, percent := range c.nextPaces(w, worst, serving) {
		w.nextPaceAt = now.Add(paceInterval)
		c.pace(r, percent, worst)
	}
}

// nextPaces returns the filling runs on a worker whose pace is to change, and their new pace in percent. While one that is known to slow
// down the worst serving run is at work, the others keep their pace.
func (c *Scheduler) nextPaces(w *worker, worst float64, serving *run) map[*run]int {
	known := serving != nil && worst >= paceDownAt && c.knowsAggressor(w, serving)
	paces := map[*run]int{}
	for _, r := range w.runs {
		if !r.fills() || known && !c.slowsDown(r, serving) {
			continue
		}
		if percent := nextPace(r.pace, worst); percent != r.pace {
			paces[r] = percent
		}
	}
	return paces
}

// fills reports whether a run works at what other tasks leave idle.
func (r *run) fills() bool { return r.task != nil && r.task.stage.step.Fills && r.phase == running }

// worstServing returns the highest ratio of tail latency to target of the serving tasks on a worker, and its run; nil for none.
func (w *worker) worstServing() (ratio float64, worst *run) {
	for _, r := range w.runs {
		if r.task == nil || r.task.stage.step.TailTarget == 0 || r.phase != running {
			continue
		}
		if load := float64(r.tailLatency) / float64(r.task.stage.step.TailTarget.Milliseconds()); load > ratio {
			ratio, worst = load, r
		}
	}
	return ratio, worst
}

// knowsAggressor reports whether a filling run that is at work is known to slow down a serving one: it is then slowed first, and the others
// only once that has not helped.
func (c *Scheduler) knowsAggressor(w *worker, serving *run) bool {
	for _, r := range w.runs {
		if r.fills() && r.pace > 0 && c.slowsDown(r, serving) {
			return true
		}
	}
	return false
}

// nextPace returns the new pace of a filling task in percent; worst is the highest ratio of tail latency to target.
func nextPace(pace int, worst float64) int {
	switch {
	case worst >= paceDownAt && pace > paceReduced:
		return paceReduced
	case worst >= paceDownAt:
		return 0
	case worst < paceUpBelow:
		return min(fullPace, pace+paceStep)
	}
	return pace
}

// pace orders a new pace for a run.
func (c *Scheduler) pace(r *run, percent int, worst float64) {
	c.Log.Info().Str("task", r.key.task.String()).Str("worker", string(r.worker.info.ID)).Int("percent", percent).
		Float64("worst-load", worst).Msg("chief: pace ordered")
	order := agent.ThrottleOrder{Task: r.key.task, Run: r.key.number, Percent: percent, Token: c.Term.Token}
	target := r.worker.target()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, paceTimeout)
		defer cancel()
		err := c.Workers.Throttle(ctx, target, order)
		c.post(func() {
			c.Observe.CallResult("pace", resultOf(err))
			if err == nil {
				r.pace, r.progressedAt = percent, c.Now()
				r.worker.neighbours.changedAt = c.Now()
			}
		})
	}()
}
