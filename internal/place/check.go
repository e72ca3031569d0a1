package place

import (
	"cmp"
	"fmt"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// Check reports every guarantee that cannot be bound together with all others on the declared racks, and customers whose
// guarantees exceed their quota.
func Check(config *model.Set) []model.Problem {
	var problems []model.Problem
	guaranteed := map[model.CustomerID]model.Accelerators{}
	for id, guarantee := range config.Guarantees {
		shape := config.Shapes[guarantee.Shape]
		guaranteed[guarantee.Customer] += shape.Accelerators() * model.Accelerators(guarantee.Count)
		if shape.Accelerators() <= 0 {
			problems = append(problems, guaranteeProblem(id, "shape", "shape %q takes no accelerators", guarantee.Shape))
		}
	}
	for id := range config.DataCentres {
		c := NewCluster(config, id)
		c.SetWorkers(DeclaredWorkers(config, id))
		unbound := map[model.GuaranteeID]int{}
		for _, u := range c.Unbound() {
			unbound[u.Guarantee]++
		}
		for guarantee, count := range unbound {
			problems = append(problems, guaranteeProblem(guarantee, "count", "%d of %d copies cannot be bound in data centre %q",
				count, config.Guarantees[guarantee].Count, id))
		}
	}
	for id, total := range guaranteed {
		if quota := config.Customers[id].QuotaAccelerators; quota > 0 && total > quota {
			problems = append(problems, model.Problem{
				Kind: model.KindCustomer, Name: string(id), Field: "quota-accelerators",
				Message: fmt.Sprintf("guarantees of %d accelerators exceed the quota of %d", total, quota),
			})
		}
	}
	slices.SortFunc(problems, func(a, b model.Problem) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Message, b.Message))
	})
	return problems
}

func guaranteeProblem(id model.GuaranteeID, field, format string, args ...any) model.Problem {
	return model.Problem{Kind: model.KindGuarantee, Name: string(id), Field: field, Message: fmt.Sprintf(format, args...)}
}

// DeclaredWorkers returns the workers that a data centre declares, under generated names.
func DeclaredWorkers(config *model.Set, dc model.DataCentreID) []Worker {
	var workers []Worker
	for _, rack := range config.DataCentres[dc].Racks {
		for i := range rack.Workers {
			workers = append(workers, Worker{
				ID: model.WorkerID(fmt.Sprintf("%s/%04d", rack.Name, i)), Rack: rack.Name,
				Accelerators: rack.AcceleratorsPerWorker, Cores: rack.CoresPerWorker, State: WorkerUsable,
			})
		}
	}
	return workers
}

// Fits reports whether a shape fits into the empty racks that a data centre declares.
func Fits(config *model.Set, dc model.DataCentreID, id model.ShapeID) bool {
	shape := config.Shapes[id]
	tasks := 0
	for _, rack := range config.DataCentres[dc].Racks {
		if rack.Workers <= 0 {
			continue
		}
		perWorker := int(rack.AcceleratorsPerWorker)
		if shape.AcceleratorsPerTask == 0 {
			perWorker = cmp.Or(rack.CoresPerWorker, DefaultCores)
		}
		perWorker /= int(max(1, shape.AcceleratorsPerTask))
		switch shape.Adjacency {
		case model.AdjacencyWorker:
			tasks = max(tasks, perWorker)
		case model.AdjacencyRack:
			tasks = max(tasks, perWorker*rack.Workers)
		default:
			tasks += perWorker * rack.Workers
		}
	}
	return shape.Tasks > 0 && tasks >= int(shape.Tasks)
}

// FitsJob reports whether a job could be placed in the declared racks of a data centre if no other job ran. Unstoppable jobs
// get no accelerator that is bound to a guarantee, unless they have the shape of their own customer's guarantee.
func FitsJob(config *model.Set, dc model.DataCentreID, job Job) bool {
	if !Fits(config, dc, job.Shape) {
		return false
	}
	if stoppable(config.JobClasses[job.Class]) {
		return true
	}
	for _, g := range config.Guarantees {
		if g.Customer == job.Customer && g.DataCentre == dc && g.Shape == job.Shape && g.Count > 0 {
			return true
		}
	}
	cluster := NewCluster(config, dc)
	cluster.SetWorkers(DeclaredWorkers(config, dc))
	return cluster.FitsWhenEmpty(job)
}
