// Command standin plays the cases of the review: it starts the system's processes on loopback beside stand-ins of the platform's store,
// the minions and the clients, and judges what these see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule was broken") //nolint:gochecknoglobals // constant

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	cases := map[string]func(*cluster, bool) error{
		"many-ends": manyEnds, "huge-job": hugeJob, "late-starts": lateStarts, "failing-tasks": failingTasks, "late-submit": lateSubmit, "long-tasks": longTasks, "lost-rack": lostRack, "burst-ends": burstEnds,
	}
	play, found := cases[*name]
	if !found {
		fmt.Println("no such case:", *name)
		os.Exit(2)
	}
	os.Exit(runCase(play, *recordPath, os.Getenv("TROUBLE") != "0"))
}

// stopOnSignal ends all processes when the case itself is stopped.
func stopOnSignal(c *cluster) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	c.stop()
	os.Exit(2)
}

func runCase(play func(*cluster, bool) error, recordPath string, trouble bool) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	c, err := newCluster(rec, dir)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer c.stop()
	go stopOnSignal(c)
	rec.say("disruption: %t", trouble)
	err = play(c, trouble)
	switch {
	case errors.Is(err, errBroken):
		rec.say("result: %v", err)
		return 1
	case err != nil:
		rec.say("the case couldn't run: %v", err)
		return 2
	}
	rec.say("result: the rule held")
	return 0
}
