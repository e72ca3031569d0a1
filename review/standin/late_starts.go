package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// lateStarts plays the case of a job that is cancelled while some of its minions are cut off: the orders for them go out after the cut.
func lateStarts(c *cluster, trouble bool) error {
	const (
		minions  = 24
		cutCount = 4 // share 0.17
		cutFor   = 4600 * time.Millisecond
		job      = "5c0e7a21d94b36f8"
		tasks    = 512
		cancelMs = 3 * time.Second
	)
	if err := c.addMinions(minions, func(string, int64) (time.Duration, string) { return 20 * time.Second, "done" }); err != nil {
		return err
	}
	if err := c.startMachines(3); err != nil {
		return err
	}
	if trouble {
		c.rec.say("%d of %d minions are cut off for %v", cutCount, minions, cutFor)
		for _, m := range c.minions[:cutCount] {
			m.setCut(true)
		}
		time.AfterFunc(cutFor, func() {
			c.rec.say("the cut ends")
			for _, m := range c.minions[:cutCount] {
				m.setCut(false)
			}
		})
	}
	body := fmt.Sprintf(`{"spec":"(text)","steps":[{"count":%d,"cpu":500,"mem_mb":256,"estimate_ms":20000}]}`, tasks)
	if !c.submit(prefixes[2], job, body) {
		return errors.New("the job wasn't accepted")
	}
	time.Sleep(500 * time.Millisecond)
	status, _ := c.call(c.leader(), http.MethodDelete, prefixes[2]+job, "")
	acked := time.Now()
	if status != http.StatusOK {
		return errors.New("the job wasn't cancelled")
	}
	c.rec.say("the job is cancelled, acknowledged")
	time.Sleep(15 * time.Second)
	late := 0
	var last time.Duration
	for _, m := range c.minions {
		started, _, _ := m.copies()
		for _, s := range started {
			// The order arrived on a connection that was opened after the bound, so it was also sent then.
			if after := s.sent.Sub(acked); after > cancelMs {
				late++
				last = max(last, after)
			}
		}
	}
	c.rec.say("%d tasks of the job were started later than %v after the acknowledgement, the last one %.2f s after it", late, cancelMs, last.Seconds())
	if late > 0 {
		return fmt.Errorf("UNASKED: %w", errBroken)
	}
	return nil
}
