package daemon

import (
	"context"
	"errors"
	"net/http"

	"peridotgw.example/peridotgw/internal/audit"
	"peridotgw.example/peridotgw/internal/kernel"
	"peridotgw.example/peridotgw/internal/opsapi"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
)

// addServers adds the servers for operators, for peers and for metrics and health, and the service that drains the instance.
func (d *Daemon) addServers() {
	d.Ops = &opsapi.Server{
		Log: d.Log, Metrics: d.Metrics, Tokens: d.Settings.Tokens(), Publisher: d.Publisher, Follower: d.Follower,
		Members: d.Members, Instance: d.Settings.Instance,
		ListJobs: d.SchedulerAdapter.listJobs, GetJob: d.SchedulerAdapter.getJob,
		SubmitJob: d.SchedulerAdapter.submitJob, CancelJob: d.SchedulerAdapter.cancelJob,
		Explain:    d.explainSubject,
		SetLeaving: func(ids []model.EndpointID) { d.Route.SetLeaving(ids, route.SourceOperator) },
	}
	d.Kernel.Add(d.newHTTPService(ServiceOps, d.listeners.operators, newHTTPLimit(operatorConnShare), d.Ops.Handler(), ServiceConfig, ServiceSched, ServiceAudit))
	d.Kernel.Add(d.newHTTPService(ServicePeers, d.listeners.peers, newHTTPLimit(peerConnShare),
		wire.Limited(d.listeners.peerMux), ServiceLease))

	d.Health = &Health{Ready: d.checkReady}
	d.Kernel.Add(d.newHTTPService(ServiceHealth, d.listeners.metrics, httpLimit{conns: probeConns}, d.newHealthMux()))
	d.Kernel.Add(kernel.Service{
		Name: ServiceDrain, Needs: []kernel.Name{ServiceFront, ServiceOps, ServiceHealth}, Stop: d.drain,
	})
}

func (d *Daemon) newHealthMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", d.Metrics.Handler())
	mux.HandleFunc("/livez", d.Health.Live)
	mux.HandleFunc("/readyz", d.Health.ReadyHandler)
	return mux
}

// PeerHandler serves the calls of other instances.
func (d *Daemon) PeerHandler() http.Handler { return d.listeners.peerMux }

// explainSubject returns the recorded decisions on a subject, in the case of a job with those in its record. An error is returned
// only when no decision was found.
func (d *Daemon) explainSubject(ctx context.Context, kind, id string) (any, error) {
	events, err := d.Audit.Explain(ctx, audit.Subject{Kind: kind, ID: id})
	if kind == audit.KindJob {
		notes, noteErr := d.SchedulerAdapter.jobHistory(ctx, model.JobID(id))
		events, err = append(notes, events...), errors.Join(err, noteErr)
	}
	if len(events) > 0 {
		err = nil
	}
	return eventList{Events: events}, err
}

// eventList is the response body of GET /v1/explain.
type eventList struct {
	Events []audit.Event `json:"events"`
}
