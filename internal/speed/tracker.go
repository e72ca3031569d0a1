package speed

import (
	"math"
	"slices"
	"time"

	"peridotgw.example/peridotgw/model"
)

const (
	// priorDeviation is the deviation of the logarithms of speeds in a fleet of which nothing is known.
	priorDeviation = 0.25
	// gangDeviation is the deviation of the logarithms of the rates of members of a gang, which have equal work, on equal workers.
	gangDeviation = 0.1
	// taskDeviation is the same of tasks of a step, whose work differs.
	taskDeviation = 0.3
	// maxDeviation bounds how far the logarithm of a rate may be from what was expected, so that no single run condemns a worker.
	maxDeviation = 0.9
	// maxEvidence bounds the weight of what is known of a worker, so that later runs count.
	maxEvidence = 200.0
	// evidenceHalfLife is the age at which evidence has half its weight.
	evidenceHalfLife = time.Minute
	// forgottenEvidence is the weight below which a worker is forgotten.
	forgottenEvidence = 0.5
	// centerPrior is the weight, in workers that are known well, with which the usual worker has the speed that was assumed at first.
	centerPrior = 4.0
	// KnownCertainty is the certainty from which on the speed of a worker counts as known.
	KnownCertainty = 0.6

	priorEvidence = 1 / (priorDeviation * priorDeviation)
)

// Tracker learns the speeds of workers and the run times of kinds of tasks. The zero value is ready for use. It must not be used
// concurrently.
type Tracker struct {
	paces  map[model.WorkerID]*pace
	kinds  map[Kind]*times
	center float64 // logarithm of the speed of a usual worker
	uses   uint64  // counts the uses of kinds
}

// pace is what is known of the speed of a worker.
type pace struct {
	born      int64         // incarnation of the worker
	sum       float64       // of the logarithms of speeds that were seen, weighted
	weight    float64       // of the evidence: the inverse of its variance
	runs      int           // that it was learned from
	decayedAt time.Duration // until when the evidence has lost weight
	learnedAt time.Duration
}

// Speed is what is known of the speed of a worker.
type Speed struct {
	Factor    float64       // speed against a usual worker; 1 while nothing is known
	Certainty float64       // from 0, nothing is known, to 1
	Age       time.Duration // since something was last learned
	Runs      int           // that it was learned from
}

// Known reports whether a speed is certain enough to be told.
func (s Speed) Known() bool { return s.Certainty >= KnownCertainty }

// Progress is how fast a run of a step progresses.
type Progress struct {
	Worker model.WorkerID
	Born   int64   // incarnation of the worker
	Rate   float64 // part of its work in a second; over 0
	// Counted reports whether the run was compared before: others are compared with it, and it teaches nothing more.
	Counted bool
}

// Compare learns from the rates of runs of one step that should progress alike, and returns whether it has: the runs must be on two workers
// at least. The members of a gang have equal work; other tasks of a step differ in length.
func (t *Tracker) Compare(now time.Duration, runs []Progress, gang bool) bool {
	c := t.newComparison(now, runs, gang)
	if len(c.own) < 2 {
		return false
	}
	for i, r := range runs {
		if !r.Counted {
			seen, variance := c.observation(i)
			t.observe(now, r.Worker, r.Born, seen, variance)
		}
	}
	return true
}

// observe adds one observation of the logarithm of a worker's speed.
func (t *Tracker) observe(now time.Duration, id model.WorkerID, born int64, seen, variance float64) {
	p := t.pace(now, id, born)
	p.sum += seen / variance
	p.weight += 1 / variance
	if p.weight > maxEvidence {
		p.sum *= maxEvidence / p.weight
		p.weight = maxEvidence
	}
	p.runs++
	p.learnedAt = now
}

// pace returns what is known of an incarnation of a worker as of now.
func (t *Tracker) pace(now time.Duration, id model.WorkerID, born int64) *pace {
	p := t.paces[id]
	if p == nil || born > p.born {
		p = &pace{born: born, decayedAt: now, learnedAt: now}
		if t.paces == nil {
			t.paces = map[model.WorkerID]*pace{}
		}
		t.paces[id] = p
	}
	p.decay(now)
	return p
}

