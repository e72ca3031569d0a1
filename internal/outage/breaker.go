package outage

import "time"

// Result is what a call to the store has shown about it.
type Result int

// Results of a call.
const (
	Served     Result = iota // the store answered the call, whatever the answer says
	Refused                  // it certainly did nothing, or no connection was made
	Unanswered               // it may have done it, or may still do it
	Abandoned                // the caller of the store gave the call up, which shows nothing
)

// Cause says why a change is not sent.
type Cause string

// Causes.
const (
	CauseSilent  Cause = "store-silent"  // calls have no answer
	CauseRefuses Cause = "store-refuses" // calls are refused or get no connection
	CauseReturn  Cause = "store-returns" // it has just returned, and other changes go first
	CauseCrowd   Cause = "too-many-wait"
)

const (
	// silentAfter is the age of a call without an answer from which on the store counts as silent, unless it has answered a later one. A
	// slow store still answers within it.
	silentAfter = 400 * time.Millisecond
	// refusalsToOpen is the number of refusals in a row after which the store counts as refusing: one may be due to a limit on calls.
	refusalsToOpen = 2
	// freshFor is how long after an answer a change is sent without a look whether the store still answers.
	freshFor = 100 * time.Millisecond
)

// breaker is a circuit breaker without trial calls of its own: an instance calls the store all the time, for its lease and its watches,
// and the first of these calls that is answered closes the breaker.
type breaker struct {
	nextID     int
	calls      map[int]time.Time // when each call in flight was sent
	lostSince  time.Time         // when the first call was sent that has ended without an answer since the store last gave one; zero if none has
	servedAt   time.Time         // when the store last answered; zero before
	refusals   int               // in a row
	refusedAt  time.Time         // the first of them
	wasDown    bool              // at the last look
	downSince  time.Time
	returnedAt time.Time // when it last closed; zero if it was never open
}

func (b *breaker) begin(now time.Time) int {
	if b.calls == nil {
		b.calls = map[int]time.Time{}
	}
	b.nextID++
	b.calls[b.nextID] = now
	return b.nextID
}

func (b *breaker) end(now time.Time, id int, result Result) {
	sentAt := b.calls[id]
	delete(b.calls, id)
	switch result {
	case Served:
		b.servedAt, b.refusals, b.lostSince = now, 0, time.Time{}
	case Refused:
		if b.refusals++; b.refusals == 1 {
			b.refusedAt = now
		}
	case Unanswered:
		if sentAt.After(b.servedAt) && (b.lostSince.IsZero() || sentAt.Before(b.lostSince)) {
			b.lostSince = sentAt
		}
	case Abandoned:
	}
}

// unansweredSince returns when the oldest call was sent that the store has left without an answer since it last gave one, if any.
func (b *breaker) unansweredSince() (oldest time.Time, found bool) {
	oldest, found = b.lostSince, !b.lostSince.IsZero()
	for _, sentAt := range b.calls {
		if sentAt.After(b.servedAt) && (!found || sentAt.Before(oldest)) {
			oldest, found = sentAt, true
		}
	}
	return oldest, found
}

// look returns since when the store does not serve this instance and why, or an empty cause if it does as far as is known.
func (b *breaker) look(now time.Time) (since time.Time, cause Cause) {
	if oldest, found := b.unansweredSince(); found && now.Sub(oldest) >= silentAfter {
		since, cause = oldest, CauseSilent
	} else if b.refusals >= refusalsToOpen {
		since, cause = b.refusedAt, CauseRefuses
	}
	switch {
	case cause != "" && !b.wasDown:
		b.wasDown, b.downSince = true, since
	case cause == "" && b.wasDown:
		b.wasDown, b.returnedAt = false, now
	}
	return b.downSince, cause
}

// stale reports whether the store has not answered for so long that a change should not be sent before another call has shown that it
// does. It is false for a breaker that has seen no call.
func (b *breaker) stale(now time.Time) bool {
	return !b.servedAt.IsZero() && now.Sub(b.servedAt) > freshFor
}
