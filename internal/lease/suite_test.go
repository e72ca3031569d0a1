package lease_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/lease"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// suiteT is the test in which inVirtualTime runs its bubbles.
var suiteT *testing.T

func TestLease(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// inVirtualTime returns a spec that runs body in virtual time, with a fake store and a context that ends with the spec.
func inVirtualTime(body func(ctx context.Context, kv *fakekv.Server)) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			ctx, cancel := context.WithCancel(context.Background())
			// Handlers whose callers timed out continue until they have applied the call.
			defer time.Sleep(10 * time.Second)
			defer cancel()
			body(ctx, fakekv.New())
		})
	}
}

// process is an instance that can be paused, as by a suspended VM.
type process struct {
	*lease.Holder
	pause chan struct{} // filled while the process is paused
}

// startProcess runs a Holder whose store calls stop while the process is paused; configure may change the Holder first.
func startProcess(ctx context.Context, kv http.Handler, instance model.InstanceID, configure func(*lease.Holder)) *process {
	do := memnet.Do(kv)
	p := &process{pause: make(chan struct{}, 1)}
	waitIfPaused := func() {
		p.pause <- struct{}{}
		<-p.pause
	}
	p.Holder = &lease.Holder{
		Store: &store.Client{
			BaseURL: "http://store", Timeout: store.DefaultTimeout, Instance: string(instance),
			Do: func(r *http.Request) (*http.Response, error) {
				waitIfPaused()
				defer waitIfPaused()
				return do(r)
			},
		},
		Instance: instance, Incarnation: "1",
	}
	configure(p.Holder)
	go func() {
		defer GinkgoRecover()
		Expect(p.Run(ctx)).To(Succeed())
	}()
	synctest.Wait()
	return p
}

// pauseFor pauses the process for d: its store calls are neither sent nor returned.
func (p *process) pauseFor(d time.Duration) {
	p.pause <- struct{}{}
	time.Sleep(d)
	<-p.pause
}

// unchanged configures a Holder with the defaults.
func unchanged(*lease.Holder) {}

const (
	ownerKey  = "/owner/waterworks"
	memberKey = "/member/a"
)
