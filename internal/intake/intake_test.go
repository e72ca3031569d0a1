package intake_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const testJob = model.JobID("00000000000000a1")

func newService(store *fakepl.Store) *intake.Service {
	net := memnet.New()
	net.SetHandler("store:1", store)
	return &intake.Service{
		Store: platform.NewStore(net.Client("a"), "store:1", func(string, string, bool) {}), Log: zerolog.Nop(), Now: time.Now,
		Owner: intake.Owner{
			State: func(context.Context, model.JobID) (work.State, bool, error) {
				return "", false, errors.New("no owner")
			},
			Pending: func(context.Context) (map[work.QueueName]int, error) { return nil, errors.New("no owner") },
		},
	}
}

func newJob() *work.Job {
	return &work.Job{ID: testJob, Queue: "check", Steps: []work.Step{{Count: 1, Estimate: time.Second}}}
}

// faults returns a fault function that applies series to the calls to path, one by one, and its last element to all later calls.
func faults(path string, series ...fakepl.Fault) func(string) fakepl.Fault {
	next := 0
	return func(called string) fakepl.Fault {
		if called != path {
			return fakepl.Healthy
		}
		fault := series[min(next, len(series)-1)]
		next++
		return fault
	}
}

// Guards against a refusal, which means that the job never runs, for a job that was stored or that an earlier attempt without an
// answer may have stored.
func TestSubmit(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []fakepl.Fault
		want   string
	}{
		{name: "healthy", faults: []fakepl.Fault{fakepl.Healthy}, want: "accepted"},
		{name: "always refused", faults: []fakepl.Fault{fakepl.Refused}, want: "refused"},
		{name: "refused at first", faults: []fakepl.Fault{fakepl.Refused, fakepl.Refused, fakepl.Healthy}, want: "accepted"},
		{name: "done without an answer", faults: []fakepl.Fault{fakepl.LostAnswer, fakepl.Healthy}, want: "accepted"},
		{name: "done without an answer, then refused", faults: []fakepl.Fault{fakepl.LostAnswer, fakepl.Refused}, want: "unknown"},
		{name: "done late, then refused", faults: []fakepl.Fault{fakepl.DelayedExecution, fakepl.Refused}, want: "unknown"},
		{name: "silent", faults: []fakepl.Fault{fakepl.Silent}, want: "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := fakepl.NewStore()
				store.LateBy = 2 * time.Second
				store.SetFault(faults(fakepl.PathTxn, c.faults...))
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				g.Expect(outcomeOf(newService(store).Submit(ctx, newJob()))).To(Equal(c.want))
				time.Sleep(10 * time.Second)
				if c.want == "refused" {
					g.Expect(store.Value(work.JobKey(testJob))).To(BeNil())
				}
			})
		})
	}
}

func outcomeOf(err error) string {
	var refused *intake.RefusedError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &refused):
		return "refused"
	}
	return "unknown"
}

// Guards against a submission that times out on a silent store although another instance could store the job.
func TestSubmitThroughAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakepl.NewStore()
		store.SetFault(func(string) fakepl.Fault { return fakepl.Silent })
		service := newService(store)
		relayCalls := 0
		service.Relay = func(ctx context.Context, _ intake.Change) error {
			if relayCalls++; relayCalls < 3 {
				return errors.Join(clock.Sleep(ctx, 600*time.Millisecond), errors.New("no answer"))
			}
			return clock.Sleep(ctx, 100*time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		NewWithT(t).Expect(outcomeOf(service.Submit(ctx, newJob()))).To(Equal("accepted"))
	})
}

// Guards against an unknown result for a call that arrives without enough time and is not attempted.
func TestSubmitWithoutTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakepl.NewStore()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		NewWithT(t).Expect(outcomeOf(newService(store).Submit(ctx, newJob()))).To(Equal("refused"))
	})
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

// Guards against a wrong HTTP status for each kind of call and refusal, and against a 503 without Retry-After.
func TestJobAPIStatusCodes(t *testing.T) {
	config := &work.Config{
		Version: 1, MaxBodyBytes: 4096,
		Queues:  []work.Queue{{Name: "check", Host: "a.example", Prefix: "/check/"}, {Name: "open", Host: "a.example", Prefix: "/check/open/", Anonymous: true}},
		Tenants: map[model.CustomerID]work.Tenant{"big": {Name: "big", Keys: []string{"key-1"}}},
	}
	config.Index()
	body := `{"spec":"x","steps":[{"count":1,"cpu":500}]}`
	for _, c := range []struct {
		name, method, path, key, body string
		noConfig                      bool
		want                          int
	}{
		{name: "submission", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: body, want: 200},
		{name: "unknown key", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-2", body: body, want: 401},
		{name: "no key on an open queue", method: http.MethodPost, path: "/check/open/00000000000000a1", body: body, want: 200},
		{name: "unknown queue", method: http.MethodPost, path: "/other/00000000000000a1", key: "key-1", body: body, want: 404},
		{name: "malformed id", method: http.MethodPost, path: "/check/xyz", key: "key-1", body: body, want: 404},
		{name: "malformed body", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: "{", want: 400},
		{name: "no steps", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: `{"spec":"x"}`, want: 400},
		{name: "body too large", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: string(make([]byte, 5000)), want: 413},
		{name: "no configuration yet", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: body, noConfig: true, want: 503},
		{name: "state of an unknown job", method: http.MethodGet, path: "/check/00000000000000b1", key: "key-1", want: 410},
		{name: "cancel of an unknown job", method: http.MethodDelete, path: "/check/00000000000000b1", key: "key-1", want: 410},
		{name: "count of a queue", method: http.MethodGet, path: "/check/", key: "key-1", want: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				jobAPI := &platform.JobAPI{
					Log: zerolog.Nop(), Jobs: newService(fakepl.NewStore()), Closing: func() bool { return false },
					Observe: func(string, int, time.Duration) {},
					Config: func() *work.Config {
						if c.noConfig {
							return nil
						}
						return config
					},
				}
				net := memnet.New()
				net.SetHandler("a.example", jobAPI)
				req, err := http.NewRequestWithContext(t.Context(), c.method, "http://a.example"+c.path, bodyOf(c.body))
				g.Expect(err).NotTo(HaveOccurred())
				if c.key != "" {
					req.Header.Set("Authorization", "Bearer "+c.key)
				}
				res, err := net.Client("caller").Do(req)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(res.StatusCode).To(Equal(c.want))
				g.Expect(res.Body.Close()).To(Succeed())
				if c.want == http.StatusServiceUnavailable {
					g.Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
				}
			})
		})
	}
}

func bodyOf(text string) io.Reader {
	if text == "" {
		return nil
	}
	return strings.NewReader(text)
}
