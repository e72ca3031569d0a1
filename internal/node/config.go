package node

import (
	"sync"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
)

// Rules holds the operators' configuration and the zones out of service, as far as this instance has read them. A configuration is
// never replaced by an older version. The methods may be used concurrently.
type Rules struct {
	Log zerolog.Logger

	mu           sync.Mutex   // guards the fields below
	config       *work.Config // nil before the first one is read
	outOfService map[model.DataCentreID]bool
}

// Config returns the configuration in force, or nil before the first one is read.
func (r *Rules) Config() *work.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config
}

// Out reports whether a zone is out of service.
func (r *Rules) Out(zone model.DataCentreID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outOfService[zone]
}

// reset applies a snapshot of the operators' keys.
func (r *Rules) reset(items []kv.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outOfService = map[model.DataCentreID]bool{}
	for _, item := range items {
		r.applyEvent(kv.Event{Item: item})
	}
}

// events applies later changes of the operators' keys.
func (r *Rules) events(events []kv.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range events {
		r.applyEvent(event)
	}
}

// applyEvent updates the configuration or a zone; r.mu is held.
func (r *Rules) applyEvent(event kv.Event) {
	if zone, found := platform.EvacuatedZone(event.Key); found {
		r.outOfService[zone] = !event.Removed
		r.Log.Info().Str("zone", string(zone)).Bool("out", !event.Removed).Uint64("revision", uint64(event.Revision)).
			Msg("node: zone in or out of service")
		return
	}
	if !platform.IsConfig(event.Key) || event.Removed {
		return
	}
	config, err := platform.DecodeConfig(event.Value)
	if err != nil {
		r.Log.Error().Err(err).Msg("node: configuration cannot be decoded, ignored")
		return
	}
	if r.config != nil && config.Version <= r.config.Version {
		return
	}
	r.config = config
	r.Log.Info().Int64("version", int64(config.Version)).Int("queues", len(config.Queues)).Int("tenants", len(config.Tenants)).
		Uint64("revision", uint64(event.Revision)).Msg("node: configuration in force")
}
