package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// storedJob is a job with its progress, read from separate keys of the platform's store.
type storedJob struct {
	Job       work.Job      `json:"job"`
	Progress  work.Progress `json:"progress"`
	Cancelled bool          `json:"cancelled"`
}

func (r *storedJob) state() work.State {
	if r.Progress.State == "" {
		return work.StateQueued
	}
	return r.Progress.State
}

// doneTasks returns the number of tasks of a step that are done in one occurrence of the job.
func (r *storedJob) doneTasks(occurrence, step int) int {
	return r.Progress.Step(occurrence, step).DoneTasks(r.Job.Steps[step].Count)
}

// openOccurrences returns the occurrences that have progress and the first one that is not complete; the first one of a completed job.
func (r *storedJob) openOccurrences() []int {
	first := 0
	if r.state() != work.StateCompleted {
		first = r.Progress.Done.NextMissing(0)
	}
	open := []int{first}
	open = slices.AppendSeq(open, maps.Keys(r.Progress.Steps))
	open = slices.AppendSeq(open, maps.Keys(r.Progress.Complete))
	slices.Sort(open)
	return slices.Compact(open)
}

// jobRow returns the job's row in the table of all jobs.
func (r *storedJob) jobRow() []string {
	complete := r.Progress.Done.Len()
	if r.state() == work.StateCompleted {
		complete = r.Job.Occurrences()
	}
	doneTasks, tasks := 0, 0
	for i := range r.Job.Steps {
		count := r.Job.Steps[i].Count
		tasks += count * r.Job.Occurrences()
		doneTasks += count * complete
		if complete == r.Job.Occurrences() {
			continue
		}
		for _, occurrence := range r.openOccurrences() {
			doneTasks += r.doneTasks(occurrence, i)
		}
	}
	return []string{
		string(r.Job.ID), string(r.Job.Queue), string(r.Job.Tenant), string(r.state()), fmt.Sprintf("%d/%d", doneTasks, tasks),
		strconv.FormatBool(r.Cancelled), r.Job.Accepted.UTC().Format(time.RFC3339), r.Progress.Why,
	}
}

// stepRows returns a heading and a row for each step of each open occurrence.
func (r *storedJob) stepRows() [][]string {
	rows := [][]string{{"JOB", "STATE", "CANCELLED", "OCCURRENCE", "STEP", "AFTER", "GANG", "ACCELERATORS", "DONE", "FAILED-RUNS", "WHY"}}
	for _, occurrence := range r.openOccurrences() {
		for i := range r.Job.Steps {
			step := &r.Job.Steps[i]
			failed := 0
			for _, runs := range r.Progress.Steps[occurrence][i].Failed {
				failed += len(runs)
			}
			rows = append(rows, []string{
				string(r.Job.ID), string(r.state()), strconv.FormatBool(r.Cancelled), strconv.Itoa(occurrence), strconv.Itoa(i), fmt.Sprint(step.After),
				strconv.FormatBool(step.Gang), strconv.Itoa(int(step.Need.GPU)), fmt.Sprintf("%d/%d", r.doneTasks(occurrence, i), step.Count),
				strconv.Itoa(failed), dashIfEmpty(r.Progress.Why),
			})
		}
	}
	return rows
}

// readStoredJobs reads all jobs with their progress. It prints a note for each entry that cannot be decoded.
func (s *session) readStoredJobs(ctx context.Context, store *kv.Store) ([]*storedJob, error) {
	items, _, err := kv.List(ctx, store, work.JobPrefix)
	if err != nil {
		return nil, err
	}
	byID := map[model.JobID]*storedJob{}
	var records []*storedJob
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
			s.printNote("%s: %v", item.Key, err)
			continue
		}
		byID[id] = &storedJob{Job: job}
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
			s.printNote("%s: %v", item.Key, err)
		}
	}
	return records, nil
}

func (s *session) platformJobs(ctx context.Context, store *kv.Store, _ []string) error {
	records, err := s.readStoredJobs(ctx, store)
	if err != nil {
		return err
	}
	return s.printStoredJobs(records)
}

func (s *session) platformJob(ctx context.Context, store *kv.Store, args []string) error {
	if err := checkArgCount(args, 1, 1, "a job's id"); err != nil {
		return err
	}
	records, err := s.readStoredJobs(ctx, store)
	if err != nil {
		return err
	}
	for _, record := range records {
		if string(record.Job.ID) == args[0] {
			return s.print(record, record.stepRows())
		}
	}
	return &missingError{what: "job"}
}

func (s *session) printStoredJobs(records []*storedJob) error {
	rows := [][]string{{"JOB", "QUEUE", "TENANT", "STATE", "DONE", "CANCELLED", "ACCEPTED", "WHY"}}
	for _, record := range records {
		rows = append(rows, record.jobRow())
	}
	return s.print(records, rows)
}
