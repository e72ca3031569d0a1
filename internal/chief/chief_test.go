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

// Guards against a path that loses a job between its acceptance and its end.
func TestJobCompletes(t *testing.T) {
	run(t, 4, func(r *rig) {
		a := r.start("a", nil)
		r.reach(3*time.Second, "a leads", func() bool { return a.chief.Load() != nil })
		r.submit(job("00000000000000a1", "scan", 5, 2))
		r.reach(5*time.Second, "the job is completed", func() bool { return a.state("00000000000000a1") == work.StateCompleted })
	})
}

// Guards against a step that starts before the steps it waits for are done.
func TestStepsStartInOrder(t *testing.T) {
	run(t, 2, func(r *rig) {
		a := r.start("a", nil)
		j := job("00000000000000a2", "scan", 2, 1)
		j.Steps = append(j.Steps, work.Step{Count: 1, Need: work.Room{CPU: 1000}, Estimate: time.Second, After: []int{0}})
		r.submit(j)
		r.reach(5*time.Second, "the first step runs", func() bool { return len(r.fleet.Present(task("00000000000000a2", 1))) == 1 })
		r.Expect(r.fleet.Started("00000000000000a2.0.1.0")).To(Equal(0))
		r.reach(6*time.Second, "the job is completed", func() bool { return a.state("00000000000000a2") == work.StateCompleted })
	})
}

// Guards against a cancel that the store refuses, because its mark has no value, and against work that goes on after it.
func TestCancelledJobStops(t *testing.T) {
	run(t, 2, func(r *rig) {
		a := r.start("a", nil)
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		r.submit(job("00000000000000a3", "scan", 2, 1))
		r.reach(5*time.Second, "it runs", func() bool { return len(r.fleet.Present(task("00000000000000a3", 1))) == 1 })
		r.Expect(r.desk.Cancel(r.ctx, "00000000000000a3")).To(Succeed())
		r.reach(time.Second, "it has stopped", func() bool {
			return len(r.fleet.Present(task("00000000000000a3", 0)))+len(r.fleet.Present(task("00000000000000a3", 1))) == 0
		})
		r.Expect(a.state("00000000000000a3")).To(Equal(work.StateCancelled))
	})
}

