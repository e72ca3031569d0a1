package kv_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/kv"
)

// silentUntil returns a call that gets an answer only if it is sent at or after a time, and its timeout.
func silentUntil(returnsAt time.Time, timeout time.Duration) func(context.Context) (time.Time, error) {
	return func(ctx context.Context) (time.Time, error) {
		sent := time.Now()
		if !sent.Before(returnsAt) {
			return sent, nil
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return sent, &kv.InDoubtError{Op: "call", Cause: ctx.Err()}
	}
}

// Guards against calls to a store that was silent which wait for their timeout after its return.
func TestHedgedCallIsAnsweredSoonAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		returnsAt := time.Now().Add(3100 * time.Millisecond)
		sent, err := kv.Hedged(t.Context(), silentUntil(returnsAt, 700*time.Millisecond))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(sent.Sub(returnsAt)).To(BeNumerically("<", 300*time.Millisecond))
	})
}

// Guards against hedging that repeats a call which was refused, and against calls that outlive their context.
func TestHedgedCallEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		calls := 0
		refused := &kv.RefusedError{Op: "call", Status: 503}
		_, err := kv.Hedged(t.Context(), func(context.Context) (int, error) {
			calls++
			return 0, refused
		})
		g.Expect(err).To(MatchError(refused))
		g.Expect(calls).To(Equal(1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = kv.Hedged(ctx, silentUntil(time.Now().Add(time.Hour), time.Hour))
		var doubt *kv.InDoubtError
		g.Expect(errors.As(err, &doubt)).To(BeTrue())
		g.Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))
	})
}
