package outage

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against memory, and time of each look, that grow with the calls that a long outage leaves without an answer.
func TestBreakerKeepsNoCallThatHasEnded(t *testing.T) {
	g := NewWithT(t)
	b, start := &breaker{}, time.Unix(1_000, 0)
	const calls, apart = 1000, 250 * time.Millisecond
	for n := range calls {
		sentAt := start.Add(time.Duration(n) * apart)
		b.end(sentAt.Add(apart), b.begin(sentAt), Unanswered)
	}
	g.Expect(b.calls).To(BeEmpty())
	since, cause := b.look(start.Add(calls * apart))
	g.Expect(cause).To(Equal(CauseSilent))
	g.Expect(since).To(Equal(start), "the outage began with the first of them")
}
