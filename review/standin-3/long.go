package main

import (
	"fmt"
	"time"
)

// playLong: a large job of one tenant has long tasks and no estimate; another tenant hands in a gang within its guarantee.
func playLong(s *scene) ([]string, error) {
	const long, check, width = "00000000000000a1", "00000000000000b1", 16
	tasks, work := envInt("TASKS", 32), envInt("WORK_MS", 300_000)
	s.fleet.outcome = func(_ string, _ int64, spec string) (time.Duration, string) {
		return time.Duration(word(spec, "work")) * time.Millisecond, "done"
	}
	s.store.put("op/config", []byte(config))
	if err := s.addMinions(4, 2); err != nil {
		return nil, err
	}
	if err := s.addNodes(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	task, spec := step(tasks, 4000, 8000, 1, work, false)
	if s.trouble {
		delete(task, "estimate_ms")
	}
	if !s.caller.submit("/tally/", long, "key-board-1", job(task, spec)) {
		return nil, fmt.Errorf("the large job was not accepted")
	}
	time.Sleep(3 * time.Second)
	task, spec = step(width, 2600, 7500, 1, 1000, false)
	task["gang"] = true
	if !s.caller.submit("/check/", check, "key-judges-1", job(task, spec)) {
		return nil, fmt.Errorf("the check was not accepted")
	}
	accepted := time.Now()
	s.rec.add("the check is accepted: a gang of %d tasks of 1 GPU, of 16 that are guaranteed", width)
	time.Sleep(reclaimBound)
	var broken []string
	if begun := s.fleet.startsOf(check); begun < width {
		broken = append(broken, s.rec.add("BROKEN RECLAIM: %d of %d tasks have begun %.1f s after the acknowledgement", begun, width, time.Since(accepted).Seconds()))
	}
	for s.fleet.startsOf(check) < width && time.Since(accepted) < 30*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	s.rec.add("%d of %d tasks have begun %.2f s after the acknowledgement", s.fleet.startsOf(check), width, time.Since(accepted).Seconds())
	time.Sleep(30 * time.Second)
	s.fleet.mu.Lock()
	starts := 0
	for _, start := range s.fleet.starts {
		if start.task[:len(long)] == long {
			starts++
		}
	}
	s.fleet.mu.Unlock()
	s.rec.add("the %d tasks of the large job were started %d times", tasks, starts)
	return append(broken, s.fleet.brokenNow()...), nil
}
