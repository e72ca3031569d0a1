package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"peridotgw.example/peridotgw/internal/store"
)

const (
	// maxPendingBytes bounds the memory of pending ends.
	maxPendingBytes = 32 << 20
	// pendingEndBytes is the assumed memory of one pending end without the answer's body.
	pendingEndBytes = 1 << 10
	// maxRetryDelay bounds the time between attempts while the store is unavailable.
	maxRetryDelay = 15 * time.Second
	// retriesPerSecond limits the rate of writes after an outage.
	retriesPerSecond = 20
)

// pendingEnds is the queue of claims whose final state could not be written; mu guards items and bytes.
type pendingEnds struct {
	mu    sync.Mutex
	items []pendingEnd
	bytes int
	// wake holds one signal when an end has been queued.
	wake chan struct{}
}

// pendingEnd is a claim and the final state to write. final is nil for a claim that is not used although its create may have been
// applied; it is then released.
type pendingEnd struct {
	claim *Claim
	final *record
}

func (e pendingEnd) size() int {
	if e.final == nil {
		return pendingEndBytes
	}
	return pendingEndBytes + len(e.final.Body)
}

// deferEnd queues the end of a claim for Run. When the queue is full, it drops the body, and if that is not enough the claim.
func (r *Registry) deferEnd(c *Claim, final *record) {
	r.lazyInit()
	end := pendingEnd{claim: c, final: final}
	r.pendingEnds.mu.Lock()
	defer r.pendingEnds.mu.Unlock()
	if r.pendingEnds.bytes+end.size() > maxPendingBytes && final != nil && len(final.Body) > 0 {
		short := *final
		short.Body, short.BodyKept = nil, false
		end.final = &short
	}
	if r.pendingEnds.bytes+end.size() > maxPendingBytes {
		r.Log.Error().Str("key", c.key).Msg("claim: too many claims wait for the store; outcome dropped, its duplicates stay in doubt")
		r.countEnd("dropped", c.writes)
		return
	}
	r.pendingEnds.items = append(r.pendingEnds.items, end)
	r.pendingEnds.bytes += end.size()
	select {
	case r.pendingEnds.wake <- struct{}{}:
	default:
	}
}

// Run grants the lease of each hour in advance and writes the ends of claims that Finish and Release could not write. It returns
// nil when ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	r.lazyInit()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = 200 * time.Millisecond
	delay.MaxInterval = maxRetryDelay
	for {
		if _, err := r.lease(ctx); err != nil && ctx.Err() == nil {
			r.Log.Warn().Err(err).Msg("claim: granting a lease failed")
		}
		wait := time.Minute
		if r.writePending(ctx) {
			delay.Reset()
		} else {
			wait = delay.NextBackOff()
		}
		if !r.waitForWork(ctx, wait) {
			return nil
		}
	}
}

// waitForWork waits for the given time or until an end is queued; it reports false when ctx has ended.
func (r *Registry) waitForWork(ctx context.Context, wait time.Duration) bool {
	wake := r.pendingEnds.wake
	if wait < time.Minute {
		wake = nil // The store was just unavailable; wait for the whole delay.
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-wake:
	}
	return true
}

// writePending writes the pending ends; it reports false when the store is unavailable.
func (r *Registry) writePending(ctx context.Context) bool {
	for {
		end, found := r.firstPending()
		if !found {
			return true
		}
		if err := end.claim.writePending(ctx, end.final); isUnavailable(err) {
			// The claim stays first in the queue; a failed read does not count against its writes.
			return false
		}
		r.removeFirstPending()
		select {
		case <-ctx.Done():
			return true
		case <-time.After(time.Second / retriesPerSecond):
		}
	}
}

func isUnavailable(err error) bool {
	var down *store.UnavailableError
	var stale *store.StaleError
	return errors.As(err, &down) || errors.As(err, &stale)
}

func (r *Registry) firstPending() (pendingEnd, bool) {
	r.pendingEnds.mu.Lock()
	defer r.pendingEnds.mu.Unlock()
	if len(r.pendingEnds.items) == 0 {
		return pendingEnd{}, false
	}
	return r.pendingEnds.items[0], true
}

func (r *Registry) removeFirstPending() {
	r.pendingEnds.mu.Lock()
	defer r.pendingEnds.mu.Unlock()
	r.pendingEnds.bytes -= r.pendingEnds.items[0].size()
	r.pendingEnds.items = r.pendingEnds.items[1:]
}
