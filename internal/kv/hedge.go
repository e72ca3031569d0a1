package kv

import (
	"context"
	"errors"
	"time"
)

const (
	// hedgeInterval is the time without an answer after which a call is sent again. A store that was silent for a while answers
	// later calls at once, and those of that while never.
	hedgeInterval = 250 * time.Millisecond
	maxHedges     = 3 // calls in flight at once
)

// Hedged makes a call that may be repeated, and sends it again while it has no answer. It returns the first result other than an
// InDoubtError, or such an error once no call is in flight any more. call must bound its own time, and is called concurrently.
func Hedged[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	return hedgedAfter(ctx, hedgeInterval, func(ctx context.Context, _ int) (T, error) { return call(ctx) })
}

// hedgedAfter is Hedged with another time until the call is sent for the second time. call is given the number of calls sent before.
func hedgedAfter[T any](ctx context.Context, first time.Duration, call func(context.Context, int) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, maxHedges)
	timer := time.NewTimer(first)
	defer timer.Stop()
	inFlight, sent := 0, 0
	send := func() {
		number := sent
		inFlight++
		sent++
		go func() {
			value, err := call(ctx, number)
			results <- result{value, err}
		}()
	}
	send()
	for {
		select {
		case r := <-results:
			inFlight--
			var doubt *InDoubtError
			if !errors.As(r.err, &doubt) || inFlight == 0 {
				return r.value, r.err
			}
		case <-timer.C:
			timer.Reset(hedgeInterval)
			if inFlight < maxHedges {
				send()
			}
		}
	}
}
