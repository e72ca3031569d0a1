package memnet_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
)

// suiteT is the test that virtual time belongs to.
var suiteT *testing.T

func TestMemnet(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "memnet")
}

func virtual(body func()) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			body()
		})
	}
}

// call sends a request from host a to host b that gives up after 10 s.
func call(network *memnet.Net) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://b/", nil)
	Expect(err).NotTo(HaveOccurred())
	answer, err := network.Transport("a").RoundTrip(request)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

var _ = Describe("Net", func() {
	// Guards against a network whose answers take no time, which would hide ages that leave out the way back.
	It("takes the latency for the request and again for the answer", virtual(func() {
		network := memnet.New()
		network.Latency = 2 * time.Second
		network.Serve("b", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }))
		started := time.Now()
		Expect(call(network)).To(Succeed())
		Expect(time.Since(started)).To(Equal(5 * time.Second))
	}))

	// Guards against a partition that lets answers through to calls that were sent before it.
	It("drops the answer of a call that a partition meets, until the partition ends", virtual(func() {
		network, served := memnet.New(), 0
		network.Serve("b", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			served++
			network.Partition("b", "a", true)
		}))
		started := time.Now()
		Expect(call(network)).To(MatchError(context.DeadlineExceeded))
		Expect(time.Since(started)).To(Equal(10 * time.Second))
		Expect(call(network)).To(MatchError(context.DeadlineExceeded))
		Expect(served).To(Equal(1), "requests are dropped as well")
		network.Serve("b", http.NotFoundHandler())
		network.Partition("a", "b", false)
		Expect(call(network)).To(Succeed())
	}))

	// Guards against a broken connection that looks like a refused one, which proves that nothing ran.
	It("tells a handler that breaks the connection from a host that is not there", virtual(func() {
		network := memnet.New()
		Expect(call(network)).To(Equal(&memnet.CutError{From: "a", To: "b"}))
		network.Serve("b", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		Expect(call(network)).To(Equal(&memnet.LostError{From: "a", To: "b"}))
	}))
})
