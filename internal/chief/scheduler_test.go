package chief_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against a job that is accepted but never completes.
func TestJobCompletes(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		env.await(3*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		env.submit(newJob("00000000000000a1", "scan", 5, 2))
		env.await(5*time.Second, "the job is completed", func() bool { return leader.state("00000000000000a1") == work.StateCompleted })
	})
}

// Guards against a step that starts before the steps it depends on are done.
func TestStepsStartInOrder(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		job := newJob("00000000000000a2", "scan", 2, 1)
		job.Steps = append(job.Steps, work.Step{Count: 1, Need: work.Resources{CPU: 1000}, Estimate: time.Second, After: []int{0}})
		env.submit(job)
		env.await(5*time.Second, "the first step runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000a2", 1))) == 1 })
		env.Expect(env.fleet.StartCount("00000000000000a2.0.1.0")).To(Equal(0))
		env.await(6*time.Second, "the job is completed", func() bool { return leader.state("00000000000000a2") == work.StateCompleted })
	})
}

// Guards against a cancel that the store refuses because its record has no value, and against runs that go on after a cancel.
func TestCancelledJobStops(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		env.submit(newJob("00000000000000a3", "scan", 2, 1))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000a3", 1))) == 1 })
		env.Expect(env.jobIntake.Cancel(env.ctx, "00000000000000a3")).To(Succeed())
		env.await(time.Second, "it has stopped", func() bool {
			return len(env.fleet.RunningOn(taskID("00000000000000a3", 0)))+len(env.fleet.RunningOn(taskID("00000000000000a3", 1))) == 0
		})
		env.Expect(leader.state("00000000000000a3")).To(Equal(work.StateCancelled))
	})
}

// Guards against a new leader that acknowledges ends before it has loaded their jobs: their tasks would run again.
func TestSuccessorKeepsCompletedTasks(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(name string, _ int64, _ string) fakepl.Outcome {
			if strings.HasSuffix(name, ".0") {
				return fakepl.Outcome{After: 3 * time.Second, How: "done"}
			}
			return fakepl.Outcome{After: 9 * time.Second, How: "done"}
		}
		env.submit(newJob("00000000000000a4", "scan", 4, 8))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000a4", 3))) == 1 })
		env.sleep(time.Second)
		leader.kill()
		successor := env.start("b", func(i *instance) {
			list := i.store.Range
			i.store.Range = func(ctx context.Context, prefix, after string) (kv.Page, error) {
				if prefix == work.JobPrefix {
					if err := clock.Sleep(ctx, 800*time.Millisecond); err != nil {
						return kv.Page{}, err
					}
				}
				return list(ctx, prefix, after)
			}
		})
		env.await(14*time.Second, "the job is completed", func() bool { return successor.state("00000000000000a4") == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID("00000000000000a4", 0))).To(Equal(1))
	})
}

// Guards against a takeover that takes longer than the leases of the runs: they would expire and the tasks start again.
func TestSuccessorTakesOverRuns(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			return fakepl.Outcome{After: 12 * time.Second, How: "done"}
		}
		env.submit(newJob("00000000000000a5", "scan", 4, 8))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000a5", 3))) == 1 })
		successor := env.start("b", nil)
		leader.kill()
		env.submit(newJob("00000000000000b5", "check", 1, 0))
		took := env.await(4*time.Second, "the successor starts a task", func() bool {
			return len(env.fleet.RunningOn(taskID("00000000000000b5", 0))) == 1
		})
		t.Logf("from the kill to the successor's first start: %v", took)
		env.await(15*time.Second, "the job is completed", func() bool { return successor.state("00000000000000a5") == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID("00000000000000a5", 0))).To(Equal(1))
	})
}

// Guards against unanswered polls that extend the leases of a silent worker, so that they never count as expired.
func TestTasksOfASilentWorkerRestart(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.submit(newJob("00000000000000a6", "scan", 1, 1))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000a6", 0))) == 1 })
		lost := env.fleet.RunningOn(taskID("00000000000000a6", 0))[0]
		env.net.SetFault("a", memnet.Host(lost+":1"), memnet.Fault{DropRequests: true, DropAnswers: true})
		env.store.Remove(platform.RegistryKeyPrefix + lost)
		for _, w := range env.workers {
			if w.ID == lost {
				w.Crash()
			}
		}
		env.await(9*time.Second, "the task runs elsewhere",
			func() bool { return len(env.fleet.RunningOn(taskID("00000000000000a6", 0))) == 1 })
		env.await(4*time.Second, "the job is completed", func() bool { return leader.state("00000000000000a6") == work.StateCompleted })
	})
}

