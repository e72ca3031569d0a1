package work

import (
	"strings"
	"time"

	"peridotgw.example/peridotgw/model"
)

// WorkerInfo is a worker's own entry in the registry.
type WorkerInfo struct {
	ID        model.WorkerID
	Address   string // host:port
	Pool      PoolName
	Zone      model.DataCentreID
	Labels    []Label
	Capacity  Resources
	Draining  bool
	Remaining time.Duration // time that is certainly left while draining
	Born      int64         // Unix time of the worker's start in milliseconds; it distinguishes incarnations
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

// rackPrefix starts the labels that name a rack.
const rackPrefix = "r"

// Has reports whether the worker has a label; every worker has the empty one.
func (w *WorkerInfo) Has(label Label) bool {
	if label == "" {
		return true
	}
	for _, workerLabel := range w.Labels {
		if workerLabel == label {
			return true
		}
	}
	return false
}

// How is the way in which a run ended.
type How string

// Ways in which a run ends.
const (
	EndedDone           How = "done"
	EndedFailed         How = "failed"  // the task or the worker failed
	EndedStopped        How = "stopped" // by a stop order
	EndedLeaseExpired   How = "lapsed"  // the lease expired
	EndedGangBroken     How = "broken"  // another member of its gang ended
	EndedGangIncomplete How = "alone"   // the other members of its gang did not start in time
)

// End is a run that has ended, as its worker reports it.
type End struct {
	Number EndNumber
	Task   TaskID
	Run    RunNumber
	How    How
	Saved  Checkpoint // last one of the run
}

// Running is a run that a worker reports as present.
type Running struct {
	Task    TaskID
	Run     RunNumber
	Saved   Checkpoint
	Percent int // of the run that is done
	// Load is approximate: the tail latency in milliseconds for a task that serves users, the processor time in use for others.
	Load int
}

// WorkerClock is a time on a worker's monotonic clock, in milliseconds; it compares only with times of the same worker.
type WorkerClock int64

// Report is a worker's answer to a PollOrder.
type Report struct {
	Clock   WorkerClock // when it answered
	Born    int64       // as in WorkerInfo
	Running []Running
	Ended   []End
}
