package node

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/chief"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/serve"
	"peridotgw.example/peridotgw/internal/speed"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/platform"
)

// meters holds the metrics of an instance. Its methods may be used concurrently.
type meters struct {
	set     *metric.Set
	calls   *prometheus.HistogramVec
	answers *prometheus.CounterVec
	orders  *prometheus.CounterVec
	changes *prometheus.CounterVec
	bytes   *prometheus.CounterVec
	ends    *prometheus.CounterVec
	plans   *prometheus.HistogramVec
	waits   *prometheus.HistogramVec
	stalled *prometheus.HistogramVec
	jobs    *prometheus.CounterVec
	endings *prometheus.CounterVec
	pairs   *prometheus.GaugeVec
	tenants tenantMeters
	speeds  *prometheus.GaugeVec
	factors *prometheus.GaugeVec
	stops   *prometheus.CounterVec
	cuts    *prometheus.CounterVec
	memory  *prometheus.GaugeVec
	lost    *prometheus.CounterVec
}

func newMeters() *meters {
	set := metric.New()
	latency := []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}
	return &meters{
		set:     set,
		calls:   set.Histogram("call_seconds", "Time of callers' calls.", latency, "call"),
		answers: set.Counter("call_answers_total", "Answers to callers.", "call", "status"),
		orders:  set.Counter("worker_orders_total", "Orders to workers and looks at them.", "kind", "result"),
		changes: set.Counter("announcements_total", "Stored changes announced to the leader.", "result"),
		bytes:   set.Counter("client_bytes_total", "Bytes of the connections that this instance opened.", "to", "direction"),
		ends:    set.Counter("run_ends_total", "Runs that are over.", "how"),
		plans:   set.Histogram("plan_seconds", "Time of a planning pass.", []float64{0.0001, 0.0005, 0.001, 0.005, 0.02, 0.1}),
		cuts:    set.Counter("plan_cuts_total", "Planning passes that were ended at their limit of time."),
		memory:  set.Gauge("job_memory_bytes", "Memory that all jobs take in the instance that schedules, and may take.", "kind"),
		waits:   set.Histogram("job_wait_seconds", "Time from a job's arrival to its first start.", latency, "queue"),
		stalled: set.Histogram("job_stalled_seconds", "Times of a second or more in which a job that was due had nothing running.",
			[]float64{2, 3, 5, 7, 10, 15, 25}, "beside_room"),
		jobs:    set.Counter("job_steps_total", "Jobs by how far they have come.", "step"),
		pairs:   set.Gauge("interfering_pairs", "Pairs of kinds of tasks that are known to slow each other down on one worker."),
		endings: set.Counter("end_steps_total", "Ends that workers list, by how far they have come.", "step"),
		tenants: newTenantMeters(set),
		speeds:  set.Gauge("worker_speeds", "Workers of the leader by what it knows of their speed.", "speed"),
		factors: set.Gauge("estimate_correction", "Mean factor by which run times exceed the estimates of callers.", "queue", "image"),
		stops:   set.Counter("run_stops_total", "Stops of runs that were ordered.", "cause"),
		lost:    set.Counter("lost_core_seconds_total", "Work that ordered stops have lost, in core-seconds; an accelerator counts as 8 cores.", "cause"),
	}
}

func (m *meters) storeCall(op, result string) {
	m.set.StoreCalls.WithLabelValues("node", op, result).Inc()
}

func (m *meters) call(call string, status int, took time.Duration) {
	m.calls.WithLabelValues(call).Observe(took.Seconds())
	m.answers.WithLabelValues(call, strconv.Itoa(status)).Inc()
}

// refused counts a call that was refused because of the store or for want of time.
func (m *meters) refused(call, reason string) {
	m.set.Refusals.WithLabelValues(reason, call).Inc()
}

// drainedConn returns the function that counts the connections of a server by how they ended in its drain.
func (m *meters) drainedConn(server string) func(serve.End) {
	return func(end serve.End) { m.set.DrainedConns.WithLabelValues(server, string(end)).Inc() }
}

// shed returns the function that counts what a server refused or closed to keep its limits.
func (m *meters) shed(server string) func(serve.Shed) {
	return func(reason serve.Shed) { m.set.Shed.WithLabelValues(server, string(reason)).Inc() }
}

// traffic returns the function that counts the bytes of connections to a kind of server.
func (m *meters) traffic(to string) platform.Traffic {
	readBytes, writtenBytes := m.bytes.WithLabelValues(to, "read"), m.bytes.WithLabelValues(to, "written")
	return func(read, written int) {
		readBytes.Add(float64(read))
		writtenBytes.Add(float64(written))
	}
}

func (m *meters) announced(result string, announcements int) {
	m.changes.WithLabelValues(result).Add(float64(announcements))
}

// observer returns the callbacks through which the scheduler reports its measurements.
func (m *meters) observer() chief.Observer {
	return chief.Observer{
		CallResult:       func(kind, result string) { m.orders.WithLabelValues(kind, result).Inc() },
		RunEnded:         func(how work.How) { m.ends.WithLabelValues(string(how)).Inc() },
		InterferingPairs: func(pairs int) { m.pairs.WithLabelValues().Set(float64(pairs)) },
		RunStopped: func(cause string, lost float64) {
			m.stops.WithLabelValues(cause).Inc()
			m.lost.WithLabelValues(cause).Add(lost)
		},
		PassDuration: func(took time.Duration) { m.plans.WithLabelValues().Observe(took.Seconds()) },
		PassCut:      func() { m.cuts.WithLabelValues().Inc() },
		JobMemory: func(used, limit budget.Bytes) {
			m.memory.WithLabelValues("used").Set(float64(used))
			m.memory.WithLabelValues("limit").Set(float64(limit))
		},
		JobStarted: func(queue work.QueueName, waited time.Duration) {
			m.waits.WithLabelValues(string(queue)).Observe(waited.Seconds())
		},
		JobStalled: func(stalled time.Duration, besideRoom bool) {
			m.stalled.WithLabelValues(strconv.FormatBool(besideRoom)).Observe(stalled.Seconds())
		},
		JobStep: func(step chief.JobStep) { m.jobs.WithLabelValues(string(step)).Inc() },
		Speeds: func(workers map[chief.SpeedBucket]int) {
			for bucket, count := range workers {
				m.speeds.WithLabelValues(string(bucket)).Set(float64(count))
			}
		},
		Corrections: func(factors map[speed.Kind]float64) {
			m.factors.Reset() // Callers name the images: those that are forgotten must not add up.
			for kind, factor := range factors {
				m.factors.WithLabelValues(string(kind.Queue), string(kind.Image)).Set(factor)
			}
		},
		EndStep: func(step chief.EndStep, ends int) { m.endings.WithLabelValues(string(step)).Add(float64(ends)) },
		Tenants: m.tenants.set,
	}
}
