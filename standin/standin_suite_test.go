package main_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

var _ = SynchronizedBeforeSuite(func() []byte {
	path, err := gexec.Build("peridotgw.example/peridotgw/standin")
	Expect(err).NotTo(HaveOccurred())
	return []byte(path)
}, func(path []byte) { binary = string(path) })

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)
