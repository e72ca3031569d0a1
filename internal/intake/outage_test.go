package intake_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const callersTime = 3 * time.Second

// observedService returns a service that knows from its instance's calls whether the store serves it. Like an instance it calls the store
// every 0.45 s, and with half a second's patience.
func observedService(ctx context.Context, store *fakepl.Store) *intake.Service {
	service := newService(store)
	service.Store = service.ObserveStore(service.Store)
	go func() {
		for clock.Sleep(ctx, 450*time.Millisecond) == nil {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
				defer cancel()
				_, _, _ = service.Store.Get(ctx, "system/leader") //nolint:errcheck // It shows whether the store answers.
			}()
		}
	}()
	return service
}

func jobWithID(n int) *work.Job {
	job := newJob()
	job.ID = model.JobID(fmt.Sprintf("%016x", n))
	return job
}

// submit submits a job for a caller with the usual time, and returns its outcome and how long it took.
func submit(ctx context.Context, service *intake.Service, job *work.Job) (outcome string, took time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, callersTime)
	defer cancel()
	started := time.Now()
	return outcomeOf(service.Submit(ctx, job)), time.Since(started)
}

// inOutage runs body in an outage that began a time ago.
func inOutage(t *testing.T, fault fakepl.Fault, age time.Duration, body func(g *WithT, ctx context.Context, store *fakepl.Store, s *intake.Service)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := fakepl.NewStore()
		service := observedService(ctx, store)
		time.Sleep(2 * time.Second) // 0.2 s after a call
		store.SetFault(func(string) fakepl.Fault { return fault })
		time.Sleep(age)
		body(NewWithT(t), ctx, store, service)
		cancel()
		time.Sleep(time.Second)
	})
}

// Guards against callers who wait for most of their time in an outage that is known, and are then told that the job may run.
func TestSubmissionInAnOutageIsRefusedSoonAndNotSent(t *testing.T) {
	for _, fault := range []fakepl.Fault{fakepl.Silent, fakepl.Refused, fakepl.DelayedExecution} {
		inOutage(t, fault, time.Second, func(g *WithT, ctx context.Context, store *fakepl.Store, service *intake.Service) {
			for n := range 5 {
				outcome, took := submit(ctx, service, jobWithID(n))
				g.Expect(outcome).To(Equal("refused"))
				g.Expect(took).To(BeNumerically("<", 700*time.Millisecond))
			}
			g.Expect(store.Calls(fakepl.PathTxn)).To(BeZero())
		})
	}
}

// Guards against a change in doubt that was sent to a store of which this instance had heard nothing for a while.
func TestSubmissionAtTheStartOfAnOutageIsNotInDoubt(t *testing.T) {
	inOutage(t, fakepl.Silent, 0, func(g *WithT, ctx context.Context, store *fakepl.Store, service *intake.Service) {
		outcome, _ := submit(ctx, service, newJob())
		g.Expect(outcome).To(Equal("refused"))
		g.Expect(store.Calls(fakepl.PathTxn)).To(BeZero())
	})
}

// Guards against a refusal where the store returns within moments, and against a rush on it then.
func TestSubmissionsThatWaitGoOnWhenTheStoreReturns(t *testing.T) {
	inOutage(t, fakepl.Silent, time.Second, func(g *WithT, ctx context.Context, store *fakepl.Store, service *intake.Service) {
		outcomes := make([]string, 50)
		var callers sync.WaitGroup
		for n := range outcomes {
			callers.Go(func() { outcomes[n], _ = submit(ctx, service, jobWithID(n)) })
		}
		time.Sleep(10 * time.Millisecond)
		store.SetFault(nil)
		for store.Calls(fakepl.PathTxn) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(15 * time.Millisecond)
		g.Expect(store.Calls(fakepl.PathTxn)).To(BeNumerically("<=", 5), "in the first moments")
		callers.Wait()
		g.Expect(outcomes).To(HaveEach("accepted"))
	})
}

// Guards against callers of an instance that the store does not serve who wait before a peer is asked.
func TestUnservedInstanceAsksPeersAtOnce(t *testing.T) {
	inOutage(t, fakepl.Silent, time.Second, func(g *WithT, ctx context.Context, _ *fakepl.Store, service *intake.Service) {
		service.Relay = func(ctx context.Context, _ intake.Change) error { return clock.Sleep(ctx, 5*time.Millisecond) }
		outcome, took := submit(ctx, service, newJob())
		g.Expect(outcome).To(Equal("accepted"))
		g.Expect(took).To(BeNumerically("<", 10*time.Millisecond))
	})
}

