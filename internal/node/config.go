package node

import (
	"sync"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
)

// OperatorConfig holds the operators' configuration and the zones out of service, as far as this instance has read them, itself or
// through a peer. A configuration is never replaced by an older version. The methods may be used concurrently.
type OperatorConfig struct {
	Log zerolog.Logger

	mu           sync.Mutex   // guards the fields below
	config       *work.Config // nil before the first one is read
	outOfService map[model.DataCentreID]bool
	items        map[string]kv.Item // the operators' keys as last read
	revision     kv.Revision        // of the latest change that is applied
}

// Config returns the configuration in force, or nil before the first one is read.
func (o *OperatorConfig) Config() *work.Config {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config
}

// OutOfService reports whether a zone is out of service.
func (o *OperatorConfig) OutOfService(zone model.DataCentreID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outOfService[zone]
}

// reset applies a snapshot of the operators' keys from the store.
func (o *OperatorConfig) reset(items []kv.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replace(items)
}

// replace applies a snapshot; o.mu is held.
func (o *OperatorConfig) replace(items []kv.Item) {
	o.outOfService, o.items = map[model.DataCentreID]bool{}, map[string]kv.Item{}
	for _, item := range items {
		o.applyEvent(kv.Event{Item: item})
	}
}

// events applies later changes of the operators' keys.
func (o *OperatorConfig) events(events []kv.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, event := range events {
		o.applyEvent(event)
	}
}

// snapshot returns the operators' keys and the revision of their latest change.
func (o *OperatorConfig) snapshot() ([]kv.Item, kv.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	items := make([]kv.Item, 0, len(o.items))
	for _, item := range o.items {
		items = append(items, item)
	}
	return items, o.revision
}

// applySnapshot applies the snapshot of a peer unless this instance has later changes, and reports whether it did.
func (o *OperatorConfig) applySnapshot(items []kv.Item, revision kv.Revision) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if revision <= o.revision {
		return false
	}
	o.replace(items)
	o.revision = revision
	return true
}

// applyEvent updates the configuration or a zone; o.mu is held.
func (o *OperatorConfig) applyEvent(event kv.Event) {
	o.revision = max(o.revision, event.Revision)
	if event.Removed {
		delete(o.items, event.Key)
	} else {
		o.items[event.Key] = event.Item
	}
	if zone, found := platform.OutOfServiceZone(event.Key); found {
		o.outOfService[zone] = !event.Removed
		o.Log.Info().Str("zone", string(zone)).Bool("out", !event.Removed).Uint64("revision", uint64(event.Revision)).
			Msg("node: zone in or out of service")
		return
	}
	if !platform.IsConfig(event.Key) || event.Removed {
		return
	}
	config, err := platform.DecodeConfig(event.Value)
	if err != nil {
		o.Log.Error().Err(err).Msg("node: configuration cannot be decoded, ignored")
		return
	}
	if o.config != nil && config.Version <= o.config.Version {
		return
	}
	o.config = config
	o.Log.Info().Int64("version", int64(config.Version)).Int("queues", len(config.Queues)).Int("tenants", len(config.Tenants)).
		Uint64("revision", uint64(event.Revision)).Msg("node: configuration in force")
}
