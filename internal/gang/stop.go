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

// Outcome is what stopping a gang achieved.
type Outcome struct {
	// Stopped is true when every worker confirmed that no task of the job runs.
	Stopped bool
	// Unreachable names the workers that did not answer; tasks there end with their lease.
	Unreachable []model.WorkerID
	// Progress is the run time that every task of the gang kept; zero unless all tasks were checkpointed or done.
	Progress time.Duration
	// Done is true when every task had ended well before the stop.
	Done bool
	// Ran is true when some task of the gang is known to have run.
	Ran bool
}

// Stop ends all tasks of a gang. A checkpoint is followed by a kill where tasks have not ended within the given time.
func (d *Driver) Stop(ctx context.Context, record jobs.Record, mode worker.Mode, within time.Duration) Outcome {
	outcome := Outcome{Stopped: true, Done: true}
	tasks := map[model.TaskID]worker.Task{}
	var mu sync.Mutex
	group := errgroup.Group{}
	group.SetLimit(max(parallel, len(workersOf(record))))
	for _, id := range workersOf(record) {
		group.Go(func() error {
			seen, ok := d.stopOn(ctx, id, record, mode, within)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				outcome.Stopped, outcome.Unreachable = false, append(outcome.Unreachable, id)
			}
			for _, task := range seen {
				tasks[task.Task] = task
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		outcome.Stopped = false
	}
	slices.Sort(outcome.Unreachable)
	outcome.summarize(record, tasks)
	return outcome
}

func (o *Outcome) summarize(record jobs.Record, tasks map[model.TaskID]worker.Task) {
	kept := true
	for i, placement := range record.Placement {
		task, found := tasks[placement.Task]
		o.Ran = o.Ran || found
		o.Done = o.Done && found && task.State == worker.TaskDone
		if !found || (task.State != worker.TaskCheckpointed && task.State != worker.TaskDone) {
			kept = false
			continue
		}
		progress := time.Duration(task.ProgressMs) * time.Millisecond
		if i == 0 || progress < o.Progress {
			o.Progress = progress
		}
	}
	if !kept {
		o.Progress = 0
	}
}

// stopOn stops the job on one worker and reports whether the worker confirmed that nothing of it runs.
func (d *Driver) stopOn(ctx context.Context, id model.WorkerID, record jobs.Record, mode worker.Mode, within time.Duration) ([]worker.Task, bool) {
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
	deadline := time.Now().Add(d.Times.Kill)
	var killed worker.Status
	err = d.retry(ctx, deadline, func() error {
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

// workersOf lists the different workers of a placement in order.
func workersOf(record jobs.Record) []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(record.Placement))
	for _, placement := range record.Placement {
		ids = append(ids, placement.Worker)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
