package member_test

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test that virtual time belongs to.
var suiteT *testing.T

func TestMember(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

// virtual runs fn in virtual time and ends what it started.
func virtual(fn func(ctx context.Context)) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fn(ctx)
	})
}
