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
	// adviceBatch is the maximum number of workers in one call: the call takes longer with each of them.
	adviceBatch      = 30
	adviceTimeout    = 5 * time.Second
	adviceRetryPause = 300 * time.Millisecond
	// ticketReserve is subtracted from a ticket's validity, so that it is still valid when the start arrives.
	ticketReserve = 500 * time.Millisecond
)

// needsAdvice reports whether the advice service decides which workers may run a stage.
func (p *planner) needsAdvice(s *stage) bool {
	if p.c.Advise == nil {
		return false
	}
	queue := p.config.Queue(s.job.spec.Queue)
	return queue != nil && queue.Advised
}

// hasTicket reports whether a worker has a valid ticket for a stage, or the stage needs none.
func (p *planner) hasTicket(s *stage, w *worker) bool {
	if !p.needsAdvice(s) {
		return true
	}
	_, found := s.advice.tickets[w.info.ID]
	return found && p.now < s.advice.expiresAt
}

// ensureAdvice requests advice while fewer workers that may get runs have a ticket for a stage than it has tasks: a ticket for a
// worker that has left, drains or does not answer is of no use. It requests more while the waiting tasks do not fit on these workers,
// and others have room. It reports whether the stage may be planned.
func (p *planner) ensureAdvice(s *stage) bool {
	if !p.needsAdvice(s) {
		return true
	}
	if p.now >= s.advice.expiresAt && s.advice.expiresAt != 0 {
		s.advice = advice{}
	}
	waiting := s.waitingTasks()
	ticketed, room := p.ticketedWorkers(s, waiting)
	switch {
	case ticketed < len(s.tasks):
		p.requestAdvice(s, func(*worker) bool { return true })
	case room < waiting:
		p.requestAdvice(s, func(w *worker) bool { return availableNow(w).CountFits(s.step.Resources(), 1) > 0 })
	}
	return ticketed > 0
}

// mayFit reports whether a stage could start if it had tickets for all workers.
func (p *planner) mayFit(s *stage) bool {
	room := 0
	for _, w := range p.candidates() {
		if w.info.Pool == s.job.spec.Pool && w.info.Has(s.step.Label) {
			room += w.free().CountFits(s.step.Resources(), maxRoom)
		}
	}
	return room >= s.placesNeeded()
}

// ticketedWorkers returns how many of the workers that may get runs have a ticket for a stage, and how many of its waiting tasks fit
// there now.
func (p *planner) ticketedWorkers(s *stage, waiting int) (count, room int) {
	resources := s.step.Resources()
	for _, w := range p.candidates() {
		if _, found := s.advice.tickets[w.info.ID]; found {
			count++
			room += availableNow(w).CountFits(resources, waiting)
		}
	}
	return count, room
}

// waitingTasks returns the number of tasks that are neither done nor running.
func (s *stage) waitingTasks() int {
	waiting := 0
	for index := range s.tasks {
		if t := &s.tasks[index]; !t.done && t.activeRun == nil {
			waiting++
		}
	}
	return waiting
}

// adviceRequest is a call to the advice service that a pass may make.
type adviceRequest struct {
	stage   *stage
	workers []model.WorkerID
	rank    adviceRank
}

// adviceRank orders the stages that need advice; the lowest is served first.
type adviceRank int

const (
	adviseUrgent  adviceRank = iota // it may preempt others
	adviseFitting                   // it could start now
	adviseOthers
)

// requestAdvice notes that a stage needs advice for the workers that are wanted. Only one call is in flight: the service handles the calls of
// one machine in sequence. Of the stages of the same rank, the one whose last call was longest ago is served first: tickets expire, and
// jobs behind many others would never get theirs if these asked again before.
func (p *planner) requestAdvice(s *stage, wanted func(*worker) bool) {
	if p.c.adviceInFlight || p.now < s.advice.retryAt {
		return
	}
	rank := adviseOthers
	switch {
	case p.priority(s) == 0:
		rank = adviseUrgent
	case p.mayFit(s):
		rank = adviseFitting
	}
	if r := p.adviceRequest; r != nil && (rank > r.rank || rank == r.rank && s.advisedAt >= r.stage.advisedAt) {
		return
	}
	workers := p.adviceCandidates(s, wanted)
	if len(workers) == 0 {
		s.advice.retryAt = p.now.Add(adviceRetryPause)
		return
	}
	p.adviceRequest = &adviceRequest{s, workers, rank}
}

// callAdvice makes the call that was chosen in this pass, if any.
func (p *planner) callAdvice() {
	if p.adviceRequest == nil {
		return
	}
	s, workers := p.adviceRequest.stage, p.adviceRequest.workers
	s.advisedAt = p.now
	p.c.adviceInFlight = true
	c, step := p.c, s.id
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, adviceTimeout)
		defer cancel()
		sent := c.Now()
		tickets, valid, err := c.Advise(ctx, step, workers)
		c.post(func() { c.handleAdvice(s, workers, tickets, sent.Add(valid-ticketReserve), err) })
	}()
}

// adviceCandidates returns the wanted workers that no advice was requested for yet, those with the most available cores first.
func (p *planner) adviceCandidates(s *stage, wanted func(*worker) bool) []model.WorkerID {
	var options []*worker
	for _, w := range p.candidates() {
		if w.info.Pool == s.job.spec.Pool && w.info.Has(s.step.Label) && !s.advice.asked[w.info.ID] && wanted(w) {
			options = append(options, w)
		}
	}
	sort.SliceStable(options, func(i, j int) bool { return options[i].available.Cores() > options[j].available.Cores() })
	var ids []model.WorkerID
	for _, w := range options[:min(len(options), adviceBatch)] {
		ids = append(ids, w.info.ID)
	}
	return ids
}

// handleAdvice adds the tickets of a call to a stage's advice, or delays the next call after an error.
func (c *Scheduler) handleAdvice(
	s *stage, asked []model.WorkerID, tickets map[model.WorkerID]string, expiresAt clock.Instant, err error,
) {
	c.adviceInFlight = false
	c.dirty = true
	c.Observe.CallResult("advice", resultOf(err))
	c.Log.Info().Err(err).Str("step", s.id.String()).Int("asked", len(asked)).Int("allowed", len(tickets)).Msg("chief: advice")
	if err != nil {
		s.advice.retryAt = c.Now().Add(adviceRetryPause)
		return
	}
	current := &s.advice
	if current.tickets == nil {
		*current = advice{tickets: map[model.WorkerID]string{}, asked: map[model.WorkerID]bool{}, expiresAt: expiresAt}
	}
	current.expiresAt = min(current.expiresAt, expiresAt)
	for _, id := range asked {
		current.asked[id] = true
	}
	for id, ticket := range tickets {
		current.tickets[id] = ticket
	}
}

// Adviser calls the advice service for a step. It returns a ticket for each of the workers that may run it, and how long the
// tickets are valid.
type Adviser func(ctx context.Context, step work.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error)
