package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/advice"
	"peridotgw.example/peridotgw/internal/agent"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/noisy"
	"peridotgw.example/peridotgw/internal/speed"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// phase is the state of a run on its worker.
type phase int

const (
	starting phase = iota // the start is in flight or its result is unknown
	running
	stopping // a stop is in flight or its result is unknown
)

// runKey identifies a run.
type runKey struct {
	task   work.TaskID
	number work.RunNumber
}

// run is one attempt of a task that may be present on a worker. It occupies resources until its end is certain.
type run struct {
	key       runKey
	task      *task // nil for a run of an unknown task
	worker    *worker
	resources work.Resources
	phase     phase
	ordered   bool // a start order has been sent
	attempts  int  // start orders sent in this term
	// sentToBorn is the incarnation of the worker that the last order was sent to.
	sentToBorn int64
	gang       *gang // nil unless it is a member of one
	createdAt  clock.Instant
	startedAt  clock.Instant // when this term learned that it has started; 0 before, and for a run of an earlier term
	probe      bool          // shows whether its worker works again
	delayed    bool          // its start has taken long enough to be logged
	// ackedAt is when the worker acknowledged the last order for the run; 0 while that order is open.
	ackedAt        clock.Instant
	percent        int           // progress
	progressedAt   clock.Instant // when percent last changed
	listedAt       clock.Instant // when a report last listed it as running
	rate           float64       // progress in percent per second, between the last two samples
	ratedAt        clock.Instant
	sampledAt      clock.Instant // when the last progress sample was taken
	sampledPercent int
	// measuredFrom is when the first progress sample was taken, with measuredPercent; 0 for none.
	measuredFrom    clock.Instant
	measuredPercent int
	expectedSpeed   float64 // of its worker, when the run was created
	compared        bool    // the speed of its worker was learned from it
	checkpoint      work.Checkpoint
	fromStart       bool           // started without a checkpoint
	tailLatency     int            // in milliseconds; only of a task with a tail target
	track           noisy.Track    // of its rate beside different neighbours
	pace            int            // percent of full speed
	reason          string         // why it was stopped or counts as ended
	endNumber       work.EndNumber // of the end that its worker has listed; 0 for none
	leaving         leaving        // on a worker that leaves; of a gang, see there
}

// present reports whether a run has not ended.
func (r *run) present() bool { return r.worker.runs[r.key] == r }

// gang is one run of all tasks of a gang stage.
type gang struct {
	stage   *stage
	number  work.RunNumber
	members map[*run]bool
	ending  bool // a member is done, or the rest is being stopped
	spread  bool // its members were not all in one rack
	leaving leaving
	left    time.Duration // until its slowest member ends, as estimated at leftAt
	leftAt  clock.Instant
}

// task is one task of a stage.
type task struct {
	stage       *stage
	index       int
	done        bool
	lastRun     work.RunNumber
	checkpoint  work.Checkpoint
	activeRun   *run
	notBefore   clock.Instant // earliest next start after a rejected one or, for a task that lasts, after a failure
	pausedUntil clock.Instant // earliest next start after a preemption, unless its job is stalled for too long
	endedAt     clock.Instant // when its last run in this term ended
	preemptions int           // at most maxPreemptedPauses
	failedOn    model.WorkerID
	failedRuns  []work.RunNumber // that count as attempts
	stuckStops  int              // runs that were stopped without progress in this term; of a gang, see stage
	lostOn      *worker          // where the lease of a run expired without a report of its end
}

func (t *task) id() work.TaskID { return work.TaskID{StepID: t.stage.id, Index: t.index} }

// stage is one occurrence of a job's step, with its tasks.
type stage struct {
	job          *job
	occurrence   *occurrence
	id           work.StepID
	step         *work.Step
	noisyKind    noisy.Kind // of its tasks, for what slows them down
	tasks        []task
	unfinished   int              // tasks that are not done
	waitsFor     int              // conditions of the step that are not met
	failedRuns   []work.RunNumber // of a gang, that count as attempts
	waitingSince clock.Instant    // 0 while no task waits
	wait         wait             // why the last planning pass started none of its tasks
	gang         *gang            // the current run of a gang
	// ignoresHolds is valid during a planning pass: the job is stalled for too long, so that no hold keeps room from this stage.
	ignoresHolds bool
	// lastAttempt is valid during a planning pass: a failure of the task that is being planned, or of the gang, ends the job.
	lastAttempt bool
	// pinnable is valid during a planning pass: the workers that may take tasks of the stage although they can't be stopped in time for
	// work within a guarantee; nil for all.
	pinnable   map[*worker]bool
	roomSince  clock.Instant // since when there is room for it while its job is stalled; 0 while there is not
	finishedAt clock.Instant
	cap        capWait
	// reserved holds a worker for each waiting task while runs there are being stopped.
	reserved           []*worker
	reservedAt         clock.Instant
	reservedFor        time.Duration // from reservedAt
	roomRefusedAt      clock.Instant // when it was last decided that nothing is stopped for it
	noCapacityLoggedAt clock.Instant
	runsOn             map[*worker]int // number of runs by worker
	haste              speed.Haste     // valid during a planning pass
	advice             advice.Book
	// percentTime is the longest time that one percent of a task's work took, and stuckStops how often its gang was stopped without progress.
	percentTime time.Duration
	stuckStops  int
	// gangReservation is that of a gang that does not fit; nil for none. There is no new one before noReservationUntil.
	gangReservation    *gangReservation
	noReservationUntil clock.Instant
	advisedAt          clock.Instant // when advice was last requested; 0 for never
}

