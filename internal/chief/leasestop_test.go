package chief_test

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	rosterKey = "system-roster"
	// longestLease is the time after which a lease of the test's scheduler has certainly expired.
	longestLease = 6400 * time.Millisecond
)

// hangingJob submits a job with one task that never ends by itself, and returns its task and the worker that runs it.
func (e *testEnv) hangingJob(id string) (task, worker string) {
	e.fleet.WithLock(func() {
		e.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{Hang: true} }
	})
	task = taskID(id, 0)
	e.submit(newJob(id, "scan", 1, 1))
	e.await(5*time.Second, "it runs", func() bool { return len(e.fleet.RunningOn(task)) == 1 })
	e.awaitPoll()
	return task, e.fleet.RunningOn(task)[0]
}

// cutOff drops all calls of instances to a worker, which renews its registration and runs on.
func (e *testEnv) cutOff(worker string, apart bool, instances ...memnet.Host) {
	for _, i := range instances {
		e.net.SetFault(i, memnet.Host(worker+":1"), memnet.Fault{DropRequests: apart, DropAnswers: apart})
	}
}

// handOver ends an instance that leads; another one leads at once.
func (e *testEnv) handOver(leader *instance) {
	leader.elector.Resign(e.ctx)
	leader.kill()
}

// lose takes a worker away for good and without a word.
func (e *testEnv) lose(id string) {
	for _, w := range e.workers {
		if w.ID == id {
			w.Crash()
			w.SetFault(func(string) fakepl.Fault { return fakepl.Silent })
		}
	}
	e.store.Remove(fakepl.WorkerKey(id))
}

// Guards against a second run of a task whose worker answered again after an earlier leader had recorded that its leases end: the leases
// were extended, and the worker is cut off again while the leader changes.
func TestExtendedLeasesAreWaitedFor(t *testing.T) {
	withTestEnv(t, 3, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(time.Second)
		env.start("b", nil)
		task, worker := env.hangingJob("00000000000000a1")
		env.cutOff(worker, true, "a")
		env.sleep(3 * time.Second)
		env.cutOff(worker, false, "a")
		env.sleep(5 * time.Second)
		env.Expect(env.fleet.StartCount(task)).To(Equal(1), "its leases are extended again")
		env.cutOff(worker, true, "a", "b")
		env.sleep(100 * time.Millisecond)
		leader.kill()
		env.await(12*time.Second, "it runs elsewhere", func() bool { return env.fleet.StartCount(task) == 2 })
	})
}

// Guards against the same where the worker answers the next leader, which only knows the record.
func TestLeasesExtendedByTheSuccessorAreWaitedFor(t *testing.T) {
	withTestEnv(t, 3, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(time.Second)
		successor := env.start("b", nil)
		env.sleep(time.Second)
		task, worker := env.hangingJob("00000000000000a9")
		env.cutOff(worker, true, "a")
		env.sleep(3 * time.Second)
		env.handOver(leader)
		env.start("c", nil)
		env.sleep(10 * time.Second)
		env.Expect(env.fleet.StartCount(task)).To(Equal(1), "its leases are extended again")
		env.cutOff(worker, true, "b", "c")
		env.handOver(successor)
		env.await(9*time.Second, "it runs elsewhere", func() bool { return env.fleet.StartCount(task) == 2 })
	})
}

// Guards against leases that are extended while the store still says that they end: the answering worker is not known to the store as such
// when the leader changes.
func TestNoLeaseIsExtendedBeforeTheRosterSaysSo(t *testing.T) {
	withTestEnv(t, 3, func(env *testEnv) {
		var refused atomic.Bool
		leader := env.start("a", refuseWrites(&refused, rosterKey))
		env.sleep(time.Second)
		env.start("b", nil)
		task, worker := env.hangingJob("00000000000000a2")
		env.cutOff(worker, true, "a")
		env.sleep(3 * time.Second)
		refused.Store(true)
		env.cutOff(worker, false, "a")
		env.sleep(4 * time.Second)
		env.cutOff(worker, true, "a", "b")
		leader.kill()
		env.await(12*time.Second, "it runs elsewhere", func() bool { return env.fleet.StartCount(task) == 2 })
	})
}

