package audit

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/bucket"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// Limits of the audit log.
const (
	// WriteInterval is the minimum time between two batch writes of an instance.
	WriteInterval = time.Second
	// MaxBatchBytes bounds the events of one write by Run, and the events about requests that are kept in one second.
	MaxBatchBytes = 64 << 10
	// MaxBufferBytes bounds the events in memory while the store is unavailable.
	MaxBufferBytes = 4 << 20
	// MaxRefusalsPerSecond bounds the recorded refusals of one class and reason; others are only counted.
	MaxRefusalsPerSecond = 20
	// Retention is the time for which events are kept.
	Retention = 7 * 24 * time.Hour
	// DefaultWindow is how far Explain looks back by default.
	DefaultWindow = time.Hour
)

// Log buffers events and writes them to the store. Its exported fields must be set before use; its methods are safe for concurrent
// use.
type Log struct {
	Store    *store.Client
	Instance model.InstanceID
	Log      zerolog.Logger
	Metrics  *metric.Set
	// Window is how far Explain looks back; zero means DefaultWindow.
	Window time.Duration

	once           sync.Once
	droppedCounter *prometheus.CounterVec
	// writeLock is a mutex for which a caller can stop waiting when its context ends.
	writeLock chan struct{}

	// mu guards buffer and sampler.
	mu      sync.Mutex
	buffer  buffer
	sampler sampler

	// The holder of writeLock may use the fields below.
	lastWrite time.Time
	sequence  int
	// unsent is the batch whose write has not succeeded yet.
	unsent *batch
	leases *bucket.Lease[store.LeaseID] // to which new batches are attached
	mark   writerMark
}

// Add buffers an event and never waits for the store. Events that exceed the limits are dropped and counted by kind.
func (l *Log) Add(e Event) {
	l.lazyInit()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	if e.Instance == "" {
		e.Instance = l.Instance
	}
	if !l.sampled(e) {
		return
	}
	encoded, err := encode(e)
	if err != nil {
		l.Log.Warn().Err(err).Msg("audit: encoding an event failed")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sampler.fits(encoded.kind, encoded.size()) {
		l.countDropped(encoded.kind, "rate")
		return
	}
	for _, kind := range l.buffer.add(encoded) {
		l.countDropped(kind, "buffer-full")
	}
}

// sampled counts a refusal and reports whether the event is kept. Add calls it before encoding, because an overload causes thousands
// of refusals a second and most are dropped.
func (l *Log) sampled(e Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Subject.Kind == KindRequest && e.Action == ActionRefused {
		l.buffer.countRefusal(refusalKey{class: truncate(e.Inputs[InputClass]), reason: truncate(e.Reason)})
	}
	if l.sampler.sampled(e, time.Now()) {
		return true
	}
	l.countDropped(truncate(e.Subject.Kind), "sampled")
	return false
}

// Run writes batches until ctx ends and then returns nil; Flush writes the remaining events.
func (l *Log) Run(ctx context.Context) error {
	l.lazyInit()
	ticker := time.NewTicker(WriteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, err := l.writeBatch(ctx, MaxBatchBytes); err != nil && ctx.Err() == nil {
			l.Log.Warn().Err(err).Msg("audit: writing a batch failed")
		}
	}
}

// Flush writes all buffered events. After an error, the events that were not written remain for another call.
func (l *Log) Flush(ctx context.Context) error {
	l.lazyInit()
	for {
		if wrote, err := l.writeBatch(ctx, flushBytes); err != nil || !wrote {
			return err
		}
	}
}

// lazyInit prepares the unexported fields and the metrics at the first use.
func (l *Log) lazyInit() {
	l.once.Do(func() {
		l.writeLock = make(chan struct{}, 1)
		l.leases = bucket.New(l.grant, Retention, bucketPeriod)
		l.buffer.dropped = map[string]int{}
		l.buffer.refused = map[refusalKey]int{}
		if l.Metrics != nil {
			l.droppedCounter = l.Metrics.Counter("audit_dropped_total", "Events that were not recorded.", "kind", "cause")
		}
	})
}

// countDropped counts a dropped event in the metrics and in the next batch; the caller holds mu.
func (l *Log) countDropped(kind, cause string) {
	l.buffer.dropped[kind]++
	if l.droppedCounter != nil {
		l.droppedCounter.WithLabelValues(kind, cause).Inc()
	}
}
