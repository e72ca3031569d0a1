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
	req, refusal := s.checkRequest(w, r, time.Now())
	result := relay.Result{Err: refusal}
	var stored *StoredAnswer
	if refusal == nil {
		result, stored = s.processRequest(r.Context(), req)
	}
	defer result.Answer.Release()
	if result.Err == nil && !time.Now().Before(req.forward.Deadline) {
		result.Err = reply.Unknown(reply.ReasonAnswerLate, "the answer arrived after the deadline")
	}
	if result.Err != nil {
		s.writeRequestError(w, req, result)
		return
	}
	s.writeAnswer(w, req, result, stored)
}

// maxRequeues bounds how often a request that did not run is queued again because its data centre went out of service or its
// endpoint was full.
const maxRequeues = 4

// processRequest queues, claims and sends a request. The answer to a duplicate is in the second result.
func (s *Server) processRequest(ctx context.Context, req *checkedRequest) (relay.Result, *StoredAnswer) {
	permit, refusal := s.waitForSlot(ctx, req)
	if refusal != nil {
		return relay.Result{Err: refusal}, nil
	}
	if req.forward.Idempotent {
		return s.forward(ctx, req, permit), nil
	}
	return s.claimAndSend(ctx, req, permit)
}

// waitForSlot queues a request until it has a slot in a data centre that it may be sent to. A slot whose data centre has gone out
// of service in the meantime is returned and the request queued again.
func (s *Server) waitForSlot(ctx context.Context, req *checkedRequest) (*queue.Permit, *reply.Error) {
	for requeues := 0; ; requeues++ {
		permit, refusal := s.Queue.Wait(ctx, req.queueItem)
		if refusal != nil || s.CheckSend == nil {
			return permit, refusal
		}
		refusal = s.CheckSend(permit.Slot.DataCentre, req.forward.Idempotent)
		if refusal == nil {
			return permit, nil
		}
		permit.Cancel()
		if refusal.Reason != reply.ReasonDraining || requeues == maxRequeues {
			return nil, refusal
		}
	}
}

// forward sends a request that has a slot. A request that did not run, because its data centre went out of service or its
// endpoint was full, is queued again, so that the queue assigns the next slot by class.
func (s *Server) forward(ctx context.Context, req *checkedRequest, permit *queue.Permit) relay.Result {
	for requeues := 0; ; requeues++ {
		result := s.forwardOnce(ctx, req, permit)
		notSent := result.Err != nil && result.Err.Reason == reply.ReasonDraining && result.Attempts == 0
		if !notSent && !result.EndpointFull || requeues == maxRequeues {
			return result
		}
		if result.EndpointFull {
			req.queueItem.OwnOnly = true
			s.countRequeue()
		}
		var refusal *reply.Error
		if permit, refusal = s.waitForSlot(ctx, req); refusal != nil {
			return relay.Result{Err: refusal}
		}
	}
}

// forwardOnce sends a request once through the relay and ends its permit.
func (s *Server) forwardOnce(ctx context.Context, req *checkedRequest, permit *queue.Permit) relay.Result {
	started := time.Now()
	result := s.Relay.Send(ctx, req.forward, permit.Slot)
	if result.Err != nil && result.Err.Outcome == reply.OutcomeRefused {
		permit.Cancel()
	} else {
		permit.Done(time.Since(started))
	}
	return result
}

// claimResult holds the results of Server.Claim.
type claimResult struct {
	claim  *Claim
	stored *StoredAnswer
	err    *reply.Error
}

// claimAndSend sends a request that must not be repeated, after its claim is durable. The request continues when its caller
// disconnects, so that its outcome can be recorded.
func (s *Server) claimAndSend(ctx context.Context, req *checkedRequest, permit *queue.Permit) (relay.Result, *StoredAnswer) {
	if s.Claim == nil {
		permit.Cancel()
		return relay.Result{Err: reply.Refused(reply.ReasonStoreUnavailable, "requests of class %s cannot be claimed", req.forward.Class)}, nil
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.forward.Deadline)
	defer cancel()
	claimed, permit := s.claim(ctx, req, permit)
	if claimed.claim == nil {
		if permit != nil {
			permit.Cancel()
		}
		if claimed.err != nil {
			return relay.Result{Err: claimed.err}, nil
		}
		return duplicateResult(claimed.stored), claimed.stored
	}
	if permit == nil {
		var refusal *reply.Error
		if permit, refusal = s.waitForSlot(ctx, req); refusal != nil {
			s.recordOutcome(ctx, req, claimed.claim, relay.Result{Err: refusal})
			return relay.Result{Err: refusal}, nil
		}
	}
	result := s.forward(ctx, req, permit)
	s.recordOutcome(ctx, req, claimed.claim, result)
	return result, nil
}

