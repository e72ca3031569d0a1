package config

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

const (
	// DefaultKeep is how long a revision stays readable after it was replaced.
	DefaultKeep = 30 * 24 * time.Hour
	// CleanPerSecond is the rate of deletes that leaves the store to its other users.
	CleanPerSecond = 5
	// markEvery is the number of removed revisions after which the progress is written.
	markEvery = 50
	// immutable is the version of a key that was created and never written again.
	immutable store.Version = 1
	// nameStarts holds the first characters of change ids; records are listed in as many parts.
	nameStarts = "abcdefghijklmnopqrstuvwxyz0123456789"
)

// Cleaned counts the keys that a Clean removed.
type Cleaned struct {
	Revisions, Segments, Changes int
}

// Clean removes the history, the segments and the change records that neither the head nor any revision replaced within
// keep uses; 0 means DefaultKeep. Each delete waits for limit. It is run by one instance at a time.
func (p *Publisher) Clean(ctx context.Context, keep time.Duration, limit *rate.Limiter) (Cleaned, error) {
	now, err := p.newest(ctx)
	if err != nil {
		return Cleaned{}, err
	}
	c := &cleaner{Publisher: p, limit: limit, now: now, before: p.wall().Add(-cmp.Or(keep, DefaultKeep))}
	if err := c.history(ctx); err != nil {
		return c.done, eris.Wrap(err, "cleaning history")
	}
	if err := c.changes(ctx); err != nil {
		return c.done, eris.Wrap(err, "cleaning change records")
	}
	return c.done, nil
}

// cleaner is one run of Clean.
type cleaner struct {
	*Publisher
	limit  *rate.Limiter
	now    observed
	before time.Time
	done   Cleaned
	// oldest is the first revision that is kept; version is that of its key.
	oldest  model.Revision
	version store.Version
}

// history removes the oldest revisions in order. What a revision uses goes before its history entry, so that an
// interrupted run is resumed at the same revision.
func (c *cleaner) history(ctx context.Context) error {
	if err := c.readOldest(ctx); err != nil {
		return err
	}
	first := c.oldest
	for c.oldest < c.now.head.Revision {
		next, err := c.headAt(ctx, c.oldest+1, c.now)
		var missing *store.NotFoundError
		if errors.As(err, &missing) {
			// A former run removed this revision and the next one, and ended before it wrote its progress.
			c.oldest++
			continue
		}
		if err != nil {
			return err
		}
		if next.At.After(c.before) {
			break
		}
		if err := c.revision(ctx, c.oldest, next); err != nil {
			return err
		}
		c.oldest++
		if (c.oldest-first)%markEvery == 0 {
			if err := c.writeOldest(ctx); err != nil {
				return err
			}
		}
	}
	if c.oldest == first {
		return nil
	}
	return c.writeOldest(ctx)
}

// revision removes one revision, which next replaced.
func (c *cleaner) revision(ctx context.Context, rev model.Revision, next head) error {
	entry, err := read(ctx, c.Store, historyKey(rev), c.now.seen)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	rec, version, err := c.readRecord(ctx, h.ChangeID, c.now.seen)
	if err != nil {
		return err
	}
	unused := h.hashes()
	if rec != nil && rec.Target == rev {
		unused = append(unused, rec.Segments...)
	}
	if err := c.segments(ctx, unused, next); err != nil {
		return err
	}
	if rec != nil && rec.Target == rev {
		if err := c.remove(ctx, changeKey(h.ChangeID), version, &c.done.Changes); err != nil {
			return err
		}
	}
	return c.remove(ctx, historyKey(rev), entry.Version, &c.done.Revisions)
}

// segments removes the segments that a head does not use.
func (c *cleaner) segments(ctx context.Context, hashes []string, except head) error {
	used := except.hashes()
	for _, hash := range slices.Compact(slices.Sorted(slices.Values(hashes))) {
		if slices.Contains(used, hash) {
			continue
		}
		if err := c.remove(ctx, segmentPrefix+hash, immutable, &c.done.Segments); err != nil {
			return err
		}
	}
	return nil
}

// changes removes the records of changes that never took effect. The history below oldest is gone together with the
// records of its changes, so a record with a target there belongs to no revision.
func (c *cleaner) changes(ctx context.Context) error {
	for _, start := range nameStarts {
		listing, err := c.Store.List(ctx, changePrefix+string(start))
		if err != nil {
			return eris.Wrap(err, "listing change records")
		}
		for _, entry := range listing.Entries {
			var rec record
			if err := json.Unmarshal(entry.Value, &rec); err != nil {
				return eris.Wrapf(err, "decoding change record %s", entry.Key)
			}
			if rec.Target >= c.oldest || rec.At.After(c.before) {
				continue
			}
			// The record goes first: its version proves that no publication has taken it up again.
			if err := c.remove(ctx, entry.Key, entry.Version, &c.done.Changes); err != nil {
				return err
			}
			if err := c.segments(ctx, rec.Segments, head{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// remove deletes a key; one that is gone already is no error.
func (c *cleaner) remove(ctx context.Context, key string, version store.Version, count *int) error {
	if err := c.limit.Wait(ctx); err != nil {
		return eris.Wrapf(err, "waiting to delete %s", key)
	}
	err := again(ctx, func() error { return c.Store.Delete(ctx, key, version) })
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return eris.Wrapf(err, "deleting %s", key)
	}
	*count++
	return nil
}

func (c *cleaner) readOldest(ctx context.Context) error {
	c.oldest, c.version = 1, 0
	entry, err := read(ctx, c.Store, oldestKey, c.now.seen)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	revision, err := strconv.ParseUint(string(entry.Value), 10, 64)
	if err != nil {
		return eris.Wrapf(err, "decoding %s", oldestKey)
	}
	c.oldest, c.version = model.Revision(revision), entry.Version
	return nil
}

func (c *cleaner) writeOldest(ctx context.Context) error {
	value := []byte(strconv.FormatUint(uint64(c.oldest), 10))
	entry, err := c.Store.Put(ctx, oldestKey, value, c.version, 0)
	if err != nil {
		return eris.Wrapf(err, "writing %s", oldestKey)
	}
	c.version = entry.Version
	return nil
}
