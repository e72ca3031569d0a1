package speed

import (
	"math"
	"time"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// minRuns is the number of runs of a kind from which on its run times correct the estimates of its jobs.
	minRuns = 5
	// kindMemory is the number of steps of a kind that count.
	kindMemory = 30
	// maxKinds bounds the number of kinds; the one that was used least recently makes room.
	maxKinds = 512
	// slopePrior is the weight with which run times of a kind are in proportion to their estimates.
	slopePrior = 0.25
	// maxKindVariance bounds the variance of the logarithms of run times that is believed.
	maxKindVariance = 0.3
)

// Kind is what tasks have in common whose run times are alike.
type Kind struct {
	Queue work.QueueName
	Image work.Image // empty if the caller does not say
}

// Run is a completed run of a task near its data that did not resume from a checkpoint.
type Run struct {
	Worker   model.WorkerID
	Born     int64 // incarnation of the worker
	Kind     Kind
	Estimate time.Duration // from the caller; 0 if there is none
	Took     time.Duration
	Speed    float64 // of its worker, or of the slowest one of its gang
	Tasks    int     // of its step; over 0
	Gang     bool
	Counted  bool // its rate was compared with those of its step
}

// times are the run times of a kind on a usual worker: a line through the logarithms of estimates and run times.
type times struct {
	runs                     int
	weight, x, y, xx, xy, yy float64
	usedAt                   uint64
}

// Ended learns from a completed run: its kind's run time and, if its step told nothing, the speed of its worker.
func (t *Tracker) Ended(now time.Duration, r Run) {
	if r.Took <= 0 || r.Speed <= 0 || r.Tasks <= 0 {
		return
	}
	k := t.kind(r.Kind)
	took := math.Log(r.Took.Seconds())
	if k.runs >= minRuns && !r.Gang && !r.Counted {
		expected, variance := k.line(r.Estimate)
		seen := min(max(expected-took, -maxDeviation), maxDeviation)
		t.observe(now, r.Worker, r.Born, seen+t.center, variance+taskDeviation*taskDeviation)
	}
	k.add(r.Estimate, took+math.Log(r.Speed), 1/float64(r.Tasks))
}

// Estimate returns how long a task of a kind takes near its data on a usual worker; the caller's estimate while too little is known.
func (t *Tracker) Estimate(kind Kind, estimate time.Duration) time.Duration {
	k := t.kinds[kind]
	if k == nil || k.runs < minRuns {
		return estimate
	}
	t.uses++
	k.usedAt = t.uses
	expected, variance := k.line(estimate)
	return time.Duration(math.Exp(expected+variance/2) * float64(time.Second))
}

// Runs returns the number of completed runs of a kind that were learned from.
func (t *Tracker) Runs(kind Kind) int {
	if k := t.kinds[kind]; k != nil {
		return k.runs
	}
	return 0
}

// Correction returns the mean factor by which run times of a kind exceed the estimates; 1 while too little is known.
func (t *Tracker) Correction(kind Kind) float64 {
	k := t.kinds[kind]
	if k == nil || k.runs < minRuns {
		return 1
	}
	return math.Exp((k.y - k.x) / k.weight)
}

// Kinds returns the kinds of which something is known.
func (t *Tracker) Kinds() []Kind {
	kinds := make([]Kind, 0, len(t.kinds))
	for kind := range t.kinds {
		kinds = append(kinds, kind)
	}
	return kinds
}

// kind returns what is known of a kind; if that is nothing, the kind that was used least recently may make room.
func (t *Tracker) kind(kind Kind) *times {
	t.uses++
	k := t.kinds[kind]
	if k == nil {
		if t.kinds == nil {
			t.kinds = map[Kind]*times{}
		}
		if len(t.kinds) >= maxKinds {
			t.forgetOldestKind()
		}
		k = &times{}
		t.kinds[kind] = k
	}
	k.usedAt = t.uses
	return k
}

func (t *Tracker) forgetOldestKind() {
	var oldest Kind
	first := true
	for kind, k := range t.kinds {
		if first || k.usedAt < t.kinds[oldest].usedAt {
			oldest, first = kind, false
		}
	}
	delete(t.kinds, oldest)
}

// add adds a run; share is its weight, so that a step with many tasks counts once.
func (k *times) add(estimate time.Duration, y, share float64) {
	x := k.mean(k.x)
	switch {
	case estimate > 0:
		x = math.Log(estimate.Seconds())
	case k.weight == 0:
		x = y
	}
	kept := 1 - share/kindMemory
	k.runs++
	k.weight = k.weight*kept + share
	k.x = k.x*kept + share*x
	k.y = k.y*kept + share*y
	k.xx = k.xx*kept + share*x*x
	k.xy = k.xy*kept + share*x*y
	k.yy = k.yy*kept + share*y*y
}

func (k *times) mean(sum float64) float64 {
	if k.weight == 0 {
		return 0
	}
	return sum / k.weight
}

// line returns the expected logarithm of the run time in seconds for an estimate, and its variance. Where estimates tell little, the run
// time hardly depends on them.
func (k *times) line(estimate time.Duration) (expected, variance float64) {
	x, y := k.mean(k.x), k.mean(k.y)
	sxx := max(k.xx-k.weight*x*x, 0)
	sxy := k.xy - k.weight*x*y
	syy := max(k.yy-k.weight*y*y, 0)
	slope := min(max((sxy+slopePrior)/(sxx+slopePrior), 0), 1)
	expected = y
	if estimate > 0 {
		expected += slope * (math.Log(estimate.Seconds()) - x)
	}
	variance = max(syy-2*slope*sxy+slope*slope*sxx, 0) / k.weight
	return expected, min(variance, maxKindVariance)
}
