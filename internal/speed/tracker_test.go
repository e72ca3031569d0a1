package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// fleet is a drawn fleet whose workers have fixed paces that nothing states.
type fleet struct {
	random *rand.Rand
	paces  []float64
	now    time.Duration
}

func (f *fleet) id(worker int) model.WorkerID { return model.WorkerID(fmt.Sprintf("w-%03d", worker)) }

// step plays the tasks of one step on drawn workers: each run shows its rate, with the noise of its own length.
func (f *fleet) step(t *Tracker, tasks int, gang bool) {
	runs := make([]Progress, tasks)
	length := 1 + 9*f.random.Float64()
	noise := 0.23
	if gang {
		noise = 0.05
	}
	for i := range runs {
		w := f.random.IntN(len(f.paces))
		runs[i] = Progress{Worker: f.id(w), Born: 1, Rate: f.paces[w] / length * math.Exp(noise*f.random.NormFloat64())}
	}
	f.now += 500 * time.Millisecond
	t.Compare(f.now, runs, gang)
	t.Settle(f.now)
}

// errors returns the logarithms of learned to planted speeds, both against the mean of their fleet.
func (f *fleet) errors(t *Tracker) []float64 {
	list := make([]float64, len(f.paces))
	mean := 0.0
	for w, pace := range f.paces {
		list[w] = math.Log(t.Speed(f.now, f.id(w)).Factor / pace)
		mean += list[w] / float64(len(list))
	}
	for w := range list {
		list[w] -= mean
	}
	return list
}

func worst(list []float64) (most, mean float64) {
	for _, e := range list {
		most = max(most, math.Abs(e))
		mean += math.Abs(e) / float64(len(list))
	}
	return most, mean
}

func drawFleet(r *rapid.T, low, high float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))}
	for range rapid.IntRange(20, 80).Draw(r, "workers") {
		f.paces = append(f.paces, low+(high-low)*f.random.Float64())
	}
	return f
}

// Guards against slow workers that are not found, on the load of a site whose workers have paces from 0.5 to 1.25: after 20 runs a worker of
// tasks that differ in length, or four of members of gangs, which have equal work, the mean error is under 10% and the worst under 40%.
func TestPlantedSpeedsAreFound(t *testing.T) {
	for gang, runs := range map[bool]int{false: 20, true: 4} {
		rapid.Check(t, func(r *rapid.T) {
			g := NewWithT(r)
			f := drawFleet(r, 0.5, 1.25)
			var tracker Tracker
			for range runs * len(f.paces) / 12 {
				f.step(&tracker, 12, gang)
			}
			most, mean := worst(f.errors(&tracker))
			g.Expect(mean).To(BeNumerically("<", 0.10))
			if !gang {
				g.Expect(most).To(BeNumerically("<", 0.40)) // Some workers have no member of a gang at all.
			}
		})
	}
}

// Guards against differences that are invented on a fleet of equal workers, whose tasks differ in length and whose estimates are 20 to 90%
// off: nobody is learned to be more than 30% from the others, and the mean difference is at most 8%.
func TestEqualWorkersStayEqual(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(r)
		f := drawFleet(r, 1, 1)
		var tracker Tracker
		for range 20 * len(f.paces) / 12 {
			f.step(&tracker, 12, false)
			f.single(&tracker, 1+f.random.IntN(5))
		}
		most, mean := worst(f.errors(&tracker))
		g.Expect(most).To(BeNumerically("<", 0.30))
		g.Expect(mean).To(BeNumerically("<", 0.08))
	})
}

// single plays steps of one task, whose caller's estimate is 20 to 90% off.
func (f *fleet) single(t *Tracker, steps int) {
	for range steps {
		w := f.random.IntN(len(f.paces))
		took := 2 * math.Exp(0.2*f.random.NormFloat64())
		estimate := took / (0.2 + 1.6*f.random.Float64())
		t.Ended(f.now, Run{
			Worker: f.id(w), Born: 1, Kind: Kind{Queue: "q"}, Estimate: time.Duration(estimate * float64(time.Second)),
			Took: time.Duration(took / f.paces[w] * float64(time.Second)), Speed: t.Speed(f.now, f.id(w)).Factor, Tasks: 1,
		})
	}
}

// Guards against a worker that is condemned for one run that hung, or started late: it keeps over half of its speed.
func TestOneRunDoesNotCondemn(t *testing.T) {
	g := NewWithT(t)
	var tracker Tracker
	runs := []Progress{{Worker: "a", Rate: 0.001}, {Worker: "b", Rate: 0.2}, {Worker: "c", Rate: 0.2}, {Worker: "d", Rate: 0.2}}
	tracker.Compare(time.Second, runs, false)
	g.Expect(tracker.Speed(time.Second, "a").Factor).To(BeNumerically("~", 0.71, 0.15))
	g.Expect(tracker.Speed(time.Second, "a").Known()).To(BeFalse())
	g.Expect(tracker.Speed(time.Second, "b").Factor).To(BeNumerically("~", 1, 0.15), "its siblings are not faster for it")
}

