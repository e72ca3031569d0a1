package main_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestPeridotctl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peridotctl")
}

var _ = SynchronizedBeforeSuite(func() []byte {
	path, err := gexec.Build("peridotgw.example/peridotgw/peridotctl")
	Expect(err).NotTo(HaveOccurred())
	return []byte(path)
}, func(path []byte) { binaryPath = string(path) })

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)
