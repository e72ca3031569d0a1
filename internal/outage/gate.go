package outage

import (
	"sync"
	"time"
)

const (
	// maxPatience is how long an attempt of a caller waits unsent at most. Callers wait for about three seconds and try up to five times, so
	// that waits of this length cover a good part of that time.
	maxPatience = 600 * time.Millisecond
	// patienceShare is the part of its caller's time that an attempt waits unsent at most, so that the caller keeps time for another one.
	patienceShare = 0.4
	// hopelessAge is the age of an outage from which on changes are refused without a wait. It will probably outlast the time of a caller
	// by far, as one that has lasted for a time goes on for as long again in half of all cases.
	hopelessAge = 10 * time.Second
	// maxWaiting bounds the changes that wait in an instance, and so their memory: a job has up to a quarter of a megabyte.
	maxWaiting = 64
	// rampTime is how long after the store's return the number of changes in flight is limited.
	rampTime = 2 * time.Second
)

// Caller describes a change that is to be sent.
type Caller struct {
	Priority int       // 0 goes first
	Deadline time.Time // the caller waits until then; zero if that is not known
}

// Verdict is the decision about a change.
type Verdict struct {
	Send bool
	// Refuse is the cause of a refusal; empty if the change is sent, or waits.
	Refuse Cause
}

// Change is a caller's change at a Gate.
type Change struct {
	caller  Caller
	until   time.Time // it waits until then
	joined  int
	waiting bool
	sent    bool
}

// Transition is a change of what is known about the store.
type Transition struct {
	Down    bool
	Cause   Cause
	Lasted  time.Duration // how long it did not serve this instance, or has not so far
	Waiting int           // changes that wait for its return
}

// Gate decides when changes are sent to a store. The zero value is ready and lets all pass until it learns of calls; the methods may be
// used concurrently. Times are readings of one clock.
type Gate struct {
	mu       sync.Mutex // guards the fields below
	breaker  breaker
	reported bool // the last transition said that the store is down
	joined   int
	waiting  map[*Change]bool
	inFlight int // changes that were sent and have no result
	limit    int // of changes in flight, while the store returns
	refused  []time.Time
}

// Begin notes a call to the store that is answered at once if it is answered, and returns the function that notes its result.
func (g *Gate) Begin(now time.Time) (end func(now time.Time, result Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := g.breaker.begin(now)
	return func(now time.Time, result Result) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.breaker.end(now, id, result)
		g.look(now)
	}
}

// Note notes the result of a call that the store may hold open, and whose time tells nothing.
func (g *Gate) Note(now time.Time, result Result) {
	if result == Served || result == Refused {
		g.Begin(now)(now, result)
	}
}

// look returns what is known about the store, and begins the ramp when it has returned; g.mu is held.
func (g *Gate) look(now time.Time) (age time.Duration, cause Cause) {
	wasDown := g.breaker.wasDown
	since, cause := g.breaker.look(now)
	if cause == "" {
		if wasDown {
			g.limit = 1
		}
		return 0, ""
	}
	return now.Sub(since), cause
}

// Down returns why the store does not serve this instance, and for how long that has been so; the cause is empty if it does as far as is
// known.
func (g *Gate) Down(now time.Time) (Cause, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, cause := g.look(now)
	return cause, age
}

// Stale reports whether a call should show that the store still answers before a change is sent: what has no answer can't be refused.
func (g *Gate) Stale(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.breaker.stale(now)
}

// Transition returns what has changed about the store since the last call, if anything has.
func (g *Gate) Transition(now time.Time) (Transition, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, cause := g.look(now)
	down := cause != ""
	if down == g.reported {
		return Transition{}, false
	}
	g.reported = down
	if !down {
		age = now.Sub(g.breaker.downSince)
	}
	return Transition{Down: down, Cause: cause, Lasted: age, Waiting: len(g.waiting)}, true
}

// Join adds a change, which is to be asked for with Ask until it is sent or refused, and then left with Leave.
func (g *Gate) Join(now time.Time, caller Caller) *Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joined++
	patience := maxPatience
	if !caller.Deadline.IsZero() {
		patience = min(patience, time.Duration(patienceShare*float64(caller.Deadline.Sub(now))))
	}
	change := &Change{caller: caller, joined: g.joined, until: now.Add(patience)}
	age, cause := g.look(now)
	if cause != "" && age > hopelessAge || len(g.waiting) >= maxWaiting {
		change.until = now
	}
	if g.waiting == nil {
		g.waiting = map[*Change]bool{}
	}
	return change
}

// Ask decides about a change that has joined. A change without a verdict to send or refuse it waits, and is asked for again soon. None is
// refused because others go first.
func (g *Gate) Ask(now time.Time, change *Change) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, cause := g.look(now)
	if cause == "" && !change.sent && !g.mayPass(now, change) {
		cause = CauseReturn
	}
	switch {
	case cause == "":
		g.stopWaiting(change)
		if !change.sent {
			change.sent = true
			g.inFlight++
		}
		return Verdict{Send: true}
	case cause != CauseReturn && !now.Before(change.until):
		if !change.waiting && len(g.waiting) >= maxWaiting {
			cause = CauseCrowd
		}
		g.stopWaiting(change)
		return Verdict{Refuse: cause}
	}
	change.waiting = true
	g.waiting[change] = true
	return Verdict{}
}

// mayPass reports whether a change may be sent while the store serves this instance; g.mu is held. Once it has returned, changes go in
// order, and only as many at a time as it has answered before.
func (g *Gate) mayPass(now time.Time, change *Change) bool {
	if g.breaker.returnedAt.IsZero() || now.Sub(g.breaker.returnedAt) > rampTime {
		return true
	}
	if g.inFlight >= g.limit {
		return false
	}
	for other := range g.waiting {
		if other != change && other.before(change) {
			return false
		}
	}
	return true
}

// before reports whether a change goes before another one: by priority, then the one whose caller waits for the shorter time.
func (c *Change) before(other *Change) bool {
	switch {
	case c.caller.Priority != other.caller.Priority:
		return c.caller.Priority < other.caller.Priority
	case !c.caller.Deadline.Equal(other.caller.Deadline):
		return c.caller.Deadline.Before(other.caller.Deadline)
	}
	return c.joined < other.joined
}

func (g *Gate) stopWaiting(change *Change) {
	change.waiting = false
	delete(g.waiting, change)
}

// Leave ends a change; served tells whether the store has answered it, if it was sent.
func (g *Gate) Leave(change *Change, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopWaiting(change)
	if !change.sent {
		return
	}
	change.sent = false
	g.inFlight--
	if served {
		g.limit++
	}
}
