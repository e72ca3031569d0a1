package relay

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// call is one request from its first send to its outcome; it is used by one goroutine.
type call struct {
	relay    *Relay
	request  *Request
	class    *class
	results  chan outcome
	suspects chan suspicion
	attempts []*attempt
	inFlight int
	// worst is the error that holds so far, by the order of precedence.
	worst *reply.Error
	// denied is set when a further send was refused by MaySend.
	denied  bool
	overdue *time.Timer
	// replaced is the silent send that was cancelled to use its slot for another one.
	replaced *attempt
}

// suspicion is the result of the probe after an overdue answer.
type suspicion struct {
	attempt *attempt
	// free is whether a send in place of this one is outside the retry budget.
	free   bool
	reason string
}

func (c *call) run(ctx context.Context, pick *route.Pick) Result {
	if err := c.launch(ctx, pick); err != nil {
		c.note(err)
		return c.fail(ctx, nil)
	}
	hedge := c.timer(c.hedgeAfter())
	defer hedge.Stop()
	c.overdue = time.NewTimer(c.overdueAfter())
	defer c.overdue.Stop()
	for {
		select {
		case out := <-c.results:
			if result, ended := c.take(ctx, out); ended {
				return result
			}
		case <-hedge.C:
			c.again(ctx, retryHedge, false, false, false)
		case <-c.overdue.C:
			c.suspect(ctx)
		case s := <-c.suspects:
			c.replace(ctx, s)
		case <-ctx.Done():
			return c.giveUp(ctx)
		}
	}
}

// timer returns a timer that never fires when ok is false.
func (c *call) timer(after time.Duration, ok bool) *time.Timer {
	if !ok {
		after = time.Hour
	}
	return time.NewTimer(after)
}

func (c *call) overdueAfter() time.Duration {
	return c.class.latencies.overdueAfter(time.Until(c.request.Deadline))
}

func (c *call) hedgeAfter() (time.Duration, bool) {
	if !c.request.Hedge || !c.request.Idempotent {
		return 0, false
	}
	return c.class.latencies.hedgeAfter()
}

// launch sends one attempt; an error means that it was not sent.
func (c *call) launch(ctx context.Context, pick *route.Pick) *reply.Error {
	if c.relay.MaySend != nil {
		if err := c.relay.MaySend(pick.DataCentre, c.request.Idempotent); err != nil {
			pick.Done(route.VerdictUnused, route.Report{})
			return err
		}
	}
	pick.Restart()
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{relay: c.relay, request: c.request, number: len(c.attempts) + 1, pick: pick, cancel: cancel, startedAt: time.Now()}
	c.attempts = append(c.attempts, a)
	c.inFlight++
	count(c.relay.sends, string(c.request.Class))
	go func() { c.results <- a.send(ctx) }()
	return nil
}

// take handles the end of an attempt; ended is true when the request has its outcome.
func (c *call) take(ctx context.Context, out outcome) (Result, bool) {
	c.inFlight--
	out.attempt.ended = true
	out.attempt.cancel()
	if out.kind == kindDone {
		if time.Now().After(c.request.Deadline) {
			out.answer.Free()
			return c.fail(ctx, reply.Unknown(reply.ReasonAnswerLate, "the answer arrived after the deadline")), true
		}
		c.class.latencies.observe(time.Since(out.attempt.startedAt))
		c.abandon()
		return Result{Answer: out.answer, Attempts: len(c.attempts)}, true
	}
	c.note(out.err())
	if c.inFlight > 0 {
		return Result{}, false
	}
	if out.full {
		// A retry here would overtake requests of higher classes that wait for the same slots.
		result := c.fail(ctx, nil)
		result.Full = result.Err.Outcome == reply.OutcomeRefused
		return result, true
	}
	if !out.repeatable(c.request.Idempotent) {
		count(c.relay.denied, deniedForbidden)
		return c.fail(ctx, nil), true
	}
	if out.attempt == c.replaced {
		if !c.again(ctx, retrySilent, true, true, false) {
			return c.fail(ctx, nil), true
		}
		return Result{}, false
	}
	if !c.again(ctx, out.retryReason(), false, true, out.kind == kindNotRun || out.kind == kindNotSent) {
		return c.fail(ctx, nil), true
	}
	return Result{}, false
}

// again sends the request once more when the limits allow it; wait is whether to wait for a free slot, and patient whether to
// wait for the retry budget.
func (c *call) again(ctx context.Context, reason string, free, wait, patient bool) bool {
	if len(c.attempts) >= MaxAttempts {
		count(c.relay.denied, deniedAttempts)
		return false
	}
	// A hedge helps only on another endpoint.
	ask := route.Ask{DataCentres: c.request.DataCentres, OnlyOthers: reason == retryHedge}
	for _, a := range c.attempts {
		ask.Avoid = append(ask.Avoid, a.pick.Endpoint)
	}
	if ctx.Err() != nil || c.denied || c.relay.Table.Usable(ask.DataCentres) == 0 {
		count(c.relay.denied, deniedNoSlot)
		return false
	}
	if !free && !c.budgeted(ctx, patient) {
		count(c.relay.denied, deniedBudget)
		return false
	}
	pick := c.pick(ctx, ask, wait)
	if pick == nil {
		count(c.relay.denied, deniedNoSlot)
		return false
	}
	if err := c.launch(ctx, pick); err != nil {
		c.note(err)
		c.denied = true
		return false
	}
	c.overdue.Reset(c.overdueAfter())
	c.relay.countRetry(reason)
	return true
}

