package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	standBound   = 3 * time.Second // for which work that is due may have nothing running beside room for it twice over
	lastingGrace = 6 * time.Second // after the last run of a task that lasts
	standCheck   = 50 * time.Millisecond
)

// watched is a job of one step whose tasks are watched for standing.
type watched struct {
	id       string
	tasks    int
	need     need
	lasts    bool
	accepted time.Time

	ended    bool              // it was cancelled, or its state is final
	standing map[int]time.Time // by task, or at -1 for the job: since when it stands beside room
	lastRun  map[int]time.Time // by task, when it last ran
	reported map[int]bool
}

// standingJobs watches jobs.
type standingJobs struct {
	fleet *fleet
	jobs  []*watched // guarded by the fleet's mutex
	// longest is the longest time that a job, or a task that lasts, stood beside room.
	longest time.Duration
}

func (s *standingJobs) add(id string, tasks int, n need, lasts bool) *watched {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	w := &watched{id: id, tasks: tasks, need: n, lasts: lasts, accepted: time.Now(), standing: map[int]time.Time{}, lastRun: map[int]time.Time{}, reported: map[int]bool{}}
	s.jobs = append(s.jobs, w)
	return w
}

// run checks the jobs until done is closed.
func (s *standingJobs) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(standCheck):
			s.check(time.Now())
		}
	}
}

// check looks at all jobs once.
func (s *standingJobs) check(now time.Time) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	running, finished := map[string]map[int]bool{}, map[string]map[int]bool{}
	mark := func(of map[string]map[int]bool, task string) {
		parts := strings.Split(task, ".")
		if of[parts[0]] == nil {
			of[parts[0]] = map[int]bool{}
		}
		of[parts[0]][int(number(parts[3]))] = true
	}
	for _, m := range s.fleet.minions {
		for _, r := range m.runs {
			mark(running, r.task)
		}
	}
	for _, d := range s.fleet.dones {
		mark(finished, d.task)
	}
	for _, w := range s.jobs {
		if w.ended || !w.lasts && len(finished[w.id]) == w.tasks {
			continue
		}
		room := s.fleet.room(w.need) >= 2
		if !w.lasts {
			s.note(w, -1, room && len(running[w.id]) == 0, now)
			continue
		}
		for i := range w.tasks {
			if running[w.id][i] {
				w.lastRun[i] = now
			}
			last := w.accepted
			if at, ran := w.lastRun[i]; ran {
				last = at.Add(lastingGrace)
			}
			s.note(w, i, room && !running[w.id][i] && now.After(last), now)
		}
	}
}

// note notes whether a task, or the job at -1, stands beside room.
func (s *standingJobs) note(w *watched, index int, stands bool, now time.Time) {
	if !stands {
		delete(w.standing, index)
		return
	}
	since, before := w.standing[index]
	if !before {
		w.standing[index] = now
		return
	}
	s.longest = max(s.longest, now.Sub(since))
	if now.Sub(since) >= standBound && !w.reported[index] {
		w.reported[index] = true
		what := "job " + w.id
		if index >= 0 {
			what = fmt.Sprintf("task %d of job %s", index, w.id)
		}
		s.fleet.breaks("LOST: %s has had nothing running for %.1f s beside room for %d of its tasks", what, now.Sub(since).Seconds(), s.fleet.room(w.need))
	}
}

// room returns how many tasks fit into what is free on the minions that are up; the fleet's mutex is held.
func (f *fleet) room(n need) int {
	total := 0
	for _, m := range f.minions {
		if m.server == nil {
			continue
		}
		cpu, memMB, gpu := m.cpu, m.memMB, m.gpu
		for _, r := range m.runs {
			cpu, memMB, gpu = cpu-r.need.cpu, memMB-r.need.memMB, gpu-r.need.gpu
		}
		fits := 1000
		if n.cpu > 0 {
			fits = min(fits, cpu/n.cpu)
		}
		if n.memMB > 0 {
			fits = min(fits, memMB/n.memMB)
		}
		if n.gpu > 0 {
			fits = min(fits, gpu/n.gpu)
		}
		total += max(0, fits)
	}
	return total
}
