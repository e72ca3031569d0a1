package sched_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test in which inVirtualTime runs its bubbles.
var suiteT *testing.T

func TestSched(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

// inVirtualTime runs body in a synctest bubble.
func inVirtualTime(body func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		body()
	})
}
