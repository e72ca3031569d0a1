package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2

	// caseLimit ends a case that takes too long.
	caseLimit = 115 * time.Second
)

// options are the options of all cases.
type options struct {
	daemon  string
	record  string
	trouble bool
}

// runner runs a case. It returns an error if the case couldn't run; broken rules are in the record.
type runner func(ctx context.Context, opts *options, r *record) error

func main() { os.Exit(runCase()) }

func runCase() int {
	var opts options
	flag.StringVar(&opts.daemon, "daemon", "target/peridotd", "program of an instance")
	flag.StringVar(&opts.record, "record", "record.txt", "file for the record")
	flag.BoolVar(&opts.trouble, "trouble", true, "with the disruption")
	flag.Parse()
	cases := map[string]runner{
		"crowd": crowd, "far-time": farTime, "late-cancel": lateCancel, "long-chain": longChain, "new-kind": newKind, "same-id": sameID,
		"schedule": schedule,
	}
	chosen, found := cases[flag.Arg(0)]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitCouldNot
	}
	daemon, err := filepath.Abs(opts.daemon)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	opts.daemon = daemon
	r, err := newRecord(opts.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	err = chosen(ctx, &opts, r)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCouldNot
	case r.violations() > 0:
		fmt.Printf("rule broken, %d times\n", r.violations())
		return exitBroken
	}
	r.note("rule held")
	fmt.Println("rule held")
	return exitHeld
}
