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
	// maxPendingBytes bounds the memory of outcomes that wait for the store.
	maxPendingBytes = 32 << 20
	// entryBytes is the memory of one waiting claim without the answer's body.
	entryBytes = 1 << 10
	// maxRetryPause bounds the time between tries while the store is unavailable.
	maxRetryPause = 15 * time.Second
	// retryRate spaces the writes after an outage, in writes per second.
	retryRate = 20
)

// pending holds claims whose last state could not be written.
type pending struct {
	mu    sync.Mutex
	items []ending
	bytes int
	wake  chan struct{}
}

// ending is a claim with the state to write; last is nil for a claim that may not have been created and is not used.
type ending struct {
	claim *Claim
	last  *record
}

func (e ending) size() int {
	if e.last == nil {
		return entryBytes
	}
	return entryBytes + len(e.last.Body)
}

// later leaves the end of a claim to Run.
func (b *Book) later(c *Claim, last *record) {
	b.init()
	e := ending{claim: c, last: last}
	b.pending.mu.Lock()
	defer b.pending.mu.Unlock()
	if b.pending.bytes+e.size() > maxPendingBytes && last != nil && len(last.Body) > 0 {
		short := *last
		short.Body, short.BodyKept = nil, false
		e.last = &short
	}
	if b.pending.bytes+e.size() > maxPendingBytes {
		b.Log.Error().Str("key", c.key).Msg("claim: too many claims wait for the store, duplicates of this one stay in doubt")
		b.countEnd("dropped", c.writes)
		return
	}
	b.pending.items = append(b.pending.items, e)
	b.pending.bytes += e.size()
	select {
	case b.pending.wake <- struct{}{}:
	default:
	}
}

// Run grants the lease of each hour ahead of its use and writes the ends of claims that could not be written at once.
func (b *Book) Run(ctx context.Context) error {
	b.init()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 200 * time.Millisecond
	pause.MaxInterval = maxRetryPause
	for {
		if _, err := b.lease(ctx); err != nil && ctx.Err() == nil {
			b.Log.Warn().Err(err).Msg("claim: lease was not granted")
		}
		wait := time.Minute
		if b.retry(ctx) {
			pause.Reset()
		} else {
			wait = pause.NextBackOff()
		}
		if !b.sleep(ctx, wait) {
			return nil
		}
	}
}

// sleep waits for the time, or for the first claim that is left to Run; it reports false when ctx has ended.
func (b *Book) sleep(ctx context.Context, wait time.Duration) bool {
	wake := b.pending.wake
	if wait < time.Minute {
		wake = nil // The store was unavailable a moment ago.
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

// retry writes the ends of waiting claims; it reports false when the store is unavailable.
func (b *Book) retry(ctx context.Context) bool {
	for {
		e, found := b.first()
		if !found {
			return true
		}
		if err := e.claim.retry(ctx, e.last); unavailable(err) {
			// A read that failed costs no write, so the claim keeps its tries.
			return false
		}
		b.done()
		select {
		case <-ctx.Done():
			return true
		case <-time.After(time.Second / retryRate):
		}
	}
}

func unavailable(err error) bool {
	var down *store.UnavailableError
	var stale *store.StaleError
	return errors.As(err, &down) || errors.As(err, &stale)
}

func (b *Book) first() (ending, bool) {
	b.pending.mu.Lock()
	defer b.pending.mu.Unlock()
	if len(b.pending.items) == 0 {
		return ending{}, false
	}
	return b.pending.items[0], true
}

func (b *Book) done() {
	b.pending.mu.Lock()
	defer b.pending.mu.Unlock()
	b.pending.bytes -= b.pending.items[0].size()
	b.pending.items = b.pending.items[1:]
}
