package speed

import (
	"context"
	"fmt"
	"time"

	"peridotgw.example/peridotgw/bench/internal/table"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/sched"
	"peridotgw.example/peridotgw/model"
)

// newDeployment declares a deployment of a size over several data centres, with guarantees of three shapes.
func newDeployment(s size, dataCentres int) *model.Set {
	set := newSet(s)
	delete(set.DataCentres, "dc")
	clear(set.Guarantees)
	// Validation accepts no shape without accelerators.
	delete(set.Shapes, "batch")
	shapes := []model.ShapeID{"worker", "quad", "one", "quad"}
	for i := range dataCentres {
		id := model.DataCentreID(fmt.Sprintf("dc-%02d", i))
		set.DataCentres[id] = newDataCentre(size{workers: s.workers / dataCentres, accelerators: s.accelerators / dataCentres / acceleratorsPerWorker * acceleratorsPerWorker}, string(id))
		// Guarantees take half of the accelerators in workers with acceleratorsPerWorker.
		budget := (s.accelerators - s.workers) / dataCentres / 2
		for n := 0; budget > 0; n++ {
			shape := shapes[n%len(shapes)]
			set.Guarantees[model.GuaranteeID(fmt.Sprintf("%s-%03d", id, n))] = model.Guarantee{
				Customer: customerID((i*37 + n) % s.customers), Shape: shape, DataCentre: id, Count: 1,
			}
			budget -= int(set.Shapes[shape].Accelerators())
		}
	}
	// A small data centre cannot bind all guarantees.
	for _, problem := range place.Check(set) {
		delete(set.Guarantees, model.GuaranteeID(problem.Name))
	}
	return set
}

// MeasureApply measures decoding, validating and applying a whole configuration at fleets of the given numbers of workers.
func MeasureApply(ctx context.Context, workers []int) ([]*table.Table, error) {
	t := table.New("Speed: validating and applying a configuration", "workers", "data centres", "customers", "guarantees", "objects",
		"step", "median us", "p99 us")
	for _, count := range workers {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		s := scaledSize(count)
		dataCentres := max(1, designDataCentres*count/designWorkers)
		set := newDeployment(s, dataCentres)
		objects, err := set.Objects()
		if err != nil {
			return nil, fmt.Errorf("listing the objects: %w", err)
		}
		if problems := append(model.Validate(set), place.Check(set)...); len(problems) > 0 {
			return nil, fmt.Errorf("the generated configuration has %d problems, the first: %s", len(problems), problems[0])
		}
		next := set.Clone()
		next.Revision++
		cores := newIdleCores(set)
		steps := []struct {
			name string
			run  func()
		}{
			{"decode all objects", func() { _, err = model.FromObjects(objects) }},
			{"validate", func() { model.Validate(set) }},
			{"check that all guarantees can be bound", func() { place.Check(set) }},
			{"apply in all data centres of one owner", func() {
				set, next = next, set
				for _, core := range cores {
					core.SetConfig(set)
				}
			}},
		}
		for _, step := range steps {
			timing, measureErr := measure(maxRepetitions, maxSeriesTime, step.run)
			if measureErr != nil || err != nil {
				return nil, fmt.Errorf("%s: %w", step.name, firstError(measureErr, err))
			}
			t.Add(s.workers, dataCentres, s.customers, len(set.Guarantees), len(objects), step.name, timing.micros(50), timing.micros(99))
		}
	}
	t.Note("Applying is done without running jobs; an owner has one to a few data centres, and here it has all.")
	return []*table.Table{t}, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func newIdleCores(set *model.Set) []*sched.Core {
	var cores []*sched.Core
	for id := range set.DataCentres {
		core := sched.NewCore(id, "bench", 1, set, sched.DefaultTuning(), place.Options{})
		var vms []sched.WorkerVM
		for _, w := range place.DeclaredWorkers(set, id) {
			vms = append(vms, sched.WorkerVM{ID: w.ID, DataCentre: id, Rack: w.Rack, Accelerators: w.Accelerators, Cores: w.Cores})
		}
		core.SetWorkers(vms)
		core.RunPass(time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC), true)
		cores = append(cores, core)
	}
	return cores
}
