package audit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

const (
	// flushBytes bounds the events of one write of Flush in bytes; with it, a stopping instance writes a full buffer in a few seconds.
	flushBytes = 700 << 10
	// maxKeyAttempts bounds the attempts to find a key that no other batch has.
	maxKeyAttempts = 10
)

// batch is the content of one write to the store. It keeps its key and value until the write has succeeded, so that a retry
// cannot store its events twice.
type batch struct {
	at    time.Time
	key   string
	value []byte
}

// batchRecord is the stored value of a batch.
type batchRecord struct {
	Events []json.RawMessage `json:"events"`
	// Dropped counts by kind the events that are in no batch.
	Dropped map[string]int `json:"dropped,omitempty"`
	// Refused counts all refusals, whether sampled or not.
	Refused []refusalCount `json:"refused,omitempty"`
}

type refusalCount struct {
	Class  string `json:"class"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// writeBatch writes one batch of up to limit bytes of events, at the earliest WriteInterval after the last write. It reports false when
// there is nothing to write.
func (l *Log) writeBatch(ctx context.Context, limit int) (bool, error) {
	select {
	case l.writeLock <- struct{}{}:
		defer func() { <-l.writeLock }()
	case <-ctx.Done():
		return false, eris.Wrap(ctx.Err(), "waiting for another write")
	}
	if l.unsent == nil {
		next, err := l.takeBatch(limit)
		if err != nil || next == nil {
			return false, err
		}
		l.unsent = next
	}
	if err := waitForNextWrite(ctx, time.Until(l.lastWrite.Add(WriteInterval))); err != nil {
		return false, err
	}
	l.lastWrite = time.Now()
	err := l.send(ctx)
	return err == nil, err
}

// takeBatch makes a batch of buffered events and counts, or returns nil when there are none.
func (l *Log) takeBatch(limit int) (*batch, error) {
	l.mu.Lock()
	if l.buffer.empty() {
		l.mu.Unlock()
		return nil, nil
	}
	taken := l.buffer.take(limit)
	record := batchRecord{Events: make([]json.RawMessage, len(taken)), Dropped: maps.Clone(l.buffer.dropped)}
	for key, count := range l.buffer.refused {
		record.Refused = append(record.Refused, refusalCount{Class: key.class, Reason: key.reason, Count: count})
	}
	clear(l.buffer.dropped)
	clear(l.buffer.refused)
	l.mu.Unlock()
	for i, event := range taken {
		record.Events[i] = event.data
	}
	slices.SortFunc(record.Refused, func(a, b refusalCount) int {
		return strings.Compare(a.Class+"\x00"+a.Reason, b.Class+"\x00"+b.Reason)
	})
	value, err := json.Marshal(record)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a batch of events")
	}
	at := time.Now()
	return &batch{at: at, key: l.nextBatchKey(at), value: value}, nil
}

// send writes the unsent batch. If an earlier write was applied and its answer lost, the conflicting entry has the same value.
func (l *Log) send(ctx context.Context) error {
	for range maxKeyAttempts {
		lease, err := l.lease(ctx, l.unsent.at)
		if err != nil {
			return err
		}
		_, err = l.Store.Put(ctx, l.unsent.key, l.unsent.value, 0, lease)
		var conflict *store.ConflictError
		var notFound *store.NotFoundError
		switch {
		case err == nil:
			l.unsent = nil
			return nil
		case errors.As(err, &conflict) && bytes.Equal(conflict.Current.Value, l.unsent.value):
			l.unsent = nil
			return nil
		case errors.As(err, &conflict):
			l.unsent.key = l.nextBatchKey(l.unsent.at)
		case errors.As(err, &notFound):
			if err := l.leases.Drop(ctx, lease); err != nil {
				return err
			}
		default:
			return eris.Wrap(err, "writing a batch of events")
		}
	}
	return eris.Errorf("writing a batch of events: no free key in %d tries", maxKeyAttempts)
}

// nextBatchKey returns a key that no earlier batch of this process has.
func (l *Log) nextBatchKey(now time.Time) string {
	l.sequence++
	return batchKey(l.Instance, now, l.sequence)
}

// batchKey returns a key that sorts by time; Explain lists keys by the first segmentDigits digits of that time.
func batchKey(instance model.InstanceID, at time.Time, sequence int) string {
	return store.Key("audit", string(instance), fmt.Sprintf("%013d-%06d", at.UnixMilli(), sequence))
}

func waitForNextWrite(ctx context.Context, wait time.Duration) error {
	return eris.Wrap(clock.Sleep(ctx, wait), "waiting for the next write")
}
