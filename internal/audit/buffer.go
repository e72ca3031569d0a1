package audit

// buffer holds events that are not yet in a batch; the mutex of Log guards it. Events about requests have their own queue,
// because they are dropped first.
type buffer struct {
	requests, others []encodedEvent
	// bytes is the size of both queues.
	bytes int
	// dropped counts by kind the events dropped since the last batch.
	dropped map[string]int
	// refused counts all refusals by class and reason since the last batch, sampled or not.
	refused map[refusalKey]int
}

func (b *buffer) empty() bool {
	return len(b.requests)+len(b.others)+len(b.dropped)+len(b.refused) == 0
}

// countRefusal counts a refusal; beyond maxRefusalKeys pairs of class and reason, refusals are counted together.
func (b *buffer) countRefusal(key refusalKey) {
	if _, found := b.refused[key]; !found && len(b.refused) >= maxRefusalKeys {
		key = refusalKey{class: "other", reason: "other"}
	}
	b.refused[key]++
}

// add appends an event. When the buffer is full, it drops the oldest requests and then the oldest other events, and returns the
// kinds of the dropped events.
func (b *buffer) add(e encodedEvent) (dropped []string) {
	for b.bytes+e.size() > MaxBufferBytes {
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

// take removes and returns up to limit bytes of events; requests come last.
func (b *buffer) take(limit int) []encodedEvent {
	var taken []encodedEvent
	for _, queue := range []*[]encodedEvent{&b.others, &b.requests} {
		for len(*queue) > 0 && (*queue)[0].size() <= limit {
			limit -= (*queue)[0].size()
			taken = append(taken, b.pop(queue))
		}
	}
	return taken
}

func (b *buffer) pop(queue *[]encodedEvent) encodedEvent {
	first := (*queue)[0]
	(*queue)[0] = encodedEvent{}
	*queue = (*queue)[1:]
	b.bytes -= first.size()
	return first
}
