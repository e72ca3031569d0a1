package front

import (
	"context"
	"sync"
)

// inFlightTracker counts handlers and background writes in flight. Unlike with a WaitGroup, the count may rise from zero while a
// goroutine waits.
type inFlightTracker struct {
	mu    sync.Mutex
	count int
	// idle is closed when count drops to zero; the first waiter creates it.
	idle chan struct{}
}

func (t *inFlightTracker) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

func (t *inFlightTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// waitIdle returns nil when nothing is in flight, or the error of ctx if that ends first.
func (t *inFlightTracker) waitIdle(ctx context.Context) error {
	t.mu.Lock()
	if t.count == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
