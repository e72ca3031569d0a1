package place_test

import (
	"fmt"
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

// simulation drives a cluster and records independently which job holds which slots.
type simulation struct {
	config  *model.Set
	cluster *place.Cluster
	workers []place.Worker
	running map[model.JobID]place.Plan
	jobs    map[model.JobID]place.Job
	stopped map[model.JobID]bool
	lastJob int
	// rebuilds counts the take-overs by a new owner, and fewerBound those after which fewer guarantee copies were bound.
	rebuilds, fewerBound int
}

func (sim *simulation) used() map[model.WorkerID]model.Accelerators {
	used := map[model.WorkerID]model.Accelerators{}
	for id, plan := range sim.running {
		for _, slot := range plan.Slots {
			if !sim.stopped[id] {
				used[slot.Worker] += slot.Accelerators
			}
		}
	}
	return used
}

// commitPlan adds a plan as the owner does. Its victims end before the job starts, so used leaves them out.
func (sim *simulation) commitPlan(j place.Job, plan place.Plan) {
	sim.cluster.Add(j, plan)
	sim.running[j.ID], sim.jobs[j.ID] = plan, j
	for _, id := range plan.Preempt {
		sim.cluster.MarkStopping(id)
		sim.stopped[id] = true
	}
}

func (sim *simulation) removeJob(id model.JobID) {
	sim.cluster.Remove(id)
	delete(sim.running, id)
	delete(sim.stopped, id)
}

// checkInvariants returns the first violation of capacity, adjacency or guarantees.
func (sim *simulation) checkInvariants() error {
	for id, used := range sim.used() {
		for _, worker := range sim.workers {
			if worker.ID == id && used > worker.Accelerators {
				return fmt.Errorf("worker %s has %d accelerators and %d are allocated", id, worker.Accelerators, used)
			}
		}
	}
	for id, plan := range sim.running {
		if err := checkAdjacency(sim.config.Shapes[sim.jobs[id].Shape], plan); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
	}
	return sim.checkReclaimable()
}

func checkAdjacency(shape model.Shape, plan place.Plan) error {
	workers, racks := map[model.WorkerID]bool{}, map[model.RackID]bool{}
	for _, slot := range plan.Slots {
		workers[slot.Worker], racks[slot.Rack] = true, true
	}
	if len(plan.Slots) != int(shape.Tasks) || (shape.Adjacency == model.AdjacencyWorker && len(workers) > 1) ||
		(shape.Adjacency == model.AdjacencyRack && len(racks) > 1) {
		return fmt.Errorf("%d tasks on %d workers in %d racks do not match the shape %v", len(plan.Slots), len(workers), len(racks), shape)
	}
	return nil
}

// checkReclaimable places all bound copies that their customers do not use at the same time, and then removes them again.
func (sim *simulation) checkReclaimable() error {
	unusedCopies := map[model.GuaranteeID]int{}
	for id, g := range sim.config.Guarantees {
		unusedCopies[id] = g.Count
	}
	for _, u := range sim.cluster.Unbound() {
		unusedCopies[u.Guarantee]--
	}
	for _, plan := range sim.running {
		unusedCopies[plan.Guarantee]--
	}
	var claims, victims []model.JobID
	defer func() {
		for _, id := range claims {
			sim.cluster.Remove(id)
		}
		for _, id := range victims {
			sim.cluster.Add(sim.jobs[id], sim.running[id])
		}
	}()
	for _, id := range slices.Sorted(maps.Keys(sim.config.Guarantees)) {
		for n := range max(0, unusedCopies[id]) {
			j := newJob(fmt.Sprintf("claim-%s-%d", id, n), sim.config.Guarantees[id].Customer, "firm", sim.config.Guarantees[id].Shape)
			plan, blocked := sim.cluster.Plan(j)
			if blocked != nil {
				return fmt.Errorf("copy %d of guarantee %s cannot be placed: %s %v", n, id, blocked.Reason, blocked.Inputs)
			}
			sim.cluster.Add(j, plan)
			claims = append(claims, j.ID)
			for _, victim := range plan.Preempt {
				if sim.running[victim].Guarantee != "" || !sim.config.JobClasses[sim.jobs[victim].Class].Stoppable() ||
					slices.Contains(victims, victim) {
					return fmt.Errorf("guarantee %s preempts %s, which may not be stopped", id, victim)
				}
				sim.cluster.MarkStopping(victim)
				victims = append(victims, victim)
			}
		}
	}
	return nil
}

func randomSimulation(t *rapid.T, options place.Options) *simulation {
	config := newConfig(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(2, 7).Draw(t, "workers"))
	for i := range rapid.IntRange(0, 5).Draw(t, "guarantees") {
		id := model.GuaranteeID(fmt.Sprintf("g%d", i))
		customer := rapid.SampledFrom([]model.CustomerID{"a", "b"}).Draw(t, "customer")
		shape := rapid.SampledFrom([]model.ShapeID{"one", "quad", "worker", "half", "twelve", "wide"}).Draw(t, "shape")
		addGuarantee(config, id, customer, shape, rapid.IntRange(1, 3).Draw(t, "count"))
		if len(place.Check(config)) > 0 {
			delete(config.Guarantees, id)
		}
	}
	return &simulation{
		config: config, cluster: cluster(config, options), workers: place.DeclaredWorkers(config, "dc"),
		running: map[model.JobID]place.Plan{}, jobs: map[model.JobID]place.Job{}, stopped: map[model.JobID]bool{},
	}
}

// rebuildCounts counts all rebuilds, and those after which fewer guarantee copies were bound than before.
type rebuildCounts struct{ total, fewerBound int }

// runSchedule makes random steps and returns the first violation.
func runSchedule(t *rapid.T, options place.Options, counts *rebuildCounts) error {
	sim := randomSimulation(t, options)
	defer func() {
		counts.total += sim.rebuilds
		counts.fewerBound += sim.fewerBound
	}()
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		switch rapid.SampledFrom([]string{"submit", "submit", "submit", "end", "victims-end", "worker", "reconfigure", "rebuild"}).Draw(t, "step") {
		case "submit":
			sim.lastJob++
			customer := rapid.SampledFrom([]model.CustomerID{"a", "b", "c"}).Draw(t, "customer")
			class := rapid.SampledFrom([]model.JobClassID{"urgent", "urgent-firm", "firm", "soft", "back"}).Draw(t, "class")
			shape := rapid.SampledFrom([]model.ShapeID{"one", "quad", "worker", "half", "twelve", "rack", "wide"}).Draw(t, "shape")
			j := newJob(fmt.Sprintf("j%03d", sim.lastJob), customer, class, shape)
			if plan, blocked := sim.cluster.Plan(j); blocked == nil {
				sim.commitPlan(j, plan)
			}
		case "end":
			if jobIDs := sim.jobIDs(false); len(jobIDs) > 0 {
				sim.removeJob(rapid.SampledFrom(jobIDs).Draw(t, "ended"))
			}
		case "victims-end":
			for _, id := range sim.jobIDs(true) {
				sim.removeJob(id)
			}
		case "worker":
			sim.toggleWorker(rapid.IntRange(0, len(sim.workers)-1).Draw(t, "worker"))
		case "reconfigure":
			sim.config = sim.config.Clone()
			before := len(sim.cluster.Unbound())
			sim.cluster.Reconfigure(sim.config)
			if after := len(sim.cluster.Unbound()); after > before {
				return fmt.Errorf("%d copies are unbound after an unrelated change of the configuration, %d before", after, before)
			}
		case "rebuild":
			sim.rebuildCluster(options)
		}
		if err := sim.checkInvariants(); err != nil {
			return err
		}
	}
	return nil
}

