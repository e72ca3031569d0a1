package store_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/store"
)

var suiteT *testing.T

func TestStore(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

// inVirtualTime returns a spec that runs body in virtual time.
func inVirtualTime(body func()) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			body()
		})
	}
}

// newClient returns a client without a breaker that calls handler in memory.
func newClient(handler http.Handler) *store.Client {
	return &store.Client{BaseURL: "http://store", Role: "test", Timeout: store.DefaultTimeout, Do: memnet.Do(handler)}
}

func newClientWithBreaker(handler http.Handler) *store.Client {
	client := newClient(handler)
	client.Breaker = &store.Breaker{}
	return client
}

// neverAnswer is a service that accepts calls and never answers.
var neverAnswer = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })

// callInterval is the time between the calls of a spec.
const callInterval = 100 * time.Millisecond
