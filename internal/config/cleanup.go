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
	// DefaultRetention is how long a revision is kept after it was replaced.
	DefaultRetention = 30 * 24 * time.Hour
	// CleanupDeletesPerSecond is the limit of deletes per second, which leaves the store's capacity to other users.
	CleanupDeletesPerSecond = 5
	// progressInterval is the number of removed revisions after which the progress is written.
	progressInterval = 50
	// createdVersion is the store version of a key that was never overwritten.
	createdVersion store.Version = 1
	// changeIDInitials holds the possible first characters of change ids; change records are listed by initial.
	changeIDInitials = "abcdefghijklmnopqrstuvwxyz0123456789"
)

// CleanupCounts counts the keys that DeleteExpired removed.
type CleanupCounts struct {
	Revisions, Segments, Changes int
}

// DeleteExpired removes history entries, segments and change records that are used neither by the head nor by a revision replaced
// less than keep ago; 0 means DefaultRetention. Each delete waits for limit. Only one instance may run it at a time. After an error,
// the returned counts hold what was removed before it.
func (p *Publisher) DeleteExpired(ctx context.Context, keep time.Duration, limit *rate.Limiter) (CleanupCounts, error) {
	newest, err := p.readNewestHead(ctx)
	if err != nil {
		return CleanupCounts{}, err
	}
	c := &cleaner{Publisher: p, limit: limit, newest: newest, cutoff: p.wall().Add(-cmp.Or(keep, DefaultRetention))}
	if err := c.removeOldRevisions(ctx); err != nil {
		return c.removed, eris.Wrap(err, "cleaning history")
	}
	if err := c.removeAbandonedChanges(ctx); err != nil {
		return c.removed, eris.Wrap(err, "cleaning change records")
	}
	return c.removed, nil
}

// cleaner holds the state of one call of DeleteExpired.
type cleaner struct {
	*Publisher
	limit   *rate.Limiter
	newest  observedHead
	cutoff  time.Time // revisions replaced after this time are kept
	removed CleanupCounts
	// oldest is the first revision that is kept; oldestVersion is the store version of oldestKey.
	oldest        model.Revision
	oldestVersion store.Version
}

// removeOldRevisions removes revisions from the oldest on. The history entry of a revision is deleted last, so that an
// interrupted run resumes at the same revision.
func (c *cleaner) removeOldRevisions(ctx context.Context) error {
	if err := c.readOldest(ctx); err != nil {
		return err
	}
	first := c.oldest
	for c.oldest < c.newest.head.Revision {
		next, err := c.headAt(ctx, c.oldest+1, c.newest)
		var missing *store.NotFoundError
		if errors.As(err, &missing) {
			// An earlier run removed this revision and the next one, but ended before it wrote its progress.
			c.oldest++
			continue
		}
		if err != nil {
			return err
		}
		if next.At.After(c.cutoff) {
			break
		}
		if err := c.removeRevision(ctx, c.oldest, next); err != nil {
			return err
		}
		c.oldest++
		if (c.oldest-first)%progressInterval == 0 {
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

// removeRevision removes one revision, which was replaced by next.
func (c *cleaner) removeRevision(ctx context.Context, rev model.Revision, next head) error {
	entry, err := readAtLeast(ctx, c.Store, historyKey(rev), c.newest.seen)
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
	rec, version, err := c.readRecord(ctx, h.ChangeID, c.newest.seen)
	if err != nil {
		return err
	}
	unused := h.hashes()
	if rec != nil && rec.Target == rev {
		unused = append(unused, rec.Segments...)
	}
	if err := c.removeSegments(ctx, unused, next); err != nil {
		return err
	}
	if rec != nil && rec.Target == rev {
		if err := c.deleteKey(ctx, changeKey(h.ChangeID), version, &c.removed.Changes); err != nil {
			return err
		}
	}
	return c.deleteKey(ctx, historyKey(rev), entry.Version, &c.removed.Revisions)
}

// removeSegments removes the segments that the head except does not use.
func (c *cleaner) removeSegments(ctx context.Context, hashes []string, except head) error {
	used := except.hashes()
	for _, hash := range slices.Compact(slices.Sorted(slices.Values(hashes))) {
		if slices.Contains(used, hash) {
			continue
		}
		if err := c.deleteKey(ctx, segmentPrefix+hash, createdVersion, &c.removed.Segments); err != nil {
			return err
		}
	}
	return nil
}

// removeAbandonedChanges removes the records of changes that never took effect. Revisions below oldest were removed together
// with their change records, so a remaining record with a target below oldest belongs to no revision.
func (c *cleaner) removeAbandonedChanges(ctx context.Context) error {
	for _, initial := range changeIDInitials {
		listing, err := c.Store.List(ctx, changePrefix+string(initial))
		if err != nil {
			return eris.Wrap(err, "listing change records")
		}
		for _, entry := range listing.Entries {
			var rec changeRecord
			if err := json.Unmarshal(entry.Value, &rec); err != nil {
				return eris.Wrapf(err, "decoding change record %s", entry.Key)
			}
			if rec.Target >= c.oldest || rec.At.After(c.cutoff) {
				continue
			}
			// The record is deleted first: its version proves that no publication has resumed the change.
			if err := c.deleteKey(ctx, entry.Key, entry.Version, &c.removed.Changes); err != nil {
				return err
			}
			if err := c.removeSegments(ctx, rec.Segments, head{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// deleteKey waits for the limiter, deletes a key at a version and increments count. A key that no longer exists is not an error and
// not counted.
func (c *cleaner) deleteKey(ctx context.Context, key string, version store.Version, count *int) error {
	if err := c.limit.Wait(ctx); err != nil {
		return eris.Wrapf(err, "waiting to delete %s", key)
	}
	err := retryTransient(ctx, func() error { return c.Store.Delete(ctx, key, version) })
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

// readOldest reads the progress of earlier runs; without any, the oldest revision is 1.
func (c *cleaner) readOldest(ctx context.Context) error {
	c.oldest, c.oldestVersion = 1, 0
	entry, err := readAtLeast(ctx, c.Store, oldestKey, c.newest.seen)
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
	c.oldest, c.oldestVersion = model.Revision(revision), entry.Version
	return nil
}

// writeOldest writes the progress, so that the next run starts at the first revision that is kept.
func (c *cleaner) writeOldest(ctx context.Context) error {
	value := []byte(strconv.FormatUint(uint64(c.oldest), 10))
	entry, err := c.Store.Put(ctx, oldestKey, value, c.oldestVersion, 0)
	if err != nil {
		return eris.Wrapf(err, "writing %s", oldestKey)
	}
	c.oldestVersion = entry.Version
	return nil
}
