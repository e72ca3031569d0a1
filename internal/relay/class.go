package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of the retry budget, in tokens of one retry each: with all endpoints failing, sends per request stay below 1.1 plus
// maxTokens divided by the number of requests.
const (
	tokensPerRequest = 0.1
	maxTokens        = 10.0
)

// Limits of the latency estimates.
const (
	// minSamples is the number of answers from which quantiles are estimated.
	minSamples = 20
	// samplesPerUpdate is the number of samples between updates of the quantiles.
	samplesPerUpdate = 32
	// samplesPerWindow is the number of answers in a histogram before the next one replaces it.
	samplesPerWindow = 2000
	// minOverdueDelay is the shortest time after which an answer is overdue.
	minOverdueDelay = 250 * time.Millisecond
	// overdueMultiple times the 99th percentile is the time after which an answer is overdue.
	overdueMultiple = 3
)

// classState holds the retry budget and the latencies of a request class.
type classState struct {
	budget    budget
	latencies latencies
}

func newClassState() *classState {
	c := &classState{}
	c.budget.tokens = maxTokens
	c.latencies.current = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	c.latencies.previous = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	return c
}

// budget is a token bucket for retries.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit adds the tokens that one request earns.
func (b *budget) deposit() {
	b.mu.Lock()
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
	b.mu.Unlock()
}

// withdraw takes the token of one retry, and reports whether there was one.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance makes ten times 0.1 one whole token in floating point.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// latencies estimates quantiles of the time to a complete answer over the last 2,000 to 4,000 answers.
type latencies struct {
	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram
	samples           int
	// p95 and p99 are in nanoseconds, and 0 until minSamples answers were observed.
	p95, p99 atomic.Int64
}

// observe adds the latency of a complete answer.
func (l *latencies) observe(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	micros := min(max(1, latency.Microseconds()), l.current.HighestTrackableValue())
	if err := l.current.RecordValue(micros); err != nil {
		return // The value is in range, as it was clamped above.
	}
	l.samples++
	if l.samples >= minSamples && l.samples%samplesPerUpdate == minSamples {
		l.updateQuantiles()
	}
	if l.current.TotalCount() >= samplesPerWindow {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
	}
}

func (l *latencies) updateQuantiles() {
	source := l.current
	if source.TotalCount() < samplesPerWindow/2 && l.previous.TotalCount() > 0 {
		source = l.previous
	}
	l.p95.Store(source.ValueAtQuantile(95) * int64(time.Microsecond))
	l.p99.Store(source.ValueAtQuantile(99) * int64(time.Microsecond))
}

// hedgeDelay returns the 95th percentile; ok is false until there are enough samples.
func (l *latencies) hedgeDelay() (time.Duration, bool) {
	p95 := time.Duration(l.p95.Load())
	return p95, p95 > 0
}

// overdueDelay returns the time after which an answer is overdue. Until there are enough samples, it is a quarter of left, the
// time until the deadline.
func (l *latencies) overdueDelay(left time.Duration) time.Duration {
	p99 := time.Duration(l.p99.Load())
	if p99 == 0 {
		return max(left/4, minOverdueDelay)
	}
	return max(overdueMultiple*p99, minOverdueDelay)
}
