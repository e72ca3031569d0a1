package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitOK       = 0
	exitViolated = 1
	exitError    = 2
)

// runTimeout limits the scenario of one deployment.
const runTimeout = 5 * time.Minute

func main() {
	bin := flag.String("bin", "bin", "`folder` with the programs")
	examples := flag.String("examples", "examples", "`folder` with the deployments")
	names := flag.String("deployments", "hollow-creek,casco-limpio", "deployments to run, separated by commas")
	instances := flag.Int("instances", 3, "number of peridotd processes")
	logs := flag.String("logs", "", "`folder` for the processes' logs; a temporary one by default")
	keep := flag.Bool("keep", false, "start the first deployment, print how to try it, and run until interrupted")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code, err := run(ctx, options{*bin, *examples, strings.Split(*names, ","), *instances, *logs, *keep})
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "demo: %v\n", err)
	}
	os.Exit(code)
}

type options struct {
	bin, examples string
	deployments   []string
	instances     int
	logs          string
	keep          bool
}

func run(ctx context.Context, o options) (int, error) {
	code := exitOK
	for _, name := range o.deployments {
		violations, err := runDeployment(ctx, o, name)
		if err != nil {
			return exitError, err
		}
		if violations > 0 {
			code = exitViolated
		}
		if o.keep {
			break
		}
	}
	return code, nil
}

// runDeployment runs one deployment and returns the number of violations found.
func runDeployment(ctx context.Context, o options, name string) (violations int, err error) {
	d, err := startDeployment(ctx, o, name)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, d.stop()) }()
	if o.keep {
		d.printUsage()
		<-ctx.Done()
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	s := newScenario(d)
	if err := s.run(ctx); err != nil {
		return 0, fmt.Errorf("%s: %w (logs in %s)", name, err, d.logs)
	}
	s.printSummary(ctx)
	return len(s.violations), nil
}
