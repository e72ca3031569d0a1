package relay

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// call is one request from its first attempt to its outcome. Its fields are used by one goroutine; attempts and probes run in
// others and report on the channels.
type call struct {
	relay        *Relay
	request      *Request
	classState   *classState
	results      chan attemptResult
	probeResults chan probeResult
	attempts     []*attempt
	inFlight     int
	// worstError is the recorded error of the highest precedence.
	worstError *reply.Error
	// denied is set once CheckSend has refused a retry; no further retry follows.
	denied       bool
	overdueTimer *time.Timer
	// replacedAttempt is the attempt on a silent connection that was cancelled so that a retry can use its slot.
	replacedAttempt *attempt
}

// probeResult is the result of the health probe after an overdue answer.
type probeResult struct {
	attempt *attempt
	// budgetExempt is whether a retry in place of this attempt does not count against the retry budget.
	budgetExempt bool
	reason       string
}

// run makes the first attempt on slot and then handles results, hedges and overdue answers until the request has an outcome.
func (c *call) run(ctx context.Context, slot *route.Slot) Result {
	if err := c.startAttempt(ctx, slot); err != nil {
		c.recordError(err)
		return c.finishWithError(ctx, nil)
	}
	hedge := c.newTimer(c.hedgeDelay())
	defer hedge.Stop()
	c.overdueTimer = time.NewTimer(c.overdueDelay())
	defer c.overdueTimer.Stop()
	for {
		select {
		case out := <-c.results:
			if result, ended := c.handleResult(ctx, out); ended {
				return result
			}
		case <-hedge.C:
			c.retry(ctx, retryHedge, false, false, false)
		case <-c.overdueTimer.C:
			c.probeOverdue(ctx)
		case probe := <-c.probeResults:
			c.resendOverdue(ctx, probe)
		case <-ctx.Done():
			return c.finishOnContextEnd(ctx)
		}
	}
}

// newTimer returns a timer for the given delay. When ok is false, it is set to an hour, which no request lasts.
func (c *call) newTimer(after time.Duration, ok bool) *time.Timer {
	if !ok {
		after = time.Hour
	}
	return time.NewTimer(after)
}

func (c *call) overdueDelay() time.Duration {
	return c.classState.latencies.overdueDelay(time.Until(c.request.Deadline))
}

func (c *call) hedgeDelay() (time.Duration, bool) {
	if !c.request.Hedge || !c.request.Idempotent {
		return 0, false
	}
	return c.classState.latencies.hedgeDelay()
}

// startAttempt sends the request on slot in a new goroutine; an error means that it was not sent and that the slot is released.
func (c *call) startAttempt(ctx context.Context, slot *route.Slot) *reply.Error {
	if c.relay.CheckSend != nil {
		if err := c.relay.CheckSend(slot.DataCentre, c.request.Idempotent); err != nil {
			slot.Done(route.ResultUnused, route.Report{})
			return err
		}
	}
	slot.ResetStart()
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{relay: c.relay, request: c.request, number: len(c.attempts) + 1, slot: slot, cancel: cancel, startedAt: time.Now()}
	c.attempts = append(c.attempts, a)
	c.inFlight++
	increment(c.relay.sends, string(c.request.Class))
	go func() { c.results <- a.send(ctx) }()
	return nil
}

// handleResult handles the result of an attempt; it returns true with the request's result when the request has ended.
func (c *call) handleResult(ctx context.Context, out attemptResult) (Result, bool) {
	c.inFlight--
	out.attempt.ended = true
	out.attempt.cancel()
	if out.kind == kindDone {
		if time.Now().After(c.request.Deadline) {
			out.answer.Release()
			return c.finishWithError(ctx, reply.Unknown(reply.ReasonAnswerLate, "the answer arrived after the deadline")), true
		}
		c.classState.latencies.observe(time.Since(out.attempt.startedAt))
		c.cancelInFlight()
		return Result{Answer: out.answer, Attempts: len(c.attempts)}, true
	}
	c.recordError(out.replyError())
	if c.inFlight > 0 {
		return Result{}, false
	}
	if out.endpointFull {
		// A retry here would overtake queued requests of higher priority that wait for the same slots.
		result := c.finishWithError(ctx, nil)
		result.EndpointFull = result.Err.Outcome == reply.OutcomeRefused
		return result, true
	}
	if !out.retryable(c.request.Idempotent) {
		increment(c.relay.denied, deniedForbidden)
		return c.finishWithError(ctx, nil), true
	}
	if out.attempt == c.replacedAttempt {
		if !c.retry(ctx, retrySilent, true, true, false) {
			return c.finishWithError(ctx, nil), true
		}
		return Result{}, false
	}
	if !c.retry(ctx, out.retryReason(), false, true, out.kind == kindNotRun || out.kind == kindNotSent) {
		return c.finishWithError(ctx, nil), true
	}
	return Result{}, false
}

