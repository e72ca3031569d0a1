package gang_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test under which synctest runs the virtual clock of the specs.
var suiteT *testing.T

func TestGang(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "gang")
}

// inVirtualTime runs body under a virtual clock.
func inVirtualTime(body func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		body()
	})
}
