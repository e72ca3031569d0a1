package daemon

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/audit"
	"peridotgw.example/peridotgw/internal/claim"
	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/front"
	"peridotgw.example/peridotgw/internal/kernel"
	"peridotgw.example/peridotgw/internal/lease"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/opsapi"
	"peridotgw.example/peridotgw/internal/params"
	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/internal/wire"
)

// Names of the services in the micro-kernel.
const (
	ServiceStore   kernel.Name = "store"
	ServiceLease   kernel.Name = "lease"
	ServiceAudit   kernel.Name = "audit"
	ServiceMembers kernel.Name = "members"
	ServiceConfig  kernel.Name = "config"
	ServiceVMs     kernel.Name = "vms"
	ServicePeers   kernel.Name = "peers"
	ServiceRoute   kernel.Name = "route"
	ServiceQueue   kernel.Name = "queue"
	ServiceRelay   kernel.Name = "relay"
	ServiceClaims  kernel.Name = "claims"
	ServiceSched   kernel.Name = "sched"
	ServiceFront   kernel.Name = "front"
	ServiceOps     kernel.Name = "operators"
	ServiceHealth  kernel.Name = "health"
	ServiceDrain   kernel.Name = "drain"
)

// Daemon is one instance. Its parts are exported so that specs can set their function fields before Run.
type Daemon struct {
	Settings *params.Settings
	Log      zerolog.Logger
	Metrics  *metric.Set
	Kernel   *kernel.Kernel

	Store            *store.Client
	Lease            *lease.Holder
	Audit            *audit.Log
	Members          *member.Table
	Follower         *config.Follower
	Publisher        *config.Publisher
	VMs              *vmlist.Poller
	Route            *route.Table
	Queue            *queue.Queue
	Relay            *relay.Relay
	Claims           *claim.Registry
	SchedulerAdapter *SchedulerAdapter
	Front            *front.Server
	Ops              *opsapi.Server
	Health           *Health

	// foundEndpoints is set once an endpoint has been usable.
	foundEndpoints atomic.Bool

	peerCaller *wire.Caller
	transport  http.RoundTripper // nil outside of specs
	listeners  listeners
	cleanups   []func() // called in reverse order
}

// New assembles an instance and opens its listeners; the returned function closes everything that Run has not closed. If
// transport is not nil, all outgoing HTTP goes through it and no listener is opened: specs serve the handlers themselves.
func New(settings *params.Settings, log zerolog.Logger, transport http.RoundTripper) (*Daemon, func(), error) {
	d := &Daemon{Settings: settings, Log: log, Metrics: metric.New(), transport: transport}
	d.Kernel = kernel.New(log, settings.Limits.StopTimeout.Std())
	if transport == nil {
		if err := d.listeners.open(settings); err != nil {
			return nil, nil, err
		}
		d.cleanups = append(d.cleanups, d.listeners.close)
	}
	d.addPlatform()
	d.addConfiguration()
	d.addScheduler()
	d.addRequests()
	d.addServers()
	return d, d.cleanUp, nil
}

// Run starts the services, blocks until ctx ends, and then stops them gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	return d.Kernel.Run(ctx)
}

// cleanUp closes what the parts have opened, in reverse order.
func (d *Daemon) cleanUp() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}

// sendFunc returns the function with which a service sends HTTP requests: that of the spec's transport, or fallback without one.
// A nil fallback leaves the choice to the service.
func (d *Daemon) sendFunc(fallback func(*http.Request) (*http.Response, error)) func(*http.Request) (*http.Response, error) {
	if d.transport == nil {
		return fallback
	}
	return (&http.Client{Transport: d.transport}).Do
}

// recordDecision writes a decision to the audit log, with the configuration revision on which it was based.
func (d *Daemon) recordDecision(kind, id, action, reason string, inputs map[string]string) {
	event := audit.Event{
		Subject: audit.Subject{Kind: kind, ID: id}, Action: action, Reason: reason, Inputs: inputs,
	}
	if set := d.Follower.Current(); set != nil {
		event.Revision = set.Revision
	}
	d.Audit.Add(event)
}
