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

var suite *testing.T

func TestStore(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

// virtual runs a spec's body in virtual time.
func virtual(body func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			body()
		})
	}
}

func clientOf(handler http.Handler) *store.Client {
	return &store.Client{BaseURL: "http://store", Role: "test", Timeout: store.DefaultTimeout, Do: memnet.Do(handler)}
}

func withBreaker(handler http.Handler) *store.Client {
	client := clientOf(handler)
	client.Breaker = &store.Breaker{}
	return client
}

// hang is a service that takes calls and never answers.
var hang = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })

const tick = 100 * time.Millisecond
