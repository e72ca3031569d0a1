package noisy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/noisy"
)

const (
	sampleInterval = 600 * time.Millisecond
	// foundWithin is the number of runs of a fleet within which a planted pair of eight kinds is found.
	foundWithin = 4000
	kinds       = 8
)

// fleet draws runs on workers whose speeds nobody knows, with lengths that nobody estimated well.
type fleet struct {
	random  *rand.Rand
	planted map[noisy.Pair]float64 // factors on the run time
	workers []*machine
	model   noisy.Model
	now     time.Duration
	ended   int
}

type machine struct {
	speed     float64
	hangs     time.Duration // until then nothing on it makes progress
	runs      []*run
	changedAt time.Duration
}

type run struct {
	kind    noisy.Kind
	seconds float64 // at speed 1, alone
	done    float64
	sampled int // percent
	track   noisy.Track
}

func newFleet(seed uint64, planted map[noisy.Pair]float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), planted: planted} //nolint:gosec // a fixed seed
	for range 24 {
		f.workers = append(f.workers, &machine{speed: 0.5 + f.random.Float64()})
	}
	return f
}

func kindOf(n int) noisy.Kind { return noisy.Kind(rune('a' + n)) }

// step runs all workers for a sample interval.
func (f *fleet) step() {
	f.now += sampleInterval
	for _, w := range f.workers {
		f.stepWorker(w)
	}
}

func (f *fleet) stepWorker(w *machine) {
	if f.random.IntN(400) == 0 {
		w.hangs = f.now + 3*time.Second
	}
	steady := w.changedAt < f.now-sampleInterval
	for _, r := range w.runs {
		rate := w.speed
		beside := besides(w, r)
		for _, other := range beside {
			if factor := f.planted[noisy.Pair{Victim: r.kind, Aggressor: other}]; factor > 0 {
				rate /= factor
			}
		}
		if w.hangs > f.now {
			rate *= 0.05
		}
		r.done += rate * math.Exp(0.05*f.random.NormFloat64()) * sampleInterval.Seconds() / r.seconds
		percent := min(100, int(100*r.done))
		if steady && percent < 100 {
			r.track.Sample(&f.model, f.now, r.kind, beside, float64(max(percent-r.sampled, 0))+0.3)
		}
		r.sampled = percent
	}
	f.replaceEnded(w)
}

func (f *fleet) replaceEnded(w *machine) {
	before := len(w.runs)
	w.runs = slices.DeleteFunc(w.runs, func(r *run) bool {
		if r.done >= 1 {
			r.track.End(&f.model, f.now, r.kind)
		}
		return r.done >= 1
	})
	f.ended += before - len(w.runs)
	if before != len(w.runs) {
		w.changedAt = f.now
	}
	if len(w.runs) < 4 && f.random.IntN(2) == 0 {
		w.runs = append(w.runs, &run{kind: kindOf(f.random.IntN(kinds)), seconds: 2 + 10*f.random.Float64()})
		w.changedAt = f.now
	}
}

func besides(w *machine, r *run) []noisy.Kind {
	var list []noisy.Kind
	for _, other := range w.runs {
		if other != r && !slices.Contains(list, other.kind) {
			list = append(list, other.kind)
		}
	}
	slices.Sort(list)
	return list
}

// Answers a fleet on which some pairs of images share caches or memory bandwidth: the pairs are found, and no others.
func TestPlantedPairsAreFoundAndNoneIsInvented(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		planted := map[noisy.Pair]float64{}
		for range rapid.IntRange(0, 3).Draw(rt, "pairs") {
			pair := noisy.Pair{
				Victim:    kindOf(rapid.IntRange(0, kinds-1).Draw(rt, "victim")),
				Aggressor: kindOf(rapid.IntRange(0, kinds-1).Draw(rt, "aggressor")),
			}
			planted[pair] = rapid.Float64Range(1.4, 2.5).Draw(rt, "slowdown")
		}
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), planted)
		for f.ended < foundWithin {
			f.step()
		}
		for victim := range kinds {
			for aggressor := range kinds {
				pair := noisy.Pair{Victim: kindOf(victim), Aggressor: kindOf(aggressor)}
				found := f.model.Slowdown(pair) > 1
				if factor := planted[pair]; found != (factor > 0) {
					rt.Fatalf("pair %v, planted with factor %.2f: found %t, slowdown %.2f", pair, factor, found, f.model.Slowdown(pair))
				}
			}
		}
	})
}

