package claim

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
)

// retry reads the claim and writes its last state when it is not there yet. It returns an error only when the store is
// unavailable and the claim has writes left.
func (c *Claim) retry(ctx context.Context, last *record) error {
	if last == nil {
		released := c.released()
		last = &released
	}
	value, err := last.encode()
	if err != nil {
		c.abandon(err)
		return nil
	}
	current, err := c.book.Store.Get(ctx, c.key, c.revision)
	var gone *store.NotFoundError
	if err != nil && !errors.As(err, &gone) {
		return err
	}
	if again, err := c.match(ctx, current, *last); !again {
		c.finishRetry(last, err)
		return err
	}
	for c.writes < MaxWrites {
		again, err := c.settle(ctx, *last, value)
		if !again {
			c.finishRetry(last, err)
			return nil
		}
		if unavailable(err) {
			return err
		}
	}
	c.abandon(eris.New("no writes left"))
	return nil
}

// match takes over version and lease of the entry that is there; it reports false when nothing is left to do.
func (c *Claim) match(ctx context.Context, current store.Entry, last record) (bool, error) {
	found, err := decode(current)
	switch {
	case err != nil:
		return false, err
	case found.Nonce == c.record.Nonce && current.Version > 0:
		return c.reconcile(current, last)
	case last.State == stateDone:
		return false, &LostError{Key: c.key}
	case found.State != stateReleased:
		return false, nil // Another holder has the id.
	}
	// The create may still be under way; a newer entry of a released claim makes it fail.
	c.version, c.lease = current.Version, current.Lease
	if c.lease == 0 {
		c.lease, err = c.book.lease(ctx)
	}
	return err == nil, err
}

func (c *Claim) finishRetry(last *record, err error) {
	if err == nil {
		c.book.countEnd(last.State, c.writes)
		return
	}
	if !unavailable(err) {
		c.abandon(err)
	}
}

func (c *Claim) abandon(err error) {
	c.book.Log.Error().Err(err).Str("key", c.key).Msg("claim: end is not recorded, duplicates stay in doubt")
	c.book.countEnd("abandoned", c.writes)
}
