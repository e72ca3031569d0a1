package sched

import (
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

// Peer is a live instance and its location.
type Peer struct {
	Instance   model.InstanceID
	DataCentre model.DataCentreID
}

// WorkerVM is a worker from the VM list.
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

// LoadSummary is the load of one data centre, reported by its owner. Queued and Running count jobs; the other counts are accelerators.
type LoadSummary struct {
	DataCentre            model.DataCentreID
	Owner                 model.InstanceID
	Free, LargestRackFree model.Accelerators
	// Total, QueuedAccelerators and RunningAccelerators are used to choose the data centre of a new job.
	Total, QueuedAccelerators, RunningAccelerators model.Accelerators
	Queued, Running                                int
	// LoadAge is the age of the summary; it is 0 for data centres owned by this instance.
	LoadAge time.Duration
}

// Tuning holds the intervals and limits of the owner's loop. Tests disable a mechanism by setting its limit to zero.
type Tuning struct {
	// Pass is the longest time between two passes.
	Pass time.Duration
	// Renew is the interval of lease renewals, and Lease the duration that each renewal requests.
	Renew, Lease time.Duration
	// LostAfter is how long a worker may be silent before its gangs are stopped.
	LostAfter time.Duration
	// SuspectFor is how long a worker gets no work after it did not answer a reservation.
	SuspectFor time.Duration
	// QuarantineAfter is the number of different jobs that must fail in a row on a worker before it gets no work for Quarantine.
	QuarantineAfter int
	Quarantine      time.Duration
	// ProbeRunTime is how long a probe job must run on a worker after its quarantine to clear it.
	ProbeRunTime time.Duration
	// MaxFailedWorkers is the number of different workers on which a job must fail before it ends as failed.
	MaxFailedWorkers int
	// RetryPause is the pause before a failed job runs again; it grows with the attempts up to RetryPauseMax.
	RetryPause, RetryPauseMax time.Duration
	// HoldAfter is how long a large job is blocked before racks are held for it.
	HoldAfter time.Duration
	// MoveAfter is how long a queued job waits for capacity before it moves to a data centre with free capacity, and
	// MoveUrgentAfter the same for urgent jobs. Moves limits the moves per pass.
	MoveAfter, MoveUrgentAfter time.Duration
	Moves                      int
	// AgeAfter is how long a background job waits before it gets the priority of a normal one.
	AgeAfter time.Duration
	// BlockedNote is the shortest time between two notes in a record that explain why its job waits.
	BlockedNote time.Duration
	// MaxStartsInFlight limits the gangs that are being started at the same time.
	MaxStartsInFlight int
	// BlockedNotesPerPass limits the records that are written per pass only to explain why jobs wait.
	BlockedNotesPerPass int
	// List is the interval between full listings of the records, which find changes that the watch missed.
	List time.Duration
}

// DefaultTuning returns the default intervals and limits.
func DefaultTuning() Tuning {
	return Tuning{
		Pass: time.Second, Renew: 5 * time.Second, Lease: 15 * time.Second, LostAfter: 10 * time.Second,
		SuspectFor: 10 * time.Second, QuarantineAfter: 3, Quarantine: 10 * time.Minute, ProbeRunTime: time.Minute, MaxFailedWorkers: 3,
		RetryPause: time.Second, RetryPauseMax: 30 * time.Second, HoldAfter: 30 * time.Second,
		MoveAfter: 10 * time.Second, MoveUrgentAfter: 2 * time.Second, Moves: 16, AgeAfter: 10 * time.Minute,
		BlockedNote: 30 * time.Second, MaxStartsInFlight: 32, BlockedNotesPerPass: 20, List: time.Minute,
	}
}

// Cause is the reason for stopping a gang or moving a job. It appears in records and metrics.
type Cause string

// Causes of stops and moves.
const (
	CausePreempted       Cause = "preempted"
	CauseCancelled       Cause = "cancelled"
	CauseDrain           Cause = "data-centre-out"
	CauseDeadline        Cause = "drain-deadline"
	CauseTaskFailed      Cause = "task-failed"
	CauseMemberLost      Cause = "member-lost"
	CauseWorkerLeft      Cause = "worker-leaving"
	CauseTakeOver        Cause = "take-over"
	CauseStartIncomplete Cause = "start-incomplete"
	CauseNoCapacity      Cause = "no-room"
)

// ActionKind is the kind of an action.
type ActionKind int

// Kinds of actions.
const (
	// ActionStart reserves, records and starts the gang of Record.
	ActionStart ActionKind = iota
	// ActionRecover continues a gang start that an earlier owner began.
	ActionRecover
	// ActionStop stops the gang of Record.
	ActionStop
	// ActionWrite stores Record.
	ActionWrite
	// ActionMove moves Record to the data centre To.
	ActionMove
	// ActionCompleteMove completes an interrupted move, whose record is still in state moved.
	ActionCompleteMove
	// ActionRead reads the record of Job again.
	ActionRead
	// ActionEvent records Event.
	ActionEvent
)

// Action is an operation that the owner must execute. Its result is reported to Core by the method of that kind: Started,
// Stopped, Written, Moved or RecordRead; ActionEvent has none.
type Action struct {
	Kind   ActionKind
	Job    model.JobID
	Record jobs.Record
	// Mode and Within belong to ActionStop, Cause to ActionStop and ActionMove. Within is the time for a checkpoint.
	Mode   worker.Mode
	Within time.Duration
	Cause  Cause
	// To belongs to ActionMove.
	To model.DataCentreID
	// Event belongs to ActionEvent.
	Event Event
}

// Event is a decision for the audit log that is not a note in a job's record.
type Event struct {
	SubjectKind, SubjectID, Action, Reason string
	Inputs                                 map[string]string
}

// phase is the scheduling step that a job is in; it is not stored.
type phase int

const (
	phaseQueued phase = iota
	// phaseAwaitingStops holds capacity and waits until the jobs that it preempts have ended.
	phaseAwaitingStops
	phaseStarting
	phaseRunning
	phaseStopping
	// phaseLeaseExpiry waits until the leases of tasks on unreachable workers have expired.
	phaseLeaseExpiry
	// phaseInDoubt waits before it reads the record again, because the last write may or may not have been applied. After a
	// start, the wait lasts until the reservations have expired.
	phaseInDoubt
	// phaseWriting waits for a write that ends, queues or moves the job.
	phaseWriting
)

// jobEntry is the state of a job in Core.
type jobEntry struct {
	record jobs.Record
	phase  phase
	plan   place.Plan
	// awaitedStops are the jobs that must end before this one can start.
	awaitedStops map[model.JobID]bool
	// plannedAt is when the placement was chosen.
	plannedAt time.Time
	// notBefore is the earliest time of the next step: a retry, or the end of phaseLeaseExpiry or phaseInDoubt.
	notBefore time.Time
	// cause is why the gang is stopped. Set during a start, it stops the gang as soon as the start has succeeded.
	cause Cause
	// failedWorker is the worker whose task failed, for CauseTaskFailed.
	failedWorker model.WorkerID
	// message describes the last failure of the gang; it becomes part of the record.
	message string
	// keptProgress is the progress that the last stop reported.
	keptProgress time.Duration
	// mayHaveRun is true when a task of the current attempt may have run.
	mayHaveRun bool
	// blocked is why the last pass could not place the job; empty when the job is not blocked.
	blocked      string
	blockedSince time.Time
	// blockNotedAt and notedReason describe the last note about blocking in the record.
	blockNotedAt time.Time
	notedReason  string
	// startOrder is larger for jobs placed later.
	startOrder int64
	doneTasks  map[model.TaskID]bool
	// ranLongEnough is true once the attempt ran long enough to prove that its workers are not faulty.
	ranLongEnough bool
	// runningSince is when Core learned that the gang runs. A worker's answer to a call sent earlier may not list its tasks.
	runningSince time.Time
	// lastRenewSentAt is when a renewal of the job's leases was sent last.
	lastRenewSentAt time.Time
	// retryWrite is true when a failed write must be repeated at notBefore.
	retryWrite bool
}

// workerHealth is the state of a worker in Core.
type workerHealth struct {
	vm WorkerVM
	// listed is true while the VM list contains the worker.
	listed bool
	// silentSince is when the first of the unanswered calls was sent; zero while the worker answers.
	silentSince time.Time
	// suspectUntil is when the worker may get work again after a failed start or an unconfirmed stop.
	suspectUntil     time.Time
	quarantinedUntil time.Time
	// probing is true after a quarantine, until a job proves the worker or fails there.
	probing bool
	// failedJobs are the different jobs that failed in a row on the worker.
	failedJobs []model.JobID
	// nextRenewAt is when the next renewal is due.
	nextRenewAt   time.Time
	renewInFlight bool
}
