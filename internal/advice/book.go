package advice

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/model"
)

const (
	// deniedFor is how long a worker that may not run a step is not asked for again. The answer does not change, but may have been wrong.
	deniedFor = 10 * time.Second
	// retryPause is the least time from a call that was of no use to the next one for the step; it doubles with each such call in a row.
	retryPause        = 300 * time.Millisecond
	maxRetryDoublings = 5
)

// Worker is one life of a worker: a ticket holds for no other.
type Worker struct {
	ID   model.WorkerID
	Born int64 // start of its life
}

// verdict is what the service has said about a worker.
type verdict struct {
	ticket string // empty if the worker may not run the step
	until  clock.Instant
}

// Book holds what the service has said about a step. The zero value is ready for use.
type Book struct {
	verdicts map[Worker]verdict
	allowed  map[Worker]bool // also those whose tickets have expired
	retryAt  clock.Instant   // earliest next call
	misses   int             // calls in a row whose answers were of no use
	missed   clock.Instant   // end of the pause after the last of them
}

// Ticket returns the ticket of a worker, if it has one that is valid.
func (b *Book) Ticket(w Worker, now clock.Instant) (string, bool) {
	v := b.verdicts[w]
	return v.ticket, v.ticket != "" && now < v.until
}

// Denied reports whether a worker may not run the step.
func (b *Book) Denied(w Worker, now clock.Instant) bool {
	v, found := b.verdicts[w]
	return found && v.ticket == "" && now < v.until
}

// Allowed reports whether a worker may run the step, as far as is known; its ticket may have expired.
func (b *Book) Allowed(w Worker) bool { return b.allowed[w] }

// Asks reports whether a call may name a worker: nothing is known of it, or not any more.
func (b *Book) Asks(w Worker, now clock.Instant) bool { return now >= b.verdicts[w].until }

// Paused reports whether no call is to be made for the step yet.
func (b *Book) Paused(now clock.Instant) bool { return now < b.retryAt }

// Pause keeps calls for the step back until a time.
func (b *Book) Pause(until clock.Instant) { b.retryAt = max(b.retryAt, until) }

// Answered records the tickets of a call's answer, which are valid for a time. Tickets for workers that the call did not name are left out. It
// reports whether the answer came so late that its tickets may have expired.
func (b *Book) Answered(c *Call, tickets map[model.WorkerID]string, valid time.Duration, now clock.Instant) (late bool) {
	if b.verdicts == nil {
		b.verdicts, b.allowed = map[Worker]verdict{}, map[Worker]bool{}
	}
	for w, v := range b.verdicts {
		if now >= v.until {
			delete(b.verdicts, w)
		}
	}
	until, late := c.expiry(valid, now)
	for _, w := range c.Workers {
		ticket := tickets[w.ID]
		if ticket == "" {
			b.verdicts[w] = verdict{until: now.Add(deniedFor)}
			delete(b.allowed, w)
			continue
		}
		b.verdicts[w] = verdict{ticket: ticket, until: until}
		b.allowed[w] = true
	}
	if valid < retryPause {
		b.Pause(now.Add(retryPause)) // Else the step would ask without end while it has no room.
	}
	return late
}

// Missed records that a call had no answer, or that a start with one of its tickets came too late, and returns the pause before the next call.
// What is recorded during a pause belongs to the same call.
func (b *Book) Missed(now clock.Instant) time.Duration {
	if now < b.missed {
		return b.missed.Sub(now)
	}
	pause := retryPause << min(b.misses, maxRetryDoublings)
	b.misses++
	b.missed = now.Add(pause)
	b.Pause(b.missed)
	return pause
}

// Used records that a start with a ticket was accepted.
func (b *Book) Used() { b.misses = 0 }

// Expire ends the validity of a worker's ticket, with which a start was rejected, and of those that were issued with it or before.
func (b *Book) Expire(w Worker) {
	until := b.verdicts[w].until
	for other, v := range b.verdicts {
		if v.ticket != "" && v.until <= until {
			delete(b.verdicts, other)
		}
	}
}
