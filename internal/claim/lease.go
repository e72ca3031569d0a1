package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
)

// bucketPeriod is the time for which new claims share one lease. The lease is never renewed, so its TTL is KeepFor plus this period.
const bucketPeriod = time.Hour

// leaseBucket is the lease to which new claims are attached; the holder of lock may use the other fields.
type leaseBucket struct {
	// lock is a mutex for which a caller can stop waiting when its context ends.
	lock    chan struct{}
	id      store.LeaseID
	granted time.Time
}

// lease returns the current lease of new claims, and grants one when there is none or bucketPeriod has passed.
func (b *Book) lease(ctx context.Context) (store.LeaseID, error) {
	lock := b.lock()
	select {
	case lock <- struct{}{}:
		defer func() { <-lock }()
	case <-ctx.Done():
		return 0, eris.Wrap(ctx.Err(), "waiting for the lease of claims")
	}
	if b.bucket.id != 0 && time.Since(b.bucket.granted) < bucketPeriod {
		return b.bucket.id, nil
	}
	now := time.Now()
	granted, err := b.Store.Grant(ctx, KeepFor+bucketPeriod)
	b.countWrite("grant", err)
	if err != nil {
		return 0, eris.Wrap(err, "granting the lease of claims")
	}
	b.bucket.id, b.bucket.granted = granted.ID, now
	return granted.ID, nil
}

// dropLease discards a lease that the store no longer has, so that the next claim gets a new one.
func (b *Book) dropLease(id store.LeaseID) {
	lock := b.lock()
	lock <- struct{}{}
	defer func() { <-lock }()
	if b.bucket.id == id {
		b.bucket.id = 0
	}
}

func (b *Book) lock() chan struct{} {
	b.init()
	return b.bucket.lock
}
