package batch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

// UrgentClass is added to every deployment, because no example has urgent jobs.
const UrgentClass model.JobClassID = "urgent-check"

// arrival is a job with what only the workload knows about it.
type arrival struct {
	at   time.Duration
	spec jobs.Spec
	// runs is the true run time; the declared one is in the spec.
	runs time.Duration
	// used is the part of the declared accelerators that the job really uses. A job that needs more than it declared is
	// throttled by its workers and runs longer.
	used float64
}

// Workload sets the size of a run. The zero value is not valid; see Default and Quick.
type Workload struct {
	// Arrivals is how long jobs arrive; Out and In are when one data centre leaves and returns.
	Arrivals, Out, In time.Duration
	// Load is the offered accelerator time as a share of the capacity.
	Load float64
	// Rest bounds the time after the last arrival.
	Rest time.Duration
}

// Default is the workload of a whole run.
func Default() Workload {
	return Workload{Arrivals: 3 * time.Hour, Out: 80 * time.Minute, In: 120 * time.Minute, Load: 0.85, Rest: 8 * time.Hour}
}

// Quick is a short workload for checks of the program itself.
func Quick() Workload {
	return Workload{Arrivals: 30 * time.Minute, Out: 10 * time.Minute, In: 20 * time.Minute, Load: 0.85, Rest: 4 * time.Hour}
}

// Limits of the generated jobs.
const (
	smallMean, largeMean = 4 * time.Minute, 12 * time.Minute
	// declaredSigma is the spread of declared over true run times: one in three is off by more than a factor of three.
	declaredSigma = 1.2
	// wrongSize is the share of jobs that use half of what they declare, and the share that needs twice as much.
	wrongSize = 0.15
	// burstEvery is the mean time between two bursts, each of burstSize jobs of one customer.
	burstEvery, burstSize = 20 * time.Minute, 30
	urgentEvery           = 4 * time.Minute
	reclaimEvery          = 3 * time.Minute
)

// generator makes the arrivals of one seed.
type generator struct {
	random    *rand.Rand
	set       *model.Set
	classes   []model.JobClassID
	small     []model.ShapeID
	large     []model.ShapeID
	customers []model.CustomerID
	made      []arrival
}

