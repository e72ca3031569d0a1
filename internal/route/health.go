package route

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Limits of ejection and probes.
const (
	// failuresToEject is the number of consecutive failures, without a successful answer in between, that ejects an endpoint.
	failuresToEject = 5
	// The first probe follows after minProbeBackoff; the backoff doubles up to maxProbeBackoff with each failed probe and each
	// ejection before the next successful answer.
	minProbeBackoff = time.Second
	maxProbeBackoff = 10 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// refreshInterval is the time between checks for due probes and for changes of members and configuration.
	refreshInterval = 100 * time.Millisecond
)

// HeaderIncarnation is the header in which an endpoint states its incarnation.
const HeaderIncarnation = "Peridot-Incarnation"

type counters struct {
	leaving   *prometheus.CounterVec
	ejections *prometheus.CounterVec
	probes    *prometheus.CounterVec
}

func newCounters(set *metric.Set) counters {
	if set == nil {
		return counters{}
	}
	return counters{
		leaving:   set.Counter("endpoints_leaving_total", "Endpoints marked as leaving.", "source"),
		ejections: set.Counter("endpoint_ejections_total", "Endpoints taken out of selection.", "cause"),
		probes:    set.Counter("endpoint_probes_total", "Health probes of endpoints.", "result"),
	}
}

func (t *Table) increment(vec *prometheus.CounterVec, label string) {
	if vec != nil {
		vec.WithLabelValues(label).Inc()
	}
}

// recordFailure counts a failure and ejects an endpoint after failuresToEject consecutive ones. Errors that an endpoint answers may
// be caused by the requests, so these eject at most half of the endpoints.
func (t *Table) recordFailure(e *endpoint, answered bool, now time.Time) {
	e.consecutiveFailures++
	if e.consecutiveFailures < failuresToEject || e.ejected {
		return
	}
	cause := "broken"
	if answered {
		cause = "errored"
		if 2*(t.ejectedCount()+1) > len(t.endpoints) {
			return
		}
	}
	e.ejected = true
	e.probeBackoff = min(max(minProbeBackoff, 2*e.probeBackoff), maxProbeBackoff)
	e.nextProbeAt = now.Add(e.probeBackoff)
	t.increment(t.counters.ejections, cause)
	t.Log.Warn().Str("endpoint", string(e.id)).Str("cause", cause).Msg("route: endpoint is ejected")
}

func (t *Table) ejectedCount() int {
	count := 0
	for _, e := range t.endpoints {
		if e.ejected {
			count++
		}
	}
	return count
}

// Run probes new and ejected endpoints and applies changes of members and configuration until ctx ends; it always returns nil.
func (t *Table) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		t.Refresh()
		for _, e := range t.takeDueProbes(time.Now()) {
			go t.probeEndpoint(ctx, e)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// takeDueProbes returns the endpoints whose probe is due and marks them as being probed.
func (t *Table) takeDueProbes(now time.Time) []*endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	var due []*endpoint
	for _, e := range t.endpoints {
		if (e.verified && !e.ejected) || e.probing || now.Before(e.nextProbeAt) || !e.unlistedSince.IsZero() {
			continue
		}
		e.probing = true
		due = append(due, e)
	}
	return due
}

// probeEndpoint probes one endpoint, and makes it usable or sets the time of its next probe.
func (t *Table) probeEndpoint(ctx context.Context, e *endpoint) {
	t.mu.Lock()
	address := e.address
	t.mu.Unlock()
	report, err := t.Probe(ctx, address)
	t.mu.Lock()
	now := time.Now()
	e.probing = false
	if err != nil {
		t.increment(t.counters.probes, "failed")
		e.probeBackoff = min(max(minProbeBackoff, 2*e.probeBackoff), maxProbeBackoff)
		e.nextProbeAt = now.Add(e.probeBackoff)
		t.mu.Unlock()
		return
	}
	t.increment(t.counters.probes, "answered")
	t.applyReport(e, report, now)
	if e.ejected {
		// One more failure ejects it again, as a successful probe does not prove that requests succeed.
		e.ejected, e.consecutiveFailures = false, failuresToEject-1
	}
	e.verified = true
	t.updateGroup(e)
	t.serveWaiters()
	t.mu.Unlock()
	t.notifyFree()
}

// Probe requests the health of the endpoint at an address on a new connection; it takes at most probeTimeout. A status other than 200 is an error.
func (t *Table) Probe(ctx context.Context, address string) (report Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/health", http.NoBody)
	if err != nil {
		return Report{}, fmt.Errorf("building the probe: %w", err)
	}
	do := t.Do
	if do == nil {
		transport := &http.Transport{DisableKeepAlives: true}
		defer transport.CloseIdleConnections()
		do = transport.RoundTrip
	}
	answer, err := do(request)
	if err != nil {
		return Report{}, fmt.Errorf("probing %s: %w", address, err)
	}
	defer func() {
		if closeErr := answer.Body.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("closing the probe's answer: %w", closeErr)
		}
	}()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, 64<<10)); err != nil {
		return Report{}, fmt.Errorf("reading the probe's answer: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("probe of %s answered status %d", address, answer.StatusCode)
	}
	return ParseReport(answer.Header), nil
}

// ParseReport parses the load headers of an answer; invalid ones count as absent.
func ParseReport(header http.Header) Report {
	slots, slotsErr := strconv.Atoi(header.Get(reply.HeaderSlots))
	busy, busyErr := strconv.Atoi(header.Get(reply.HeaderBusy))
	report := Report{
		Leaving:     header.Get(reply.HeaderLeaving) == "true",
		Incarnation: model.Incarnation(header.Get(HeaderIncarnation)),
	}
	if slotsErr == nil && busyErr == nil && slots >= 0 && busy >= 0 {
		report.Slots, report.Busy = model.SlotCount(slots), busy
	}
	report.Present = report.Slots > 0 || report.Leaving
	return report
}