// Guards against ends that a new chief acknowledges before it knows their jobs: their tasks would run again.
func TestSuccessorKeepsWhatIsDone(t *testing.T) {
	run(t, 4, func(r *rig) {
		a := r.start("a", nil)
		r.fleet.Outcome = func(name string, _ int64, _ string) fakepl.Outcome {
			if strings.HasSuffix(name, ".0") {
				return fakepl.Outcome{After: 3 * time.Second, How: "done"}
			}
			return fakepl.Outcome{After: 9 * time.Second, How: "done"}
		}
		r.submit(job("00000000000000a4", "scan", 4, 8))
		r.reach(5*time.Second, "it runs", func() bool { return len(r.fleet.Present(task("00000000000000a4", 3))) == 1 })
		r.sleep(time.Second)
		a.kill()
		b := r.start("b", func(i *instance) {
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
		r.reach(14*time.Second, "the job is completed", func() bool { return b.state("00000000000000a4") == work.StateCompleted })
		r.Expect(r.fleet.Started(task("00000000000000a4", 0))).To(Equal(1))
	})
}

// Guards against a take-over that is slower than the leases of the runs: they would lapse and start again.
func TestSuccessorTakesOverRuns(t *testing.T) {
	run(t, 4, func(r *rig) {
		a := r.start("a", nil)
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			return fakepl.Outcome{After: 12 * time.Second, How: "done"}
		}
		r.submit(job("00000000000000a5", "scan", 4, 8))
		r.reach(5*time.Second, "it runs", func() bool { return len(r.fleet.Present(task("00000000000000a5", 3))) == 1 })
		b := r.start("b", nil)
		a.kill()
		r.submit(job("00000000000000b5", "check", 1, 0))
		took := r.reach(4*time.Second, "the successor starts a task", func() bool {
			return len(r.fleet.Present(task("00000000000000b5", 0))) == 1
		})
		t.Logf("from the kill to the successor's first start: %v", took)
		r.reach(15*time.Second, "the job is completed", func() bool { return b.state("00000000000000a5") == work.StateCompleted })
		r.Expect(r.fleet.Started(task("00000000000000a5", 0))).To(Equal(1))
	})
}

// Guards against leases of a silent worker that are renewed by calls without an answer and never count as over.
func TestTasksOfASilentWorkerStartAgain(t *testing.T) {
	run(t, 2, func(r *rig) {
		a := r.start("a", nil)
		r.submit(job("00000000000000a6", "scan", 1, 1))
		r.reach(5*time.Second, "it runs", func() bool { return len(r.fleet.Present(task("00000000000000a6", 0))) == 1 })
		lost := r.fleet.Present(task("00000000000000a6", 0))[0]
		r.net.SetFault("a", memnet.Host(lost+":1"), memnet.Fault{Silent: true, SilentAnswers: true})
		r.store.Remove(platform.RegistryPrefix + lost)
		for _, w := range r.workers {
			if w.ID == lost {
				w.Crash()
			}
		}
		r.reach(9*time.Second, "the task runs elsewhere", func() bool { return len(r.fleet.Present(task("00000000000000a6", 0))) == 1 })
		r.reach(4*time.Second, "the job is completed", func() bool { return a.state("00000000000000a6") == work.StateCompleted })
	})
}

// Guards against a worker that is cut off and runs on: its task must not start elsewhere before its lease has run out.
func TestTasksOfAWorkerThatRunsOnWait(t *testing.T) {
	run(t, 2, func(r *rig) {
		r.start("a", nil)
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		r.submit(job("00000000000000a7", "scan", 1, 1))
		r.reach(5*time.Second, "it runs", func() bool { return len(r.fleet.Present(task("00000000000000a7", 0))) == 1 })
		cut := r.fleet.Present(task("00000000000000a7", 0))[0]
		r.net.SetFault("a", memnet.Host(cut+":1"), memnet.Fault{Silent: true, SilentAnswers: true})
		r.store.Remove(platform.RegistryPrefix + cut)
		r.reach(9*time.Second, "the task runs elsewhere", func() bool { return r.fleet.Started(task("00000000000000a7", 0)) == 2 })
	})
}

// Guards against an order that gets no answer and is carried out seconds later, beside a run that was started instead.
func TestOrderCarriedOutLate(t *testing.T) {
	run(t, 2, func(r *rig) {
		a := r.start("a", nil)
		r.reach(3*time.Second, "a leads", func() bool { return a.chief.Load() != nil })
		r.sleep(time.Second)
		for _, w := range r.workers {
			left := 3
			w.LateBy = 4 * time.Second
			w.SetFault(func(path string) fakepl.Fault {
				if path == fakepl.PathStart && left > 0 {
					left--
					return fakepl.LateEffect
				}
				return fakepl.Healthy
			})
		}
		r.submit(job("00000000000000a8", "scan", 1, 1))
		r.reach(12*time.Second, "the job is completed", func() bool { return a.state("00000000000000a8") == work.StateCompleted })
		r.sleep(8 * time.Second)
		r.Expect(r.fleet.Present(task("00000000000000a8", 0))).To(BeEmpty())
	})
}

// Guards against a progress write that is executed late and replaces a newer record.
func TestLateWriteDoesNotReplaceNewerProgress(t *testing.T) {
	run(t, 4, func(r *rig) {
		a := r.start("a", nil)
		r.fleet.Outcome = func(name string, _ int64, _ string) fakepl.Outcome {
			return fakepl.Outcome{After: time.Duration(1+2*strings.Count(name, ".3")) * time.Second, How: "done"}
		}
		r.reach(3*time.Second, "a leads", func() bool { return a.chief.Load() != nil })
		r.submit(job("00000000000000a9", "scan", 4, 8))
		r.reach(5*time.Second, "it runs", func() bool { return len(r.fleet.Present(task("00000000000000a9", 3))) == 1 })
		late := true
		r.store.LateBy = 4 * time.Second
		r.store.SetFault(func(path string) fakepl.Fault {
			if path == fakepl.PathTxn && late {
				late = false
				return fakepl.LateEffect
			}
			return fakepl.Healthy
		})
		r.reach(8*time.Second, "the job is completed", func() bool { return a.state("00000000000000a9") == work.StateCompleted })
		r.sleep(6 * time.Second)
		a.kill()
		b := r.start("b", nil)
		r.reach(5*time.Second, "b knows the job", func() bool { return b.state("00000000000000a9") != "" })
		r.Expect(b.state("00000000000000a9")).To(Equal(work.StateCompleted))
	})
}

// Guards against members that wait at their end for the rest of the gang and are stopped as standing still.
func TestMembersAtTheirEndAreNotStuck(t *testing.T) {
	run(t, 2, func(r *rig) {
		a := r.start("a", nil)
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: 8 * time.Second, How: "done"} }
		started := time.Now()
		r.fleet.Percent = func(name, _ string) int {
			if strings.HasSuffix(name, ".0") {
				return 100
			}
			return int(time.Since(started).Seconds() * 5)
		}
		r.submit(r.gangOf(job("00000000000000c1", "scan", 2, 8)))
		r.reach(14*time.Second, "the job is completed", func() bool { return a.state("00000000000000c1") == work.StateCompleted })
		r.Expect(r.fleet.Started(task("00000000000000c1", 0))).To(Equal(1))
	})
}

