package speed

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// timing holds durations in nanoseconds, up to a minute.
type timing struct{ *hdrhistogram.Histogram }

func newTiming() timing { return timing{hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)} }

// measure runs fn until it ran count times or the limit has passed, at least once.
func measure(count int, limit time.Duration, fn func()) (timing, error) {
	t, began := newTiming(), time.Now()
	for i := 0; i < count && (i == 0 || time.Since(began) < limit); i++ {
		start := time.Now()
		fn()
		if err := t.add(time.Since(start)); err != nil {
			return t, err
		}
	}
	return t, nil
}

func (t timing) add(took time.Duration) error {
	if err := t.RecordValue(max(1, took.Nanoseconds())); err != nil {
		return fmt.Errorf("recording a duration: %w", err)
	}
	return nil
}

// micros reads a quantile in microseconds.
func (t timing) micros(quantile float64) float64 {
	return float64(t.ValueAtQuantile(quantile)) / 1000
}
