package gang

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Driver starts and stops the gangs of one data centre. It may be used concurrently for different jobs; the fields are set before.
type Driver struct {
	Worker *worker.Client
	// Record stores a job record by compare-and-swap and returns it with its new version.
	Record func(context.Context, jobs.Record) (jobs.Record, error)
	// Address returns the address of a worker.
	Address func(model.WorkerID) (string, bool)
	// MayStart is the last check before each start; it returns an error when the data centre is out of service, the
	// configuration is stale or this instance no longer owns the data centre.
	MayStart   func() *reply.Error
	TimeLimits TimeLimits
	// StartAndUndo skips the reserve step, so that a start may be partial and is then stopped. It is for benchmarks and tests that
	// compare it with reserving.
	StartAndUndo bool
	Log          zerolog.Logger
	Metrics      *metric.Set
}

// TimeLimits are the time limits and intervals of the driver.
type TimeLimits struct {
	// ReserveTTL is the time to live of a reservation on its worker.
	ReserveTTL time.Duration
	// MinLeft is the time that every reservation must have left before the decision is recorded.
	MinLeft time.Duration
	// Lease is the first lease of a task, and the lease that Recover renews.
	Lease time.Duration
	// Reserve bounds the reserve step, retries included.
	Reserve time.Duration
	// Kill bounds the retries of one kill, per worker; tasks on workers that do not answer end when their lease expires.
	Kill time.Duration
	// Retry is the pause before a call without an answer is sent again.
	Retry time.Duration
}

// DefaultTimeLimits returns the limits and intervals used in production.
func DefaultTimeLimits() TimeLimits {
	return TimeLimits{
		ReserveTTL: 15 * time.Second, MinLeft: 8 * time.Second, Lease: 15 * time.Second, Reserve: 6 * time.Second,
		Kill: 2 * time.Second, Retry: 250 * time.Millisecond,
	}
}

// maxParallelCalls bounds the calls in flight for one gang.
const maxParallelCalls = 64

// NotStartedError reports a gang that was not started; no task of it runs.
type NotStartedError struct {
	Job model.JobID
	// Worker refused or did not answer; it is empty if no worker is the cause.
	Worker model.WorkerID
	// Phase is the step that failed: check, reserve, time-left or record.
	Phase string
	Cause error
	// Unreachable is true when the worker did not answer.
	Unreachable bool
}

