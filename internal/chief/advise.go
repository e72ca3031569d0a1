package chief

import (
	"context"
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// advisedWorkers is how many workers one call asks about: the service takes longer for each.
	advisedWorkers = 30
	adviceLimit    = 5 * time.Second
	adviceRetry    = 300 * time.Millisecond
	// ticketReserve is kept of a ticket's time, for the start that carries it.
	ticketReserve = 500 * time.Millisecond
)

// wantsAdvice reports whether the advice service decides which workers may run a unit.
func (p *pass) wantsAdvice(u *unit) bool {
	queue := p.config.Queue(u.job.spec.Queue)
	return queue != nil && queue.Advised && p.c.Advise != nil
}

// advised reports whether a worker may run a unit by the advice in force.
func (p *pass) advised(u *unit, w *worker) bool {
	if !p.wantsAdvice(u) {
		return true
	}
	_, found := u.advice.tickets[w.info.ID]
	return found && p.now < u.advice.expires
}

// advise asks about more workers while the advice in force does not suffice. It reports whether the unit may be planned.
func (p *pass) advise(u *unit) bool {
	if !p.wantsAdvice(u) {
		return true
	}
	if p.now >= u.advice.expires && u.advice.expires != 0 {
		u.advice = advice{}
	}
	if len(u.advice.tickets) < len(u.tasks) {
		p.ask(u)
	}
	return len(u.advice.tickets) > 0
}

// ask sends one call; the service handles the calls of a machine in turn.
func (p *pass) ask(u *unit) {
	if p.c.advising || p.now < u.advice.retry {
		return
	}
	workers := p.candidates(u)
	if len(workers) == 0 {
		u.advice.retry = p.now.Add(adviceRetry)
		return
	}
	p.c.advising = true
	c, step := p.c, u.id
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, adviceLimit)
		defer cancel()
		sent := c.Now()
		tickets, valid, err := c.Advise(ctx, step, workers)
		c.post(func() { c.adviceCame(u, workers, tickets, sent.Add(valid-ticketReserve), err) })
	}()
}

// candidates returns workers that were not asked about yet, those with the most free room first.
func (p *pass) candidates(u *unit) []model.WorkerID {
	var options []*worker
	for _, w := range p.workers {
		if w.info.Pool == u.job.spec.Pool && w.info.Has(u.step.Label) && !u.advice.asked[w.info.ID] {
			options = append(options, w)
		}
	}
	sort.SliceStable(options, func(i, j int) bool { return options[i].soon.Cores() > options[j].soon.Cores() })
	var ids []model.WorkerID
	for _, w := range options[:min(len(options), advisedWorkers)] {
		ids = append(ids, w.info.ID)
	}
	return ids
}

func (c *Chief) adviceCame(
	u *unit, asked []model.WorkerID, tickets map[model.WorkerID]string, expires clock.Instant, err error,
) {
	c.advising = false
	c.dirty = true
	c.Observe.Order("advice", resultOf(err))
	c.Log.Info().Err(err).Str("step", u.id.String()).Int("asked", len(asked)).Int("allowed", len(tickets)).Msg("chief: advice")
	if err != nil {
		u.advice.retry = c.Now().Add(adviceRetry)
		return
	}
	a := &u.advice
	if a.tickets == nil {
		*a = advice{tickets: map[model.WorkerID]string{}, asked: map[model.WorkerID]bool{}, expires: expires}
	}
	a.expires = min(a.expires, expires)
	for _, id := range asked {
		a.asked[id] = true
	}
	for id, ticket := range tickets {
		a.tickets[id] = ticket
	}
}

// Adviser asks which workers may run a step, and returns their tickets and how long these are valid.
type Adviser func(ctx context.Context, step work.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error)