// Guards against runs that are counted again and again in each comparison, so that one long run makes its worker certain.
func TestEachRunCountsOnce(t *testing.T) {
	g := NewWithT(t)
	var tracker Tracker
	runs := []Progress{{Worker: "a", Rate: 0.1}, {Worker: "b", Rate: 0.2}}
	tracker.Compare(0, runs, true)
	before := tracker.Speed(0, "a")
	runs[0].Counted = true
	tracker.Compare(0, runs, true)
	g.Expect(tracker.Speed(0, "a")).To(Equal(before))
	g.Expect(tracker.Speed(0, "b").Runs).To(Equal(2))
}

// Guards against the speed of an earlier incarnation, which may have been another machine, and against one that is believed for ever.
func TestSpeedsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	var tracker Tracker
	learn := func(now time.Duration, born int64) {
		tracker.Compare(now, []Progress{{Worker: "a", Born: born, Rate: 0.1}, {Worker: "b", Born: 1, Rate: 0.2}}, true)
		tracker.Settle(now)
	}
	for range 20 {
		learn(0, 1)
	}
	g.Expect(tracker.Speed(0, "a").Known()).To(BeTrue())
	g.Expect(tracker.Speed(0, "a").Runs).To(Equal(20))
	learn(0, 2)
	g.Expect(tracker.Speed(0, "a").Runs).To(Equal(1))
	certain := tracker.Speed(0, "b").Certainty
	tracker.Settle(evidenceHalfLife)
	g.Expect(tracker.Speed(evidenceHalfLife, "b").Certainty).To(BeNumerically("<", certain))
	tracker.Settle(20 * evidenceHalfLife)
	g.Expect(tracker.paces).To(BeEmpty())
	learn(0, 2)
	tracker.Forget("a")
	g.Expect(tracker.Speed(0, "a")).To(Equal(Speed{Factor: 1}))
}

// Guards against estimates that stay 20 to 90% off: three queues, one whose run times follow their estimates, one whose don't, and one
// without estimates.
func TestEstimatesAreCorrectedByKind(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var tracker Tracker
	scaled, fixed, without := Kind{Queue: "scaled"}, Kind{Queue: "fixed"}, Kind{Queue: "without"}
	for range 100 {
		estimate := time.Duration((1 + 9*random.Float64()) * float64(time.Second))
		noise := math.Exp(0.1 * random.NormFloat64())
		end := func(kind Kind, estimate time.Duration, took float64) {
			tracker.Ended(0, Run{Worker: "w", Kind: kind, Estimate: estimate, Took: time.Duration(took * float64(time.Second)), Speed: 0.5, Tasks: 1, Gang: true})
		}
		end(scaled, estimate, 2*1.9*estimate.Seconds()*noise)
		end(fixed, estimate, 2*3*noise)
		end(without, 0, 2*3*noise)
	}
	seconds := func(kind Kind, estimate time.Duration) float64 { return tracker.Estimate(kind, estimate).Seconds() }
	for _, estimate := range []time.Duration{2 * time.Second, 8 * time.Second} {
		g.Expect(seconds(scaled, estimate)).To(BeNumerically("~", 1.9*estimate.Seconds(), 0.2*estimate.Seconds()))
		g.Expect(seconds(fixed, estimate)).To(BeNumerically("~", 3, 0.3))
	}
	g.Expect(seconds(without, 0)).To(BeNumerically("~", 3, 0.3))
	g.Expect(seconds(Kind{Queue: "unknown"}, time.Second)).To(BeNumerically("==", 1))
	g.Expect(tracker.Correction(scaled)).To(BeNumerically("~", 1.9, 0.1))
}

// Guards against memory that grows with the names of queues and images that callers make up.
func TestKindsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var tracker Tracker
	kept := Kind{Queue: "kept"}
	for i := range 2 * maxKinds {
		for _, kind := range []Kind{kept, {Queue: "kept", Image: work.Image(fmt.Sprint(i))}} {
			tracker.Ended(0, Run{Kind: kind, Took: time.Second, Speed: 1, Tasks: 1, Gang: true})
		}
	}
	g.Expect(len(tracker.kinds)).To(Equal(maxKinds))
	g.Expect(tracker.Runs(kept)).To(Equal(2 * maxKinds))
}

// Guards against learning that takes more than a leader on a small machine can spare: one comparison of all runs of 350 workers, 40 to a step.
func BenchmarkCompare(b *testing.B) {
	f := &fleet{random: rand.New(rand.NewPCG(1, 1))}
	for range 350 {
		f.paces = append(f.paces, 0.5+0.75*f.random.Float64())
	}
	var tracker Tracker
	for b.Loop() {
		for range 40 {
			f.step(&tracker, 40, false)
		}
	}
}
