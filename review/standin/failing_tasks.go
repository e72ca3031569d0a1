package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// failingTasks plays the case of a job that lasts, whose tasks fail once each: none of them is started again for a long time.
func failingTasks(c *cluster, trouble bool) error {
	const (
		minions = 6
		tasks   = 36
		job     = "5c0e7a21d94b36f8"
		due     = 6 * time.Second // after the last run
		idle    = 3 * time.Second
	)
	outcome := func(task string, run int64) (time.Duration, string) {
		if run > 1 || !trouble {
			return 0, ""
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return 5*time.Second + time.Duration(h.Sum32()%6000)*time.Millisecond, "failed"
	}
	if err := c.addMinions(minions, outcome); err != nil {
		return err
	}
	for _, m := range c.minions {
		m.lasts = true
	}
	if err := c.startMachines(3); err != nil {
		return err
	}
	body := fmt.Sprintf(`{"spec":"(text)","steps":[{"count":%d,"cpu":7500,"mem_mb":39000,"gpu":1,"long_running":true}]}`, tasks)
	if !c.submit(prefixes[1], job, body) {
		return errors.New("the job wasn't accepted")
	}
	time.Sleep(45 * time.Second)
	return judgeLasting(c, job, tasks, due, idle)
}

// judgeLasting checks the last sentence of LOST: no task that lasts has no run for idle, from due after its last run, while there is
// capacity for it twice over.
func judgeLasting(c *cluster, job string, tasks int, due, idle time.Duration) error {
	broken := 0
	var longest time.Duration
	for i := range tasks {
		name := taskName(job, i)
		var starts, ends []time.Time
		for _, m := range c.minions {
			started, finished, _ := m.copies()
			for _, s := range started {
				if s.task == name {
					starts = append(starts, s.at)
				}
			}
			for _, e := range finished {
				if e.task == name {
					ends = append(ends, e.at)
				}
			}
		}
		for _, ended := range ends {
			again := time.Now()
			for _, s := range starts {
				if s.After(ended) && s.Before(again) {
					again = s
				}
			}
			gap := again.Sub(ended)
			longest = max(longest, gap)
			if gap > due+idle && freeFor(c, ended.Add(due), ended.Add(due+idle)) >= 2 {
				broken++
			}
		}
	}
	c.rec.say("%d tasks that last had no run for over %v from %v after their last run on, with capacity for two or more; longest gap %.1f s",
		broken, idle, due, longest.Seconds())
	if broken > 0 {
		return fmt.Errorf("LOST: %w", errBroken)
	}
	return nil
}

// freeFor returns how many more tasks of one GPU and 7.5 cores fit, at the least, into the minions between two times.
func freeFor(c *cluster, from, to time.Time) int {
	least := -1
	for at := from; !at.After(to); at = at.Add(100 * time.Millisecond) {
		free := 0
		for _, m := range c.minions {
			started, finished, _ := m.copies()
			running := 0
			for _, s := range started {
				if !s.at.After(at) {
					running++
				}
			}
			for _, e := range finished {
				if !e.at.After(at) {
					running--
				}
			}
			free += min(m.gpu, m.cpu/7500, m.memMB/39000) - running
		}
		if least < 0 || free < least {
			least = free
		}
	}
	return least
}
