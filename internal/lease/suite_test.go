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

var suite *testing.T

func TestLease(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// virtual runs a spec's body in virtual time with a store and a context that ends with the spec.
func virtual(body func(ctx context.Context, kv *fakekv.Server)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			ctx, cancel := context.WithCancel(context.Background())
			// Handlers whose callers have given up go on until they have applied the call.
			defer time.Sleep(10 * time.Second)
			defer cancel()
			body(ctx, fakekv.New())
		})
	}
}

// process is an instance whose whole work can be paused, as by a stopped VM.
type process struct {
	*lease.Holder
	pause chan struct{}
}

func start(ctx context.Context, kv http.Handler, instance model.InstanceID, change func(*lease.Holder)) *process {
	do := memnet.Do(kv)
	p := &process{pause: make(chan struct{}, 1)}
	running := func() {
		p.pause <- struct{}{}
		<-p.pause
	}
	p.Holder = &lease.Holder{
		Store: &store.Client{
			BaseURL: "http://store", Timeout: store.DefaultTimeout, Instance: string(instance),
			Do: func(r *http.Request) (*http.Response, error) {
				running()
				defer running()
				return do(r)
			},
		},
		Instance: instance, Incarnation: "1",
	}
	change(p.Holder)
	go func() {
		defer GinkgoRecover()
		Expect(p.Run(ctx)).To(Succeed())
	}()
	synctest.Wait()
	return p
}

// sleepPaused stops the process for a time: its calls neither leave nor return.
func (p *process) sleepPaused(d time.Duration) {
	p.pause <- struct{}{}
	time.Sleep(d)
	<-p.pause
}

func plain(*lease.Holder) {}

const (
	owner  = "/owner/waterworks"
	member = "/member/a"
)
