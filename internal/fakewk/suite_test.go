package fakewk_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test under which synctest runs the specs.
var suiteT *testing.T

func TestFakewk(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "fakewk")
}

// virtual runs body under a virtual clock.
func virtual(body func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		body()
	})
}
