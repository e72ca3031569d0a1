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

// world drives a cluster and keeps its own books of who holds what.
type world struct {
	set     *model.Set
	cluster *place.Cluster
	workers []place.Worker
	running map[model.JobID]place.Plan
	jobs    map[model.JobID]place.Job
	stopped map[model.JobID]bool
	next    int
	// rebuilds counts take-overs, and worse those after which fewer guarantees were bound.
	rebuilds, worse int
}

func (w *world) used() map[model.WorkerID]model.Accelerators {
	used := map[model.WorkerID]model.Accelerators{}
	for id, plan := range w.running {
		for _, slot := range plan.Slots {
			if !w.stopped[id] {
				used[slot.Worker] += slot.Accelerators
			}
		}
	}
	return used
}

// commit adds a plan as the owner does: victims are marked first and removed before the job counts as started.
func (w *world) commit(j place.Job, plan place.Plan) {
	w.cluster.Add(j, plan)
	w.running[j.ID], w.jobs[j.ID] = plan, j
	for _, id := range plan.Preempt {
		w.cluster.Stopping(id)
		w.stopped[id] = true
	}
}

func (w *world) remove(id model.JobID) {
	w.cluster.Remove(id)
	delete(w.running, id)
	delete(w.stopped, id)
}

// check reports the first broken promise.
func (w *world) check() error {
	for id, used := range w.used() {
		for _, worker := range w.workers {
			if worker.ID == id && used > worker.Accelerators {
				return fmt.Errorf("worker %s has %d accelerators and %d are given", id, worker.Accelerators, used)
			}
		}
	}
	for id, plan := range w.running {
		if err := adjacent(w.set.Shapes[w.jobs[id].Shape], plan); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
	}
	return w.reclaimable()
}

func adjacent(shape model.Shape, plan place.Plan) error {
	workers, racks := map[model.WorkerID]bool{}, map[model.RackID]bool{}
	for _, slot := range plan.Slots {
		workers[slot.Worker], racks[slot.Rack] = true, true
	}
	if len(plan.Slots) != int(shape.Tasks) || (shape.Adjacency == model.AdjacencyWorker && len(workers) > 1) ||
		(shape.Adjacency == model.AdjacencyRack && len(racks) > 1) {
		return fmt.Errorf("%d tasks on %d workers in %d racks do not keep %v", len(plan.Slots), len(workers), len(racks), shape)
	}
	return nil
}

// reclaimable places every bound copy that its customer does not use, all at the same time, and takes them away again.
func (w *world) reclaimable() error {
	open := map[model.GuaranteeID]int{}
	for id, g := range w.set.Guarantees {
		open[id] = g.Count
	}
	for _, u := range w.cluster.Unbound() {
		open[u.Guarantee]--
	}
	for _, plan := range w.running {
		open[plan.Guarantee]--
	}
	var claims, victims []model.JobID
	defer func() {
		for _, id := range claims {
			w.cluster.Remove(id)
		}
		for _, id := range victims {
			w.cluster.Add(w.jobs[id], w.running[id])
		}
	}()
	for _, id := range slices.Sorted(maps.Keys(w.set.Guarantees)) {
		for n := range max(0, open[id]) {
			j := job(fmt.Sprintf("claim-%s-%d", id, n), w.set.Guarantees[id].Customer, "firm", w.set.Guarantees[id].Shape)
			plan, blocked := w.cluster.Plan(j)
			if blocked != nil {
				return fmt.Errorf("copy %d of guarantee %s cannot be placed: %s %v", n, id, blocked.Reason, blocked.Inputs)
			}
			w.cluster.Add(j, plan)
			claims = append(claims, j.ID)
			for _, victim := range plan.Preempt {
				if w.running[victim].Guarantee != "" || !w.set.JobClasses[w.jobs[victim].Class].Stoppable() || slices.Contains(victims, victim) {
					return fmt.Errorf("guarantee %s preempts %s, which may not be stopped", id, victim)
				}
				w.cluster.Stopping(victim)
				victims = append(victims, victim)
			}
		}
	}
	return nil
}

func randomWorld(t *rapid.T, options place.Options) *world {
	set := county(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(2, 7).Draw(t, "workers"))
	for i := range rapid.IntRange(0, 5).Draw(t, "guarantees") {
		id := model.GuaranteeID(fmt.Sprintf("g%d", i))
		customer := rapid.SampledFrom([]model.CustomerID{"a", "b"}).Draw(t, "customer")
		shape := rapid.SampledFrom([]model.ShapeID{"one", "quad", "worker", "half", "twelve", "wide"}).Draw(t, "shape")
		guarantee(set, id, customer, shape, rapid.IntRange(1, 3).Draw(t, "count"))
		if len(place.Check(set)) > 0 {
			delete(set.Guarantees, id)
		}
	}
	return &world{
		set: set, cluster: cluster(set, options), workers: place.Declared(set, "dc"),
		running: map[model.JobID]place.Plan{}, jobs: map[model.JobID]place.Job{}, stopped: map[model.JobID]bool{},
	}
}

