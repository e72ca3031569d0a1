package work

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// State is how a job stands, as its owner sees it.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the job is over.
func (s State) Final() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }

// StepProgress is what must last about one occurrence of a step.
type StepProgress struct {
	// Done has a bit for each task that ended done; the lowest bit of the first byte is task 0.
	Done []byte `cbor:"1,keyasint,omitempty"`
	// Failed holds the failed runs of tasks by index; those of a gang stand at 0. The numbers keep an end that is listed
	// again from being counted again, in whatever order ends are listed.
	Failed map[int][]RunNumber `cbor:"2,keyasint,omitempty"`
	// All says that every task ended done; Done is then empty.
	All bool `cbor:"3,keyasint,omitempty"`
}

// Progress is the durable record of a job.
type Progress struct {
	State State     `cbor:"1,keyasint"`
	Ended time.Time `cbor:"2,keyasint,omitempty"`
	// Steps holds the steps with progress by occurrence and step.
	Steps map[int]map[int]StepProgress `cbor:"3,keyasint,omitempty"`
	Why   string                       `cbor:"4,keyasint,omitempty"`
}

// IsDone reports whether the bit of a task is set.
func (p StepProgress) IsDone(index int) bool {
	return p.All || index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// SetDone sets the bit of a task.
func (p *StepProgress) SetDone(index int) {
	for len(p.Done) <= index/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// records encodes times to the microsecond; the library's default drops fractions of a second.
var records = sync.OnceValues(func() (cbor.EncMode, error) { //nolint:gochecknoglobals // built once, never changed
	return cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
})

// Encode returns a record as stored.
func Encode[T any](value T) ([]byte, error) {
	mode, err := records()
	if err != nil {
		return nil, eris.Wrap(err, "preparing the encoding")
	}
	content, err := mode.Marshal(value)
	return content, eris.Wrap(err, "encoding a record")
}

// Decode reads a stored record.
func Decode[T any](content []byte) (T, error) {
	var value T
	err := cbor.Unmarshal(content, &value)
	return value, eris.Wrap(err, "decoding a record")
}
