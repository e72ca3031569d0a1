package front

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// serveRequest handles one request from its arrival to its answer.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	c, refusal := s.check(w, r, time.Now())
	result := relay.Result{Err: refusal}
	var stored *StoredAnswer
	if refusal == nil {
		result, stored = s.handle(r.Context(), c)
	}
	defer result.Answer.Free()
	if result.Err == nil && !time.Now().Before(c.send.Deadline) {
		result.Err = reply.Unknown(reply.ReasonAnswerLate, "the answer arrived after the deadline")
	}
	if result.Err != nil {
		s.answerError(w, c, result)
		return
	}
	s.answer(w, c, result, stored)
}

// maxMoves bounds how often a request that did not run is given another slot, because its data centre went out of service or
// its endpoint was full.
const maxMoves = 4

// handle queues, claims and sends a request. The answer is either in the result or in stored.
func (s *Server) handle(ctx context.Context, c *checked) (relay.Result, *StoredAnswer) {
	ticket, refusal := s.waitForSlot(ctx, c)
	if refusal != nil {
		return relay.Result{Err: refusal}, nil
	}
	if c.send.Idempotent {
		return s.send(ctx, c, ticket), nil
	}
	return s.handleClaimed(ctx, c, ticket)
}

// waitForSlot queues a request until it has a slot in a data centre that it may be sent to. A slot that was chosen just before its
// data centre went out of service is exchanged for another one.
func (s *Server) waitForSlot(ctx context.Context, c *checked) (*queue.Ticket, *reply.Error) {
	for moves := 0; ; moves++ {
		ticket, refusal := s.Queue.Wait(ctx, c.item)
		if refusal != nil || s.MaySend == nil {
			return ticket, refusal
		}
		refusal = s.MaySend(ticket.Pick.DataCentre, c.send.Idempotent)
		if refusal == nil {
			return ticket, nil
		}
		ticket.Cancel()
		if refusal.Reason != reply.ReasonDraining || moves == maxMoves {
			return nil, refusal
		}
	}
}

// send sends a request that has a slot. When it did not run, because the data centre went out of service or the endpoint
// was full, it is queued again: the queue decides by class who gets the next slot.
func (s *Server) send(ctx context.Context, c *checked, ticket *queue.Ticket) relay.Result {
	for moves := 0; ; moves++ {
		result := s.sendOnce(ctx, c, ticket)
		unsent := result.Err != nil && result.Err.Reason == reply.ReasonDraining && result.Attempts == 0
		if !unsent && !result.Full || moves == maxMoves {
			return result
		}
		if result.Full {
			c.item.OwnOnly = true
			s.countRequeue()
		}
		var refusal *reply.Error
		if ticket, refusal = s.waitForSlot(ctx, c); refusal != nil {
			return relay.Result{Err: refusal}
		}
	}
}

func (s *Server) sendOnce(ctx context.Context, c *checked, ticket *queue.Ticket) relay.Result {
	started := time.Now()
	result := s.Relay.Send(ctx, c.send, ticket.Pick)
	if result.Err != nil && result.Err.Outcome == reply.OutcomeRefused {
		ticket.Cancel()
	} else {
		ticket.Done(time.Since(started))
	}
	return result
}

// claimed is what Claim returned.
type claimed struct {
	claim  *Claim
	stored *StoredAnswer
	err    *reply.Error
}

// handleClaimed sends a request that must not be repeated, after its claim is durable. A caller that goes away does not
// stop it any more, so that its outcome can be recorded.
func (s *Server) handleClaimed(ctx context.Context, c *checked, ticket *queue.Ticket) (relay.Result, *StoredAnswer) {
	if s.Claim == nil {
		ticket.Cancel()
		return relay.Result{Err: reply.Refused(reply.ReasonStoreUnavailable, "requests of class %s cannot be claimed", c.send.Class)}, nil
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.send.Deadline)
	defer cancel()
	got, ticket := s.claim(ctx, c, ticket)
	if got.claim == nil {
		if ticket != nil {
			ticket.Cancel()
		}
		if got.err != nil {
			return relay.Result{Err: got.err}, nil
		}
		return storedResult(got.stored), got.stored
	}
	if ticket == nil {
		var refusal *reply.Error
		if ticket, refusal = s.waitForSlot(ctx, c); refusal != nil {
			s.finish(ctx, c, got.claim, relay.Result{Err: refusal})
			return relay.Result{Err: refusal}, nil
		}
	}
	result := s.send(ctx, c, ticket)
	s.finish(ctx, c, got.claim, result)
	return result, nil
}

