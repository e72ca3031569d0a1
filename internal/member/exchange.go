package member

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
)

// exchangeLoop exchanges reports with one peer periodically until ctx ends.
func (t *Table) exchangeLoop(ctx context.Context, peer Member) {
	interval := cmp.Or(t.ExchangeEvery, DefaultExchangeEvery)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	caller := CountCallerBytes(t.Caller, t.Metrics, ProcedureExchange)
	healthy := true
	for {
		err := t.callPeer(ctx, caller, peer)
		if ctx.Err() != nil {
			return
		}
		if err != nil && healthy {
			t.Log.Warn().Err(err).Str("peer", string(peer.Instance)).Msg("member: peer does not answer")
		}
		if err != nil {
			t.handleCallFailure(caller, healthy)
		}
		healthy = err == nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// handleCallFailure counts a failed call. After the first failure it closes the idle connections, which may be dead while new
// ones work.
func (t *Table) handleCallFailure(caller *wire.Caller, first bool) {
	if t.Metrics != nil {
		t.Metrics.Retries.WithLabelValues("peer-exchange", "no-answer").Inc()
	}
	if closer, ok := caller.HTTP.(interface{ CloseIdleConnections() }); ok && first {
		closer.CloseIdleConnections()
	}
}

// callPeer exchanges reports with a peer once. It increases the ages in the answer by the whole round trip.
func (t *Table) callPeer(ctx context.Context, caller *wire.Caller, peer Member) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(t.PeerTimeout, DefaultPeerTimeout))
	defer cancel()
	req := exchangeMessage{Incarnation: t.Self.Incarnation, Report: t.localReport()}
	sentAt := t.now()
	res, err := wire.Call[exchangeMessage, exchangeMessage](ctx, caller, peer.PeerAddress, ProcedureExchange, &req)
	if err != nil {
		return err
	}
	arrived := t.now()
	if res.Report.Instance != peer.Instance {
		return fmt.Errorf("calling %s: %w: %s", peer.Instance, errUnexpectedInstance, res.Report.Instance)
	}
	t.acceptReport(*res, arrived, arrived.Sub(sentAt))
	return nil
}

// handleExchange answers a peer's call. The report proves that the peer is live, but its confirmation is dropped because the
// transit time of the call is unknown here.
func (t *Table) handleExchange(_ context.Context, req *exchangeMessage) (*exchangeMessage, error) {
	arrived := t.now()
	message := *req
	message.Report.Confirmed, message.Report.ConfirmedAge = false, 0
	t.acceptReport(message, arrived, 0)
	return &exchangeMessage{Incarnation: t.Self.Incarnation, Report: t.localReport()}, nil
}

// acceptReport adds roundTrip to the ages of a report, records it and passes it to OnReport.
func (t *Table) acceptReport(m exchangeMessage, arrived time.Time, roundTrip time.Duration) {
	report := m.Report
	report.AsOf = arrived
	report.ConfirmedAge += roundTrip
	for i := range report.Summaries {
		report.Summaries[i].LoadAge += roundTrip
	}
	if !t.recordReport(m.Incarnation, report) {
		return
	}
	if t.OnReport != nil {
		t.OnReport(report)
	}
}

// recordReport stores the last report of a member. It returns false for unregistered instances and for former incarnations of a
// member. A report without a confirmation keeps the previous one, aged, if the revision is the same.
func (t *Table) recordReport(incarnation model.Incarnation, report Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	member, found := t.known[report.Instance]
	if !found || member.Incarnation != incarnation || report.Instance == t.Self.Instance {
		return false
	}
	if t.lastReports == nil {
		t.lastReports = map[model.InstanceID]lastReport{}
	}
	previous := t.lastReports[report.Instance]
	merged := report
	if !report.Confirmed && previous.report.Confirmed && previous.report.Revision == report.Revision {
		merged.Confirmed = true
		merged.ConfirmedAge = previous.report.ConfirmedAge + report.AsOf.Sub(previous.report.AsOf)
	}
	t.lastReports[report.Instance] = lastReport{at: report.AsOf, report: merged}
	return true
}

// localReport returns this instance's report.
func (t *Table) localReport() Report {
	var report Report
	if t.LocalReport != nil {
		report = t.LocalReport()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	report.Instance = t.Self.Instance
	report.Draining = t.draining
	report.Leaving = slices.Clone(report.Leaving)
	return report
}
