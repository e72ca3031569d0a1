package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitOK       = 0
	exitUsage    = 1
	exitViolated = 2
)

// options are the parameters of a run.
type options struct {
	binary  string // path of peridotd
	dir     string // parent of the seeds' folders
	nodes   int
	workers int
	faults  time.Duration // period with faults and load
	calm    time.Duration // longest wait for open jobs after the faults
	rate    float64       // jobs per second
}

func main() {
	seeds := flag.String("seeds", "1-5", "seeds, as 7 or 1-50")
	opts := options{}
	flag.StringVar(&opts.binary, "peridotd", "bin/peridotd", "the program to run")
	flag.StringVar(&opts.dir, "logs", "", "folder for the logs of failed seeds; a temporary one without it")
	flag.IntVar(&opts.nodes, "nodes", 4, "instances")
	flag.IntVar(&opts.workers, "workers", 10, "workers")
	flag.DurationVar(&opts.faults, "faults", 15*time.Second, "time with faults")
	flag.DurationVar(&opts.calm, "calm", 20*time.Second, "longest time for the open jobs afterwards")
	flag.Float64Var(&opts.rate, "rate", 3, "jobs a second")
	flag.Parse()
	first, last, err := parseSeeds(*seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := runSeeds(ctx, opts, first, last)
	stop()
	os.Exit(code)
}

func parseSeeds(text string) (first, last uint64, err error) {
	from, to, found := strings.Cut(text, "-")
	if first, err = strconv.ParseUint(from, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", text, err)
	}
	if !found {
		return first, first, nil
	}
	if last, err = strconv.ParseUint(to, 10, 64); err != nil || last < first {
		return 0, 0, fmt.Errorf("seeds %q are not a range", text)
	}
	return first, last, nil
}

// runSeeds runs the seeds from first to last, prints their results and returns the exit code.
func runSeeds(ctx context.Context, opts options, first, last uint64) int {
	held, violated := 0, 0
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		violations, summary, err := runSeed(ctx, opts, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return exitUsage
		}
		fmt.Printf("seed %d: %s\n", seed, summary)
		if len(violations) == 0 {
			held++
			continue
		}
		violated++
		for _, v := range violations {
			fmt.Printf("seed %d: VIOLATED %s\n", seed, v)
		}
	}
	fmt.Printf("%d held, %d violated\n", held, violated)
	if violated > 0 {
		return exitViolated
	}
	return exitOK
}

// runSeed runs one seed in its own folder, which is kept if there are violations.
func runSeed(ctx context.Context, opts options, seed uint64) (violations []string, summary string, err error) {
	if opts.dir != "" {
		if err := os.MkdirAll(opts.dir, 0o700); err != nil {
			return nil, "", err
		}
	}
	dir, err := os.MkdirTemp(opts.dir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return nil, "", err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(ctx, opts, dir, rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		return nil, "", err
	}
	violations = c.runScenario(ctx, opts)
	cancel()
	c.close()
	if len(violations) == 0 {
		return nil, c.summary(), os.RemoveAll(dir)
	}
	abs, err := filepath.Abs(dir)
	return append(violations, "logs in "+abs), c.summary(), err
}
