package route

import (
	"context"
	"slices"
	"time"

	"peridotgw.example/peridotgw/model"
)

// Ask states the requirements of a send.
type Ask struct {
	// DataCentres that may serve the request; none means all.
	DataCentres []model.DataCentreID
	// Avoid names endpoints that this request was already sent to; they are chosen only when no other is free.
	Avoid []model.EndpointID
	// OwnOnly excludes borrowed slots, unless this instance has no own slots in the data centres.
	OwnOnly bool
	// OnlyOthers excludes the endpoints of Avoid.
	OnlyOthers bool
}

// Pick is a slot held on an endpoint; Done releases it.
type Pick struct {
	Endpoint   model.EndpointID
	Address    string
	DataCentre model.DataCentreID
	// Conns is the connection budget of this instance for the endpoint.
	Conns int
	// Borrowed is whether the slot is assigned to another instance.
	Borrowed bool

	table     *Table
	endpoint  *endpoint
	startedAt time.Time
	done      bool
}

// Verdict is the result of a send for the health of the endpoint.
type Verdict int

// Verdicts.
const (
	// VerdictUnused means that nothing was sent.
	VerdictUnused Verdict = iota
	// VerdictAnswered is a complete answer.
	VerdictAnswered
	// VerdictRefused is an answer that proves that the request did not run.
	VerdictRefused
	// VerdictErrored is a complete answer that reports an error.
	VerdictErrored
	// VerdictBroken is a connection or answer that failed.
	VerdictBroken
	// VerdictAbandoned means that this side stopped waiting.
	VerdictAbandoned
)

// Report is the load and state that an endpoint reports in an answer.
type Report struct {
	// Present is false when the answer had no load headers.
	Present bool
	Slots   model.SlotCount
	// Busy is the number of busy slots.
	Busy        int
	Leaving     bool
	Incarnation model.Incarnation
}

// waiter is a send that waits for a slot and precedes queued requests.
type waiter struct {
	ask   Ask
	ready chan *Pick
}

// Acquire takes a slot without waiting; it returns nil when none is free.
func (t *Table) Acquire(ask Ask) *Pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	return t.acquire(ask)
}

// AcquireWait takes a slot as soon as one is free, before queued requests get one; it returns nil when ctx ends. It is meant for
// requests that have already waited in the queue.
func (t *Table) AcquireWait(ctx context.Context, ask Ask) *Pick {
	t.mu.Lock()
	t.initialize()
	if pick := t.acquire(ask); pick != nil || ctx.Err() != nil {
		t.mu.Unlock()
		return pick
	}
	w := &waiter{ask: ask, ready: make(chan *Pick, 1)}
	t.waiters = append(t.waiters, w)
	t.mu.Unlock()
	select {
	case pick := <-w.ready:
		return pick
	case <-ctx.Done():
	}
	t.mu.Lock()
	t.waiters = slices.DeleteFunc(t.waiters, func(other *waiter) bool { return other == w })
	t.mu.Unlock()
	select {
	case pick := <-w.ready:
		pick.Done(VerdictUnused, Report{})
	default:
	}
	return nil
}

func (t *Table) acquire(ask Ask) *Pick {
	now := time.Now()
	if t.Choose != nil {
		return t.acquireByRule(ask, now)
	}
	borrow := !ask.OwnOnly || !t.hasOwnSlots(ask.DataCentres)
	for _, avoid := range [][]model.EndpointID{ask.Avoid, nil} {
		for _, group := range t.dcGroups {
			if !permitted(ask.DataCentres, group.id) {
				continue
			}
			if e := chooseOwn(group.free, avoid, now); e != nil {
				return t.holdSlot(e, false, now)
			}
		}
		if e := t.chooseBorrowed(ask.DataCentres, avoid, now); e != nil && borrow {
			return t.holdSlot(e, true, now)
		}
		if len(ask.Avoid) == 0 || ask.OnlyOthers {
			break
		}
	}
	return nil
}

// hasOwnSlots reports whether any slot in the data centres is assigned to this instance.
func (t *Table) hasOwnSlots(allowed []model.DataCentreID) bool {
	return slices.ContainsFunc(t.dcGroups, func(group *dcGroup) bool { return group.slots > 0 && permitted(allowed, group.id) })
}

// chooseOwn returns the preferred one of two random endpoints with a free own slot that are not in avoid, or nil.
func chooseOwn(free []*endpoint, avoid []model.EndpointID, now time.Time) *endpoint {
	if len(avoid) > 0 {
		free = slices.DeleteFunc(slices.Clone(free), func(e *endpoint) bool { return slices.Contains(avoid, e.id) })
	}
	switch len(free) {
	case 0:
		return nil
	case 1:
		return free[0]
	}
	i := random(len(free))
	j := random(len(free) - 1)
	if j >= i {
		j++
	}
	return preferred(free[i], free[j], now)
}

