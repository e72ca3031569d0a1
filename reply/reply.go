package reply

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/model"
)

// Outcome is what happened to a request, job or change.
type Outcome string

// The closed set of outcomes.
const (
	// OutcomeDone means that it ran and that the answer is complete.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that it did not run and never will.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that it ran and ended with an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that it may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the machine-readable cause of an outcome other than done. Each is a label value of a metric.
type Reason string

// Reasons of refusals, which prove that nothing ran.
const (
	ReasonMalformed           Reason = "malformed"
	ReasonTooLarge            Reason = "too-large"
	ReasonNoMemory            Reason = "no-memory"
	ReasonUnauthorized        Reason = "unauthorized"
	ReasonNotFound            Reason = "not-found"
	ReasonUnknownClass        Reason = "unknown-class"
	ReasonUnknownCustomer     Reason = "unknown-customer"
	ReasonNotAllowed          Reason = "not-allowed"
	ReasonDeadlinePast        Reason = "deadline-past"
	ReasonDeadlineUnreachable Reason = "deadline-unreachable"
	ReasonDeadlineInQueue     Reason = "deadline-in-queue"
	ReasonQueueFull           Reason = "queue-full"
	ReasonOverload            Reason = "overload"
	ReasonQuota               Reason = "quota"
	ReasonDuplicate           Reason = "duplicate"
	ReasonIDReused            Reason = "id-reused"
	ReasonNeverFits           Reason = "never-fits"
	ReasonNoEndpoint          Reason = "no-endpoint"
	ReasonConfigStale         Reason = "config-stale"
	ReasonStoreUnavailable    Reason = "store-unavailable"
	ReasonDraining            Reason = "draining"
	ReasonInvalid             Reason = "invalid"
	ReasonConflict            Reason = "conflict"
	ReasonCancelled           Reason = "cancelled"
)

// Reasons of failed and unknown outcomes.
const (
	ReasonEndpointError      Reason = "endpoint-error"
	ReasonAnswerLost         Reason = "answer-lost"
	ReasonAnswerIncomplete   Reason = "answer-incomplete"
	ReasonAnswerCrossed      Reason = "answer-crossed"
	ReasonAnswerLate         Reason = "answer-late"
	ReasonInDoubt            Reason = "in-doubt"
	ReasonJobFailsEverywhere Reason = "job-fails-everywhere"
	ReasonWorkerLost         Reason = "worker-lost"
)

// Error is the error that callers and operators receive.
type Error struct {
	Outcome   Outcome         `json:"outcome"`
	Reason    Reason          `json:"reason"`
	Message   string          `json:"message"`
	RequestID model.RequestID `json:"request-id,omitempty"`
	// Revision is the configuration revision that the decision was based on.
	Revision model.Revision `json:"revision,omitempty"`
	// RetryAfter is the least time to wait before a retry; zero means that a retry would not help.
	RetryAfter model.Duration `json:"retry-after,omitempty"`
	// Problems lists every reason why a change was refused as invalid.
	Problems []model.Problem `json:"problems,omitempty"`
	// Conflicts names the objects that have changed since the base revision.
	Conflicts []model.Ref `json:"conflicts,omitempty"`
}

// Refused returns an error for something that did not run.
func Refused(reason Reason, format string, args ...any) *Error {
	return &Error{Outcome: OutcomeRefused, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Failed returns an error for something that ran and failed.
func Failed(reason Reason, format string, args ...any) *Error {
	return &Error{Outcome: OutcomeFailed, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns an error for something that may have run.
func Unknown(reason Reason, format string, args ...any) *Error {
	return &Error{Outcome: OutcomeUnknown, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Error states the outcome, the reason and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Outcome, e.Reason, e.Message)
}

// Status returns the HTTP status code of the error.
func (e *Error) Status() int {
	switch e.Outcome {
	case OutcomeFailed:
		return http.StatusBadGateway
	case OutcomeUnknown:
		return http.StatusGatewayTimeout
	case OutcomeDone:
		return http.StatusOK
	}
	switch e.Reason {
	case ReasonMalformed, ReasonDeadlinePast, ReasonUnknownClass, ReasonUnknownCustomer:
		return http.StatusBadRequest
	case ReasonInvalid, ReasonNeverFits:
		return http.StatusUnprocessableEntity
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonNotAllowed:
		return http.StatusForbidden
	case ReasonNotFound:
		return http.StatusNotFound
	case ReasonDuplicate, ReasonIDReused, ReasonConflict, ReasonCancelled:
		return http.StatusConflict
	case ReasonQueueFull, ReasonOverload, ReasonQuota, ReasonDeadlineUnreachable:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// Write sends the error as a complete HTTP answer, with its status, headers and JSON body.
func (e *Error) Write(w http.ResponseWriter) error {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(e.Outcome))
	header.Set(HeaderReason, string(e.Reason))
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter.Std() + time.Second - 1) / time.Second
		header.Set("Retry-After", fmt.Sprint(int(seconds)))
	}
	w.WriteHeader(e.Status())
	if err := json.NewEncoder(w).Encode(e); err != nil {
		return eris.Wrap(err, "writing error answer")
	}
	return nil
}
