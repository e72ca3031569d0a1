package agent

import (
	"context"
	"fmt"
	"time"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Target is one incarnation of a worker.
type Target struct {
	ID      model.WorkerID
	Address string
}

// StartOrder asks for a run of a task.
type StartOrder struct {
	Task    work.TaskID
	Run     work.RunNumber
	Payload string
	Until   work.WorkerClock // end of the lease on the worker's clock; it holds for all runs there
	Token   model.Token
	Saved   work.Checkpoint
	Ticket  string
}

// StopOrder asks for the end of a run; when it is acknowledged, the run cannot start there any more.
type StopOrder struct {
	Task  work.TaskID
	Run   work.RunNumber
	Token model.Token
}

// PaceOrder sets the share of its speed at which a run works.
type PaceOrder struct {
	Task    work.TaskID
	Run     work.RunNumber
	Percent int
	Token   model.Token
}

// LookOrder asks for the runs and ends of a worker, and extends the lease of all runs.
type LookOrder struct {
	Until work.WorkerClock // 0 to leave the lease as it is
	Token model.Token
	Seen  work.EndNumber // ends up to this one are durable and may be forgotten
	Wait  time.Duration  // how long the answer may wait for an end
}

// Calls are the calls to workers; all may be used concurrently.
// Errors are RejectedError, RefusedError, GoneError or DoubtError.
type Calls struct {
	Start func(context.Context, Target, StartOrder) (work.WorkerClock, error)
	Stop  func(context.Context, Target, StopOrder) (work.WorkerClock, error)
	Pace  func(context.Context, Target, PaceOrder) error
	Look  func(context.Context, Target, LookOrder) (work.Report, error)
}

// Reason says why a worker rejected an order.
type Reason string

// Reasons of a RejectedError.
const (
	ReasonToken  Reason = "token"  // it has seen a higher fencing token
	ReasonOld    Reason = "old"    // the run is not higher than one that was stopped or has ended there
	ReasonLate   Reason = "late"   // the lease of the order is over
	ReasonRoom   Reason = "room"   // it does not fit
	ReasonTicket Reason = "ticket" // the advice is missing or no longer valid
	ReasonBad    Reason = "bad"    // the order cannot be read
)

// RejectedError reports an order that the worker has considered and not executed.
type RejectedError struct {
	Reason Reason
	Clock  work.WorkerClock
}

// Error names the reason.
func (e *RejectedError) Error() string { return fmt.Sprintf("rejected by the worker: %s", e.Reason) }

// RefusedError reports an order that an unhealthy or unreachable worker has not executed.
type RefusedError struct {
	Status int // 0 when no connection was made
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

// GoneError reports that another incarnation answered: everything of the addressed one has ended.
type GoneError struct{ ID model.WorkerID }

// Error names the incarnation.
func (e *GoneError) Error() string { return fmt.Sprintf("incarnation %s of the worker is gone", e.ID) }

// DoubtError reports an order that may have been executed, or may be executed later.
type DoubtError struct{ Cause error }

// Error gives the cause.
func (e *DoubtError) Error() string { return fmt.Sprintf("no answer from the worker: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DoubtError) Unwrap() error { return e.Cause }
