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
// the same id; or an error. An error with outcome refused guarantees that this call has not led to a run. When another holder
// has the claim, Begin waits for its outcome until ctx ends.
func (r *Registry) Begin(
	ctx context.Context, key Key, class model.RequestClassID, bodyDigest uint64,
) (*Claim, *Outcome, *reply.Error) {
	if err := key.validate(); err != nil {
		return nil, nil, err
	}
	c := &Claim{registry: r, key: key.String(), record: r.newRecord(class, bodyDigest)}
	for range beginRounds {
		found, err := c.create(ctx)
		if err != nil {
			return nil, nil, reply.Refused(reply.ReasonStoreUnavailable, "claim of request %q: %v", key.Request, err)
		}
		if found == nil {
			return c, nil, nil
		}
		freeEntry, outcome, problem := r.awaitOutcome(ctx, c, *found)
		if problem != nil || outcome != nil {
			return nil, outcome, problem
		}
		c.version = freeEntry.Version
		if ctx.Err() != nil {
			return nil, nil, reply.Refused(reply.ReasonDeadlinePast, "time ran out before request %q was claimed", key.Request)
		}
	}
	return nil, nil, reply.Refused(reply.ReasonDuplicate, "others claim and release request %q at the same time", key.Request)
}

// create writes the claim. It returns the entry of another holder if there is one. After an error the claim is never used; if a
// write may still have been applied, Run releases it.
func (c *Claim) create(ctx context.Context) (*store.Entry, error) {
	value, err := c.record.encode()
	if err != nil {
		return nil, err
	}
	var maybeApplied error
	for range writeAttempts {
		var found *store.Entry
		var retryable bool
		found, retryable, err = c.createOnce(ctx, value)
		if err == nil {
			return found, nil
		}
		var unavailable *store.UnavailableError
		if errors.As(err, &unavailable) && unavailable.MaybeApplied {
			maybeApplied = err
		}
		if !retryable || ctx.Err() != nil {
			break
		}
	}
	if maybeApplied == nil {
		return nil, err
	}
	c.registry.deferEnd(c, nil)
	return nil, maybeApplied
}

// createOnce writes the claim once; retryable means that another attempt may succeed.
func (c *Claim) createOnce(ctx context.Context, value []byte) (found *store.Entry, retryable bool, err error) {
	c.lease, err = c.registry.lease(ctx)
	if err != nil {
		return nil, false, err
	}
	entry, err := c.putEntry(ctx, "create", value)
	var conflict *store.ConflictError
	var notFound *store.NotFoundError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		c.version, c.revision = entry.Version, entry.Modified
		return nil, false, nil
	case errors.As(err, &conflict):
		return c.resolveConflict(conflict.Current), false, nil
	case errors.As(err, &notFound):
		return nil, true, errors.Join(err, c.registry.leases.Drop(ctx, c.lease))
	default:
		return nil, errors.As(err, &unavailable) && unavailable.MaybeApplied, err
	}
}

// resolveConflict returns nil when the conflicting entry is this claim itself, written by a call whose answer was lost. Otherwise it
// returns the entry.
func (c *Claim) resolveConflict(current store.Entry) *store.Entry {
	found, err := decodeRecord(current)
	if err != nil || found.Nonce != c.record.Nonce || found.State != stateClaimed {
		return &current
	}
	c.version, c.revision, c.lease = current.Version, current.Modified, current.Lease
	return nil
}

// putEntry writes the claim's entry once, by compare-and-swap on its last known version, and counts the write under op.
func (c *Claim) putEntry(ctx context.Context, op string, value []byte) (store.Entry, error) {
	c.writes++
	put := c.registry.Store.Put
	if op == "create" && c.registry.PutClaim != nil {
		put = c.registry.PutClaim
	}
	entry, err := put(ctx, c.key, value, c.version, c.lease)
	c.registry.countWrite(op, err)
	return entry, err
}

// awaitOutcome watches another holder's claim until that has ended or ctx ends. With neither an outcome nor an error, the id is free
// and the returned entry holds the version to overwrite.
func (r *Registry) awaitOutcome(ctx context.Context, c *Claim, entry store.Entry) (store.Entry, *Outcome, *reply.Error) {
	for {
		found, err := decodeRecord(entry)
		if err != nil {
			return entry, nil, r.inDoubt(err.Error())
		}
		if found.State == stateReleased {
			return entry, nil, nil
		}
		if found.Digest != c.record.Digest || found.Class != c.record.Class {
			return entry, nil, reply.Refused(reply.ReasonIDReused, "the id was used for another request of class %q", found.Class)
		}
		if found.State == stateDone {
			return r.storedOutcome(entry, found)
		}
		if r.holderGone(found) {
			return entry, nil, r.inDoubt(fmt.Sprintf("instance %q ended while it held the request, which may have run", found.Instance))
		}
		nextEntry, err := r.nextEntry(ctx, entry)
		if err != nil {
			return entry, nil, r.inDoubt(fmt.Sprintf("instance %q holds the request, which may have run", found.Instance))
		}
		entry = nextEntry
	}
}

// storedOutcome converts the record of a request that has ended.
func (r *Registry) storedOutcome(entry store.Entry, found record) (store.Entry, *Outcome, *reply.Error) {
	if !found.BodyKept {
		return entry, nil, r.inDoubt("the request ran once and its answer is no longer held")
	}
	return entry, &Outcome{
		Outcome: found.Outcome, Reason: found.Reason, Status: found.Status, ContentType: found.ContentType,
		Body: found.Body, BodyKept: true,
	}, nil
}

// holderGone reports whether the process that holds the claim has ended.
func (r *Registry) holderGone(found record) bool {
	if found.Instance == r.Instance {
		return found.Incarnation != r.Incarnation
	}
	return r.ProcessEnded != nil && r.ProcessEnded(found.Instance, found.Incarnation)
}

// inDoubt returns the error for a request that may have run.
func (r *Registry) inDoubt(message string) *reply.Error {
	if r.InDoubtError != nil {
		return r.InDoubtError(message)
	}
	return reply.Unknown(reply.ReasonInDoubt, "%s", message)
}
