package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
)

// Guards against a sleep that outlasts its context, or that hides the error of the context.
func TestSleep(t *testing.T) {
	for _, c := range []struct {
		name                     string
		wait, limit, wantElapsed time.Duration
		err                      error
	}{
		{name: "the time passes first", wait: time.Second, limit: time.Minute, wantElapsed: time.Second},
		{name: "the context ends first", wait: time.Minute, limit: time.Second, wantElapsed: time.Second, err: context.DeadlineExceeded},
		{name: "nothing to wait for", wait: -time.Second, limit: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(t.Context(), c.limit)
				defer cancel()
				startedAt := time.Now()
				err := clock.Sleep(ctx, c.wait)
				g.Expect(time.Since(startedAt)).To(Equal(c.wantElapsed))
				if c.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(c.err))
				}
			})
		})
	}
}
