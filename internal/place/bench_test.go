package place_test

import (
	"fmt"
	"testing"

	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

// loadedCluster returns a cluster whose accelerators are mostly allocated. At the design size 1,025 workers have 8,200
// accelerators in racks of eight workers, 3,475 workers have none, and 75,000 tasks run in total.
func loadedCluster(b *testing.B, gpuRacks, coreRacks, tasks int, options place.Options) (*place.Cluster, *model.Set) {
	b.Helper()
	config := newConfig(gpuRacks, 8)
	dc := config.DataCentres["dc"]
	for i := range coreRacks {
		dc.Racks = append(dc.Racks, model.Rack{Name: model.RackID(fmt.Sprintf("z%03d", i)), Workers: 8, CoresPerWorker: 64})
	}
	config.DataCentres["dc"] = dc
	config.Shapes["gang"] = model.Shape{Tasks: 512, AcceleratorsPerTask: 1, Adjacency: model.AdjacencyAny}
	config.Shapes["batch"] = model.Shape{Tasks: 100, Adjacency: model.AdjacencyAny}
	addGuarantee(config, "g", "a", "rack", gpuRacks/5)
	c := cluster(config, options)
	running := 0
	for i := range gpuRacks * 6 {
		class := []model.JobClassID{"back", "soft", "firm"}[i%3]
		j := newJob(fmt.Sprintf("g%06d", i), "b", class, "worker")
		if plan, blocked := c.Plan(j); blocked == nil {
			c.Add(j, plan)
			running++
		}
	}
	for ; running < tasks; running += 100 {
		j := newJob(fmt.Sprintf("c%06d", running), "c", "soft", "batch")
		plan, blocked := c.Plan(j)
		if blocked != nil {
			break
		}
		c.Add(j, plan)
	}
	return c, config
}

// BenchmarkPlan measures one plan by job shape, for each variant of the placement.
func BenchmarkPlan(b *testing.B) {
	sizes := []struct {
		name              string
		gpu, cores, tasks int
	}{{"workers=50", 6, 0, 300}, {"workers=4500", 128, 434, 75000}}
	variants := []struct {
		name    string
		options place.Options
	}{{"design", place.Options{}}, {"first-fit", place.Options{FirstFit: true}}, {"strict-partition", place.Options{NoLending: true}}}
	workloads := []struct {
		name  string
		class model.JobClassID
		shape model.ShapeID
	}{{"small", "soft", "one"}, {"rack", "soft", "half"}, {"gang512", "soft", "gang"}, {"guaranteed", "firm", "rack"}}
	for _, size := range sizes {
		for _, variant := range variants {
			c, _ := loadedCluster(b, size.gpu, size.cores, size.tasks, variant.options)
			for _, workload := range workloads {
				customer := model.CustomerID("b")
				if workload.name == "guaranteed" {
					customer = "a"
				}
				j := newJob("new", customer, workload.class, workload.shape)
				b.Run(size.name+"/"+variant.name+"/"+workload.name, func(b *testing.B) {
					b.ReportAllocs()
					placed := 0
					for b.Loop() {
						plan, blocked := c.Plan(j)
						if blocked == nil && len(plan.Preempt) == 0 {
							c.Add(j, plan)
							c.Remove(j.ID)
						}
						if blocked == nil {
							placed++
						}
					}
					b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
				})
			}
		}
	}
}

// BenchmarkPreempt plans urgent and guaranteed jobs while jobs of one accelerator each hold all accelerators.
func BenchmarkPreempt(b *testing.B) {
	for _, size := range []struct {
		name  string
		racks int
	}{{"workers=50", 6}, {"workers=1025", 128}} {
		config := newConfig(size.racks, 8)
		config.Shapes["gang"] = model.Shape{Tasks: model.TaskCount(min(512, size.racks*32)), AcceleratorsPerTask: 1, Adjacency: model.AdjacencyAny}
		addGuarantee(config, "g", "a", "rack", size.racks/5)
		c := cluster(config, place.Options{})
		for i := range size.racks * 64 {
			mustPlace(c, newJob(fmt.Sprintf("j%05d", i), "b", []model.JobClassID{"back", "soft"}[i%2], "one"))
		}
		for _, workload := range []struct {
			name     string
			customer model.CustomerID
			class    model.JobClassID
			shape    model.ShapeID
		}{{"urgent-gang", "c", "urgent", "gang"}, {"urgent-rack", "c", "urgent", "rack"}, {"urgent-worker", "c", "urgent", "worker"}, {"guaranteed-rack", "a", "firm", "rack"}} {
			j := newJob("new", workload.customer, workload.class, workload.shape)
			b.Run(size.name+"/"+workload.name, func(b *testing.B) {
				b.ReportAllocs()
				victims := 0
				for b.Loop() {
					plan, blocked := c.Plan(j)
					if blocked != nil {
						b.Fatal(blocked.Reason)
					}
					victims = len(plan.Preempt)
				}
				b.ReportMetric(float64(victims), "victims")
			})
		}
	}
}

// BenchmarkSetWorkers measures one change of the workers, which rebuilds all racks, allocations and bindings.
func BenchmarkSetWorkers(b *testing.B) {
	c, config := loadedCluster(b, 128, 434, 75000, place.Options{})
	workers := place.DeclaredWorkers(config, "dc")
	b.ReportAllocs()
	for b.Loop() {
		c.SetWorkers(workers)
	}
}
