package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	// drainLease is short, so that runs on a draining worker soon count as ended after it stops answering.
	drainLease = 3 * time.Second
	// slowClock is the rate of the slowest worker clock relative to this instance's clock.
	slowClock = 0.98
	// startLease is long enough for the answer to a start and the poll that follows it. A start without an answer holds its task for this
	// long, and not for the longest lease.
	startLease        = 2500 * time.Millisecond
	leaseExpiryMargin = 250 * time.Millisecond // beyond its computed end, before a lease counts as expired
)

// pollLease returns the end of the lease that a poll extends from now on, on the worker's clock; 0 if it extends none.
func (c *Scheduler) pollLease(w *worker, now clock.Instant) work.WorkerClock {
	lease := c.Limits.MaxLease
	if w.info.Draining {
		lease = min(lease, drainLease)
	}
	return c.lease(w, now, lease)
}

// lease returns the end of a lease that starts now, on the worker's clock; 0 while that clock is unknown, or while the stored roster may
// say that nothing extends the worker's leases.
func (c *Scheduler) lease(w *worker, now clock.Instant, lease time.Duration) work.WorkerClock {
	if w.clockReadAt == 0 || c.leaseStopStored(w) {
		return 0
	}
	leaseUntil := w.clock + work.WorkerClock((now.Sub(w.clockReadAt) + lease).Milliseconds())
	w.leaseUntil = max(w.leaseUntil, leaseUntil)
	return leaseUntil
}

// leasesExpired reports whether all leases of a worker's runs have certainly expired, even if its clock is the slowest allowed.
func (c *Scheduler) leasesExpired(w *worker, now clock.Instant) bool { return now > c.leasesEnd(w) }

// leasesEnd returns when the last lease of a worker's runs has certainly expired, if none is extended from now on.
func (c *Scheduler) leasesEnd(w *worker) clock.Instant {
	longest := slowed(c.Limits.MaxLease) + leaseExpiryMargin
	// Leases of earlier terms, and those on the clock of an earlier incarnation, started before the time that they are counted from.
	end := c.Term.Since.Add(longest)
	if w.inherited.known {
		end = min(end, w.inherited.end)
	}
	if w.knownSince != 0 {
		end = max(end, w.knownSince.Add(longest))
	}
	if w.clockReadAt != 0 {
		left := time.Duration(w.leaseUntil-w.clock) * time.Millisecond
		end = max(end, w.clockReadAt.Add(slowed(left)+leaseExpiryMargin))
	}
	return end
}

// slowed returns how long a clock of the slowest rate takes for d.
func slowed(d time.Duration) time.Duration { return time.Duration(float64(d) / slowClock) }

// updateClock records a reading of the clock of the incarnation that started at born. One of an earlier incarnation would make leases
// seem to hold for as long as that one ran.
func (w *worker) updateClock(reading work.WorkerClock, at clock.Instant, born int64) {
	if reading > 0 && born == w.born {
		w.clock, w.clockReadAt = reading, at
	}
}

// registeredGrace is how long the runs of a silent worker are kept, beyond its leases, while it renews its registration: it is alive,
// and knows which of its runs are done.
const registeredGrace = 3 * time.Second

// mayAnswerYet reports whether a silent worker whose leases have expired is worth waiting for. If this instance is too slow to read
// its answers, the worker has listed ends that are not known here, and their tasks must not start again.
func (c *Scheduler) mayAnswerYet(w *worker, now clock.Instant) bool {
	lease := slowed(c.Limits.MaxLease)
	return w.registered && now.Sub(max(w.reportedAt, c.Term.Since)) < lease+registeredGrace
}