// Guards against a worker on which tasks stand still though it answers: its tasks must go elsewhere.
func TestStuckTaskMoves(t *testing.T) {
	run(t, 2, func(r *rig) {
		a := r.start("a", nil)
		first := ""
		r.fleet.Outcome = func(_ string, _ int64, worker string) fakepl.Outcome {
			if first == "" {
				first = worker
			}
			return fakepl.Outcome{After: 2 * time.Second, How: "done", Hang: worker == first}
		}
		r.fleet.Percent = func(_, worker string) int {
			if worker == first {
				return 7
			}
			return 50
		}
		r.submit(job("00000000000000c2", "scan", 1, 1))
		r.reach(8*time.Second, "the job is completed", func() bool { return a.state("00000000000000c2") == work.StateCompleted })
	})
}

// Guards against tasks that count as standing still because nobody looked at them while the leader could not prove its term.
func TestTasksAreNotStuckAfterATermThatWasUnproved(t *testing.T) {
	run(t, 2, func(r *rig) {
		a := r.start("a", nil)
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			return fakepl.Outcome{After: 12 * time.Second, How: "done"}
		}
		started := time.Now()
		r.fleet.Percent = func(string, string) int { return int(time.Since(started).Seconds() * 8) }
		r.submit(job("00000000000000c3", "scan", 2, 8))
		r.reach(3*time.Second, "both tasks run", func() bool { return len(r.fleet.Present(task("00000000000000c3", 1))) == 1 })
		r.sleep(time.Second)
		a.unproved.Store(true)
		r.sleep(4300 * time.Millisecond)
		a.unproved.Store(false)
		r.reach(16*time.Second, "the job is completed", func() bool { return a.state("00000000000000c3") == work.StateCompleted })
		r.Expect(r.fleet.Started(task("00000000000000c3", 0))).To(Equal(1))
		r.Expect(r.fleet.Started(task("00000000000000c3", 1))).To(Equal(1))
	})
}

