package daemon_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDaemon(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

// suiteT is the test with which synctest starts bubbles.
var suiteT *testing.T

// inVirtualTime runs body in a synctest bubble, whose clock advances when all goroutines wait.
func inVirtualTime(body func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		body()
	})
}
