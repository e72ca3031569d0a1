package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/audit"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/kernel"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/sched"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// nudgeTimeout bounds the call that notifies an owner of a changed record. If it is lost, the owner learns of the change later,
// from its watch.
const nudgeTimeout = time.Second

// SchedulerAdapter connects the scheduler with membership, configuration and the HTTP interfaces.
type SchedulerAdapter struct {
	Manager *sched.Manager

	daemon *Daemon
}

// addScheduler adds the scheduler.
func (d *Daemon) addScheduler() {
	settings := d.Settings
	workers, closeWorkers := worker.New(d.Metrics)
	d.cleanups = append(d.cleanups, closeWorkers)
	workers.Log = d.Log
	workers.Do = d.sendFunc(workers.Do) //nolint:bodyclose // Only the function is passed on.
	d.SchedulerAdapter = &SchedulerAdapter{daemon: d}
	d.SchedulerAdapter.Manager = &sched.Manager{
		Self:    sched.Peer{Instance: settings.Instance, DataCentre: settings.DataCentre},
		Current: d.Follower.Current, MayStartTask: d.Follower.MayStartTask, MaySubmit: d.checkMaySubmit,
		Live: d.SchedulerAdapter.livePeers, Workers: d.SchedulerAdapter.workers, PeerSummaries: d.SchedulerAdapter.peerSummaries,
		Acquire: d.Lease.Acquire, Token: d.Lease.Token, Release: d.Lease.Release,
		Record: d.recordDecision, Nudge: d.SchedulerAdapter.nudgeOwner, CleanOthers: d.cleanOldConfigurations,
		Jobs: &jobs.RecordStore{Store: d.Store.WithRole(roleJob)}, Worker: workers, Log: d.Log, Metrics: d.Metrics,
	}
	d.SchedulerAdapter.Manager.Register(d.listeners.peerMux)
	d.Metrics.Registry.MustRegister(newCollector(d))
	d.Kernel.Add(kernel.Service{
		Name: ServiceSched, Needs: []kernel.Name{ServiceConfig, ServiceVMs, ServiceAudit, ServiceLease},
		Value: d.SchedulerAdapter.Manager, Run: d.SchedulerAdapter.Manager.Run, Stop: d.SchedulerAdapter.Manager.Stop,
	})
}

// checkMaySubmit refuses jobs while the configuration is not proved to be current, because jobs are checked against its limits.
func (d *Daemon) checkMaySubmit() *reply.Error {
	if _, _, confirmed := d.Follower.Confirmation(); !confirmed {
		return reply.Refused(reply.ReasonConfigStale, "the configuration is not proved to be current")
	}
	return nil
}

// livePeers returns the live instances, this one included, from which owners are chosen.
func (a *SchedulerAdapter) livePeers() []sched.Peer {
	members := a.daemon.Members.Live()
	peers := make([]sched.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, sched.Peer{Instance: m.Instance, DataCentre: m.DataCentre})
	}
	return peers
}

// workers returns the workers in the VM list.
func (a *SchedulerAdapter) workers() []sched.WorkerVM {
	vms := a.daemon.VMs.VMs(vmlist.KindWorker)
	workers := make([]sched.WorkerVM, 0, len(vms))
	for _, vm := range vms {
		workers = append(workers, sched.WorkerVM{
			ID: model.WorkerID(vm.Name), Address: vm.Address, DataCentre: vm.DataCentre, Rack: vm.Rack,
			Accelerators: vm.Accelerators, Cores: vm.Cores, Leaving: vm.State == vmlist.StateLeaving, Incarnation: vm.Incarnation,
		})
	}
	return workers
}

// peerSummaries returns the load of the data centres that reachable peers own.
func (a *SchedulerAdapter) peerSummaries() []sched.LoadSummary {
	var summaries []sched.LoadSummary
	for _, report := range a.daemon.Members.Reports(member.LivenessTimeout) {
		for _, s := range report.Summaries {
			summaries = append(summaries, fromMemberSummary(s))
		}
	}
	return summaries
}

// Summaries returns the load of each data centre that this instance owns.
func (a *SchedulerAdapter) Summaries() []member.LoadSummary {
	own := a.Manager.Summaries()
	summaries := make([]member.LoadSummary, 0, len(own))
	for _, s := range own {
		summaries = append(summaries, toMemberSummary(s))
	}
	return summaries
}

// nudgeOwner notifies the owner of a data centre that a record changed. Errors are only logged.
func (a *SchedulerAdapter) nudgeOwner(ctx context.Context, dc model.DataCentreID) {
	owner, found := a.ownerAddress(dc)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, nudgeTimeout)
	defer cancel()
	if err := sched.SendNudge(ctx, a.daemon.peerCaller, owner, dc); err != nil {
		a.daemon.Log.Debug().Err(err).Str("data-centre", string(dc)).Msg("sched: notification of the owner was lost")
	}
}