// Guards against a gang that goes back to a worker on which a member has just failed, since the room there fits it best, while
// other workers are free.
func TestGangAvoidsAWorkerOnWhichATaskFailed(t *testing.T) {
	run(t, 4, func(r *rig) {
		a := r.start("a", nil)
		bad := ""
		starts := map[string]int{}
		r.fleet.Outcome = func(_ string, _ int64, worker string) fakepl.Outcome {
			if bad == "" {
				bad = worker
			}
			starts[worker]++
			if worker == bad {
				return fakepl.Outcome{After: 200 * time.Millisecond, How: "failed"}
			}
			return fakepl.Outcome{After: 2 * time.Second, How: "done"}
		}
		r.submit(r.gangOf(job("00000000000000c5", "scan", 2, 8)))
		r.reach(8*time.Second, "the job is completed", func() bool { return a.state("00000000000000c5") == work.StateCompleted })
		r.Expect(starts[bad]).To(Equal(1))
	})
}

// Guards against a gang that spends all its attempts on workers that fail everything, one after another, while others have just
// completed tasks.
func TestGangThatFailedGoesToProvenWorkers(t *testing.T) {
	run(t, 5, func(r *rig) {
		a := r.start("a", nil)
		outcomes := map[string]fakepl.Outcome{"00000000000000c6": {After: time.Minute, How: "done"}}
		r.fleet.Outcome = func(name string, _ int64, worker string) fakepl.Outcome {
			if outcome, found := outcomes[name[:len("00000000000000c6")]]; found {
				return outcome
			}
			if strings.HasPrefix(name, "00000000000000c8") && worker < "w-03" {
				return fakepl.Outcome{After: 100 * time.Millisecond, How: "failed"}
			}
			return fakepl.Outcome{After: time.Second, How: "done"}
		}
		r.submit(job("00000000000000c6", "scan", 3, 8))
		r.reach(3*time.Second, "the first job runs", func() bool { return len(r.fleet.Present(task("00000000000000c6", 2))) == 1 })
		r.submit(job("00000000000000c7", "scan", 2, 8))
		r.reach(3*time.Second, "the second job is completed", func() bool { return a.state("00000000000000c7") == work.StateCompleted })
		r.Expect(r.desk.Cancel(r.ctx, "00000000000000c6")).To(Succeed())
		r.reach(3*time.Second, "the first job is cancelled", func() bool { return a.state("00000000000000c6") == work.StateCancelled })
		r.sleep(time.Second)
		r.submit(r.gangOf(job("00000000000000c8", "scan", 2, 8)))
		r.reach(8*time.Second, "the gang is completed", func() bool { return a.state("00000000000000c8") == work.StateCompleted })
		r.Expect(r.fleet.Started(task("00000000000000c8", 0))).To(Equal(2))
	})
}

// Guards against a worker that started again unnoticed and has new runs already: they must not start elsewhere as well.
func TestRunsOnAWorkerThatStartedAgainStay(t *testing.T) {
	run(t, 1, func(r *rig) {
		a := r.start("a", nil)
		r.reach(3*time.Second, "a leads", func() bool { return a.chief.Load() != nil })
		r.sleep(2 * time.Second)
		r.workers[0].Crash()
		r.workers[0].Start()
		r.submit(job("00000000000000d2", "scan", 2, 1))
		r.reach(time.Second, "it runs", func() bool { return len(r.fleet.Present(task("00000000000000d2", 1))) == 1 })
		r.beat(r.workers[0])
		r.reach(4*time.Second, "the job is completed", func() bool { return a.state("00000000000000d2") == work.StateCompleted })
		r.Expect(r.fleet.Started(task("00000000000000d2", 0))).To(Equal(1))
	})
}