// Guards against a second run beside that of a worker that is cut off: its task must not start elsewhere before its lease expires.
func TestTasksOfAnIsolatedWorkerWaitForItsLease(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		env.submit(newJob("00000000000000a7", "scan", 1, 1))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000a7", 0))) == 1 })
		cut := env.fleet.RunningOn(taskID("00000000000000a7", 0))[0]
		env.net.SetFault("a", memnet.Host(cut+":1"), memnet.Fault{DropRequests: true, DropAnswers: true})
		env.store.Remove(platform.RegistryKeyPrefix + cut)
		env.await(9*time.Second, "the task runs elsewhere", func() bool { return env.fleet.StartCount(taskID("00000000000000a7", 0)) == 2 })
	})
}

// Guards against an unanswered start that is executed seconds later, beside the run that was started instead.
func TestStartExecutedLate(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.await(3*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		env.sleep(time.Second)
		for _, w := range env.workers {
			left := 3
			w.LateBy = 4 * time.Second
			w.SetFault(func(path string) fakepl.Fault {
				if path == fakepl.PathStart && left > 0 {
					left--
					return fakepl.DelayedExecution
				}
				return fakepl.Healthy
			})
		}
		env.submit(newJob("00000000000000a8", "scan", 1, 1))
		env.await(12*time.Second, "the job is completed", func() bool { return leader.state("00000000000000a8") == work.StateCompleted })
		env.sleep(8 * time.Second)
		env.Expect(env.fleet.RunningOn(taskID("00000000000000a8", 0))).To(BeEmpty())
	})
}

// Guards against a progress write that is executed late and replaces a newer record.
func TestLateWriteDoesNotReplaceNewerProgress(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(name string, _ int64, _ string) fakepl.Outcome {
			return fakepl.Outcome{After: time.Duration(1+2*strings.Count(name, ".3")) * time.Second, How: "done"}
		}
		env.await(3*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		env.submit(newJob("00000000000000a9", "scan", 4, 8))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000a9", 3))) == 1 })
		late := true
		env.store.LateBy = 4 * time.Second
		env.store.SetFault(func(path string) fakepl.Fault {
			if path == fakepl.PathTxn && late {
				late = false
				return fakepl.DelayedExecution
			}
			return fakepl.Healthy
		})
		env.await(8*time.Second, "the job is completed", func() bool { return leader.state("00000000000000a9") == work.StateCompleted })
		env.sleep(6 * time.Second)
		leader.kill()
		successor := env.start("b", nil)
		env.await(5*time.Second, "b knows the job", func() bool { return successor.state("00000000000000a9") != "" })
		env.Expect(successor.state("00000000000000a9")).To(Equal(work.StateCompleted))
	})
}

// Guards against members at 100 percent that wait for the rest of the gang and are stopped as stuck.
func TestFinishedMembersAreNotStuck(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: 8 * time.Second, How: "done"} }
		started := time.Now()
		env.fleet.Percent = func(name, _ string) int {
			if strings.HasSuffix(name, ".0") {
				return 100
			}
			return int(time.Since(started).Seconds() * 5)
		}
		env.submit(env.asGang(newJob("00000000000000c1", "scan", 2, 8)))
		env.await(14*time.Second, "the job is completed", func() bool { return leader.state("00000000000000c1") == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID("00000000000000c1", 0))).To(Equal(1))
	})
}

// Guards against a task that stays on a worker that answers but makes no progress.
func TestStuckTaskMoves(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		first := ""
		env.fleet.Outcome = func(_ string, _ int64, worker string) fakepl.Outcome {
			if first == "" {
				first = worker
			}
			return fakepl.Outcome{After: 2 * time.Second, How: "done", Hang: worker == first}
		}
		env.fleet.Percent = func(_, worker string) int {
			if worker == first {
				return 7
			}
			return 50
		}
		env.submit(newJob("00000000000000c2", "scan", 1, 1))
		env.await(8*time.Second, "the job is completed", func() bool { return leader.state("00000000000000c2") == work.StateCompleted })
	})
}

