package chief_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// loadRacksForAMinute takes the given numbers of workers in the racks with tasks of a minute that do not last.
func (w *standingWatch) loadRacksForAMinute(taken ...int) {
	w.env.fleet.WithLock(func() {
		others := w.env.fleet.Outcome
		w.env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] == 'f' {
				return fakepl.Outcome{After: time.Minute, How: "done"}
			}
			return others(task, run, worker)
		}
	})
	for rack, workers := range taken {
		if workers > 0 {
			load := newJob(fmt.Sprintf("f%015d", rack), "check", workers, 8)
			load.Steps[0].Label = work.Label(fmt.Sprintf("r%d", rack))
			w.load(load)
		}
	}
	w.env.sleep(5 * time.Second) // Longer than accelerators are kept.
}

// Guards against a gang that waits for twice its estimate for a rack that is busy with long tasks, beside room for it once in several racks.
func TestGangStartsInSeveralRacksBusyWithLongTasks(t *testing.T) {
	withGangEnv(t, 3, 3, func(env *testEnv, watch *standingWatch) {
		watch.loadRacksForAMinute(2, 1, 1)
		watch.submitFitting(env.newSameRackGang("0000000000000c01", 3), 0)
		env.sleep(25 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a task before its last attempt that waits for as long as the worker is silent and registered on which its lease lapsed in
// this term. A wait as long as for a worker that has left the registry is allowed.
func TestLastAttemptDoesNotWaitForEverForASilentWorkerOfThisTerm(t *testing.T) {
	const id = "0000000000000c03"
	withTestEnv(t, 4, func(env *testEnv) {
		env.failFirstRun(id, time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		job := newJob(id, "tally", 1, 4) // two attempts
		env.submit(job)
		env.awaitAllRun(time.Second, job, "it runs")
		env.await(3*time.Second, "its last attempt runs", func() bool {
			return env.fleet.StartCount(taskID(id, 0)) == 2 && env.allRun(job)
		})
		env.sleep(time.Second)
		for _, w := range env.workers {
			if w.ID == env.fleet.RunningOn(taskID(id, 0))[0] {
				env.silence(w)
			}
		}
		env.awaitEnd(10*time.Second, taskID(id, 0))
		env.awaitAllRun(25*time.Second, job, "it runs again")
	})
}

// Guards against a task with one attempt left, or one that lasts, that waits until a long task is done beside which it would run on a worker
// that is open again after failures.
func TestLastAttemptStartsBesideALongProbe(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		t.Run(fmt.Sprintf("lasts: %v", lasts), func(t *testing.T) {
			withGangEnv(t, 2, 1, func(env *testEnv, watch *standingWatch) {
				watch.closeFirstWorkers(2)
				env.fleet.WithLock(func() { env.fleet.Outcome = runsOf(time.Minute) })
				for i := range 2 {
					probe := newJob(fmt.Sprintf("000000000000c5%02d", i), "scan", 1, 1)
					probe.Steps[0].Label = work.Label(fmt.Sprintf("r%d", i))
					watch.load(probe)
				}
				env.sleep(5 * time.Second)
				job := newJob("0000000000000c05", "tally", 1, 1)
				job.Steps[0].Lasts = lasts
				watch.submit(job)
				env.sleep(25 * time.Second)
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against a task that fits and never gets a ticket, while calls for advice go to gangs before it that fit and wait for a single rack:
// their tickets expire before its turn comes.
func TestTaskStartsBesideGangsWithAdviceThatWaitForARack(t *testing.T) {
	withAdvisedGangEnv(t, 300*time.Millisecond, 2500*time.Millisecond, func(env *testEnv, watch *standingWatch) {
		watch.loadRacksForAMinute(1, 1)
		for i := range 7 {
			gang := env.newSameRackGang(fmt.Sprintf("e%015d", i), 2)
			gang.Steps[0].Label = "gangs"
			watch.load(gang)
			env.sleep(300 * time.Millisecond)
		}
		watch.submit(newJob("0000000000000c06", "tally", 1, 1))
		env.sleep(15 * time.Second) // The gangs wait for 20 s.
		watch.expectNoneStood()
	})
}

// withAdvisedGangEnv does the same as withGangEnv, with two racks of two workers for gangs and a worker in another rack. All queues that are not
// urgent need tickets.
func withAdvisedGangEnv(t *testing.T, callTakes, valid time.Duration, body func(env *testEnv, watch *standingWatch)) {
	t.Helper()
	withTestEnv(t, 5, func(env *testEnv) {
		env.spreadOverRacks()
		for i, w := range env.workers[:4] {
			env.label(w, "a", "gangs", fmt.Sprintf("r%d", i/2))
		}
		for i := range env.config.Queues {
			env.config.Queues[i].Advised = env.config.Queues[i].Name != "check"
		}
		env.advise = func(
			ctx context.Context, _ work.StepID, workers []model.WorkerID,
		) (map[model.WorkerID]string, time.Duration, error) {
			tickets := map[model.WorkerID]string{}
			for _, worker := range workers {
				tickets[worker] = "ticket"
			}
			return tickets, valid, clock.Sleep(ctx, callTakes)
		}
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		body(env, watch)
	})
}

// Guards against a gang that starts in several racks as soon as it gets tickets, since what a rack holds was computed, for the log of its
// wait, while it had none.
func TestGangThatWaitedForAdviceIsNotSpread(t *testing.T) {
	const id = "0000000000000c09"
	for _, callTakes := range []time.Duration{900 * time.Millisecond, 1150 * time.Millisecond} {
		t.Run(fmt.Sprintf("call takes %v", callTakes), func(t *testing.T) {
			withAdvisedGangEnv(t, callTakes, 5*time.Second, func(env *testEnv, watch *standingWatch) {
				env.fleet.WithLock(func() {
					env.fleet.Outcome = func(task string, _ int64, _ string) fakepl.Outcome {
						if task[0] == 'f' {
							return fakepl.Outcome{After: 1500 * time.Millisecond, How: "done"}
						}
						return fakepl.Outcome{After: 10 * time.Second, How: "done"}
					}
				})
				for rack := range 2 {
					load := newJob(fmt.Sprintf("f%015d", rack), "check", 1, 8)
					load.Steps[0].Label = work.Label(fmt.Sprintf("r%d", rack))
					watch.load(load)
				}
				gang := env.newSameRackGang(id, 2)
				gang.Steps[0].Label = "gangs"
				watch.load(gang)
				env.awaitAllRun(10*time.Second, gang, "it runs")
				if first, second := env.fleet.RunningOn(taskID(id, 0))[0], env.fleet.RunningOn(taskID(id, 1))[0]; first < "w-02" != (second < "w-02") {
					t.Errorf("the gang runs on %s and %s, in two racks", first, second)
				}
			})
		})
	}
}

// Guards against an urgent gang within its tenant's guarantee that preempts nothing while one worker could hold more members than its
// anti-affinity allows.
func TestUrgentGangWithAntiAffinityPreempts(t *testing.T) {
	withGangEnv(t, 2, 2, func(env *testEnv, watch *standingWatch) {
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		load := newJob("0000000000000c07", "scan", 3, 8)
		watch.load(load)
		env.awaitAllRun(time.Second, load, "the load runs")
		env.sleep(4 * time.Second)
		urgent := newJob("a000000000000c07", "check", 4, 2)
		urgent.Steps[0].PerWorker = 1
		watch.load(env.asGang(urgent))
		env.awaitAllRun(reclaimBound, urgent, "the urgent gang runs")
	})
}

// Guards against a gang that starts in several racks, where it runs several times longer, since a worker of each rack has not been polled yet
// in a new term, or has just missed a call.
func TestGangIsNotSpreadWhileAWorkerOfEachRackIsNotKnown(t *testing.T) {
	const id = "0000000000000c08"
	for _, newTerm := range []bool{true, false} {
		t.Run(fmt.Sprintf("new term: %v", newTerm), func(t *testing.T) {
			withTestEnv(t, 8, func(env *testEnv) {
				for i, w := range env.workers {
					env.label(w, "a", fmt.Sprintf("r%d", i/4))
				}
				env.fleet.Outcome = runsOf(10 * time.Second)
				leader := env.start("a", nil)
				env.sleep(6 * time.Second)
				silent := []*fakepl.Worker{env.workers[0], env.workers[4]}
				gang := env.newSameRackGang(id, 4)
				if newTerm {
					leader.kill()
					for _, w := range silent {
						env.silence(w)
					}
					env.submit(gang)
					next := env.start("b", nil)
					env.await(8*time.Second, "b leads", next.leads)
				} else {
					for rack := range silent {
						// The first worker of the rack gets it, and is polled for as long as it runs.
						load := newJob(fmt.Sprintf("0000000000000d%02d", rack), "scan", 1, 0)
						load.Steps[0].Need, load.Steps[0].Label = work.Resources{CPU: 1}, work.Label(fmt.Sprintf("r%d", rack))
						env.submit(load)
					}
					env.sleep(time.Second)
					for _, w := range silent {
						env.silence(w)
					}
					env.sleep(2100 * time.Millisecond) // Each has missed one call.
					env.submit(gang)
				}
				env.sleep(100 * time.Millisecond)
				for _, w := range silent {
					w.SetFault(func(string) fakepl.Fault { return fakepl.Healthy })
				}
				env.awaitAllRun(20*time.Second, gang, "it runs")
				racks := map[bool]bool{}
				for index := range 4 {
					racks[env.fleet.RunningOn(taskID(id, index))[0] < env.workers[4].ID] = true
				}
				if len(racks) > 1 {
					t.Errorf("the gang runs in %d racks", len(racks))
				}
			})
		})
	}
}

// Guards against a planned change of leader that leaves the workers without one while the successor waits for the claim of a larger instance
// that is stopping and leaves the leadership to others.
func TestSuccessorDoesNotWaitForTheClaimOfAStoppingInstance(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		leader := env.start("a", func(i *instance) { i.share = 3 })
		env.sleep(3 * time.Second)
		successor := env.start("b", nil)
		env.sleep(3 * time.Second)
		leader.elector.StopSoon(env.ctx)
		t.Logf("the successor leads after %v", env.await(time.Second, "the successor leads", successor.leads))
	})
}
