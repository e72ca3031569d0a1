package opsapi_test

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test in which inVirtualTime starts its synctest bubbles.
var suiteT *testing.T

func TestOpsapi(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "opsapi")
}

// inVirtualTime runs fn in virtual time and cancels its context afterwards, which ends the goroutines that it started.
func inVirtualTime(fn func(ctx context.Context)) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fn(ctx)
	})
}
