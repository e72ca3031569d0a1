package main

import (
	"context"
	"encoding/json"
	"flag"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/jsonc"
	"peridotgw.example/peridotgw/model"
)

func (a *app) submitCommand() *command {
	var id, customer, class, shape, dataCentre, payload string
	var runTime time.Duration
	return &command{
		app: a, name: "submit", synopsis: "submit a job",
		help: `Submits one job and prints its record once it is durable. Submitting the same job with the same id again is safe and
prints the record that exists.`,
		example: "peridotctl submit -customer board -class tally -shape one-rack -run-time 2h -payload tally.json",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&id, "id", "", "`id` of the job; default a random one, printed before the job is sent")
			f.StringVar(&customer, "customer", "", "customer that the job is for")
			f.StringVar(&class, "class", "", "job class")
			f.StringVar(&shape, "shape", "", "shape")
			f.StringVar(&dataCentre, "data-centre", "", "preferred data centre")
			f.DurationVar(&runTime, "run-time", 0, "expected run time; affects only the order")
			f.StringVar(&payload, "payload", "", "`file` of JSON, comments allowed, that is handed to the workers")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := checkArgCount(args, 0, 0, "no arguments"); err != nil {
				return err
			}
			if customer == "" || class == "" || shape == "" {
				return usageErrorf("-customer, -class and -shape are required")
			}
			job := client.Job{
				ID: model.JobID(id), Customer: model.CustomerID(customer), Class: model.JobClassID(class), Shape: model.ShapeID(shape),
				DataCentre: model.DataCentreID(dataCentre), RunTime: model.Duration(runTime),
			}
			if err := readPayload(payload, &job.Payload); err != nil {
				return err
			}
			if job.ID == "" {
				job.ID = model.JobID("job-" + client.NewRequestID())
			}
			s.printNote("job %s; to repeat it, add -id %s", job.ID, job.ID)
			record, err := s.operator.Submit(ctx, job)
			if err != nil {
				return err
			}
			return s.printJobs([]client.JobRecord{record})
		},
	}
}

// readPayload reads a JSON file with comments into a payload; an empty path leaves it unchanged.
func readPayload(path string, into *json.RawMessage) error {
	if path == "" {
		return nil
	}
	document, err := jsonc.Open(path)
	if err != nil {
		return asUsageError(err)
	}
	document.Decode(into)
	return document.Err()
}

func (a *app) cancelCommand() *command {
	return &command{
		app: a, name: "cancel", synopsis: "cancel jobs", args: "job...",
		help: `Asks for each job to be stopped and prints the records. A job that has ended stays as it is, so a repeat is safe.
After an error the remaining jobs are still tried, and the exit code is that of the first error.`,
		example: "peridotctl cancel tally-2026-12-04",
		run: func(ctx context.Context, s *session, args []string) error {
			if err := checkArgCount(args, 1, -1, "at least one job"); err != nil {
				return err
			}
			return s.forEachJob(ctx, args, s.operator.Cancel)
		},
	}
}

// forEachJob calls call for each id and prints the records. It prints all errors but the first, which it returns.
func (s *session) forEachJob(ctx context.Context, ids []string, call func(context.Context, model.JobID) (client.JobRecord, error)) error {
	var records []client.JobRecord
	var firstErr error
	for _, id := range ids {
		record, err := call(ctx, model.JobID(id))
		if err != nil {
			err = eris.Wrapf(err, "job %s", id)
			if firstErr != nil {
				s.printError(s.format, err)
				continue
			}
			firstErr = err
			continue
		}
		records = append(records, record)
	}
	if err := s.printJobs(records); firstErr == nil {
		return err
	}
	return firstErr
}

func (a *app) jobsCommand() *command {
	var customer, state, dataCentre string
	return &command{
		app: a, name: "jobs", synopsis: "print jobs", args: "[job...]",
		help:    "Prints the named jobs, or all. With -o json the whole records are printed, with placement and history.",
		example: "peridotctl jobs -customer board -state running\nperidotctl jobs -o json tally-2026-12-04",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&customer, "customer", "", "only jobs of this customer")
			f.StringVar(&state, "state", "", "only jobs in this state")
			f.StringVar(&dataCentre, "data-centre", "", "only jobs in this data centre")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if len(args) > 0 {
				return s.forEachJob(ctx, args, s.operator.Get)
			}
			all, err := s.operator.Jobs(ctx)
			if err != nil {
				return err
			}
			var records []client.JobRecord
			for _, r := range all {
				if (customer == "" || string(r.Spec.Customer) == customer) && (state == "" || r.State == state) && (dataCentre == "" || string(r.DataCentre) == dataCentre) {
					records = append(records, r)
				}
			}
			return s.printJobs(records)
		},
	}
}
