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
	// flushBytes bounds the events of a write of Flush, so that a full buffer is written in a few seconds at a stop.
	flushBytes = 700 << 10
	// keyTries bounds the changes of a batch's key when another batch has it.
	keyTries = 10
)

// batch is one write; it keeps its key and value while its result is unknown, so that it is never written twice.
type batch struct {
	at    time.Time
	key   string
	value []byte
}

// content is the value of a batch's key.
type content struct {
	Events []json.RawMessage `json:"events"`
	// Dropped counts events that are in no batch, by kind.
	Dropped map[string]int `json:"dropped,omitempty"`
	// Refused counts refusals with and without a sample.
	Refused []refusalCount `json:"refused,omitempty"`
}

type refusalCount struct {
	Class  string `json:"class"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// write writes one batch, not before WriteEvery has passed since the last write. It reports false when there is nothing to write.
func (l *Log) write(ctx context.Context, limit int) (bool, error) {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return false, eris.Wrap(ctx.Err(), "waiting for another write")
	}
	if l.unsent == nil {
		next, err := l.compose(limit)
		if err != nil || next == nil {
			return false, err
		}
		l.unsent = next
	}
	if err := sleep(ctx, time.Until(l.lastWrite.Add(WriteEvery))); err != nil {
		return false, err
	}
	l.lastWrite = time.Now()
	err := l.send(ctx)
	return err == nil, err
}

func (l *Log) compose(limit int) (*batch, error) {
	l.mu.Lock()
	if l.buffer.empty() {
		l.mu.Unlock()
		return nil, nil
	}
	taken := l.buffer.take(limit)
	written := content{Events: make([]json.RawMessage, len(taken)), Dropped: maps.Clone(l.buffer.lost)}
	for key, count := range l.buffer.refused {
		written.Refused = append(written.Refused, refusalCount{Class: key.class, Reason: key.reason, Count: count})
	}
	clear(l.buffer.lost)
	clear(l.buffer.refused)
	l.mu.Unlock()
	for i, event := range taken {
		written.Events[i] = event.data
	}
	slices.SortFunc(written.Refused, func(a, b refusalCount) int {
		return strings.Compare(a.Class+"\x00"+a.Reason, b.Class+"\x00"+b.Reason)
	})
	value, err := json.Marshal(written)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a batch of events")
	}
	at := time.Now()
	return &batch{at: at, key: l.nextKey(at), value: value}, nil
}

// send writes the unsent batch. A batch whose answer was lost is found by its key and value when it is written again.
func (l *Log) send(ctx context.Context) error {
	for range keyTries {
		lease, err := l.lease(ctx, l.unsent.at)
		if err != nil {
			return err
		}
		_, err = l.Store.Put(ctx, l.unsent.key, l.unsent.value, 0, lease)
		var conflict *store.ConflictError
		var gone *store.NotFoundError
		switch {
		case err == nil:
			l.unsent = nil
			return nil
		case errors.As(err, &conflict) && bytes.Equal(conflict.Current.Value, l.unsent.value):
			l.unsent = nil
			return nil
		case errors.As(err, &conflict):
			l.unsent.key = l.nextKey(l.unsent.at)
		case errors.As(err, &gone):
			l.bucket.id = 0
		default:
			return eris.Wrap(err, "writing a batch of events")
		}
	}
	return eris.Errorf("writing a batch of events: no free key in %d tries", keyTries)
}

func (l *Log) nextKey(now time.Time) string {
	l.sequence++
	return batchKey(l.Instance, now, l.sequence)
}

// batchKey returns a key that sorts by time; its first digits are what Explain lists by.
func batchKey(instance model.InstanceID, at time.Time, sequence int) string {
	return store.Key("audit", string(instance), fmt.Sprintf("%013d-%06d", at.UnixMilli(), sequence))
}

func sleep(ctx context.Context, wait time.Duration) error {
	return eris.Wrap(clock.Sleep(ctx, wait), "waiting for the next write")
}
