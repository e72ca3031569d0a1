package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// longTasks plays the case of a job whose tasks take minutes, in a queue whose other tasks take seconds.
func longTasks(c *cluster, trouble bool) error {
	const (
		short      = 2500 * time.Millisecond
		long       = 300 * time.Second
		shortJobs  = 20 // the long one is less than a twentieth of the jobs
		job        = "5c0e7a21d94b36f8"
		tasks      = 48
		watched    = 75 * time.Second
		shortTasks = `{"spec":"(text)","steps":[{"count":3,"cpu":7500,"mem_mb":39000,"gpu":1,"estimate_ms":2500}]}`
	)
	takes := short
	if trouble {
		takes = long
	}
	outcome := func(task string, _ int64) (time.Duration, string) {
		if strings.HasPrefix(task, job) {
			return takes, "done"
		}
		return short, "done"
	}
	if err := c.addMinions(6, outcome); err != nil {
		return err
	}
	if err := c.startMachines(3); err != nil {
		return err
	}
	for i := range shortJobs {
		if !c.submit(prefixes[1], fmt.Sprintf("5c0e7a21d94b%04x", i), shortTasks) {
			return errors.New("a job wasn't accepted")
		}
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(short)
	body := fmt.Sprintf(`{"spec":"(text)","steps":[{"count":%d,"cpu":7500,"mem_mb":39000,"gpu":1,"estimate_ms":%d}]}`, tasks, takes.Milliseconds())
	if !c.submit(prefixes[1], job, body) {
		return errors.New("the job wasn't accepted")
	}
	ended := time.Now()
	c.rec.say("a job of %d tasks of %v each is accepted, with the right estimate; end of the traffic", tasks, takes)
	time.Sleep(watched)
	return judgeProgress(c, job, tasks, ended.Add(finish))
}

// judgeProgress checks a sentence of LOST for one job of one step: from finish_s after the end of the traffic on, it never has nothing
// running for 3 s while it has tasks to run and all minions are idle.
func judgeProgress(c *cluster, job string, tasks int, from time.Time) error {
	var longest time.Duration
	var idleSince time.Time
	gaps, most := 0, 0
	runs := map[string]int{}
	for _, m := range c.minions {
		started, _, _ := m.copies()
		for _, s := range started {
			if jobOf(s.task) == job {
				runs[s.task]++
				most = max(most, runs[s.task])
			}
		}
	}
	for at := from; at.Before(time.Now()); at = at.Add(50 * time.Millisecond) {
		running, done := stateAt(c, job, at)
		switch {
		case running > 0 || done == tasks:
			if !idleSince.IsZero() && at.Sub(idleSince) > idleSpan {
				gaps++
			}
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = at
		default:
			longest = max(longest, at.Sub(idleSince))
		}
	}
	_, done := stateAt(c, job, time.Now())
	c.rec.say("from %v after the traffic on, the job had tasks to run and nothing running in %d spans of over %v, %.1f s at the longest, with "+
		"all minions idle; %d of %d tasks are done, a task was started %d times at the most", finish, gaps, idleSpan, longest.Seconds(), done,
		tasks, most)
	if longest > idleSpan {
		return fmt.Errorf("LOST: %w", errBroken)
	}
	return nil
}

// stateAt returns how many tasks ran on all minions at a time, and how many of a job's tasks had ended done.
func stateAt(c *cluster, job string, at time.Time) (running, done int) {
	for _, m := range c.minions {
		started, finished, _ := m.copies()
		for _, s := range started {
			if !s.at.After(at) {
				running++
			}
		}
		for _, e := range finished {
			if !e.at.After(at) {
				running--
				if e.how == "done" && jobOf(e.task) == job {
					done++
				}
			}
		}
	}
	return running, done
}
