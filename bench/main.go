// Command bench compares peridotgw with simple baselines and prints one table per measurement; see README.md.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"peridotgw.example/peridotgw/bench/internal/batch"
	"peridotgw.example/peridotgw/bench/internal/calls"
	"peridotgw.example/peridotgw/bench/internal/fleet"
	"peridotgw.example/peridotgw/bench/internal/gangs"
	"peridotgw.example/peridotgw/bench/internal/speed"
	"peridotgw.example/peridotgw/bench/internal/table"
	"peridotgw.example/peridotgw/internal/object"
)

// runTimeout limits the duration of a whole run.
const runTimeout = 15 * time.Minute

type options struct {
	bin, examples, resultsFile string
	only                       []string
	seeds                      []uint64
	quick                      bool
}

func main() {
	o := options{}
	flag.StringVar(&o.bin, "bin", "bin", "`folder` with the programs")
	flag.StringVar(&o.examples, "examples", "examples", "`folder` with the deployments")
	flag.StringVar(&o.resultsFile, "json", "", "`file` for all results as JSON")
	only := flag.String("only", strings.Join(partNames(), ","), "parts to run, separated by commas")
	seeds := flag.String("seeds", "1,2,3,4,5", "seeds, separated by commas")
	flag.BoolVar(&o.quick, "quick", false, "small sizes, to check the program itself")
	flag.Parse()
	err := o.parseArgs(*only, *seeds, flag.Args())
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		err = run(ctx, o)
		stop()
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "bench: %v\n", err)
		os.Exit(1)
	}
}

func (o *options) parseArgs(only, seeds string, rest []string) error {
	if len(rest) > 0 {
		return fmt.Errorf("unexpected argument %q", rest[0])
	}
	for name := range strings.SplitSeq(only, ",") {
		if _, found := findPart(name); !found {
			return fmt.Errorf("-only: unknown part %q; valid parts are %s", name, strings.Join(partNames(), ", "))
		}
		o.only = append(o.only, name)
	}
	for text := range strings.SplitSeq(seeds, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return fmt.Errorf("-seeds: %q is not a non-negative integer", text)
		}
		o.seeds = append(o.seeds, seed)
	}
	return nil
}

// part is a group of measurements that the flag -only selects by its name.
type part struct {
	name string
	run  func(context.Context, options) ([]*table.Table, error)
}

func parts() []part {
	return []part{
		{"jobs", runJobs},
		{"gangs", runGangs},
		{"requests", runRequests},
		{"speed", runSpeed},
		{"fleet", runFleet},
	}
}

func partNames() []string {
	var names []string
	for _, p := range parts() {
		names = append(names, p.name)
	}
	return names
}

func findPart(name string) (part, bool) {
	for _, p := range parts() {
		if p.name == name {
			return p, true
		}
	}
	return part{}, false
}

func run(ctx context.Context, o options) (err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	report := table.Report{Command: strings.Join(os.Args, " "), Seeds: o.seeds, Tables: []*table.Table{}}
	if o.resultsFile != "" {
		// The file is created before the run, so that a wrong path does not cost the results. When a part fails, it
		// receives the results of the parts before it.
		file, createErr := os.Create(o.resultsFile)
		if createErr != nil {
			return fmt.Errorf("creating the results file: %w", createErr)
		}
		defer func() { err = errors.Join(err, report.JSON(file), file.Close()) }()
	}
	fmt.Printf("command: %s\nseeds: %v\n", report.Command, o.seeds)
	for _, name := range o.only {
		p, _ := findPart(name)
		startedAt := time.Now()
		tables, err := p.run(ctx, o)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		report.Tables = append(report.Tables, tables...)
		for _, t := range tables {
			if err := t.Print(os.Stdout); err != nil {
				return err
			}
		}
		fmt.Printf("\n%s took %s\n", name, time.Since(startedAt).Round(100*time.Millisecond))
	}
	return nil
}

func runJobs(ctx context.Context, o options) ([]*table.Table, error) {
	var deployments []batch.Deployment
	for _, name := range []string{"hollow-creek", "casco-limpio"} {
		files, err := object.Load(filepath.Join(o.examples, name, "objects"))
		if err != nil {
			return nil, err
		}
		set, err := files.Set()
		if err != nil {
			return nil, err
		}
		deployments = append(deployments, batch.Deployment{Name: name, Set: set})
	}
	workload := batch.Default()
	if o.quick {
		workload = batch.Quick()
	}
	return batch.Measure(ctx, deployments, workload, o.seeds)
}

func runSpeed(ctx context.Context, o options) ([]*table.Table, error) {
	sizes := speed.FleetSizes(o.quick)
	placing, err := speed.MeasurePlacement(ctx, sizes)
	if err != nil {
		return nil, err
	}
	applying, err := speed.MeasureApply(ctx, sizes)
	if err != nil {
		return nil, err
	}
	hop, err := speed.MeasureHop(ctx, o.quick)
	return append(append(hop, placing...), applying...), err
}

func runFleet(ctx context.Context, o options) ([]*table.Table, error) {
	// The window is longer than the 30 s that an owner's watch waits, because a watch is counted when it ends.
	sizes, window := []int{3, 6, 9, 18}, 32*time.Second
	if o.quick {
		sizes, window = []int{3}, 2*time.Second
	}
	return fleet.Measure(ctx, o.bin, filepath.Join(o.examples, "hollow-creek"), sizes, window)
}

func runGangs(ctx context.Context, o options) ([]*table.Table, error) {
	count := 80
	if o.quick {
		count = 20
	}
	return gangs.Measure(ctx, count, o.seeds)
}

func runRequests(ctx context.Context, o options) ([]*table.Table, error) {
	return calls.Measure(ctx, o.seeds, o.quick)
}
