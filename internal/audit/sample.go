package audit

import "time"

// maxRefusalKeys bounds the distinct pairs of class and reason in one second, because callers choose the class text.
const maxRefusalKeys = 1000

// refusalKey is the pair by which refusals are counted and sampled.
type refusalKey struct{ class, reason string }

// sampler limits the events about requests in windows of one second; the mutex of Log guards it.
type sampler struct {
	windowStart time.Time
	// samples counts the refusals in the window.
	samples map[refusalKey]int
	// bytes is the size of the request events kept in the window.
	bytes int
}

// sampled reports whether an event is kept; all events except refusals are.
func (s *sampler) sampled(e Event, now time.Time) bool {
	if s.samples == nil || now.Sub(s.windowStart) >= time.Second || now.Before(s.windowStart) {
		s.windowStart, s.samples, s.bytes = now, map[refusalKey]int{}, 0
	}
	if e.Subject.Kind != KindRequest || e.Action != ActionRefused {
		return true
	}
	key := refusalKey{class: e.Inputs[InputClass], reason: e.Reason}
	if len(s.samples) >= maxRefusalKeys && s.samples[key] == 0 {
		return false
	}
	s.samples[key]++
	return s.samples[key] <= MaxRefusalsPerSecond
}

// fits reports whether an encoded event is kept; events about requests share MaxBatchBytes a second.
func (s *sampler) fits(kind string, size int) bool {
	if kind != KindRequest {
		return true
	}
	if s.bytes+size > MaxBatchBytes {
		return false
	}
	s.bytes += size
	return true
}