// budgeted takes a retry from the budget. A request that did not run holds no slot, so it can wait for the budget to grow
// instead of being refused.
func (c *call) budgeted(ctx context.Context, patient bool) bool {
	limit := time.Now().Add(budgetWait)
	for {
		if c.relay.allow(c.request.Class, c.class) {
			return true
		}
		if !patient || ctx.Err() != nil || time.Now().After(limit) {
			return false
		}
		timer := time.NewTimer(budgetPoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (c *call) pick(ctx context.Context, ask route.Ask, wait bool) *route.Pick {
	if !wait {
		return c.relay.Table.Acquire(ask)
	}
	ctx, cancel := context.WithTimeout(ctx, slotWait)
	defer cancel()
	return c.relay.Table.AcquireWait(ctx, ask)
}

// suspect probes the endpoint of the newest attempt on a new connection. When it answers there, the pooled connections
// are dropped, because one of them may have gone silent.
func (c *call) suspect(ctx context.Context) {
	if len(c.attempts) == 0 || c.inFlight == 0 {
		return
	}
	a := c.attempts[len(c.attempts)-1]
	go func() {
		ctx, cancel := context.WithTimeout(ctx, suspectProbe)
		defer cancel()
		_, err := c.relay.Table.Probe(ctx, a.pick.Address)
		if err != nil {
			count(c.relay.overdue, "failed")
			c.suspects <- suspicion{attempt: a, reason: retryOverdue}
			return
		}
		count(c.relay.overdue, "answered")
		c.suspects <- suspicion{attempt: a, free: c.relay.dropPool(a), reason: retrySilent}
	}()
}

// replace sends an idempotent request again beside the overdue send. When that is on a connection found silent and no slot
// is free, because silent sends hold them all, the overdue send is cancelled and its slot used.
func (c *call) replace(ctx context.Context, s suspicion) {
	if !c.request.Idempotent || s.attempt.ended || c.again(ctx, s.reason, s.free, false, false) {
		return
	}
	if s.free && len(c.attempts) < MaxAttempts {
		c.replaced = s.attempt
		s.attempt.cancel()
	}
}

// note keeps the error with the highest precedence: what ran precedes what may have run, which precedes what did not.
func (c *call) note(err *reply.Error) {
	if c.worst == nil || precedence(err.Outcome) >= precedence(c.worst.Outcome) {
		c.worst = err
	}
}

func precedence(outcome reply.Outcome) int {
	switch outcome {
	case reply.OutcomeFailed:
		return 2
	case reply.OutcomeUnknown:
		return 1
	default:
		return 0
	}
}

// giveUp ends the request at its deadline or when the caller has gone.
func (c *call) giveUp(ctx context.Context) Result {
	for _, a := range c.attempts {
		a.cancel()
	}
	for c.inFlight > 0 {
		out := <-c.results
		c.inFlight--
		out.attempt.ended = true
		if out.kind == kindDone {
			// The answer came too late to be given to the caller.
			out.answer.Free()
			out = outcome{attempt: out.attempt, kind: kindUnknown, reason: reply.ReasonAnswerLate, message: "the answer arrived after the deadline"}
		}
		c.note(out.err())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && c.worst.Outcome == reply.OutcomeUnknown {
		return c.fail(ctx, reply.Unknown(reply.ReasonAnswerLate, "no complete answer arrived before the deadline"))
	}
	return c.fail(ctx, nil)
}

// fail ends the request with an error; nil means the worst one noted.
func (c *call) fail(ctx context.Context, err *reply.Error) Result {
	c.abandon()
	if err != nil {
		c.note(err)
	}
	final := *c.worst
	final.RequestID = c.request.ID
	if final.Outcome == reply.OutcomeRefused && ctx.Err() != nil {
		final.Reason, final.Message = reply.ReasonDeadlinePast, "the deadline passed before the request ran"
		if errors.Is(ctx.Err(), context.Canceled) {
			final.Reason, final.Message = reply.ReasonCancelled, "the caller went away before the request ran"
		}
		return Result{Err: &final, Attempts: len(c.attempts)}
	}
	if final.Outcome == reply.OutcomeRefused && final.RetryAfter == 0 {
		final.RetryAfter = model.Duration(time.Second)
	}
	return Result{Err: &final, Attempts: len(c.attempts)}
}

// abandon cancels the attempts in flight and discards their answers.
func (c *call) abandon() {
	if c.inFlight == 0 {
		return
	}
	for _, a := range c.attempts {
		a.cancel()
	}
	left := c.inFlight
	c.inFlight = 0
	go func() {
		for range left {
			out := <-c.results
			if out.answer != nil {
				out.answer.Free()
			}
		}
	}()
}
