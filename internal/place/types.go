package place

import (
	"peridotgw.example/peridotgw/model"
)

// WorkerState tells which new jobs a worker takes.
type WorkerState string

// States of a worker.
const (
	WorkerUsable WorkerState = "usable"
	// WorkerClosed takes no new work: the worker is leaving, lost or quarantined.
	WorkerClosed WorkerState = "closed"
	// WorkerProbe takes one stoppable job that fits on this worker alone, to prove that the worker is no longer faulty.
	WorkerProbe WorkerState = "probe"
)

// Worker is one machine of the data centre.
type Worker struct {
	ID           model.WorkerID
	Rack         model.RackID
	Accelerators model.Accelerators
	// Cores is the number of tasks without accelerators that fit; zero means DefaultCores.
	Cores int
	State WorkerState
}

// DefaultCores is used for workers whose number of cores is not known.
const DefaultCores = 64

// Job holds the properties of a job that placement depends on.
type Job struct {
	ID       model.JobID
	Customer model.CustomerID
	Class    model.JobClassID
	Shape    model.ShapeID
	// Order rises with the start time. Among equal jobs the one with the highest order is preempted first.
	Order int64
	// Avoid names workers on which the job failed; it is not placed there.
	Avoid []model.WorkerID
	// OverRunTime is true for a job that has run for more than three times its declared run time; it is preempted first among
	// jobs of the same priority.
	OverRunTime bool
}

// Slot is the worker and the accelerators of one task.
type Slot struct {
	Worker       model.WorkerID
	Rack         model.RackID
	Accelerators model.Accelerators
}

// Plan is a placement that becomes possible once the jobs in Preempt and WaitFor have ended.
type Plan struct {
	Slots []Slot
	// Preempt names the jobs to stop, in the order in which they were chosen.
	Preempt []model.JobID
	// WaitFor names jobs that are already being stopped and still hold accelerators of the plan.
	WaitFor []model.JobID
	// Guarantee is set when the job uses a copy of its customer's guarantee.
	Guarantee model.GuaranteeID
	// Copy is the number of that copy, from 0.
	Copy int
	// Lent is true when the job uses capacity that is bound to a guarantee that is not its own.
	Lent bool
	// Backfill is true when the job uses a rack that is held for another job.
	Backfill bool
}

// BlockReason tells why a job cannot be placed now.
type BlockReason string

// Reasons why a job cannot be placed now.
const (
	BlockQuota      BlockReason = "quota"
	BlockNoCapacity BlockReason = "no-capacity"
	// BlockFragmented means that enough accelerators are free, but not within the adjacency of the shape.
	BlockFragmented BlockReason = "fragmented"
	// BlockBound means that enough accelerators are free, but they are bound to guarantees and the job cannot be stopped.
	BlockBound BlockReason = "bound-to-guarantees"
	// BlockHeld means that the job fits only into a rack that is held for an older large job.
	BlockHeld BlockReason = "rack-held"
	// BlockUnknown means that the job names a class or shape that the configuration does not have.
	BlockUnknown BlockReason = "unknown-object"
)

// Blocked explains why a job cannot be placed now.
type Blocked struct {
	Reason BlockReason
	// Inputs are the values that the decision was based on.
	Inputs map[string]string
}

// Unbound is a copy of a guarantee that cannot be bound now.
type Unbound struct {
	Guarantee model.GuaranteeID
	Copy      int
}

// Options switch parts of the placement off for benchmarks and tests. The zero value is the production behaviour.
type Options struct {
	// FirstFit takes the first racks and workers by name with enough capacity, without preferring partly used ones.
	FirstFit bool
	// NoLending reserves bound capacity for its customer: a strict partition.
	NoLending bool
	// LendToUnstoppable lends bound capacity to unstoppable jobs too. It violates guarantees; tests use it to prove that they
	// detect this.
	LendToUnstoppable bool
}

// capacityPool selects the part of a worker's free accelerators that a job may take.
type capacityPool int

const (
	// poolUnbound is free capacity that is not bound, with stoppable jobs counted against the unbound part.
	poolUnbound capacityPool = iota
	// poolUnstoppable is the free capacity that an unstoppable job may take so that bound capacity stays reclaimable.
	poolUnstoppable
	// poolAny is all free capacity, bound capacity included; only stoppable jobs may take it.
	poolAny
	// poolCount is the number of pools.
	poolCount
)

// kind tells how an allocation counts against bound capacity.
type kind int

const (
	// kindUnstoppable is a job that must not be stopped, or cannot be within model.MaxStopWithin.
	kindUnstoppable kind = iota
	// kindStoppable is a job that can be stopped within model.MaxStopWithin.
	kindStoppable
	// kindGuaranteed is a job that uses a copy of its customer's guarantee.
	kindGuaranteed
)

// allocation is the capacity that one job holds in the cluster.
type allocation struct {
	job          Job
	slots        []Slot
	kind         kind
	rank         int // rank of the class's priority; 0 is the most urgent
	accelerators model.Accelerators
	copy         *binding // guarantee copy that the job uses, or nil
	backfill     bool     // placed on a rack that was held for another job
	stopping     bool
	usages       []usage // slots summed by worker
}

// usage is what a job or a binding takes of one worker.
type usage struct {
	worker       *worker
	accelerators int
	coreTasks    int // tasks without accelerators
}

// binding is one copy of a guarantee with the slots it is bound to.
type binding struct {
	guarantee model.GuaranteeID
	customer  model.CustomerID
	shape     model.ShapeID
	number    int         // number of the copy, from 0
	slots     []Slot      // empty while the copy is not bound
	usages    []usage     // slots summed by worker
	job       *allocation // job that uses the copy, or nil
}
