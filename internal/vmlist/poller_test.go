package vmlist_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakevm"
	"peridotgw.example/peridotgw/internal/vmlist"
)

var suiteT *testing.T

func TestVMList(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "vmlist")
}

// newVM returns a live VM in the data centre library.
func newVM(name string, kind vmlist.Kind) vmlist.VM {
	return vmlist.VM{Name: name, Kind: kind, Address: name + ":80", DataCentre: "library", State: vmlist.StateLive, Incarnation: "1"}
}

// newPoller returns a poller that calls handler in memory.
func newPoller(handler http.Handler) *vmlist.Poller {
	return &vmlist.Poller{URL: "http://vms", Do: func(r *http.Request) (*http.Response, error) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		return recorder.Result(), r.Context().Err()
	}}
}

var _ = Describe("poller", func() {
	It("returns the entries by kind; guards against requests that are sent to workers", func() {
		poller := newPoller(fakevm.New(newVM("e", vmlist.KindEndpoint), newVM("w", vmlist.KindWorker)))
		Expect(poller.Poll(context.Background())).To(Succeed())
		Expect(poller.VMs(vmlist.KindEndpoint)).To(Equal([]vmlist.VM{newVM("e", vmlist.KindEndpoint)}))
		Expect(poller.VMs("")).To(HaveLen(2))
	})

	It("does not read an unchanged list again, and reads a changed one; guards against a stale list behind its entity tag", func() {
		list := fakevm.New(newVM("e", vmlist.KindEndpoint))
		unchanged := 0
		poller := newPoller(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			list.ServeHTTP(recorder, r)
			if recorder.Code == http.StatusNotModified {
				unchanged++
			}
			w.Header().Set("ETag", recorder.Header().Get("ETag"))
			w.WriteHeader(recorder.Code)
			if recorder.Body.Len() > 0 {
				_, err := w.Write(recorder.Body.Bytes())
				Expect(err).NotTo(HaveOccurred())
			}
		}))
		for range 3 {
			Expect(poller.Poll(context.Background())).To(Succeed())
			Expect(poller.VMs("")).To(HaveLen(1))
		}
		Expect(unchanged).To(Equal(2))
		list.Put(newVM("w", vmlist.KindWorker))
		Expect(poller.Poll(context.Background())).To(Succeed())
		Expect(poller.VMs("")).To(HaveLen(2))
	})

	It("keeps the last list while the service is down, and returns its age; guards against an empty list in an outage", func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			list := fakevm.New(newVM("e", vmlist.KindEndpoint))
			poller := newPoller(list)
			var notified atomic.Int32
			poller.Subscribe(func([]vmlist.VM) { notified.Add(1) })
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- poller.Run(ctx) }()
			time.Sleep(1500 * time.Millisecond)
			list.SetFaults(fakevm.Faults{Down: true})
			time.Sleep(10 * time.Second)
			Expect(poller.VMs("")).To(HaveLen(1))
			Expect(notified.Load()).To(BeEquivalentTo(2))
			age, ok := poller.Age()
			Expect(ok).To(BeTrue())
			Expect(age).To(Equal(10500 * time.Millisecond))
			cancel()
			Expect(<-ended).To(Succeed())
		})
	})

	It("ends a call after 2 s; guards against a service that hangs", func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			poller := &vmlist.Poller{URL: "http://vms", Do: func(r *http.Request) (*http.Response, error) {
				<-r.Context().Done()
				return nil, r.Context().Err()
			}}
			started := time.Now()
			Expect(poller.Poll(context.Background())).To(MatchError(context.DeadlineExceeded))
			Expect(time.Since(started)).To(Equal(2 * time.Second))
		})
	})

	// Guards against a broken answer that empties or falsifies the list.
	DescribeTable("refuses an answer that cannot be used and keeps the last list", func(status int, body string) {
		answerValid := true
		poller := newPoller(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if answerValid {
				_, err := w.Write([]byte(`[{"name":"e","kind":"endpoint","address":"e:80","data-centre":"library"}]`))
				Expect(err).NotTo(HaveOccurred())
				return
			}
			w.WriteHeader(status)
			_, err := w.Write([]byte(body))
			Expect(err).NotTo(HaveOccurred())
		}))
		Expect(poller.Poll(context.Background())).To(Succeed())
		answerValid = false
		err := poller.Poll(context.Background())
		Expect(err).To(HaveOccurred())
		var statusError *vmlist.StatusError
		Expect(errors.As(err, &statusError)).To(Equal(status != http.StatusOK))
		Expect(poller.VMs(vmlist.KindEndpoint)).To(HaveLen(1))
	},
		Entry("status 503", 503, ""),
		Entry("truncated JSON", 200, `[{"name":"e"`),
		Entry("a name twice", 200, `[{"name":"e","address":"a","data-centre":"d"},{"name":"e","address":"b","data-centre":"d"}]`),
	)

	It("returns a past list while it lags; guards against a fake that does not lag", func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			list := fakevm.New(newVM("old", vmlist.KindEndpoint))
			list.SetFaults(fakevm.Faults{LagMs: 5000})
			time.Sleep(time.Second)
			list.Put(newVM("new", vmlist.KindEndpoint))
			list.Remove("old")
			Expect(list.VMs()).To(HaveExactElements(HaveField("Name", "old")))
			time.Sleep(5 * time.Second)
			Expect(list.VMs()).To(HaveExactElements(HaveField("Name", "new")))
		})
	})
})
