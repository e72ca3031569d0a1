package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against a caller with little time that gets no answer in time, because the leader, which does not answer, is given all of it.
func TestStatusIsAnsweredWithinTheCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := fakepl.NewStore()
		service := newService(store)
		g.Expect(service.Submit(t.Context(), newJob())).To(Succeed())
		service.Owner.State = func(ctx context.Context, _ model.JobID) (work.State, bool, error) {
			<-ctx.Done()
			return "", false, ctx.Err()
		}
		const callersTime = 400 * time.Millisecond
		ask := func() work.State {
			ctx, cancel := context.WithTimeout(t.Context(), callersTime)
			defer cancel()
			started := time.Now()
			state, err := service.Status(ctx, testJob)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(started)).To(BeNumerically("<", callersTime))
			return state
		}
		g.Expect(ask()).To(Equal(work.StateQueued), "from the store")
		store.SetFault(func(string) fakepl.Fault { return fakepl.Silent })
		g.Expect(ask()).To(Equal(work.StateQueued), "from this instance, which has accepted it")
	})
}
