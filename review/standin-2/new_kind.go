package main

import (
	"context"
	"fmt"
	"time"
)

const (
	kindMinions = 48
	kindCrashes = 6 // of kindMinions at once: share 0.125
	kindRounds  = 2
	kindDown    = 3 * time.Second
	kindWork    = 2 * time.Second
	kindTasks   = 30 // of a job
	kindJobs    = 12
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
	kind := func(i int) string { return string(rune('a' + i%2)) }
	for i := range kindMinions {
		if err := c.addMinion(kind(i), fmt.Sprintf("r%d", i/6)); err != nil {
			return err
		}
	}
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
	for round := range kindRounds {
		sleep(ctx, 5*time.Second)
		if !opts.trouble {
			continue
		}
		var crashed []*minion
		for i := range kindCrashes {
			m := c.minions[2*(round*kindCrashes+i)] // Of kind a.
			r.note("crash of %v", m)
			m.crash()
			crashed = append(crashed, m)
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
