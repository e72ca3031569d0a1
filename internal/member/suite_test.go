package member_test

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test in which inVirtualTime runs its bubbles.
var suiteT *testing.T

func TestMember(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
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
