package chief

import (
	"context"
	"errors"
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/advice"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// noCandidatesPause is the least time between two looks for workers to ask for, for a stage that found none.
	noCandidatesPause = 300 * time.Millisecond
	// spareTickets is how many times the waiting tasks of a stage fit on the workers with tickets before no more are asked for: these workers may
	// be full when others have room.
	spareTickets = 2
)

// life returns the life of a worker for which a ticket holds.
func (w *worker) life() advice.Worker { return advice.Worker{ID: w.info.ID, Born: w.born} }

// needsAdvice reports whether the advice service decides which workers may run a stage.
func (p *planner) needsAdvice(s *stage) bool {
	return p.c.Advise != nil && p.config.Advised(s.job.spec.Queue)
}

// needsAdvice reports whether the advice service decides which workers may run a stage.
func (c *Scheduler) needsAdvice(s *stage) bool {
	return c.Advise != nil && c.Config().Advised(s.job.spec.Queue)
}

// hasTicket reports whether a worker has a valid ticket for a stage, or the stage needs none.
func (p *planner) hasTicket(s *stage, w *worker) bool {
	if !p.needsAdvice(s) {
		return true
	}
	_, valid := s.advice.Ticket(w.life(), p.now)
	return valid
}

// ensureAdvice requests advice while the waiting tasks of a stage do not fit spareTickets times on the workers that have a ticket for it and may
// get runs: a ticket for a worker that has left, drains or does not answer is of no use. It requests more while the tasks find no room there
// now, and others have room. It reports whether the stage may be planned.
func (p *planner) ensureAdvice(s *stage) bool {
	if !p.needsAdvice(s) {
		return true
	}
	waiting := s.waitingTasks()
	capacity, room := p.ticketedRoom(s, waiting)
	switch {
	case capacity < spareTickets*waiting:
		p.requestAdvice(s, func(*worker) bool { return true })
	case room < waiting:
		p.requestAdvice(s, func(w *worker) bool { return availableNow(w).CountFits(s.step.Resources(), 1) > 0 })
	}
	return capacity > 0
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

// ticketedRoom returns how many tasks of a stage fit on the workers that may get runs and have a ticket for it, if nothing else ran there,
// and how many fit there now; at most limit for each worker.
func (p *planner) ticketedRoom(s *stage, limit int) (capacity, room int) {
	for _, w := range p.candidates() {
		if p.hasTicket(s, w) {
			capacity += s.placesIn(w.info.Capacity, limit)
			room += s.placesIn(availableNow(w), limit)
		}
	}
	return capacity, room
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
	workers []advice.Worker
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
	if p.c.adviceInFlight || s.advice.Paused(p.now) {
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
		s.advice.Pause(p.now.Add(noCandidatesPause))
		return
	}
	p.adviceRequest = &adviceRequest{s, workers, rank}
}

// callAdvice makes the call that was chosen in this pass, if any.
func (p *planner) callAdvice() {
	if p.adviceRequest == nil {
		return
	}
	s := p.adviceRequest.stage
	s.advisedAt = p.now
	p.c.adviceInFlight = true
	call := &advice.Call{Workers: p.adviceRequest.workers, Timing: p.config.Queue(s.job.spec.Queue).Advice}
	ids := make([]model.WorkerID, 0, len(call.Workers))
	for _, w := range call.Workers {
		ids = append(ids, w.ID)
	}
	c, step := p.c, s.id
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, advice.Timeout(call.Timing, len(ids)))
		defer cancel()
		call.Sent = c.Now()
		tickets, valid, err := c.Advise(ctx, step, ids)
		answered := c.Now()
		c.post(func() { c.handleAdvice(s, call, adviceAnswer{tickets, valid, answered}, err) })
	}()
}

// adviceCandidates returns the wanted workers that a call for a stage names. Those with places for its tasks come first, of them those that are
// known to be allowed, and then those with the most available cores.
func (p *planner) adviceCandidates(s *stage, wanted func(*worker) bool) []advice.Worker {
	type option struct {
		worker  *worker
		places  int
		allowed bool
	}
	var options []option
	waiting := s.waitingTasks()
	for _, w := range p.candidates() {
		if w.info.Pool == s.job.spec.Pool && w.info.Has(s.step.Label) && s.advice.Asks(w.life(), p.now) && wanted(w) {
			options = append(options, option{w, s.placesIn(p.adviceRoom(s, w), waiting), s.advice.Allowed(w.life())})
		}
	}
	sort.SliceStable(options, func(i, j int) bool {
		a, b := options[i], options[j]
		switch {
		case (a.places > 0) != (b.places > 0):
			return a.places > 0
		case a.allowed != b.allowed:
			return a.allowed
		}
		return a.worker.available.Cores() > b.worker.available.Cores()
	})
	places := make([]int, len(options))
	for i, o := range options {
		places[i] = o.places
	}
	var named []advice.Worker
	for _, o := range options[:advice.CallSize(p.config.Queue(s.job.spec.Queue).Advice, places, waiting)] {
		named = append(named, o.worker.life())
	}
	return named
}

// adviceRoom returns the room on a worker for which a ticket is of use to a stage: urgent work may stop what runs there.
func (p *planner) adviceRoom(s *stage, w *worker) work.Resources {
	if p.priority(s) == 0 {
		return w.info.Capacity
	}
	return availableNow(w)
}

// adviceAnswer is the answer to a call for advice.
type adviceAnswer struct {
	tickets  map[model.WorkerID]string
	valid    time.Duration
	answered clock.Instant
}

// handleAdvice records the tickets of a call, or delays the next call after an error.
func (c *Scheduler) handleAdvice(s *stage, call *advice.Call, answer adviceAnswer, err error) {
	c.adviceInFlight = false
	c.dirty = true
	valid := answer.valid
	if valid <= 0 {
		valid = call.Timing.Valid
	}
	if err == nil && valid <= 0 {
		err = errNoValidity
	}
	c.Observe.CallResult("advice", resultOf(err))
	c.Log.Info().Err(err).Str("step", s.id.String()).Int("asked", len(call.Workers)).Int("allowed", len(answer.tickets)).
		Dur("took", answer.answered.Sub(call.Sent)).Dur("valid", valid).Msg("chief: advice")
	if err != nil {
		c.adviceMissed(s, err.Error())
		return
	}
	if s.advice.Answered(call, answer.tickets, valid, answer.answered) {
		c.Observe.CallResult("advice", "late")
	}
}

var errNoValidity = errors.New("its tickets are valid for no time") //nolint:gochecknoglobals // a constant error

// adviceMissed delays the next call for a stage: its last one was of no use.
func (c *Scheduler) adviceMissed(s *stage, why string) {
	pause := s.advice.Missed(c.Now())
	c.Observe.CallResult("advice", "of-no-use")
	c.Log.Warn().Str("step", s.id.String()).Str("why", why).Dur("next-call-in", pause).Msg("chief: advice of no use")
	c.postAfter(pause, func() { c.dirty = true })
}

// Adviser calls the advice service for a step. It returns a ticket for each of the workers that may run it, and how long the
// tickets are valid.
type Adviser func(ctx context.Context, step work.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error)
