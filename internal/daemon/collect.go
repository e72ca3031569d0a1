package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"peridotgw.example/peridotgw/internal/metric"
)

// collector reports only the data centres that this instance owns, so that a sum over all instances counts each once.
type collector struct {
	daemon *Daemon

	total, free, queued, running, fragmentation, unbound *prometheus.Desc
}

func newCollector(d *Daemon) *collector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(metric.Prefix+name, help, []string{"data_centre"}, nil)
	}
	return &collector{
		daemon:        d,
		total:         desc("accelerators", "Accelerators of usable workers."),
		free:          desc("accelerators_free", "Accelerators without a task."),
		queued:        desc("jobs_queued", "Queued jobs."),
		running:       desc("jobs_running", "Running jobs."),
		fragmentation: desc("fragmentation", "Share of free accelerators that cannot serve the largest shape queued or guaranteed."),
		unbound:       desc("guarantees_unbound", "Guaranteed copies that cannot be bound to usable workers."),
	}
}

// Describe sends the descriptions of the metrics.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.total, c.free, c.queued, c.running, c.fragmentation, c.unbound} {
		ch <- desc
	}
}

// Collect sends the values of the owners' last planning passes.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	manager := c.daemon.SchedulerAdapter.Manager
	for _, s := range manager.Summaries() {
		gauge := func(desc *prometheus.Desc, value float64) {
			ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, string(s.DataCentre))
		}
		gauge(c.total, float64(s.Total))
		gauge(c.free, float64(s.Free))
		gauge(c.queued, float64(s.Queued))
		gauge(c.running, float64(s.Running))
		if owner, found := manager.LocalOwner(s.DataCentre); found {
			gauge(c.fragmentation, owner.Fragmentation())
			gauge(c.unbound, float64(owner.Unbound()))
		}
	}
}
