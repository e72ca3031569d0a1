package daemon

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/vmlist"
)

// Health answers the balancer and the supervisor.
type Health struct {
	// Ready reports whether the instance can serve, and otherwise why not.
	Ready func() (bool, string)

	draining atomic.Bool
}

// SetDraining makes /readyz fail from now on.
func (h *Health) SetDraining() { h.draining.Store(true) }

// Live answers 200 while the process serves HTTP at all.
func (h *Health) Live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// ReadyHandler answers 200 when new requests may come, and 503 with the reason otherwise.
func (h *Health) ReadyHandler(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if ready, reason := h.Ready(); !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the instance has a configuration that it may act on.
func (d *Daemon) ready() (ok bool, reason string) {
	if !d.Follower.Ready() {
		return false, "no proved configuration"
	}
	if d.Follower.Level() == config.LevelStale {
		return false, "configuration is stale"
	}
	if !d.endpointsFound() {
		return false, "no endpoint has answered a probe yet"
	}
	return true, ""
}

// endpointsFound reports whether the instance has been able to send requests since it started. Endpoints that fail later do
// not count: they fail for all instances, and none may leave the balancer for it.
func (d *Daemon) endpointsFound() bool {
	if d.foundEndpoints.Load() {
		return true
	}
	if _, polled := d.VMs.Age(); !polled {
		return false
	}
	found := d.Route.Usable(nil) > 0 || len(d.VMs.VMs(vmlist.KindEndpoint)) == 0
	if found {
		d.foundEndpoints.Store(true)
	}
	return found
}

// drain makes the instance leave the balancer before it stops accepting: it fails /readyz, tells its peers and callers,
// and waits until the balancer has noticed.
func (d *Daemon) drain(ctx context.Context) error {
	d.Log.Info().Msg("drain: leaving the balancer")
	d.Health.SetDraining()
	d.Members.SetDraining()
	d.Front.SetDraining()
	return eris.Wrap(clock.Sleep(ctx, d.Settings.Limits.BalancerDelay.Std()), "waiting for the balancer")
}
