package claim

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
)

// EndedError reports a claim that was finished or released before.
type EndedError struct{ Key string }

// Error names the claim's key.
func (e *EndedError) Error() string { return fmt.Sprintf("claim %q has already ended", e.Key) }

// LostError reports a claim whose entry is no longer there, such as after its 26 hours.
type LostError struct{ Key string }

// Error names the claim's key.
func (e *LostError) Error() string { return fmt.Sprintf("claim %q is no longer in the store", e.Key) }

// Finish stores the outcome for duplicates. When the store cannot be reached it returns the error, and Run writes the outcome
// later.
func (c *Claim) Finish(ctx context.Context, o Outcome) error {
	done := c.record
	done.State = stateDone
	done.Outcome, done.Reason, done.Status, done.ContentType = o.Outcome, o.Reason, o.Status, o.ContentType
	if len(o.Body) <= MaxBodyBytes {
		done.Body, done.BodyKept = o.Body, true
	}
	return c.end(ctx, done)
}

// Release makes the id usable again. It may be called only when nothing was sent. When the store cannot be reached it returns
// the error, and Run releases the claim later.
func (c *Claim) Release(ctx context.Context) error {
	return c.end(ctx, c.released())
}

func (c *Claim) released() record { return record{State: stateReleased, Nonce: c.record.Nonce} }

func (c *Claim) end(ctx context.Context, last record) error {
	c.mu.Lock()
	ended := c.ended
	c.ended = true
	c.mu.Unlock()
	if ended {
		return &EndedError{Key: c.key}
	}
	value, err := last.encode()
	if err != nil {
		return err
	}
	for range writeTries {
		var again bool
		if again, err = c.settle(ctx, last, value); !again {
			break
		}
	}
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		c.book.later(c, &last)
	} else {
		c.book.countEnd(last.State, c.writes)
	}
	if err != nil {
		return eris.Wrapf(err, "ending claim %q as %s", c.key, last.State)
	}
	return nil
}

// settle writes the last state once; again is true when another try may succeed.
func (c *Claim) settle(ctx context.Context, last record, value []byte) (again bool, err error) {
	entry, err := c.write(ctx, string(last.State), value)
	var conflict *store.ConflictError
	var gone *store.NotFoundError
	switch {
	case err == nil:
		c.version = entry.Version
		return false, nil
	case errors.As(err, &conflict):
		return c.reconcile(conflict.Current, last)
	case errors.As(err, &gone):
		return false, &LostError{Key: c.key}
	default:
		return true, err
	}
}

// reconcile compares the entry that is there with the one that was to be written.
func (c *Claim) reconcile(current store.Entry, last record) (again bool, err error) {
	found, err := decode(current)
	switch {
	case err != nil:
		return false, err
	case found.Nonce != c.record.Nonce || current.Version == 0:
		return false, &LostError{Key: c.key}
	case found.State == last.State:
		return false, nil // The answer to an earlier write was lost.
	default:
		c.version, c.lease = current.Version, current.Lease
		return true, &LostError{Key: c.key}
	}
}

func (b *Book) countEnd(end state, writes int) {
	b.init()
	if b.perID != nil {
		b.perID.WithLabelValues(string(end), strconv.Itoa(writes)).Inc()
	}
}
