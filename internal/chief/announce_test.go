package chief_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// muteJobWatch makes the watches of an instance report no changes of jobs while mute is set, as a store that drops its history.
func muteJobWatch(mute *atomic.Bool) func(*instance) {
	return func(i *instance) {
		watch := i.store.Watch
		i.store.Watch = func(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Changes, error) {
			if prefix != work.JobPrefix || !mute.Load() {
				return watch(ctx, prefix, after, wait)
			}
			return kv.Changes{At: after}, clock.Sleep(ctx, wait)
		}
	}
}

// announceTo passes the changes that callers make to the scheduler of an instance.
func announceTo(i *instance) func(intake.Announcement) {
	return func(a intake.Announcement) {
		if a.Change.Submit != nil {
			i.chief.Load().AnnounceJob(a.Change.Submit, a.Revision)
			return
		}
		i.chief.Load().AnnounceCancel(a.Change.Cancel)
	}
}

// Guards against urgent jobs that wait, and cancelled ones that run on, while the store's watches report nothing.
func TestJobsStartWhileWatchesAreMute(t *testing.T) {
	const id model.JobID = "00000000000000c1"
	withTestEnv(t, 2, func(env *testEnv) {
		var mute atomic.Bool
		leader := env.start("a", muteJobWatch(&mute))
		env.sleep(3 * time.Second)
		env.jobIntake.Announce = announceTo(leader)
		mute.Store(true)
		env.sleep(time.Second)
		env.submit(newJob(string(id), "check", 1, 1))
		env.await(100*time.Millisecond, "it runs", func() bool { return len(env.fleet.RunningOn(taskID(string(id), 0))) == 1 })
		env.Expect(env.jobIntake.Cancel(env.ctx, id)).To(Succeed())
		env.await(300*time.Millisecond, "it has stopped", func() bool { return len(env.fleet.RunningOn(taskID(string(id), 0))) == 0 })
		mute.Store(false)
		env.sleep(2 * time.Second)
		env.Expect(env.fleet.StartCount(taskID(string(id), 0))).To(Equal(1))
	})
}

// Guards against a job that runs again because its announcement arrives after its removal, or in a later term.
func TestLateAnnouncementsAreIgnored(t *testing.T) {
	const id model.JobID = "00000000000000c2"
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		var late intake.Announcement
		env.jobIntake.Announce = func(a intake.Announcement) { late = a }
		env.submit(newJob(string(id), "scan", 1, 1))
		env.await(5*time.Second, "it is completed", func() bool { return leader.state(id) == work.StateCompleted })
		env.await(3*time.Minute, "it is removed", func() bool { return leader.state(id) == "" })
		env.Expect(leader.chief.Load().AnnounceJob(late.Change.Submit, late.Revision)).To(BeTrue())
		env.sleep(time.Second)
		env.Expect(env.fleet.StartCount(taskID(string(id), 0))).To(Equal(1))
		leader.kill()
		successor := env.start("b", nil)
		env.sleep(5 * time.Second)
		env.Expect(successor.chief.Load().AnnounceJob(late.Change.Submit, late.Revision)).To(BeTrue())
		env.sleep(time.Second)
		env.Expect(env.fleet.StartCount(taskID(string(id), 0))).To(Equal(1))
	})
}
