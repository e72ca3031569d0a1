package sched

import (
	"context"
	"net/http"

	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
)

// ProcedureNudge notifies the owner of a data centre of a new or cancelled job.
const ProcedureNudge wire.Procedure = "/peer/nudge"

// NudgeMessage names the data centre whose records changed.
type NudgeMessage struct {
	DataCentre model.DataCentreID `cbor:"1,keyasint"`
}

// NudgeAnswer reports whether the answering instance owns the data centre.
type NudgeAnswer struct {
	Owned bool `cbor:"1,keyasint"`
}

// Register registers the handler for notifications from other instances.
func (m *Manager) Register(mux *http.ServeMux) {
	wire.Handle(mux, ProcedureNudge, func(_ context.Context, message *NudgeMessage) (*NudgeAnswer, error) {
		return &NudgeAnswer{Owned: m.WakeOwner(message.DataCentre)}, nil
	})
}

// WakeOwner wakes the owner of the data centre if it runs on this instance, and reports whether it does.
func (m *Manager) WakeOwner(dc model.DataCentreID) bool {
	owner, found := m.LocalOwner(dc)
	if found {
		owner.Wake()
	}
	return found
}

// SendNudge notifies the instance at a peer address that records of the data centre changed.
func SendNudge(ctx context.Context, caller *wire.Caller, address string, dc model.DataCentreID) error {
	_, err := wire.Call[NudgeMessage, NudgeAnswer](ctx, caller, address, ProcedureNudge, &NudgeMessage{DataCentre: dc})
	return err
}

// notifyOwner wakes the owner of a data centre, here or on another instance.
func (m *Manager) notifyOwner(ctx context.Context, dc model.DataCentreID) {
	if !m.WakeOwner(dc) && m.Nudge != nil {
		m.Nudge(ctx, dc)
	}
}
