package node

import (
	"sync"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
)

// serviceGap is the time without an answer of the store after which it counts as not serving this instance.
const serviceGap = time.Second

// storeService records when the store has served this instance. The zero value is ready; the methods may be used concurrently.
type storeService struct {
	mu    sync.Mutex // guards the fields below
	last  clock.Instant
	since clock.Instant // of the first answer after the last gap
}

// record notes an answer of the store.
func (s *storeService) record(now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.last) > serviceGap {
		s.since = now
	}
	s.last = now
}

// lastServed returns when the store last answered.
func (s *storeService) lastServed() clock.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// steady reports whether the store has served this instance without a gap for at least serviceGap. After an outage for all it does
// not: another instance that is not served yet will be so within moments.
func (s *storeService) steady(now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.last) <= serviceGap && now.Sub(s.since) >= serviceGap
}
