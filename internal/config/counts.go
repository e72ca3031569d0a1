package config

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotgw.example/peridotgw/internal/metric"
)

// counts holds the metrics of a follower; nil counts nothing.
type counts struct {
	appliedBy *prometheus.CounterVec
	refusedBy *prometheus.CounterVec
	delay     prometheus.Observer
}

func newCounts(f *Follower) *counts {
	if f.Metrics == nil {
		return nil
	}
	c := &counts{
		appliedBy: f.Metrics.Counter("config_applied_total", "Revisions brought into effect.", "source"),
		refusedBy: f.Metrics.Counter("config_refused_total", "Revisions and reads refused because they are older.", "source"),
		delay: f.Metrics.Histogram("config_in_force_seconds",
			"Time from acceptance to being in force; it compares clocks of two machines, so it is for display only.",
			[]float64{.01, .025, .05, .1, .25, .5, 1, 2, 4, 8, 16, 32}).WithLabelValues(),
	}
	f.gauge("config_revision", "Revision in effect.", func() float64 {
		revision, _, _ := f.Confirmation()
		return float64(revision)
	})
	f.gauge("config_confirmation_age_seconds", "Time since the revision in effect was proved to be the head.", func() float64 {
		_, age, _ := f.Confirmation()
		return age.Seconds()
	})
	f.gauge("config_level", "Freshness: 2 confirmed, 1 agreed, 0 stale.", func() float64 {
		switch f.Level() {
		case LevelConfirmed:
			return 2
		case LevelAgreed:
			return 1
		default:
			return 0
		}
	})
	return c
}

func (f *Follower) gauge(name, help string, value func() float64) {
	f.Metrics.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metric.Prefix + name, Help: help}, value))
}

func (c *counts) applied(source string, delay time.Duration) {
	if c == nil {
		return
	}
	c.appliedBy.WithLabelValues(source).Inc()
	c.delay.Observe(max(0, delay.Seconds()))
}

func (c *counts) refused(source string) {
	if c != nil {
		c.refusedBy.WithLabelValues(source).Inc()
	}
}
