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
	// ejectAfter is the number of failures in a row without any answer in between.
	ejectAfter = 5
	// The first probe follows after probeFirst; the time doubles up to probeMax with each return that did not last.
	probeFirst   = time.Second
	probeMax     = 10 * time.Second
	probeTimeout = time.Second
	tickEvery    = 100 * time.Millisecond
)

// HeaderIncarnation names the endpoint's process in its answers.
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

func (t *Table) count(vec *prometheus.CounterVec, label string) {
	if vec != nil {
		vec.WithLabelValues(label).Inc()
	}
}

// fail counts a failure and ejects an endpoint that fails everything. Errors that an endpoint answers may be the fault of
// the requests, so these eject at most half of the endpoints.
func (t *Table) fail(e *endpoint, answered bool, now time.Time) {
	e.failures++
	if e.failures < ejectAfter || e.ejected {
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
	e.probeEvery = min(max(probeFirst, 2*e.probeEvery), probeMax)
	e.probeAt = now.Add(e.probeEvery)
	t.count(t.counters.ejections, cause)
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

// Run probes new and ejected endpoints and takes over changes of members and configuration until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		t.Refresh()
		for _, e := range t.dueProbes(time.Now()) {
			go t.probe(ctx, e)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (t *Table) dueProbes(now time.Time) []*endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	var due []*endpoint
	for _, e := range t.endpoints {
		if (e.proven && !e.ejected) || e.probing || now.Before(e.probeAt) || !e.missingSince.IsZero() {
			continue
		}
		e.probing = true
		due = append(due, e)
	}
	return due
}

func (t *Table) probe(ctx context.Context, e *endpoint) {
	t.mu.Lock()
	address := e.address
	t.mu.Unlock()
	report, err := t.Probe(ctx, address)
	t.mu.Lock()
	now := time.Now()
	e.probing = false
	if err != nil {
		t.count(t.counters.probes, "failed")
		e.probeEvery = min(max(probeFirst, 2*e.probeEvery), probeMax)
		e.probeAt = now.Add(e.probeEvery)
		t.mu.Unlock()
		return
	}
	t.count(t.counters.probes, "answered")
	t.learnReport(e, report, now)
	if e.ejected {
		// One more failure ejects it again, as the probe does not show that requests succeed.
		e.ejected, e.failures = false, ejectAfter-1
	}
	e.proven = true
	t.place(e)
	t.serveWaiters()
	t.mu.Unlock()
	t.notify()
}

// Probe asks the endpoint at an address for its health, on a new connection.
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

// ParseReport reads the load headers of an answer.
func ParseReport(header http.Header) Report {
	slots, errSlots := strconv.Atoi(header.Get(reply.HeaderSlots))
	busy, errBusy := strconv.Atoi(header.Get(reply.HeaderBusy))
	report := Report{
		Leaving:     header.Get(reply.HeaderLeaving) == "true",
		Incarnation: model.Incarnation(header.Get(HeaderIncarnation)),
	}
	if errSlots == nil && errBusy == nil && slots >= 0 && busy >= 0 {
		report.Slots, report.Busy = model.SlotCount(slots), busy
	}
	report.Present = report.Slots > 0 || report.Leaving
	return report
}
