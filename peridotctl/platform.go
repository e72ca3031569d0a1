package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/deploy"
)

// platformTimeout limits all reads of the platform's store by one command.
const platformTimeout = 5 * time.Second

// platformCommand returns the command that shows what the store of the users' platform holds, and what the leader knows of tenants.
func (a *app) platformCommand() *command {
	c := &command{
		app: a, name: "platform", synopsis: "show what the store of the users' platform holds",
		args: "instances | workers | zones | config | jobs | job ID | tenants | check [DEPLOY-FILE]",
		help: "Reads the platform's store with the settings file of an instance: the registered instances and the leader, the workers, the\n" +
			"zones out of service, the configuration in force, all jobs, or one job with its progress by step. tenants calls the leader\n" +
			"for the limits and the use of each tenant; nothing else calls an instance.\n" +
			"check reads the settings file and the deploy file, if they are named, and reports every problem; it needs no store.",
		example: "peridotctl platform -settings /etc/peridotgw/boot.conf jobs",
		offline: true,
	}
	var settingsPath string
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&settingsPath, "settings", a.getenv(platform.SettingsVariable), "settings `file` of an instance; default from "+platform.SettingsVariable)
	}
	c.run = func(ctx context.Context, s *session, args []string) error { return s.platform(ctx, settingsPath, args) }
	return c
}

// platform shows the subject that args name, or checks files.
func (s *session) platform(ctx context.Context, settingsPath string, args []string) error {
	if err := checkArgCount(args, 1, 2, "what to show"); err != nil {
		return err
	}
	if args[0] == "check" {
		return s.platformCheck(settingsPath, args[1:])
	}
	if settingsPath == "" {
		return usageErrorf("-settings or %s is required", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(settingsPath)
	if err != nil {
		return asUsageError(err)
	}
	client, closeIdle := platform.NewClient(1, func(int, int) {})
	defer closeIdle()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	store := platform.NewStore(client, settings.Store, func(string, string, bool) {})
	printSubject := map[string]func(context.Context, *kv.Store, []string) error{
		"instances": s.platformInstances, "workers": s.platformWorkers, "zones": s.platformZones, "config": s.platformConfig,
		"jobs": s.platformJobs, "job": s.platformJob, "tenants": s.platformTenants,
	}[args[0]]
	if printSubject == nil {
		return usageErrorf("%q cannot be shown; use instances, workers, zones, config, jobs, job, tenants or check", args[0])
	}
	if err := printSubject(ctx, store, args[1:]); err != nil {
		return asStoreError(err)
	}
	return nil
}

// platformCheck checks a settings file and deploy files, and reports all problems together.
func (s *session) platformCheck(settingsPath string, args []string) error {
	if settingsPath == "" && len(args) == 0 {
		return usageErrorf("check needs -settings or a deploy file")
	}
	type checkedFile struct {
		File  string `json:"file"`
		Holds string `json:"holds"`
	}
	var checkedFiles []checkedFile
	var problems []error
	if settingsPath != "" {
		settings, err := platform.LoadSettings(settingsPath)
		if err == nil {
			checkedFiles = append(checkedFiles, checkedFile{settingsPath, fmt.Sprintf("settings of instance %s in zone %s", settings.Node, settings.Zone)})
		}
		problems = append(problems, err)
	}
	for _, path := range args {
		file, err := deploy.Load(path)
		if err == nil {
			checkedFiles = append(checkedFiles, checkedFile{path, fmt.Sprintf("roles %s", slices.Sorted(maps.Keys(file.Roles)))})
		}
		problems = append(problems, err)
	}
	if err := errors.Join(problems...); err != nil {
		return asUsageError(err)
	}
	rows := [][]string{{"FILE", "HOLDS"}}
	for _, checked := range checkedFiles {
		rows = append(rows, []string{checked.File, checked.Holds})
	}
	return s.print(checkedFiles, rows)
}

// storeDownError reports that the platform's store does not answer.
type storeDownError struct{ cause error }

func (e *storeDownError) Error() string { return "the store does not answer: " + e.cause.Error() }

// asStoreError returns a storeDownError if the store did not answer, and any other error unchanged.
func asStoreError(err error) error {
	var refused *kv.RefusedError
	var doubt *kv.InDoubtError
	if errors.As(err, &refused) || errors.As(err, &doubt) {
		return &storeDownError{cause: err}
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
			s.printNote("%s: %v", item.Key, err)
			continue
		}
		nodes = append(nodes, node)
		rows = append(rows, []string{item.Key, string(node.ID), node.Address, fmt.Sprint(node.Share), fmt.Sprint(item.Revision)})
	}
	return s.print(nodes, rows)
}

func (s *session) platformWorkers(ctx context.Context, store *kv.Store, _ []string) error {
	items, _, err := kv.List(ctx, store, platform.RegistryKeyPrefix)
	if err != nil {
		return err
	}
	rows := [][]string{{"WORKER", "POOL", "ZONE", "RACK", "ACCELERATORS", "STATE"}}
	var workers []work.WorkerInfo
	for _, item := range items {
		info, err := platform.DecodeWorker(item.Key, item.Value)
		if err != nil {
			s.printNote("%v", err)
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
	items, _, err := kv.List(ctx, store, platform.OperatorKeyPrefix)
	if err != nil {
		return err
	}
	rows := [][]string{{"ZONE", "SERVICE", "REVISION"}}
	zones := []model.DataCentreID{}
	for _, item := range items {
		if zone, found := platform.OutOfServiceZone(item.Key); found {
			zones = append(zones, zone)
			rows = append(rows, []string{string(zone), "out", fmt.Sprint(item.Revision)})
		}
	}
	return s.print(zones, rows)
}

func (s *session) platformConfig(ctx context.Context, store *kv.Store, _ []string) error {
	config, err := configInForce(ctx, store)
	if err != nil {
		return err
	}
	if config == nil {
		return &missingError{what: "configuration"}
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

// configInForce reads the operators' configuration; the result is nil if the store holds none.
func configInForce(ctx context.Context, store *kv.Store) (*work.Config, error) {
	items, _, err := kv.List(ctx, store, platform.OperatorKeyPrefix)
	if err != nil {
		return nil, err
	}
	for _, item := range items {
		if platform.IsConfig(item.Key) {
			return platform.DecodeConfig(item.Value)
		}
	}
	return nil, nil //nolint:nilnil // no configuration is not an error
}

// missingError reports that the store does not hold what the operator asked for.
type missingError struct{ what string }

func (e *missingError) Error() string { return "the store holds no such " + e.what }
