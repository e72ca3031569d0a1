package config

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotgw.example/peridotgw/internal/metric"
)

// metrics holds the metrics of a follower; a nil value records nothing.
type metrics struct {
	appliedTotal *prometheus.CounterVec
	refusedTotal *prometheus.CounterVec
	applyDelay   prometheus.Observer
}

func newMetrics(f *Follower) *metrics {
	if f.Metrics == nil {
		return nil
	}
	m := &metrics{
		appliedTotal: f.Metrics.Counter("config_applied_total", "Revisions brought into effect.", "source"),
		refusedTotal: f.Metrics.Counter("config_refused_total", "Revisions and reads refused because they are older.", "source"),
		applyDelay: f.Metrics.Histogram("config_in_force_seconds",
			"Time from acceptance to being in force; it compares clocks of two machines, so it is for display only.",
			[]float64{.01, .025, .05, .1, .25, .5, 1, 2, 4, 8, 16, 32}).WithLabelValues(),
	}
	f.registerGauge("config_revision", "Revision in effect.", func() float64 {
		revision, _, _ := f.Confirmation()
		return float64(revision)
	})
	f.registerGauge("config_confirmation_age_seconds", "Time since the revision in effect was proved to be the head.", func() float64 {
		_, age, _ := f.Confirmation()
		return age.Seconds()
	})
	f.registerGauge("config_level", "Freshness: 2 confirmed, 1 agreed, 0 stale.", func() float64 {
		switch f.Level() {
		case LevelConfirmed:
			return 2
		case LevelAgreed:
			return 1
		default:
			return 0
		}
	})
	return m
}

func (f *Follower) registerGauge(name, help string, value func() float64) {
	f.Metrics.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metric.Prefix + name, Help: help}, value))
}

func (m *metrics) recordApplied(source string, applyDelay time.Duration) {
	if m == nil {
		return
	}
	m.appliedTotal.WithLabelValues(source).Inc()
	m.applyDelay.Observe(max(0, applyDelay.Seconds()))
}

func (m *metrics) recordRefused(source string) {
	if m != nil {
		m.refusedTotal.WithLabelValues(source).Inc()
	}
}
