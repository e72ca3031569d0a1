package route

import (
	"context"
	"slices"
	"time"

	"peridotgw.example/peridotgw/model"
)

// Ask states what a send needs.
type Ask struct {
	// DataCentres that may serve the request; none means all.
	DataCentres []model.DataCentreID
	// Avoid names endpoints that this request was already sent to; they are taken only when no other is free.
	Avoid []model.EndpointID
	// OwnOnly takes only slots that are dealt to this instance, where there are any.
	OwnOnly bool
	// OnlyOthers leaves the endpoints of Avoid out altogether.
	OnlyOthers bool
}

// Pick is a slot held on an endpoint; Done gives it back.
type Pick struct {
	Endpoint   model.EndpointID
	Address    string
	DataCentre model.DataCentreID
	// Conns is the connection budget of this instance for the endpoint.
	Conns    int
	Borrowed bool

	table     *Table
	endpoint  *endpoint
	startedAt time.Time
	done      bool
}

// Verdict tells how a send ended, as far as the health of the endpoint is concerned.
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
	// VerdictAbandoned means that this side gave up waiting.
	VerdictAbandoned
)

// Report is what an answer says about its endpoint.
type Report struct {
	// Present is false when the answer had no load headers.
	Present     bool
	Slots       model.SlotCount
	Busy        int
	Leaving     bool
	Incarnation model.Incarnation
}

// waiter is a send that waits for a slot ahead of the queue.
type waiter struct {
	ask   Ask
	ready chan *Pick
}

// Acquire takes a slot at once; it returns nil when none is free.
func (t *Table) Acquire(ask Ask) *Pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	return t.acquire(ask)
}

// AcquireWait takes a slot as soon as one is free, ahead of queued requests; it returns nil when ctx ends. It is meant for
// requests that have already waited in the queue.
func (t *Table) AcquireWait(ctx context.Context, ask Ask) *Pick {
	t.mu.Lock()
	t.prepare()
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
	borrow := !ask.OwnOnly || !t.ownsSlots(ask.DataCentres)
	for _, avoid := range [][]model.EndpointID{ask.Avoid, nil} {
		for _, z := range t.zones {
			if !permitted(ask.DataCentres, z.id) {
				continue
			}
			if e := chooseOwn(z.free, avoid, now); e != nil {
				return t.take(e, false, now)
			}
		}
		if e := t.chooseBorrowed(ask.DataCentres, avoid, now); e != nil && borrow {
			return t.take(e, true, now)
		}
		if len(ask.Avoid) == 0 || ask.OnlyOthers {
			break
		}
	}
	return nil
}

// ownsSlots reports whether any slot in the data centres is dealt to this instance.
func (t *Table) ownsSlots(allowed []model.DataCentreID) bool {
	return slices.ContainsFunc(t.zones, func(z *zone) bool { return z.slots > 0 && permitted(allowed, z.id) })
}

// chooseOwn takes the less loaded of two random endpoints with a free own slot.
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
	return better(free[i], free[j], now)
}

// better compares by requests in flight when an endpoint is nearly full, and otherwise by latency.
func better(a, b *endpoint, now time.Time) *endpoint {
	loadA, loadB := a.load(now), b.load(now)
	hotA, hotB := 4*loadA >= 3*int(a.slots), 4*loadB >= 3*int(b.slots)
	latencyA, latencyB := a.expected(now), b.expected(now)
	switch {
	case hotA != hotB:
		if hotA {
			return b
		}
		return a
	case !hotA && latencyA != latencyB:
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

// chooseBorrowed takes the better of two random endpoints that lately reported a free slot.
func (t *Table) chooseBorrowed(allowed []model.DataCentreID, avoid []model.EndpointID, now time.Time) *endpoint {
	var best *endpoint
	seen := 0
	for _, z := range t.zones {
		if !permitted(allowed, z.id) || len(z.all) == 0 {
			continue
		}
		start := random(len(z.all))
		for i := range z.all {
			e := z.all[(start+i)%len(z.all)]
			if !t.usable(e) || !e.lendable(now, t.connLimit) || slices.Contains(avoid, e.id) {
				continue
			}
			seen++
			if best == nil {
				best = e
			} else {
				best = better(best, e, now)
			}
			if seen == 2 {
				return best
			}
		}
	}
	return best
}

func (t *Table) take(e *endpoint, borrowed bool, now time.Time) *Pick {
	if e.inFlight == 0 {
		e.lastEvent = now
	}
	e.inFlight++
	e.sentSince++
	if !borrowed {
		e.ownInFlight++
	}
	t.place(e)
	conns := e.limit(t.connLimit)
	if t.Choose != nil {
		conns = t.connLimit
	}
	return &Pick{
		Endpoint: e.id, Address: e.address, DataCentre: e.dataCentre, Conns: conns,
		Borrowed: borrowed, table: t, endpoint: e, startedAt: now,
	}
}

// Restart sets the start of the send, when time passed since the slot was taken.
func (p *Pick) Restart() { p.startedAt = time.Now() }

// Done gives the slot back, with what was learned; later calls do nothing.
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
		t.learn(e, verdict, report, now.Sub(p.startedAt), now)
	} else if e.sentSince > 0 {
		e.sentSince--
	}
	t.place(e)
	t.serveWaiters()
	t.mu.Unlock()
	t.notify()
}

func (t *Table) learn(e *endpoint, verdict Verdict, report Report, latency time.Duration, now time.Time) {
	t.learnReport(e, report, now)
	switch verdict {
	case VerdictAnswered:
		e.lastEvent = now
		e.observe(latency)
		e.failures, e.probeEvery, e.proven = 0, 0, true
	case VerdictRefused:
		e.lastEvent = now
		if report.Busy < int(report.Slots) {
			// An endpoint that refuses with free slots serves nobody.
			t.fail(e, true, now)
		}
	case VerdictErrored:
		e.lastEvent = now
		t.fail(e, true, now)
	case VerdictBroken:
		// A failure must not make an endpoint look fast.
		e.observe(max(latency, e.latency))
		t.fail(e, false, now)
	case VerdictAbandoned:
		if latency > e.latency {
			e.observe(latency)
		}
	case VerdictUnused:
	}
}

func (t *Table) learnReport(e *endpoint, report Report, now time.Time) {
	if !report.Present || e.past[report.Incarnation] {
		return
	}
	t.setIncarnation(e, report.Incarnation)
	if report.Slots > 0 && (report.Slots != e.slots || !e.learned) {
		e.learned = true
		if report.Slots != e.slots {
			e.slots = report.Slots
			e.own = share(t.members, t.Self, e.id, e.slots)
		}
	}
	e.reportedBusy, e.reportedAt, e.sentSince = report.Busy, now, 0
	if report.Leaving {
		t.mark(e, SourceAnswer)
	}
}

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

func (t *Table) notify() {
	if t.OnFree != nil {
		t.OnFree()
	}
}
