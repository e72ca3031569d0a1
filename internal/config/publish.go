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

// publication is one call of Publish.
type publication struct {
	*Publisher
	change Change
	digest string
	// lost is the target of a head write whose answer was lost and whose effect is not known yet; 0 means none.
	lost model.Revision
	// sent is true once a head write of this call may have taken effect.
	sent bool
	// rival is true while another publication of the same change may still take effect.
	rival bool
}

// Publish applies a change to the newest configuration. It returns refused only when this call certainly had no effect,
// and unknown otherwise; publishing again with the same id then settles it. While the store cannot be read, a repeated call
// is refused like a first one, so what became of an earlier call is still open after it.
func (p *Publisher) Publish(ctx context.Context, c Change) (Result, *reply.Error) {
	digest, refused := check(c)
	if refused != nil {
		return Result{}, refused
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(p.Timeout, DefaultTimeout))
	defer cancel()
	pub := &publication{Publisher: p, change: c, digest: digest}
	result, err := pub.run(ctx)
	if p.Record != nil {
		p.Record(c, result, err)
	}
	event := p.Log.Info().Str("change", string(c.ID)).Str("by", c.By).Bool("dry-run", c.DryRun)
	if err != nil {
		event.Str("outcome", string(err.Outcome)).Str("reason", string(err.Reason)).Msg("config: change not published")
		return Result{}, err
	}
	event.Uint64("revision", uint64(result.Revision)).Bool("already", result.Already).Msg("config: change published")
	return result, nil
}

// run repeats the publication on newer heads until it is settled.
func (p *publication) run(ctx context.Context) (Result, *reply.Error) {
	now, err := p.newest(ctx)
	if err != nil {
		return Result{}, p.unavailable(err)
	}
	for range maxAttempts {
		result, next, refused := p.attempt(ctx, now)
		if refused != nil || next == nil {
			return result, refused
		}
		now = *next
	}
	return Result{}, p.refuse(retryLater(reply.Refused(reply.ReasonOverload, "the head changed %d times during the publication", maxAttempts)))
}

// attempt publishes on one head. It returns a result, an error, or a newer head to try again on.
func (p *publication) attempt(ctx context.Context, now observed) (Result, *observed, *reply.Error) {
	rec, version, err := p.readRecord(ctx, p.change.ID, now.seen)
	if err != nil {
		return Result{}, nil, p.unavailable(err)
	}
	result, next, refused := p.earlier(ctx, rec, now)
	if result != nil || next != nil || refused != nil {
		return deref(result), next, refused
	}
	plan, refused := p.prepare(ctx, now)
	if refused != nil {
		return Result{}, nil, p.refuse(refused)
	}
	if p.change.DryRun {
		return plan.result, nil, nil
	}
	if err := p.writeIntent(ctx, plan, rec, version, now); err != nil {
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return Result{}, nil, p.unavailable(err)
		}
		next, err := p.readHead(ctx, max(now.seen, conflict.Current.Revision))
		if err != nil {
			return Result{}, nil, p.unavailable(err)
		}
		return Result{}, &next, nil
	}
	return p.swap(ctx, plan, now)
}

func deref(r *Result) Result {
	if r == nil {
		return Result{}
	}
	return *r
}

// earlier settles what the change record says about earlier attempts; all nil means that none took effect.
func (p *publication) earlier(ctx context.Context, rec *record, now observed) (*Result, *observed, *reply.Error) {
	p.rival = false
	if rec == nil {
		return nil, nil, nil
	}
	if rec.Digest != p.digest {
		return nil, nil, reply.Refused(reply.ReasonIDReused, "change id %q was already used with another content", p.change.ID)
	}
	if rec.Target > now.head.Revision+1 {
		next, err := p.readHead(ctx, now.seen)
		if err != nil {
			return nil, nil, p.unavailable(err)
		}
		return nil, &next, nil
	}
	if rec.Target == now.head.Revision+1 {
		p.rival = rec.Target != p.lost
		return nil, nil, nil
	}
	effect, found, err := p.effect(ctx, *rec, now)
	if err != nil {
		return nil, nil, reply.Unknown(reply.ReasonInDoubt, "change %q may have taken effect at revision %d, which cannot be read: %v",
			p.change.ID, rec.Target, err)
	}
	p.lost = 0
	if !found {
		return nil, nil, nil
	}
	return &Result{ChangeID: p.change.ID, Revision: effect.Revision, Already: !p.sent, Changed: effect.Changed}, nil, nil
}

