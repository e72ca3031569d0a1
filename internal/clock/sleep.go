package clock

import (
	"context"
	"time"
)

// Sleep waits for d, or returns the error of ctx when ctx ends first. It returns nil at once when d is not positive.
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
