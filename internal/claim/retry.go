package claim

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
)

// writePending reads the claim and writes its final state if that is missing. It returns an error only when the store is unavailable
// and the claim has writes left.
func (c *Claim) writePending(ctx context.Context, final *record) error {
	if final == nil {
		released := c.released()
		final = &released
	}
	value, err := final.encode()
	if err != nil {
		c.abandon(err)
		return nil
	}
	current, err := c.registry.Store.Get(ctx, c.key, c.revision)
	var notFound *store.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	if retryable, err := c.adoptEntry(ctx, current, *final); !retryable {
		c.finishRetry(final, err)
		return err
	}
	for c.writes < MaxWrites {
		retryable, err := c.writeEnd(ctx, *final, value)
		if !retryable {
			c.finishRetry(final, err)
			return nil
		}
		if isUnavailable(err) {
			return err
		}
	}
	c.abandon(eris.New("no writes left"))
	return nil
}

// adoptEntry takes over the version and the lease of the stored entry; it reports false when nothing is left to write.
func (c *Claim) adoptEntry(ctx context.Context, current store.Entry, final record) (bool, error) {
	found, err := decodeRecord(current)
	switch {
	case err != nil:
		return false, err
	case found.Nonce == c.record.Nonce && current.Version > 0:
		return c.reconcile(current, final)
	case final.State == stateDone:
		return false, &LostError{Key: c.key}
	case found.State != stateReleased:
		return false, nil // Another holder has the id.
	}
	// The create may still be in flight; overwriting the entry as released makes it fail.
	c.version, c.lease = current.Version, current.Lease
	if c.lease == 0 {
		c.lease, err = c.registry.lease(ctx)
	}
	return err == nil, err
}

// finishRetry counts the end of a claim or abandons it, unless the store is unavailable and another retry follows.
func (c *Claim) finishRetry(final *record, err error) {
	if err == nil {
		c.registry.countEnd(final.State, c.writes)
		return
	}
	if !isUnavailable(err) {
		c.abandon(err)
	}
}

// abandon logs and counts a claim whose final state cannot be written.
func (c *Claim) abandon(err error) {
	c.registry.Log.Error().Err(err).Str("key", c.key).Msg("claim: recording the final state failed; duplicates stay in doubt")
	c.registry.countEnd("abandoned", c.writes)
}
