package main

import (
	"errors"
	"fmt"
	"time"
)

// lostRack plays the case of a job whose data lies on a rack of an evacuated zone: it waits for that rack, beside idle minions.
func lostRack(c *cluster, trouble bool) error {
	const (
		job   = "5c0e7a21d94b36f8"
		takes = 40 * time.Second
		tasks = 4
	)
	if err := c.addMinions(24, func(string, int64) (time.Duration, string) { return takes, "done" }); err != nil {
		return err
	}
	if err := c.startMachines(3); err != nil {
		return err
	}
	if trouble {
		c.rec.say("zone courthouse is evacuated")
		c.store.put("op/evacuate/courthouse", []byte("{}"))
		time.Sleep(time.Second)
	}
	body := fmt.Sprintf(`{"spec":"(text)","steps":[{"count":%d,"cpu":7500,"mem_mb":39000,"gpu":1,"estimate_ms":%d,"data_rack":"r1-0"}]}`,
		tasks, takes.Milliseconds())
	if !c.submit(prefixes[1], job, body) {
		return errors.New("the job wasn't accepted")
	}
	ended := time.Now()
	c.rec.say("a job with its data on rack r1-0 is accepted; end of the traffic")
	time.Sleep(30 * time.Second)
	return judgeIdle(c, []string{job}, tasks, ended.Add(finish))
}
