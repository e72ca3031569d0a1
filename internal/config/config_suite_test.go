package config_test

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rapidSeed makes the random schedules reproducible.
const rapidSeed = "20260704"

// suiteT is the test that synctest runs its bubbles under.
var suiteT *testing.T

func TestConfig(t *testing.T) {
	suiteT = t
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		t.Fatal(err)
	}
	t.Logf("seed of random schedules: %s", rapidSeed)
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// inVirtualTime runs fn in virtual time and cancels its context when fn returns.
func inVirtualTime(fn func(ctx context.Context)) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fn(ctx)
	})
}
