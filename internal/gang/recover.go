package gang

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

// Recover continues the start of a gang whose record an earlier owner left in state starting. The record carries the new
// owner's fencing token and is stored first. The start continues if every task runs, is done or has a live reservation;
// otherwise all tasks are stopped and Recover returns PartialError.
func (d *Driver) Recover(ctx context.Context, record jobs.Record) (jobs.Record, error) {
	stored, err := d.Record(ctx, record)
	if err != nil {
		var changed *jobs.ChangedError
		if errors.As(err, &changed) {
			return changed.Current, &RecordInDoubtError{Job: record.Spec.ID, Cause: err}
		}
		return record, &RecordInDoubtError{Job: record.Spec.ID, Cause: err}
	}
	sentAt := time.Now()
	live, minLeft, err := d.renewMembers(ctx, stored)
	if err == nil && !live {
		err = eris.New("a reservation or task of the gang is gone")
	}
	if err != nil {
		return stored, d.stopPartialStart(ctx, stored, err)
	}
	return d.startTasks(ctx, stored, sentAt.Add(minLeft))
}

// renewMembers renews the leases of the gang with the new token, which also fences the earlier owner. It reports whether every task
// runs, is done or has a live reservation, and the least time left of the reservations.
func (d *Driver) renewMembers(ctx context.Context, record jobs.Record) (live bool, minLeft time.Duration, err error) {
	var mu sync.Mutex
	liveTasks := map[model.TaskID]bool{}
	reservationLeft := map[model.ReservationID]time.Duration{}
	deadline := time.Now().Add(d.TimeLimits.Reserve)
	onePerWorker := jobs.Record{Spec: record.Spec}
	for _, id := range workersOf(record) {
		onePerWorker.Placement = append(onePerWorker.Placement, jobs.Placement{Worker: id})
	}
	err = d.forEachPlacement(ctx, onePerWorker, func(ctx context.Context, address string, _ jobs.Placement) error {
		return d.retryUnanswered(ctx, deadline, func() error {
			status, err := d.Worker.Renew(ctx, address, worker.Renew{
				DataCentre: record.DataCentre, Token: record.Token, Jobs: []model.JobID{record.Spec.ID},
				LeaseMs: d.TimeLimits.Lease.Milliseconds(),
			})
			mu.Lock()
			defer mu.Unlock()
			for _, task := range status.Tasks {
				liveTasks[task.Task] = task.State == worker.TaskRunning || task.State == worker.TaskDone
			}
			for _, held := range status.Reservations {
				reservationLeft[held.Reservation] = time.Duration(held.LeftMs) * time.Millisecond
			}
			return err
		})
	})
	if err != nil {
		return false, 0, err
	}
	minLeft = d.TimeLimits.ReserveTTL
	for _, placement := range record.Placement {
		if liveTasks[placement.Task] {
			continue
		}
		left, held := reservationLeft[placement.Reservation]
		if !held || left < d.TimeLimits.Retry {
			return false, 0, nil
		}
		minLeft = min(minLeft, left)
	}
	return true, minLeft, nil
}