// Guards against a gang member that failed and is counted as being stopped for good: urgent work would then wait for room
// that never comes free.
func TestRoomOfAFailedMemberIsNotPromised(t *testing.T) {
	run(t, 2, func(r *rig) {
		a := r.start("a", nil)
		failed := false
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			if !failed {
				failed = true
				return fakepl.Outcome{After: 300 * time.Millisecond, How: "failed"}
			}
			return fakepl.Outcome{After: 20 * time.Second, How: "done"}
		}
		r.submit(r.gangOf(job("00000000000000c3", "scan", 2, 8)))
		r.reach(6*time.Second, "the gang runs again", func() bool { return r.fleet.Started(task("00000000000000c3", 1)) == 2 })
		r.submit(r.gangOf(job("00000000000000c4", "check", 2, 8)))
		r.reach(reclaim, "the urgent gang has reclaimed the workers", func() bool {
			return len(r.fleet.Present(task("00000000000000c4", 1))) == 1
		})
		// The answer to the start takes a millisecond more than the start.
		r.reach(100*time.Millisecond, "it is shown as running", func() bool { return a.state("00000000000000c4") == work.StateRunning })
	})
}

// Guards against a guarantee that is not handed back in time, and against more stops than it needs.
func TestGuaranteedWorkReclaims(t *testing.T) {
	run(t, 4, func(r *rig) {
		r.start("a", nil)
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			return fakepl.Outcome{After: 30 * time.Second, How: "done"}
		}
		lent := job("00000000000000c5", "tally", 32, 1)
		lent.Tenant = "small"
		r.submit(lent)
		r.reach(5*time.Second, "lent work fills all workers", func() bool { return len(r.fleet.Present(task("00000000000000c5", 31))) == 1 })
		r.submit(r.gangOf(job("00000000000000c6", "check", 2, 8)))
		r.reach(reclaim, "the urgent gang runs", func() bool { return len(r.fleet.Present(task("00000000000000c6", 1))) == 1 })
		left := 0
		for i := range 32 {
			left += len(r.fleet.Present(task("00000000000000c5", i)))
		}
		r.Expect(left).To(Equal(16))
	})
}

// Guards against a gang of an earlier term of which a member was lost in between, and which never ends.
func TestIncompleteGangOfAnEarlierTermStartsAgain(t *testing.T) {
	run(t, 3, func(r *rig) {
		a := r.start("a", nil)
		r.fleet.Outcome = func(_ string, number int64, _ string) fakepl.Outcome {
			return fakepl.Outcome{After: 2 * time.Second, How: "done", Hang: number < 2}
		}
		r.reach(3*time.Second, "a leads", func() bool { return a.chief.Load() != nil })
		r.submit(r.gangOf(job("00000000000000d3", "scan", 2, 8)))
		r.reach(3*time.Second, "the gang runs", func() bool { return len(r.fleet.Present(task("00000000000000d3", 1))) == 1 })
		lost := r.fleet.Present(task("00000000000000d3", 1))[0]
		a.kill()
		for _, w := range r.workers {
			if w.ID == lost {
				w.Crash()
				w.Start()
				r.beat(w)
			}
		}
		b := r.start("b", nil)
		r.reach(12*time.Second, "the job is completed", func() bool { return b.state("00000000000000d3") == work.StateCompleted })
	})
}

// Guards against a new chief that waits for the leases of workers that left long ago before it starts anything.
func TestSuccessorDoesNotWaitForWorkersThatLeft(t *testing.T) {
	run(t, 4, func(r *rig) {
		a := r.start("a", nil)
		r.reach(3*time.Second, "a leads", func() bool { return a.chief.Load() != nil })
		r.sleep(3 * time.Second)
		r.store.Remove(platform.RegistryPrefix + r.workers[0].ID)
		r.net.SetFault(memnet.AnyHost, memnet.Host(r.workers[0].Address), memnet.Fault{Silent: true})
		r.sleep(3 * time.Second)
		a.kill()
		r.submit(job("00000000000000d1", "scan", 1, 8))
		r.start("b", nil)
		took := r.reach(4*time.Second, "b starts the task", func() bool { return r.fleet.Started(task("00000000000000d1", 0)) == 1 })
		t.Logf("from the kill to the first start: %v", took)
	})
}