// writeIntent writes what must be in the store before the head names it: the change record, the segments and the history
// entry of the head that is replaced. All may be written again.
func (p *publication) writeIntent(ctx context.Context, plan plan, rec *record, version store.Version, now observed) error {
	hashes := sortedKeys(plan.fresh)
	wanted := record{
		ChangeID: p.change.ID, Target: plan.head.Revision, Digest: p.digest, By: p.change.By, At: p.wall(), Segments: hashes,
	}
	if rec != nil {
		wanted.Segments = slices.Compact(slices.Sorted(slices.Values(append(hashes, rec.Segments...))))
	}
	if rec == nil || rec.Target != wanted.Target || !slices.Equal(rec.Segments, wanted.Segments) {
		data, err := json.Marshal(wanted)
		if err != nil {
			return eris.Wrap(err, "encoding change record")
		}
		if err := p.put(ctx, changeKey(p.change.ID), data, version); err != nil {
			return eris.Wrap(err, "writing change record")
		}
	}
	for _, hash := range hashes {
		if err := p.put(ctx, segmentPrefix+hash, plan.fresh[hash], 0); err != nil {
			return eris.Wrap(err, "writing segment")
		}
	}
	if now.head.Revision == 0 {
		return nil
	}
	if err := p.put(ctx, historyKey(now.head.Revision), now.raw, 0); err != nil {
		return eris.Wrap(err, "writing history")
	}
	return nil
}

// put writes a key; a conflict with an equal value means that an earlier write of it, whose answer was lost, took effect.
func (p *publication) put(ctx context.Context, key string, value []byte, version store.Version) error {
	return again(ctx, func() error {
		_, err := p.Store.Put(ctx, key, value, version, 0)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && string(conflict.Current.Value) == string(value) {
			return nil
		}
		return err
	})
}

// swap replaces the head. After a lost answer, it reads the head and, while that is unchanged, writes again: the version
// lets at most one of the writes take effect.
func (p *publication) swap(ctx context.Context, plan plan, now observed) (Result, *observed, *reply.Error) {
	pause := retryPause
	for {
		entry, err := p.Store.Put(ctx, headKey, plan.raw, now.version, 0)
		if err == nil {
			p.published(entry.Revision, plan)
			return plan.result, nil, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			next, err := observe(conflict.Current)
			if err != nil {
				return Result{}, nil, p.unavailable(err)
			}
			return p.overtaken(plan, next)
		}
		maybe := p.maybeApplied(err)
		if !maybe && p.lost == 0 {
			return Result{}, nil, p.unavailable(err)
		}
		if maybe {
			p.lost, p.sent = plan.head.Revision, true
		}
		p.Log.Warn().Err(err).Str("change", string(p.change.ID)).
			Bool("maybe-applied", maybe).Msg("config: head not written")
		if clock.Sleep(ctx, pause) != nil {
			return Result{}, nil, p.unavailable(err)
		}
		pause = min(2*pause, maxRetryPause)
		next, readErr := p.readHead(ctx, now.seen)
		if readErr == nil && next.head.Revision > now.head.Revision {
			return p.overtaken(plan, next)
		}
	}
}

// overtaken judges a head that is newer than the one that the change was applied to.
func (p *publication) overtaken(plan plan, next observed) (Result, *observed, *reply.Error) {
	if next.head.Revision == plan.head.Revision && next.head.ChangeID == p.change.ID && next.head.Digest == p.digest {
		p.published(next.seen, plan)
		result := plan.result
		result.Already = !p.sent
		return result, nil, nil
	}
	return Result{}, &next, nil
}

func (p *publication) published(seen store.Revision, plan plan) {
	if p.Follower != nil {
		p.Follower.hint(seen, plan.head.Revision)
	}
}

// unavailable is the answer to a store call without a usable answer.
func (p *publication) unavailable(err error) *reply.Error {
	return p.refuse(retryLater(reply.Refused(reply.ReasonStoreUnavailable, "this call changed nothing, though an earlier one with the same id may have: %v", err)))
}

// refuse turns a refusal into unknown where an effect of this change cannot be ruled out.
func (p *publication) refuse(refused *reply.Error) *reply.Error {
	if p.change.DryRun {
		return refused
	}
	switch {
	case p.lost != 0:
		unknown := reply.Unknown(reply.ReasonAnswerLost,
			"change %q may take effect at revision %d; publish it again with the same id to settle it: %s", p.change.ID, p.lost, refused.Message)
		return unknown
	case p.rival:
		return reply.Unknown(reply.ReasonInDoubt,
			"another publication of change %q may still take effect; publish it again with the same id to settle it: %s", p.change.ID, refused.Message)
	}
	return refused
}

func retryLater(refused *reply.Error) *reply.Error {
	refused.RetryAfter = model.Duration(1e9)
	return refused
}