// claim waits for the claim, and gives the slot back when that takes long.
func (s *Server) claim(ctx context.Context, c *checked, ticket *queue.Ticket) (claimed, *queue.Ticket) {
	results := make(chan claimed, 1)
	go func() {
		var got claimed
		got.claim, got.stored, got.err = s.Claim(ctx, ClaimRequest{
			Customer: c.send.Customer, Request: c.send.ID, Class: c.send.Class, Digest: xxhash.Sum64(c.send.Body),
		})
		results <- got
	}()
	timer := time.NewTimer(claimPatience)
	defer timer.Stop()
	select {
	case got := <-results:
		return got, ticket
	case <-timer.C:
		ticket.Cancel()
		return <-results, nil
	}
}

// finish records the outcome of a claimed request, or removes the claim of one that did not run, while the caller already
// gets the answer.
func (s *Server) finish(ctx context.Context, c *checked, claim *Claim, result relay.Result) {
	stored := toStore(result)
	s.inFlight.begin()
	go func() {
		defer s.inFlight.end()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		var err error
		if stored.Outcome == reply.OutcomeRefused {
			err = claim.Release(ctx)
		} else {
			err = claim.Finish(ctx, stored)
		}
		if err != nil {
			s.Log.Warn().Err(err).Str("request", string(c.send.ID)).Msg("front: outcome of a claim is not recorded")
		}
	}()
}

// toStore returns what a claim keeps of a result. The body is copied, because the answer's buffer is used again once the
// caller has it.
func toStore(result relay.Result) StoredAnswer {
	stored := StoredAnswer{Outcome: reply.OutcomeDone}
	switch {
	case result.Err != nil:
		stored = StoredAnswer{Outcome: result.Err.Outcome, Reason: result.Err.Reason}
	case result.Answer != nil:
		stored.Status, stored.ContentType = result.Answer.Status, result.Answer.ContentType
		stored.Body, stored.BodyKept = slices.Clone(result.Answer.Body), true
	}
	return stored
}

// storedResult is the result of a duplicate.
func storedResult(stored *StoredAnswer) relay.Result {
	switch {
	case stored == nil:
		return relay.Result{Err: reply.Unknown(reply.ReasonInDoubt, "the outcome of the first request with this id is not known")}
	case stored.Outcome != reply.OutcomeDone:
		return relay.Result{Err: &reply.Error{Outcome: stored.Outcome, Reason: stored.Reason, Message: "outcome of the first request with this id"}}
	case !stored.BodyKept:
		return relay.Result{Err: reply.Unknown(reply.ReasonInDoubt, "the request ran once and its answer is no longer held")}
	default:
		return relay.Result{}
	}
}

func (s *Server) answer(w http.ResponseWriter, c *checked, result relay.Result, stored *StoredAnswer) {
	status, contentType, body := http.StatusOK, "", []byte(nil)
	header := w.Header()
	if result.Answer != nil {
		status, contentType, body = result.Answer.Status, result.Answer.ContentType, result.Answer.Body
		if result.Answer.Digest != "" {
			header.Set(reply.HeaderDigest, result.Answer.Digest)
		}
	} else if stored != nil {
		status, contentType, body = stored.Status, stored.ContentType, stored.Body
	}
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	s.head(header, c, result.Attempts)
	header.Set(reply.HeaderOutcome, string(reply.OutcomeDone))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.countEnd(c.send.Class, reply.OutcomeDone, "")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.Log.Debug().Err(err).Str("request", string(c.send.ID)).Msg("front: caller has gone")
	}
}

func (s *Server) answerError(w http.ResponseWriter, c *checked, result relay.Result) {
	final := *result.Err
	final.RequestID = c.send.ID
	if final.Revision == 0 {
		final.Revision = c.revision
	}
	if final.Outcome == reply.OutcomeRefused && final.RetryAfter == 0 && final.Status() >= http.StatusTooManyRequests {
		final.RetryAfter = model.Duration(time.Second)
	}
	s.head(w.Header(), c, result.Attempts)
	if s.Record != nil {
		s.Record("request", string(c.send.Customer)+"/"+string(c.send.ID), string(final.Outcome), string(final.Reason), map[string]string{
			"class": string(c.send.Class), "message": final.Message, "attempts": strconv.Itoa(result.Attempts),
			"revision": strconv.FormatUint(uint64(c.revision), 10),
		})
	}
	s.refuse(w, &final, c.send.Class)
}

func (s *Server) head(header http.Header, c *checked, attempts int) {
	if c.send.ID != "" {
		header.Set(reply.HeaderRequestID, string(c.send.ID))
	}
	header.Set(reply.HeaderAttempts, strconv.Itoa(attempts))
}

func (s *Server) countRequeue() {
	if s.Metrics != nil {
		s.Metrics.Retries.WithLabelValues("front", "endpoint-full").Inc()
	}
}
