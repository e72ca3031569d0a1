package audit

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// bucketPeriod is the time for which new batches share one lease.
const bucketPeriod = time.Hour

// writerMark is the hour in which this instance is marked as a writer, under the lease of its batches. Explain finds the instances of an hour by
// these marks.
type writerMark struct {
	lease store.LeaseID
	hour  int64 // since 1970
}

// lease returns the lease of new batches. It also marks this instance as a writer in the hour of at, which is in the past when an outage has
// delayed the batch.
func (l *Log) lease(ctx context.Context, at time.Time) (store.LeaseID, error) {
	id, err := l.leases.ID(ctx)
	if err != nil {
		return 0, err
	}
	if mark := (writerMark{lease: id, hour: unixHour(at)}); l.mark != mark {
		if err := l.markWriter(ctx, mark); err != nil {
			return 0, err
		}
		l.mark = mark
	}
	return id, nil
}

// grant grants a lease of new batches.
func (l *Log) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	granted, err := l.Store.Grant(ctx, ttl)
	return granted.ID, time.Duration(granted.TTLMs) * time.Millisecond, eris.Wrap(err, "granting the lease of events")
}

// markWriter marks this instance as a writer in an hour; the mark expires with the lease.
func (l *Log) markWriter(ctx context.Context, mark writerMark) error {
	_, err := l.Store.Put(ctx, writerPrefix(mark.hour)+store.Key(string(l.Instance))[1:], []byte("{}"), 0, mark.lease)
	var conflict *store.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return nil
	}
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		err = errors.Join(err, l.leases.Drop(ctx, mark.lease))
	}
	return eris.Wrap(err, "marking the writer of events")
}

// unixHour returns the hours since 1970.
func unixHour(t time.Time) int64 { return t.Unix() / int64(time.Hour/time.Second) }

// writerPrefix returns the key prefix of the writer marks of an hour.
func writerPrefix(hour int64) string {
	return store.Prefix("audit-writer", strconv.FormatInt(hour, 10))
}

// writerOf returns the instance in the key of a writer mark.
func writerOf(key string) (model.InstanceID, error) {
	parts, err := store.Parts(key)
	if err != nil {
		return "", err
	}
	return model.InstanceID(parts[len(parts)-1]), nil
}
