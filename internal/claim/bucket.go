package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
)

// bucketTime is the time for which claims share one lease. A lease is never renewed, so it lives a bucket longer than KeepFor.
const bucketTime = time.Hour

// bucket is the lease that claims are attached to now.
type bucket struct {
	turn    chan struct{}
	id      store.LeaseID
	granted time.Time
}

// lease returns the lease of the present bucket and grants one when there is none.
func (b *Book) lease(ctx context.Context) (store.LeaseID, error) {
	turn := b.turn()
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return 0, eris.Wrap(ctx.Err(), "waiting for the lease of claims")
	}
	if b.buckets.id != 0 && time.Since(b.buckets.granted) < bucketTime {
		return b.buckets.id, nil
	}
	now := time.Now()
	granted, err := b.Store.Grant(ctx, KeepFor+bucketTime)
	b.countWrite("grant", err)
	if err != nil {
		return 0, eris.Wrap(err, "granting the lease of claims")
	}
	b.buckets.id, b.buckets.granted = granted.ID, now
	return granted.ID, nil
}

// dropLease forgets a lease that the store does not know.
func (b *Book) dropLease(id store.LeaseID) {
	turn := b.turn()
	turn <- struct{}{}
	defer func() { <-turn }()
	if b.buckets.id == id {
		b.buckets.id = 0
	}
}

func (b *Book) turn() chan struct{} {
	b.init()
	return b.buckets.turn
}
