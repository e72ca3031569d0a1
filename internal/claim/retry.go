package claim

import (
	"context"
	"errors"

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
	current, err := c.book.Store.Get(ctx, c.key, 0)
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
	c.abandon(errors.New("no writes left"))
	return nil
}

// match takes over version and lease of the entry that is there; it reports false when nothing is left to do.
func (c *Claim) match(ctx context.Context, current store.Entry, last record) (bool, error) {
	if current.Version > 0 {
		return c.reconcile(current, last)
	}
	if last.State != stateReleased {
		return false, &LostError{Key: c.key}
	}
	// The create may still be under way; the entry of a released claim makes it fail.
	id, err := c.book.lease(ctx)
	if err != nil {
		return false, err
	}
	c.version, c.lease = 0, id
	return true, nil
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
