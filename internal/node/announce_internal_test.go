package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/kv"
)

// Guards against callers that wait for a leader that does not answer, and against announcements without bound in memory.
func TestAnnouncerDropsWhatItCannotDeliver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		counts := map[string]int{}
		var delivered []kv.Revision
		silent := true
		a := newAnnouncer()
		a.Log = zerolog.Nop()
		a.Count = func(result string, announcements int) { counts[result] += announcements }
		a.Send = func(ctx context.Context, announcements []intake.Announcement) error {
			if silent {
				<-ctx.Done()
				return ctx.Err()
			}
			for _, announcement := range announcements {
				delivered = append(delivered, announcement.Revision)
			}
			return nil
		}
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		a.Add(intake.Announcement{Revision: 1})
		synctest.Wait()
		for revision := range kv.Revision(announceQueue + 10) {
			a.Add(intake.Announcement{Revision: 2 + revision})
		}
		g.Expect(counts["dropped"]).To(Equal(10))
		time.Sleep(announceTimeout / 2)
		silent = false
		time.Sleep(announceTimeout)
		g.Expect(counts["failed"]).To(Equal(1))
		g.Expect(counts["delivered"]).To(Equal(announceQueue))
		g.Expect(delivered).To(HaveLen(announceQueue))
		g.Expect(delivered[0]).To(Equal(kv.Revision(2)))
		cancel()
		g.Expect(errors.Is(<-done, context.Canceled)).To(BeTrue())
	})
}
