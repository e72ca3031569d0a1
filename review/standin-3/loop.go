package main

import (
	"fmt"
	"time"
)

// reclaimBound is reclaim_ms, within which work within a guarantee begins.
const reclaimBound = 3400 * time.Millisecond

// playCrash: the tasks of one tenant's job that lasts fail soon after each start; meanwhile another tenant hands in gangs within its guarantee,
// one after the other, until one doesn't begin in time.
func playCrash(s *scene) ([]string, error) {
	const service, width, checks = "00000000000000a1", 16, 6
	fails, tasks := time.Duration(envInt("FAIL_MS", 500))*time.Millisecond, envInt("TASKS", 16)
	s.fleet.outcome = func(_ string, _ int64, spec string) (time.Duration, string) {
		switch {
		case word(spec, "fails") == 0:
			return time.Duration(word(spec, "work")) * time.Millisecond, "done"
		case s.trouble:
			return fails, "failed"
		}
		return 0, ""
	}
	s.store.put("op/config", []byte(config))
	if err := s.addMinions(4, 2); err != nil {
		return nil, err
	}
	if err := s.addNodes(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	task, spec := step(tasks, 4000, 8000, 1, 0, true)
	if !s.caller.submit("/tally/", service, "key-board-1", job(task, spec+" fails=1")) {
		return nil, fmt.Errorf("the job that lasts was not accepted")
	}
	time.Sleep(3 * time.Second)
	task, spec = step(width, 2600, 7500, 1, 1500, false)
	task["gang"] = true
	var broken []string
	for i := 0; i < checks && len(broken) == 0; i++ {
		check := fmt.Sprintf("%016x", 0xb01+i)
		if !s.caller.submit("/check/", check, "key-judges-1", job(task, spec)) {
			return nil, fmt.Errorf("a check was not accepted")
		}
		accepted := time.Now()
		s.rec.add("check %s is accepted: a gang of %d tasks of 1 GPU, of 16 that are guaranteed", check, width)
		for s.fleet.startsOf(check) < width && time.Since(accepted) < reclaimBound {
			time.Sleep(20 * time.Millisecond)
		}
		begun := s.fleet.startsOf(check)
		s.rec.add("%.2f s after the acknowledgement %d of %d tasks have begun", time.Since(accepted).Seconds(), begun, width)
		if begun == width {
			time.Sleep(2500 * time.Millisecond) // It ends.
			continue
		}
		broken = append(broken, s.rec.add("BROKEN RECLAIM: %d of %d tasks of %s have begun %.1f s after the acknowledgement", begun, width, check, reclaimBound.Seconds()))
		s.awaitCheck(check, service, accepted, width)
	}
	return append(broken, s.fleet.brokenNow()...), nil
}

// awaitCheck waits for a check that is late, and cancels the job that lasts if it doesn't begin.
func (s *scene) awaitCheck(check, service string, accepted time.Time, width int) {
	for s.fleet.startsOf(check) < width && time.Since(accepted) < 40*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	s.rec.add("%.1f s after the acknowledgement %d of %d tasks have begun; the state is %s", time.Since(accepted).Seconds(),
		s.fleet.startsOf(check), width, s.caller.state("/check/", check, "key-judges-1"))
	s.caller.try("DELETE", "/tally/"+service, "key-board-1", nil)
	cancelled := time.Now()
	for s.fleet.startsOf(check) < width && time.Since(cancelled) < 26*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	s.rec.add("%.1f s after the job that lasts was cancelled %d of %d tasks have begun", time.Since(cancelled).Seconds(), s.fleet.startsOf(check), width)
}
