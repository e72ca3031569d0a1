package elect

import (
	"context"
	"time"
)

// handOverDelay is how long a stopping leader keeps the leadership at least, so that it learns which other instances stop as well.
const handOverDelay = 300 * time.Millisecond

// StopSoon announces that this instance will stop. It leads on, and campaigns, while all registered instances are stopping: without a
// leader nobody would note the ends of runs until the first of them is back. Otherwise it hands the leadership over.
func (e *Elector) StopSoon(ctx context.Context) {
	e.mu.Lock()
	e.stoppingAt = e.Now()
	e.registered = false
	lease := e.lease
	e.mu.Unlock()
	if lease == 0 {
		return // The registration that comes with the lease says it.
	}
	if err := e.registerSelf(ctx); err != nil {
		e.Log.Warn().Err(err).Msg("elect: other instances do not know yet that this one stops")
	}
}

// self returns the registration of this instance; e.mu is held.
func (e *Elector) self() Node {
	node := e.Self
	node.Stopping = e.stoppingAt != 0
	return node
}

// successorKnown reports whether another instance is registered that is not stopping; e.mu is held.
func (e *Elector) successorKnown() bool {
	for id, node := range e.nodes {
		if id != string(e.Self.ID) && !node.Stopping {
			return true
		}
	}
	return false
}

// handOver releases the leadership of an instance that stops, once another one can take it.
func (e *Elector) handOver(ctx context.Context) {
	e.mu.Lock()
	due := e.stoppingAt != 0 && e.term != nil && e.Now().Sub(e.stoppingAt) >= handOverDelay && e.successorKnown()
	e.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.release(ctx, "handed over before a stop")
}
