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
	// MaxListings bounds the listings of batches in one Explain.
	MaxListings = 512
	// MaxEvents bounds the answer of Explain; the newest are kept.
	MaxEvents = 1000
	// segmentDigits is the number of leading digits of a batch's time in milliseconds that form the prefix of one listing. It
	// corresponds to 100 s, in which an instance writes at most 100 batches.
	segmentDigits   = 8
	segmentDuration = 100 * time.Second
	// maxParallelReads bounds the concurrent listings, so that Explain does not slow down other reads of the store.
	maxParallelReads = 4
)

// SubjectError reports a subject that Explain cannot look up.
type SubjectError struct{ Subject Subject }

// Error names the subject.
func (e *SubjectError) Error() string {
	return fmt.Sprintf("subject of kind %q with id %q needs both a kind and an id", e.Subject.Kind, e.Subject.ID)
}

// TooManyReadsError reports a time span that takes more listings than MaxListings; the newest events are returned with it.
type TooManyReadsError struct{ Wanted int }

// Error states the number of listings that are needed.
func (e *TooManyReadsError) Error() string {
	return fmt.Sprintf("explaining takes %d listings, only the newest %d were read", e.Wanted, MaxListings)
}

// segment is a span of segmentDuration in which one instance may have written batches.
type segment struct {
	instance model.InstanceID
	start    time.Time
}

// Explain returns the events about a subject in the last Window, as ExplainBetween does.
func (l *Log) Explain(ctx context.Context, subject Subject) ([]Event, error) {
	window := l.Window
	if window <= 0 {
		window = DefaultWindow
	}
	now := time.Now()
	return l.ExplainBetween(ctx, subject, now.Add(-window), now)
}

// ExplainBetween returns the events about a subject that were written between two times, oldest first, from all instances, and
// those in this instance's buffer. When a read fails, it returns the error together with the events found.
func (l *Log) ExplainBetween(ctx context.Context, subject Subject, from, to time.Time) ([]Event, error) {
	l.lazyInit()
	if subject.Kind == "" || subject.ID == "" {
		return nil, &SubjectError{Subject: subject}
	}
	subject.ID, subject.Kind = truncate(subject.ID), truncate(subject.Kind)
	if oldest := time.Now().Add(-Retention - bucketPeriod); from.Before(oldest) {
		from = oldest
	}
	segments, err := l.segments(ctx, from, to)
	if err != nil {
		return nil, err
	}
	events, err := l.readSegments(ctx, segments, from, subject)
	events = append(events, l.bufferedEvents(subject)...)
	return keepNewest(events), err
}

// segments returns the segments to list, newest first.
func (l *Log) segments(ctx context.Context, from, to time.Time) ([]segment, error) {
	var found []segment
	for hour := unixHour(to); hour >= unixHour(from); hour-- {
		listing, err := l.Store.List(ctx, writerPrefix(hour))
		if err != nil {
			return nil, eris.Wrap(err, "listing the writers of events")
		}
		for _, entry := range listing.Entries {
			instance, err := writerOf(entry.Key)
			if err != nil {
				return nil, err
			}
			start := time.Unix(hour*int64(time.Hour/time.Second), 0)
			for at := start.Truncate(segmentDuration); at.Before(start.Add(time.Hour)); at = at.Add(segmentDuration) {
				if at.Add(segmentDuration).After(from) && !at.After(to) {
					found = append(found, segment{instance: instance, start: at})
				}
			}
		}
	}
	slices.SortFunc(found, func(a, b segment) int {
		return cmp.Or(b.start.Compare(a.start), strings.Compare(string(a.instance), string(b.instance)))
	})
	return slices.Compact(found), nil
}

// readSegments returns the events about a subject in the first MaxListings segments.
func (l *Log) readSegments(ctx context.Context, wanted []segment, from time.Time, subject Subject) ([]Event, error) {
	var tooMany error
	if len(wanted) > MaxListings {
		tooMany = &TooManyReadsError{Wanted: len(wanted)}
		wanted = wanted[:MaxListings]
	}
	results := make([][]Event, len(wanted))
	var group errgroup.Group
	group.SetLimit(maxParallelReads)
	for i, seg := range wanted {
		group.Go(func() error {
			var err error
			results[i], err = l.readSegment(ctx, seg, from, subject)
			return err
		})
	}
	err := group.Wait()
	return slices.Concat(results...), errors.Join(tooMany, err)
}

func (l *Log) readSegment(ctx context.Context, seg segment, from time.Time, subject Subject) ([]Event, error) {
	digits := fmt.Sprintf("%013d", seg.start.UnixMilli())[:segmentDigits]
	listing, err := l.Store.List(ctx, store.Prefix("audit", string(seg.instance))+digits)
	if err != nil {
		return nil, eris.Wrapf(err, "listing events of instance %q", seg.instance)
	}
	var events []Event
	first := batchKey(seg.instance, from, 0)
	for _, entry := range listing.Entries {
		if entry.Key < first {
			continue
		}
		var record batchRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return events, eris.Wrapf(err, "decoding events %q", entry.Key)
		}
		events = append(events, decodeMatching(record.Events, subject)...)
	}
	return events, nil
}

// bufferedEvents returns the events about a subject that are not yet in a batch.
func (l *Log) bufferedEvents(subject Subject) []Event {
	l.mu.Lock()
	waiting := slices.Concat(l.buffer.others, l.buffer.requests)
	l.mu.Unlock()
	var events []Event
	for _, event := range waiting {
		if event.kind == subject.Kind {
			events = append(events, decodeMatching([]json.RawMessage{event.data}, subject)...)
		}
	}
	return events
}

// decodeMatching returns the events about a subject and skips those that cannot be decoded.
func decodeMatching(raw []json.RawMessage, subject Subject) []Event {
	var events []Event
	for _, data := range raw {
		var event Event
		if err := json.Unmarshal(data, &event); err == nil && event.Subject == subject {
			events = append(events, event)
		}
	}
	return events
}

// keepNewest sorts events by time and returns the newest MaxEvents.
func keepNewest(events []Event) []Event {
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events[max(0, len(events)-MaxEvents):]
}
