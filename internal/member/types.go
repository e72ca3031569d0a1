package member

import (
	"time"

	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
)

// Prefix is the prefix of membership keys in the store; the instance follows it.
const Prefix = "/member/"

// ProcedureExchange exchanges reports between two instances.
const ProcedureExchange wire.Procedure = "/peer/exchange"

// Defaults of a Table.
const (
	// DefaultExchangeEvery is the interval between two calls to one peer.
	DefaultExchangeEvery = 500 * time.Millisecond
	// DefaultPeerTimeout bounds one call; after two lost calls there is still time for a third one within LivenessTimeout.
	DefaultPeerTimeout = time.Second
	// DefaultListEvery is the interval between listings of the members, in case a watch missed a change.
	DefaultListEvery = 5 * time.Second
	// LivenessTimeout is the maximum age of a live member's last report.
	LivenessTimeout = 3 * time.Second
)

// Member is one registered instance.
type Member struct {
	Instance      model.InstanceID   `json:"instance"`
	Incarnation   model.Incarnation  `json:"incarnation"`
	DataCentre    model.DataCentreID `json:"data-centre"`
	PeerAddress   string             `json:"peer-address"`
	CallerAddress string             `json:"caller-address,omitempty"`
	Draining      bool               `json:"draining,omitempty"`
}

// LoadSummary is the load of one data centre, reported by its owner. Queued and Running count jobs; the other counts are accelerators.
type LoadSummary struct {
	DataCentre      model.DataCentreID `cbor:"1,keyasint" json:"data-centre"`
	Owner           model.InstanceID   `cbor:"2,keyasint" json:"owner"`
	Free            model.Accelerators `cbor:"3,keyasint,omitempty" json:"free"`
	LargestRackFree model.Accelerators `cbor:"4,keyasint,omitempty" json:"largest-rack-free"`
	Queued          int                `cbor:"5,keyasint,omitempty" json:"queued"`
	Running         int                `cbor:"6,keyasint,omitempty" json:"running"`
	// LoadAge is the age of the summary; it includes the round trip of the exchange.
	LoadAge time.Duration `cbor:"7,keyasint,omitempty" json:"-"`
	// Total, QueuedAccelerators and RunningAccelerators determine the data centre that a new job is sent to.
	Total               model.Accelerators `cbor:"8,keyasint,omitempty" json:"total"`
	QueuedAccelerators  model.Accelerators `cbor:"9,keyasint,omitempty" json:"queued-accelerators"`
	RunningAccelerators model.Accelerators `cbor:"10,keyasint,omitempty" json:"running-accelerators"`
}

// Report is what an instance reports to its peers.
type Report struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
	// Revision is the configuration revision in effect; 0 means none.
	Revision model.Revision `cbor:"2,keyasint,omitempty"`
	// Confirmed is true when Revision was proved to be the newest revision ConfirmedAge ago.
	Confirmed    bool               `cbor:"3,keyasint,omitempty"`
	ConfirmedAge time.Duration      `cbor:"4,keyasint,omitempty"`
	Leaving      []model.EndpointID `cbor:"5,keyasint,omitempty"`
	Draining     bool               `cbor:"6,keyasint,omitempty"`
	Summaries    []LoadSummary      `cbor:"7,keyasint,omitempty"`
	// AsOf is the local time as of which the ages are correct. It is set on arrival, so that a pause of the process between
	// arrival and use increases them.
	AsOf time.Time `cbor:"-"`
}

// exchangeMessage is the request and the response body of an exchange.
type exchangeMessage struct {
	Incarnation model.Incarnation `cbor:"1,keyasint"`
	Report      Report            `cbor:"2,keyasint"`
}
