package speed

import (
	"fmt"

	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

// Sizes of the design, which deployments are expected to reach within two years.
const (
	designWorkers         = 4500
	designAccelerators    = 8200
	designTasks           = 75000
	designCustomers       = 470
	designDataCentres     = 11
	designGang            = 512
	workersPerRack        = 8
	acceleratorsPerWorker = 8
)

// size is the design size, scaled by the number of workers.
type size struct {
	workers, accelerators, tasks, customers, gang int
}

// scaledSize returns the design size scaled to a number of workers.
func scaledSize(workers int) size {
	part := func(whole int) int { return max(1, whole*workers/designWorkers) }
	accelerators := part(designAccelerators)
	return size{
		workers: workers, accelerators: accelerators, tasks: part(designTasks), customers: max(4, part(designCustomers)),
		gang: min(designGang, accelerators/4),
	}
}

// Job classes of the generated set: firm jobs cannot be stopped, soft and back ones are checkpointed, urgent ones are repeated.
const (
	classFirm   model.JobClassID = "firm"
	classSoft   model.JobClassID = "soft"
	classBack   model.JobClassID = "back"
	classUrgent model.JobClassID = "urgent"
)

// newSet declares one data centre of a size: racks of workers with acceleratorsPerWorker accelerators, racks with one
// accelerator per worker, and guarantees over a quarter of the workers with acceleratorsPerWorker.
func newSet(s size) *model.Set {
	set := model.NewSet()
	set.Revision = 1
	set.DataCentres["dc"] = newDataCentre(s, "r")
	for i := range s.customers {
		set.Customers[customerID(i)] = model.Customer{Weight: 1 + i%4}
	}
	for name, shape := range map[model.ShapeID]model.Shape{
		"one":    {Tasks: 1, AcceleratorsPerTask: 1, Adjacency: model.AdjacencyWorker},
		"quad":   {Tasks: 1, AcceleratorsPerTask: 4, Adjacency: model.AdjacencyWorker},
		"worker": {Tasks: 1, AcceleratorsPerTask: acceleratorsPerWorker, Adjacency: model.AdjacencyWorker},
		"half":   {Tasks: 4, AcceleratorsPerTask: acceleratorsPerWorker, Adjacency: model.AdjacencyRack},
		"gang":   {Tasks: model.TaskCount(s.gang), AcceleratorsPerTask: 1, Adjacency: model.AdjacencyAny},
		"batch":  {Tasks: 100, Adjacency: model.AdjacencyAny},
	} {
		set.Shapes[name] = shape
	}
	stopWithin := model.MaxStopWithin
	set.JobClasses[classFirm] = model.JobClass{Priority: model.PriorityNormal}
	set.JobClasses[classSoft] = model.JobClass{Priority: model.PriorityNormal, Checkpointable: true, StopWithin: stopWithin}
	set.JobClasses[classBack] = model.JobClass{Priority: model.PriorityBackground, Checkpointable: true, StopWithin: stopWithin}
	set.JobClasses[classUrgent] = model.JobClass{Priority: model.PriorityUrgent, Repeatable: true, StopWithin: stopWithin}
	for i := range (s.accelerators - s.workers) / (acceleratorsPerWorker - 1) / 4 {
		set.Guarantees[model.GuaranteeID(fmt.Sprintf("g%04d", i))] = model.Guarantee{
			Customer: customerID(i % s.customers), Shape: "worker", DataCentre: "dc", Count: 1,
		}
	}
	return set
}

func customerID(i int) model.CustomerID { return model.CustomerID(fmt.Sprintf("customer-%03d", i)) }

func newDataCentre(s size, prefix string) model.DataCentre {
	dc := model.DataCentre{Region: "region", Service: model.ServiceIn}
	add := func(name string, workers, accelerators int) {
		for i := 0; workers > 0; i++ {
			rack := min(workersPerRack, workers)
			dc.Racks = append(dc.Racks, model.Rack{
				Name: model.RackID(fmt.Sprintf("%s-%s%03d", prefix, name, i)), Workers: rack,
				AcceleratorsPerWorker: model.Accelerators(accelerators), CoresPerWorker: 64,
			})
			workers -= rack
		}
	}
	// Every worker has at least one accelerator, as validation requires; the others are in workers with
	// acceleratorsPerWorker.
	full := (s.accelerators - s.workers) / (acceleratorsPerWorker - 1)
	add("a", full, acceleratorsPerWorker)
	add("b", s.workers-full, 1)
	return dc
}

// newLoadedCluster returns a cluster filled with jobs down to a share of free accelerators, and then with tasks without
// accelerators up to the number of the size, and the running jobs.
func newLoadedCluster(set *model.Set, s size, freeShare float64) (*place.Cluster, []place.Running) {
	c := place.NewCluster(set, "dc")
	c.SetWorkers(place.DeclaredWorkers(set, "dc"))
	var running []place.Running
	add := func(class model.JobClassID, shape model.ShapeID) int {
		n := len(running)
		job := place.Job{
			ID: model.JobID(fmt.Sprintf("job-%06d", n)), Customer: customerID(n % s.customers), Class: class, Shape: shape, Order: int64(n),
		}
		plan, blocked := c.Plan(job)
		if blocked != nil || len(plan.Preempt) > 0 {
			return 0
		}
		c.Add(job, plan)
		running = append(running, place.Running{Job: job, Slots: plan.Slots, Lent: plan.Lent})
		return len(plan.Slots)
	}
	classes := []model.JobClassID{classFirm, classSoft, classBack}
	tasks := 0
	for i := 0; ; i++ {
		free, _ := c.Free()
		if float64(free) <= freeShare*float64(s.accelerators) {
			break
		}
		placed := add(classes[i%3], []model.ShapeID{"quad", "worker", "one"}[i%3])
		if tasks += placed; placed == 0 && i%3 == 2 {
			break
		}
	}
	for tasks < s.tasks {
		placed := add(classSoft, "batch")
		if tasks += placed; placed == 0 {
			break
		}
	}
	return c, running
}
