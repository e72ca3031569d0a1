package claim_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/claim"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

var suiteT *testing.T

func TestClaim(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

// inVirtualTime runs a spec's body in virtual time with a store and a context that ends with the spec.
func inVirtualTime(body func(ctx context.Context, kv *fakekv.Server)) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			ctx, cancel := context.WithCancel(context.Background())
			// Handlers whose callers have timed out run until they have applied the call.
			defer time.Sleep(10 * time.Second)
			defer cancel()
			body(ctx, fakekv.New())
		})
	}
}

// startRegistry returns the registry of a process; its Run ends with ctx.
func startRegistry(ctx context.Context, handler http.Handler, instance model.InstanceID, incarnation model.Incarnation) *claim.Registry {
	registry := &claim.Registry{
		Store: &store.Client{
			BaseURL: "http://store", Timeout: store.DefaultTimeout, Do: memnet.Do(handler), Breaker: &store.Breaker{},
			Instance: string(instance),
		},
		Instance: instance, Incarnation: incarnation, Metrics: metric.New(),
	}
	go func() {
		defer GinkgoRecover()
		Expect(registry.Run(ctx)).To(Succeed())
	}()
	synctest.Wait()
	return registry
}

var (
	key  = claim.Key{Customer: "hollow creek/1", Request: "tally%2F1"}
	done = claim.Outcome{Outcome: reply.OutcomeDone, Status: 200, ContentType: "text/plain", Body: []byte("42")}
)

// begin claims a request with the class tally and the body digest 7.
func begin(ctx context.Context, registry *claim.Registry, k claim.Key, wait time.Duration) (*claim.Claim, *claim.Outcome, *reply.Error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return registry.Begin(ctx, k, "tally", 7)
}

// mustClaim begins a claim that must succeed.
func mustClaim(ctx context.Context, registry *claim.Registry, k claim.Key) *claim.Claim {
	GinkgoHelper()
	c, outcome, problem := begin(ctx, registry, k, 5*time.Second)
	Expect(problem).To(BeNil())
	Expect(outcome).To(BeNil())
	Expect(c).NotTo(BeNil())
	return c
}

// mustNotClaim begins a claim that must not succeed, and returns the error.
func mustNotClaim(ctx context.Context, registry *claim.Registry, k claim.Key) *reply.Error {
	GinkgoHelper()
	c, outcome, problem := begin(ctx, registry, k, 5*time.Second)
	Expect(c).To(BeNil())
	Expect(outcome).To(BeNil())
	Expect(problem).NotTo(BeNil())
	return problem
}
