package main_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faults")
}

// programs holds the paths of the built programs.
type programs struct{ Daemon, Standin string }

var builtPrograms programs

var _ = SynchronizedBeforeSuite(func() []byte {
	daemon, err := gexec.Build("peridotgw.example/peridotgw/peridotd")
	Expect(err).NotTo(HaveOccurred())
	standin, err := gexec.Build("peridotgw.example/peridotgw/standin")
	Expect(err).NotTo(HaveOccurred())
	paths, err := json.Marshal(programs{Daemon: daemon, Standin: standin})
	Expect(err).NotTo(HaveOccurred())
	return paths
}, func(paths []byte) { Expect(json.Unmarshal(paths, &builtPrograms)).To(Succeed()) })

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)
