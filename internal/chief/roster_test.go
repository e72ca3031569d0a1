package chief_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/model"
)

// onRosterWrite makes an instance call before ahead of each write of the roster; with an error, the write is not made.
func onRosterWrite(before func(ctx context.Context, n int) error) func(*instance) {
	return func(i *instance) {
		txn := i.store.Txn
		writes := 0
		i.store.Txn = func(ctx context.Context, t kv.Txn) (kv.Revision, error) {
			if slices.ContainsFunc(t.Writes, func(w kv.Write) bool { return w.Key == "system-roster" }) {
				writes++
				if err := before(ctx, writes); err != nil {
					return 0, err
				}
			}
			return txn(ctx, t)
		}
	}
}

// Guards against accepted jobs that never run because the write of the roster failed and no later event of the registry repeated it.
func TestFailedRosterWriteIsRepeated(t *testing.T) {
	const id model.JobID = "00000000000000e1"
	withTestEnv(t, 2, func(env *testEnv) {
		env.quiet.Store(true)
		env.start("a", onRosterWrite(func(_ context.Context, n int) error {
			if n == 1 {
				return &kv.RefusedError{Op: "txn", Status: 503}
			}
			return nil
		}))
		env.submit(newJob(string(id), "scan", 1, 1))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID(string(id), 0))) == 1 })
	})
}

// Guards against workers that get no starts because they registered while an earlier write of the roster was in flight.
func TestWorkerThatRegistersDuringARosterWriteIsUsed(t *testing.T) {
	const id model.JobID = "00000000000000e2"
	withTestEnv(t, 1, func(env *testEnv) {
		env.quiet.Store(true)
		env.start("a", onRosterWrite(func(ctx context.Context, _ int) error { return clock.Sleep(ctx, 800*time.Millisecond) }))
		env.await(3*time.Second, "the roster is being written", func() bool { return env.store.Value("system/leader") != nil })
		env.sleep(300 * time.Millisecond)
		env.addWorker(1, 2)
		env.submit(newJob(string(id), "scan", 2, 8)) // Each task takes a whole worker.
		env.await(5*time.Second, "both tasks run", func() bool {
			return len(env.fleet.RunningOn(taskID(string(id), 0)))+len(env.fleet.RunningOn(taskID(string(id), 1))) == 2
		})
	})
}