// Error names the job, the phase, the worker and the cause.
func (e *NotStartedError) Error() string {
	if e.Worker == "" {
		return fmt.Sprintf("gang of job %q was not started (%s): %v", e.Job, e.Phase, e.Cause)
	}
	return fmt.Sprintf("gang of job %q was not started (%s, worker %q): %v", e.Job, e.Phase, e.Worker, e.Cause)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// PartialError reports a gang that was stopped because not all of its tasks could be started; some may have run.
type PartialError struct {
	Job    model.JobID
	Worker model.WorkerID
	Cause  error
	// Record is the stored record in state starting.
	Record jobs.Record
	// Stopped is true when every worker confirmed that no task of the job runs.
	Stopped bool
	// Ran is true when some task of the gang is known to have run.
	Ran bool
	// Unreachable is true when the worker did not answer.
	Unreachable bool
}

// Error names the job, the worker and the cause.
func (e *PartialError) Error() string {
	return fmt.Sprintf("gang of job %q was started in part and stopped (worker %q): %v", e.Job, e.Worker, e.Cause)
}

// Unwrap returns the cause.
func (e *PartialError) Unwrap() error { return e.Cause }

// RecordInDoubtError reports that a write of the record may have been applied, or that another writer changed the record during
// the start. If the decision itself is in doubt, nothing was started and the reservations expire.
type RecordInDoubtError struct {
	Job   model.JobID
	Cause error
}

// Error names the job and the cause.
func (e *RecordInDoubtError) Error() string {
	return fmt.Sprintf("decision on job %q may have been recorded: %v", e.Job, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordInDoubtError) Unwrap() error { return e.Cause }

// callError is the error of a call to a worker.
type callError struct {
	worker model.WorkerID
	err    error
}

func (e *callError) Error() string { return e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

// Start reserves, records and starts the gang of a record that has a placement and is in state queued. It returns the record
// in state running, or NotStartedError, PartialError or RecordInDoubtError.
func (d *Driver) Start(ctx context.Context, record jobs.Record) (jobs.Record, error) {
	if refused := d.MayStart(); refused != nil {
		return record, &NotStartedError{Job: record.Spec.ID, Phase: "check", Cause: refused}
	}
	firstSent, err := d.reserveOnWorkers(ctx, record)
	if err != nil {
		return record, err
	}
	deadline := firstSent.Add(d.TimeLimits.ReserveTTL)
	starting := record
	starting.State = jobs.StateStarting
	if !d.StartAndUndo && time.Until(deadline) < d.TimeLimits.MinLeft {
		d.ReleaseAll(ctx, record)
		cause := eris.Errorf("%v left of the reservations, %v needed", time.Until(deadline), d.TimeLimits.MinLeft)
		return record, &NotStartedError{Job: record.Spec.ID, Phase: "time-left", Cause: cause}
	}
	stored, err := d.Record(ctx, starting)
	var changed *jobs.ChangedError
	if errors.As(err, &changed) {
		d.ReleaseAll(ctx, record)
		return changed.Current, &NotStartedError{Job: record.Spec.ID, Phase: "record", Cause: err}
	}
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) && !unavailable.MaybeApplied {
		d.ReleaseAll(ctx, record)
		return record, &NotStartedError{Job: record.Spec.ID, Phase: "record", Cause: err}
	}
	if err != nil {
		return record, &RecordInDoubtError{Job: record.Spec.ID, Cause: err}
	}
	return d.startTasks(ctx, stored, deadline)
}

// reserveOnWorkers reserves on all workers and returns the time at which the first call was sent, from which the reservations
// expire at the earliest. While they have less than MinLeft left, it renews them until TimeLimits.Reserve has passed. After an error
// it releases them.
func (d *Driver) reserveOnWorkers(ctx context.Context, record jobs.Record) (time.Time, error) {
	if d.StartAndUndo {
		return time.Now(), nil
	}
	deadline := time.Now().Add(d.TimeLimits.Reserve)
	for {
		firstSent := time.Now()
		err := d.forEachPlacement(ctx, record, func(ctx context.Context, address string, placement jobs.Placement) error {
			return d.retryUnanswered(ctx, deadline, func() error {
				_, err := d.Worker.Reserve(ctx, address, worker.Reserve{
					Reservation: placement.Reservation, Job: record.Spec.ID, DataCentre: record.DataCentre, Token: record.Token,
					Accelerators: placement.Accelerators, TTLMs: d.TimeLimits.ReserveTTL.Milliseconds(),
				})
				return err
			})
		})
		if err != nil {
			d.ReleaseAll(ctx, record)
			return firstSent, d.notStartedError(record, "reserve", err)
		}
		if time.Until(firstSent.Add(d.TimeLimits.ReserveTTL)) >= d.TimeLimits.MinLeft || !time.Now().Before(deadline) {
			return firstSent, nil
		}
	}
}

// startTasks starts every task of a record in state starting until the deadline, at which the reservations expire, and records state
// running.
func (d *Driver) startTasks(ctx context.Context, record jobs.Record, deadline time.Time) (jobs.Record, error) {
	err := d.forEachPlacement(ctx, record, func(ctx context.Context, address string, placement jobs.Placement) error {
		return d.retryUnanswered(ctx, deadline, func() error {
			if refused := d.MayStart(); refused != nil {
				return refused
			}
			_, err := d.Worker.Start(ctx, address, d.startMessage(record, placement))
			return err
		})
	})
	if err != nil {
		return record, d.stopPartialStart(ctx, record, err)
	}
	running := record
	running.State, running.StartedAt = jobs.StateRunning, time.Now()
	stored, err := d.Record(ctx, running)
	var changed *jobs.ChangedError
	if errors.As(err, &changed) {
		return changed.Current, &RecordInDoubtError{Job: record.Spec.ID, Cause: err}
	}
	if err != nil {
		// All tasks run; the record stays in state starting until the store answers again.
		d.Log.Warn().Err(err).Str("job", string(record.Spec.ID)).Msg("gang: cannot record state running")
		running.Version = record.Version
		return running, nil
	}
	return stored, nil
}

func (d *Driver) startMessage(record jobs.Record, placement jobs.Placement) worker.Start {
	message := worker.Start{
		Reservation: placement.Reservation, Task: placement.Task, Job: record.Spec.ID, DataCentre: record.DataCentre, Token: record.Token,
		LeaseMs: d.TimeLimits.Lease.Milliseconds(), Class: record.Spec.Class, Payload: record.Spec.Payload,
		RunMs: max(0, (record.Spec.RunTime - record.Progress).Std().Milliseconds()),
	}
	if d.StartAndUndo {
		message.Reservation, message.Accelerators = "", placement.Accelerators
	}
	return message
}

// stopPartialStart stops the whole gang after a start was refused or not answered in time.
func (d *Driver) stopPartialStart(ctx context.Context, record jobs.Record, cause error) error {
	partial := &PartialError{Job: record.Spec.ID, Cause: cause, Record: record}
	var failed *callError
	if errors.As(cause, &failed) {
		partial.Worker = failed.worker
	}
	var inDoubt *worker.InDoubtError
	partial.Unreachable = errors.As(cause, &inDoubt)
	outcome := d.Stop(context.WithoutCancel(ctx), record, worker.ModeKill, 0)
	partial.Stopped, partial.Ran = outcome.Stopped, outcome.Ran
	return partial
}

func (d *Driver) notStartedError(record jobs.Record, phase string, err error) error {
	notStartedError := &NotStartedError{Job: record.Spec.ID, Phase: phase, Cause: err}
	var failed *callError
	if errors.As(err, &failed) {
		notStartedError.Worker = failed.worker
	}
	var inDoubt *worker.InDoubtError
	notStartedError.Unreachable = errors.As(err, &inDoubt)
	return notStartedError
}

// ReleaseAll ends the reservations of a gang that was not started; reservations on workers that do not answer expire.
func (d *Driver) ReleaseAll(ctx context.Context, record jobs.Record) {
	ctx = context.WithoutCancel(ctx)
	err := d.forEachPlacement(ctx, record, func(ctx context.Context, address string, placement jobs.Placement) error {
		err := d.Worker.Release(ctx, address, worker.Release{
			Reservation: placement.Reservation, DataCentre: record.DataCentre, Token: record.Token,
		})
		if err != nil {
			d.Log.Debug().Err(err).Str("job", string(record.Spec.ID)).Msg("gang: reservation not released; it will expire")
		}
		return nil
	})
	if err != nil {
		d.Log.Debug().Err(err).Str("job", string(record.Spec.ID)).Msg("gang: reservations not released; they will expire")
	}
}

// forEachPlacement calls fn for every placement in parallel and returns the first error as a callError.
func (d *Driver) forEachPlacement(ctx context.Context, record jobs.Record, fn func(context.Context, string, jobs.Placement) error) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for _, placement := range record.Placement {
		group.Go(func() error {
			address, found := d.Address(placement.Worker)
			if !found {
				return &callError{worker: placement.Worker, err: &worker.InDoubtError{Op: "any", Cause: errNoAddress}}
			}
			if err := fn(groupCtx, address, placement); err != nil {
				return &callError{worker: placement.Worker, err: err}
			}
			return nil
		})
	}
	return group.Wait()
}

// retryUnanswered repeats a call until it is answered or the deadline passes; a definite refusal is returned at once.
func (d *Driver) retryUnanswered(ctx context.Context, deadline time.Time, call func() error) error {
	for {
		err := call()
		var inDoubt *worker.InDoubtError
		if err == nil || !errors.As(err, &inDoubt) || ctx.Err() != nil || !time.Now().Add(d.TimeLimits.Retry).Before(deadline) {
			return err
		}
		if d.Metrics != nil {
			d.Metrics.Retries.WithLabelValues("gang", "no-answer").Inc()
		}
		if clock.Sleep(ctx, d.TimeLimits.Retry) != nil {
			return err
		}
	}
}
