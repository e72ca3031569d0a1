package crowd_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/platform/fakepl"
)

// outageTime is how long the store does not answer before an ordinary caller comes.
const outageTime = 5 * time.Second

// answered returns nil if err is that of a request with any answer.
func answered(err error) error {
	var answer *statusError
	if errors.As(err, &answer) {
		return nil
	}
	return err
}

// Guards against a crowd of complete requests with long deadlines that takes all connections and descriptors of an instance for as long as the
// store does not answer: others get no answer, not even a refusal.
func TestCompleteRequestsWhileTheStoreIsSilent(t *testing.T) {
	binary := buildProgram(t, "peridotd")
	for name, fault := range map[string]func(string) fakepl.Fault{
		"to all calls": func(string) fakepl.Fault { return fakepl.Silent },
		"to writes":    fakepl.FaultOn(fakepl.Silent, fakepl.PathTxn),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			site := newPlatformSite(t, binary)
			p := site.start(t)
			callers, _ := site.doors()
			g.Eventually(callers.serve, startTimeout, "100ms").Should(Succeed(), "an ordinary request before the crowd")
			sampling, endSampling := context.WithCancel(t.Context())
			defer endSampling()
			go p.sample(sampling)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			c := &crowd{address: callers.address, head: callers.head, kind: kindComplete}
			site.store.SetFault(fault)
			c.run(ctx)
			time.Sleep(outageTime)
			g.Eventually(func() error { return answered(callers.serve()) }, serveTimeout, "100ms").Should(Succeed(), "an answer beside the crowd")
			site.store.SetFault(nil)
			g.Eventually(callers.serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary request after the outage")
			leave()
			c.group.Wait()
			g.Eventually(callers.serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary request after the crowd")
			t.Logf("peak: %s", p.peaks())
			p.expectWithinLimits(g)
		})
	}
}
