package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/model"
)

// A leader that a worker does not answer records in the roster that it extends the worker's leases no more, and how long they may still
// hold. A successor then waits for the rest of that time only, and not for the longest lease from the start of its own term. Leases must
// not be extended while the stored roster may say so: a later leader would take them for expired and start the worker's tasks again.

// leaseStopInterval is how often the rest of the time is written anew while it runs, for successors that did not see earlier writes.
const leaseStopInterval = 500 * time.Millisecond

// leaseStop is the part of a roster entry that says that nothing extends the worker's leases.
type leaseStop struct {
	Left int64 `cbor:"1,keyasint"` // milliseconds from the write after which all leases have certainly expired
}

// inheritedStop is what the roster of an earlier term says about a worker's leases.
type inheritedStop struct {
	known bool
	end   clock.Instant // when the leases of earlier terms have certainly expired
}

// leaseStopStored reports whether the stored roster may say that nothing extends a worker's leases.
func (c *Scheduler) leaseStopStored(w *worker) bool { return c.roster.stops[w.info.ID] }

// wantsLeaseStop reports whether a worker's roster entry is to have a leaseStop: while the worker is silent, and until its first answer in
// this term if an earlier term wrote one, or if it has left the registry and misses a call.
func (c *Scheduler) wantsLeaseStop(w *worker) bool {
	if w.missedCalls >= silentAfterMisses {
		return true
	}
	return w.reportedAt == 0 && (c.leaseStopStored(w) || w.roster && !w.registered && w.missedCalls > 0)
}

// leaseStopOf returns the leaseStop for a worker's roster entry; nil for none.
func (c *Scheduler) leaseStopOf(w *worker, now clock.Instant) *leaseStop {
	if !c.wantsLeaseStop(w) {
		return nil
	}
	left := max(0, c.leasesEnd(w).Sub(now))
	return &leaseStop{Left: (left + time.Millisecond - 1).Milliseconds()}
}

// leaseStopsOutdated reports whether the roster needs a write because of its leaseStops.
func (c *Scheduler) leaseStopsOutdated(now clock.Instant) bool {
	for id, w := range c.workers {
		stop, stored := c.leaseStopOf(w, now), c.roster.entries[id].Stop
		switch {
		case stop == nil && c.leaseStopStored(w), stop != nil && stored == nil:
			return true
		case stop == nil:
		case stop.Left > stored.Left, stored.Left-stop.Left >= leaseStopInterval.Milliseconds(), stop.Left == 0 && stored.Left > 0:
			return true
		}
	}
	return false
}

// stopLeases notes the leaseStops of a roster that is about to be written, and reports whether it has any. From here on, no lease of
// these workers is extended, whether the write is answered or not.
func (c *Scheduler) stopLeases(entries []rosterEntry) bool {
	stops := false
	for _, entry := range entries {
		if entry.Stop == nil {
			continue
		}
		stops = true
		if !c.roster.stops[entry.ID] {
			c.roster.stops[entry.ID] = true
			c.Log.Warn().Str("worker", string(entry.ID)).Int64("left-ms", entry.Stop.Left).Msg("chief: leases of a silent worker are extended no more")
		}
	}
	return stops
}

// resumeLeases notes which workers have no leaseStop in a roster that has been written. An earlier write without an answer cannot be
// executed any more: it expects an earlier revision.
func (c *Scheduler) resumeLeases(entries map[model.WorkerID]rosterEntry) {
	for id := range c.roster.stops {
		if entries[id].Stop != nil {
			continue
		}
		delete(c.roster.stops, id)
		if w := c.workers[id]; w != nil {
			c.Log.Info().Str("worker", string(id)).Msg("chief: leases of worker may be extended again")
			w.nextPollAt = 0
			c.pollIfDue(w)
		}
	}
}

// inheritStop applies the leaseStop of an earlier term to a worker. The time counts from when this instance first saw the write, or from
// now if it did not: clocks of different instances are not compared.
func (c *Scheduler) inheritStop(w *worker, stop leaseStop) {
	now := c.Now()
	from := now
	if c.NoticeSeen != nil {
		if revision, seenAt := c.NoticeSeen(); revision == c.roster.revision {
			from = seenAt
		}
	}
	w.inherited = inheritedStop{known: true, end: from.Add(slowed(time.Duration(stop.Left) * time.Millisecond))}
	line := c.Log.Info().Str("worker", string(w.info.ID)).Uint64("revision", uint64(c.roster.revision)).Int64("left-ms", stop.Left).
		Dur("seen-before", now.Sub(from))
	if left := c.leasesEnd(w).Sub(now); left > 0 {
		line.Dur("left", left).Msg("chief: leases of worker may hold; an earlier term stopped them")
		return
	}
	line.Msg("chief: leases of worker expired before this term")
}

// awaitsFirstAnswer reports whether a worker whose leases expired before this term may still answer its first polls. It may have ends to
// list that the earlier leaders could not read, and their tasks need not start again.
func (c *Scheduler) awaitsFirstAnswer(w *worker, now clock.Instant) bool {
	misses := 1
	if w.registered {
		misses = silentAfterMisses
	}
	return w.inherited.known && w.missedCalls < misses && now <= c.Term.Since.Add(slowed(c.Limits.MaxLease)+leaseExpiryMargin)
}
