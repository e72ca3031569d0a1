package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
)

// bucketPeriod is the time for which new claims share one lease. The lease is never renewed, so its TTL is Retention plus this period.
const bucketPeriod = time.Hour

// leaseBucket is the lease to which new claims are attached; the holder of lock may use the other fields.
type leaseBucket struct {
	// lock is a mutex for which a caller can stop waiting when its context ends.
	lock    chan struct{}
	id      store.LeaseID
	granted time.Time
}

// lease returns the current lease of new claims, and grants one when there is none or bucketPeriod has passed.
func (r *Registry) lease(ctx context.Context) (store.LeaseID, error) {
	lock := r.lock()
	select {
	case lock <- struct{}{}:
		defer func() { <-lock }()
	case <-ctx.Done():
		return 0, eris.Wrap(ctx.Err(), "waiting for the lease of claims")
	}
	if r.bucket.id != 0 && time.Since(r.bucket.granted) < bucketPeriod {
		return r.bucket.id, nil
	}
	now := time.Now()
	granted, err := r.Store.Grant(ctx, Retention+bucketPeriod)
	r.countWrite("grant", err)
	if err != nil {
		return 0, eris.Wrap(err, "granting the lease of claims")
	}
	r.bucket.id, r.bucket.granted = granted.ID, now
	return granted.ID, nil
}

// dropLease discards a lease that the store no longer has, so that the next claim gets a new one.
func (r *Registry) dropLease(id store.LeaseID) {
	lock := r.lock()
	lock <- struct{}{}
	defer func() { <-lock }()
	if r.bucket.id == id {
		r.bucket.id = 0
	}
}

func (r *Registry) lock() chan struct{} {
	r.lazyInit()
	return r.bucket.lock
}
