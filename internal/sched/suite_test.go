package sched_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test in which withVirtualClock runs its bubbles.
var suiteT *testing.T

func TestSched(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

// withVirtualClock runs body in a synctest bubble.
func withVirtualClock(body func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		body()
	})
}
