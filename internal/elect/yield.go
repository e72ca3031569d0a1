package elect

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/model"
)

const (
	probeTimeout = 250 * time.Millisecond // of a read before the key of another instance is removed
	// yieldAfter is how long a leader's calls to the store may fail before it yields the leadership.
	yieldAfter = 600 * time.Millisecond
)

// YieldRefusedError reports that no instance has removed the leader key or will do so.
type YieldRefusedError struct{ Cause error }

// Error names the cause.
func (e *YieldRefusedError) Error() string { return "not yielded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *YieldRefusedError) Unwrap() error { return e.Cause }

// watchService yields the leadership when the store no longer serves this instance but may serve others, until ctx ends. Renewals
// go on meanwhile.
func (e *Elector) watchService(ctx context.Context) error {
	wait := renewInterval
	for clock.Sleep(ctx, wait) == nil {
		wait = renewInterval
		if term, _ := e.unservedFor(); term != nil {
			wait = renewRetryDelay
			e.yieldIfUnserved(ctx)
		}
	}
	return ctx.Err()
}

// unservedFor returns the current term, if any, and for how long the store has not answered this instance.
func (e *Elector) unservedFor() (*Term, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lastServed := e.lastRenewed
	if e.Served != nil {
		// Lost answers to renewals alone do not mean that the store fails to serve this instance.
		lastServed = max(lastServed, e.Served())
	}
	return e.term, e.Now().Sub(lastServed)
}

func (e *Elector) yieldIfUnserved(ctx context.Context) {
	term, unserved := e.unservedFor()
	if term == nil || e.Yield == nil || unserved < yieldAfter {
		e.yieldFailed = false
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.setYielding(true)
	err := e.Yield(callCtx, *term)
	var refused *YieldRefusedError
	if errors.As(err, &refused) {
		e.setYielding(false)
		if !e.yieldFailed {
			e.yieldFailed = true
			e.Log.Warn().Err(err).Dur("store-lost-for", unserved).Msg("elect: leadership not yielded")
		}
		return
	}
	reason := "yielded, the store does not serve this instance"
	if err != nil {
		// The key may be removed, now or later, and another instance may lead: this one claims a new term before it goes on.
		reason = "it may be yielded: " + err.Error()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.yielding = false
	if e.term != nil && e.term.Token == term.Token {
		e.endCurrentTerm(reason)
	}
}

func (e *Elector) setYielding(yielding bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.yielding = yielding
}

// RemoveLeader removes the leader key of another instance's term at the request of that instance. A term that is already over is no
// error. After a YieldRefusedError the key was not removed; after any other error it may be.
func (e *Elector) RemoveLeader(ctx context.Context, token model.Token) error {
	// A removal that gets no answer leaves the term in doubt: the store must be known to answer first.
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, _, err := e.Store.Get(probeCtx, leaderKey); err != nil {
		return &YieldRefusedError{Cause: err}
	}
	proof := kv.Expect{Key: leaderKey, Revision: kv.Revision(token)}
	_, err := e.Store.Txn(ctx, kv.Txn{Expect: []kv.Expect{proof}, Remove: []string{leaderKey}})
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return nil // The term is already over.
	}
	var refused *kv.RefusedError
	if errors.As(err, &refused) {
		return &YieldRefusedError{Cause: err}
	}
	return err
}