// Guards against a job that the store finds too large, and that makes the instance take the store for one that serves nobody.
func TestStoreThatAnswersWhatItThinksOfACallServesThisInstance(t *testing.T) {
	for status, served := range map[int]bool{
		0: false, http.StatusTooManyRequests: false, http.StatusServiceUnavailable: false,
		http.StatusBadRequest: true, http.StatusForbidden: true, http.StatusRequestEntityTooLarge: true, http.StatusPreconditionFailed: true,
	} {
		service := newService(fakepl.NewStore())
		observed := service.ObserveStore(&kv.Store{Txn: func(context.Context, kv.Txn) (kv.Revision, error) {
			return 0, &kv.RefusedError{Op: "txn", Status: status}
		}})
		for range 3 {
			_, err := observed.Txn(t.Context(), kv.Txn{})
			NewWithT(t).Expect(err).To(HaveOccurred())
		}
		err := service.Apply(t.Context(), intake.Change{Submit: newJob()})
		NewWithT(t).Expect(err == nil).To(Equal(served), "status %d", status)
	}
}

// Guards against a refusal, which says that the job never runs, for a job that an earlier call at the same instance has stored or may still
// store: the repeated submission of a caller who got no answer.
func TestRepeatedSubmissionIsNotRefusedAfterOneThatMayBeStored(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  error
		repeat string
	}{
		{"stored", nil, "accepted"},
		{"without an answer", &kv.InDoubtError{Op: "txn", Cause: context.DeadlineExceeded}, "unknown"},
		{"refused", &kv.RefusedError{Op: "txn", Status: http.StatusServiceUnavailable}, "refused"},
	} {
		synctest.Test(t, func(t *testing.T) {
			results := []error{c.first}
			service := newService(fakepl.NewStore())
			service.Store = &kv.Store{Txn: func(context.Context, kv.Txn) (kv.Revision, error) {
				if len(results) == 0 {
					return 0, &kv.RefusedError{Op: "txn", Status: http.StatusServiceUnavailable}
				}
				result := results[0]
				results = results[1:]
				return 1, result
			}}
			submit(t.Context(), service, newJob())
			outcome, _ := submit(t.Context(), service, newJob())
			NewWithT(t).Expect(outcome).To(Equal(c.repeat), c.name)
			applied := outcomeOf(service.Apply(t.Context(), intake.Change{Submit: newJob()}))
			NewWithT(t).Expect(applied).To(Equal(c.repeat), "%s, through another instance", c.name)
		})
	}
}

// Guards against a call for a state that waits for a store which is known not to answer.
func TestStateInAnOutageIsAnsweredAtOnce(t *testing.T) {
	inOutage(t, fakepl.Silent, time.Second, func(g *WithT, ctx context.Context, _ *fakepl.Store, service *intake.Service) {
		started := time.Now()
		_, err := service.Status(ctx, testJob)
		var refused *intake.RefusedError
		g.Expect(errors.As(err, &refused)).To(BeTrue())
		g.Expect(time.Since(started)).To(BeNumerically("<", 50*time.Millisecond))
	})
}

// Guards against a refusal, which means that the job never runs, for a job that was sent to the store by this instance or a peer and may
// be stored; and against an acceptance without a record. Whatever the store does to each call, now or later.
func TestRefusalsAndAcceptancesAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fakepl.Fault{
			fakepl.Healthy, fakepl.Healthy, fakepl.Refused, fakepl.LostAnswer, fakepl.DelayedExecution, fakepl.Silent,
		}), 16, 16).Draw(rt, "fault in each half second")
		mixed := rapid.SliceOfN(rapid.IntRange(0, 3), 16, 16).Draw(rt, "every n-th call is healthy")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := fakepl.NewStore()
			store.LateBy = 4 * time.Second
			started, calls := time.Now(), 0
			store.SetFault(func(string) fakepl.Fault {
				calls++
				period := min(int(time.Since(started)/(500*time.Millisecond)), len(faults)-1)
				if n := mixed[period]; n > 0 && calls%(n+1) == 0 {
					return fakepl.Healthy
				}
				return faults[period]
			})
			service, peer := observedService(ctx, store), observedService(ctx, store)
			service.Relay = peer.Apply
			outcomes := make([]string, 40)
			var callers sync.WaitGroup
			for n := range outcomes {
				time.Sleep(150 * time.Millisecond)
				callers.Go(func() { outcomes[n], _ = submit(ctx, service, jobWithID(n)) })
			}
			callers.Wait()
			cancel()
			time.Sleep(10 * time.Second)
			for n, outcome := range outcomes {
				stored := store.Value(work.JobKey(jobWithID(n).ID)) != nil
				if stored && outcome == "refused" || !stored && outcome == "accepted" {
					rt.Errorf("job %d is %s, stored: %v", n, outcome, stored)
				}
			}
		})
	})
}