// Guards against a new chief that hears of a failure before it knows the configuration, and takes the job as failed too early.
func TestFailureBeforeTheConfigurationIsKnown(t *testing.T) {
	run(t, 2, func(r *rig) {
		r.config.Queue("scan").MaxAttempts = 5
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Second, How: "failed"} }
		a := r.start("a", nil)
		r.reach(3*time.Second, "a leads", func() bool { return a.chief.Load() != nil })
		j := job("00000000000000d4", "scan", 1, 1)
		j.Terms = r.config.Queue("scan").Terms
		r.submit(j)
		r.reach(12*time.Second, "the third run is there", func() bool { return r.fleet.Started(task("00000000000000d4", 0)) == 3 })
		a.kill()
		r.sleep(100 * time.Millisecond)
		config := r.config
		r.config = nil
		b := r.start("b", nil)
		r.reach(4*time.Second, "b leads", func() bool { return b.chief.Load() != nil })
		r.sleep(2 * time.Second)
		r.Expect(b.state("00000000000000d4")).NotTo(Equal(work.StateFailed))
		r.config = config
		r.reach(12*time.Second, "the job has failed", func() bool { return b.state("00000000000000d4") == work.StateFailed })
		r.Expect(r.fleet.Started(task("00000000000000d4", 0))).To(Equal(5))
	})
}

// Guards against failures that are listed to a new chief in another order than they happened and are then counted too low.
func TestFailuresCountInAnyOrder(t *testing.T) {
	run(t, 2, func(r *rig) {
		r.config.Queue("scan").MaxAttempts = 2
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Second, How: "failed"} }
		a := r.start("a", nil)
		r.reach(3*time.Second, "a leads", func() bool { return a.chief.Load() != nil })
		r.submit(job("00000000000000c8", "scan", 1, 8))
		r.reach(5*time.Second, "the first run is there", func() bool { return len(r.fleet.Present(task("00000000000000c8", 0))) == 1 })
		first := r.fleet.Present(task("00000000000000c8", 0))[0]
		r.store.SetFault(faultOn(fakepl.PathTxn, fakepl.Refused)) // No end becomes durable.
		for _, w := range r.workers {
			if w.ID == first {
				w.SetFault(faultOn(fakepl.PathStart, fakepl.Refused)) // The second run goes elsewhere.
			}
		}
		r.reach(3*time.Second, "the second run is there", func() bool { return r.fleet.Started(task("00000000000000c8", 0)) == 2 })
		a.kill()
		r.store.SetFault(nil)
		b := r.start("b", nil)
		r.net.SetFault("b", memnet.Host(first+":1"), memnet.Fault{Delay: 300 * time.Millisecond})
		r.reach(8*time.Second, "the job has failed", func() bool { return b.state("00000000000000c8") == work.StateFailed })
		r.Expect(r.fleet.Started(task("00000000000000c8", 0))).To(Equal(2))
	})
}

func faultOn(path string, fault fakepl.Fault) func(string) fakepl.Fault {
	return func(called string) fakepl.Fault {
		if called == path {
			return fault
		}
		return fakepl.Healthy
	}
}

// Guards against a task that is started after its last attempt, because a failure is listed by a worker that does not answer.
func TestLastAttemptWaitsForASilentWorker(t *testing.T) {
	run(t, 2, func(r *rig) {
		a := r.start("a", nil)
		r.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Second, How: "failed"} }
		r.submit(job("00000000000000c7", "tally", 1, 1)) // two attempts
		r.reach(5*time.Second, "the first run has failed", func() bool { return r.fleet.Started(task("00000000000000c7", 0)) == 2 })
		last := r.fleet.Present(task("00000000000000c7", 0))[0]
		r.net.SetFault("a", memnet.Host(last+":1"), memnet.Fault{Silent: true, SilentAnswers: true})
		r.sleep(12 * time.Second)
		r.Expect(r.fleet.Started(task("00000000000000c7", 0))).To(Equal(2))
		r.net.SetFault("a", memnet.Host(last+":1"), memnet.Fault{})
		r.reach(3*time.Second, "the job has failed", func() bool { return a.state("00000000000000c7") == work.StateFailed })
	})
}
