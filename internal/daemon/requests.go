package daemon

import (
	"context"
	"slices"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/claim"
	"peridotgw.example/peridotgw/internal/front"
	"peridotgw.example/peridotgw/internal/kernel"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// addRequests adds the services that take a request from its caller to an endpoint.
func (d *Daemon) addRequests() {
	settings := d.Settings
	send := d.sendFunc(nil) //nolint:bodyclose // Only the function is passed on.
	d.Route = &route.Table{
		Log: d.Log, Metrics: d.Metrics, Current: d.Follower.Current, Members: d.liveInstances,
		Self: settings.Instance, DataCentre: settings.DataCentre, Do: send,
	}
	d.VMs.Subscribe(d.Route.Update)
	d.Follower.Subscribe(func(*model.Set) { d.Route.Refresh() })
	d.Kernel.Add(kernel.Service{
		Name: ServiceRoute, Needs: []kernel.Name{ServiceConfig, ServiceVMs}, Value: d.Route, Run: d.Route.Run,
	})
	d.Queue = &queue.Queue{Metrics: d.Metrics, Acquire: d.Route.Acquire, Slots: d.Route.Slots, UsableEndpoints: d.Route.UsableEndpoints}
	d.Route.OnSlotFree = d.Queue.StartQueued
	d.Kernel.Add(kernel.Service{Name: ServiceQueue, Needs: []kernel.Name{ServiceRoute}, Value: d.Queue})
	d.Relay = &relay.Relay{
		Log: d.Log, Metrics: d.Metrics, Table: d.Route, CheckSend: d.Follower.CheckSend, Do: send,
	}
	d.Kernel.Add(kernel.Service{Name: ServiceRelay, Needs: []kernel.Name{ServiceRoute}, Value: d.Relay, Run: d.Relay.Run})
	d.Claims = &claim.Registry{
		Store: d.Store.WithRole(roleClaim), Instance: settings.Instance, Incarnation: settings.Incarnation,
		Log: d.Log, Metrics: d.Metrics, ProcessEnded: d.processEnded,
	}
	d.Kernel.Add(kernel.Service{Name: ServiceClaims, Needs: []kernel.Name{ServiceStore}, Value: d.Claims, Run: d.Claims.Run})
	limits := budget.Machine{}.Complete()
	d.Front = &front.Server{
		Log: d.Log, Metrics: d.Metrics, Instance: settings.Instance, Current: d.Follower.Current,
		CheckSend: d.Follower.CheckSend, Queue: d.Queue, Relay: d.Relay, Claim: d.claim, RecordDecision: d.recordDecision,
		Submit: d.SchedulerAdapter.submitJSON, Get: d.SchedulerAdapter.getJSON, Cancel: d.SchedulerAdapter.cancelJSON,
		Listener: d.listeners.callers, Bodies: limits.Bodies(callerBodyShare), MaxConns: limits.Conns(callerConnShare),
	}
	service := kernel.Service{
		Name:  ServiceFront,
		Needs: []kernel.Name{ServiceQueue, ServiceRelay, ServiceClaims, ServiceSched, ServiceAudit, ServiceConfig},
		Value: d.Front, Stop: d.Front.Drain,
	}
	if d.listeners.callers != nil {
		service.Run = d.Front.Run
	}
	d.Kernel.Add(service)
}

// liveInstances returns the instances to which the route table assigns slots.
func (d *Daemon) liveInstances() []model.InstanceID {
	live := d.Members.Live()
	ids := make([]model.InstanceID, 0, len(live))
	for _, m := range live {
		ids = append(ids, m.Instance)
	}
	return ids
}

// processEnded reports whether a process is no longer registered. Its unfinished claims then remain in doubt, and a duplicate request
// need not wait for them until its deadline. It returns false while no members are known.
func (d *Daemon) processEnded(instance model.InstanceID, incarnation model.Incarnation) bool {
	known := d.Members.Known()
	registered := slices.ContainsFunc(known, func(m member.Member) bool {
		return m.Instance == instance && m.Incarnation == incarnation
	})
	return len(known) > 0 && !registered
}

// claim claims a request for the callers' API. It returns the claim, or the stored answer of an earlier run, or an error.
func (d *Daemon) claim(
	ctx context.Context, request front.ClaimRequest,
) (*front.Claim, *front.StoredAnswer, *reply.Error) {
	key := claim.Key{Customer: request.Customer, Request: request.Request}
	held, outcome, refused := d.Claims.Begin(ctx, key, request.Class, request.Digest)
	if refused != nil {
		return nil, nil, refused
	}
	if outcome != nil {
		stored := front.StoredAnswer(*outcome)
		return nil, &stored, nil
	}
	finish := func(ctx context.Context, answer front.StoredAnswer) error {
		return held.Finish(ctx, claim.Outcome(answer))
	}
	return &front.Claim{Finish: finish, Release: held.Release}, nil, nil
}
