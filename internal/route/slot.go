package route

import (
	"context"
	"slices"
	"time"

	"peridotgw.example/peridotgw/model"
)

// SlotRequest states the requirements of a send.
type SlotRequest struct {
	// DataCentres that may serve the request; none means all.
	DataCentres []model.DataCentreID
	// Avoid names endpoints that this request was already sent to; they are chosen only when no other is free.
	Avoid []model.EndpointID
	// OwnOnly excludes borrowed slots, unless this instance has no own slots in the data centres.
	OwnOnly bool
	// ExcludeAvoided excludes the endpoints of Avoid.
	ExcludeAvoided bool
}

// Slot is a slot held on an endpoint; Done releases it.
type Slot struct {
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

// SendResult is the result of a send, from which the table derives the health of the endpoint.
type SendResult int

// Results of sends.
const (
	// ResultUnused means that nothing was sent.
	ResultUnused SendResult = iota
	// ResultAnswered is a complete answer.
	ResultAnswered
	// ResultRefused is an answer that proves that the request did not run.
	ResultRefused
	// ResultErrored is a complete answer that reports an error.
	ResultErrored
	// ResultTransportError is a connection or answer that failed.
	ResultTransportError
	// ResultAbandoned means that this instance stopped waiting for the answer.
	ResultAbandoned
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
	request SlotRequest
	ready   chan *Slot
}

// Acquire takes a slot without waiting; it returns nil when none is free.
func (t *Table) Acquire(request SlotRequest) *Slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	return t.acquire(request)
}

// AcquireWait takes a slot as soon as one is free, before queued requests get one; it returns nil when ctx ends. It is meant for
// requests that have already waited in the queue.
func (t *Table) AcquireWait(ctx context.Context, request SlotRequest) *Slot {
	t.mu.Lock()
	t.initialize()
	if slot := t.acquire(request); slot != nil || ctx.Err() != nil {
		t.mu.Unlock()
		return slot
	}
	w := &waiter{request: request, ready: make(chan *Slot, 1)}
	t.waiters = append(t.waiters, w)
	t.mu.Unlock()
	select {
	case slot := <-w.ready:
		return slot
	case <-ctx.Done():
	}
	t.mu.Lock()
	t.waiters = slices.DeleteFunc(t.waiters, func(other *waiter) bool { return other == w })
	t.mu.Unlock()
	select {
	case slot := <-w.ready:
		slot.Done(ResultUnused, Report{})
	default:
	}
	return nil
}

// acquire takes a slot without waiting, or returns nil when none is free; the caller holds the lock.
func (t *Table) acquire(request SlotRequest) *Slot {
	now := time.Now()
	if t.SelectEndpoint != nil {
		return t.acquireByRule(request, now)
	}
	borrow := !request.OwnOnly || !t.hasOwnSlots(request.DataCentres)
	for _, avoid := range [][]model.EndpointID{request.Avoid, nil} {
		for _, group := range t.dcGroups {
			if !permitted(request.DataCentres, group.id) {
				continue
			}
			if e := chooseOwn(group.free, avoid, now); e != nil {
				return t.holdSlot(e, false, now)
			}
		}
		if e := t.chooseBorrowed(request.DataCentres, avoid, now); e != nil && borrow {
			return t.holdSlot(e, true, now)
		}
		if len(request.Avoid) == 0 || request.ExcludeAvoided {
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

// holdSlot counts a slot of the endpoint as in use and returns the slot.
func (t *Table) holdSlot(e *endpoint, borrowed bool, now time.Time) *Slot {
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
	if t.SelectEndpoint != nil {
		conns = t.connLimit
	}
	return &Slot{
		Endpoint: e.id, Address: e.address, DataCentre: e.dataCentre, Conns: conns,
		Borrowed: borrowed, table: t, endpoint: e, startedAt: now,
	}
}

// ResetStart sets the start of the send to now, when time has passed since the slot was acquired.
func (s *Slot) ResetStart() { s.startedAt = time.Now() }

// Done releases the slot and records the result of the send; later calls do nothing.
func (s *Slot) Done(result SendResult, report Report) {
	t := s.table
	t.mu.Lock()
	if s.done {
		t.mu.Unlock()
		return
	}
	s.done = true
	e := s.endpoint
	now := time.Now()
	e.inFlight--
	if !s.Borrowed {
		e.ownInFlight--
	}
	if result != ResultUnused {
		t.recordResult(e, result, report, now.Sub(s.startedAt), now)
	} else if e.sentSinceReport > 0 {
		e.sentSinceReport--
	}
	t.updateGroup(e)
	t.serveWaiters()
	t.mu.Unlock()
	t.notifyFree()
}

// recordResult updates the latency and the health of an endpoint after a send that took the given latency.
func (t *Table) recordResult(e *endpoint, result SendResult, report Report, latency time.Duration, now time.Time) {
	t.applyReport(e, report, now)
	switch result {
	case ResultAnswered:
		e.lastProgressAt = now
		e.observeLatency(latency)
		e.consecutiveFailures, e.probeBackoff, e.verified = 0, 0, true
	case ResultRefused:
		e.lastProgressAt = now
		if report.Busy < int(report.Slots) {
			// An endpoint that refuses although it has free slots is unhealthy.
			t.recordFailure(e, true, now)
		}
	case ResultErrored:
		e.lastProgressAt = now
		t.recordFailure(e, true, now)
	case ResultTransportError:
		// A quick failure must not lower the latency.
		e.observeLatency(max(latency, e.latency))
		t.recordFailure(e, false, now)
	case ResultAbandoned:
		if latency > e.latency {
			e.observeLatency(latency)
		}
	case ResultUnused:
	}
}

// applyReport applies the load and state that an endpoint reported, unless the report is of a replaced process.
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
		slot := t.acquire(t.waiters[0].request)
		if slot == nil {
			return
		}
		t.waiters[0].ready <- slot
		t.waiters = t.waiters[1:]
	}
}

func (t *Table) notifyFree() {
	if t.OnSlotFree != nil {
		t.OnSlotFree()
	}
}
