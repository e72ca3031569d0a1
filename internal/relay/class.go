package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of the retry budget: with all endpoints failing, sends per request stay below 1.1 plus the cap spread over the
// requests.
const (
	earnPerSend = 0.1
	budgetCap   = 10.0
)

// Limits of learned latencies.
const (
	minSamples   = 20
	quantileStep = 32
	maxSamples   = 2000
	minOverdue   = 250 * time.Millisecond
	overdueTimes = 3
)

// class holds what is learned and spent per request class.
type class struct {
	budget    budget
	latencies latencies
}

func newClass() *class {
	c := &class{}
	c.budget.tokens = budgetCap
	c.latencies.current = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	c.latencies.previous = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	return c
}

// budget is a token bucket for retries.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *budget) earn() {
	b.mu.Lock()
	b.tokens = min(b.tokens+earnPerSend, budgetCap)
	b.mu.Unlock()
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance makes ten times 0.1 one whole token in floating point.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// latencies learns the time of complete answers over the last 2,000 to 4,000 of them.
type latencies struct {
	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram
	samples           int
	p95, p99          atomic.Int64
}

func (l *latencies) observe(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	micros := min(max(1, latency.Microseconds()), l.current.HighestTrackableValue())
	if err := l.current.RecordValue(micros); err != nil {
		return // The value was limited to the range above.
	}
	l.samples++
	if l.samples >= minSamples && l.samples%quantileStep == minSamples {
		l.publish()
	}
	if l.current.TotalCount() >= maxSamples {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
	}
}

func (l *latencies) publish() {
	from := l.current
	if from.TotalCount() < maxSamples/2 && l.previous.TotalCount() > 0 {
		from = l.previous
	}
	l.p95.Store(from.ValueAtQuantile(95) * int64(time.Microsecond))
	l.p99.Store(from.ValueAtQuantile(99) * int64(time.Microsecond))
}

// hedgeAfter returns the 95th percentile; ok is false until enough is known.
func (l *latencies) hedgeAfter() (time.Duration, bool) {
	p95 := time.Duration(l.p95.Load())
	return p95, p95 > 0
}

// overdueAfter returns when an answer is overdue; before enough is known, it is a quarter of the time left.
func (l *latencies) overdueAfter(left time.Duration) time.Duration {
	p99 := time.Duration(l.p99.Load())
	if p99 == 0 {
		return max(left/4, minOverdue)
	}
	return max(overdueTimes*p99, minOverdue)
}
