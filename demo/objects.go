package main

import (
	"maps"
	"slices"

	"peridotgw.example/peridotgw/model"
)

// largestGuarantee returns the guarantee of a rack-adjacent shape with the most accelerators.
func (s *scenario) largestGuarantee() (model.Guarantee, model.Shape) {
	set := s.deployment.set
	var best model.Guarantee
	var size model.Accelerators
	for _, name := range slices.Sorted(maps.Keys(set.Guarantees)) {
		guarantee := set.Guarantees[name]
		shape := set.Shapes[guarantee.Shape]
		if shape.Adjacency == model.AdjacencyRack && shape.Accelerators() > size {
			best, size = guarantee, shape.Accelerators()
		}
	}
	return best, set.Shapes[best.Shape]
}

func (s *scenario) smallestShape() (model.ShapeID, model.Accelerators) {
	set := s.deployment.set
	var best model.ShapeID
	var size model.Accelerators
	for _, name := range slices.Sorted(maps.Keys(set.Shapes)) {
		if n := set.Shapes[name].Accelerators(); size == 0 || n < size {
			best, size = name, n
		}
	}
	return best, size
}

func (s *scenario) firstJobClass() model.JobClassID {
	return slices.Sorted(maps.Keys(s.deployment.set.JobClasses))[0]
}

// stoppableClass returns the least urgent job class that may run on lent capacity.
func (s *scenario) stoppableClass() (model.JobClassID, bool) {
	set := s.deployment.set
	var best model.JobClassID
	rank := -1
	for _, name := range slices.Sorted(maps.Keys(set.JobClasses)) {
		if class := set.JobClasses[name]; class.Stoppable() && class.Priority.Rank() > rank {
			best, rank = name, class.Priority.Rank()
		}
	}
	return best, rank >= 0
}

// checkpointableClass returns a job class whose jobs keep their progress when they are moved, or else any job class.
func (s *scenario) checkpointableClass() model.JobClassID {
	set := s.deployment.set
	for _, name := range slices.Sorted(maps.Keys(set.JobClasses)) {
		if set.JobClasses[name].Checkpointable {
			return name
		}
	}
	return s.firstJobClass()
}

// nonIdempotentClass returns a request class whose requests must not be repeated.
func (s *scenario) nonIdempotentClass() (model.RequestClassID, bool) {
	set := s.deployment.set
	for _, name := range slices.Sorted(maps.Keys(set.RequestClasses)) {
		if !set.RequestClasses[name].Idempotent {
			return name, true
		}
	}
	return "", false
}

// otherCustomer returns the customer with the largest quota among all but the excluded one.
func (s *scenario) otherCustomer(excluded model.CustomerID) model.CustomerID {
	set := s.deployment.set
	var best model.CustomerID
	var quota model.Accelerators
	for _, name := range slices.Sorted(maps.Keys(set.Customers)) {
		if customer := set.Customers[name]; name != excluded && customer.QuotaAccelerators > quota {
			best, quota = name, customer.QuotaAccelerators
		}
	}
	return best
}

func (d *deployment) countMachines(kind string) int {
	n := 0
	for _, m := range d.machines {
		if m.Kind == kind {
			n++
		}
	}
	return n
}

// accelerators returns the total number of accelerators in a data centre.
func (d *deployment) accelerators(dc model.DataCentreID) model.Accelerators {
	var total model.Accelerators
	for _, rack := range d.set.DataCentres[dc].Racks {
		total += model.Accelerators(rack.Workers) * rack.AcceleratorsPerWorker
	}
	return total
}
