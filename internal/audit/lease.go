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

// bucketPeriod is the time for which new batches share one lease. The lease is never renewed, so batches expire without deletes.
const bucketPeriod = time.Hour

// leaseBucket is the lease to which new batches are attached, and the hour in which this instance is marked as a writer. Explain
// finds the instances of an hour by these marks.
type leaseBucket struct {
	id      store.LeaseID
	granted time.Time
	// markedHour counts the hours since 1970; 0 means none.
	markedHour int64
}

// lease returns the current lease of new batches, and grants one when there is none or bucketPeriod has passed. It also marks this
// instance as a writer in the hour of at, which is in the past when an outage has delayed the batch.
func (l *Log) lease(ctx context.Context, at time.Time) (store.LeaseID, error) {
	now := time.Now()
	if l.leaseBucket.id == 0 || now.Sub(l.leaseBucket.granted) >= bucketPeriod {
		granted, err := l.Store.Grant(ctx, Retention+bucketPeriod)
		if err != nil {
			return 0, eris.Wrap(err, "granting the lease of events")
		}
		l.leaseBucket.id, l.leaseBucket.granted, l.leaseBucket.markedHour = granted.ID, now, 0
	}
	if hour := unixHour(at); l.leaseBucket.markedHour != hour {
		if err := l.markWriter(ctx, hour); err != nil {
			return 0, err
		}
		l.leaseBucket.markedHour = hour
	}
	return l.leaseBucket.id, nil
}

// markWriter marks this instance as a writer in an hour; the mark expires with the lease.
func (l *Log) markWriter(ctx context.Context, hour int64) error {
	_, err := l.Store.Put(ctx, writerPrefix(hour)+store.Key(string(l.Instance))[1:], []byte("{}"), 0, l.leaseBucket.id)
	var conflict *store.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		var notFound *store.NotFoundError
		if errors.As(err, &notFound) {
			l.leaseBucket.id = 0
		}
		return eris.Wrap(err, "marking the writer of events")
	}
	return nil
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
