package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// hugeJob plays the case of a malformed job: the sum of its numbers of tasks doesn't fit into 64 bits.
func hugeJob(c *cluster, trouble bool) error {
	const (
		normalJobs = 24 // the malformed one is less than a twentieth of the jobs
		taskCount  = 4
	)
	if err := c.addMinions(6, func(string, int64) (time.Duration, string) { return 2 * time.Second, "done" }); err != nil {
		return err
	}
	if err := c.startMachines(4); err != nil {
		return err
	}
	submitSmall := func(i int) (string, bool) {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		return id, c.submit(prefixes[1], id, fmt.Sprintf(`{"spec":"(text)","steps":[{"count":%d,"cpu":500,"mem_mb":256,"estimate_ms":2000}]}`, taskCount))
	}
	var accepted []string
	for i := range normalJobs {
		if i == normalJobs/2 && trouble {
			status, text := c.call(c.other(), http.MethodPost, prefixes[2]+"00c0ffee00c0ffee",
				`{"spec":"(text)","steps":[{"count":4611686018427387904,"cpu":500},{"count":4611686018427387904,"cpu":500}]}`)
			c.rec.say("a job of twice 2^62 tasks is handed in; answer %d %s", status, text)
		}
		if id, ok := submitSmall(i); ok {
			accepted = append(accepted, id)
		}
		time.Sleep(150 * time.Millisecond)
	}
	c.rec.say("%d of %d small jobs were accepted; end of the traffic", len(accepted), normalJobs)
	ended := time.Now()
	time.Sleep(30 * time.Second)
	return judgeIdle(c, accepted, taskCount, ended.Add(finish))
}

const (
	finish   = 14 * time.Second // finish_s, from the end of the traffic until jobs are asked for
	idleSpan = 3 * time.Second  // for which a job may have nothing running
)

// judgeIdle checks a sentence of LOST for jobs of one step, whose turn has come with their acceptance: finish_s after the end of the
// traffic no job has nothing running for 3 s, while there is capacity for it twice over and under half of the capacity is in use.
func judgeIdle(c *cluster, jobs []string, tasks int, from time.Time) error {
	until := from.Add(idleSpan)
	inUse := 0
	active := map[string]bool{} // jobs with a run between the two times
	doneBefore := map[string]int{}
	for _, m := range c.minions {
		started, finished, _ := m.copies()
		for _, s := range started {
			endedAt := time.Now()
			for _, e := range finished {
				if e.task == s.task && e.run == s.run {
					endedAt = e.at
					if e.how == "done" && e.at.Before(from) {
						doneBefore[jobOf(e.task)]++
					}
				}
			}
			if s.at.Before(until) && endedAt.After(from) {
				active[jobOf(s.task)] = true
				inUse++
			}
		}
	}
	idle := 0
	for _, job := range jobs {
		if !active[job] && doneBefore[job] < tasks {
			idle++
		}
	}
	ends := 0
	for _, m := range c.machines {
		ends += len(m.ends())
		c.rec.say("%s: its process ended %d times by itself", m.name, len(m.ends()))
	}
	for _, job := range jobs {
		for _, m := range c.machines {
			if status, text := c.call(m, http.MethodGet, prefixes[1]+job, ""); status == http.StatusOK {
				c.rec.add("job %s is shown as %s", job, strings.TrimSpace(text))
				break
			}
		}
	}
	c.rec.say("from %v to %v after the traffic, %d of %d accepted jobs had tasks to run and nothing running; runs in the whole service: %d, "+
		"with room for over %d", finish, finish+idleSpan, idle, len(jobs), inUse, len(c.minions)*minRoom)
	if idle > 0 && inUse < len(c.minions)*minRoom/2 {
		return fmt.Errorf("LOST: %w", errBroken)
	}
	return nil
}

// minRoom is fewer than the tasks of the jobs in question that fit into one minion.
const minRoom = 8

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
