package node

import (
	"sync"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
)

// Rules are what the operators have ordered, as far as this instance knows. A version once seen is never replaced by an
// older one.
type Rules struct {
	Log zerolog.Logger

	mu     sync.Mutex
	config *work.Config
	out    map[model.DataCentreID]bool
}

// Config returns the configuration in force, or nil.
func (r *Rules) Config() *work.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config
}

// Out reports whether a zone is out of service.
func (r *Rules) Out(zone model.DataCentreID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out[zone]
}

func (r *Rules) reset(items []kv.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out = map[model.DataCentreID]bool{}
	for _, item := range items {
		r.apply(kv.Event{Item: item})
	}
}

func (r *Rules) events(events []kv.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range events {
		r.apply(event)
	}
}

func (r *Rules) apply(event kv.Event) {
	if zone, found := platform.EvacuatedZone(event.Key); found {
		r.out[zone] = !event.Removed
		r.Log.Info().Str("zone", string(zone)).Bool("out", !event.Removed).Uint64("revision", uint64(event.Revision)).
			Msg("node: zone in or out of service")
		return
	}
	if !platform.IsConfig(event.Key) || event.Removed {
		return
	}
	config, err := platform.DecodeConfig(event.Value)
	if err != nil {
		r.Log.Error().Err(err).Msg("node: configuration ignored")
		return
	}
	if r.config != nil && config.Version <= r.config.Version {
		return
	}
	r.config = config
	r.Log.Info().Int64("version", int64(config.Version)).Int("queues", len(config.Queues)).Int("tenants", len(config.Tenants)).
		Uint64("revision", uint64(event.Revision)).Msg("node: configuration in force")
}
