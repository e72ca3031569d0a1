package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// burstEnds plays the case of a large job whose tasks take equally long: a minion has more than 500 ends to list at once.
func burstEnds(c *cluster, trouble bool) error {
	const (
		tasks    = 2000
		parts    = 10 // jobs, without the burst
		partGap  = 500 * time.Millisecond
		long     = "5c0e7a21d94b36f9"
		template = `{"spec":"(text)","steps":[{"count":%d,"cpu":30,"mem_mb":120,"estimate_ms":1000}]}`
		// busyAfter is how long after the traffic machines may still count as pressed.
		busyAfter = 5 * time.Second
	)
	outcome := func(task string, _ int64) (time.Duration, string) {
		if task == taskName(long, 0) {
			return 40 * time.Second, "done"
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return time.Second + time.Duration(h.Sum32()%100)*time.Millisecond, "done"
	}
	if err := c.addMinions(3, outcome); err != nil {
		return err
	}
	if err := c.startMachines(3); err != nil {
		return err
	}
	if !c.submit(prefixes[2], long, `{"spec":"(text)","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":40000}]}`) {
		return errors.New("a job wasn't accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		c.rec.say("a job of %d tasks comes at once", tasks)
		if !c.submit(prefixes[2], "5c0e7a21d94b36f8", fmt.Sprintf(template, tasks)) {
			return errors.New("a job wasn't accepted")
		}
	} else {
		for i := range parts {
			if !c.submit(prefixes[2], fmt.Sprintf("5c0e7a21d94b00%02x", i), fmt.Sprintf(template, tasks/parts)) {
				return errors.New("a job wasn't accepted")
			}
			time.Sleep(partGap)
		}
	}
	calmFrom := time.Now().Add(busyAfter + contact)
	time.Sleep(25 * time.Second)
	return judgeTwice(c, calmFrom)
}
