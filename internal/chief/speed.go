package chief

import (
	"maps"
	"math"
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/speed"
)

const (
	speedCompareInterval = 500 * time.Millisecond
	// correctionsInterval is the least time between two reports of the corrections of estimates: there may be hundreds of kinds.
	correctionsInterval = 5 * time.Second
	// minSampleInterval is the least time between two progress samples of a run.
	minSampleInterval = 600 * time.Millisecond
	rateMaxAge        = 2 * time.Second // of a rate that is compared
	// minMeasured is the progress, in percent, over which the rate of a run is measured before a speed is learned from it.
	minMeasured = 10
	// minSiblings is the least number of runs of a stage, and of their workers, whose median rate is meaningful.
	minSiblings = 3
	// slowRatio is how many times slower than the median of their stage the runs of a slow worker are.
	slowRatio      = 3.0
	slowQuarantine = 2 * time.Second
	// slowRoundsToMove is the number of consecutive comparisons that must find a worker slow before tasks are moved off it.
	slowRoundsToMove = 3
	// minMoveGain is the least ratio of a run's remaining time to the time of a new run for which it is moved.
	minMoveGain = 2
	// minRate is the lowest rate that a run counts with, in percent per second.
	minRate = 0.5
	// speedLogChange is the least change of the logarithm of a worker's speed that is logged.
	speedLogChange = 0.3
	// slowSpeed and fastSpeed are the speeds below and above which a worker counts as slow or fast in the metrics.
	slowSpeed = 0.8
	fastSpeed = 1.25
)

// updateRate updates the progress rate of a run from a new sample.
func (r *run) updateRate(percent int, now clock.Instant) {
	if r.sampledAt != 0 && now.Sub(r.sampledAt) < minSampleInterval {
		return
	}
	if r.sampledAt != 0 {
		r.rate = max(minRate, float64(percent-r.sampledPercent)/now.Sub(r.sampledAt).Seconds())
		r.ratedAt = now
	}
	r.sampledAt, r.sampledPercent = now, percent
	if r.measuredFrom == 0 {
		r.measuredFrom, r.measuredPercent = now, percent
	}
}

// measuredRate returns the part of its work that a run has done in a second since it was first listed; 0 while that is too little to tell.
func (r *run) measuredRate() float64 {
	measured := r.sampledPercent - r.measuredPercent
	if r.measuredFrom == 0 || measured < minMeasured {
		return 0
	}
	return float64(measured) / fullPercent / r.sampledAt.Sub(r.measuredFrom).Seconds()
}

// usualRate returns the rate that a run would have on a usual worker, by what was known of its own when the run was created: a worker that
// is always slow isn't sick, and one that turns slow is.
func (r *run) usualRate() float64 {
	if r.expectedSpeed == 0 {
		return r.rate
	}
	return r.rate / r.expectedSpeed
}

// isComparable reports whether a run should progress as fast as the other runs of its stage.
func (c *Scheduler) isComparable(r *run, now clock.Instant) bool {
	if r.task == nil || r.phase != running || r.ratedAt == 0 || now.Sub(r.ratedAt) > rateMaxAge || r.percent >= fullPercent {
		return false
	}
	step := r.task.stage.step
	if step.Lasts || step.Fills || r.pace < fullPace || !r.gangRunning() {
		return false
	}
	rack := r.worker.info.Rack()
	if step.SameRack && r.gang != nil && r.gang.spread {
		return false
	}
	return step.DataRack == "" || step.DataRack == rack
}

// compareSpeeds compares runs with those of the same stage on other workers: estimates are too rough to detect a slow worker.
func (c *Scheduler) compareSpeeds(now clock.Instant) {
	if now.Sub(c.speedsComparedAt) < speedCompareInterval {
		return
	}
	c.speedsComparedAt = now
	type sum struct {
		ratios float64
		runs   int
	}
	sums := map[*worker]sum{}
	siblings := c.siblingRuns(now)
	for _, runs := range siblings {
		if !enoughSiblings(runs) {
			continue
		}
		sort.Slice(runs, func(i, j int) bool { return runs[i].usualRate() < runs[j].usualRate() })
		median := runs[len(runs)/2].usualRate()
		for _, r := range runs {
			s := sums[r.worker]
			sums[r.worker] = sum{s.ratios + median/r.usualRate(), s.runs + 1}
		}
	}
	for w, s := range sums {
		c.judgeSpeed(w, s.ratios/float64(s.runs))
	}
	for _, runs := range siblings {
		c.learnSpeeds(runs, now)
	}
	c.updateSpeeds(now)
}

// siblingRuns returns the comparable runs of each stage that has more than one.
func (c *Scheduler) siblingRuns(now clock.Instant) map[*stage][]*run {
	byStage := map[*stage][]*run{}
	for _, w := range c.workers {
		for _, r := range w.runs {
			if c.isComparable(r, now) {
				byStage[r.task.stage] = append(byStage[r.task.stage], r)
			}
		}
	}
	maps.DeleteFunc(byStage, func(_ *stage, runs []*run) bool { return len(runs) < 2 })
	return byStage
}

