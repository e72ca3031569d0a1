package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on a clock that only moves forward and that counts the time in which the machine is suspended.
type Instant time.Duration

// Sub returns the time from another instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Boot returns the time since the machine's start, suspension included. The monotonic clock of package time stops while a
// machine is suspended, so leases are measured with this one.
func Boot() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Now().UnixNano())
	}
	return Instant(ts.Nano())
}
