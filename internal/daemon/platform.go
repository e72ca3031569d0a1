package daemon

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/audit"
	"peridotgw.example/peridotgw/internal/kernel"
	"peridotgw.example/peridotgw/internal/lease"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/internal/wire"
)

// Roles by which the metrics count calls to the store.
const (
	roleLease  = "lease"
	roleMember = "member"
	roleConfig = "config"
	roleAudit  = "audit"
	roleClaim  = "claim"
	roleJob    = "job"
)

// peerCallTimeout bounds one call to another instance.
const peerCallTimeout = 3 * time.Second

// addPlatform adds the services that communicate with the platform: store, lease, audit log and VM list.
func (d *Daemon) addPlatform() {
	settings := d.Settings
	client, closeStore := store.New(settings.Store.URL, d.Metrics)
	d.cleanups = append(d.cleanups, closeStore)
	client.Timeout = settings.Store.Timeout.Std()
	client.Do = d.sendFunc(client.Do) //nolint:bodyclose // Only the function is passed on.
	d.Store = client
	d.Kernel.Add(kernel.Service{Name: ServiceStore, Value: client})

	d.Lease = &lease.Holder{
		Store: client.WithRole(roleLease), Instance: settings.Instance, Incarnation: settings.Incarnation,
		TTL: settings.Bounds.Lease.Std(), RenewInterval: settings.Bounds.LeaseRenewInterval.Std(), Log: d.Log, Metrics: d.Metrics,
	}
	d.Kernel.Add(kernel.Service{
		Name: ServiceLease, Needs: []kernel.Name{ServiceStore}, Value: d.Lease, Run: d.Lease.Run, Stop: d.Lease.Close,
	})

	d.Audit = &audit.Log{
		Store: client.WithRole(roleAudit), Instance: settings.Instance, Log: d.Log, Metrics: d.Metrics,
	}
	d.Kernel.Add(kernel.Service{
		Name: ServiceAudit, Needs: []kernel.Name{ServiceStore}, Value: d.Audit, Run: d.Audit.Run, Stop: d.flushAudit,
	})

	send := d.sendFunc(nil) //nolint:bodyclose // Only the function is passed on.
	d.VMs = &vmlist.Poller{URL: settings.VMList.URL, PollInterval: settings.VMList.PollInterval.Std(), Log: d.Log, Do: send}
	d.Kernel.Add(kernel.Service{Name: ServiceVMs, Value: d.VMs, Run: d.VMs.Run})

	peerCaller, closeCaller := wire.NewCaller(peerCallTimeout)
	d.cleanups = append(d.cleanups, closeCaller)
	if d.transport != nil {
		peerCaller = &wire.Caller{HTTP: clientWithTimeout(d.transport, peerCallTimeout)}
	}
	d.peerCaller = peerCaller
}

// flushAudit writes the remaining audit events. An unavailable store is only logged, so that it does not make a graceful stop fail.
func (d *Daemon) flushAudit(ctx context.Context) error {
	err := d.Audit.Flush(ctx)
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		d.Log.Warn().Err(err).Msg("audit: remaining events are lost because the store is unavailable")
		return nil
	}
	return err
}
