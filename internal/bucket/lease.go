package bucket

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

// Lease is a lease for new keys. It is never renewed, and replaced once it has run for a period; each key stays at least as long as it is to be
// kept. Its methods may be called concurrently.
type Lease[ID comparable] struct {
	grant func(ctx context.Context, ttl time.Duration) (ID, time.Duration, error)
	keep  time.Duration
	ttl   time.Duration // that is asked for

	lock  *semaphore.Weighted // held during a grant; guards the fields below
	id    ID
	until time.Time // up to which keys may be attached to it; zero while there is none
}

// New returns a lease for keys that are kept for a time at least, and share one lease for a period. grant creates a lease and returns the TTL
// that the store applies.
func New[ID comparable](
	grant func(ctx context.Context, ttl time.Duration) (ID, time.Duration, error), keep, period time.Duration,
) *Lease[ID] {
	return &Lease[ID]{grant: grant, keep: keep, ttl: keep + period, lock: semaphore.NewWeighted(1)}
}

// ID returns the lease for a new key, and grants one when there is none or its period is over. Callers wait for one grant together.
func (l *Lease[ID]) ID(ctx context.Context) (ID, error) {
	var none ID
	if err := l.lock.Acquire(ctx, 1); err != nil {
		return none, eris.Wrap(err, "waiting for a shared lease")
	}
	defer l.lock.Release(1)
	asked := time.Now()
	if asked.Before(l.until) {
		return l.id, nil
	}
	id, ttl, err := l.grant(ctx, l.ttl)
	if err != nil {
		return none, err
	}
	l.id, l.until = id, asked.Add(ttl-l.keep)
	return id, nil
}

// Drop gives up a lease that the store no longer has, so that the next key gets a new one.
func (l *Lease[ID]) Drop(ctx context.Context, id ID) error {
	if err := l.lock.Acquire(ctx, 1); err != nil {
		return eris.Wrap(err, "giving up a shared lease")
	}
	defer l.lock.Release(1)
	if l.id == id {
		l.until = time.Time{}
	}
	return nil
}
