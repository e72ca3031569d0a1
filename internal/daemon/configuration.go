package daemon

import (
	"net/http"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/kernel"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/route"
)

// addConfiguration adds membership and the configuration.
func (d *Daemon) addConfiguration() {
	settings := d.Settings
	d.Members = &member.Table{
		Log: d.Log, Metrics: d.Metrics, Store: d.Store.WithRole(roleMember), Keep: d.Lease.Keep,
		Self: member.Member{
			Instance: settings.Instance, Incarnation: settings.Incarnation, DataCentre: settings.DataCentre,
			PeerAddress: d.listeners.advertisePeers(settings), CallerAddress: d.listeners.advertiseCallers(settings),
		},
		Caller: d.caller, Local: d.report, OnReport: d.receive, ExchangeEvery: settings.Bounds.Exchange.Std(),
	}
	d.Kernel.Add(kernel.Service{
		Name: ServiceMembers, Needs: []kernel.Name{ServiceStore, ServiceLease, ServicePeers}, Value: d.Members, Run: d.Members.Run,
	})
	d.Follower = &config.Follower{
		Log: d.Log, Metrics: d.Metrics, Store: d.Store.WithRole(roleConfig), Proof: d.Lease.Proof, Members: d.Members,
		Caller: d.caller,
	}
	d.Kernel.Add(kernel.Service{
		Name: ServiceConfig, Needs: []kernel.Name{ServiceMembers}, Value: d.Follower, Run: d.Follower.Run,
	})
	d.Publisher = &config.Publisher{
		Log: d.Log, Metrics: d.Metrics, Store: d.Store.WithRole(roleConfig), Follower: d.Follower, Check: place.Check,
	}
	mux := http.NewServeMux()
	d.Members.Register(mux)
	d.Follower.Register(mux)
	d.listeners.peerMux = mux
}

// report is what this instance tells its peers.
func (d *Daemon) report() member.Report {
	revision, age, confirmed := d.Follower.Confirmation()
	return member.Report{
		Revision: revision, Confirmed: confirmed, ConfirmedAge: age,
		Leaving: d.Route.Leaving(), Summaries: d.Tasks.Summaries(),
	}
}

// receive takes what a peer tells.
func (d *Daemon) receive(report member.Report) {
	d.Follower.Report(report)
	if len(report.Leaving) > 0 {
		d.Route.SetLeaving(report.Leaving, route.SourcePeer)
	}
}
