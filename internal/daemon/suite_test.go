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

// suiteT is what synctest needs to start a bubble.
var suiteT *testing.T

// virtual runs body under virtual time.
func virtual(body func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		body()
	})
}
