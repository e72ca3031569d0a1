package elect

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	leaseTTL        = 2 * time.Second
	renewInterval   = 450 * time.Millisecond
	renewRetryDelay = 150 * time.Millisecond
	// validFraction is the part of the lease's TTL for which the leadership counts as valid after a renewal was sent.
	validFraction = 0.9
)

// keepLease renews the lease and the registration until ctx ends.
func (e *Elector) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := renewInterval
		if err := e.renewLease(ctx); err != nil {
			e.Log.Debug().Err(err).Msg("elect: lease not renewed")
			wait = renewRetryDelay
		}
		if err := clock.Sleep(ctx, wait); err != nil {
			break
		}
	}
	return ctx.Err()
}

// renewal is an answered renewal of the lease.
type renewal struct {
	sentAt clock.Instant
	ttl    time.Duration // from no earlier than sentAt
}

// renewLease renews the lease, or obtains one if there is none, and writes the registration if the current lease lacks it.
func (e *Elector) renewLease(ctx context.Context) error {
	e.mu.Lock()
	lease, registered, left := e.lease, e.registered, e.left
	e.mu.Unlock()
	if left {
		return nil
	}
	if lease == 0 {
		return e.grantLease(ctx)
	}
	renewal, err := kv.Hedged(ctx, func(ctx context.Context) (renewal, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		sentAt := e.Now()
		ttl, err := e.Store.Renew(ctx, lease)
		return renewal{sentAt, ttl}, err
	})
	var noLease *kv.NoLeaseError
	if errors.As(err, &noLease) {
		e.mu.Lock()
		e.lease, e.registered = 0, false
		e.endCurrentTerm("lease lost")
		e.mu.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	e.extendValidity(renewal.sentAt, renewal.ttl)
	if !registered {
		return e.registerSelf(ctx)
	}
	return nil
}

// extendValidity extends the time for which the lease is proved to hold. It counts from sentAt, the time before the call, because the
// store started the TTL no earlier.
func (e *Elector) extendValidity(sentAt clock.Instant, ttl time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.validUntil = max(e.validUntil, sentAt.Add(time.Duration(validFraction*float64(ttl))))
	e.lastRenewed = e.Now()
}

func (e *Elector) grantLease(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := e.Now()
	lease, ttl, err := e.Store.Grant(callCtx, leaseTTL)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.lease = lease
	e.mu.Unlock()
	e.extendValidity(sentAt, ttl)
	return e.registerSelf(ctx)
}

func (e *Elector) registerSelf(ctx context.Context) error {
	e.mu.Lock()
	node, lease := e.self(), e.lease
	e.mu.Unlock()
	value, err := work.Encode(node)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	write := kv.Write{Key: nodePrefix + string(e.Self.ID), Value: value, Lease: lease}
	if _, err := e.Store.Txn(ctx, kv.Txn{Writes: []kv.Write{write}}); err != nil {
		return err
	}
	e.mu.Lock()
	e.registered = node == e.self() && lease == e.lease
	e.mu.Unlock()
	return nil
}
