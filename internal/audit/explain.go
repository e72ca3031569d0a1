package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

const (
	// MaxReads bounds the listings of one Explain.
	MaxReads = 512
	// MaxEvents bounds the answer of Explain; the newest are kept.
	MaxEvents = 1000
	// sliceDigits is the number of leading digits of a batch's time in milliseconds by which batches are listed: 100 s, which
	// holds at most 100 batches of an instance.
	sliceDigits = 8
	sliceTime   = 100 * time.Second
	// readers bounds the listings at the same time, so that they leave the store's reads to others.
	readers = 4
)

// SubjectError reports a subject that Explain cannot look up.
type SubjectError struct{ Subject Subject }

// Error states the subject.
func (e *SubjectError) Error() string {
	return fmt.Sprintf("subject of kind %q with id %q needs both a kind and an id", e.Subject.Kind, e.Subject.ID)
}

// TooManyReadsError reports a time that holds more than MaxReads allows to read; the newest events are returned with it.
type TooManyReadsError struct{ Wanted int }

// Error states the reads.
func (e *TooManyReadsError) Error() string {
	return fmt.Sprintf("explaining takes %d listings, only the newest %d were read", e.Wanted, MaxReads)
}

// slice is the batches of one instance in a span of time.
type slice struct {
	instance model.InstanceID
	start    time.Time
}

// Explain returns the events about a subject in the last Window, as ExplainBetween does.
func (l *Log) Explain(ctx context.Context, s Subject) ([]Event, error) {
	window := l.Window
	if window <= 0 {
		window = DefaultWindow
	}
	now := time.Now()
	return l.ExplainBetween(ctx, s, now.Add(-window), now)
}

// ExplainBetween returns the events about a subject that were written in a span of time, oldest first, from all instances and
// from this one's buffer. It returns what it found together with an error when some of it could not be read.
func (l *Log) ExplainBetween(ctx context.Context, s Subject, from, to time.Time) ([]Event, error) {
	l.init()
	if s.Kind == "" || s.ID == "" {
		return nil, &SubjectError{Subject: s}
	}
	s.ID, s.Kind = cut(s.ID), cut(s.Kind)
	if oldest := time.Now().Add(-KeepFor - bucketTime); from.Before(oldest) {
		from = oldest
	}
	spans, err := l.spans(ctx, from, to)
	if err != nil {
		return nil, err
	}
	events, err := l.read(ctx, spans, from, s)
	events = append(events, l.buffered(s)...)
	return newest(events), err
}

// spans returns the slices to list, newest first.
func (l *Log) spans(ctx context.Context, from, to time.Time) ([]slice, error) {
	var found []slice
	for hour := hourOf(to); hour >= hourOf(from); hour-- {
		listing, err := l.Store.List(ctx, markPrefix(hour))
		if err != nil {
			return nil, eris.Wrap(err, "listing the writers of events")
		}
		for _, entry := range listing.Entries {
			instance, err := writer(entry.Key)
			if err != nil {
				return nil, err
			}
			start := time.Unix(hour*int64(time.Hour/time.Second), 0)
			for at := start.Truncate(sliceTime); at.Before(start.Add(time.Hour)); at = at.Add(sliceTime) {
				if at.Add(sliceTime).After(from) && !at.After(to) {
					found = append(found, slice{instance: instance, start: at})
				}
			}
		}
	}
	slices.SortFunc(found, func(a, b slice) int {
		return cmp.Or(b.start.Compare(a.start), strings.Compare(string(a.instance), string(b.instance)))
	})
	return slices.Compact(found), nil
}

func (l *Log) read(ctx context.Context, wanted []slice, from time.Time, s Subject) ([]Event, error) {
	var tooMany error
	if len(wanted) > MaxReads {
		tooMany = &TooManyReadsError{Wanted: len(wanted)}
		wanted = wanted[:MaxReads]
	}
	results := make([][]Event, len(wanted))
	var group errgroup.Group
	group.SetLimit(readers)
	for i, part := range wanted {
		group.Go(func() error {
			var err error
			results[i], err = l.readSlice(ctx, part, from, s)
			return err
		})
	}
	err := group.Wait()
	return slices.Concat(results...), errors.Join(tooMany, err)
}

func (l *Log) readSlice(ctx context.Context, part slice, from time.Time, s Subject) ([]Event, error) {
	digits := fmt.Sprintf("%013d", part.start.UnixMilli())[:sliceDigits]
	listing, err := l.Store.List(ctx, store.Prefix("audit", string(part.instance))+digits)
	if err != nil {
		return nil, eris.Wrapf(err, "listing events of instance %q", part.instance)
	}
	var events []Event
	first := batchKey(part.instance, from, 0)
	for _, entry := range listing.Entries {
		if entry.Key < first {
			continue
		}
		var written content
		if err := json.Unmarshal(entry.Value, &written); err != nil {
			return events, eris.Wrapf(err, "decoding events %q", entry.Key)
		}
		events = append(events, matching(written.Events, s)...)
	}
	return events, nil
}

// buffered returns the matching events that are not written yet.
func (l *Log) buffered(s Subject) []Event {
	l.mu.Lock()
	waiting := slices.Concat(l.buffer.others, l.buffer.requests)
	l.mu.Unlock()
	var events []Event
	for _, event := range waiting {
		if event.kind == s.Kind {
			events = append(events, matching([]json.RawMessage{event.data}, s)...)
		}
	}
	return events
}

func matching(raw []json.RawMessage, s Subject) []Event {
	var events []Event
	for _, data := range raw {
		var event Event
		if err := json.Unmarshal(data, &event); err == nil && event.Subject == s {
			events = append(events, event)
		}
	}
	return events
}

func newest(events []Event) []Event {
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events[max(0, len(events)-MaxEvents):]
}
