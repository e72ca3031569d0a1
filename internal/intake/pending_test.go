package intake_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against counts of a queue that hold up all other calls, and one another beyond their deadlines, while neither the leader nor
// the store answers. It uses the real clock, as goroutines that wait for a mutex stop the clock of a synctest bubble.
func TestSlowCountsHoldUpNoOtherCall(t *testing.T) {
	const (
		counts    = 4
		countTime = 2 * time.Second // that a caller waits for a count
		slack     = 2 * time.Second
	)
	g := NewWithT(t)
	store := fakepl.NewStore()
	store.SetFault(fakepl.FaultOn(fakepl.Silent, fakepl.PathRange))
	service := newService(store)
	service.Owner.Pending = func(ctx context.Context) (map[work.QueueName]int, error) {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	g.Expect(service.Submit(t.Context(), newJob())).To(Succeed())
	began := time.Now()
	var group sync.WaitGroup
	for range counts {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), countTime)
			defer cancel()
			_, err := service.Pending(ctx, "check")
			g.Expect(outcomeOf(err)).To(Equal("refused"))
		})
	}
	time.Sleep(countTime / 10)
	state, err := service.Status(t.Context(), testJob)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(state).To(Equal(work.StateQueued))
	g.Expect(time.Since(began)).To(BeNumerically("<", countTime/2))
	group.Wait()
	g.Expect(time.Since(began)).To(BeNumerically("<", countTime+slack))
}

// Guards against calls of all kinds that wait behind a count of pending jobs while the leader does not answer it: a submission that is
// stored then gets its answer late or not at all.
func TestCallsDoNotWaitForACountOfPendingJobs(t *testing.T) {
	// On the real clock: a call that waits for a mutex stops the clock of a synctest bubble for good.
	g := NewWithT(t)
	service := newService(fakepl.NewStore())
	counting, release := make(chan struct{}, 3), make(chan struct{})
	service.Owner.Pending = func(context.Context) (map[work.QueueName]int, error) {
		counting <- struct{}{}
		<-release
		return map[work.QueueName]int{"check": 1}, nil
	}
	service.Owner.State = func(context.Context, model.JobID) (work.State, bool, error) { return work.StateRunning, true, nil }
	pending := make(chan error, 2)
	for range cap(pending) {
		go func() {
			_, err := service.Pending(t.Context(), "check")
			pending <- err
		}()
	}
	g.Eventually(counting, 5*time.Second).Should(Receive())
	submitted, asked := make(chan error, 1), make(chan error, 1)
	go func() { submitted <- service.Submit(t.Context(), newJob()) }()
	go func() {
		_, err := service.Status(t.Context(), testJob)
		asked <- err
	}()
	g.Eventually(submitted, 2*time.Second).Should(Receive(BeNil()), "submission")
	g.Eventually(asked, 2*time.Second).Should(Receive(BeNil()), "state")
	close(release)
	for range cap(pending) {
		g.Eventually(pending, 5*time.Second).Should(Receive(BeNil()))
	}
	g.Expect(counting).NotTo(Receive(), "the calls share one count")
}

// Guards against a count of pending jobs that fails because the caller that came first does not wait for it, and against a caller that
// is held longer than it waits.
func TestCallersOfACountEndOnTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		service := newService(fakepl.NewStore())
		service.Owner.Pending = func(ctx context.Context) (map[work.QueueName]int, error) {
			return map[work.QueueName]int{"check": 3}, clock.Sleep(ctx, 300*time.Millisecond)
		}
		first := make(chan error, 1)
		started := time.Now()
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := service.Pending(ctx, "check")
			first <- err
		}()
		synctest.Wait()
		count := make(chan int, 1)
		go func() {
			n, _ := service.Pending(t.Context(), "check")
			count <- n
		}()
		var refused *intake.RefusedError
		g.Expect(errors.As(<-first, &refused)).To(BeTrue())
		g.Expect(time.Since(started)).To(BeNumerically("<=", 100*time.Millisecond))
		g.Expect(<-count).To(Equal(3))
	})
}
