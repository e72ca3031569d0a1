package place

import (
	"peridotgw.example/peridotgw/model"
)

// WorkerState tells what a worker may be used for.
type WorkerState string

// States of a worker.
const (
	WorkerUsable WorkerState = "usable"
	// WorkerClosed takes no new work: it is leaving, lost or quarantined.
	WorkerClosed WorkerState = "closed"
	// WorkerProbe takes one stoppable job that needs no other worker.
	WorkerProbe WorkerState = "probe"
)

// Worker is one machine of the data centre.
type Worker struct {
	ID           model.WorkerID
	Rack         model.RackID
	Accelerators model.Accelerators
	// Cores bounds the tasks without accelerators; zero means DefaultCores.
	Cores int
	State WorkerState
}

// DefaultCores bounds the tasks without accelerators on a worker whose cores are not known.
const DefaultCores = 64

// Job is what placement needs to know about a job.
type Job struct {
	ID       model.JobID
	Customer model.CustomerID
	Class    model.JobClassID
	Shape    model.ShapeID
	// Order rises with the start time: among equals the youngest job, with the highest order, is preempted first.
	Order int64
	// Avoid names workers on which the job failed.
	Avoid []model.WorkerID
	// Weak is true for a job that ran beyond three times its declared time; it is preempted first among equals.
	Weak bool
}

// Slot is the place of one task.
type Slot struct {
	Worker       model.WorkerID
	Rack         model.RackID
	Accelerators model.Accelerators
}

// Plan is a placement that is possible once the jobs in Preempt and WaitFor have ended.
type Plan struct {
	Slots []Slot
	// Preempt names the jobs to stop, in the order in which they were chosen.
	Preempt []model.JobID
	// WaitFor names jobs that are being stopped already and still hold accelerators of the plan.
	WaitFor []model.JobID
	// Guarantee is set when the job takes one copy of a guarantee.
	Guarantee model.GuaranteeID
	// Copy is the copy's number when Guarantee is set.
	Copy int
	// Lent is true when the job takes capacity that is bound to a guarantee that is not its own.
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
	// BlockFragmented means that enough accelerators are free, but not close enough to each other.
	BlockFragmented BlockReason = "fragmented"
	// BlockBound means that enough accelerators are free, but they are bound to guarantees and the job cannot be stopped.
	BlockBound BlockReason = "bound-to-guarantees"
	// BlockHeld means that only a rack that is held for an older large job would take the job.
	BlockHeld BlockReason = "rack-held"
	// BlockUnknown means that the job names a class or shape that the configuration does not have.
	BlockUnknown BlockReason = "unknown-object"
)

// Blocked explains why a job cannot be placed now.
type Blocked struct {
	Reason BlockReason
	// Inputs are the figures that the decision used.
	Inputs map[string]string
}

// Unbound is a copy of a guarantee that cannot be bound now.
type Unbound struct {
	Guarantee model.GuaranteeID
	Copy      int
}

// Options switch parts of the placement off, so that a benchmark can compare variants. The zero value is the design.
type Options struct {
	// FirstFit takes the first racks and workers by name that have room, without preferring partly used ones.
	FirstFit bool
	// NoLending keeps bound capacity for its customer: a strict partition.
	NoLending bool
	// LendToAll lends bound capacity to work that cannot be stopped as well; it breaks the promise to guarantees and
	// exists so that a check can show it.
	LendToAll bool
}

// mode tells which part of a worker a job may use.
type mode int

const (
	// modeOwn takes free capacity that is not bound, counting stoppable work against the unbound part.
	modeOwn mode = iota
	// modeFirm takes free capacity so that bound capacity stays reclaimable; the job itself is never moved.
	modeFirm
	// modeSoft takes any free capacity, bound capacity included; the job can be stopped.
	modeSoft
	modes
)

type kind int

const (
	// kindFirm is work that cannot be stopped in time.
	kindFirm kind = iota
	// kindSoft is work that can be stopped in time.
	kindSoft
	// kindInside is work that takes a copy of its customer's guarantee.
	kindInside
)

// load is one job in the cluster.
type load struct {
	job      Job
	slots    []Slot
	kind     kind
	rank     int
	accels   model.Accelerators
	copy     *bound
	backfill bool
	stopping bool
	uses     []use
}

type use struct {
	node   *node
	accels int
	tasks  int
}

// bound is one copy of a guarantee.
type bound struct {
	guarantee model.GuaranteeID
	customer  model.CustomerID
	shape     model.ShapeID
	number    int
	slots     []Slot
	uses      []use
	job       *load
}
