package claim

import (
	"context"
	"errors"
	"fmt"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Begin claims a request before it is sent. Exactly one result is non-nil: the claim; the outcome of an earlier request with
// the same id; or an error. An error with outcome refused proves that nothing was sent under the id by this call. Begin waits
// until ctx ends for the outcome of another holder.
func (b *Book) Begin(
	ctx context.Context, key Key, class model.RequestClassID, bodyDigest uint64,
) (*Claim, *Outcome, *reply.Error) {
	if err := key.check(); err != nil {
		return nil, nil, err
	}
	c := &Claim{book: b, key: key.String(), record: b.newRecord(class, bodyDigest)}
	for range beginRounds {
		found, err := c.create(ctx)
		if err != nil {
			return nil, nil, reply.Refused(reply.ReasonStoreUnavailable, "claim of request %q: %v", key.Request, err)
		}
		if found == nil {
			return c, nil, nil
		}
		ended, outcome, problem := b.await(ctx, c, *found)
		if problem != nil || outcome != nil {
			return nil, outcome, problem
		}
		c.version = ended.Version
		if ctx.Err() != nil {
			return nil, nil, reply.Refused(reply.ReasonDeadlinePast, "time ran out before request %q was claimed", key.Request)
		}
	}
	return nil, nil, reply.Refused(reply.ReasonDuplicate, "others claim and release request %q at the same time", key.Request)
}

// create writes the claim. It returns the entry of another holder, or an error that proves that the claim is not used.
func (c *Claim) create(ctx context.Context) (*store.Entry, error) {
	value, err := c.record.encode()
	if err != nil {
		return nil, err
	}
	var doubt error
	for range writeTries {
		var found *store.Entry
		var again bool
		found, again, err = c.tryCreate(ctx, value)
		if err == nil {
			return found, nil
		}
		var unavailable *store.UnavailableError
		if errors.As(err, &unavailable) && unavailable.MaybeApplied {
			doubt = err
		}
		if !again || ctx.Err() != nil {
			break
		}
	}
	if doubt == nil {
		return nil, err
	}
	c.book.later(c, nil)
	return nil, doubt
}

// tryCreate writes the claim once; again is true when another try may succeed.
func (c *Claim) tryCreate(ctx context.Context, value []byte) (found *store.Entry, again bool, err error) {
	c.lease, err = c.book.lease(ctx)
	if err != nil {
		return nil, false, err
	}
	entry, err := c.write(ctx, "create", value)
	var conflict *store.ConflictError
	var gone *store.NotFoundError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		c.version, c.revision = entry.Version, entry.Modified
		return nil, false, nil
	case errors.As(err, &conflict):
		return c.compare(conflict.Current), false, nil
	case errors.As(err, &gone):
		c.book.dropLease(c.lease)
		return nil, true, err
	default:
		return nil, errors.As(err, &unavailable) && unavailable.MaybeApplied, err
	}
}

// compare returns nil when the entry that a conflict showed is this claim, written by a call whose answer was lost.
func (c *Claim) compare(current store.Entry) *store.Entry {
	found, err := decode(current)
	if err != nil || found.Nonce != c.record.Nonce || found.State != stateClaimed {
		return &current
	}
	c.version, c.revision, c.lease = current.Version, current.Modified, current.Lease
	return nil
}

func (c *Claim) write(ctx context.Context, op string, value []byte) (store.Entry, error) {
	c.writes++
	put := c.book.Store.Put
	if op == "create" && c.book.Write != nil {
		put = c.book.Write
	}
	entry, err := put(ctx, c.key, value, c.version, c.lease)
	c.book.countWrite(op, err)
	return entry, err
}

// await follows another holder's claim until it ends or ctx does. It returns the entry when the id may be used again.
func (b *Book) await(ctx context.Context, c *Claim, entry store.Entry) (store.Entry, *Outcome, *reply.Error) {
	for {
		found, err := decode(entry)
		if err != nil {
			return entry, nil, b.doubt(err.Error())
		}
		if found.State == stateReleased {
			return entry, nil, nil
		}
		if found.Digest != c.record.Digest || found.Class != c.record.Class {
			return entry, nil, reply.Refused(reply.ReasonIDReused, "the id was used for another request of class %q", found.Class)
		}
		if found.State == stateDone {
			return b.stored(entry, found)
		}
		if b.dead(found) {
			return entry, nil, b.doubt(fmt.Sprintf("instance %q ended while it held the request, which may have run", found.Instance))
		}
		next, err := b.next(ctx, entry)
		if err != nil {
			return entry, nil, b.doubt(fmt.Sprintf("instance %q holds the request, which may have run", found.Instance))
		}
		entry = next
	}
}

func (b *Book) stored(entry store.Entry, found record) (store.Entry, *Outcome, *reply.Error) {
	if !found.BodyKept {
		return entry, nil, b.doubt("the request ran once and its answer is no longer held")
	}
	return entry, &Outcome{
		Outcome: found.Outcome, Reason: found.Reason, Status: found.Status, ContentType: found.ContentType,
		Body: found.Body, BodyKept: true,
	}, nil
}

func (b *Book) dead(found record) bool {
	if found.Instance == b.Instance {
		return found.Incarnation != b.Incarnation
	}
	return b.Dead != nil && b.Dead(found.Instance, found.Incarnation)
}

func (b *Book) doubt(message string) *reply.Error {
	if b.Doubt != nil {
		return b.Doubt(message)
	}
	return reply.Unknown(reply.ReasonInDoubt, "%s", message)
}
