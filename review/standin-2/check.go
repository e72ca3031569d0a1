package main

import (
	"fmt"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	finishTime = 14 * time.Second // bounds.finish_s
	standTime  = 3 * time.Second  // that an accepted job may have nothing running beside room, by the rule LOST
)

// start starts a small deployment with a configuration of one queue.
func (c *cluster) start(nodes int) error {
	c.store.Put(fakepl.ConfigKey, fakepl.Config(1, 1))
	return c.startNodes(nodes)
}

// checkFinished asks for all accepted jobs finishTime after the end of the traffic, and reports those that aren't known, get no answer, or
// have had nothing running for standTime while no more than a few minions are in use. The jobs have no task that waits for a time.
func (c *cluster) checkFinished(callers *client) {
	sleep(c.ctx, finishTime)
	type open struct {
		job   *job
		state string
	}
	var waiting []open
	for _, j := range callers.jobs {
		if !j.accepted {
			continue
		}
		state := callers.state(j.id)
		switch state {
		case "completed", "failed", "cancelled":
		case "gone":
			c.record.violation("LOST: job %s was accepted and isn't known", j.id)
		case "":
			c.record.violation("LOST: job %s was accepted, and its state gets no answer", j.id)
		default:
			waiting = append(waiting, open{j, state})
		}
	}
	sleep(c.ctx, standTime+500*time.Millisecond)
	for _, w := range waiting {
		last, stood := c.fleet.runningSince(w.job.id), "since its acceptance"
		if last.IsZero() {
			last = w.job.acceptAt
		} else {
			stood = "since its last run"
		}
		state := callers.state(w.job.id)
		if stands := time.Since(last); state != "completed" && stands > standTime {
			c.record.violation("LOST: job %s (%s) has nothing running for %.1f s, %s; %s", w.job.id, state, stands.Seconds(), stood, c.use())
		}
	}
}

// use tells how many of the minions run anything.
func (c *cluster) use() string {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	up, busy := 0, 0
	for _, m := range c.minions {
		if m.up {
			up++
			if len(m.runs) > 0 {
				busy++
			}
		}
	}
	return fmt.Sprintf("%d of %d minions run anything", busy, up)
}
