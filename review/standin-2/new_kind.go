package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	kindMinions = 48
	kindCrashes = 6 // of kindMinions at once: share 0.125
	kindRounds  = 4
	kindPause   = 3 * time.Second // before each crash
	kindDown    = 3 * time.Second
	kindWork    = 2 * time.Second
	kindTasks   = 30 // of a job
	kindJobs    = 16
)

// newKind lets some minions crash and start again under their ids, at their addresses and as another kind, while more tasks wait for the
// first kind than its minions can run. Each minion registers as soon as it listens.
func newKind(ctx context.Context, opts *options, r *record) error {
	ctx, cancel := context.WithCancel(ctx)
	c, err := newCluster(ctx, opts, r)
	if err != nil {
		cancel()
		return err
	}
	defer c.close()
	defer cancel()
	for i := range kindMinions {
		kind := "a"
		if i%3 == 2 {
			kind = "b"
		}
		if err := c.addMinion(kind, fmt.Sprintf("r%d", i/6)); err != nil {
			return err
		}
	}
	left := slices.DeleteFunc(slices.Clone(c.minions), func(m *minion) bool { return !m.has("a") })
	c.fleet.workOf = func(string) time.Duration { return kindWork }
	c.fleet.onStart = func(m *minion, task string, number int64) {
		if !m.has("a") {
			r.violation("ROUTE: %s run %d, which requires a, starts on %v, %d ms after the start of that life", task, number, m, m.clock())
		}
	}
	if err := c.start(3); err != nil {
		return err
	}
	callers := newClient(c)
	body := fmt.Appendf(nil, `{"spec":"x","steps":[{"count":%d,"cpu":8000,"mem_mb":1000,"gpu":8,"estimate_ms":2000,"requirements":"a"}]}`, kindTasks)
	for range kindJobs {
		callers.submit(body)
	}
	for range kindRounds {
		sleep(ctx, kindPause)
		if !opts.trouble {
			continue
		}
		crashed := left[:kindCrashes]
		left = left[kindCrashes:]
		for _, m := range crashed {
			r.note("crash of %v", m)
			m.crash()
		}
		sleep(ctx, kindDown)
		for _, m := range crashed {
			if err := m.boot("b", m.labels[1]); err != nil {
				return err
			}
			r.note("start of %v", m)
			c.register(m)
		}
	}
	sleep(ctx, 6*time.Second)
	return nil
}
