package gang

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

var errNoAddress = errors.New("worker has no known address")

// Outcome is the result of stopping a gang.
type Outcome struct {
	// Stopped is true when every worker confirmed that no task of the job runs.
	Stopped bool
	// Unreachable names the workers that did not confirm the stop; tasks there end when their lease expires.
	Unreachable []model.WorkerID
	// Progress is the least run time that all tasks saved; it is zero unless all tasks were checkpointed or done.
	Progress time.Duration
	// Done is true when every task had already ended in state done.
	Done bool
	// Ran is true when some task of the gang is known to have run.
	Ran bool
}

// Stop ends all tasks of a gang. With worker.ModeCheckpoint it kills the tasks that have not ended within the given time.
func (d *Driver) Stop(ctx context.Context, record jobs.Record, mode worker.Mode, within time.Duration) Outcome {
	outcome := Outcome{Stopped: true, Done: true}
	tasks := map[model.TaskID]worker.Task{}
	var mu sync.Mutex
	group := errgroup.Group{}
	group.SetLimit(max(maxParallelCalls, len(workersOf(record))))
	for _, id := range workersOf(record) {
		group.Go(func() error {
			reported, ok := d.stopOnWorker(ctx, id, record, mode, within)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				outcome.Stopped, outcome.Unreachable = false, append(outcome.Unreachable, id)
			}
			for _, task := range reported {
				tasks[task.Task] = task
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		outcome.Stopped = false
	}
	slices.Sort(outcome.Unreachable)
	outcome.setTaskResults(record, tasks)
	return outcome
}

// setTaskResults sets Progress, Done and Ran from the tasks that the workers reported.
func (o *Outcome) setTaskResults(record jobs.Record, tasks map[model.TaskID]worker.Task) {
	allKept := true
	for i, placement := range record.Placement {
		task, found := tasks[placement.Task]
		o.Ran = o.Ran || found
		o.Done = o.Done && found && task.State == worker.TaskDone
		if !found || (task.State != worker.TaskCheckpointed && task.State != worker.TaskDone) {
			allKept = false
			continue
		}
		progress := time.Duration(task.ProgressMs) * time.Millisecond
		if i == 0 || progress < o.Progress {
			o.Progress = progress
		}
	}
	if !allKept {
		o.Progress = 0
	}
}

// stopOnWorker stops the job on one worker, with a kill if it has not ended, and reports whether the worker confirmed that no
// task of it runs.
func (d *Driver) stopOnWorker(ctx context.Context, id model.WorkerID, record jobs.Record, mode worker.Mode, within time.Duration) ([]worker.Task, bool) {
	address, found := d.Address(id)
	if !found {
		return nil, false
	}
	message := worker.Stop{
		Job: record.Spec.ID, DataCentre: record.DataCentre, Token: record.Token, Mode: mode, WithinMs: within.Milliseconds(),
	}
	status, err := d.Worker.Stop(ctx, address, message)
	if err == nil && allEnded(status.Tasks) {
		return status.Tasks, true
	}
	message.Mode, message.WithinMs = worker.ModeKill, 0
	deadline := time.Now().Add(d.TimeLimits.Kill)
	var killed worker.Status
	err = d.retryUnanswered(ctx, deadline, func() error {
		answer, err := d.Worker.Stop(ctx, address, message)
		killed = answer
		return err
	})
	return killed.Tasks, err == nil && allEnded(killed.Tasks)
}

func allEnded(tasks []worker.Task) bool {
	for _, task := range tasks {
		if !task.State.Ended() {
			return false
		}
	}
	return true
}

// workersOf returns the workers of a record's placement, sorted and without duplicates.
func workersOf(record jobs.Record) []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(record.Placement))
	for _, placement := range record.Placement {
		ids = append(ids, placement.Worker)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
