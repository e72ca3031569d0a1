package jobs

import (
	"encoding/json"
	"net/url"
	"reflect"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// State is the state of a job in its life cycle.
type State string

// States of a job; done, failed, cancelled and unknown are final. A moved record stays only until the move to another data centre is
// complete.
const (
	StateQueued    State = "queued"
	StateReserving State = "reserving"
	StateStarting  State = "starting"
	StateRunning   State = "running"
	StateStopping  State = "stopping"
	StateMoved     State = "moved"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	StateUnknown   State = "unknown"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	switch s {
	case StateDone, StateFailed, StateCancelled, StateUnknown:
		return true
	default:
		return false
	}
}

// ReasonTaskFailed is the reason of a job that ran once, failed and must not be repeated.
const ReasonTaskFailed reply.Reason = "task-failed"

// Spec is a job as submitted.
type Spec struct {
	ID       model.JobID      `json:"id"`
	Customer model.CustomerID `json:"customer"`
	Class    model.JobClassID `json:"class"`
	Shape    model.ShapeID    `json:"shape"`
	// DataCentre is the preferred data centre; if it is empty, the system chooses.
	DataCentre model.DataCentreID `json:"data-centre,omitempty"`
	// RunTime is the declared run time, or 0. A job that runs far longer is not stopped for that, but is preempted first.
	RunTime model.Duration `json:"run-time,omitempty"`
	// Payload is passed to the workers unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Equal reports whether both specs describe the same job.
func (s Spec) Equal(other Spec) bool {
	a, b := s, other
	a.Payload, b.Payload = nil, nil
	return reflect.DeepEqual(a, b) && equalJSON(s.Payload, other.Payload)
}

// equalJSON compares decoded values instead of bytes, because encoding a record compacts its payload.
func equalJSON(a, b json.RawMessage) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	var left, right any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return string(a) == string(b)
	}
	return reflect.DeepEqual(left, right)
}

// Placement assigns one task to one worker.
type Placement struct {
	Task         model.TaskID        `json:"task"`
	Worker       model.WorkerID      `json:"worker"`
	Rack         model.RackID        `json:"rack,omitempty"`
	Accelerators model.Accelerators  `json:"accelerators"`
	Reservation  model.ReservationID `json:"reservation"`
}

// Note records one decision on a job.
type Note struct {
	At       time.Time         `json:"at"`
	Instance model.InstanceID  `json:"instance,omitempty"`
	Action   string            `json:"action"`
	Reason   string            `json:"reason,omitempty"`
	Revision model.Revision    `json:"revision,omitempty"`
	Inputs   map[string]string `json:"inputs,omitempty"`
}

// MaxNotes limits the notes in a record's history.
const MaxNotes = 64

// Record is the durable state of a job.
type Record struct {
	Spec           Spec               `json:"spec"`
	State          State              `json:"state"`
	DataCentre     model.DataCentreID `json:"data-centre"`
	Owner          model.InstanceID   `json:"owner,omitempty"`
	Token          model.Token        `json:"token,omitempty"`
	ConfigRevision model.Revision     `json:"config-revision,omitempty"`
	SubmittedAt    time.Time          `json:"submitted-at"`
	StartedAt      time.Time          `json:"started-at,omitzero"`
	EndedAt        time.Time          `json:"ended-at,omitzero"`
	Placement      []Placement        `json:"placement,omitempty"`
	// Lent is true while the job runs on capacity that is bound to a guarantee that is not its own.
	Lent bool `json:"lent,omitempty"`
	// Guarantee is set while the job takes a copy of its customer's guarantee.
	Guarantee model.GuaranteeID `json:"guarantee,omitempty"`
	// Progress is the run time that the last checkpoint saved.
	Progress model.Duration `json:"progress,omitempty"`
	Attempts int            `json:"attempts,omitempty"`
	// FailedOn names the workers on which a task of the job failed, each once.
	FailedOn        []model.WorkerID   `json:"failed-on,omitempty"`
	CancelRequested bool               `json:"cancel-requested,omitempty"`
	MovedTo         model.DataCentreID `json:"moved-to,omitempty"`
	Outcome         reply.Outcome      `json:"outcome,omitempty"`
	Reason          reply.Reason       `json:"reason,omitempty"`
	Message         string             `json:"message,omitempty"`
	// History holds the newest note last.
	History []Note `json:"history,omitempty"`
	// Version is the version of the record's key; 0 means that the record is not stored.
	Version store.Version `json:"-"`
}

// Note appends a note and drops the oldest notes beyond MaxNotes, except the first, which is the submission.
func (r *Record) Note(note Note) {
	// Copies of a record share the old slice, so it must not be changed.
	history := append(append(make([]Note, 0, len(r.History)+1), r.History...), note)
	if len(history) > MaxNotes {
		history = append(history[:1], history[len(history)-MaxNotes+1:]...)
	}
	r.History = history
}

// End sets a final state with its outcome.
func (r *Record) End(state State, outcome reply.Outcome, reason reply.Reason, at time.Time, message string) {
	r.State, r.Outcome, r.Reason, r.EndedAt, r.Message = state, outcome, reason, at, message
}

// Prefix returns the key prefix of a data centre's records.
func Prefix(dc model.DataCentreID) string { return "/job/" + url.PathEscape(string(dc)) + "/" }

// Key returns the store key of a record. Ids are escaped, so that no id yields a key of another job or data centre.
func Key(dc model.DataCentreID, id model.JobID) string {
	return Prefix(dc) + url.PathEscape(string(id))
}

// ClaimKey returns the store key of the claim of a job id.
func ClaimKey(id model.JobID) string { return "/job-id/" + url.PathEscape(string(id)) }

// decodeRecord decodes a stored record and sets its version.
func decodeRecord(entry store.Entry) (Record, error) {
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, eris.Wrapf(err, "decoding job record %q", entry.Key)
	}
	record.Version = entry.Version
	return record, nil
}
