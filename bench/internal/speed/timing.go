package speed

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// timing is a histogram of durations in nanoseconds, up to a minute. It is not safe for concurrent use.
type timing struct{ *hdrhistogram.Histogram }

func newTiming() timing { return timing{hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)} }

// measure times repeated runs of fn. It ends after count runs, or once the limit has passed and fn has run at least once.
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

// micros returns a quantile in microseconds.
func (t timing) micros(quantile float64) float64 {
	return float64(t.ValueAtQuantile(quantile)) / 1000
}
