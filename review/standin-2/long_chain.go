package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	chainSteps   = 40
	chainTraffic = 20 * time.Second
	chainPause   = 500 * time.Millisecond // between two ordinary jobs
)

// longChain hands in one job of many short steps beside ordinary jobs. Each step names all earlier ones in `after`; without the disruption it
// names the one before it, which means the same.
func longChain(ctx context.Context, opts *options, r *record) error {
	ctx, cancel := context.WithCancel(ctx)
	c, err := newCluster(ctx, opts, r)
	if err != nil {
		cancel()
		return err
	}
	defer c.close()
	defer cancel()
	for i := range 12 {
		if err := c.addMinion("a", fmt.Sprintf("r%d", i/6)); err != nil {
			return err
		}
	}
	chain := ""
	c.fleet.workOf = func(task string) time.Duration {
		if chain != "" && strings.HasPrefix(task, chain) {
			return 150 * time.Millisecond
		}
		return time.Second
	}
	if err := c.start(3); err != nil {
		return err
	}
	callers := newClient(c)
	ordinary := []byte(`{"spec":"x","steps":[{"count":2,"cpu":8000,"mem_mb":1000,"gpu":1,"estimate_ms":1000}]}`)
	began, sent := time.Now(), false
	for time.Since(began) < chainTraffic {
		if !sent && time.Since(began) > chainTraffic/4 {
			sent = true
			j := callers.submit(chainJob(opts.trouble))
			c.fleet.mu.Lock()
			chain = j.id
			c.fleet.mu.Unlock()
		}
		callers.submit(ordinary)
		sleep(ctx, chainPause)
	}
	c.checkFinished(callers)
	return nil
}

// chainJob returns the body of the job with many steps.
func chainJob(all bool) []byte {
	var steps []string
	for i := range chainSteps {
		var after []string
		for before := range i {
			if all || before == i-1 {
				after = append(after, fmt.Sprint(before))
			}
		}
		step := `{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":150`
		if len(after) > 0 {
			step += `,"after":[` + strings.Join(after, ",") + "]"
		}
		steps = append(steps, step+"}")
	}
	return []byte(`{"spec":"x","steps":[` + strings.Join(steps, ",") + "]}")
}
