package audit

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// Limits of the record of decisions.
const (
	// WriteEvery is the least time between two writes of an instance.
	WriteEvery = time.Second
	// BatchBytes bounds the events of one write.
	BatchBytes = 64 << 10
	// BufferBytes bounds the events in memory while the store is unavailable.
	BufferBytes = 4 << 20
	// RefusalsPerSecond bounds the samples of refusals of one class and reason.
	RefusalsPerSecond = 20
	// KeepFor is the time for which events are kept.
	KeepFor = 7 * 24 * time.Hour
	// DefaultWindow is the time that Explain looks back.
	DefaultWindow = time.Hour
)

// Log collects events and writes them; its exported fields are set before use.
type Log struct {
	Store    *store.Client
	Instance model.InstanceID
	Log      zerolog.Logger
	Metrics  *metric.Set
	// Window is the time that Explain looks back; zero means DefaultWindow.
	Window time.Duration

	once    sync.Once
	dropped *prometheus.CounterVec
	turn    chan struct{}

	mu      sync.Mutex
	buffer  buffer
	sampler sampler

	// The fields below belong to the holder of turn.
	lastWrite time.Time
	sequence  int
	unsent    *batch
	bucket    bucket
}

// Add takes an event and never blocks. An event that finds no room is dropped and counted by kind.
func (l *Log) Add(e Event) {
	l.init()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	if e.Instance == "" {
		e.Instance = l.Instance
	}
	if !l.sampled(e) {
		return
	}
	data, err := encode(e)
	if err != nil {
		l.Log.Warn().Err(err).Msg("audit: event cannot be encoded")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sampler.fits(data.kind, data.size()) {
		l.drop(data.kind, "rate")
		return
	}
	for _, kind := range l.buffer.add(data) {
		l.drop(kind, "buffer-full")
	}
}

// sampled counts a refusal and reports whether the event is kept. It comes before the encoding, which thousands of refusals a
// second in an overload would pay for in vain.
func (l *Log) sampled(e Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Subject.Kind == KindRequest && e.Action == ActionRefused {
		l.buffer.countRefusal(refusal{class: cut(e.Inputs[InputClass]), reason: cut(e.Reason)})
	}
	if l.sampler.sampled(e, time.Now()) {
		return true
	}
	l.drop(cut(e.Subject.Kind), "sampled")
	return false
}

// Run writes batches until ctx ends; events that are left are written by Flush.
func (l *Log) Run(ctx context.Context) error {
	l.init()
	ticker := time.NewTicker(WriteEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, err := l.write(ctx, BatchBytes); err != nil && ctx.Err() == nil {
			l.Log.Warn().Err(err).Msg("audit: batch was not written")
		}
	}
}

// Flush writes all events that were added before; it returns the error of the store, and the events stay for another call.
func (l *Log) Flush(ctx context.Context) error {
	l.init()
	for {
		if wrote, err := l.write(ctx, flushBytes); err != nil || !wrote {
			return err
		}
	}
}

func (l *Log) init() {
	l.once.Do(func() {
		l.turn = make(chan struct{}, 1)
		l.buffer.lost = map[string]int{}
		l.buffer.refused = map[refusal]int{}
		if l.Metrics != nil {
			l.dropped = l.Metrics.Counter("audit_dropped_total", "Events that were not recorded.", "kind", "cause")
		}
	})
}

// drop counts a lost event in the metrics and in the next batch.
func (l *Log) drop(kind, cause string) {
	l.buffer.lost[kind]++
	if l.dropped != nil {
		l.dropped.WithLabelValues(kind, cause).Inc()
	}
}
