package place_test

import (
	"fmt"

	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

// newConfig returns a data centre with racks of workers that have 8 accelerators each.
func newConfig(racks, workers int) *model.Set {
	config := model.NewSet()
	dc := model.DataCentre{Service: model.ServiceIn}
	for i := range racks {
		dc.Racks = append(dc.Racks, model.Rack{Name: model.RackID(fmt.Sprintf("r%03d", i)), Workers: workers, AcceleratorsPerWorker: 8})
	}
	config.DataCentres["dc"] = dc
	for _, customer := range []model.CustomerID{"a", "b", "c"} {
		config.Customers[customer] = model.Customer{}
	}
	for name, shape := range map[model.ShapeID]model.Shape{
		"one":    {Tasks: 1, AcceleratorsPerTask: 1, Adjacency: model.AdjacencyWorker},
		"quad":   {Tasks: 1, AcceleratorsPerTask: 4, Adjacency: model.AdjacencyWorker},
		"worker": {Tasks: 1, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyWorker},
		"twelve": {Tasks: 12, AcceleratorsPerTask: 4, Adjacency: model.AdjacencyRack},
		"half":   {Tasks: 3, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyRack},
		"rack":   {Tasks: 6, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyRack},
		"wide":   {Tasks: 9, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyAny},
		"cores":  {Tasks: 20, AcceleratorsPerTask: 0, Adjacency: model.AdjacencyAny},
	} {
		config.Shapes[name] = shape
	}
	stopWithin := model.MaxStopWithin
	config.JobClasses["urgent"] = model.JobClass{Priority: model.PriorityUrgent, Repeatable: true}
	config.JobClasses["urgent-firm"] = model.JobClass{Priority: model.PriorityUrgent}
	config.JobClasses["firm"] = model.JobClass{Priority: model.PriorityNormal}
	config.JobClasses["soft"] = model.JobClass{Priority: model.PriorityNormal, Checkpointable: true, StopWithin: stopWithin}
	config.JobClasses["back"] = model.JobClass{Priority: model.PriorityBackground, Checkpointable: true, StopWithin: stopWithin}
	return config
}

func addGuarantee(config *model.Set, id model.GuaranteeID, customer model.CustomerID, shape model.ShapeID, count int) {
	config.Guarantees[id] = model.Guarantee{Customer: customer, Shape: shape, DataCentre: "dc", Count: count}
}

func cluster(config *model.Set, options place.Options) *place.Cluster {
	c := place.NewClusterWithOptions(config, "dc", options)
	c.SetWorkers(place.DeclaredWorkers(config, "dc"))
	return c
}

var lastOrder int64

func newJob(id string, customer model.CustomerID, class model.JobClassID, shape model.ShapeID) place.Job {
	lastOrder++
	return place.Job{ID: model.JobID(id), Customer: customer, Class: class, Shape: shape, Order: lastOrder}
}

// mustPlace plans and adds a job; it panics when the job is blocked.
func mustPlace(c *place.Cluster, j place.Job) place.Plan {
	plan, blocked := c.Plan(j)
	if blocked != nil {
		panic(fmt.Sprintf("fixture job %s is blocked: %s %v", j.ID, blocked.Reason, blocked.Inputs))
	}
	c.Add(j, plan)
	return plan
}

func tasksByRack(plan place.Plan) map[model.RackID]int {
	racks := map[model.RackID]int{}
	for _, slot := range plan.Slots {
		racks[slot.Rack]++
	}
	return racks
}
