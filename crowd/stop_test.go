package crowd_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const stopTimeout = 20 * time.Second // far longer than the grace time of the settings

// Guards against crowds at two servers that keep an instance from ending when it is told to, or make it end with an error.
func TestStopBesideACrowd(t *testing.T) {
	binary := buildProgram(t, "peridotd")
	for _, k := range []kind{kindWhole, kindSingle} {
		t.Run(string(k), func(t *testing.T) {
			g := NewWithT(t)
			site := newPlatformSite(t, binary)
			p := site.start(t)
			callers, peers := site.doors()
			g.Eventually(callers.serve, startTimeout, "100ms").Should(Succeed(), "an ordinary request before the crowd")
			sampling, endSampling := context.WithCancel(t.Context())
			defer endSampling()
			go p.sample(sampling)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			crowds := []*crowd{
				{address: callers.address, head: callers.head, kind: k}, {address: peers.address, head: peers.head, kind: k},
			}
			for _, c := range crowds {
				c.run(ctx)
			}
			time.Sleep(standTime)
			g.Eventually(callers.serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary request beside the crowds")
			g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
			g.Eventually(p.ended, stopTimeout).Should(BeClosed(), "the process ends")
			t.Logf("%s; peak: %s", p.cmd.ProcessState, p.peaks())
			g.Expect(p.cmd.ProcessState.ExitCode()).To(BeZero(), "of a planned stop")
			p.expectPeaksWithinLimits(g)
			leave()
			for _, c := range crowds {
				c.group.Wait()
			}
		})
	}
}
