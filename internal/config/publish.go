package config

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// publication holds the state of one call of Publish; one goroutine uses it.
type publication struct {
	*Publisher
	change Change
	digest string
	// lostTarget is the target revision of a head write whose answer was lost and whose effect is still unknown; 0 means none.
	lostTarget model.Revision
	// headMaybeWritten is true once a head write of this call may have taken effect.
	headMaybeWritten bool
	// rivalPending is true while another publication of the same change may still take effect.
	rivalPending bool
}

// Publish applies a change to the newest configuration. On failure, the outcome is refused only when this call certainly had
// no effect, and unknown otherwise; publishing again with the same id then resolves it. While the store cannot be read, a
// repeated call is refused like a first one, so the refusal says nothing about the effect of an earlier call.
func (p *Publisher) Publish(ctx context.Context, c Change) (Result, *reply.Error) {
	digest, refused := checkChange(c)
	if refused != nil {
		return Result{}, refused
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.Timeout, DefaultTimeout))
	defer cancel()
	pub := &publication{Publisher: p, change: c, digest: digest}
	result, err := pub.publishUntilSettled(ctx)
	if p.OnPublished != nil {
		p.OnPublished(c, result, err)
	}
	event := p.Log.Info().Str("change", string(c.ID)).Str("by", c.Operator).Bool("dry-run", c.DryRun)
	if err != nil {
		event.Str("outcome", string(err.Outcome)).Str("reason", string(err.Reason)).Msg("config: change not published")
		return Result{}, err
	}
	event.Uint64("revision", uint64(result.Revision)).Bool("already", result.Already).Msg("config: change published")
	return result, nil
}

// publishUntilSettled retries the publication on newer heads until its outcome is known.
func (p *publication) publishUntilSettled(ctx context.Context) (Result, *reply.Error) {
	newest, err := p.readNewestHead(ctx)
	if err != nil {
		return Result{}, p.unavailableError(err)
	}
	for range maxAttempts {
		result, next, refused := p.tryOnHead(ctx, newest)
		if refused != nil || next == nil {
			return result, refused
		}
		newest = *next
	}
	return Result{}, p.refuseOrUnknown(retryLater(reply.Refused(reply.ReasonOverload,
		"the head changed %d times during the publication", maxAttempts)))
}

// tryOnHead publishes on top of one head. It returns a result, an error, or a newer head to retry on.
func (p *publication) tryOnHead(ctx context.Context, newest observedHead) (Result, *observedHead, *reply.Error) {
	rec, version, err := p.readRecord(ctx, p.change.ID, newest.seen)
	if err != nil {
		return Result{}, nil, p.unavailableError(err)
	}
	result, next, refused := p.settleEarlierAttempt(ctx, rec, newest)
	if result != nil || next != nil || refused != nil {
		return derefResult(result), next, refused
	}
	prepared, refused := p.prepareChange(ctx, newest)
	if refused != nil {
		return Result{}, nil, p.refuseOrUnknown(refused)
	}
	if p.change.DryRun {
		return prepared.result, nil, nil
	}
	if err := p.writeIntent(ctx, prepared, rec, version, newest); err != nil {
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return Result{}, nil, p.unavailableError(err)
		}
		next, err := p.readHead(ctx, max(newest.seen, conflict.Current.Revision))
		if err != nil {
			return Result{}, nil, p.unavailableError(err)
		}
		return Result{}, &next, nil
	}
	return p.replaceHead(ctx, prepared, newest)
}

// derefResult returns the result that r points to, or an empty one for nil.
func derefResult(r *Result) Result {
	if r == nil {
		return Result{}
	}
	return *r
}

// settleEarlierAttempt determines from the change record whether an earlier attempt took effect. It returns the result of that
// attempt, a newer head to retry on, or an error; all are nil if no attempt has taken effect.
func (p *publication) settleEarlierAttempt(ctx context.Context, rec *changeRecord, newest observedHead) (*Result, *observedHead, *reply.Error) {
	p.rivalPending = false
	if rec == nil {
		return nil, nil, nil
	}
	if rec.Digest != p.digest {
		return nil, nil, reply.Refused(reply.ReasonIDReused, "change id %q was already used with another content", p.change.ID)
	}
	if rec.Target > newest.head.Revision+1 {
		next, err := p.readHead(ctx, newest.seen)
		if err != nil {
			return nil, nil, p.unavailableError(err)
		}
		return nil, &next, nil
	}
	if rec.Target == newest.head.Revision+1 {
		p.rivalPending = rec.Target != p.lostTarget
		return nil, nil, nil
	}
	effectiveHead, found, err := p.effectiveHead(ctx, *rec, newest)
	if err != nil {
		return nil, nil, reply.Unknown(reply.ReasonInDoubt, "change %q may have taken effect at revision %d, which cannot be read: %v",
			p.change.ID, rec.Target, err)
	}
	p.lostTarget = 0
	if !found {
		return nil, nil, nil
	}
	return &Result{ChangeID: p.change.ID, Revision: effectiveHead.Revision, Already: !p.headMaybeWritten, Changed: effectiveHead.Changed}, nil, nil
}

