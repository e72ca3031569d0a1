package intake_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/platform/fakepl"
)

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