// retry sends the request once more when the limits allow it, and reports whether it did. budgetExempt is whether the retry does not
// count against the retry budget; waitForSlot and waitForBudget are whether to wait for a free slot and for the budget.
func (c *call) retry(ctx context.Context, reason string, budgetExempt, waitForSlot, waitForBudget bool) bool {
	if len(c.attempts) >= MaxAttempts {
		increment(c.relay.denied, deniedAttempts)
		return false
	}
	// A hedge helps only on another endpoint.
	slotRequest := route.SlotRequest{DataCentres: c.request.DataCentres, ExcludeAvoided: reason == retryHedge}
	for _, a := range c.attempts {
		slotRequest.Avoid = append(slotRequest.Avoid, a.slot.Endpoint)
	}
	if ctx.Err() != nil || c.denied || c.relay.Table.UsableEndpoints(slotRequest.DataCentres) == 0 {
		increment(c.relay.denied, deniedNoSlot)
		return false
	}
	if !budgetExempt && !c.takeRetryToken(ctx, waitForBudget) {
		increment(c.relay.denied, deniedBudget)
		return false
	}
	slot := c.slot(ctx, slotRequest, waitForSlot)
	if slot == nil {
		increment(c.relay.denied, deniedNoSlot)
		return false
	}
	if err := c.startAttempt(ctx, slot); err != nil {
		c.recordError(err)
		c.denied = true
		return false
	}
	c.overdueTimer.Reset(c.overdueDelay())
	c.relay.countRetry(reason)
	return true
}

// takeRetryToken takes a retry from the budget. A request that did not run holds no slot, so it can wait for a token instead of
// being refused.
func (c *call) takeRetryToken(ctx context.Context, waitForBudget bool) bool {
	waitUntil := time.Now().Add(maxBudgetWait)
	for {
		if c.relay.allowRetry(c.request.Class, c.classState) {
			return true
		}
		if !waitForBudget || ctx.Err() != nil || time.Now().After(waitUntil) {
			return false
		}
		timer := time.NewTimer(budgetPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (c *call) slot(ctx context.Context, slotRequest route.SlotRequest, waitForSlot bool) *route.Slot {
	if !waitForSlot {
		return c.relay.Table.Acquire(slotRequest)
	}
	ctx, cancel := context.WithTimeout(ctx, maxSlotWait)
	defer cancel()
	return c.relay.Table.AcquireWait(ctx, slotRequest)
}

// probeOverdue probes the endpoint of the newest attempt on a new connection. When the probe succeeds, the pooled connections
// are dropped, because one of them may have gone silent.
func (c *call) probeOverdue(ctx context.Context) {
	if len(c.attempts) == 0 || c.inFlight == 0 {
		return
	}
	a := c.attempts[len(c.attempts)-1]
	go func() {
		ctx, cancel := context.WithTimeout(ctx, healthProbeTimeout)
		defer cancel()
		_, err := c.relay.Table.Probe(ctx, a.slot.Address)
		if err != nil {
			increment(c.relay.overdue, "failed")
			c.probeResults <- probeResult{attempt: a, reason: retryOverdue}
			return
		}
		increment(c.relay.overdue, "answered")
		c.probeResults <- probeResult{attempt: a, budgetExempt: c.relay.dropEndpointConns(a), reason: retrySilent}
	}()
}

// resendOverdue retries an idempotent request while the overdue attempt continues. When the connection of that attempt was found
// silent and no slot is free, because attempts on silent connections hold them all, the attempt is cancelled and its slot reused.
func (c *call) resendOverdue(ctx context.Context, probe probeResult) {
	if !c.request.Idempotent || probe.attempt.ended || c.retry(ctx, probe.reason, probe.budgetExempt, false, false) {
		return
	}
	if probe.budgetExempt && len(c.attempts) < MaxAttempts {
		c.replacedAttempt = probe.attempt
		probe.attempt.cancel()
	}
}

// recordError keeps the error with the highest precedence: failed (it ran) before unknown (it may have run) before refused.
func (c *call) recordError(err *reply.Error) {
	if c.worstError == nil || precedence(err.Outcome) >= precedence(c.worstError.Outcome) {
		c.worstError = err
	}
}

// precedence returns the rank of an outcome for recordError.
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

// finishOnContextEnd ends the request at its deadline or when the caller has disconnected; it waits for the attempts in flight.
func (c *call) finishOnContextEnd(ctx context.Context) Result {
	for _, a := range c.attempts {
		a.cancel()
	}
	for c.inFlight > 0 {
		out := <-c.results
		c.inFlight--
		out.attempt.ended = true
		if out.kind == kindDone {
			// The answer came too late for the caller.
			out.answer.Release()
			out = attemptResult{attempt: out.attempt, kind: kindUnknown, reason: reply.ReasonAnswerLate, message: "the answer arrived after the deadline"}
		}
		c.recordError(out.replyError())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && c.worstError.Outcome == reply.OutcomeUnknown {
		return c.finishWithError(ctx, reply.Unknown(reply.ReasonAnswerLate, "no complete answer arrived before the deadline"))
	}
	return c.finishWithError(ctx, nil)
}

// finishWithError ends the request with an error; nil means the one recorded with the highest precedence.
func (c *call) finishWithError(ctx context.Context, err *reply.Error) Result {
	c.cancelInFlight()
	if err != nil {
		c.recordError(err)
	}
	final := *c.worstError
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

// cancelInFlight cancels the attempts in flight and discards their answers.
func (c *call) cancelInFlight() {
	if c.inFlight == 0 {
		return
	}
	for _, a := range c.attempts {
		a.cancel()
	}
	remaining := c.inFlight
	c.inFlight = 0
	go func() {
		for range remaining {
			out := <-c.results
			if out.answer != nil {
				out.answer.Release()
			}
		}
	}()
}
