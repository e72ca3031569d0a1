package vmlist

import "peridotgw.example/peridotgw/model"

// Kind is what a VM is used for.
type Kind string

// Kinds of VMs.
const (
	KindWorker   Kind = "worker"
	KindEndpoint Kind = "endpoint"
	KindEntry    Kind = "entry"
)

// State is whether a VM stays or is about to be removed.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the list; its Name is unique in the list. Rack, Accelerators, Cores and MemoryMB describe workers, and Slots
// endpoints.
type VM struct {
	Name         string             `json:"name"`
	Kind         Kind               `json:"kind"`
	Address      string             `json:"address"`
	DataCentre   model.DataCentreID `json:"data-centre"`
	Rack         model.RackID       `json:"rack,omitempty"`
	Accelerators model.Accelerators `json:"accelerators,omitempty"`
	Cores        int                `json:"cores,omitempty"`
	MemoryMB     int                `json:"memory-mb,omitempty"`
	Slots        model.SlotCount    `json:"slots,omitempty"`
	State        State              `json:"state"`
	Incarnation  model.Incarnation  `json:"incarnation,omitempty"`
}
