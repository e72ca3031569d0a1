package chief

import (
	"context"
	"time"

	"peridotgw.example/peridotgw/internal/agent"
)

const (
	// Work that fills is slowed when a task that serves comes near its target, and sped up again when it is well below.
	paceDownAt   = 0.9
	paceUpBelow  = 0.6
	paceFirst    = 30 // percent, at the first sign
	paceStep     = 25 // percent, on the way back
	paceInterval = 700 * time.Millisecond
	paceLimit    = 500 * time.Millisecond
)

// checkPace compares the tasks that serve on a worker with their targets, and paces those that fill beside them.
func (c *Chief) checkPace(w *worker) {
	now := c.Now()
	if now < w.paceAt {
		return
	}
	worst := 0.0
	for _, r := range w.runs {
		if r.task != nil && r.task.unit.step.TailTarget > 0 && r.phase == running {
			worst = max(worst, float64(r.load)/float64(r.task.unit.step.TailTarget.Milliseconds()))
		}
	}
	for _, r := range w.runs {
		if r.task == nil || !r.task.unit.step.Fills || r.phase != running {
			continue
		}
		if percent := nextPace(r.pace, worst); percent != r.pace {
			w.paceAt = now.Add(paceInterval)
			c.pace(r, percent, worst)
		}
	}
}

// nextPace returns the pace of a task that fills, by the worst load in parts of its target.
func nextPace(pace int, worst float64) int {
	switch {
	case worst >= paceDownAt && pace > paceFirst:
		return paceFirst
	case worst >= paceDownAt:
		return 0
	case worst < paceUpBelow:
		return min(fullPace, pace+paceStep)
	}
	return pace
}

func (c *Chief) pace(r *run, percent int, worst float64) {
	c.Log.Info().Str("task", r.key.task.String()).Str("worker", string(r.worker.info.ID)).Int("percent", percent).
		Float64("worst-load", worst).Msg("chief: pace ordered")
	order := agent.PaceOrder{Task: r.key.task, Run: r.key.number, Percent: percent, Token: c.Term.Token}
	target := agent.Target{ID: r.worker.info.ID, Address: r.worker.info.Address}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, paceLimit)
		defer cancel()
		err := c.Workers.Pace(ctx, target, order)
		c.post(func() {
			c.Observe.Order("pace", resultOf(err))
			if err == nil {
				r.pace, r.moved = percent, c.Now()
			}
		})
	}()
}
