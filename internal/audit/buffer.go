package audit

// buffer holds events that are not written yet. Requests are kept apart, because they are dropped first.
type buffer struct {
	requests, others []encoded
	bytes            int
	// lost counts dropped events by kind since the last batch.
	lost map[string]int
	// refused counts all refusals by class and reason since the last batch, sampled or not.
	refused map[refusal]int
}

func (b *buffer) empty() bool {
	return len(b.requests)+len(b.others)+len(b.lost)+len(b.refused) == 0
}

// countRefusal counts a refusal; those beyond maxRefusalKeys classes and reasons are counted together.
func (b *buffer) countRefusal(key refusal) {
	if _, found := b.refused[key]; !found && len(b.refused) >= maxRefusalKeys {
		key = refusal{class: "other", reason: "other"}
	}
	b.refused[key]++
}

// add appends an event and returns the kinds of the events that had to give way to it: the oldest requests, then the oldest
// others.
func (b *buffer) add(e encoded) (dropped []string) {
	for b.bytes+e.size() > BufferBytes {
		queue := &b.requests
		if len(*queue) == 0 {
			queue = &b.others
		}
		dropped = append(dropped, b.pop(queue).kind)
	}
	if e.kind == KindRequest {
		b.requests = append(b.requests, e)
	} else {
		b.others = append(b.others, e)
	}
	b.bytes += e.size()
	return dropped
}

// take removes up to limit bytes of events; requests come after all others.
func (b *buffer) take(limit int) []encoded {
	var taken []encoded
	for _, queue := range []*[]encoded{&b.others, &b.requests} {
		for len(*queue) > 0 && (*queue)[0].size() <= limit {
			limit -= (*queue)[0].size()
			taken = append(taken, b.pop(queue))
		}
	}
	return taken
}

func (b *buffer) pop(queue *[]encoded) encoded {
	first := (*queue)[0]
	(*queue)[0] = encoded{}
	*queue = (*queue)[1:]
	b.bytes -= first.size()
	return first
}
