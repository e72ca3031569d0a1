package daemon

import (
	"context"
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"peridotgw.example/peridotgw/internal/audit"
	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/kernel"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// addConfiguration adds the services for membership and the configuration.
func (d *Daemon) addConfiguration() {
	settings := d.Settings
	d.Members = &member.Table{
		Log: d.Log, Metrics: d.Metrics, Store: d.Store.WithRole(roleMember), KeepKey: d.Lease.KeepKey,
		Self: member.Member{
			Instance: settings.Instance, Incarnation: settings.Incarnation, DataCentre: settings.DataCentre,
			PeerAddress: d.listeners.advertisedPeerAddress(settings), CallerAddress: d.listeners.advertisedCallerAddress(settings),
		},
		Caller: d.peerCaller, LocalReport: d.peerReport, OnReport: d.handlePeerReport, ExchangeEvery: settings.Bounds.ExchangeInterval.Std(),
	}
	d.Kernel.Add(kernel.Service{
		Name: ServiceMembers, Needs: []kernel.Name{ServiceStore, ServiceLease, ServicePeers}, Value: d.Members, Run: d.Members.Run,
	})
	d.Follower = &config.Follower{
		Log: d.Log, Metrics: d.Metrics, Store: d.Store.WithRole(roleConfig), LastRenewal: d.Lease.LastRenewal, Members: d.Members,
		Caller: d.peerCaller,
	}
	d.Kernel.Add(kernel.Service{
		Name: ServiceConfig, Needs: []kernel.Name{ServiceMembers}, Value: d.Follower, Run: d.Follower.Run,
	})
	d.Publisher = &config.Publisher{
		Log: d.Log, Metrics: d.Metrics, Store: d.Store.WithRole(roleConfig), Follower: d.Follower, Check: place.Check,
		OnPublished: d.recordChange,
	}
	mux := http.NewServeMux()
	d.Members.Register(mux)
	d.Follower.Register(mux)
	d.listeners.peerMux = mux
}

// peerReport returns the state that this instance sends to its peers.
func (d *Daemon) peerReport() member.Report {
	revision, age, confirmed := d.Follower.Confirmation()
	return member.Report{
		Revision: revision, Confirmed: confirmed, ConfirmedAge: age,
		Leaving: d.Route.Leaving(), Summaries: d.SchedulerAdapter.Summaries(),
	}
}

// handlePeerReport applies the report of a peer.
func (d *Daemon) handlePeerReport(report member.Report) {
	d.Follower.Report(report)
	if len(report.Leaving) > 0 {
		d.Route.SetLeaving(report.Leaving, route.SourcePeer)
	}
}

// recordChange writes each publication and its outcome to the audit log.
func (d *Daemon) recordChange(change config.Change, result config.Result, refused *reply.Error) {
	inputs := map[string]string{
		"by": change.Operator, "base": strconv.FormatUint(uint64(change.Base), 10),
		"put": strconv.Itoa(len(change.Put)), "delete": strconv.Itoa(len(change.Delete)),
	}
	if refused != nil {
		inputs["message"] = refused.Message
		d.recordDecision(audit.KindChange, string(change.ID), string(refused.Outcome), string(refused.Reason), inputs)
		return
	}
	inputs["revision"] = strconv.FormatUint(uint64(result.Revision), 10)
	d.recordDecision(audit.KindChange, string(change.ID), "published", "", inputs)
	for _, ref := range result.Changed {
		if ref.Kind == model.KindDataCentre {
			d.recordDecision(audit.KindDataCentre, ref.Name, "changed", string(change.ID), inputs)
		}
	}
}

// cleanOldConfigurations removes the revisions, segments and changes of old configurations from the store, at the rate of limiter.
func (d *Daemon) cleanOldConfigurations(ctx context.Context, limiter *rate.Limiter) error {
	cleaned, err := d.Publisher.DeleteExpired(ctx, config.DefaultRetention, limiter)
	if cleaned != (config.CleanupCounts{}) {
		d.Log.Info().Int("revisions", cleaned.Revisions).Int("segments", cleaned.Segments).Int("changes", cleaned.Changes).
			Msg("config: old configurations removed")
	}
	return err
}
