package intake

import (
	"fmt"
	"time"

	"peridotgw.example/peridotgw/model"
)

// RefusedError reports a change that certainly did not take effect and will not do so later.
type RefusedError struct {
	RetryAfter time.Duration // suggested delay before the caller tries again
	Cause      error
}

// Error names the cause.
func (e *RefusedError) Error() string { return fmt.Sprintf("not done: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// InDoubtError reports a change that may have taken effect or may still do so. It has no Unwrap: its cause may be a RefusedError
// of the last attempt, which does not hold for the earlier ones.
type InDoubtError struct{ Cause error }

// Error names the cause.
func (e *InDoubtError) Error() string { return fmt.Sprintf("result unknown: %v", e.Cause) }

// CancelledError reports a submission of a job that was cancelled before it was stored. It never runs.
type CancelledError struct{ ID model.JobID }

// Error names the job.
func (e *CancelledError) Error() string {
	return fmt.Sprintf("job %s was cancelled before it was handed in", e.ID)
}

// UnknownJobError reports a job that does not exist.
type UnknownJobError struct{ ID model.JobID }

// Error names the job.
func (e *UnknownJobError) Error() string { return fmt.Sprintf("job %s does not exist", e.ID) }
