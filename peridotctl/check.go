package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/lint"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
)

// findingsError reports that a checked configuration should not be sent as it is.
type findingsError struct {
	worst lint.Level
	count int
}

func (e *findingsError) Error() string {
	return fmt.Sprintf("%d findings besides differences, the most serious: %s", e.count, e.worst)
}

// checkFlags are the flags of the check command.
type checkFlags struct {
	platform bool
	inForce  string
	settings string
}

// checkCommand returns the command that checks a configuration before it is sent.
func (a *app) checkCommand() *command {
	var flags checkFlags
	return &command{
		app: a, name: "check", synopsis: "check a configuration before it is sent", args: "file-or-directory...", mayConnect: true,
		help: `Reports, one line each: errors, entries that can never match, limits that contradict each other, and what differs from
the version in force. The files hold objects or, with -platform, the operators' configuration of the users' platform.
The version in force is read from -in-force, or from the system at -address, or with -platform from the store that -settings
names, which also tells the workers' capacity; without any of them, differences are not reported.
Exit code 0: nothing but differences; 2: errors; 7: entries that can never match, or limits that contradict each other.`,
		example: "peridotctl check -address http://127.0.0.1:9001 -token-file token objects/\n" +
			"peridotctl check -platform -settings /etc/peridotgw/boot.conf config.json",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&flags.platform, "platform", false, "check a configuration of the users' platform")
			f.StringVar(&flags.inForce, "in-force", "", "`file` or directory with the version in force")
			f.StringVar(&flags.settings, "settings", "", "with -platform, settings `file` of an instance")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if flags.platform {
				return s.checkPlatform(ctx, flags, args)
			}
			return s.checkObjects(ctx, flags, args)
		},
	}
}

// checkObjects checks the project's own objects.
func (s *session) checkObjects(ctx context.Context, flags checkFlags, args []string) error {
	if flags.settings != "" {
		return usageErrorf("-settings needs -platform")
	}
	files, err := loadFiles(args)
	if err != nil {
		return err
	}
	set, err := files.Set()
	if err != nil {
		return err
	}
	findings := lint.Set(set, s.validate(set))
	differences, err := s.objectDifferences(ctx, flags.inForce, files.Objects)
	if err != nil {
		return err
	}
	for _, d := range differences {
		findings = append(findings, d.finding())
	}
	return s.printFindings(findings)
}

// objectDifferences compares objects with those in force: in files or in the system; with neither there are none.
func (s *session) objectDifferences(ctx context.Context, inForce string, objects []model.Object) ([]difference, error) {
	switch {
	case inForce != "":
		files, err := loadFiles([]string{inForce})
		if err != nil {
			return nil, err
		}
		return compareObjects(files.Objects, objects, true)
	case s.operator != nil:
		got, err := s.operator.Objects(ctx, client.Selection{})
		if err != nil {
			return nil, err
		}
		return compareObjects(got.Objects, objects, true)
	}
	return nil, nil
}

// finding returns a difference as a finding.
func (d *difference) finding() lint.Finding {
	f := lint.Finding{Level: lint.LevelDifference, Where: fmt.Sprintf("%s %q", d.Kind, d.Name)}
	switch d.Change {
	case "add":
		f.Message = "is new"
	case "change":
		f.Message = fmt.Sprintf("%s: %s, in force %s", d.Field, dashIfEmpty(d.New), dashIfEmpty(d.Old))
	default:
		f.Message = "is in force and not in the files, and stays as it is"
	}
	return f
}

// checkPlatform checks the operators' configuration of the users' platform.
func (s *session) checkPlatform(ctx context.Context, flags checkFlags, args []string) error {
	if err := checkArgCount(args, 1, 1, "one configuration file"); err != nil {
		return err
	}
	candidate, err := loadPlatformConfig(args[0])
	if err != nil {
		return err
	}
	var inForce *work.Config
	var fleet lint.Fleet
	if flags.settings != "" {
		if inForce, fleet, err = readPlatform(ctx, flags.settings); err != nil {
			return err
		}
	}
	if flags.inForce != "" {
		if inForce, err = loadPlatformConfig(flags.inForce); err != nil {
			return err
		}
	}
	return s.printFindings(lint.Config(candidate, inForce, fleet))
}

func loadPlatformConfig(path string) (*work.Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, asUsageError(err)
	}
	config, err := platform.DecodeConfig(content)
	if err != nil {
		return nil, usageErrorf("%s: %v", path, err)
	}
	return config, nil
}

// readPlatform reads the configuration in force and the capacity of the registered workers from the platform's store. The configuration is
// nil if there is none.
func readPlatform(ctx context.Context, settingsPath string) (*work.Config, lint.Fleet, error) {
	settings, err := platform.LoadSettings(settingsPath)
	if err != nil {
		return nil, lint.Fleet{}, asUsageError(err)
	}
	client, closeIdle := platform.NewClient(1, func(int, int) {})
	defer closeIdle()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	store := platform.NewStore(client, settings.Store, func(string, string, bool) {})
	inForce, err := configInForce(ctx, store)
	if err != nil {
		return nil, lint.Fleet{}, asStoreError(err)
	}
	workers, _, err := kv.List(ctx, store, platform.RegistryKeyPrefix)
	if err != nil {
		return nil, lint.Fleet{}, asStoreError(err)
	}
	fleet := lint.Fleet{Pools: map[work.PoolName]work.Resources{}}
	for _, item := range workers {
		if info, err := platform.DecodeWorker(item.Key, item.Value); err == nil {
			fleet.Pools[info.Pool] = fleet.Pools[info.Pool].Add(info.Capacity)
		}
	}
	return inForce, fleet, nil
}

// printFindings prints findings, one line each, and returns a findingsError if there are others than differences.
func (s *session) printFindings(findings []lint.Finding) error {
	rows := [][]string{{"LEVEL", "ENTRY", "FINDING"}}
	besides := 0
	for _, f := range findings {
		rows = append(rows, []string{string(f.Level), f.Where, f.Message})
		if f.Level != lint.LevelDifference {
			besides++
		}
	}
	if findings == nil {
		findings = []lint.Finding{}
	}
	if err := s.print(findings, rows); err != nil {
		return err
	}
	if worst := lint.Worst(findings); worst != "" {
		return &findingsError{worst: worst, count: besides}
	}
	return nil
}