// preferred compares two endpoints: by load when both are at least three quarters full or their latencies are equal, and otherwise
// by latency; an endpoint below three quarters precedes one above.
func preferred(a, b *endpoint, now time.Time) *endpoint {
	loadA, loadB := a.load(now), b.load(now)
	nearlyFullA, nearlyFullB := 4*loadA >= 3*int(a.slots), 4*loadB >= 3*int(b.slots)
	latencyA, latencyB := a.expectedLatency(now), b.expectedLatency(now)
	switch {
	case nearlyFullA != nearlyFullB:
		if nearlyFullA {
			return b
		}
		return a
	case !nearlyFullA && latencyA != latencyB:
		// Multiplying by the load spreads work over endpoints whose latencies differ little.
		if latencyA*time.Duration(loadA+1) < latencyB*time.Duration(loadB+1) {
			return a
		}
		return b
	case loadA < loadB:
		return a
	default:
		return b
	}
}

// chooseBorrowed returns the preferred one of two endpoints that recently reported free slots, from a random start, or nil.
func (t *Table) chooseBorrowed(allowed []model.DataCentreID, avoid []model.EndpointID, now time.Time) *endpoint {
	var best *endpoint
	found := 0
	for _, group := range t.dcGroups {
		if !permitted(allowed, group.id) || len(group.all) == 0 {
			continue
		}
		start := random(len(group.all))
		for i := range group.all {
			e := group.all[(start+i)%len(group.all)]
			if !t.usable(e) || !e.borrowable(now, t.connLimit) || slices.Contains(avoid, e.id) {
				continue
			}
			found++
			if best == nil {
				best = e
			} else {
				best = preferred(best, e, now)
			}
			if found == 2 {
				return best
			}
		}
	}
	return best
}

// holdSlot counts a slot of the endpoint as in use and returns its pick.
func (t *Table) holdSlot(e *endpoint, borrowed bool, now time.Time) *Pick {
	if e.inFlight == 0 {
		e.lastProgressAt = now
	}
	e.inFlight++
	e.sentSinceReport++
	if !borrowed {
		e.ownInFlight++
	}
	t.updateGroup(e)
	conns := e.connBudget(t.connLimit)
	if t.Choose != nil {
		conns = t.connLimit
	}
	return &Pick{
		Endpoint: e.id, Address: e.address, DataCentre: e.dataCentre, Conns: conns,
		Borrowed: borrowed, table: t, endpoint: e, startedAt: now,
	}
}

// Restart sets the start of the send to now, when time has passed since the slot was acquired.
func (p *Pick) Restart() { p.startedAt = time.Now() }

// Done releases the slot and records the result of the send; later calls do nothing.
func (p *Pick) Done(verdict Verdict, report Report) {
	t := p.table
	t.mu.Lock()
	if p.done {
		t.mu.Unlock()
		return
	}
	p.done = true
	e := p.endpoint
	now := time.Now()
	e.inFlight--
	if !p.Borrowed {
		e.ownInFlight--
	}
	if verdict != VerdictUnused {
		t.recordResult(e, verdict, report, now.Sub(p.startedAt), now)
	} else if e.sentSinceReport > 0 {
		e.sentSinceReport--
	}
	t.updateGroup(e)
	t.serveWaiters()
	t.mu.Unlock()
	t.notifyFree()
}

func (t *Table) recordResult(e *endpoint, verdict Verdict, report Report, latency time.Duration, now time.Time) {
	t.applyReport(e, report, now)
	switch verdict {
	case VerdictAnswered:
		e.lastProgressAt = now
		e.observeLatency(latency)
		e.consecutiveFailures, e.probeBackoff, e.verified = 0, 0, true
	case VerdictRefused:
		e.lastProgressAt = now
		if report.Busy < int(report.Slots) {
			// An endpoint that refuses although it has free slots is unhealthy.
			t.recordFailure(e, true, now)
		}
	case VerdictErrored:
		e.lastProgressAt = now
		t.recordFailure(e, true, now)
	case VerdictBroken:
		// A quick failure must not lower the latency.
		e.observeLatency(max(latency, e.latency))
		t.recordFailure(e, false, now)
	case VerdictAbandoned:
		if latency > e.latency {
			e.observeLatency(latency)
		}
	case VerdictUnused:
	}
}

func (t *Table) applyReport(e *endpoint, report Report, now time.Time) {
	if !report.Present || e.pastIncarnations[report.Incarnation] {
		return
	}
	t.setIncarnation(e, report.Incarnation)
	if report.Slots > 0 && (report.Slots != e.slots || !e.slotsReported) {
		e.slotsReported = true
		if report.Slots != e.slots {
			e.slots = report.Slots
			e.ownSlots = assignedSlots(t.members, t.Self, e.id, e.slots)
		}
	}
	e.reportedBusy, e.reportedAt, e.sentSinceReport = report.Busy, now, 0
	if report.Leaving {
		t.markLeaving(e, SourceAnswer)
	}
}

// serveWaiters gives free slots to the waiters in order of arrival, until the first one that gets none.
func (t *Table) serveWaiters() {
	for len(t.waiters) > 0 {
		pick := t.acquire(t.waiters[0].ask)
		if pick == nil {
			return
		}
		t.waiters[0].ready <- pick
		t.waiters = t.waiters[1:]
	}
}

func (t *Table) notifyFree() {
	if t.OnFree != nil {
		t.OnFree()
	}
}