// Guards against tasks that count as stuck because the leader, uncertain of its term, did not poll their workers.
func TestTasksAreNotStuckAfterAnUnprovedTerm(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			return fakepl.Outcome{After: 12 * time.Second, How: "done"}
		}
		started := time.Now()
		env.fleet.Percent = func(string, string) int { return int(time.Since(started).Seconds() * 8) }
		env.submit(newJob("00000000000000c3", "scan", 2, 8))
		env.await(3*time.Second, "both tasks run", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000c3", 1))) == 1 })
		env.sleep(time.Second)
		leader.unproved.Store(true)
		env.sleep(4300 * time.Millisecond)
		leader.unproved.Store(false)
		env.await(16*time.Second, "the job is completed", func() bool { return leader.state("00000000000000c3") == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID("00000000000000c3", 0))).To(Equal(1))
		env.Expect(env.fleet.StartCount(taskID("00000000000000c3", 1))).To(Equal(1))
	})
}

// Guards against a gang that returns to a worker on which a member has just failed, because the fit there is tightest, while
// other workers are free.
func TestGangAvoidsAWorkerOnWhichATaskFailed(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		bad := ""
		starts := map[string]int{}
		env.fleet.Outcome = func(_ string, _ int64, worker string) fakepl.Outcome {
			if bad == "" {
				bad = worker
			}
			starts[worker]++
			if worker == bad {
				return fakepl.Outcome{After: 200 * time.Millisecond, How: "failed"}
			}
			return fakepl.Outcome{After: 2 * time.Second, How: "done"}
		}
		env.submit(env.asGang(newJob("00000000000000c5", "scan", 2, 8)))
		env.await(8*time.Second, "the job is completed", func() bool { return leader.state("00000000000000c5") == work.StateCompleted })
		env.Expect(starts[bad]).To(Equal(1))
	})
}

// Guards against a gang that spends all its attempts on one worker after another that fails every task, while others have just
// completed tasks.
func TestGangThatFailedGoesToProvenWorkers(t *testing.T) {
	withTestEnv(t, 5, func(env *testEnv) {
		leader := env.start("a", nil)
		outcomes := map[string]fakepl.Outcome{"00000000000000c6": {After: time.Minute, How: "done"}}
		env.fleet.Outcome = func(name string, _ int64, worker string) fakepl.Outcome {
			if outcome, found := outcomes[name[:len("00000000000000c6")]]; found {
				return outcome
			}
			if strings.HasPrefix(name, "00000000000000c8") && worker < "w-03" {
				return fakepl.Outcome{After: 100 * time.Millisecond, How: "failed"}
			}
			return fakepl.Outcome{After: time.Second, How: "done"}
		}
		env.submit(newJob("00000000000000c6", "scan", 3, 8))
		env.await(3*time.Second, "the first job runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000c6", 2))) == 1 })
		env.submit(newJob("00000000000000c7", "scan", 2, 8))
		env.await(3*time.Second, "the second job is completed",
			func() bool { return leader.state("00000000000000c7") == work.StateCompleted })
		env.Expect(env.jobIntake.Cancel(env.ctx, "00000000000000c6")).To(Succeed())
		env.await(3*time.Second, "the first job is cancelled",
			func() bool { return leader.state("00000000000000c6") == work.StateCancelled })
		env.sleep(time.Second)
		env.submit(env.asGang(newJob("00000000000000c8", "scan", 2, 8)))
		env.await(8*time.Second, "the gang is completed", func() bool { return leader.state("00000000000000c8") == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID("00000000000000c8", 0))).To(Equal(2))
	})
}

