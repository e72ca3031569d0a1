package kv

import (
	"context"
	"time"
)

// Observed returns a store that reports its calls. begin is called before each call but Watch, and the function that it returns with the
// call's error; watched is called with the error of each Watch, which the store may hold open. Both may be called concurrently.
func Observed(store *Store, begin func() (end func(err error)), watched func(err error)) *Store {
	return &Store{
		Get: func(ctx context.Context, key string) (Item, bool, error) {
			end := begin()
			item, found, err := store.Get(ctx, key)
			end(err)
			return item, found, err
		},
		Range: func(ctx context.Context, prefix, after string) (Page, error) {
			end := begin()
			page, err := store.Range(ctx, prefix, after)
			end(err)
			return page, err
		},
		Watch: func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
			changes, err := store.Watch(ctx, prefix, after, wait)
			watched(err)
			return changes, err
		},
		Txn: func(ctx context.Context, txn Txn) (Revision, error) {
			end := begin()
			revision, err := store.Txn(ctx, txn)
			end(err)
			return revision, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error) {
			end := begin()
			id, granted, err := store.Grant(ctx, ttl)
			end(err)
			return id, granted, err
		},
		Renew: func(ctx context.Context, id LeaseID) (time.Duration, error) {
			end := begin()
			ttl, err := store.Renew(ctx, id)
			end(err)
			return ttl, err
		},
		Revoke: func(ctx context.Context, id LeaseID) error {
			end := begin()
			err := store.Revoke(ctx, id)
			end(err)
			return err
		},
	}
}
