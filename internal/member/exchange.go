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

// exchange calls one peer until ctx ends.
func (t *Table) exchange(ctx context.Context, peer Member) {
	every := cmp.Or(t.ExchangeEvery, DefaultExchangeEvery)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	caller := CountCaller(t.Caller, t.Metrics, ProcedureExchange)
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
			t.retry(caller, healthy)
		}
		healthy = err == nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// retry closes the idle connections after the first failed call, because they may have gone silent while new ones work.
func (t *Table) retry(caller *wire.Caller, first bool) {
	if t.Metrics != nil {
		t.Metrics.Retries.WithLabelValues("peer-exchange", "no-answer").Inc()
	}
	if closer, ok := caller.HTTP.(interface{ CloseIdleConnections() }); ok && first {
		closer.CloseIdleConnections()
	}
}

// callPeer does one exchange; the ages in the answer grow by the whole round trip.
func (t *Table) callPeer(ctx context.Context, caller *wire.Caller, peer Member) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(t.PeerTimeout, DefaultPeerTimeout))
	defer cancel()
	req := message{Incarnation: t.Self.Incarnation, Report: t.local()}
	sent := t.now()
	res, err := wire.Call[message, message](ctx, caller, peer.PeerAddress, ProcedureExchange, &req)
	if err != nil {
		return err
	}
	arrived := t.now()
	if res.Report.Instance != peer.Instance {
		return fmt.Errorf("calling %s: %w: %s", peer.Instance, errUnexpectedInstance, res.Report.Instance)
	}
	t.accept(*res, arrived, arrived.Sub(sent))
	return nil
}

// receive answers a peer's call. Its report proves that the peer lives, but its confirmation is not used: the time that
// the call took is not known here.
func (t *Table) receive(_ context.Context, req *message) (*message, error) {
	arrived := t.now()
	called := *req
	called.Report.Confirmed, called.Report.ConfirmedAge = false, 0
	t.accept(called, arrived, 0)
	return &message{Incarnation: t.Self.Incarnation, Report: t.local()}, nil
}

// accept records a report whose answer took roundTrip.
func (t *Table) accept(m message, arrived time.Time, roundTrip time.Duration) {
	report := m.Report
	report.AsOf = arrived
	report.ConfirmedAge += roundTrip
	for i := range report.Summaries {
		report.Summaries[i].At += roundTrip
	}
	if !t.record(m.Incarnation, report) {
		return
	}
	if t.OnReport != nil {
		t.OnReport(report)
	}
}

// record notes that a member was heard; it is false for strangers and for former incarnations of a member.
func (t *Table) record(incarnation model.Incarnation, report Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	member, found := t.known[report.Instance]
	if !found || member.Incarnation != incarnation || report.Instance == t.Self.Instance {
		return false
	}
	if t.heard == nil {
		t.heard = map[model.InstanceID]contact{}
	}
	before := t.heard[report.Instance]
	kept := report
	if !report.Confirmed && before.report.Confirmed && before.report.Revision == report.Revision {
		kept.Confirmed = true
		kept.ConfirmedAge = before.report.ConfirmedAge + report.AsOf.Sub(before.report.AsOf)
	}
	t.heard[report.Instance] = contact{at: report.AsOf, report: kept}
	return true
}

// local returns this instance's report.
func (t *Table) local() Report {
	var report Report
	if t.Local != nil {
		report = t.Local()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	report.Instance = t.Self.Instance
	report.Draining = t.draining
	report.Leaving = slices.Clone(report.Leaving)
	return report
}