// takeOvers counts rebuilds, and those after which fewer guarantees were bound than before.
type takeOvers struct{ all, worse int }

// run makes random steps and returns the first broken promise.
func run(t *rapid.T, options place.Options, counts *takeOvers) error {
	w := randomWorld(t, options)
	defer func() {
		counts.all += w.rebuilds
		counts.worse += w.worse
	}()
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		switch rapid.SampledFrom([]string{"submit", "submit", "submit", "end", "victims-end", "worker", "reconfigure", "rebuild"}).Draw(t, "step") {
		case "submit":
			w.next++
			customer := rapid.SampledFrom([]model.CustomerID{"a", "b", "c"}).Draw(t, "customer")
			class := rapid.SampledFrom([]model.JobClassID{"urgent", "urgent-firm", "firm", "soft", "back"}).Draw(t, "class")
			shape := rapid.SampledFrom([]model.ShapeID{"one", "quad", "worker", "half", "twelve", "rack", "wide"}).Draw(t, "shape")
			j := job(fmt.Sprintf("j%03d", w.next), customer, class, shape)
			if plan, blocked := w.cluster.Plan(j); blocked == nil {
				w.commit(j, plan)
			}
		case "end":
			if ids := w.ids(false); len(ids) > 0 {
				w.remove(rapid.SampledFrom(ids).Draw(t, "ended"))
			}
		case "victims-end":
			for _, id := range w.ids(true) {
				w.remove(id)
			}
		case "worker":
			w.toggle(rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker"))
		case "reconfigure":
			w.set = w.set.Clone()
			before := len(w.cluster.Unbound())
			w.cluster.Reconfigure(w.set)
			if after := len(w.cluster.Unbound()); after > before {
				return fmt.Errorf("%d copies are unbound after a change of something else, %d before", after, before)
			}
		case "rebuild":
			w.rebuild(options)
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// rebuild replaces the cluster as a new owner does, from the jobs that run.
func (w *world) rebuild(options place.Options) {
	for _, id := range w.ids(true) {
		w.remove(id)
	}
	before := len(w.cluster.Unbound())
	next := place.NewVariant(w.set, "dc", options)
	var running []place.Running
	for _, id := range w.ids(false) {
		running = append(running, place.Running{
			Job: w.jobs[id], Slots: w.running[id].Slots, Lent: w.running[id].Lent, Guarantee: w.running[id].Guarantee,
		})
	}
	next.Restore(w.workers, running)
	for id, plan := range w.running {
		plan.Guarantee, _ = next.Inside(id)
		w.running[id] = plan
	}
	w.cluster = next
	w.rebuilds++
	if len(next.Unbound()) > before {
		w.worse++
	}
}

func (w *world) ids(stopped bool) []model.JobID {
	var ids []model.JobID
	for id := range w.running {
		if w.stopped[id] == stopped {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// toggle fails or returns a worker. The jobs of a failed worker end, as the owner stops their gangs.
func (w *world) toggle(i int) {
	worker := &w.workers[i]
	if worker.State == place.WorkerClosed {
		worker.State = place.WorkerUsable
		w.cluster.SetWorkers(w.workers)
		return
	}
	worker.State = place.WorkerClosed
	w.cluster.SetWorkers(w.workers)
	for _, id := range w.cluster.On(worker.ID) {
		w.remove(id)
	}
}

// schedules is the number of random schedules; their seeds are 0 to schedules-1.
const schedules = 1500

// broken returns the first seed whose schedule breaks a promise, with the promise.
func broken(options place.Options) (int, takeOvers, error) {
	var counts takeOvers
	gen := rapid.Custom(func(t *rapid.T) error { return run(t, options, &counts) })
	for seed := range schedules {
		if err := gen.Example(seed); err != nil {
			return seed, counts, err
		}
	}
	return 0, counts, nil
}

var _ = Describe("Random clusters", func() {
	// Guards against any order of submissions, ends, preemptions and failures that breaks P1 or gives an accelerator twice.
	It("keep guaranteed shapes reclaimable, adjacency and single use", func() {
		seed, counts, err := broken(place.Options{})
		Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
		// A take-over searches bindings anew by a heuristic. Losing one is reported to operators and must stay rare.
		Expect(counts.worse*1000).To(BeNumerically("<=", counts.all), "%d of %d", counts.worse, counts.all)
		GinkgoWriter.Printf("seeds 0 to %d hold; %d of %d take-overs bound fewer copies\n", schedules-1, counts.worse, counts.all)
	})

	// Guards against a property that cannot fail: without the lending rule it must report a broken promise.
	It("are seen to break the promise when everything may use lent capacity", func() {
		seed, _, err := broken(place.Options{LendToAll: true})
		Expect(err).To(MatchError(ContainSubstring("cannot be placed")), "seed %d", seed)
	})
})
