package outage

import (
	"sync"
	"time"
)

// detourInterval is the time between two attempts to find an instance that the store serves, while none is known.
const detourInterval = 300 * time.Millisecond

// Detour decides whether a change that this instance can't send is passed to another one. While the last attempt has found no instance
// that the store serves, only one change at a time tries again, and not at once. The zero value is ready; the methods may be used
// concurrently.
type Detour struct {
	mu       sync.Mutex // guards the fields below
	failedAt time.Time  // of the last attempt, if it failed; zero otherwise
	trying   bool
}

// Try reports whether a change may be passed on now; Done must follow if it may.
func (d *Detour) Try(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failedAt.IsZero() {
		return true
	}
	if d.trying || now.Sub(d.failedAt) < detourInterval {
		return false
	}
	d.trying = true
	return true
}

// Done notes whether an instance was found that the store serves.
func (d *Detour) Done(now time.Time, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trying, d.failedAt = false, now
	if found {
		d.failedAt = time.Time{}
	}
}
