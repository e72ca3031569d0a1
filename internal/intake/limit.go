package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// slotWait is how long a call waits for one of the others to end before it is refused.
	slotWait = 200 * time.Millisecond
	// minBusyRetryAfter and maxBusyRetryAfter bound the pause after such a refusal.
	minBusyRetryAfter = time.Second
	maxBusyRetryAfter = 3 * time.Second
)

var errBusy = errors.New("too many calls at a time") //nolint:gochecknoglobals // a constant error

// callLimit bounds the calls of one kind that are worked on at a time. Each may hold a connection to the store and to other instances for as
// long as these do not answer. The zero value is ready.
type callLimit struct {
	once  sync.Once
	slots *semaphore.Weighted // nil for no limit
}

// enter waits for a slot and returns the function that gives it back. The error is errBusy if there is none.
func (l *callLimit) enter(ctx context.Context, limit int) (leave func(), err error) {
	l.once.Do(func() {
		if limit > 0 {
			l.slots = semaphore.NewWeighted(int64(limit))
		}
	})
	if l.slots == nil {
		return func() {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, slotWait)
	defer cancel()
	if l.slots.Acquire(ctx, 1) != nil {
		return nil, errBusy
	}
	return func() { l.slots.Release(1) }, nil
}

// refuseBusy returns the refusal of a call for which there was no slot: nothing has been sent.
func (s *Service) refuseBusy(call string) *RefusedError {
	if s.Refused != nil {
		s.Refused(call, "too-many-calls")
	}
	return &RefusedError{Cause: errBusy, RetryAfter: minBusyRetryAfter + rand.N(maxBusyRetryAfter-minBusyRetryAfter)}
}
