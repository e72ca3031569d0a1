package metric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Prefix is the prefix of all metric names.
const Prefix = "peridot_"

// Set holds the shared metrics. Other packages add metrics of their own with Counter, Gauge and Histogram, or on Registry. It is safe
// for concurrent use.
type Set struct {
	Registry *prometheus.Registry
	// Refusals counts answers with the outcome "refused", by reason and class.
	Refusals *prometheus.CounterVec
	// Retries counts repeated sends and calls, by the part that repeats them, such as "gang", and by reason.
	Retries *prometheus.CounterVec
	// Outcomes counts finished requests, by class and outcome.
	Outcomes *prometheus.CounterVec
	// StoreCalls counts calls to the key-value store, by role, operation and result.
	StoreCalls *prometheus.CounterVec
	// GangStops counts gangs that were stopped, by cause.
	GangStops *prometheus.CounterVec
	// DrainedConns counts connections that closed while their server drained, by server and by how they ended.
	DrainedConns *prometheus.CounterVec
	// Shed counts bodies that a server refused and connections that it closed to keep its limits, by server and reason.
	Shed *prometheus.CounterVec
	// PeerBytes counts bytes of message bodies between instances, by procedure and direction.
	PeerBytes *prometheus.CounterVec
}

// New returns a set with its own registry, which includes the Go and process collectors.
func New() *Set {
	set := &Set{Registry: prometheus.NewRegistry()}
	set.Refusals = set.Counter("refusals_total", "Answers with outcome refused.", "reason", "class")
	set.Retries = set.Counter("retries_total", "Repeated sends and calls.", "part", "reason")
	set.Outcomes = set.Counter("outcomes_total", "Finished requests.", "class", "outcome")
	set.StoreCalls = set.Counter("store_calls_total", "Calls to the key-value service.", "role", "op", "result")
	set.GangStops = set.Counter("gang_stops_total", "Gangs that were stopped.", "cause")
	set.DrainedConns = set.Counter("drained_connections_total", "Connections that closed while their server drained.", "server", "end")
	set.Shed = set.Counter("shed_total", "Bodies refused and connections closed by a server to keep its limits.", "server", "reason")
	set.PeerBytes = set.Counter("peer_bytes_total", "Bytes of message bodies between instances.", "procedure", "direction")
	set.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return set
}

// Counter registers a counter; name is without Prefix. It panics if the name is already registered.
func (s *Set) Counter(name, help string, labels ...string) *prometheus.CounterVec {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{Name: Prefix + name, Help: help}, labels)
	s.Registry.MustRegister(vec)
	return vec
}

// Gauge registers a gauge; name is without Prefix. It panics if the name is already registered.
func (s *Set) Gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	vec := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: Prefix + name, Help: help}, labels)
	s.Registry.MustRegister(vec)
	return vec
}

// Histogram registers a histogram with bucket bounds in seconds; name is without Prefix. It panics if the name is already registered.
func (s *Set) Histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Name: Prefix + name, Help: help, Buckets: buckets}
	vec := prometheus.NewHistogramVec(opts, labels)
	s.Registry.MustRegister(vec)
	return vec
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{Registry: s.Registry})
}
