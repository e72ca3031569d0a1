package opsapi

import (
	"context"
	"maps"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// statusBody is the answer of GET /v1/status.
type statusBody struct {
	Instance model.InstanceID `json:"instance"`
	Revision model.Revision   `json:"revision"`
	Level    config.Level     `json:"level"`
	// ConfirmedAge is the time since the revision was proved to be the newest; it is omitted before the first proof.
	ConfirmedAge model.Duration     `json:"confirmed-age,omitempty"`
	Members      []memberStatus     `json:"members"`
	DataCentres  []dataCentreStatus `json:"data-centres"`
}

type memberStatus struct {
	member.Member
	Live bool `json:"live"`
	// Revision is the last one that the member reported; 0 means that no report has arrived.
	Revision  model.Revision `json:"revision"`
	Confirmed bool           `json:"confirmed"`
	// ConfirmedAge includes the time since the report.
	ConfirmedAge model.Duration `json:"confirmed-age,omitempty"`
}

type dataCentreStatus struct {
	Name    model.DataCentreID `json:"data-centre"`
	Service model.ServiceState `json:"service"`
	Region  string             `json:"region,omitempty"`
	// Owner is empty when no instance reports that it owns the data centre; the load fields are zero then.
	Owner           model.InstanceID   `json:"owner,omitempty"`
	Total           model.Accelerators `json:"total"`
	Free            model.Accelerators `json:"free"`
	LargestRackFree model.Accelerators `json:"largest-rack-free"`
	Queued          int                `json:"queued"`
	Running         int                `json:"running"`
	// Age is the time since the owner computed the load.
	Age model.Duration `json:"age,omitempty"`
}

func (s *Server) status(_ context.Context, req request) (answer, *reply.Error) {
	if refused := checkQuery(req); refused != nil {
		return answer{}, refused
	}
	revision, age, _ := s.Follower.Confirmation()
	body := statusBody{
		Instance: s.Instance, Revision: revision, Level: s.Follower.Level(), ConfirmedAge: roundToMillis(age),
		Members: []memberStatus{}, DataCentres: []dataCentreStatus{},
	}
	summaries := map[model.DataCentreID]member.LoadSummary{}
	if s.Members != nil {
		body.Members = s.memberStatuses(summaries)
	}
	set := s.Follower.Current()
	if set == nil {
		return answer{Body: body}, nil
	}
	for _, name := range slices.Sorted(maps.Keys(set.DataCentres)) {
		dataCentre := set.DataCentres[name]
		status := dataCentreStatus{Name: name, Service: dataCentre.Service, Region: dataCentre.Region}
		if summary, found := summaries[name]; found {
			status.Owner, status.Age = summary.Owner, roundToMillis(summary.LoadAge)
			status.Total, status.Free, status.LargestRackFree = summary.Total, summary.Free, summary.LargestRackFree
			status.Queued, status.Running = summary.Queued, summary.Running
		}
		body.DataCentres = append(body.DataCentres, status)
	}
	return answer{Body: body}, nil
}

// memberStatuses returns the status of each member and stores the newest summary of each data centre in summaries.
func (s *Server) memberStatuses(summaries map[model.DataCentreID]member.LoadSummary) []memberStatus {
	reports := map[model.InstanceID]member.Report{}
	for _, report := range append(s.Members.Reports(time.Hour), s.ownReport()) {
		reports[report.Instance] = report
		for _, summary := range report.Summaries {
			if known, found := summaries[summary.DataCentre]; !found || summary.LoadAge < known.LoadAge {
				summaries[summary.DataCentre] = summary
			}
		}
	}
	live := map[model.InstanceID]bool{}
	for _, m := range s.Members.Live() {
		live[m.Instance] = true
	}
	statuses := []memberStatus{}
	for _, m := range s.Members.Known() {
		report := reports[m.Instance]
		m.Draining = m.Draining || report.Draining
		statuses = append(statuses, memberStatus{
			Member: m, Live: live[m.Instance], Revision: report.Revision,
			Confirmed: report.Confirmed, ConfirmedAge: roundToMillis(report.ConfirmedAge),
		})
	}
	return statuses
}

// ownReport returns the report of this instance.
func (s *Server) ownReport() member.Report {
	var report member.Report
	if s.Members.LocalReport != nil {
		report = s.Members.LocalReport()
	}
	report.Instance = s.Instance
	report.Revision, report.ConfirmedAge, report.Confirmed = s.Follower.Confirmation()
	return report
}

func roundToMillis(d time.Duration) model.Duration { return model.Duration(d.Round(time.Millisecond)) }