// doubtfulRosterWrites makes the roster writes of an instance that also write the notice, while set, unanswered and executed late.
func doubtfulRosterWrites(doubtful *atomic.Bool, late time.Duration) func(*instance) {
	return func(i *instance) {
		execute := i.store.Txn
		i.store.Txn = func(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
			if !doubtful.Load() || !slices.ContainsFunc(txn.Writes, func(w kv.Write) bool { return w.Key == "system/notice" }) {
				return execute(ctx, txn)
			}
			time.AfterFunc(late, func() {
				_, _ = execute(context.Background(), txn) //nolint:errcheck // nobody learns of the result
			})
			<-ctx.Done()
			return 0, &kv.InDoubtError{Op: "txn", Cause: errors.New("no answer")}
		}
	}
}

// Guards against a record of ended leases that takes effect, by a write without an answer, after the leases were extended again.
func TestLateRecordOfEndedLeasesHasNoEffect(t *testing.T) {
	for _, late := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			withTestEnv(t, 3, func(env *testEnv) {
				var doubtful atomic.Bool
				leader := env.start("a", doubtfulRosterWrites(&doubtful, late))
				env.sleep(time.Second)
				env.start("b", nil)
				task, worker := env.hangingJob("00000000000000a3")
				doubtful.Store(true)
				env.cutOff(worker, true, "a")
				env.sleep(3200 * time.Millisecond)
				doubtful.Store(false)
				env.cutOff(worker, false, "a")
				env.sleep(10 * time.Second)
				env.Expect(env.fleet.StartCount(task)).To(Equal(1), "its leases are extended again")
				env.cutOff(worker, true, "a", "b")
				leader.kill()
				env.await(12*time.Second, "it runs elsewhere", func() bool { return env.fleet.StartCount(task) == 2 })
			})
		})
	}
}

// Guards against leases that are extended after a write without an answer, which has recorded their end.
func TestNoLeaseIsExtendedAfterADoubtfulRecord(t *testing.T) {
	withTestEnv(t, 3, func(env *testEnv) {
		var doubtful, refused atomic.Bool
		leader := env.start("a", func(i *instance) {
			doubtfulRosterWrites(&doubtful, 100*time.Millisecond)(i)
			refuseWrites(&refused, rosterKey)(i)
		})
		env.sleep(time.Second)
		env.start("b", nil)
		task, worker := env.hangingJob("00000000000000aa")
		doubtful.Store(true)
		env.cutOff(worker, true, "a")
		env.sleep(2900 * time.Millisecond) // The record is written by now, and its write not answered.
		refused.Store(true)
		env.cutOff(worker, false, "a")
		env.sleep(5 * time.Second)
		env.cutOff(worker, true, "a", "b")
		env.handOver(leader)
		env.await(9*time.Second, "it runs elsewhere", func() bool { return env.fleet.StartCount(task) == 2 })
	})
}

// Guards against a second run beside one on a worker that restarted under its id after the end of its leases was recorded.
func TestRestartedWorkerIsWaitedFor(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(time.Second)
		env.start("b", nil)
		task, id := env.hangingJob("00000000000000a4")
		worker, other := env.workers[0], env.workers[1]
		if worker.ID != id {
			worker, other = other, worker
		}
		other.SetFault(fakepl.FaultOn(fakepl.Refused, fakepl.PathStart))
		env.cutOff(id, true, "a")
		env.sleep(3 * time.Second)
		env.quiet.Store(true) // The leader learns of the restart from the worker's answer.
		worker.Crash()
		worker.Start()
		env.cutOff(id, false, "a")
		env.await(9*time.Second, "it runs again", func() bool { return env.fleet.StartCount(task) == 2 })
		other.SetFault(nil)
		env.sleep(8 * time.Second)
		env.cutOff(id, true, "a", "b")
		env.handOver(leader)
		env.await(9*time.Second, "it runs elsewhere", func() bool { return env.fleet.StartCount(task) == 3 })
	})
}

