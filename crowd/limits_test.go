package crowd_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/platform/fakepl"
)

// ampleDescriptors is a limit in the settings that no crowd of these tests reaches.
const ampleDescriptors = 4 * maxDescriptors

// Guards against a crowd that ends a process whose settings do not give its memory: then GOMEMLIMIT, which the environment sets, holds.
func TestCrowdWithoutAMemoryLimitInTheSettings(t *testing.T) {
	site := newPlatformSiteOf(t, buildProgram(t, "peridotd"), fmt.Sprintf("limits.max_fds=%d", ampleDescriptors))
	callers, _ := site.doors()
	press(t, site.start(t, "GOMEMLIMIT="+softMemoryLimit), callers, kindWhole)
}

// Guards against accepted jobs that take all memory of a process whose settings do not give it.
func TestAcceptedJobsWithoutAMemoryLimitInTheSettings(t *testing.T) {
	g := NewWithT(t)
	site := newPlatformSiteOf(t, buildProgram(t, "peridotd"), fmt.Sprintf("limits.max_fds=%d", maxDescriptors))
	p := site.start(t, "GOMEMLIMIT="+softMemoryLimit)
	g.Eventually(func() error { return site.submit(0, fakepl.Job(1, 0, false, 1000)) }, startTimeout, "100ms").Should(Succeed())
	sampling, endSampling := context.WithCancel(t.Context())
	defer endSampling()
	go p.sample(sampling)
	accepted := site.submitMany(t, []byte(`{"spec":"x","steps":[{"count":20000,"cpu":1000,"estimate_ms":1000}]}`))
	t.Logf("%d accepted; peak: %s", len(accepted), p.peaks())
	p.expectWithinLimits(g)
}

// Guards against connections that take all descriptors of a process whose settings do not give their number: then the limit of the
// process holds.
func TestConnectionsWithoutADescriptorLimitInTheSettings(t *testing.T) {
	g := NewWithT(t)
	const vmMemoryMB = 284 // Less would bound the connections by itself.
	site := newPlatformSiteOf(t, buildProgram(t, "peridotd"), fmt.Sprintf("limits.memory_mb=%d", vmMemoryMB))
	p := site.start(t)
	callers, peers := site.doors()
	g.Eventually(callers.serve, startTimeout, "100ms").Should(Succeed())
	sampling, endSampling := context.WithCancel(t.Context())
	defer endSampling()
	go p.sample(sampling)
	for _, address := range []string{callers.address, peers.address} {
		for range crowdClients {
			dialer := net.Dialer{Timeout: crowdDialTimeout}
			if conn, err := dialer.DialContext(t.Context(), "tcp", address); err == nil {
				defer conn.Close()
			}
		}
	}
	time.Sleep(standTime)
	t.Logf("peak: %s", p.peaks())
	g.Eventually(callers.serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary request beside them")
	p.expectWithinLimits(g)
}
