package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
)

// bucketPeriod is the time for which new claims share one lease.
const bucketPeriod = time.Hour

// lease returns the lease of new claims.
func (r *Registry) lease(ctx context.Context) (store.LeaseID, error) {
	r.lazyInit()
	return r.leases.ID(ctx)
}

// grant grants a lease of new claims.
func (r *Registry) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	granted, err := r.Store.Grant(ctx, ttl)
	r.countWrite("grant", err)
	return granted.ID, time.Duration(granted.TTLMs) * time.Millisecond, eris.Wrap(err, "granting the lease of claims")
}