func (p *pace) decay(now time.Duration) {
	if now <= p.decayedAt {
		return
	}
	kept := math.Exp2(-float64(now-p.decayedAt) / float64(evidenceHalfLife))
	p.sum, p.weight, p.decayedAt = p.sum*kept, p.weight*kept, now
}

// log returns the estimated logarithm of the speed.
func (p *pace) log() float64 { return p.sum / (p.weight + priorEvidence) }

// variance returns the variance of the estimate.
func (p *pace) variance() float64 { return 1 / (p.weight + priorEvidence) }

func (p *pace) certainty() float64 { return p.weight / (p.weight + priorEvidence) }

// Settle lets what is known lose weight with age, forgets workers of which nothing is known any more, and sets what speeds are relative
// to. It is to be called after comparisons.
func (t *Tracker) Settle(now time.Duration) {
	sum, weight := 0.0, centerPrior
	for id, p := range t.paces {
		p.decay(now)
		if p.weight < forgottenEvidence {
			delete(t.paces, id)
			continue
		}
		sum += p.certainty() * p.log()
		weight += p.certainty()
	}
	t.center = sum / weight
}

// Speed returns what is known of a worker.
func (t *Tracker) Speed(now time.Duration, id model.WorkerID) Speed {
	p := t.paces[id]
	if p == nil {
		return Speed{Factor: 1}
	}
	// An uncertain worker is as fast as a usual one.
	factor := math.Exp(p.log() - p.certainty()*t.center)
	return Speed{Factor: factor, Certainty: p.certainty(), Age: now - p.learnedAt, Runs: p.runs}
}

// Forget removes what is known of a worker that has started anew or left.
func (t *Tracker) Forget(id model.WorkerID) { delete(t.paces, id) }

// comparison compares the rates of runs of one step.
type comparison struct {
	runs      []Progress
	deviation float64
	known     []float64 // logarithm of the speed of its worker, by run
	lengths   []float64 // logarithm of the rate on a usual worker, by run
	all       sums
	own       map[model.WorkerID]sums
}

// sums adds up runs.
type sums struct {
	lengths  float64
	variance float64 // of the speeds of their workers
	runs     float64
}

func (t *Tracker) newComparison(now time.Duration, runs []Progress, gang bool) *comparison {
	c := &comparison{runs: runs, deviation: taskDeviation, own: make(map[model.WorkerID]sums, len(runs))}
	if gang {
		c.deviation = gangDeviation
	}
	c.known, c.lengths = make([]float64, len(runs)), make([]float64, len(runs))
	variances := make([]float64, len(runs))
	for i, r := range runs {
		c.known[i], variances[i] = 0, 1/priorEvidence
		if p := t.paces[r.Worker]; p != nil && p.born >= r.Born {
			p.decay(now)
			c.known[i], variances[i] = p.log(), p.variance()
		}
		c.lengths[i] = math.Log(r.Rate) - c.known[i]
	}
	c.bound()
	for i, r := range runs {
		add := sums{c.lengths[i], variances[i], 1}
		c.all = c.all.plus(add)
		c.own[r.Worker] = c.own[r.Worker].plus(add)
	}
	return c
}

// bound moves what is too far from the median to maxDeviation from it.
func (c *comparison) bound() {
	if len(c.lengths) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(c.lengths))
	median := (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
	for i, length := range c.lengths {
		c.lengths[i] = min(max(length, median-maxDeviation), median+maxDeviation)
	}
}

// observation returns the logarithm of the speed of a run's worker that the runs on other workers let it have, and its variance.
func (c *comparison) observation(i int) (seen, variance float64) {
	own := c.own[c.runs[i].Worker]
	others := sums{c.all.lengths - own.lengths, c.all.variance - own.variance, c.all.runs - own.runs}
	seen = c.known[i] + c.lengths[i] - others.lengths/others.runs
	workers := float64(len(c.own) - 1)
	return seen, c.deviation*c.deviation*(1+1/others.runs) + others.variance/others.runs/workers
}

func (s sums) plus(o sums) sums {
	return sums{s.lengths + o.lengths, s.variance + o.variance, s.runs + o.runs}
}
