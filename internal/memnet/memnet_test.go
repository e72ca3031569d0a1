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

// suiteT is the test under which synctest runs the specs.
var suiteT *testing.T

func TestMemnet(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "memnet")
}

// virtual returns a spec body that runs under virtual time.
func virtual(body func()) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			body()
		})
	}
}

// call sends a request from host a to host b with a timeout of 10 s.
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
	// Guards against answers without latency, which would hide ages that omit the return path.
	It("takes the latency for the request and again for the answer", virtual(func() {
		network := memnet.New()
		network.Latency = 2 * time.Second
		network.SetHandler("b", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }))
		started := time.Now()
		Expect(call(network)).To(Succeed())
		Expect(time.Since(started)).To(Equal(5 * time.Second))
	}))

	// Guards against a partition that lets through answers to calls sent before it.
	It("drops the answer to a call in flight until the partition ends", virtual(func() {
		network, served := memnet.New(), 0
		network.SetHandler("b", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			served++
			network.Partition("b", "a", true)
		}))
		started := time.Now()
		Expect(call(network)).To(MatchError(context.DeadlineExceeded))
		Expect(time.Since(started)).To(Equal(10 * time.Second))
		Expect(call(network)).To(MatchError(context.DeadlineExceeded))
		Expect(served).To(Equal(1), "requests are dropped as well")
		network.SetHandler("b", http.NotFoundHandler())
		network.Partition("a", "b", false)
		Expect(call(network)).To(Succeed())
	}))

	// Guards against a broken connection reported as refused: a refusal proves that nothing ran.
	It("distinguishes a handler that breaks the connection from a missing host", virtual(func() {
		network := memnet.New()
		Expect(call(network)).To(Equal(&memnet.RefusedError{From: "a", To: "b"}))
		network.SetHandler("b", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		Expect(call(network)).To(Equal(&memnet.ResetError{From: "a", To: "b"}))
	}))
})
