package chief_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Guards against a job that runs again after its removal because a list of all jobs that was read before the removal arrives after it.
func TestListReadBeforeARemovalDoesNotBringTheJobBack(t *testing.T) {
	const id model.JobID = "00000000000000d7"
	withTestEnv(t, 2, func(env *testEnv) {
		var hold, held atomic.Bool
		leader := env.start("a", func(i *instance) {
			list := i.store.Range
			i.store.Range = func(ctx context.Context, prefix, after string) (kv.Page, error) {
				page, err := list(ctx, prefix, after)
				for prefix == work.JobPrefix && hold.Load() {
					held.Store(true)
					if sleepErr := clock.Sleep(ctx, 10*time.Millisecond); sleepErr != nil {
						return page, sleepErr
					}
				}
				return page, err
			}
		})
		env.submit(newJob(string(id), "scan", 1, 1))
		env.await(6*time.Second, "it is completed", func() bool { return leader.state(id) == work.StateCompleted })
		env.sleep(148500 * time.Millisecond)
		hold.Store(true)
		env.store.Put("other", nil)
		env.store.Compact()
		env.await(3*time.Second, "the list is being read", held.Load)
		env.Expect(leader.state(id)).To(Equal(work.StateCompleted))
		env.await(3*time.Second, "it is removed", func() bool { return leader.state(id) == "" })
		hold.Store(false)
		env.sleep(2 * time.Second)
		env.Expect(leader.state(id)).To(BeEmpty())
		env.Expect(env.fleet.StartCount(taskID(string(id), 0))).To(Equal(1))
	})
}