// job is the state of a job in memory.
type job struct {
	spec      *work.Job
	created   kv.Revision // of the job's record
	placement placement
	graph     *work.Graph
	// occurrences holds those that are built, by number, and done the numbers of those that are complete.
	occurrences  []*occurrence
	done         work.Ranges
	next         int             // below which all are built or done; of those that are due
	saved        work.Progress   // of earlier terms, of the occurrences that are not built yet
	chains       []time.Duration // by step, see chainAfter; nil before the first estimate
	chainsAt     clock.Instant   // when they were estimated
	started      bool            // a task has started
	cancelled    bool
	state        work.State // as decided
	durableState work.State // as stored
	endedAt      time.Time
	reason       string        // of the final state
	due          clock.Instant // earliest start of the first occurrence
	deadline     clock.Instant // target for its completion
	dirty        bool          // has progress that is not stored
	record       kv.Revision   // of the stored progress; 0 while there is none
	wait         wait          // for workers of an earlier term
	waitLines    waitLines     // on its steps
	runs         int           // that are being started or run, without those being stopped
	lastStartAt  clock.Instant // when the last of them was created
	hasFailed    bool          // a run of it failed in this term
	ranAt        clock.Instant // when one of its runs was last known to run; 0 if none was in this term
	stall        stall
	avoids       map[*worker]clock.Instant // workers on which it made no progress, and until when it gets no starts there
	inherited    bool                      // may have runs of an earlier term on workers that were not polled yet
	beyondRate   bool                      // handed in beyond its tenant's rate
	knownAt      clock.Instant
	finishedAt   clock.Instant
}

// worker is the state of a worker's current incarnation.
type worker struct {
	info             work.WorkerInfo
	registered       bool // has an entry in the registry
	roster           bool // loaded from the roster: may have runs of an earlier term
	runs             map[runKey]*run
	neighbours       neighbours
	used             work.Resources // by all runs
	usedByStopping   work.Resources // part of used
	polled           bool           // has listed all its runs and ends in this term, or is gone
	born             int64          // of the incarnation; 0 while unknown
	knownSince       clock.Instant  // when the incarnation became known; 0 for the first of the term
	inherited        inheritedStop
	pollInFlight     bool
	nextPollAt       clock.Instant // earliest next poll
	reportedAt       clock.Instant // when it last answered a poll
	nextPaceAt       clock.Instant // earliest next change of pace
	missedCalls      int           // consecutive calls without an answer
	unanswered       int           // consecutive starts without an answer
	quarantinedUntil clock.Instant // no starts before, but for a probe
	quarantinedAt    clock.Instant // when there was last a reason for a quarantine
	slowUntil        clock.Instant // no starts before, but for a probe: its tasks are slow
	closedAt         clock.Instant // when it was last quarantined for failed tasks
	unproven         bool          // its tasks failed, and no probe is done since
	probes           probes
	leavesAt         clock.Instant    // earliest end of a draining worker; 0 while it does not drain
	listedFrom       work.EndNumber   // end before the first one that it listed in this term
	handledEnd       work.EndNumber   // last end that was handled
	durableEnd       work.EndNumber   // last end that is stored
	ackedEnd         work.EndNumber   // last acknowledgment that the worker has received
	unackableEnd     work.EndNumber   // first end that must never be acknowledged; 0 for none
	listedEnds       int              // number of ends in its last report
	listExhausted    bool             // no more runs fit into its list of ends in this term; logged
	clock            work.WorkerClock // last reading
	clockReadAt      clock.Instant    // 0 while there is no reading
	leaseUntil       work.WorkerClock // end of the longest lease that was sent
	failures         int              // consecutive failed runs
	lastDoneAt       clock.Instant    // when it last completed a task
	quarantines      int              // consecutive, for failed tasks
	progressedAt     clock.Instant    // when one of its runs last got on
	stuck            stuckWorker
	slowRounds       int     // consecutive comparisons that found it slow
	speed            float64 // against a usual worker; 0 while nothing is known
	speedLogged      float64 // as last logged; 0 before
	removed          bool    // from Scheduler.workers
	// available is valid during a planning pass: what is free once all stops are done, less reservations and new starts.
	available work.Resources
	held      *heldPlace // valid during a planning pass: the part of a gang's reservation; nil for none
}

func (w *worker) target() agent.Target { return agent.Target{ID: w.info.ID, Address: w.info.Address} }

func (w *worker) free() work.Resources { return w.info.Capacity.Sub(w.used) }