// Guards against an effect that is kept for ever after an image has changed, and against one that is forgotten without a reason.
func TestEffectsAreForgottenWithAge(t *testing.T) {
	g := NewWithT(t)
	pair := noisy.Pair{Victim: "a", Aggressor: "b"}
	var changes []bool
	m := noisy.Model{OnChange: func(_ noisy.Pair, _ float64, certain bool) { changes = append(changes, certain) }}
	observe := func(now time.Duration, change float64) {
		m.Observe(now, noisy.Observation{Victim: "a", Joined: []noisy.Kind{"b"}, Change: change, Deviation: 0.15})
	}
	for range 50 {
		observe(0, -0.5)
	}
	g.Expect(m.Slowdown(pair)).To(BeNumerically("~", math.Exp(0.5), 0.1))
	observe(time.Minute, -0.5)
	g.Expect(m.Certain()).To(Equal(1), "a minute is no reason to forget")
	observe(2*time.Hour, 0)
	g.Expect(m.Slowdown(pair)).To(Equal(1.0), "two hours without an observation are")
	g.Expect(changes).To(Equal([]bool{true, false}))
}

// Guards against one hung worker that condemns all pairs of images that happened to be on it.
func TestOneHangIsNotAPair(t *testing.T) {
	g := NewWithT(t)
	var m noisy.Model
	joined := func(change float64) {
		m.Observe(0, noisy.Observation{Victim: "a", Joined: []noisy.Kind{"b"}, Change: change, Deviation: 0.15})
		g.Expect(m.Certain()).To(BeZero())
	}
	for range 3 {
		joined(-5) // The worker hangs,
		joined(-5)
		for range 3 { // and others don't.
			joined(0)
		}
	}
}

// Guards against memory that grows with the number of images that were ever seen.
func TestKindsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var m noisy.Model
	for n := range 500 {
		pair := noisy.Pair{Victim: noisy.Kind(rune('a' + n)), Aggressor: "neighbour"}
		for range 50 {
			m.Observe(time.Duration(n)*time.Second, noisy.Observation{Victim: pair.Victim, Joined: []noisy.Kind{pair.Aggressor}, Change: -0.5, Deviation: 0.15})
		}
		g.Expect(m.Slowdown(pair)).To(BeNumerically(">", 1))
	}
	g.Expect(m.Certain()).To(BeNumerically("<=", 64))
}

// Guards against a penalty that counts a task's own loss and forgets what it does to its neighbours, or the reverse.
func TestPenaltyCountsBothSides(t *testing.T) {
	g := NewWithT(t)
	var m noisy.Model
	for range 50 {
		m.Observe(0, noisy.Observation{Victim: "victim", Joined: []noisy.Kind{"aggressor"}, Change: -math.Log(1.5), Deviation: 0.15})
	}
	g.Expect(m.Penalty("victim", map[noisy.Kind]int{"aggressor": 3})).To(BeNumerically("~", 0.5, 0.1))
	g.Expect(m.Penalty("aggressor", map[noisy.Kind]int{"victim": 3})).To(BeNumerically("~", 1.5, 0.3))
	g.Expect(m.Penalty("victim", map[noisy.Kind]int{"other": 3})).To(BeZero())
}

// Guards against a panic of the leader where more kinds than are remembered share one worker.
func TestObservationOfManyKinds(t *testing.T) {
	g := NewWithT(t)
	var m noisy.Model
	crowd := make([]noisy.Kind, 100)
	for i := range crowd {
		crowd[i] = noisy.Kind(fmt.Sprint("crowd ", i))
	}
	m.Observe(time.Second, noisy.Observation{Victim: "victim", Joined: crowd[:50], Left: crowd[50:], Change: -1, Deviation: 0.1})
	for i := range 20 {
		m.Observe(time.Duration(i+2)*time.Second, noisy.Observation{Victim: "victim", Joined: []noisy.Kind{"aggressor"}, Change: -1, Deviation: 0.1})
	}
	g.Expect(m.Slowdown(noisy.Pair{Victim: "victim", Aggressor: "aggressor"})).To(BeNumerically(">", 1.5))
}
