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

// State tells where a job is in its life.
type State string

// States of a job; done, failed, cancelled and unknown are final.
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

// ReasonTaskFailed is the reason of a job that ran once, failed, and must not be repeated.
const ReasonTaskFailed reply.Reason = "task-failed"

// Spec is what a submitter asks for.
type Spec struct {
	ID       model.JobID      `json:"id"`
	Customer model.CustomerID `json:"customer"`
	Class    model.JobClassID `json:"class"`
	Shape    model.ShapeID    `json:"shape"`
	// DataCentre is a wish; empty leaves the choice to the system.
	DataCentre model.DataCentreID `json:"data-centre,omitempty"`
	// RunTime is the declared run time; only ordering depends on it.
	RunTime model.Duration `json:"run-time,omitempty"`
	// Payload is handed to the workers unread.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Equal reports whether both specs ask for the same job.
func (s Spec) Equal(other Spec) bool {
	a, b := s, other
	a.Payload, b.Payload = nil, nil
	return reflect.DeepEqual(a, b) && equalJSON(s.Payload, other.Payload)
}

// equalJSON compares values and not texts, because the store's copy went through an encoder that compacts.
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

// Placement puts one task on one worker.
type Placement struct {
	Task         model.TaskID        `json:"task"`
	Worker       model.WorkerID      `json:"worker"`
	Rack         model.RackID        `json:"rack,omitempty"`
	Accelerators model.Accelerators  `json:"accelerators"`
	Reservation  model.ReservationID `json:"reservation"`
}

// Note is one decision on a job.
type Note struct {
	At       time.Time         `json:"at"`
	Instance model.InstanceID  `json:"instance,omitempty"`
	Action   string            `json:"action"`
	Reason   string            `json:"reason,omitempty"`
	Revision model.Revision    `json:"revision,omitempty"`
	Inputs   map[string]string `json:"inputs,omitempty"`
}

// MaxNotes bounds the history of a record.
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
	// Lent is true while the job runs on capacity that is bound to another customer's guarantee.
	Lent bool `json:"lent,omitempty"`
	// Guarantee is set while the job takes a copy of its customer's guarantee.
	Guarantee model.GuaranteeID `json:"guarantee,omitempty"`
	// Progress is the run time that the last checkpoint kept.
	Progress model.Duration `json:"progress,omitempty"`
	Attempts int            `json:"attempts,omitempty"`
	// FailedOn names the different workers on which a task of the job failed.
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

// Note appends a note and drops the oldest ones beyond MaxNotes; the first note, the submission, is kept.
func (r *Record) Note(note Note) {
	// A new slice is made because copies of a record share the old one.
	history := append(append(make([]Note, 0, len(r.History)+1), r.History...), note)
	if len(history) > MaxNotes {
		history = append(history[:1], history[len(history)-MaxNotes+1:]...)
	}
	r.History = history
}

// End makes the record final.
func (r *Record) End(state State, outcome reply.Outcome, reason reply.Reason, at time.Time, message string) {
	r.State, r.Outcome, r.Reason, r.EndedAt, r.Message = state, outcome, reason, at, message
}

// Prefix is the key prefix of a data centre's records.
func Prefix(dc model.DataCentreID) string { return "/job/" + url.PathEscape(string(dc)) + "/" }

// Key is the key of a record; ids are escaped, so that no id reaches another job's or data centre's keys.
func Key(dc model.DataCentreID, id model.JobID) string {
	return Prefix(dc) + url.PathEscape(string(id))
}

// IDKey is the key that makes a job id unique in the deployment.
func IDKey(id model.JobID) string { return "/job-id/" + url.PathEscape(string(id)) }

func decode(entry store.Entry) (Record, error) {
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, eris.Wrapf(err, "decoding job record %q", entry.Key)
	}
	record.Version = entry.Version
	return record, nil
}
