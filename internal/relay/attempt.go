package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/reply"
)

// kind classifies the result of one attempt.
type kind int

const (
	// kindDone is a complete and verified answer.
	kindDone kind = iota
	// kindNotSent means that no byte of the request was written.
	kindNotSent
	// kindNotRun is an answer that proves that the request did not run.
	kindNotRun
	// kindFailed is a complete and verified answer that reports an error.
	kindFailed
	// kindUnknown means that the request may have run.
	kindUnknown
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt *attempt
	kind    kind
	answer  *Answer
	status  int
	reason  reply.Reason
	message string
	// endpointFull is set when the endpoint refused because all its slots were busy.
	endpointFull bool
}

// retryable reports whether the request may be sent again after this result.
func (r *attemptResult) retryable(idempotent bool) bool {
	switch r.kind {
	case kindNotSent, kindNotRun:
		return true
	case kindFailed:
		return idempotent && r.status >= http.StatusInternalServerError
	case kindUnknown:
		return idempotent
	default:
		return false
	}
}

func (r *attemptResult) retryReason() string {
	switch r.kind {
	case kindNotSent:
		return retryNotSent
	case kindNotRun:
		return retryNotRun
	default:
		return string(r.reason)
	}
}

func (r *attemptResult) replyError() *reply.Error {
	switch r.kind {
	case kindFailed:
		return reply.Failed(r.reason, "%s", r.message)
	case kindUnknown:
		return reply.Unknown(r.reason, "%s", r.message)
	default:
		return reply.Refused(r.reason, "%s", r.message)
	}
}

// attempt is one send to one endpoint.
type attempt struct {
	relay   *Relay
	request *Request
	// number counts the attempts of a request from 1.
	number    int
	slot      *route.Slot
	cancel    context.CancelFunc
	startedAt time.Time
	// ended is set once the result has been handled; only the goroutine of the call uses it.
	ended bool
	// writeStart is set when the transport has chosen a connection.
	writeStart writeStart
	// reused is whether the connection had carried other requests before.
	reused atomic.Bool
}

// MismatchError reports an answer that belongs to another request or attempt, or is incomplete.
type MismatchError struct {
	Reason reply.Reason
	Detail string
}

// Error returns the detail.
func (e *MismatchError) Error() string { return e.Detail }

// send makes the attempt, releases its slot and returns the result.
func (a *attempt) send(ctx context.Context) attemptResult {
	out := a.exchange(ctx)
	out.attempt = a
	return out
}

func (a *attempt) exchange(ctx context.Context) attemptResult {
	httpRequest, err := a.buildRequest(ctx)
	if err != nil {
		a.slot.Done(route.ResultUnused, route.Report{})
		return attemptResult{kind: kindNotSent, reason: reply.ReasonNoEndpoint, message: err.Error()}
	}
	answer, err := a.relay.do(a, httpRequest)
	if err != nil {
		return a.classifySendError(ctx, err)
	}
	return a.readAnswer(ctx, answer)
}

func (a *attempt) buildRequest(ctx context.Context) (*http.Request, error) {
	if a.relay.Do == nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	}
	url := "http://" + a.slot.Address + "/v1/run/" + string(a.request.Class)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, newBody(a.request.Body))
	if err != nil {
		return nil, fmt.Errorf("building the send to %s: %w", a.slot.Endpoint, err)
	}
	header := request.Header
	header[reply.HeaderRequestID] = []string{string(a.request.ID)}
	header[reply.HeaderAttempt] = []string{strconv.Itoa(a.number)}
	left := max(1, time.Until(a.request.Deadline).Milliseconds())
	header[reply.HeaderTimeout] = []string{strconv.FormatInt(left, 10)}
	if a.request.Customer != "" {
		header[reply.HeaderCustomer] = []string{string(a.request.Customer)}
	}
	if a.request.ContentType != "" {
		header["Content-Type"] = []string{a.request.ContentType}
	}
	return request, nil
}

// classifySendError returns the result of an attempt that ended without an answer, and releases its slot.
func (a *attempt) classifySendError(ctx context.Context, err error) attemptResult {
	result := route.ResultTransportError
	if ctx.Err() != nil {
		result = route.ResultAbandoned
	}
	if !a.mayHaveSent(err) {
		if result == route.ResultAbandoned {
			result = route.ResultUnused
		}
		a.slot.Done(result, route.Report{})
		return attemptResult{kind: kindNotSent, reason: reply.ReasonNoEndpoint, message: fmt.Sprintf("endpoint %s: nothing was sent: %v",
			a.slot.Endpoint, err)}
	}
	a.slot.Done(result, route.Report{})
	return attemptResult{kind: kindUnknown, reason: lostAnswerReason(ctx), message: fmt.Sprintf("endpoint %s: %v", a.slot.Endpoint, err)}
}

