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

// Recover continues the start of a gang whose record an earlier owner left in state starting; the record carries the new
// owner's token and is stored first. It continues when every task runs or its reservation is live, and otherwise stops
// all of them and returns PartialError.
func (d *Driver) Recover(ctx context.Context, record jobs.Record) (jobs.Record, error) {
	stored, err := d.Record(ctx, record)
	if err != nil {
		var changed *jobs.ChangedError
		if errors.As(err, &changed) {
			return changed.Current, &UnresolvedError{Job: record.Spec.ID, Cause: err}
		}
		return record, &UnresolvedError{Job: record.Spec.ID, Cause: err}
	}
	sentAt := time.Now()
	live, least, err := d.inspect(ctx, stored)
	if err == nil && !live {
		err = eris.New("a reservation or task of the gang is gone")
	}
	if err != nil {
		return stored, d.undo(ctx, stored, err)
	}
	return d.startAll(ctx, stored, sentAt.Add(least))
}

// inspect renews the leases of the gang with the new token, which also fences the earlier owner, and reports whether all
// members are live and the least time left of the reservations.
func (d *Driver) inspect(ctx context.Context, record jobs.Record) (live bool, least time.Duration, err error) {
	var mu sync.Mutex
	seen := map[model.TaskID]bool{}
	reserved := map[model.ReservationID]time.Duration{}
	deadline := time.Now().Add(d.Times.Reserve)
	asked := jobs.Record{Spec: record.Spec}
	for _, id := range workersOf(record) {
		asked.Placement = append(asked.Placement, jobs.Placement{Worker: id})
	}
	err = d.each(ctx, asked, func(ctx context.Context, address string, _ jobs.Placement) error {
		return d.retry(ctx, deadline, func() error {
			status, err := d.Worker.Renew(ctx, address, worker.Renew{
				DataCentre: record.DataCentre, Token: record.Token, Jobs: []model.JobID{record.Spec.ID},
				LeaseMs: d.Times.Lease.Milliseconds(),
			})
			mu.Lock()
			defer mu.Unlock()
			for _, task := range status.Tasks {
				seen[task.Task] = task.State == worker.TaskRunning || task.State == worker.TaskDone
			}
			for _, held := range status.Reservations {
				reserved[held.Reservation] = time.Duration(held.LeftMs) * time.Millisecond
			}
			return err
		})
	})
	if err != nil {
		return false, 0, err
	}
	least = d.Times.ReserveTTL
	for _, placement := range record.Placement {
		if seen[placement.Task] {
			continue
		}
		left, held := reserved[placement.Reservation]
		if !held || left < d.Times.Retry {
			return false, 0, nil
		}
		least = min(least, left)
	}
	return true, least, nil
}
