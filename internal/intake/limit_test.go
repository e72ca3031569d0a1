package intake_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against calls that stay, as the store does not answer, and that take all connections of the instance, and against places that are not
// given back.
func TestCallsAtATimeAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := fakepl.NewStore()
		service := newService(store)
		service.MaxCalls = 2
		submit := func(id model.JobID) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			job := newJob()
			job.ID = id
			return service.Submit(ctx, job)
		}
		store.SetFault(fakepl.FaultOn(fakepl.Silent, fakepl.PathTxn))
		stayed := make(chan error, service.MaxCalls)
		for _, id := range []model.JobID{"a", "b"} {
			go func() { stayed <- submit(id) }()
		}
		time.Sleep(time.Second)
		var refused *intake.RefusedError
		g.Expect(errors.As(submit("c"), &refused)).To(BeTrue())
		g.Expect(refused.RetryAfter).To(BeNumerically(">=", time.Second))
		_, err := service.Status(t.Context(), "d")
		var unknown *intake.UnknownJobError
		g.Expect(errors.As(err, &unknown)).To(BeTrue(), "questions have places of their own")
		store.SetFault(nil)
		g.Expect(<-stayed).To(Succeed())
		g.Expect(<-stayed).To(Succeed())
		g.Expect(submit("c")).To(Succeed())
	})
}

// Guards against a refusal, for want of a place, of a job that an earlier call may have stored.
func TestBusyRefusalKeepsDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := fakepl.NewStore()
		service := newService(store)
		service.MaxCalls = 1
		submit := func(id model.JobID, timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			job := newJob()
			job.ID = id
			return service.Submit(ctx, job)
		}
		store.SetFault(fakepl.FaultOn(fakepl.Silent, fakepl.PathTxn))
		g.Expect(outcomeOf(submit("a", time.Second))).To(Equal("unknown"))
		stayed := make(chan error, 1)
		go func() { stayed <- submit("b", time.Minute) }()
		time.Sleep(100 * time.Millisecond)
		g.Expect(outcomeOf(submit("a", time.Second))).To(Equal("unknown"))
		store.SetFault(nil)
		g.Expect(<-stayed).To(Succeed())
	})
}
