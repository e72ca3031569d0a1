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

// refuse returns the cause for which an event is not kept, or "".
func (s *sampler) refuse(e Event, size int, now time.Time) string {
	if e.Subject.Kind != KindRequest {
		return ""
	}
	if s.samples == nil || now.Sub(s.second) >= time.Second || now.Before(s.second) {
		s.second, s.samples, s.bytes = now, map[refusal]int{}, 0
	}
	if e.Action == ActionRefused {
		key := refusal{class: e.Inputs[InputClass], reason: e.Reason}
		if len(s.samples) >= maxRefusalKeys && s.samples[key] == 0 {
			return "sampled"
		}
		s.samples[key]++
		if s.samples[key] > RefusalsPerSecond {
			return "sampled"
		}
	}
	if s.bytes+size > BatchBytes {
		return "rate"
	}
	s.bytes += size
	return ""
}
