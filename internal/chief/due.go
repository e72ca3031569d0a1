package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
)

const (
	// maxArrivalTime is the longest time that a job of this term takes to become known after it was accepted.
	maxArrivalTime = 2 * time.Second
	// maxDelay is how far ahead times are told apart: sums of later ones would exceed the range of an instant, and seem to have passed.
	maxDelay = 50 * 365 * 24 * time.Hour
)

// setDue computes when a job is due and when it should be complete according to its queue's targets. Both are on this instance's
// monotonic clock: a time of day that jumps, here or on the instance that accepted the job, would change the order of jobs or start
// scheduled work early.
func (c *Scheduler) setDue(j *job) {
	now, timeOfDay := c.Now(), c.WallClock()
	accepted := min(j.spec.Accepted.Sub(timeOfDay), 0)
	if !j.inherited {
		accepted = max(accepted, -maxArrivalTime)
	}
	j.due = now.Add(accepted)
	begins := j.due
	if !j.spec.First.IsZero() {
		j.due = now.Add(min(j.spec.First.Sub(timeOfDay), maxDelay))
		begins = max(begins, j.due)
	}
	terms := c.Config().Terms(j.spec)
	j.deadline = begins.Add(time.Duration(terms.Stretch*float64(j.spec.CriticalPath())) + terms.Latency)
}

// dueAt returns the earliest start of an occurrence.
func (j *job) dueAt(occurrence int) clock.Instant {
	if every := j.spec.Every; every > 0 && time.Duration(occurrence) > maxDelay/every {
		return j.due.Add(maxDelay)
	}
	return j.due.Add(time.Duration(occurrence) * j.spec.Every)
}

// dueOccurrences returns how many occurrences of a job are due.
func (j *job) dueOccurrences(now clock.Instant) int {
	switch {
	case now < j.due:
		return 0
	case j.spec.Every == 0:
		return j.spec.Occurrences()
	}
	return min(j.spec.Occurrences(), 1+int(now.Sub(j.due)/j.spec.Every))
}

// late reports whether a job's completion has no value any more.
func (j *job) late(now clock.Instant) bool { return now.Sub(j.due) > lateFactor*j.deadline.Sub(j.due) }