// ownerAddress returns the peer address of the owner of a data centre.
func (a *SchedulerAdapter) ownerAddress(dc model.DataCentreID) (string, bool) {
	for _, s := range a.peerSummaries() {
		if s.DataCentre == dc {
			return a.daemon.Members.Address(s.Owner)
		}
	}
	return "", false
}

// submitJSON, getJSON and cancelJSON implement the callers' API.
func (a *SchedulerAdapter) submitJSON(ctx context.Context, body json.RawMessage) (json.RawMessage, *reply.Error) {
	spec, refused := decodeSpec(body)
	if refused != nil {
		return nil, refused
	}
	return encodeRecord(a.Manager.Submit(ctx, spec))
}

func (a *SchedulerAdapter) getJSON(ctx context.Context, id model.JobID) (json.RawMessage, *reply.Error) {
	return encodeRecord(a.Manager.Get(ctx, id))
}

func (a *SchedulerAdapter) cancelJSON(ctx context.Context, id model.JobID) (json.RawMessage, *reply.Error) {
	return encodeRecord(a.Manager.Cancel(ctx, id))
}

// submitJob, getJob, cancelJob and listJobs implement the operators' API.
func (a *SchedulerAdapter) submitJob(ctx context.Context, body json.RawMessage) (any, *reply.Error) {
	return toAny(a.submitJSON(ctx, body))
}

func (a *SchedulerAdapter) getJob(ctx context.Context, id model.JobID) (any, *reply.Error) {
	return toAny(a.getJSON(ctx, id))
}

func (a *SchedulerAdapter) cancelJob(ctx context.Context, id model.JobID) (any, *reply.Error) {
	return toAny(a.cancelJSON(ctx, id))
}

func (a *SchedulerAdapter) listJobs(ctx context.Context) (any, error) {
	records, err := a.Manager.List(ctx)
	return jobList{Jobs: records}, err
}

// jobList is the response body of GET /v1/jobs.
type jobList struct {
	Jobs []jobs.Record `json:"jobs"`
}

// jobHistory returns the decisions in a job's record as audit events.
func (a *SchedulerAdapter) jobHistory(ctx context.Context, id model.JobID) ([]audit.Event, error) {
	record, refused := a.Manager.Get(ctx, id)
	if refused != nil {
		return nil, eris.Wrap(refused, "reading the job's record")
	}
	events := make([]audit.Event, 0, len(record.History))
	for _, note := range record.History {
		events = append(events, audit.Event{
			At: note.At, Instance: note.Instance, Subject: audit.Subject{Kind: audit.KindJob, ID: string(id)},
			Action: note.Action, Reason: note.Reason, Revision: note.Revision, Inputs: note.Inputs,
		})
	}
	return events, nil
}

func decodeSpec(body json.RawMessage) (jobs.Spec, *reply.Error) {
	var spec jobs.Spec
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return spec, reply.Refused(reply.ReasonMalformed, "the job is not valid JSON: %v", err)
	}
	return spec, nil
}

func encodeRecord(record jobs.Record, refused *reply.Error) (json.RawMessage, *reply.Error) {
	if refused != nil {
		return nil, refused
	}
	data, err := json.Marshal(record)
	if err != nil {
		return nil, reply.Unknown(reply.ReasonAnswerLost, "encoding the job's record: %v", err)
	}
	return data, nil
}

// toAny returns nil for a refusal; a nil json.RawMessage in an interface would not be nil.
func toAny(record json.RawMessage, refused *reply.Error) (any, *reply.Error) {
	if refused != nil {
		return nil, refused
	}
	return record, nil
}

func toMemberSummary(s sched.LoadSummary) member.LoadSummary {
	return member.LoadSummary{
		DataCentre: s.DataCentre, Owner: s.Owner, Free: s.Free, LargestRackFree: s.LargestRackFree,
		Queued: s.Queued, Running: s.Running, LoadAge: s.LoadAge,
		Total: s.Total, QueuedAccelerators: s.QueuedAccelerators, RunningAccelerators: s.RunningAccelerators,
	}
}

func fromMemberSummary(s member.LoadSummary) sched.LoadSummary {
	return sched.LoadSummary{
		DataCentre: s.DataCentre, Owner: s.Owner, Free: s.Free, LargestRackFree: s.LargestRackFree,
		Queued: s.Queued, Running: s.Running, LoadAge: s.LoadAge,
		Total: s.Total, QueuedAccelerators: s.QueuedAccelerators, RunningAccelerators: s.RunningAccelerators,
	}
}
