package chief

import (
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
)

const (
	rateEvery = 500 * time.Millisecond
	// ratedAfter is the least time between two listings of which the progress counts.
	ratedAfter = 600 * time.Millisecond
	rateFresh  = 2 * time.Second
	// siblings is the least number of tasks of a step of which the median says how fast they should be.
	siblings = 3
	// slowFrom is how many times slower than their siblings the tasks of a slow worker are.
	slowFrom = 3.0
	slowRest = 2 * time.Second
	// slowRounds is how many rounds in a row must agree before tasks are moved away.
	slowRounds = 3
	// moveFactor is how many times longer than a new start the rest of a task must take before it is moved.
	moveFactor = 2
	// leastRate is the progress, in percent a second, that a task which stands still counts with.
	leastRate = 0.5
)

// observeRate notes how fast a task gets on.
func (r *run) observeRate(percent int, now clock.Instant) {
	if r.listed != 0 && now.Sub(r.listed) < ratedAfter {
		return
	}
	if r.listed != 0 {
		r.rate = max(leastRate, float64(percent-r.listedPercent)/now.Sub(r.listed).Seconds())
		r.rated = now
	}
	r.listed, r.listedPercent = now, percent
}

// ratable reports whether a run should be as fast as its siblings.
func (c *Chief) ratable(r *run, now clock.Instant) bool {
	if r.task == nil || r.phase != running || r.rated == 0 || now.Sub(r.rated) > rateFresh || r.percent >= fullPercent {
		return false
	}
	step := r.task.unit.step
	if step.Lasts || step.Fills || r.pace < fullPace || !r.together() {
		return false
	}
	rack := r.worker.info.Rack()
	if step.SameRack && r.group != nil && !r.group.within(rack) {
		return false
	}
	return step.DataRack == "" || step.DataRack == rack
}

// rateWorkers compares tasks with their siblings on other workers, since estimates are too rough to tell a slow worker.
func (c *Chief) rateWorkers(now clock.Instant) {
	if now.Sub(c.rated) < rateEvery {
		return
	}
	c.rated = now
	type sum struct {
		ratios float64
		runs   int
	}
	sums := map[*worker]sum{}
	for _, runs := range c.siblingRuns(now) {
		sort.Slice(runs, func(i, j int) bool { return runs[i].rate < runs[j].rate })
		median := runs[len(runs)/2].rate
		for _, r := range runs {
			s := sums[r.worker]
			sums[r.worker] = sum{s.ratios + median/r.rate, s.runs + 1}
		}
	}
	for w, s := range sums {
		c.judgeSpeed(w, s.ratios/float64(s.runs))
	}
}

// siblingRuns returns the ratable runs of each step that has enough of them on different workers.
func (c *Chief) siblingRuns(now clock.Instant) [][]*run {
	byUnit := map[*unit][]*run{}
	for _, w := range c.workers {
		for _, r := range w.runs {
			if c.ratable(r, now) {
				byUnit[r.task.unit] = append(byUnit[r.task.unit], r)
			}
		}
	}
	var sets [][]*run
	for _, runs := range byUnit {
		places := map[*worker]bool{}
		for _, r := range runs {
			places[r.worker] = true
		}
		if len(runs) >= siblings && len(places) >= siblings {
			sets = append(sets, runs)
		}
	}
	return sets
}

func (c *Chief) judgeSpeed(w *worker, ratio float64) {
	if ratio < slowFrom {
		w.slowSeen = 0
		return
	}
	w.slowSeen++
	c.rest(w, slowRest, "its tasks are slow")
	if w.slowSeen >= slowRounds {
		c.leaveSlow(w)
	}
}

// leaveSlow moves tasks away from a slow worker where a new start ends much sooner: urgent ones, and those that lose little
// because they checkpoint. Workers are mostly slow for a while only, and the work of others would be thrown away for nothing.
func (c *Chief) leaveSlow(w *worker) {
	now := c.Now()
	for _, r := range w.runs {
		if !c.ratable(r, now) || r.task.done || !r.task.unit.step.Checkpoints && c.priority(r.task.unit) != 0 {
			continue
		}
		rest := time.Duration(float64(fullPercent-r.percent) / r.rate * float64(time.Second))
		if rest < moveFactor*c.estimate(r.task.unit) {
			continue
		}
		c.stop(r, "its worker is slow")
		if r.group != nil {
			c.breakGroup(r.group, "a member's worker is slow")
		}
	}
}
