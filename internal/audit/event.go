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

// Event is one decision.
type Event struct {
	At       time.Time        `json:"at"`
	Instance model.InstanceID `json:"instance"`
	Subject  Subject          `json:"subject"`
	Action   string           `json:"action"`
	Reason   string           `json:"reason,omitempty"`
	// Revision is the configuration revision that the decision was based on.
	Revision model.Revision `json:"revision,omitempty"`
	// Inputs are the facts that decided.
	Inputs map[string]string `json:"inputs,omitempty"`
}

// Limits of one event; longer texts are cut.
const (
	maxTextBytes  = 512
	maxInputs     = 32
	maxEventBytes = 16 << 10
)

// encoded is an event in the form in which it is written.
type encoded struct {
	kind string
	data json.RawMessage
}

func (e encoded) size() int { return len(e.data) + eventOverhead }

// eventOverhead is the memory of one buffered event beyond its text.
const eventOverhead = 64

func encode(e Event) (encoded, error) {
	e.Subject.ID, e.Subject.Kind = cut(e.Subject.ID), cut(e.Subject.Kind)
	e.Action, e.Reason = cut(e.Action), cut(e.Reason)
	e.Inputs = cutInputs(e.Inputs)
	data, err := json.Marshal(e)
	if err == nil && len(data) > maxEventBytes {
		e.Inputs = map[string]string{"inputs": "left out, as they are too long"}
		data, err = json.Marshal(e)
	}
	return encoded{kind: e.Subject.Kind, data: data}, err
}

// cutInputs copies the inputs, because the caller may go on changing its map.
func cutInputs(inputs map[string]string) map[string]string {
	if len(inputs) == 0 {
		return nil
	}
	copied := make(map[string]string, min(len(inputs), maxInputs))
	for name, value := range inputs {
		if len(copied) == maxInputs {
			break
		}
		copied[cut(name)] = cut(value)
	}
	return copied
}

func cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes] + "..."
}
