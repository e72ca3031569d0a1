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

// Health serves the health checks of the load balancer and the supervisor.
type Health struct {
	// Ready reports whether the instance can serve requests, and if not, the reason. It is called concurrently.
	Ready func() (bool, string)

	draining atomic.Bool
}

// SetDraining makes /readyz fail permanently.
func (h *Health) SetDraining() { h.draining.Store(true) }

// Live responds with 200 as long as the process serves HTTP.
func (h *Health) Live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// ReadyHandler responds with 200 if the instance accepts new requests, otherwise with 503 and the reason.
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

// checkReady reports whether the instance has a proved configuration that is not stale and has found an endpoint; if not, reason says
// what is missing.
func (d *Daemon) checkReady() (ok bool, reason string) {
	if !d.Follower.Ready() {
		return false, "no proved configuration"
	}
	if d.Follower.Level() == config.LevelStale {
		return false, "configuration is stale"
	}
	if !d.hasFoundEndpoints() {
		return false, "no endpoint has answered a probe yet"
	}
	return true, ""
}

// hasFoundEndpoints reports whether the instance has had a usable endpoint, or an empty list of endpoints, since it started. Later
// failures of endpoints do not count: they affect all instances, and then all would leave the balancer.
func (d *Daemon) hasFoundEndpoints() bool {
	if d.foundEndpoints.Load() {
		return true
	}
	if _, polled := d.VMs.Age(); !polled {
		return false
	}
	found := d.Route.UsableEndpoints(nil) > 0 || len(d.VMs.VMs(vmlist.KindEndpoint)) == 0
	if found {
		d.foundEndpoints.Store(true)
	}
	return found
}

// drain removes the instance from the balancer before it stops accepting requests: it makes /readyz fail, notifies peers and
// callers, and waits BalancerDelay for the balancer to react.
func (d *Daemon) drain(ctx context.Context) error {
	d.Log.Info().Msg("drain: leaving the balancer")
	d.Health.SetDraining()
	d.Members.SetDraining()
	d.Front.SetDraining()
	return eris.Wrap(clock.Sleep(ctx, d.Settings.Limits.BalancerDelay.Std()), "waiting for the balancer")
}
