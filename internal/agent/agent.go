package agent

import (
	"context"
	"fmt"
	"time"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Target addresses one incarnation of a worker.
type Target struct {
	ID      model.WorkerID
	Address string // host:port
}

// StartOrder starts a run of a task.
type StartOrder struct {
	Task    work.TaskID
	Run     work.RunNumber
	Payload string           // as submitted with the job
	Until   work.WorkerClock // end of the lease on the worker's clock; the lease covers all runs of the worker
	Token   model.Token
	Saved   work.Checkpoint // to continue from; empty to start from the beginning
	Ticket  string          // of the advice service; empty when the queue needs none
}

// StopOrder stops a run; once it is acknowledged, the worker no longer accepts a start of that run.
type StopOrder struct {
	Task  work.TaskID
	Run   work.RunNumber
	Token model.Token
}

// ThrottleOrder limits the speed of a run.
type ThrottleOrder struct {
	Task    work.TaskID
	Run     work.RunNumber
	Percent int // of full speed
	Token   model.Token
}

// PollOrder polls a worker for its running and ended runs, and extends the lease of all its runs.
type PollOrder struct {
	Until work.WorkerClock // end of the lease; 0 to leave it unchanged
	Token model.Token
	Seen  work.EndNumber // ends up to this one are recorded durably; the worker may drop them
	Wait  time.Duration  // longest time for which the worker delays its answer while no run ends
}

// Calls holds the calls to workers; all may be used concurrently. Start and Stop return the worker's clock when it answered.
// Errors are RejectedError, RefusedError, GoneError or InDoubtError.
type Calls struct {
	Start    func(context.Context, Target, StartOrder) (work.WorkerClock, error)
	Stop     func(context.Context, Target, StopOrder) (work.WorkerClock, error)
	Throttle func(context.Context, Target, ThrottleOrder) error
	Poll     func(context.Context, Target, PollOrder) (work.Report, error)
	// MaxListedEnds is the most ends that a report lists; later ones are listed once these are acknowledged.
	MaxListedEnds int
}

// Reason is why a worker rejected an order.
type Reason string

// Reasons of a RejectedError.
const (
	ReasonToken        Reason = "token"  // the worker has seen a higher fencing token
	ReasonStaleRun     Reason = "old"    // the run number is not above that of a run that was stopped or has ended there
	ReasonLeaseExpired Reason = "late"   // the order's lease has expired
	ReasonNoCapacity   Reason = "room"   // the worker lacks free capacity
	ReasonTicket       Reason = "ticket" // the ticket is missing or no longer valid
	ReasonMalformed    Reason = "bad"    // the order cannot be decoded
)

// RejectedError reports an order that the worker evaluated and did not execute.
type RejectedError struct {
	Reason Reason
	Clock  work.WorkerClock // of the worker when it answered; 0 when the answer has none
}

// Error names the reason.
func (e *RejectedError) Error() string { return fmt.Sprintf("rejected by the worker: %s", e.Reason) }

// RefusedError reports an order that certainly was not executed because the worker is overloaded, unhealthy or unreachable.
type RefusedError struct {
	Status int // HTTP status; 0 when no connection was made
	Cause  error
}

// Error names the status or the cause.
func (e *RefusedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("worker not reached: %v", e.Cause)
	}
	return fmt.Sprintf("worker refused with status %d", e.Status)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// GoneError reports that another incarnation answered, so all runs of the addressed incarnation have ended.
type GoneError struct{ ID model.WorkerID }

// Error names the incarnation.
func (e *GoneError) Error() string { return fmt.Sprintf("incarnation %s of the worker is gone", e.ID) }

// InDoubtError reports an order whose result is unknown: it may have been executed, or may be executed later.
type InDoubtError struct{ Cause error }

// Error names the cause.
func (e *InDoubtError) Error() string { return fmt.Sprintf("no answer from the worker: %v", e.Cause) }

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Cause }
