package audit

import "time"

// maxRefusalKeys bounds the classes and reasons that are told apart in one second: classes are text that callers choose.
const maxRefusalKeys = 1000

// refusal is what refusals are counted by.
type refusal struct{ class, reason string }

// sampler limits the request events of each second.
type sampler struct {
	second  time.Time
	samples map[refusal]int
	bytes   int
}

// sampled reports whether an event is kept as a sample.
func (s *sampler) sampled(e Event, now time.Time) bool {
	if s.samples == nil || now.Sub(s.second) >= time.Second || now.Before(s.second) {
		s.second, s.samples, s.bytes = now, map[refusal]int{}, 0
	}
	if e.Subject.Kind != KindRequest || e.Action != ActionRefused {
		return true
	}
	key := refusal{class: e.Inputs[InputClass], reason: e.Reason}
	if len(s.samples) >= maxRefusalKeys && s.samples[key] == 0 {
		return false
	}
	s.samples[key]++
	return s.samples[key] <= RefusalsPerSecond
}

// fits reports whether an event of this size is kept; requests share BatchBytes a second.
func (s *sampler) fits(kind string, size int) bool {
	if kind != KindRequest {
		return true
	}
	if s.bytes+size > BatchBytes {
		return false
	}
	s.bytes += size
	return true
}
