package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time in nanoseconds on a monotonic clock that also advances while the machine is suspended. Instants of different
// boots cannot be compared.
type Instant time.Duration

// Sub returns the duration i - other.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns i + d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Boot returns the time since the machine booted, including suspend time. The monotonic clock of package time stops during suspend,
// so leases are measured with this one. If the clock cannot be read, Boot returns the wall-clock time.
func Boot() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Instant(time.Now().UnixNano())
	}
	return Instant(now.Nano())
}