// claim waits for the claim. After claimSlotTimeout it releases the slot and returns a nil permit.
func (s *Server) claim(ctx context.Context, req *checkedRequest, permit *queue.Permit) (claimResult, *queue.Permit) {
	results := make(chan claimResult, 1)
	go func() {
		var claimed claimResult
		claimed.claim, claimed.stored, claimed.err = s.Claim(ctx, ClaimRequest{
			Customer: req.forward.Customer, Request: req.forward.ID, Class: req.forward.Class, Digest: xxhash.Sum64(req.forward.Body),
		})
		results <- claimed
	}()
	timer := time.NewTimer(claimSlotTimeout)
	defer timer.Stop()
	select {
	case claimed := <-results:
		return claimed, permit
	case <-timer.C:
		permit.Cancel()
		return <-results, nil
	}
}

// recordOutcome writes the outcome of a claimed request, or releases the claim of one that did not run. It works in the
// background, so that the caller gets its answer without delay.
func (s *Server) recordOutcome(ctx context.Context, req *checkedRequest, claim *Claim, result relay.Result) {
	stored := newStoredAnswer(result)
	s.inFlight.add()
	go func() {
		defer s.inFlight.done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		var err error
		if stored.Outcome == reply.OutcomeRefused {
			err = claim.Release(ctx)
		} else {
			err = claim.Finish(ctx, stored)
		}
		if err != nil {
			s.Log.Warn().Err(err).Str("request", string(req.forward.ID)).Msg("front: recording the outcome of a claim failed")
		}
	}()
}

// newStoredAnswer returns the part of a result that a claim stores. The body is copied, because the answer's buffer is reused
// once the caller has it.
func newStoredAnswer(result relay.Result) StoredAnswer {
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

// duplicateResult converts the stored answer to the first request into the result of a duplicate.
func duplicateResult(stored *StoredAnswer) relay.Result {
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

// writeAnswer writes the answer of a request that is done, or, for a duplicate, the stored one.
func (s *Server) writeAnswer(w http.ResponseWriter, req *checkedRequest, result relay.Result, stored *StoredAnswer) {
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
	s.setRequestHeaders(header, req, result.Attempts)
	header.Set(reply.HeaderOutcome, string(reply.OutcomeDone))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.countOutcome(req.forward.Class, reply.OutcomeDone, "")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.Log.Debug().Err(err).Str("request", string(req.forward.ID)).Msg("front: caller disconnected before the answer was written")
	}
}

// writeRequestError writes the error of a request and records the decision.
func (s *Server) writeRequestError(w http.ResponseWriter, req *checkedRequest, result relay.Result) {
	problem := *result.Err
	problem.RequestID = req.forward.ID
	if problem.Revision == 0 {
		problem.Revision = req.revision
	}
	if problem.Outcome == reply.OutcomeRefused && problem.RetryAfter == 0 && problem.Status() >= http.StatusTooManyRequests {
		problem.RetryAfter = model.Duration(time.Second)
	}
	s.setRequestHeaders(w.Header(), req, result.Attempts)
	if s.RecordDecision != nil {
		s.RecordDecision("request", string(req.forward.Customer)+"/"+string(req.forward.ID), string(problem.Outcome), string(problem.Reason),
			map[string]string{
				"class": string(req.forward.Class), "message": problem.Message, "attempts": strconv.Itoa(result.Attempts),
				"revision": strconv.FormatUint(uint64(req.revision), 10),
			})
	}
	s.writeError(w, &problem, req.forward.Class)
}

func (s *Server) setRequestHeaders(header http.Header, req *checkedRequest, attempts int) {
	if req.forward.ID != "" {
		header.Set(reply.HeaderRequestID, string(req.forward.ID))
	}
	header.Set(reply.HeaderAttempts, strconv.Itoa(attempts))
}

func (s *Server) countRequeue() {
	if s.Metrics != nil {
		s.Metrics.Retries.WithLabelValues("front", "endpoint-full").Inc()
	}
}
