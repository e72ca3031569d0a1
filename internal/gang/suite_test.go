package gang_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT carries the virtual clock of the specs.
var suiteT *testing.T

func TestGang(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "gang")
}

// virtual runs body under a virtual clock.
func virtual(body func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		body()
	})
}
