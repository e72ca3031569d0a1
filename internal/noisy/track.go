package noisy

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleDeviation is the standard deviation of the logarithm of one sampled rate: workers report whole percents.
	sampleDeviation = 0.15
	// spanDeviation is that of the mean rate over a span, however many samples it has.
	spanDeviation = 0.08
	// fullSpan is the number of samples from which a span that goes on is compared with the one before.
	fullSpan = 6
)

// span is a time in which the neighbours of a run did not change.
type span struct {
	beside  []Kind // sorted
	mean    float64
	samples int
}

func (s *span) add(logRate float64) {
	s.samples++
	s.mean += (logRate - s.mean) / float64(min(s.samples, fullSpan))
}

func (s *span) variance() float64 {
	return spanDeviation*spanDeviation + sampleDeviation*sampleDeviation/float64(min(s.samples, fullSpan))
}

// Track follows one run and compares its rate beside different neighbours. The run's own pace, that of its worker and errors of its
// estimate are the same in both spans, so that none of them has to be known. The zero value is ready for a run.
type Track struct {
	earlier, current span
	compared         bool // the current span with the earlier one
}

// Sample adds a rate, in any unit, that a run of a kind had over a time in which the kinds beside it did not change; beside is sorted and
// has each kind once.
func (t *Track) Sample(m *Model, now time.Duration, kind Kind, beside []Kind, rate float64) {
	if rate <= 0 {
		return
	}
	if t.current.samples > 0 && !slices.Equal(t.current.beside, beside) {
		t.End(m, now, kind)
		t.earlier, t.current, t.compared = t.current, span{}, false
	}
	if t.current.samples == 0 {
		t.current.beside = slices.Clone(beside)
	}
	t.current.add(math.Log(rate))
	if t.current.samples == fullSpan {
		t.End(m, now, kind)
	}
}

// End compares the spans that have not been compared yet; it is called when a run ends or its rate can't be compared any more.
func (t *Track) End(m *Model, now time.Duration, kind Kind) {
	if t.compared || t.earlier.samples == 0 || t.current.samples == 0 {
		return
	}
	t.compared = true
	m.Observe(now, Observation{
		Victim: kind, Joined: without(t.current.beside, t.earlier.beside), Left: without(t.earlier.beside, t.current.beside),
		Change: t.current.mean - t.earlier.mean, Deviation: math.Sqrt(t.current.variance() + t.earlier.variance()),
	})
}

// without returns the kinds that are not among others.
func without(kinds, others []Kind) []Kind {
	var rest []Kind
	for _, kind := range kinds {
		if !slices.Contains(others, kind) {
			rest = append(rest, kind)
		}
	}
	return rest
}