// writeIntent writes what must be stored before the new head: the change record, the segments and the history entry of the
// replaced head. All these writes are idempotent.
func (p *publication) writeIntent(ctx context.Context, prepared prepared, rec *changeRecord, version store.Version, newest observedHead) error {
	hashes := sortedKeys(prepared.newSegments)
	wanted := changeRecord{
		ChangeID: p.change.ID, Target: prepared.head.Revision, Digest: p.digest, Operator: p.change.Operator, At: p.wall(), Segments: hashes,
	}
	if rec != nil {
		wanted.Segments = slices.Compact(slices.Sorted(slices.Values(append(hashes, rec.Segments...))))
	}
	if rec == nil || rec.Target != wanted.Target || !slices.Equal(rec.Segments, wanted.Segments) {
		data, err := json.Marshal(wanted)
		if err != nil {
			return eris.Wrap(err, "encoding change record")
		}
		if err := p.putIdempotent(ctx, changeKey(p.change.ID), data, version); err != nil {
			return eris.Wrap(err, "writing change record")
		}
	}
	for _, hash := range hashes {
		if err := p.putIdempotent(ctx, segmentPrefix+hash, prepared.newSegments[hash], 0); err != nil {
			return eris.Wrap(err, "writing segment")
		}
	}
	if newest.head.Revision == 0 {
		return nil
	}
	if err := p.putIdempotent(ctx, historyKey(newest.head.Revision), newest.raw, 0); err != nil {
		return eris.Wrap(err, "writing history")
	}
	return nil
}

// putIdempotent writes a key. A conflict with an equal value counts as success: an earlier write took effect and its answer was
// lost.
func (p *publication) putIdempotent(ctx context.Context, key string, value []byte, version store.Version) error {
	return retryTransient(ctx, func() error {
		_, err := p.Store.Put(ctx, key, value, version, 0)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && string(conflict.Current.Value) == string(value) {
			return nil
		}
		return err
	})
}

// replaceHead replaces the head by compare-and-swap. After a lost answer it reads the head and, while that is unchanged, writes
// again: the version check lets at most one of the writes take effect.
func (p *publication) replaceHead(ctx context.Context, prepared prepared, newest observedHead) (Result, *observedHead, *reply.Error) {
	delay := initialRetryDelay
	for {
		entry, err := p.Store.Put(ctx, headKey, prepared.raw, newest.version, 0)
		if err == nil {
			p.notifyFollower(entry.Revision, prepared)
			return prepared.result, nil, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			next, err := decodeObserved(conflict.Current)
			if err != nil {
				return Result{}, nil, p.unavailableError(err)
			}
			return p.resolveNewerHead(prepared, next)
		}
		maybe := p.maybeApplied(err)
		if !maybe && p.lostTarget == 0 {
			return Result{}, nil, p.unavailableError(err)
		}
		if maybe {
			p.lostTarget, p.headMaybeWritten = prepared.head.Revision, true
		}
		p.Log.Warn().Err(err).Str("change", string(p.change.ID)).
			Bool("maybe-applied", maybe).Msg("config: writing the head failed")
		if clock.Sleep(ctx, delay) != nil {
			return Result{}, nil, p.unavailableError(err)
		}
		delay = min(2*delay, maxRetryDelay)
		next, readErr := p.readHead(ctx, newest.seen)
		if readErr == nil && next.head.Revision > newest.head.Revision {
			return p.resolveNewerHead(prepared, next)
		}
	}
}

// resolveNewerHead handles a head newer than the one that the change was applied to: it returns the result if the change itself
// produced that head, and otherwise the head to retry on.
func (p *publication) resolveNewerHead(prepared prepared, next observedHead) (Result, *observedHead, *reply.Error) {
	if next.head.Revision == prepared.head.Revision && next.head.ChangeID == p.change.ID && next.head.Digest == p.digest {
		p.notifyFollower(next.seen, prepared)
		result := prepared.result
		result.Already = !p.headMaybeWritten
		return result, nil, nil
	}
	return Result{}, &next, nil
}

// notifyFollower makes the follower of this instance read the new head at once.
func (p *publication) notifyFollower(seen store.Revision, prepared prepared) {
	if p.Follower != nil {
		p.Follower.expectRevision(seen, prepared.head.Revision)
	}
}

// unavailableError returns the answer of the publication when a store call failed.
func (p *publication) unavailableError(err error) *reply.Error {
	return p.refuseOrUnknown(retryLater(reply.Refused(reply.ReasonStoreUnavailable,
		"this call changed nothing, though an earlier one with the same id may have: %v", err)))
}

// refuseOrUnknown turns a refusal into an unknown outcome if the change may still have taken or take effect.
func (p *publication) refuseOrUnknown(refused *reply.Error) *reply.Error {
	if p.change.DryRun {
		return refused
	}
	switch {
	case p.lostTarget != 0:
		unknown := reply.Unknown(reply.ReasonAnswerLost,
			"change %q may take effect at revision %d; publish it again with the same id to settle it: %s",
			p.change.ID, p.lostTarget, refused.Message)
		return unknown
	case p.rivalPending:
		return reply.Unknown(reply.ReasonInDoubt,
			"another publication of change %q may still take effect; publish it again with the same id to settle it: %s",
			p.change.ID, refused.Message)
	}
	return refused
}

// retryLater sets the Retry-After of a refusal to 1 s.
func retryLater(refused *reply.Error) *reply.Error {
	refused.RetryAfter = model.Duration(1e9)
	return refused
}
