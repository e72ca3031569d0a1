package front

import (
	"context"
	"sync"
)

// tracker counts what is in flight; unlike a WaitGroup, it may be used while somebody waits.
type tracker struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

func (t *tracker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// wait returns nil when nothing is in flight, or the error of ctx.
func (t *tracker) wait(ctx context.Context) error {
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
