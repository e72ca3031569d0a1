package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/model"
)

const pollInterval = 50 * time.Millisecond

// submitJob submits a job whose tasks take the given run time.
func (s *scenario) submitJob(ctx context.Context, job client.Job, run time.Duration) error {
	job.RunTime = model.Duration(run)
	job.Payload = fmt.Appendf(nil, `{"run-ms":%d}`, run.Milliseconds())
	_, err := s.operator.Submit(ctx, job)
	return eris.Wrapf(err, "submitting job %s", job.ID)
}

// awaitJob polls a job until it is in one of the given states, and returns its record and the time that this took. It fails
// after the duration within.
func (s *scenario) awaitJob(ctx context.Context, id model.JobID, within time.Duration, states ...string) (client.JobRecord, time.Duration, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var last client.JobRecord
	for {
		record, err := s.operator.Get(ctx, id)
		if err == nil {
			last = record
			for _, state := range states {
				if record.State == state {
					return record, time.Since(begin), nil
				}
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return last, time.Since(begin), eris.Errorf("job %s is %q after %s, not %v: %s", id, last.State, within, states, last.Raw)
		}
	}
}

// task is a task as reported by a simulated worker.
type task struct {
	Task       model.TaskID       `json:"task"`
	Job        model.JobID        `json:"job"`
	DataCentre model.DataCentreID `json:"data-centre"`
	State      string             `json:"state"`
}

// runningTasks returns the running tasks by job, with the data centre of their workers.
func (d *deployment) runningTasks(ctx context.Context) (map[model.JobID][]task, error) {
	found := map[model.JobID][]task{}
	for _, m := range d.machines {
		if m.Kind != "worker" {
			continue
		}
		var state struct {
			Tasks []task `json:"tasks"`
		}
		if err := d.getJSON(ctx, m.URL+"/v1/state", &state); err != nil {
			return nil, err
		}
		for _, t := range state.Tasks {
			if t.State == "running" {
				t.DataCentre = m.DataCentre
				found[t.Job] = append(found[t.Job], t)
			}
		}
	}
	return found, nil
}
