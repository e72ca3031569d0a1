package chief

import (
	"cmp"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
)

const (
	// probePause is the least time from the beginning of a quarantine, or its last failed probe, to a probe.
	probePause = 2 * time.Second
	// probeInterval is the time in which the number of probes that run on a worker at once may double. Tasks may also fail after some
	// seconds, so that progress alone does not open a worker whose tasks failed for all jobs that wait.
	probeInterval     = time.Second
	maxProbeDoublings = 10
	// probeTime is how long a probe must have made progress to open a worker whose tasks made none.
	probeTime = time.Second
	// longProbeTime is how long a probe that is not done must have been at work to open a worker whose tasks failed.
	longProbeTime = 4 * time.Second
)

// probes are the runs on a worker that show whether it works again.
type probes struct {
	runs  int           // that have not ended
	since clock.Instant // when the first of them was started
}

// needsProbe reports whether the next run on a worker is to show whether it works again. A worker whose tasks failed gets probes until one
// is done, also after its quarantine: all jobs that wait would lose an attempt at once.
func (w *worker) needsProbe(now clock.Instant) bool { return w.unproven || now < w.quarantinedUntil }

// probeDue reports whether a worker that needs probes may get one more.
func (w *worker) probeDue(now clock.Instant) bool {
	return w.probes.runs == 0 || w.probes.runs < 1<<min(now.Sub(w.probes.since)/probeInterval, maxProbeDoublings)
}

// mayProbe reports whether an avoided worker may get a run of a stalled job. One that is only slow works, so that it may get more.
func (w *worker) mayProbe(now clock.Instant) bool {
	return !w.needsProbe(now) || w.probeDue(now) && now.Sub(w.quarantinedAt) >= probePause
}

// takes reports whether a worker that needs probes may get a task of a stage. One that may be a last attempt is the first probe at most.
func (w *worker) takes(s *stage, now clock.Instant) bool {
	if !w.needsProbe(now) {
		return true
	}
	return w.probeDue(now) && (w.probes.runs == 0 || !s.lastAttempt)
}

// mayProbeWithGang reports whether several members of a stalled gang may be the probe of a worker whose quarantine is over: they fail
// together, at the cost of one attempt, and the gang might never start if it needs the worker for more than one of them.
func (p *planner) mayProbeWithGang(s *stage, w *worker) bool {
	return s.step.Gang && s.ignoresHolds && p.now >= w.quarantinedUntil
}

// beginProbe notes that a run that has just been created is a probe, if its worker needs one. The members of a gang are one probe.
func (w *worker) beginProbe(r *run, now clock.Instant) {
	if !w.needsProbe(now) || w.probedBy(r.gang) {
		return
	}
	r.probe = true
	if w.probes.runs == 0 {
		w.probes.since = now
	}
	w.probes.runs++
}

// probedBy reports whether a member of a gang is a probe of the worker.
func (w *worker) probedBy(g *gang) bool {
	for _, r := range w.runs {
		if g != nil && r.gang == g && r.probe {
			return true
		}
	}
	return false
}

// endProbe notes that a run has ended.
func (w *worker) endProbe(r *run) {
	if r.probe {
		r.probe = false
		w.probes.runs--
	}
}

// readmitIfProven opens a worker whose tasks made no progress once a probe has made some for a time, and one whose tasks failed once a long
// probe has been at work for a time: one that lasts is never done.
func (c *Scheduler) readmitIfProven(w *worker, r *run, now clock.Instant) {
	if !r.probe || r.task == nil {
		return
	}
	needed := probeTime
	if w.unproven {
		needed = longProbeTime
	}
	if now.Sub(r.createdAt) >= needed && (r.rate > minRate || r.task.stage.step.Lasts && w.unproven) {
		c.readmit(w)
	}
}

// readmit ends the quarantine of a worker that works again.
func (c *Scheduler) readmit(w *worker) {
	for _, r := range w.runs {
		w.endProbe(r)
	}
	w.quarantinedUntil, w.unproven = 0, false
	c.dirty = true
	c.Log.Info().Str("worker", string(w.info.ID)).Msg("chief: worker works again and gets starts")
}

// probeable returns the avoided workers that may run a task of a stage: none unless its job is stalled for too long. One that may still fail
// everything gets neither a last attempt nor a job that others have waited longer than.
func (p *planner) probeable(s *stage) []*worker {
	if !s.ignoresHolds {
		return nil
	}
	mayFail := !s.lastAttempt && p.mayLoseAttempts(s.job)
	var list []*worker
	for _, w := range p.avoided {
		if w.mayProbe(p.now) && (mayFail || p.now >= w.quarantinedUntil) {
			list = append(list, w)
		}
	}
	return list
}

// mayLoseAttempts reports whether a job is among those that probe workers in quarantine in this pass, as many as there are such workers:
// jobs without failures first, and then those that are stalled longest. Hopeless jobs of a higher rank would otherwise take all probes,
// and the failures of their tasks keep the workers closed.
func (p *planner) mayLoseAttempts(j *job) bool {
	if p.probers == nil {
		p.probers = map[*job]bool{}
		for _, prober := range p.jobsByStall()[:p.probesDue()] {
			p.probers[prober] = true
		}
	}
	return p.probers[j]
}

// probesDue returns how many workers in quarantine may get a probe, at most the number of stalled jobs.
func (p *planner) probesDue() int {
	workers, jobs := 0, 0
	for _, w := range p.avoided {
		if p.now < w.quarantinedUntil && w.mayProbe(p.now) {
			workers++
		}
	}
	for _, j := range p.c.liveJobs {
		if j.stall.since != 0 && p.mayUseAvoided(j) {
			jobs++
		}
	}
	return min(workers, jobs)
}

// jobsByStall returns the jobs that have nothing running: those without failures first, and then by how long they are stalled.
func (p *planner) jobsByStall() []*job {
	var list []*job
	for _, j := range p.c.liveJobs {
		if j.stall.since != 0 && p.mayUseAvoided(j) {
			list = append(list, j)
		}
	}
	slices.SortStableFunc(list, func(a, b *job) int {
		if a.hasFailed != b.hasFailed {
			if a.hasFailed {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.stall.since, b.stall.since)
	})
	return list
}

// mayUseAvoided reports whether a job fits and a worker in quarantine has room for a task of it: others would take probes from those that can
// use them.
func (p *planner) mayUseAvoided(j *job) bool {
	for _, s := range j.dueStages(p.now) {
		if p.allRoom(s) < s.placesNeeded() {
			continue
		}
		for _, w := range p.avoided {
			if p.now < w.quarantinedUntil && p.roomOn(s, w, s.step.Resources(), allHolds) > 0 {
				return true
			}
		}
	}
	return false
}
