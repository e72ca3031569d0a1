package view

import (
	"time"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// WorkerRef is the index of a worker in Snapshot.Workers.
type WorkerRef int

// RunRef is the index of a run in Snapshot.Runs.
type RunRef int

// StageRef is the index of a stage in Snapshot.Stages.
type StageRef int

// GangRef identifies a gang that runs, from 1; 0 is none.
type GangRef int

// Snapshot is the state of one planning pass. All times are relative to the moment of the pass.
type Snapshot struct {
	Workers []Worker
	Runs    []Run
	Stages  []Stage
	Tenants map[model.CustomerID]Tenant
}

// Worker is a worker that may get new runs.
type Worker struct {
	ID       model.WorkerID
	Pool     work.PoolName
	Rack     work.Label
	Capacity work.Resources
	// Available is what is free once all runs that are being stopped have ended, less what is reserved; it may be negative.
	Available work.Resources
	// Speed is how fast tasks run there against a usual worker; 1 while nothing is known.
	Speed float64
	// Leaves reports whether the worker leaves, in LeavesIn at the earliest.
	Leaves   bool
	LeavesIn time.Duration
	Runs     []RunRef
}

// Run is a run that occupies room on a worker.
type Run struct {
	Worker    WorkerRef
	Stage     StageRef
	Gang      GangRef
	Need      work.Resources
	Stopping  bool // its room is part of Worker.Available already
	Protected bool // may not be stopped to make room: its step allows none of its tasks to be away, or none more
	// Done is the part of its work that is done, from 0 to 1.
	Done float64
	Age  time.Duration
	Left time.Duration // estimated time until it ends
	// Lost is the time of work that stopping it now would lose: what is not saved, and the time to resume.
	Lost time.Duration
	// Stops is how often the task was stopped to make room before.
	Stops int
}

// Stage is an occurrence of a job's step that waits or runs.
type Stage struct {
	ID       work.StepID
	Tenant   model.CustomerID
	Queue    work.QueueName
	Priority int // 0 is urgent
	Tasks    int
	Waiting  int            // tasks without a run
	Need     work.Resources // of one task
	Gang     bool
	SameRack bool
	Estimate time.Duration // run time of one task near its data on a usual worker
	// Slack is the time until the target of its job, less what the job still takes; negative if the target can't be met.
	Slack time.Duration
	// Lasts reports whether its tasks run until the job is cancelled.
	Lasts bool
	// MaxStops is how many of its runs may be stopped at the same time; 0 for no limit.
	MaxStops int
	// Hopeless reports whether the end of the job has no value to its caller any more.
	Hopeless bool
	// Guaranteed reports whether it is urgent work within its tenant's guarantee.
	Guaranteed bool
}

// CoreSeconds returns the work of all tasks of the stage.
func (s *Stage) CoreSeconds() float64 {
	return float64(s.Tasks) * s.Need.Cores() * s.Estimate.Seconds()
}

// Tenant is a customer with its limits and its use.
type Tenant struct {
	Guaranteed model.Accelerators
	Weight     float64        // share when all is full; 0 if none is set
	Cap        work.Resources // most that it may have running; a part that is 0 has no limit
	Used       work.Resources // by all runs that may be present, also those in doubt or being stopped
}

// GangRuns returns the runs of a gang.
func (s *Snapshot) GangRuns(gang GangRef) []RunRef {
	var members []RunRef
	for ref := range s.Runs {
		if s.Runs[ref].Gang == gang && gang != 0 {
			members = append(members, RunRef(ref))
		}
	}
	return members
}
