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

// arrival is a job of the workload, with properties that the scheduler does not know.
type arrival struct {
	at   time.Duration
	spec jobs.Spec
	// runTime is the true run time; the spec has the declared one.
	runTime time.Duration
	// usedShare is the share of the declared accelerators that the job uses, at most 1. A job that needs more than it
	// declared is throttled by its workers and runs longer.
	usedShare float64
}

// Workload sets the size of a run. The zero value is not valid; see Default and Quick.
type Workload struct {
	// Arrivals is the time during which jobs arrive. One data centre is out of service from DrainAt to ReturnAt, both
	// counted from the start.
	Arrivals, DrainAt, ReturnAt time.Duration
	// Load is the offered accelerator time of ordinary jobs and bursts as a share of the capacity.
	Load float64
	// FinishLimit limits the time after Arrivals in which jobs may still end.
	FinishLimit time.Duration
}

// Default returns the workload of a full run.
func Default() Workload {
	return Workload{Arrivals: 3 * time.Hour, DrainAt: 80 * time.Minute, ReturnAt: 120 * time.Minute, Load: 0.85, FinishLimit: 8 * time.Hour}
}

// Quick returns a short workload to check the program itself.
func Quick() Workload {
	return Workload{Arrivals: 30 * time.Minute, DrainAt: 10 * time.Minute, ReturnAt: 20 * time.Minute, Load: 0.85, FinishLimit: 4 * time.Hour}
}

// Parameters of the generated jobs; the run times and intervals are means of their distributions.
const (
	smallRunTime, largeRunTime = 4 * time.Minute, 12 * time.Minute
	// declaredSigma is the sigma of the log-normal ratio of declared to true run times: one in three is off by more than
	// a factor of three.
	declaredSigma = 1.2
	// misdeclaredShare is the share of jobs that use half of the accelerators they declare, and also the share that need
	// twice as many.
	misdeclaredShare = 0.15
	// burstInterval is the mean time between two bursts, each of burstSize jobs of one customer.
	burstInterval, burstSize = 20 * time.Minute, 30
	urgentInterval           = 4 * time.Minute
	reclaimInterval          = 3 * time.Minute
)

// generator generates the arrivals of one seed.
type generator struct {
	random    *rand.Rand
	set       *model.Set
	classes   []model.JobClassID
	small     []model.ShapeID
	large     []model.ShapeID
	customers []model.CustomerID
	generated []arrival
}

