package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// manyEnds plays the case of a change of the leader: the leader's machine loses power while a minion has more than 500 ends to list.
func manyEnds(c *cluster, trouble bool) error {
	const (
		tasks = 1000
		job   = "5c0e7a21d94b36f8"
		long  = "5c0e7a21d94b36f9"
		dark  = 3500 * time.Millisecond
	)
	// Tasks of the wide job take 0.8 to 1.8 s, that of the other one takes 40 s.
	outcome := func(task string, _ int64) (time.Duration, string) {
		if task == taskName(long, 0) {
			return 40 * time.Second, "done"
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return 800*time.Millisecond + time.Duration(h.Sum32()%1000)*time.Millisecond, "done"
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
	if !c.submit(prefixes[2], job, fmt.Sprintf(`{"spec":"(text)","steps":[{"count":%d,"cpu":60,"mem_mb":200,"estimate_ms":1500}]}`, tasks)) {
		return errors.New("a job wasn't accepted")
	}
	began := time.Now()
	for countStarts(c) < tasks+1 && time.Since(began) < 2*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	struck := time.Now()
	c.rec.say("%d tasks have started", countStarts(c))
	if trouble {
		leader := c.leader()
		c.rec.say("%s, which leads, loses power for %v", leader.name, dark)
		leader.powerOff(dark)
	}
	time.Sleep(25 * time.Second)
	calmFrom := struck
	if trouble {
		calmFrom = struck.Add(dark + contact)
	}
	return judgeTwice(c, calmFrom)
}

const (
	contact   = 3 * time.Second        // contact_ms
	notedSpan = 100 * time.Millisecond // from the listing of an end, in calm, until it counts as taken note of
)

func countStarts(c *cluster) int {
	count := 0
	for _, m := range c.minions {
		started, _, _ := m.copies()
		count += len(started)
	}
	return count
}

// judgeTwice checks the first sentence of TWICE: no start of a task after a run of it has ended done, if that end is taken note of:
// last_seen reaches it, or a minion has listed it in calm and 100 ms have passed.
func judgeTwice(c *cluster, calmFrom time.Time) error {
	type done struct {
		at   time.Time
		run  int64
		note string
	}
	first := map[string]done{}
	doneRuns := map[string]int{}
	for _, m := range c.minions {
		_, ends, listings := m.copies()
		for _, e := range ends {
			if e.how != "done" {
				continue
			}
			doneRuns[e.task]++
			note := ""
			for _, l := range listings {
				if l.seen >= e.n {
					note = "last_seen reached it"
				}
				if note == "" && l.at.After(calmFrom) && time.Since(l.at) > notedSpan && l.first <= e.n && e.n <= l.last {
					note = "listed in calm"
				}
			}
			if old, found := first[e.task]; !found || e.at.Before(old.at) {
				first[e.task] = done{e.at, e.run, note}
			}
		}
	}
	again, noted, shown := 0, 0, 0
	for _, m := range c.minions {
		started, _, _ := m.copies()
		for _, s := range started {
			d, found := first[s.task]
			if !found || !s.at.After(d.at) {
				continue
			}
			again++
			if d.note != "" {
				noted++
			}
			if shown++; shown <= 3 {
				c.rec.say("%s: run %d ended done at %.3f (%s); run %d started on %s at %.3f", s.task, d.run,
					d.at.Sub(c.rec.start).Seconds(), d.note, s.run, m.id, s.at.Sub(c.rec.start).Seconds())
			}
		}
	}
	twice, most := 0, 0
	for _, n := range doneRuns {
		if n > 1 {
			twice++
		}
		most = max(most, n)
	}
	c.rec.say("%d starts after a run had ended done, %d of them after an end that counts as taken note of; %d tasks were done more than "+
		"once, one of them %d times", again, noted, twice, most)
	if noted > 0 {
		return fmt.Errorf("TWICE: %w", errBroken)
	}
	return nil
}
