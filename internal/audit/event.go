package audit

import (
	"encoding/json"
	"time"

	"peridotgw.example/peridotgw/model"
)

// Kinds of subjects.
const (
	KindRequest    = "request"
	KindJob        = "job"
	KindChange     = "change"
	KindDataCentre = "data-centre"
	KindWorker     = "worker"
	KindEndpoint   = "endpoint"
	KindCustomer   = "customer"
)

const (
	// ActionRefused is the action of refusals of requests, which are sampled by class and reason.
	ActionRefused = "refused"
	// InputClass is the input that holds the class of a request.
	InputClass = "class"
)

// Subject is what a decision is about.
type Subject struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
}

// Event is the record of one decision.
type Event struct {
	At       time.Time        `json:"at"`
	Instance model.InstanceID `json:"instance"`
	Subject  Subject          `json:"subject"`
	Action   string           `json:"action"`
	Reason   string           `json:"reason,omitempty"`
	// Revision is the configuration revision that the decision was based on.
	Revision model.Revision `json:"revision,omitempty"`
	// Inputs are the facts on which the decision was based.
	Inputs map[string]string `json:"inputs,omitempty"`
}

// Limits of one event; longer texts are truncated.
const (
	maxTextBytes  = 512
	maxInputs     = 32
	maxEventBytes = 16 << 10
)

// encodedEvent is an event as stored.
type encodedEvent struct {
	kind string
	data json.RawMessage
}

func (e encodedEvent) size() int { return len(e.data) + eventOverhead }

// eventOverhead is the memory of one buffered event in bytes, without its text.
const eventOverhead = 64

// encode truncates the texts of an event and encodes it; inputs are left out when the event is still larger than maxEventBytes.
func encode(e Event) (encodedEvent, error) {
	e.Subject.ID, e.Subject.Kind = truncate(e.Subject.ID), truncate(e.Subject.Kind)
	e.Action, e.Reason = truncate(e.Action), truncate(e.Reason)
	e.Inputs = truncateInputs(e.Inputs)
	data, err := json.Marshal(e)
	if err == nil && len(data) > maxEventBytes {
		e.Inputs = map[string]string{"inputs": "left out, as they are too long"}
		data, err = json.Marshal(e)
	}
	return encodedEvent{kind: e.Subject.Kind, data: data}, err
}

// truncateInputs returns a copy, because the caller may change its map later.
func truncateInputs(inputs map[string]string) map[string]string {
	if len(inputs) == 0 {
		return nil
	}
	copied := make(map[string]string, min(len(inputs), maxInputs))
	for name, value := range inputs {
		if len(copied) == maxInputs {
			break
		}
		copied[truncate(name)] = truncate(value)
	}
	return copied
}

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes] + "..."
}
