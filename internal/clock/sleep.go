package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns the error of ctx if ctx ends first. If d is not positive, it returns nil at once,
// even if ctx has ended.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
