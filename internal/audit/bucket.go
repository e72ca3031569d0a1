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

// bucketTime is the time for which batches share one lease. The lease is never renewed, so that the batches go without deletes.
const bucketTime = time.Hour

// bucket is the lease that batches are attached to now, and the mark by which Explain finds the instances of an hour.
type bucket struct {
	id      store.LeaseID
	granted time.Time
	marked  int64
}

// lease returns the lease of the present hour. It marks that this instance has written a batch in the hour of at, which is past
// when an outage delayed the batch.
func (l *Log) lease(ctx context.Context, at time.Time) (store.LeaseID, error) {
	now := time.Now()
	if l.bucket.id == 0 || now.Sub(l.bucket.granted) >= bucketTime {
		granted, err := l.Store.Grant(ctx, KeepFor+bucketTime)
		if err != nil {
			return 0, eris.Wrap(err, "granting the lease of events")
		}
		l.bucket.id, l.bucket.granted, l.bucket.marked = granted.ID, now, 0
	}
	if hour := hourOf(at); l.bucket.marked != hour {
		if err := l.mark(ctx, hour); err != nil {
			return 0, err
		}
		l.bucket.marked = hour
	}
	return l.bucket.id, nil
}

func (l *Log) mark(ctx context.Context, hour int64) error {
	_, err := l.Store.Put(ctx, markPrefix(hour)+store.Key(string(l.Instance))[1:], []byte("{}"), 0, l.bucket.id)
	var conflict *store.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		var gone *store.NotFoundError
		if errors.As(err, &gone) {
			l.bucket.id = 0
		}
		return eris.Wrap(err, "marking the writer of events")
	}
	return nil
}

// hourOf counts the hours since 1970.
func hourOf(t time.Time) int64 { return t.Unix() / int64(time.Hour/time.Second) }

func markPrefix(hour int64) string {
	return store.Prefix("audit-writer", strconv.FormatInt(hour, 10))
}

// writer returns the instance that a mark's key names.
func writer(key string) (model.InstanceID, error) {
	parts, err := store.Parts(key)
	if err != nil {
		return "", err
	}
	return model.InstanceID(parts[len(parts)-1]), nil
}
