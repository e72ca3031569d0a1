package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// phase is how far a run is.
type phase int

const (
	starting phase = iota // the order is on its way or its result is unknown
	running
	stopping // a stop is on its way or its result is unknown
)

// runKey names one run.
type runKey struct {
	task   work.TaskID
	number work.RunNumber
}

// run is what may be present on a worker. It takes room until it is certain that it has ended.
type run struct {
	key     runKey
	task    *task // nil for a run that nobody wants
	worker  *worker
	room    work.Room
	phase   phase
	group   *group // of a gang
	created clock.Instant
	// answered is when the last order for the run was acknowledged; 0 while that is open.
	answered      clock.Instant
	percent       int
	moved         clock.Instant // when percent last changed
	rate          float64       // progress in percent a second, between the last two listings that were far enough apart
	rated         clock.Instant
	listed        clock.Instant // the later of these two
	listedPercent int
	saved         work.Checkpoint
	fresh         bool // started without a checkpoint
	load          int
	pace          int // share of its speed, in percent
	why           string
}

// group is one run of a gang.
type group struct {
	unit    *unit
	number  work.RunNumber
	members map[*run]bool
	ending  bool // the rest is being stopped
}

// task is one task of a unit.
type task struct {
	unit     *unit
	index    int
	done     bool
	last     work.RunNumber
	saved    work.Checkpoint
	active   *run
	after    clock.Instant // no start before
	evicted  int           // times that it has made way
	failedOn model.WorkerID
	counted  []work.RunNumber // failed runs that are counted
	lostOn   *worker          // where a run was given up whose end is not known
}

func (t *task) id() work.TaskID { return work.TaskID{StepID: t.unit.id, Index: t.index} }

// unit is one occurrence of one step.
type unit struct {
	job      *job
	id       work.StepID
	step     *work.Step
	tasks    []task
	left     int // tasks that have not ended done
	counted  []work.RunNumber
	waiting  clock.Instant
	group    *group
	finished clock.Instant
	// hold is the room that is kept for waiting tasks, one entry a task, while runs there are being stopped.
	hold      []*worker
	holdSince clock.Instant
	noticed   clock.Instant
	perRun    map[*worker]int // active runs by worker
	advice    advice
}

// job is a job in memory.
type job struct {
	spec      *work.Job
	units     [][]*unit
	left      int // units that are not complete
	began     bool
	cancelled bool
	state     work.State // as decided
	shown     work.State // as durable
	ended     time.Time
	why       string
	deadline  time.Time // by which it should be complete
	dirty     bool
	record    kv.Revision // of the stored progress; 0 while there is none
	inherited bool        // runs of an earlier term may be present on workers that were not seen yet
	known     clock.Instant
	finished  clock.Instant
}

// worker is one incarnation of a worker.
type worker struct {
	info     work.WorkerInfo
	listed   bool // in the registry
	roster   bool // may have runs of an earlier term
	runs     map[runKey]*run
	used     work.Room // by all runs
	leaving  work.Room // part of used that is being stopped
	visited  bool      // seen in this term
	born     int64
	since    clock.Instant // when the incarnation became known; 0 for the first of the term
	looking  bool
	lookAt   clock.Instant // no look before
	heard    clock.Instant // when it last listed its runs
	paceAt   clock.Instant // no change of pace before
	missed   int           // calls in a row without an answer
	restTill clock.Instant // no starts before
	handled  work.EndNumber
	acked    work.EndNumber // durable
	told     work.EndNumber // that the worker has been told of
	unnoted  work.EndNumber // an end that must never be taken note of; 0 for none
	clock    work.WorkerClock
	clockAt  clock.Instant
	until    work.WorkerClock // longest lease that was sent
	failures int              // failed runs in a row
	doneAt   clock.Instant    // when a task was last completed on it
	rests    int              // quarantines in a row
	slowSeen int              // rounds in a row that have shown it slow
	gone     bool
	soon     work.Room // scratch of a planning pass: free once all stops are done, without what is promised
}

func (w *worker) free() work.Room { return w.info.Capacity.Sub(w.used) }

// advice is what the advice service said about a unit.
type advice struct {
	tickets map[model.WorkerID]string // of the workers that may run the step
	asked   map[model.WorkerID]bool
	expires clock.Instant
	retry   clock.Instant
}
