package config

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Timeouts and retry limits of a publication.
const (
	// DefaultTimeout bounds one publication including all retries.
	DefaultTimeout = 10 * time.Second
	// maxAttempts bounds how often a change is applied to a newer head that does not conflict with it.
	maxAttempts = 20
	// initialRetryDelay is the delay before the first retry of a store call; it doubles with each retry up to maxRetryDelay.
	initialRetryDelay = 25 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Change holds the objects to put and to delete in one publication, which is applied atomically.
type Change struct {
	ID model.ChangeID
	// Base is the revision that the change is based on; 0 is the empty configuration.
	Base   model.Revision
	Put    []model.Object
	Delete []model.Ref
	// DryRun checks the change and writes nothing.
	DryRun bool
	// Operator is the name of the operator who made the change.
	Operator string
}

// Result describes a change that took effect or, for a dry run, that would take effect.
type Result struct {
	ChangeID model.ChangeID `json:"change-id"`
	Revision model.Revision `json:"revision"`
	// Already is true when an earlier publication of the same change took effect.
	Already  bool        `json:"already,omitempty"`
	Changed  []model.Ref `json:"changed,omitempty"`
	Warnings []string    `json:"warnings,omitempty"`
}

// Publisher publishes changes by replacing the head. Its exported fields must be set before use; its methods are safe for concurrent
// use.
type Publisher struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	Store   *store.Client
	// Follower is notified of published revisions and supplies the store revision for reads and cached segments; it may be nil.
	Follower *Follower
	// Check returns additional problems of a set, such as guarantees that cannot be bound; nil means no additional check.
	Check func(*model.Set) []model.Problem
	// MaybeApplied reports whether a failed write of the head may have taken effect; nil decides by the store's error.
	MaybeApplied func(error) bool
	// OnPublished receives each publication and its outcome for the audit log; nil records nothing.
	OnPublished func(Change, Result, *reply.Error)
	// Timeout bounds one publication; 0 means DefaultTimeout.
	Timeout time.Duration
	// Wall is the clock for times in stored records; nil means time.Now.
	Wall func() time.Time
}

// LookupChange returns the result of a published change. It returns not-found when the change has certainly not taken effect so far,
// and in-doubt while its publication may still be in progress or the store cannot be read.
func (p *Publisher) LookupChange(ctx context.Context, id model.ChangeID) (Result, *reply.Error) {
	if !model.ValidName(string(id)) {
		return Result{}, reply.Refused(reply.ReasonMalformed, "change id %q is not in kebab case", id)
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.Timeout, DefaultTimeout))
	defer cancel()
	newest, err := p.readNewestHead(ctx)
	if err != nil {
		return Result{}, inDoubtError(id, err)
	}
	rec, _, err := p.readRecord(ctx, id, newest.seen)
	if err != nil {
		return Result{}, inDoubtError(id, err)
	}
	if rec == nil {
		return Result{}, reply.Refused(reply.ReasonNotFound, "change %q did not take effect: no publication of it got as far as the head", id)
	}
	if rec.Target > newest.head.Revision {
		// The record may be newer than the head that was read before it.
		if newest, err = p.readNewestHead(ctx); err != nil {
			return Result{}, inDoubtError(id, err)
		}
	}
	effectiveHead, found, err := p.effectiveHead(ctx, *rec, newest)
	switch {
	case err != nil:
		return Result{}, inDoubtError(id, err)
	case found:
		return Result{ChangeID: id, Revision: effectiveHead.Revision, Already: true, Changed: effectiveHead.Changed}, nil
	case rec.Target > newest.head.Revision:
		return Result{}, reply.Unknown(reply.ReasonInDoubt,
			"change %q may still take effect at revision %d; publish it again with the same id to settle it", id, rec.Target)
	default:
		return Result{}, reply.Refused(reply.ReasonNotFound, "change %q did not take effect: another change took revision %d", id, rec.Target)
	}
}

// ReadRevision returns the configuration of a revision; 0 means the newest. It returns not-found for revisions that do not exist or
// are no longer kept.
func (p *Publisher) ReadRevision(ctx context.Context, rev model.Revision) (*model.Set, *reply.Error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.Timeout, DefaultTimeout))
	defer cancel()
	newest, err := p.readNewestHead(ctx)
	if err != nil {
		return nil, unreadableError(err)
	}
	if rev == 0 && newest.head.Revision == 0 {
		return model.NewSet(), nil
	}
	set, err := p.setAt(ctx, rev, newest)
	var missing *store.NotFoundError
	var segment *MissingSegmentError
	switch {
	case errors.As(err, &missing), errors.As(err, &segment):
		return nil, reply.Refused(reply.ReasonNotFound, "revision %d does not exist or is no longer kept; the newest is %d",
			rev, newest.head.Revision)
	case err != nil:
		return nil, unreadableError(err)
	}
	return set, nil
}

// unreadableError returns the answer for a failed read of the store; nothing was written.
func unreadableError(err error) *reply.Error {
	refused := reply.Refused(reply.ReasonStoreUnavailable, "configuration cannot be read: %v", err)
	refused.RetryAfter = model.Duration(time.Second)
	return refused
}

// inDoubtError returns the answer when the store cannot be read to find out whether a change took effect.
func inDoubtError(id model.ChangeID, err error) *reply.Error {
	unknown := reply.Unknown(reply.ReasonInDoubt, "it cannot be read whether change %q took effect: %v", id, err)
	unknown.RetryAfter = model.Duration(time.Second)
	return unknown
}

// wall returns the time for stored records, in UTC.
func (p *Publisher) wall() time.Time {
	if p.Wall != nil {
		return p.Wall().UTC()
	}
	return time.Now().UTC()
}

// maybeApplied reports whether a failed write of the head may have taken effect.
func (p *Publisher) maybeApplied(err error) bool {
	if p.MaybeApplied != nil {
		return p.MaybeApplied(err)
	}
	var unavailable *store.UnavailableError
	return !errors.As(err, &unavailable) || unavailable.MaybeApplied
}
