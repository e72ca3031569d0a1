package claim

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
)

// EndedError reports a second call of Finish or Release on a claim.
type EndedError struct{ Key string }

// Error names the claim's key.
func (e *EndedError) Error() string { return fmt.Sprintf("claim %q has already ended", e.Key) }

// LostError reports a claim whose entry is no longer in the store, for example because its lease expired after 26 hours.
type LostError struct{ Key string }

// Error names the claim's key.
func (e *LostError) Error() string { return fmt.Sprintf("claim %q is no longer in the store", e.Key) }

// Finish stores the outcome for duplicates. When the store is unavailable, Finish returns the error and Run writes the outcome
// later.
func (c *Claim) Finish(ctx context.Context, o Outcome) error {
	done := c.record
	done.State = stateDone
	done.Outcome, done.Reason, done.Status, done.ContentType = o.Outcome, o.Reason, o.Status, o.ContentType
	if len(o.Body) <= MaxBodyBytes {
		done.Body, done.BodyKept = o.Body, true
	}
	return c.endWith(ctx, done)
}

// Release makes the id usable again. It may be called only when the request was not sent. When the store is unavailable, Release
// returns the error and Run releases the claim later.
func (c *Claim) Release(ctx context.Context) error {
	return c.endWith(ctx, c.released())
}

// released returns the final state of a claim whose request was not sent.
func (c *Claim) released() record { return record{State: stateReleased, Nonce: c.record.Nonce} }

// endWith writes the final state, or leaves it to Run when the store is unavailable.
func (c *Claim) endWith(ctx context.Context, final record) error {
	c.mu.Lock()
	ended := c.ended
	c.ended = true
	c.mu.Unlock()
	if ended {
		return &EndedError{Key: c.key}
	}
	value, err := final.encode()
	if err != nil {
		return err
	}
	for range writeAttempts {
		var retryable bool
		if retryable, err = c.writeEnd(ctx, final, value); !retryable {
			break
		}
	}
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		c.registry.deferEnd(c, &final)
	} else {
		c.registry.countEnd(final.State, c.writes)
	}
	if err != nil {
		return eris.Wrapf(err, "ending claim %q as %s", c.key, final.State)
	}
	return nil
}

// writeEnd writes the final state once; retryable means that another attempt may succeed.
func (c *Claim) writeEnd(ctx context.Context, final record, value []byte) (retryable bool, err error) {
	entry, err := c.putEntry(ctx, string(final.State), value)
	var conflict *store.ConflictError
	var notFound *store.NotFoundError
	switch {
	case err == nil:
		c.version = entry.Version
		return false, nil
	case errors.As(err, &conflict):
		return c.reconcile(conflict.Current, final)
	case errors.As(err, &notFound):
		return false, &LostError{Key: c.key}
	default:
		return true, err
	}
}

// reconcile compares the stored entry with the final state. If this claim still has another state, it takes over the version and
// the lease of the entry for another attempt.
func (c *Claim) reconcile(current store.Entry, final record) (retryable bool, err error) {
	found, err := decodeRecord(current)
	switch {
	case err != nil:
		return false, err
	case found.Nonce != c.record.Nonce || current.Version == 0:
		return false, &LostError{Key: c.key}
	case found.State == final.State:
		return false, nil // The answer to an earlier write was lost.
	default:
		c.version, c.lease = current.Version, current.Lease
		return true, &LostError{Key: c.key}
	}
}

func (r *Registry) countEnd(end state, writes int) {
	r.lazyInit()
	if r.endCounter != nil {
		r.endCounter.WithLabelValues(string(end), strconv.Itoa(writes)).Inc()
	}
}