// Guards against new runs on a worker whose restart was not known yet that are dropped and start elsewhere as well.
func TestRunsAfterAWorkerRestartStay(t *testing.T) {
	withTestEnv(t, 1, func(env *testEnv) {
		leader := env.start("a", nil)
		env.await(3*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		env.sleep(2 * time.Second)
		env.workers[0].Crash()
		env.workers[0].Start()
		env.submit(newJob("00000000000000d2", "scan", 2, 1))
		env.await(time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000d2", 1))) == 1 })
		env.heartbeat(env.workers[0])
		env.await(4*time.Second, "the job is completed", func() bool { return leader.state("00000000000000d2") == work.StateCompleted })
		env.Expect(env.fleet.StartCount(taskID("00000000000000d2", 0))).To(Equal(1))
	})
}

// Guards against a failed gang member whose resources count as being freed for ever: urgent work would wait for capacity
// that never becomes free.
func TestFailedMemberHoldsNoResources(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", nil)
		failed := false
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			if !failed {
				failed = true
				return fakepl.Outcome{After: 300 * time.Millisecond, How: "failed"}
			}
			return fakepl.Outcome{After: 20 * time.Second, How: "done"}
		}
		env.submit(env.asGang(newJob("00000000000000c3", "scan", 2, 8)))
		env.await(6*time.Second, "the gang runs again", func() bool { return env.fleet.StartCount(taskID("00000000000000c3", 1)) == 2 })
		env.submit(env.asGang(newJob("00000000000000c4", "check", 2, 8)))
		env.await(reclaimBound, "the urgent gang has reclaimed the workers", func() bool {
			return len(env.fleet.RunningOn(taskID("00000000000000c4", 1))) == 1
		})
		// The answer to a start arrives a millisecond after the start.
		env.await(100*time.Millisecond, "it is shown as running",
			func() bool { return leader.state("00000000000000c4") == work.StateRunning })
	})
}

// Guards against guaranteed capacity that is not reclaimed in time, and against more preemptions than necessary.
func TestGuaranteedWorkReclaims(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			return fakepl.Outcome{After: 30 * time.Second, How: "done"}
		}
		lent := newJob("00000000000000c5", "tally", 32, 1)
		lent.Tenant = "small"
		env.submit(lent)
		env.await(5*time.Second, "lent work fills all workers",
			func() bool { return len(env.fleet.RunningOn(taskID("00000000000000c5", 31))) == 1 })
		env.submit(env.asGang(newJob("00000000000000c6", "check", 2, 8)))
		env.await(reclaimBound, "the urgent gang runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000c6", 1))) == 1 })
		left := 0
		for i := range 32 {
			left += len(env.fleet.RunningOn(taskID("00000000000000c5", i)))
		}
		env.Expect(left).To(Equal(16))
	})
}

// Guards against a gang that lost a member between two terms and then never ends.
func TestIncompleteGangOfAnEarlierTermStartsAgain(t *testing.T) {
	withTestEnv(t, 3, func(env *testEnv) {
		leader := env.start("a", nil)
		env.fleet.Outcome = func(_ string, number int64, _ string) fakepl.Outcome {
			return fakepl.Outcome{After: 2 * time.Second, How: "done", Hang: number < 2}
		}
		env.await(3*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		env.submit(env.asGang(newJob("00000000000000d3", "scan", 2, 8)))
		env.await(3*time.Second, "the gang runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000d3", 1))) == 1 })
		lost := env.fleet.RunningOn(taskID("00000000000000d3", 1))[0]
		leader.kill()
		for _, w := range env.workers {
			if w.ID == lost {
				w.Crash()
				w.Start()
				env.heartbeat(w)
			}
		}
		successor := env.start("b", nil)
		env.await(12*time.Second, "the job is completed", func() bool { return successor.state("00000000000000d3") == work.StateCompleted })
	})
}

// Guards against a new leader that starts nothing until the leases of workers that left long ago have expired.
func TestSuccessorDoesNotWaitForWorkersThatLeft(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		leader := env.start("a", nil)
		env.await(3*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		env.sleep(3 * time.Second)
		env.store.Remove(platform.RegistryKeyPrefix + env.workers[0].ID)
		env.net.SetFault(memnet.AnyHost, memnet.Host(env.workers[0].Address), memnet.Fault{DropRequests: true})
		env.sleep(3 * time.Second)
		leader.kill()
		env.submit(newJob("00000000000000d1", "scan", 1, 8))
		env.start("b", nil)
		took := env.await(4*time.Second, "b starts the task",
			func() bool { return env.fleet.StartCount(taskID("00000000000000d1", 0)) == 1 })
		t.Logf("from the kill to the first start: %v", took)
	})
}