// generateArrivals returns the jobs of a seed ordered by arrival time. All variants of a seed get the same jobs.
func generateArrivals(set *model.Set, workload Workload, seed uint64) []arrival {
	g := &generator{random: rand.New(rand.NewPCG(seed, 1)), set: set} //nolint:gosec // Arrivals are seeded, not secret.
	g.groupObjects()
	g.addLoad(workload)
	for at := g.drawInterval(urgentInterval); at < workload.Arrivals; at += g.drawInterval(urgentInterval) {
		shape := model.ShapeID("one-worker")
		if g.random.IntN(4) == 0 {
			shape = "half-rack"
		}
		g.addJob(at, g.customer(), UrgentClass, shape, "", 2*time.Minute)
	}
	g.addReclaims(workload)
	slices.SortStableFunc(g.generated, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range g.generated {
		g.generated[i].spec.ID = model.JobID(fmt.Sprintf("job-%05d", i))
	}
	return g.generated
}

func (g *generator) groupObjects() {
	g.classes, g.customers = nil, sortedKeys(g.set.Customers)
	for _, id := range sortedKeys(g.set.JobClasses) {
		if id != UrgentClass {
			g.classes = append(g.classes, id)
		}
	}
	for _, id := range sortedKeys(g.set.Shapes) {
		if g.set.Shapes[id].Accelerators() <= 8 {
			g.small = append(g.small, id)
		} else {
			g.large = append(g.large, id)
		}
	}
}

// addLoad adds bursts, and then ordinary jobs until all together offer the load of the workload.
func (g *generator) addLoad(workload Workload) {
	capacity := 0.0
	for _, dc := range g.set.DataCentres {
		for _, rack := range dc.Racks {
			capacity += float64(rack.Workers) * float64(rack.AcceleratorsPerWorker)
		}
	}
	wanted, offered := capacity*workload.Load*workload.Arrivals.Seconds(), 0.0
	bursts := int(workload.Arrivals / burstInterval)
	for range bursts {
		at := time.Duration(g.random.Float64() * float64(workload.Arrivals))
		customer, class := g.customer(), pickRandom(g.random, g.classes)
		for range burstSize {
			offered += g.addOrdinary(at, customer, class)
		}
	}
	for offered < wanted {
		at := time.Duration(g.random.Float64() * float64(workload.Arrivals))
		offered += g.addOrdinary(at, g.customer(), pickRandom(g.random, g.classes))
	}
}

// addOrdinary adds one job and returns its accelerator time in seconds; one job in eight is large.
func (g *generator) addOrdinary(at time.Duration, customer model.CustomerID, class model.JobClassID) float64 {
	shape, mean := pickRandom(g.random, g.small), smallRunTime
	if g.random.IntN(8) == 0 {
		shape, mean = pickRandom(g.random, g.large), largeRunTime
	}
	if quota := g.set.Customers[customer].QuotaAccelerators; quota > 0 && g.set.Shapes[shape].Accelerators() > quota {
		shape = g.small[0]
	}
	return g.addJob(at, customer, class, shape, "", mean)
}

// addReclaims adds jobs that ask for a guaranteed shape in the data centre of the guarantee.
func (g *generator) addReclaims(workload Workload) {
	ids := sortedKeys(g.set.Guarantees)
	if len(ids) == 0 {
		return
	}
	for at := g.drawInterval(reclaimInterval); at < workload.Arrivals; at += g.drawInterval(reclaimInterval) {
		guarantee := g.set.Guarantees[pickRandom(g.random, ids)]
		g.addJob(at, guarantee.Customer, pickRandom(g.random, g.classes), guarantee.Shape, guarantee.DataCentre, smallRunTime)
	}
}

func (g *generator) addJob(
	at time.Duration, customer model.CustomerID, class model.JobClassID, shape model.ShapeID, dc model.DataCentreID, mean time.Duration,
) float64 {
	runTime := time.Duration(float64(mean) * min(6, math.Exp(g.random.NormFloat64()*0.8-0.32)))
	runTime = max(10*time.Second, runTime.Truncate(time.Millisecond))
	declared := time.Duration(float64(runTime) * math.Exp(g.random.NormFloat64()*declaredSigma)).Truncate(time.Millisecond)
	usedShare := 1.0
	switch size := g.random.Float64(); {
	case size < misdeclaredShare:
		usedShare = 0.5
	case size < 2*misdeclaredShare:
		runTime *= 2
	}
	if dc == "" && !g.fitsTwoDataCentres(class, shape) {
		shape = g.small[0]
	}
	g.generated = append(g.generated, arrival{at: at, runTime: runTime, usedShare: usedShare, spec: jobs.Spec{
		Customer: customer, Class: class, Shape: shape, DataCentre: dc, RunTime: model.Duration(declared),
	}})
	return float64(g.set.Shapes[shape].Accelerators()) * runTime.Seconds()
}

// fitsTwoDataCentres reports whether the shape fits in at least two data centres, so that its jobs can move.
func (g *generator) fitsTwoDataCentres(class model.JobClassID, shape model.ShapeID) bool {
	count := 0
	for dc := range g.set.DataCentres {
		listed := g.set.JobClasses[class].DataCentres
		if (len(listed) == 0 || slices.Contains(listed, dc)) && place.Fits(g.set, dc, shape) {
			count++
		}
	}
	return count > 1
}

// customer draws a customer with a probability in proportion to its quota, so that no customer offers more load
// than it may run.
func (g *generator) customer() model.CustomerID {
	total := 0
	for _, id := range g.customers {
		total += g.quotaWeight(id)
	}
	drawn := g.random.IntN(total)
	for _, id := range g.customers {
		if drawn -= g.quotaWeight(id); drawn < 0 {
			return id
		}
	}
	return g.customers[0]
}

func (g *generator) quotaWeight(id model.CustomerID) int {
	return max(1, int(g.set.Customers[id].QuotaAccelerators))
}

func (g *generator) drawInterval(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

func pickRandom[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func sortedKeys[K cmp.Ordered, V any](from map[K]V) []K {
	keys := make([]K, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
