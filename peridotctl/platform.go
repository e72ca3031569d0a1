package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
)

const platformTimeout = 5 * time.Second

// platformCommand asks the store of the users' platform, without a call to any instance.
func (a *app) platformCommand() *command {
	c := &command{
		app: a, name: "platform", synopsis: "show what the store of the users' platform holds",
		args: "instances | workers | zones | config | jobs | job ID",
		help: "Reads the platform's store with the settings file of an instance: the registered instances and the leader, the workers, the\n" +
			"zones out of service, the configuration in force, all jobs, or one job with its progress. No instance is called.",
		example: "peridotctl platform -settings /etc/peridotgw/boot.conf jobs",
		offline: true,
	}
	var path string
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&path, "settings", a.getenv(platform.SettingsVariable), "settings `file` of an instance; default from "+platform.SettingsVariable)
	}
	c.run = func(ctx context.Context, s *session, args []string) error { return s.platform(ctx, path, args) }
	return c
}

func (s *session) platform(ctx context.Context, path string, args []string) error {
	if err := count(args, 1, 2, "what to show"); err != nil {
		return err
	}
	if path == "" {
		return usage("-settings or %s is required", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return usageWrap(err)
	}
	client, closeIdle := platform.NewClient(1)
	defer closeIdle()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	store := platform.NewStore(client, settings.Store, func(string, string, bool) {})
	show := map[string]func(context.Context, *kv.Store, []string) error{
		"instances": s.platformInstances, "workers": s.platformWorkers, "zones": s.platformZones, "config": s.platformConfig,
		"jobs": s.platformJobs, "job": s.platformJob,
	}[args[0]]
	if show == nil {
		return usage("%q cannot be shown; use instances, workers, zones, config, jobs or job", args[0])
	}
	if err := show(ctx, store, args[1:]); err != nil {
		return storeError(err)
	}
	return nil
}

// unreachableError reports a store that does not answer.
type unreachableError struct{ cause error }

func (e *unreachableError) Error() string { return "the store does not answer: " + e.cause.Error() }

func storeError(err error) error {
	var refused *kv.RefusedError
	var doubt *kv.DoubtError
	if errors.As(err, &refused) || errors.As(err, &doubt) {
		return &unreachableError{cause: err}
	}
	return err
}

func (s *session) platformInstances(ctx context.Context, store *kv.Store, _ []string) error {
	items, _, err := kv.List(ctx, store, elect.Prefix)
	if err != nil {
		return err
	}
	rows := [][]string{{"KEY", "INSTANCE", "ADDRESS", "CORES", "REVISION"}}
	var nodes []elect.Node
	for _, item := range items {
		node, err := work.Decode[elect.Node](item.Value)
		if err != nil {
			s.note("%s: %v", item.Key, err)
			continue
		}
		nodes = append(nodes, node)
		rows = append(rows, []string{item.Key, string(node.ID), node.Address, fmt.Sprint(node.Share), fmt.Sprint(item.Revision)})
	}
	return s.print(nodes, rows)
}

func (s *session) platformWorkers(ctx context.Context, store *kv.Store, _ []string) error {
	items, _, err := kv.List(ctx, store, platform.RegistryPrefix)
	if err != nil {
		return err
	}
	rows := [][]string{{"WORKER", "POOL", "ZONE", "RACK", "ACCELERATORS", "STATE"}}
	var workers []work.WorkerInfo
	for _, item := range items {
		info, err := platform.DecodeWorker(item.Key, item.Value)
		if err != nil {
			s.note("%v", err)
			continue
		}
		state := "ready"
		if info.Draining {
			state = "draining"
		}
		workers = append(workers, info)
		rows = append(rows, []string{
			string(info.ID), string(info.Pool), string(info.Zone), string(info.Rack()), strconv.Itoa(int(info.Capacity.GPU)), state,
		})
	}
	return s.print(workers, rows)
}

func (s *session) platformZones(ctx context.Context, store *kv.Store, _ []string) error {
	items, _, err := kv.List(ctx, store, platform.OperatorPrefix)
	if err != nil {
		return err
	}
	rows := [][]string{{"ZONE", "SERVICE", "REVISION"}}
	zones := []model.DataCentreID{}
	for _, item := range items {
		if zone, found := platform.EvacuatedZone(item.Key); found {
			zones = append(zones, zone)
			rows = append(rows, []string{string(zone), "out", fmt.Sprint(item.Revision)})
		}
	}
	return s.print(zones, rows)
}

func (s *session) platformConfig(ctx context.Context, store *kv.Store, _ []string) error {
	items, _, err := kv.List(ctx, store, platform.OperatorPrefix)
	if err != nil {
		return err
	}
	for _, item := range items {
		if !platform.IsConfig(item.Key) {
			continue
		}
		config, err := platform.DecodeConfig(item.Value)
		if err != nil {
			return err
		}
		rows := [][]string{{"VERSION", "QUEUE", "HOST", "PREFIX", "POOL", "PRIORITY", "ATTEMPTS"}}
		for i := range config.Queues {
			q := &config.Queues[i]
			rows = append(rows, []string{
				fmt.Sprint(config.Version), string(q.Name), q.Host, q.Prefix, string(q.Pool), strconv.Itoa(q.Priority), strconv.Itoa(q.MaxAttempts),
			})
		}
		return s.print(config, rows)
	}
	return &missingError{what: "configuration"}
}

// missingError reports something that the store does not hold.
type missingError struct{ what string }

func (e *missingError) Error() string { return "the store holds no such " + e.what }

// platformRecord is a job as the store holds it.
type platformRecord struct {
	Job       work.Job      `json:"job"`
	Progress  work.Progress `json:"progress"`
	Cancelled bool          `json:"cancelled"`
}

func (r *platformRecord) row() []string {
	state := r.Progress.State
	if state == "" {
		state = work.StateQueued
	}
	done, tasks := 0, 0
	for i := range r.Job.Steps {
		for k := range r.Job.Occurrences() {
			tasks += r.Job.Steps[i].Count
			for n := range r.Job.Steps[i].Count {
				if r.Progress.Steps[k][i].IsDone(n) || state == work.StateCompleted {
					done++
				}
			}
		}
	}
	return []string{
		string(r.Job.ID), string(r.Job.Queue), string(r.Job.Tenant), string(state), fmt.Sprintf("%d/%d", done, tasks),
		strconv.FormatBool(r.Cancelled), r.Job.Accepted.UTC().Format(time.RFC3339), r.Progress.Why,
	}
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
			return s.printRecords([]*platformRecord{record})
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
