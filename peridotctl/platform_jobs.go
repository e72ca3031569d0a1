package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// platformRecord is a job as the store holds it.
type platformRecord struct {
	Job       work.Job      `json:"job"`
	Progress  work.Progress `json:"progress"`
	Cancelled bool          `json:"cancelled"`
}

func (r *platformRecord) state() work.State {
	if r.Progress.State == "" {
		return work.StateQueued
	}
	return r.Progress.State
}

// done counts the tasks of a step that ended done in one occurrence of the job.
func (r *platformRecord) done(occurrence, step int) int {
	done := 0
	for n := range r.Job.Steps[step].Count {
		if r.state() == work.StateCompleted || r.Progress.Steps[occurrence][step].IsDone(n) {
			done++
		}
	}
	return done
}

func (r *platformRecord) row() []string {
	done, tasks := 0, 0
	for i := range r.Job.Steps {
		for k := range r.Job.Occurrences() {
			tasks += r.Job.Steps[i].Count
			done += r.done(k, i)
		}
	}
	return []string{
		string(r.Job.ID), string(r.Job.Queue), string(r.Job.Tenant), string(r.state()), fmt.Sprintf("%d/%d", done, tasks),
		strconv.FormatBool(r.Cancelled), r.Job.Accepted.UTC().Format(time.RFC3339), r.Progress.Why,
	}
}

// steps returns a row for each step and occurrence.
func (r *platformRecord) steps() [][]string {
	rows := [][]string{{"JOB", "STATE", "CANCELLED", "OCCURRENCE", "STEP", "AFTER", "GANG", "ACCELERATORS", "DONE", "FAILED-RUNS", "WHY"}}
	for k := range r.Job.Occurrences() {
		for i := range r.Job.Steps {
			step := &r.Job.Steps[i]
			failed := 0
			for _, runs := range r.Progress.Steps[k][i].Failed {
				failed += len(runs)
			}
			rows = append(rows, []string{
				string(r.Job.ID), string(r.state()), strconv.FormatBool(r.Cancelled), strconv.Itoa(k), strconv.Itoa(i), fmt.Sprint(step.After),
				strconv.FormatBool(step.Gang), strconv.Itoa(int(step.Need.GPU)), fmt.Sprintf("%d/%d", r.done(k, i), step.Count),
				strconv.Itoa(failed), dash(r.Progress.Why),
			})
		}
	}
	return rows
}

func (s *session) platformRecords(ctx context.Context, store *kv.Store) ([]*platformRecord, error) {
	items, _, err := kv.List(ctx, store, work.JobPrefix)
	if err != nil {
		return nil, err
	}
	byID := map[model.JobID]*platformRecord{}
	var records []*platformRecord
	for _, item := range items {
		id, cancel := work.SplitJobKey(item.Key)
		if cancel {
			if record := byID[id]; record != nil { // The job's own key comes first.
				record.Cancelled = true
			}
			continue
		}
		job, err := work.Decode[work.Job](item.Value)
		if err != nil {
			s.note("%s: %v", item.Key, err)
			continue
		}
		byID[id] = &platformRecord{Job: job}
		records = append(records, byID[id])
	}
	progress, _, err := kv.List(ctx, store, work.ProgressPrefix)
	if err != nil {
		return nil, err
	}
	for _, item := range progress {
		record := byID[model.JobID(item.Key[len(work.ProgressPrefix):])]
		if record == nil {
			continue
		}
		if record.Progress, err = work.Decode[work.Progress](item.Value); err != nil {
			s.note("%s: %v", item.Key, err)
		}
	}
	return records, nil
}

func (s *session) platformJobs(ctx context.Context, store *kv.Store, _ []string) error {
	records, err := s.platformRecords(ctx, store)
	if err != nil {
		return err
	}
	return s.printRecords(records)
}

func (s *session) platformJob(ctx context.Context, store *kv.Store, args []string) error {
	if err := count(args, 1, 1, "a job's id"); err != nil {
		return err
	}
	records, err := s.platformRecords(ctx, store)
	if err != nil {
		return err
	}
	for _, record := range records {
		if string(record.Job.ID) == args[0] {
			return s.print(record, record.steps())
		}
	}
	return &missingError{what: "job"}
}

func (s *session) printRecords(records []*platformRecord) error {
	rows := [][]string{{"JOB", "QUEUE", "TENANT", "STATE", "DONE", "CANCELLED", "ACCEPTED", "WHY"}}
	for _, record := range records {
		rows = append(rows, record.row())
	}
	return s.print(records, rows)
}
