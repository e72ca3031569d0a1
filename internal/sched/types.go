package sched

import (
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

// Peer is a live instance.
type Peer struct {
	Instance   model.InstanceID
	DataCentre model.DataCentreID
}

// WorkerVM is a worker as the VM list names it.
type WorkerVM struct {
	ID           model.WorkerID
	Address      string
	DataCentre   model.DataCentreID
	Rack         model.RackID
	Accelerators model.Accelerators
	Cores        int
	Leaving      bool
	Incarnation  model.Incarnation
}

// Summary is the load of one data centre, as its owner reports it.
type Summary struct {
	DataCentre            model.DataCentreID
	Owner                 model.InstanceID
	Free, LargestRackFree model.Accelerators
	// Total, QueuedAccelerators and RunningAccelerators decide to which data centre a new job goes.
	Total, QueuedAccelerators, RunningAccelerators model.Accelerators
	Queued, Running                                int
	// At is the age of the summary.
	At time.Duration
}

// Tuning holds the bounds of the owner's loop. A zero value of a limit switches its mechanism off, which serves checks.
type Tuning struct {
	// Pass is the longest time between two passes.
	Pass time.Duration
	// Renew is the interval of lease renewals, and Lease what each asks for.
	Renew, Lease time.Duration
	// LostAfter is how long a worker may be silent before its gangs are stopped.
	LostAfter time.Duration
	// Suspect is how long a worker that did not answer a reservation gets no work.
	Suspect time.Duration
	// QuarantineAfter is the number of different jobs that fail in a row on a worker before it gets no work for Quarantine.
	QuarantineAfter int
	Quarantine      time.Duration
	// ProbeRuns is how long a probe job must run to prove a quarantined worker.
	ProbeRuns time.Duration
	// FailsOn is the number of different workers on which a job may fail before it ends.
	FailsOn int
	// RetryPause is the pause before a failed job runs again; it grows with the attempts up to RetryPauseMax.
	RetryPause, RetryPauseMax time.Duration
	// HoldAfter is how long a large job is blocked before it holds a rack.
	HoldAfter time.Duration
	// MoveAfter is how long a queued job waits for room before it moves to a data centre that has room, and MoveUrgentAfter the same
	// for urgent jobs. Moves bounds the moves per pass.
	MoveAfter, MoveUrgentAfter time.Duration
	Moves                      int
	// AgeAfter is how long a background job waits before it is ordered as a normal one.
	AgeAfter time.Duration
	// BlockedNote is the shortest time between two notes of why a job waits.
	BlockedNote time.Duration
	// Starts bounds the gangs that are being started at a time.
	Starts int
	// Notes bounds the records that are written per pass only to explain why jobs wait.
	Notes int
	// List is the interval of complete listings, which find changes that the watch missed.
	List time.Duration
}

// DefaultTuning returns the bounds of the design.
func DefaultTuning() Tuning {
	return Tuning{
		Pass: time.Second, Renew: 5 * time.Second, Lease: 15 * time.Second, LostAfter: 10 * time.Second,
		Suspect: 10 * time.Second, QuarantineAfter: 3, Quarantine: 10 * time.Minute, ProbeRuns: time.Minute, FailsOn: 3,
		RetryPause: time.Second, RetryPauseMax: 30 * time.Second, HoldAfter: 30 * time.Second,
		MoveAfter: 10 * time.Second, MoveUrgentAfter: 2 * time.Second, Moves: 16, AgeAfter: 10 * time.Minute,
		BlockedNote: 30 * time.Second, Starts: 32, Notes: 20, List: time.Minute,
	}
}

// Cause tells why a gang is stopped.
type Cause string

// Causes of stops.
const (
	CausePreempted   Cause = "preempted"
	CauseCancelled   Cause = "cancelled"
	CauseDrain       Cause = "data-centre-out"
	CauseDeadline    Cause = "drain-deadline"
	CauseTaskFailed  Cause = "task-failed"
	CauseMemberLost  Cause = "member-lost"
	CauseWorkerLeft  Cause = "worker-leaving"
	CauseTakeOver    Cause = "take-over"
	CauseNotComplete Cause = "start-incomplete"
	CauseNoRoom      Cause = "no-room"
)

// ActionKind names what an action does.
type ActionKind int

// Kinds of actions.
const (
	// ActionStart reserves, records and starts the gang of Record.
	ActionStart ActionKind = iota
	// ActionRecover continues the start of a gang that an earlier owner left.
	ActionRecover
	// ActionStop stops the gang of Record.
	ActionStop
	// ActionWrite stores Record.
	ActionWrite
	// ActionMove moves Record to the data centre To.
	ActionMove
	// ActionCompleteMove completes a move that was left in state moved.
	ActionCompleteMove
	// ActionRead reads the record of Job again.
	ActionRead
	// ActionEvent records a decision that concerns no job.
	ActionEvent
)

// Action is one thing that the owner has to do; its result is reported to Core by the method named for it.
type Action struct {
	Kind   ActionKind
	Job    model.JobID
	Record jobs.Record
	// Mode, Within and Cause belong to ActionStop.
	Mode   worker.Mode
	Within time.Duration
	Cause  Cause
	// To belongs to ActionMove.
	To model.DataCentreID
	// Event belongs to ActionEvent.
	Event Event
}

// Event is a decision on a subject other than a job.
type Event struct {
	SubjectKind, SubjectID, Action, Reason string
	Inputs                                 map[string]string
}

type phase int

const (
	phaseQueued phase = iota
	// phaseWaiting has places and waits until the jobs that it preempts have ended.
	phaseWaiting
	phaseStarting
	phaseRunning
	phaseStopping
	// phaseSettling waits until tasks on workers that do not answer have ended with their leases.
	phaseSettling
	// phaseUnresolved waits until reservations of a decision that may have been recorded have expired.
	phaseUnresolved
	// phaseWriting waits for a write that ends, queues or moves the job.
	phaseWriting
)

// entry is a job in the core.
type entry struct {
	record  jobs.Record
	phase   phase
	plan    place.Plan
	waitFor map[model.JobID]bool
	// plannedAt is when the places were chosen.
	plannedAt time.Time
	// readyAt is the end of a pause, or of settling.
	readyAt time.Time
	cause   Cause
	// failedOn is the worker whose task failed, for CauseTaskFailed.
	failedOn model.WorkerID
	message  string
	// kept is the progress that the last stop reported.
	kept time.Duration
	// ran is true when a task of the current attempt may have run.
	ran          bool
	blocked      string
	blockedSince time.Time
	notedAt      time.Time
	noted        string
	order        int64
	doneTasks    map[model.TaskID]bool
	// ranLong is true once the attempt ran long enough to prove its workers.
	ranLong bool
	// since is when the core learned that the gang runs; answers to calls sent before say nothing about it.
	since time.Time
	// renewSentAt is when a renewal of the job's leases was sent last.
	renewSentAt time.Time
	// again is true when a write has to be repeated at readyAt.
	again bool
}

// health is what the core knows about a worker.
type health struct {
	vm     WorkerVM
	listed bool
	// silentSince is when the first of the unanswered calls was sent; zero while the worker answers.
	silentSince      time.Time
	suspectUntil     time.Time
	quarantinedUntil time.Time
	probe            bool
	failed           []model.JobID
	// nextRenew is when the next renewal is due; renewing is true while one is under way.
	nextRenew time.Time
	renewing  bool
}
