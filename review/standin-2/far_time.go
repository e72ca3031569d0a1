package main

import (
	"context"
	"fmt"
	"time"
)

const (
	farWatch = 15 * time.Second // after the jobs were handed in
	farJobs  = 3
)

// farTime hands in scheduled jobs that are due at the end of the year 9999, a usual mark for "not before further notice"; without the
// disruption they are due in an hour.
func farTime(ctx context.Context, opts *options, r *record) error {
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
	due := time.Now().Add(time.Hour)
	if opts.trouble {
		due = time.Date(9999, time.December, 31, 23, 59, 59, 0, time.UTC)
	}
	c.fleet.onStart = func(m *minion, task string, number int64) {
		r.violation("ORDER: %s run %d starts on %s, though it is due at %s", task, number, m.id, due.UTC().Format(time.RFC3339))
	}
	if err := c.start(3); err != nil {
		return err
	}
	callers := newClient(c)
	for range farJobs {
		callers.submit(fmt.Appendf(nil, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":1000}],"start_at_ms":%d,`+
			`"interval_ms":60000,"repetitions":2}`, due.UnixMilli()))
	}
	sleep(ctx, farWatch)
	return nil
}
