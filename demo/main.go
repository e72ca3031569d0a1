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
	exitKept   = 0
	exitBroken = 1
	exitError  = 2
)

// runTimeout bounds the story of one deployment.
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
	code := exitKept
	for _, name := range o.deployments {
		broken, err := runOne(ctx, o, name)
		if err != nil {
			return exitError, err
		}
		if broken > 0 {
			code = exitBroken
		}
		if o.keep {
			break
		}
	}
	return code, nil
}

// runOne runs one deployment and returns how many promises it saw broken.
func runOne(ctx context.Context, o options, name string) (broken int, err error) {
	d, err := deploy(ctx, o, name)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, d.stop()) }()
	if o.keep {
		d.describe()
		<-ctx.Done()
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	s := newStory(d)
	if err := s.run(ctx); err != nil {
		return 0, fmt.Errorf("%s: %w (logs in %s)", name, err, d.logs)
	}
	s.summary(ctx)
	return len(s.broken), nil
}