// Guards against a second run beside one on a worker that is cut off from the leaders only, and against a wait that is longer than one
// lease over several terms.
func TestCutOffWorkerIsWaitedForOnceOverManyTerms(t *testing.T) {
	withTestEnv(t, 3, func(env *testEnv) {
		names := []memnet.Host{"a", "b", "c", "d"}
		var instances []*instance
		for _, name := range names {
			instances = append(instances, env.start(string(name), nil))
			env.sleep(time.Second)
		}
		task, worker := env.hangingJob("00000000000000a6")
		env.cutOff(worker, true, names...)
		// A poll that a worker holds open, and one more, are without an answer by then.
		env.sleep(3 * time.Second)
		silentAt := time.Now()
		for range 2 {
			leader := slices.IndexFunc(instances, (*instance).leads)
			env.handOver(instances[leader])
			env.await(4*time.Second, "another leads", func() bool { return slices.ContainsFunc(instances, (*instance).leads) })
			env.sleep(time.Second)
		}
		env.await(longestLease, "it runs elsewhere", func() bool { return env.fleet.StartCount(task) == 2 })
		env.Expect(time.Since(silentAt)).To(BeNumerically("<", longestLease+time.Second))
	})
}

// Guards against waits that count from the start of the process that leads next: it knows of the wait only what the store says.
func TestNewProcessesWaitOnceForALostWorker(t *testing.T) {
	withTestEnv(t, 3, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(time.Second)
		task, worker := env.hangingJob("00000000000000a7")
		env.lose(worker)
		for _, name := range []string{"b", "c", "d"} {
			env.sleep(2 * time.Second)
			leader.kill()
			leader = env.start(name, nil)
			env.await(4*time.Second, "it leads", leader.leads)
		}
		// The last one leads after more than a lease; the worker's host drops packets, so that one call without an answer takes 0.6 s.
		env.await(time.Second, "it runs elsewhere", func() bool { return env.fleet.StartCount(task) == 2 })
	})
}

// Guards against writes of the roster that repeat while nothing changes.
func TestNothingIsWrittenWhileAllWorkersAnswer(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		var writes atomic.Int32
		env.start("a", onRosterWrite(func(context.Context, int) error { writes.Add(1); return nil }))
		env.sleep(3 * time.Second)
		_, worker := env.hangingJob("00000000000000a8")
		before := writes.Load()
		env.sleep(20 * time.Second)
		env.Expect(writes.Load()).To(Equal(before))
		env.cutOff(worker, true, "a")
		env.sleep(30 * time.Second)
		// One a half second while the leases may hold, and one once they have expired.
		env.Expect(writes.Load() - before).To(BeNumerically("<=", 14))
		settled := writes.Load()
		env.sleep(20 * time.Second)
		env.Expect(writes.Load()).To(Equal(settled))
	})
}

// Guards against a last attempt that waits longer for a worker that is gone than its leases may hold, after a change of the leader.
func TestLastAttemptWaitsForTheLeasesOfALostWorkerOnly(t *testing.T) {
	withTestEnv(t, 3, func(env *testEnv) {
		leader := env.start("a", nil)
		env.sleep(time.Second)
		env.start("b", nil)
		env.sleep(time.Second)
		env.fleet.WithLock(func() {
			env.fleet.Outcome = func(_ string, run int64, _ string) fakepl.Outcome {
				return fakepl.Outcome{After: time.Second, How: "failed", Hang: run > 1}
			}
		})
		task := taskID("00000000000000ab", 0)
		env.submit(newJob("00000000000000ab", "tally", 1, 1)) // two attempts
		env.await(5*time.Second, "the second run is there", func() bool { return env.fleet.StartCount(task) == 2 })
		env.lose(env.fleet.RunningOn(task)[0])
		env.sleep(4 * time.Second) // The poll that it holds open, and two more, are over.
		env.handOver(leader)
		env.await(longestLease-2*time.Second, "it runs again", func() bool { return env.fleet.StartCount(task) == 3 })
	})
}
