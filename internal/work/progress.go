package work

import (
	"math/bits"
	"time"

	"peridotgw.example/peridotgw/internal/codec"
)

// State is the state of a job; the values are also those of the platform's job API.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the job has ended; a final state does not change.
func (s State) Final() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }

// StepProgress is the durable progress of one occurrence of a step.
type StepProgress struct {
	// Done is a bit set of the tasks that are done; the lowest bit of the first byte is task 0.
	Done []byte `cbor:"1,keyasint,omitempty"`
	// Failed holds the failed runs by task index; those of a gang are at index 0. The run numbers keep an end that is reported
	// again from being counted twice, in whatever order ends are reported.
	Failed map[int][]RunNumber `cbor:"2,keyasint,omitempty"`
	// All is set when every task is done; Done is then empty. Records are written with Progress.Complete instead.
	All bool `cbor:"3,keyasint,omitempty"`
}

// Progress is the durable record of a job.
type Progress struct {
	State State     `cbor:"1,keyasint"`
	Ended time.Time `cbor:"2,keyasint,omitempty"` // wall-clock time
	// Steps holds the steps that have progress, by occurrence and step index.
	Steps map[int]map[int]StepProgress `cbor:"3,keyasint,omitempty"`
	Why   string                       `cbor:"4,keyasint,omitempty"` // reason of the final state
	// Done holds the occurrences that are complete; Steps has none of them.
	Done Ranges `cbor:"5,keyasint,omitempty"`
	// Complete holds the steps of other occurrences of which all tasks are done, by occurrence.
	Complete map[int]Ranges `cbor:"6,keyasint,omitempty"`
}

// Step returns the progress of a step of an occurrence.
func (p *Progress) Step(occurrence, step int) StepProgress {
	if p.State == StateCompleted || p.Done.Has(occurrence) || p.Complete[occurrence].Has(step) {
		return StepProgress{All: true}
	}
	return p.Steps[occurrence][step]
}

// IsZero reports whether a step has no progress.
func (p StepProgress) IsZero() bool { return !p.All && len(p.Done) == 0 && len(p.Failed) == 0 }

// IsDone reports whether the task with an index is done.
func (p StepProgress) IsDone(index int) bool {
	return p.All || index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// DoneTasks returns how many of a step's tasks are done.
func (p StepProgress) DoneTasks(tasks int) int {
	if p.All {
		return tasks
	}
	done := 0
	for _, part := range p.Done {
		done += bits.OnesCount8(part)
	}
	return done
}

// SetDone records that the task with an index is done.
func (p *StepProgress) SetDone(index int) {
	for len(p.Done) <= index/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// Encode returns the stored form of a record.
func Encode[T any](value T) ([]byte, error) { return codec.Marshal(value) }

// Decode parses a stored record.
func Decode[T any](content []byte) (T, error) {
	var value T
	err := codec.Unmarshal(content, &value)
	return value, err
}
