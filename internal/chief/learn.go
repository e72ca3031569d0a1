package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/work"
)

const (
	// learnedFrom is the number of runs after which a queue's own record replaces the estimates of its jobs.
	learnedFrom = 5
	learnRate   = 0.1
)

// history is what the runs of a queue have taken.
type history struct {
	runs int
	mean time.Duration
}

// learn notes the time of a run that has ended done, if it did all of the work at its usual speed.
func (c *Chief) learn(u *unit, r *run) {
	if r.saved != "" && !r.fresh || u.step.SameRack && r.group != nil && !r.group.within(r.worker.info.Rack()) {
		return
	}
	if near := u.step.DataRack; near != "" && r.worker.info.Rack() != near {
		return
	}
	h := c.history[u.job.spec.Queue]
	if h == nil {
		h = &history{}
		c.history[u.job.spec.Queue] = h
	}
	took := r.age(c.Now())
	h.runs++
	rate := max(learnRate, 1/float64(h.runs))
	h.mean += time.Duration(rate * float64(took-h.mean))
}

// estimate returns how long a task of a unit takes near its data on a sound worker.
func (c *Chief) estimate(u *unit) time.Duration {
	if h := c.history[u.job.spec.Queue]; h != nil && h.runs >= learnedFrom {
		return h.mean
	}
	return u.step.Estimate
}

// within reports whether all members that are left are in one rack.
func (g *group) within(rack work.Label) bool {
	for r := range g.members {
		if r.worker.info.Rack() != rack {
			return false
		}
	}
	return true
}
