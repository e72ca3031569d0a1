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

// Limits of a publication.
const (
	// DefaultTimeout bounds one publication with all its repetitions.
	DefaultTimeout = 10 * time.Second
	// maxAttempts bounds how often a change is applied to a newer head that does not conflict with it.
	maxAttempts = 20
	// retryPause is the first pause before a store call is repeated; it doubles up to maxRetryPause.
	retryPause    = 25 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// Change is one publication: objects to put and to delete, applied whole or not at all.
type Change struct {
	ID model.ChangeID
	// Base is the revision that the change was made from; 0 is the empty configuration.
	Base   model.Revision
	Put    []model.Object
	Delete []model.Ref
	// DryRun checks the change and writes nothing.
	DryRun bool
	// By names the operator.
	By string
}

// Result describes a change that took effect, or that would for a dry run.
type Result struct {
	ChangeID model.ChangeID `json:"change-id"`
	Revision model.Revision `json:"revision"`
	// Already is true when an earlier publication of the same change took effect.
	Already  bool        `json:"already,omitempty"`
	Changed  []model.Ref `json:"changed,omitempty"`
	Warnings []string    `json:"warnings,omitempty"`
}

// Publisher changes the head; it may be used concurrently.
type Publisher struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	Store   *store.Client
	// Follower is told of published revisions and proves reads current; nil is allowed.
	Follower *Follower
	// Check returns further problems of a set, such as guarantees that cannot be bound; nil checks nothing.
	Check func(*model.Set) []model.Problem
	// MaybeApplied tells whether a failed write of the head may have taken effect; nil asks the store's error.
	MaybeApplied func(error) bool
	// Record receives each publication and its outcome, for the record of decisions; nil records nothing.
	Record func(Change, Result, *reply.Error)
	// Timeout bounds one publication; 0 means DefaultTimeout.
	Timeout time.Duration
	// Wall is the clock of the times in records; nil means time.Now.
	Wall func() time.Time
}

// Lookup returns the result of a published change. It returns not-found when the change has certainly not taken effect
// by the time of the answer, and in-doubt while its publication may still be under way or the store cannot be read.
func (p *Publisher) Lookup(ctx context.Context, id model.ChangeID) (Result, *reply.Error) {
	if !model.ValidName(string(id)) {
		return Result{}, reply.Refused(reply.ReasonMalformed, "change id %q is not in kebab case", id)
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.Timeout, DefaultTimeout))
	defer cancel()
	now, err := p.newest(ctx)
	if err != nil {
		return Result{}, doubtful(id, err)
	}
	rec, _, err := p.readRecord(ctx, id, now.seen)
	if err != nil {
		return Result{}, doubtful(id, err)
	}
	if rec == nil {
		return Result{}, reply.Refused(reply.ReasonNotFound, "change %q did not take effect: no publication of it got as far as the head", id)
	}
	if rec.Target > now.head.Revision {
		// The record may be newer than the head that was read before it.
		if now, err = p.newest(ctx); err != nil {
			return Result{}, doubtful(id, err)
		}
	}
	effect, found, err := p.effect(ctx, *rec, now)
	switch {
	case err != nil:
		return Result{}, doubtful(id, err)
	case found:
		return Result{ChangeID: id, Revision: effect.Revision, Already: true, Changed: effect.Changed}, nil
	case rec.Target > now.head.Revision:
		return Result{}, reply.Unknown(reply.ReasonInDoubt,
			"change %q may still take effect at revision %d; publish it again with the same id to settle it", id, rec.Target)
	default:
		return Result{}, reply.Refused(reply.ReasonNotFound, "change %q did not take effect: another change took revision %d", id, rec.Target)
	}
}

// At returns the configuration of a revision; 0 means the newest. It returns not-found for revisions that do not exist or
// are no longer kept.
func (p *Publisher) At(ctx context.Context, rev model.Revision) (*model.Set, *reply.Error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.Timeout, DefaultTimeout))
	defer cancel()
	now, err := p.newest(ctx)
	if err != nil {
		return nil, unreadable(err)
	}
	if rev == 0 && now.head.Revision == 0 {
		return model.NewSet(), nil
	}
	set, err := p.setAt(ctx, rev, now)
	var missing *store.NotFoundError
	var segment *MissingSegmentError
	switch {
	case errors.As(err, &missing), errors.As(err, &segment):
		return nil, reply.Refused(reply.ReasonNotFound, "revision %d does not exist or is no longer kept; the newest is %d", rev, now.head.Revision)
	case err != nil:
		return nil, unreadable(err)
	}
	return set, nil
}

// unreadable is the answer when the store could not be read; nothing was written.
func unreadable(err error) *reply.Error {
	refused := reply.Refused(reply.ReasonStoreUnavailable, "configuration cannot be read: %v", err)
	refused.RetryAfter = model.Duration(time.Second)
	return refused
}

// doubtful is the answer when it cannot be read whether a change took effect.
func doubtful(id model.ChangeID, err error) *reply.Error {
	unknown := reply.Unknown(reply.ReasonInDoubt, "it cannot be read whether change %q took effect: %v", id, err)
	unknown.RetryAfter = model.Duration(time.Second)
	return unknown
}

func (p *Publisher) wall() time.Time {
	if p.Wall != nil {
		return p.Wall().UTC()
	}
	return time.Now().UTC()
}

func (p *Publisher) maybeApplied(err error) bool {
	if p.MaybeApplied != nil {
		return p.MaybeApplied(err)
	}
	var unavailable *store.UnavailableError
	return !errors.As(err, &unavailable) || unavailable.MaybeApplied
}