// rebuildCluster replaces the cluster as a new owner does, from the running jobs.
func (sim *simulation) rebuildCluster(options place.Options) {
	for _, id := range sim.jobIDs(true) {
		sim.removeJob(id)
	}
	before := len(sim.cluster.Unbound())
	next := place.NewClusterWithOptions(sim.config, "dc", options)
	var running []place.Running
	for _, id := range sim.jobIDs(false) {
		running = append(running, place.Running{
			Job: sim.jobs[id], Slots: sim.running[id].Slots, Lent: sim.running[id].Lent, Guarantee: sim.running[id].Guarantee,
		})
	}
	next.Restore(sim.workers, running)
	for id, plan := range sim.running {
		plan.Guarantee, _ = next.GuaranteeOf(id)
		sim.running[id] = plan
	}
	sim.cluster = next
	sim.rebuilds++
	if len(next.Unbound()) > before {
		sim.fewerBound++
	}
}

func (sim *simulation) jobIDs(stopped bool) []model.JobID {
	var jobIDs []model.JobID
	for id := range sim.running {
		if sim.stopped[id] == stopped {
			jobIDs = append(jobIDs, id)
		}
	}
	slices.Sort(jobIDs)
	return jobIDs
}

// toggleWorker closes a worker or makes it usable again. The jobs of a closed worker end, as the owner stops their gangs.
func (sim *simulation) toggleWorker(i int) {
	worker := &sim.workers[i]
	if worker.State == place.WorkerClosed {
		worker.State = place.WorkerUsable
		sim.cluster.SetWorkers(sim.workers)
		return
	}
	worker.State = place.WorkerClosed
	sim.cluster.SetWorkers(sim.workers)
	for _, id := range sim.cluster.JobsOnWorker(worker.ID) {
		sim.removeJob(id)
	}
}

// scheduleCount is the number of random schedules; their seeds are 0 to scheduleCount-1.
const scheduleCount = 1500

// firstViolation returns the first seed whose schedule violates an invariant, with the violation.
func firstViolation(options place.Options) (int, rebuildCounts, error) {
	var counts rebuildCounts
	gen := rapid.Custom(func(t *rapid.T) error { return runSchedule(t, options, &counts) })
	for seed := range scheduleCount {
		if err := gen.Example(seed); err != nil {
			return seed, counts, err
		}
	}
	return 0, counts, nil
}

var _ = Describe("Random clusters", func() {
	// Guards against any order of submissions, ends, preemptions and failures that breaks P1 or allocates an accelerator twice.
	It("keep guaranteed shapes reclaimable, adjacency and single use", func() {
		seed, counts, err := firstViolation(place.Options{})
		Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
		// A take-over computes bindings again by a heuristic. A lost binding is reported to operators and must stay rare.
		Expect(counts.fewerBound*1000).To(BeNumerically("<=", counts.total), "%d of %d", counts.fewerBound, counts.total)
		GinkgoWriter.Printf("seeds 0 to %d hold; %d of %d take-overs bound fewer copies\n", scheduleCount-1, counts.fewerBound, counts.total)
	})

	// Guards against a property test that cannot fail: without the lending rule it must report a violation of P1.
	It("are seen to break the promise when everything may use lent capacity", func() {
		seed, _, err := firstViolation(place.Options{LendToUnstoppable: true})
		Expect(err).To(MatchError(ContainSubstring("cannot be placed")), "seed %d", seed)
	})
})