// mayHaveSent reports whether bytes of the request may have been sent by an attempt that ended with err.
func (a *attempt) mayHaveSent(err error) bool {
	if a.relay.MayHaveSent != nil {
		return a.relay.MayHaveSent(err)
	}
	if a.relay.Do != nil {
		var op *net.OpError
		return !errors.As(err, &op) || op.Op != "dial"
	}
	return a.writeStart.mayHaveSent()
}

// lostAnswerReason returns the reason for an attempt without an answer, whose context is ctx.
func lostAnswerReason(ctx context.Context) reply.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reply.ReasonAnswerLate
	}
	return reply.ReasonAnswerLost
}

// readAnswer reads the whole answer before any part of it is used.
func (a *attempt) readAnswer(ctx context.Context, answer *http.Response) attemptResult {
	report := route.ParseReport(answer.Header)
	buffer, err := a.readBody(answer)
	if closeErr := answer.Body.Close(); err == nil && closeErr != nil {
		err = closeErr
	}
	if errors.Is(err, errAnswerTooLarge) && answer.Header.Get(reply.HeaderRequestID) == string(a.request.ID) {
		a.slot.Done(route.ResultErrored, report)
		return attemptResult{kind: kindFailed, reason: reply.ReasonEndpointError, message: fmt.Sprintf("endpoint %s: %v", a.slot.Endpoint, err)}
	}
	if err != nil {
		a.slot.Done(a.readErrorResult(ctx), report)
		reason := reply.ReasonAnswerIncomplete
		if ctx.Err() != nil {
			reason = lostAnswerReason(ctx)
		}
		return attemptResult{kind: kindUnknown, reason: reason, message: fmt.Sprintf("endpoint %s: %v", a.slot.Endpoint, err)}
	}
	return a.classifyAnswer(answer, report, buffer)
}

func (a *attempt) readErrorResult(ctx context.Context) route.SendResult {
	if ctx.Err() != nil {
		return route.ResultAbandoned
	}
	return route.ResultTransportError
}

// classifyAnswer releases the slot and classifies a complete answer; an answer that fails verification counts as unknown.
func (a *attempt) classifyAnswer(answer *http.Response, report route.Report, buffer *[]byte) attemptResult {
	verify := a.relay.Verify
	if verify == nil {
		verify = VerifyAnswer
	}
	if err := verify(a.request, a.number, answer.Header, *buffer); err != nil {
		putBuffer(buffer)
		a.slot.Done(route.ResultTransportError, report)
		return a.mismatchResult(err)
	}
	switch {
	case answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(reply.HeaderNotRun) == "true":
		putBuffer(buffer)
		a.slot.Done(route.ResultRefused, report)
		return attemptResult{
			kind: kindNotRun, reason: reply.ReasonOverload, endpointFull: report.Present && report.Busy >= int(report.Slots),
			message: fmt.Sprintf("endpoint %s refused before running", a.slot.Endpoint),
		}
	case answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices:
		a.slot.Done(route.ResultAnswered, report)
		return attemptResult{kind: kindDone, answer: &Answer{
			Status: answer.StatusCode, ContentType: answer.Header.Get("Content-Type"), Body: *buffer,
			Digest: answer.Header.Get(reply.HeaderDigest), Endpoint: a.slot.Endpoint, buffer: buffer,
		}}
	default:
		putBuffer(buffer)
		result := route.ResultErrored
		if answer.StatusCode < http.StatusInternalServerError {
			result = route.ResultAnswered
		}
		a.slot.Done(result, report)
		return attemptResult{
			kind: kindFailed, status: answer.StatusCode, reason: reply.ReasonEndpointError,
			message: fmt.Sprintf("endpoint %s answered status %d", a.slot.Endpoint, answer.StatusCode),
		}
	}
}

func (a *attempt) mismatchResult(err error) attemptResult {
	reason := reply.ReasonAnswerCrossed
	var mismatch *MismatchError
	if errors.As(err, &mismatch) {
		reason = mismatch.Reason
	}
	return attemptResult{kind: kindUnknown, reason: reason, message: fmt.Sprintf("endpoint %s: %v", a.slot.Endpoint, err)}
}

var errAnswerTooLarge = errors.New("the answer is larger than the limit")

// readBody reads a body of known length into a pooled buffer. It returns errAnswerTooLarge for a length over MaxAnswer.
func (a *attempt) readBody(answer *http.Response) (*[]byte, error) {
	size := answer.ContentLength
	if size < 0 {
		return nil, errors.New("the answer has no Content-Length")
	}
	if size > a.relay.MaxAnswer {
		return nil, errAnswerTooLarge
	}
	buffer := getBuffer(int(size))
	if _, err := io.ReadFull(answer.Body, *buffer); err != nil {
		putBuffer(buffer)
		return nil, fmt.Errorf("reading the answer: %w", err)
	}
	return buffer, nil
}
