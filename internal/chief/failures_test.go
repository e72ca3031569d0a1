package chief_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against a new leader that handles a failure before it has the configuration and fails the job too early.
func TestFailureBeforeTheConfigurationIsKnown(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		env.config.Queue("scan").MaxAttempts = 5
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Second, How: "failed"} }
		leader := env.start("a", nil)
		env.await(3*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		job := newJob("00000000000000d4", "scan", 1, 1)
		job.Terms = env.config.Queue("scan").Terms
		env.submit(job)
		env.await(12*time.Second, "the third run is there",
			func() bool { return env.fleet.StartCount(taskID("00000000000000d4", 0)) == 3 })
		leader.kill()
		env.sleep(100 * time.Millisecond)
		env.inForce.Store(nil)
		successor := env.start("b", nil)
		env.await(4*time.Second, "b leads", func() bool { return successor.chief.Load() != nil })
		env.sleep(2 * time.Second)
		env.Expect(successor.state("00000000000000d4")).NotTo(Equal(work.StateFailed))
		env.inForce.Store(env.config)
		env.await(12*time.Second, "the job has failed", func() bool { return successor.state("00000000000000d4") == work.StateFailed })
		env.Expect(env.fleet.StartCount(taskID("00000000000000d4", 0))).To(Equal(5))
	})
}

// Guards against failures that a new leader learns of out of order and counts too low.
func TestFailuresCountInAnyOrder(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		env.config.Queue("scan").MaxAttempts = 2
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Second, How: "failed"} }
		var refused atomic.Bool
		leader := env.start("a", refuseWrites(&refused, work.ProgressPrefix))
		env.await(3*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		env.submit(newJob("00000000000000c8", "scan", 1, 8))
		env.await(5*time.Second, "the first run is there",
			func() bool { return len(env.fleet.RunningOn(taskID("00000000000000c8", 0))) == 1 })
		first := env.fleet.RunningOn(taskID("00000000000000c8", 0))[0]
		refused.Store(true) // No end is stored.
		for _, w := range env.workers {
			if w.ID == first {
				w.SetFault(fakepl.FaultOn(fakepl.Refused, fakepl.PathStart)) // The second run goes elsewhere.
			}
		}
		env.await(3*time.Second, "the second run is there", func() bool { return env.fleet.StartCount(taskID("00000000000000c8", 0)) == 2 })
		leader.kill()
		successor := env.start("b", nil)
		env.net.SetFault("b", memnet.Host(first+":1"), memnet.Fault{Delay: 300 * time.Millisecond})
		env.await(8*time.Second, "the job has failed", func() bool { return successor.state("00000000000000c8") == work.StateFailed })
		env.Expect(env.fleet.StartCount(taskID("00000000000000c8", 0))).To(Equal(2))
	})
}

// refuseWrites makes an instance's store refuse transactions that write keys with a prefix, while refused is set.
func refuseWrites(refused *atomic.Bool, prefix string) func(*instance) {
	return func(i *instance) {
		execute := i.store.Txn
		i.store.Txn = func(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
			for _, write := range txn.Writes {
				if refused.Load() && strings.HasPrefix(write.Key, prefix) {
					return 0, &kv.RefusedError{Op: "txn", Status: http.StatusServiceUnavailable}
				}
			}
			return execute(ctx, txn)
		}
	}
}

// Guards against a task that is started once too often because a silent worker has not reported its last failure.
func TestLastAttemptWaitsForASilentWorker(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Second, How: "failed"} }
		env.submit(newJob("00000000000000c7", "tally", 1, 1)) // two attempts
		env.await(5*time.Second, "the first run has failed",
			func() bool { return env.fleet.StartCount(taskID("00000000000000c7", 0)) == 2 })
		last := env.fleet.RunningOn(taskID("00000000000000c7", 0))[0]
		env.net.SetFault("a", memnet.Host(last+":1"), memnet.Fault{DropRequests: true, DropAnswers: true})
		env.sleep(12 * time.Second)
		env.Expect(env.fleet.StartCount(taskID("00000000000000c7", 0))).To(Equal(2))
		env.net.SetFault("a", memnet.Host(last+":1"), memnet.Fault{})
		env.await(3*time.Second, "the job has failed", func() bool { return leader.state("00000000000000c7") == work.StateFailed })
	})
}