// arrivals returns the jobs of a seed in the order of their time; variants of one seed get the same jobs.
func arrivals(set *model.Set, workload Workload, seed uint64) []arrival {
	g := &generator{random: rand.New(rand.NewPCG(seed, 1)), set: set} //nolint:gosec // Arrivals are seeded, not secret.
	g.sortObjects()
	g.steady(workload)
	for at := g.pause(urgentEvery); at < workload.Arrivals; at += g.pause(urgentEvery) {
		shape := model.ShapeID("one-worker")
		if g.random.IntN(4) == 0 {
			shape = "half-rack"
		}
		g.add(at, g.customer(), UrgentClass, shape, "", 2*time.Minute)
	}
	g.reclaims(workload)
	slices.SortStableFunc(g.made, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range g.made {
		g.made[i].spec.ID = model.JobID(fmt.Sprintf("job-%05d", i))
	}
	return g.made
}

func (g *generator) sortObjects() {
	g.classes, g.customers = nil, sorted(g.set.Customers)
	for _, id := range sorted(g.set.JobClasses) {
		if id != UrgentClass {
			g.classes = append(g.classes, id)
		}
	}
	for _, id := range sorted(g.set.Shapes) {
		if g.set.Shapes[id].Accelerators() <= 8 {
			g.small = append(g.small, id)
		} else {
			g.large = append(g.large, id)
		}
	}
}

// steady adds ordinary jobs and bursts until they offer the wanted load.
func (g *generator) steady(workload Workload) {
	capacity := 0.0
	for _, dc := range g.set.DataCentres {
		for _, rack := range dc.Racks {
			capacity += float64(rack.Workers) * float64(rack.AcceleratorsPerWorker)
		}
	}
	wanted, offered := capacity*workload.Load*workload.Arrivals.Seconds(), 0.0
	bursts := int(workload.Arrivals / burstEvery)
	for range bursts {
		at := time.Duration(g.random.Float64() * float64(workload.Arrivals))
		customer, class := g.customer(), pick(g.random, g.classes)
		for range burstSize {
			offered += g.ordinary(at, customer, class)
		}
	}
	for offered < wanted {
		at := time.Duration(g.random.Float64() * float64(workload.Arrivals))
		offered += g.ordinary(at, g.customer(), pick(g.random, g.classes))
	}
}

// ordinary adds one job and returns its accelerator time; one job in eight is large.
func (g *generator) ordinary(at time.Duration, customer model.CustomerID, class model.JobClassID) float64 {
	shape, mean := pick(g.random, g.small), smallMean
	if g.random.IntN(8) == 0 {
		shape, mean = pick(g.random, g.large), largeMean
	}
	if quota := g.set.Customers[customer].QuotaAccelerators; quota > 0 && g.set.Shapes[shape].Accelerators() > quota {
		shape = g.small[0]
	}
	return g.add(at, customer, class, shape, "", mean)
}

// reclaims adds jobs that ask for a guaranteed shape in its data centre.
func (g *generator) reclaims(workload Workload) {
	ids := sorted(g.set.Guarantees)
	if len(ids) == 0 {
		return
	}
	for at := g.pause(reclaimEvery); at < workload.Arrivals; at += g.pause(reclaimEvery) {
		guarantee := g.set.Guarantees[pick(g.random, ids)]
		g.add(at, guarantee.Customer, pick(g.random, g.classes), guarantee.Shape, guarantee.DataCentre, smallMean)
	}
}

func (g *generator) add(
	at time.Duration, customer model.CustomerID, class model.JobClassID, shape model.ShapeID, dc model.DataCentreID, mean time.Duration,
) float64 {
	runs := time.Duration(float64(mean) * min(6, math.Exp(g.random.NormFloat64()*0.8-0.32)))
	runs = max(10*time.Second, runs.Truncate(time.Millisecond))
	declared := time.Duration(float64(runs) * math.Exp(g.random.NormFloat64()*declaredSigma)).Truncate(time.Millisecond)
	used := 1.0
	switch size := g.random.Float64(); {
	case size < wrongSize:
		used = 0.5
	case size < 2*wrongSize:
		runs *= 2
	}
	if dc == "" && !g.fitsSomewhere(class, shape) {
		shape = g.small[0]
	}
	g.made = append(g.made, arrival{at: at, runs: runs, used: used, spec: jobs.Spec{
		Customer: customer, Class: class, Shape: shape, DataCentre: dc, RunTime: model.Duration(declared),
	}})
	return float64(g.set.Shapes[shape].Accelerators()) * runs.Seconds()
}

// fitsSomewhere reports whether at least two data centres take the shape, so that its jobs can move.
func (g *generator) fitsSomewhere(class model.JobClassID, shape model.ShapeID) bool {
	count := 0
	for dc := range g.set.DataCentres {
		listed := g.set.JobClasses[class].DataCentres
		if (len(listed) == 0 || slices.Contains(listed, dc)) && place.Fits(g.set, dc, shape) {
			count++
		}
	}
	return count > 1
}

// customer draws customers in proportion to their quotas, so that no customer offers more than it may run.
func (g *generator) customer() model.CustomerID {
	total := 0
	for _, id := range g.customers {
		total += g.weight(id)
	}
	drawn := g.random.IntN(total)
	for _, id := range g.customers {
		if drawn -= g.weight(id); drawn < 0 {
			return id
		}
	}
	return g.customers[0]
}

func (g *generator) weight(id model.CustomerID) int {
	return max(1, int(g.set.Customers[id].QuotaAccelerators))
}

func (g *generator) pause(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func sorted[K cmp.Ordered, V any](from map[K]V) []K {
	keys := make([]K, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
