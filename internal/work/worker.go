package work

import (
	"strings"
	"time"

	"peridotgw.example/peridotgw/model"
)

// WorkerInfo is what a worker says of itself in the registry.
type WorkerInfo struct {
	ID        model.WorkerID
	Address   string
	Pool      PoolName
	Zone      model.DataCentreID
	Labels    []Label
	Capacity  Room
	Draining  bool
	Remaining time.Duration // least time left while draining
	Born      int64         // Unix time of its start in milliseconds; it tells incarnations apart
}

// Rack returns the label that names the worker's rack, or an empty label.
func (w *WorkerInfo) Rack() Label {
	for _, label := range w.Labels {
		if strings.HasPrefix(string(label), rackPrefix) {
			return label
		}
	}
	return ""
}

const rackPrefix = "r"

// Has reports whether the worker has a label; every worker has the empty one.
func (w *WorkerInfo) Has(label Label) bool {
	if label == "" {
		return true
	}
	for _, own := range w.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// How says how a run ended.
type How string

// Ways in which a run ends.
const (
	EndedDone    How = "done"
	EndedFailed  How = "failed"  // by its own or the worker's fault
	EndedStopped How = "stopped" // on order
	EndedLapsed  How = "lapsed"  // its lease ran out
	EndedBroken  How = "broken"  // another member of its gang ended
	EndedAlone   How = "alone"   // the other members did not come in time
)

// End is a run that has ended on a worker.
type End struct {
	Number EndNumber
	Task   TaskID
	Run    RunNumber
	How    How
	Saved  Checkpoint
}

// Running is a run that a worker lists as present.
type Running struct {
	Task    TaskID
	Run     RunNumber
	Saved   Checkpoint
	Percent int
	// Load is rough: the tail latency in milliseconds of a task that serves, the processor time in use of any other.
	Load int
}

// WorkerClock is a time on a worker's own steady clock, in milliseconds.
type WorkerClock int64

// Report is a worker's answer to a look.
type Report struct {
	Clock   WorkerClock
	Born    int64
	Running []Running
	Ended   []End
}
