package intake_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against lines from which an engineer cannot tell whether a submission in doubt was stored, or takes one that was stored by
// an earlier attempt for a second job.
func TestLinesOfASubmissionInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := fakepl.NewStore()
		service := newService(store)
		var lines bytes.Buffer
		service.Log = zerolog.New(&lines)
		submit := func(fault fakepl.Fault) string {
			lines.Reset()
			store.SetFault(func(string) fakepl.Fault { return fault })
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_ = service.Submit(ctx, newJob()) //nolint:errcheck // The line tells the result.
			return lines.String()
		}
		g.Expect(submit(fakepl.Silent)).To(And(ContainSubstring(`"outcome":"in-doubt"`), ContainSubstring(`"attempts":2`)))
		g.Expect(submit(fakepl.Healthy)).To(And(ContainSubstring(`"outcome":"stored"`), ContainSubstring(`"revision":`)))
		g.Expect(submit(fakepl.Healthy)).To(And(ContainSubstring(`"outcome":"stored-before"`), ContainSubstring(`"revision":`)))
	})
}

// Guards against an accepted job without a record that looks like one that nobody submitted.
func TestLineOfAnAcceptedJobWithoutRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := fakepl.NewStore()
		service := newService(store)
		var lines bytes.Buffer
		service.Log = zerolog.New(&lines)
		g.Expect(service.Submit(t.Context(), newJob())).To(Succeed())
		store.Remove(work.JobKey(testJob))
		_, err := service.Status(t.Context(), testJob)
		g.Expect(err).To(HaveOccurred())
		g.Expect(lines.String()).To(ContainSubstring("intake: no record of a job that was accepted here"))
	})
}

// Guards against a call that is counted as answered although its caller was gone, and against the line that would tell its step.
func TestCallWhoseCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := fakepl.NewStore()
		store.SetFault(func(string) fakepl.Fault { return fakepl.Silent })
		var lines bytes.Buffer
		service := newService(store)
		service.Log = zerolog.New(&lines)
		config := &work.Config{Version: 1, Queues: []work.Queue{{Name: "check", Host: "a.example", Prefix: "/check/", Anonymous: true}}}
		config.Index()
		statuses := []int{}
		jobAPI := &platform.JobAPI{
			Log: zerolog.New(&lines), Jobs: service, Closing: func() bool { return true },
			Observe: func(_ string, status int, _ time.Duration) { statuses = append(statuses, status) },
			Config:  func() *work.Config { return config },
		}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, leave)
		body := bodyOf(`{"spec":"x","steps":[{"count":1,"cpu":500}]}`)
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://a.example/check/"+string(testJob), body)
		jobAPI.ServeHTTP(httptest.NewRecorder(), r)
		g.Expect(statuses).To(Equal([]int{499}))
		g.Expect(lines.String()).To(And(
			ContainSubstring("calls: connection ended before the answer"), ContainSubstring(`"call":"submit"`),
			ContainSubstring(`"took":300`), ContainSubstring(`"stopping":true`), ContainSubstring(`"call-ended":"context canceled"`),
		))
	})
}

// Guards against lines on refused calls without bound: a caller with a wrong key may send thousands a second.
func TestLinesOfRefusedCallsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	refused := 0
	config := &work.Config{Version: 7}
	jobAPI := &platform.JobAPI{
		Log: zerolog.New(&lines), Closing: func() bool { return false }, Config: func() *work.Config { return config },
		Observe: func(string, int, time.Duration) { refused++ },
	}
	for range 1000 {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://a.example/check/1", nil)
		jobAPI.ServeHTTP(httptest.NewRecorder(), r)
	}
	g.Expect(refused).To(Equal(1000))
	g.Expect(bytes.Count(lines.Bytes(), []byte(`"why":"no such queue","config":7`))).To(BeNumerically("<=", 40), "20 in each second")
	g.Expect(lines.String()).To(ContainSubstring("calls: call refused"))
}