// enoughSiblings reports whether the runs of a stage, and their workers, are enough for a meaningful median.
func enoughSiblings(runs []*run) bool {
	if len(runs) < minSiblings {
		return false
	}
	places := map[*worker]bool{}
	for _, r := range runs {
		places[r.worker] = true
	}
	return len(places) >= minSiblings
}

// learnSpeeds learns the speeds of workers from runs of one stage, once from each run. Those on a worker that counts as sick tell nothing of
// its usual speed: it would be judged by them, and count as sound while it is still sick.
func (c *Scheduler) learnSpeeds(runs []*run, now clock.Instant) {
	var measured []speed.Progress
	var fresh []*run
	for _, r := range runs {
		rate := r.measuredRate()
		if rate <= 0 || now < r.worker.slowUntil {
			continue
		}
		measured = append(measured, speed.Progress{Worker: r.worker.info.ID, Born: r.worker.born, Rate: rate, Counted: r.compared})
		if !r.compared {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) == 0 || !c.speeds.Compare(time.Duration(now), measured, runs[0].task.stage.step.Gang) {
		return
	}
	for _, r := range fresh {
		r.compared = true
	}
}

// updateSpeeds notes the speed of each worker, logs those that have become known or have changed, and reports how they are spread.
func (c *Scheduler) updateSpeeds(now clock.Instant) {
	c.speeds.Settle(time.Duration(now))
	buckets := map[SpeedBucket]int{SpeedUnknown: 0, SpeedSlow: 0, SpeedUsual: 0, SpeedFast: 0}
	for _, w := range c.workers {
		seen := c.speeds.Speed(time.Duration(now), w.info.ID)
		w.speed = seen.Factor
		buckets[bucketOf(seen)]++
		change := math.Abs(math.Log(seen.Factor / w.loggedSpeed()))
		if !seen.Known() || change < speedLogChange {
			continue
		}
		c.Log.Info().Str("worker", string(w.info.ID)).Float64("speed", seen.Factor).Float64("before", w.loggedSpeed()).
			Float64("certainty", seen.Certainty).Int("runs", seen.Runs).Dur("age", seen.Age).Msg("chief: speed of a worker learned")
		w.speedLogged = seen.Factor
	}
	c.Observe.Speeds(buckets)
	c.reportCorrections(now)
}

// reportCorrections reports by how much the estimates of all kinds are off, at most once per correctionsInterval.
func (c *Scheduler) reportCorrections(now clock.Instant) {
	if now.Sub(c.correctionsAt) < correctionsInterval {
		return
	}
	c.correctionsAt = now
	factors := map[speed.Kind]float64{}
	for _, kind := range c.speeds.Kinds() {
		factors[kind] = c.speeds.Correction(kind)
	}
	c.Observe.Corrections(factors)
}

func bucketOf(s speed.Speed) SpeedBucket {
	switch {
	case !s.Known():
		return SpeedUnknown
	case s.Factor < slowSpeed:
		return SpeedSlow
	case s.Factor > fastSpeed:
		return SpeedFast
	}
	return SpeedUsual
}

// loggedSpeed returns the speed of a worker as it was last logged; 1 before.
func (w *worker) loggedSpeed() float64 {
	if w.speedLogged == 0 {
		return 1
	}
	return w.speedLogged
}

// speedFactor returns the speed of a worker against a usual one; 1 while nothing is known.
func (w *worker) speedFactor() float64 {
	if w.speed == 0 {
		return 1
	}
	return w.speed
}

// judgeSpeed quarantines a worker whose runs are slowRatio times slower than the median of their stages, and moves runs off it
// after slowRoundsToMove such comparisons in a row.
func (c *Scheduler) judgeSpeed(w *worker, ratio float64) {
	if ratio < slowRatio {
		w.slowRounds = 0
		return
	}
	w.slowRounds++
	w.slowUntil = c.Now().Add(slowQuarantine)
	c.logNoStarts(w, slowQuarantine, "its tasks are slow")
	if w.slowRounds >= slowRoundsToMove {
		c.moveFromSlowWorker(w)
	}
}

// moveFromSlowWorker stops runs on a slow worker that would end much sooner as new runs elsewhere: urgent ones, and those
// that lose little because they checkpoint. Workers are mostly slow for a short time, and moving other runs would waste work.
func (c *Scheduler) moveFromSlowWorker(w *worker) {
	now := c.Now()
	for _, r := range w.runs {
		if !c.isComparable(r, now) || r.task.done || !r.task.stage.step.Checkpoints && c.priority(r.task.stage) != 0 {
			continue
		}
		remaining := time.Duration(float64(fullPercent-r.percent) / r.rate * float64(time.Second))
		if remaining < minMoveGain*c.estimate(r.task.stage) {
			continue
		}
		c.stopRun(r, "its worker is slow")
		if r.gang != nil {
			c.stopGang(r.gang, "a member's worker is slow")
		}
	}
}
