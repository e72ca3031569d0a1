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

// withGangEnv calls body with racks r0, r1 and so on, each with the given number of workers, and one instance that leads. Runs of jobs
// with an id that begins with "f" go on until the end of the test; all others take 2 s.
func withGangEnv(t *testing.T, racks, perRack int, body func(env *testEnv, watch *standingWatch)) {
	t.Helper()
	withTestEnv(t, racks*perRack, func(env *testEnv) {
		for i, w := range env.workers {
			env.label(w, "a", fmt.Sprintf("r%d", i/perRack))
		}
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		body(env, watch)
	})
}

// loadRacks takes the given numbers of workers in the racks until the end of the test.
func (w *standingWatch) loadRacks(taken ...int) {
	for rack, workers := range taken {
		if workers > 0 {
			w.load(newLastingLoad(fmt.Sprintf("f%015d", rack), work.Label(fmt.Sprintf("r%d", rack)), workers, 8))
		}
	}
	w.env.sleep(time.Second)
}

// newSameRackGang returns a gang of whole workers that runs faster within one rack and takes about 10 s there.
func (e *testEnv) newSameRackGang(id string, tasks int) *work.Job {
	gang := newJob(id, "scan", tasks, 8)
	gang.Steps[0].SameRack, gang.Steps[0].Estimate = true, 10*time.Second
	return e.asGang(gang)
}

// Guards against a gang wider than each rack that waits for a single rack, for twice its estimate, beside room for it once.
func TestGangWiderThanARackStartsWhereItFitsOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		tasks int
		taken []int
	}{
		{name: "gang of 3, 4 workers free", tasks: 3, taken: []int{2, 1, 1, 0}},
		{name: "gang of 5, 6 workers free", tasks: 5, taken: []int{1, 1, 0, 0}},
		{name: "gang of 5, 5 workers free", tasks: 5, taken: []int{1, 1, 1, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGangEnv(t, 4, 2, func(env *testEnv, watch *standingWatch) {
				watch.loadRacks(c.taken...)
				watch.submitFitting(env.newSameRackGang("0000000000000b01", c.tasks), 0)
				env.sleep(25 * time.Second)
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against a gang that waits for a rack that stays partly busy, for twice its estimate, beside room for it once in several racks.
func TestGangStartsInSeveralBusyRacksWhereItFitsOnce(t *testing.T) {
	withGangEnv(t, 3, 3, func(env *testEnv, watch *standingWatch) {
		watch.loadRacks(2, 1, 1)
		watch.submitFitting(env.newSameRackGang("0000000000000b02", 3), 0)
		env.sleep(25 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a gang that stands again for twice its estimate after a member has failed, since the wait for a single rack begins anew.
func TestGangStartsAgainAfterAFailedMemberWhereItFitsOnce(t *testing.T) {
	withGangEnv(t, 3, 3, func(env *testEnv, watch *standingWatch) {
		failed := false
		env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] == 'b' && !failed {
				failed = true
				return fakepl.Outcome{After: 3 * time.Second, How: "failed"}
			}
			return runsOf(5*time.Second)(task, run, worker)
		}
		watch.loadRacks(0, 2, 1)
		watch.submitFitting(env.newSameRackGang("b000000000000b07", 3), 0)
		env.sleep(time.Second)
		watch.loadRacks(1) // Starts in the rack of the gang once that has ended.
		env.sleep(30 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a task, or gang, that waits for the rack of its data while it is full, for twice its estimate, beside room for it once.
func TestWorkStartsOutsideTheRackOfItsDataWhereItFitsOnce(t *testing.T) {
	for _, tasks := range []int{1, 2} {
		t.Run(fmt.Sprintf("tasks=%d", tasks), func(t *testing.T) {
			withGangEnv(t, 2, 3, func(env *testEnv, watch *standingWatch) {
				watch.loadRacks(3, 3-tasks)
				job := newJob("0000000000000b03", "scan", tasks, 8)
				job.Steps[0].DataRack, job.Steps[0].Estimate = "r0", 10*time.Second
				if tasks > 1 {
					env.asGang(job)
				}
				watch.submitFitting(job, 0)
				env.sleep(25 * time.Second)
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against two gangs of one tenant that both wait for a single rack while one of them fits.
func TestOneOfTwoGangsStartsWhereOneFits(t *testing.T) {
	withGangEnv(t, 4, 2, func(env *testEnv, watch *standingWatch) {
		watch.loadRacks(1, 1, 1, 0)
		for i := range 2 {
			// The gang that starts takes the room, so that the other one no longer stands.
			watch.submitFitting(env.newSameRackGang(fmt.Sprintf("0000000000000b1%d", i), 5), 0)
		}
		env.sleep(25 * time.Second)
		watch.expectNoneStood()
	})
}

// waves submits waves of urgent jobs, of a tenant without a guarantee, for 24 s. 100 ms after the wave with the given number it calls
// submit.
func (w *standingWatch) waves(every time.Duration, jobs int, dataRack work.Label, number int, submit func()) {
	for wave := 0; time.Duration(wave)*every < 24*time.Second; wave++ {
		for i := range jobs {
			urgent := newJob(fmt.Sprintf("a%07d%08d", wave, i), "check", 1, 8)
			urgent.Tenant, urgent.Steps[0].Estimate, urgent.Steps[0].DataRack = "small", 200*time.Millisecond, dataRack
			w.load(urgent)
		}
		w.env.sleep(100 * time.Millisecond)
		if wave == number {
			submit()
		}
		w.env.sleep(every - 100*time.Millisecond)
	}
}

// Guards against a gang that fits between the peaks of urgent work and never starts, since each peak keeps its accelerators for 3 s more.
func TestGangStartsBetweenPeaksOfUrgentWork(t *testing.T) {
	for _, c := range []struct {
		name                  string
		every                 time.Duration
		tasks, urgent, factor int
	}{
		{name: "each second, room once", every: time.Second, tasks: 5, urgent: 4, factor: 1},
		{name: "each 2 s, room once", every: 2 * time.Second, tasks: 5, urgent: 4, factor: 1},
		{name: "each 3 s, room once", every: 3 * time.Second, tasks: 5, urgent: 4, factor: 1},
		{name: "each 2 s, room twice over", every: 2 * time.Second, tasks: 4, urgent: 5, factor: roomFactor},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGangEnv(t, 2, 4, func(env *testEnv, watch *standingWatch) {
				env.fleet.Outcome = func(task string, _ int64, _ string) fakepl.Outcome {
					if task[0] == 'a' {
						return fakepl.Outcome{After: 500 * time.Millisecond, How: "done"}
					}
					return fakepl.Outcome{After: 2 * time.Second, How: "done"}
				}
				watch.waves(c.every, c.urgent, "", 0, func() {
					watch.watch(env.asGang(newJob("0000000000000b04", "scan", c.tasks, 8)), c.factor, 700*time.Millisecond)
				})
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against a gang that never starts beside workers that are reserved by one urgent task after the other, each of which waits for
// the rack of its data: for good, or while it is busy with long tasks.
func TestGangStartsBesideReservationsForTasksThatWaitForTheirRack(t *testing.T) {
	for _, c := range []struct {
		name                  string
		tasks, urgent, factor int
		fill                  func(watch *standingWatch, taken ...int)
	}{
		{name: "room once, rack full for good", tasks: 4, urgent: 1, factor: 1, fill: (*standingWatch).loadRacks},
		{name: "room twice over, rack full for good", tasks: 2, urgent: 2, factor: roomFactor, fill: (*standingWatch).loadRacks},
		{name: "room once, busy rack", tasks: 4, urgent: 1, factor: 1, fill: (*standingWatch).loadRacksForAMinute},
		{name: "room twice over, busy rack", tasks: 2, urgent: 2, factor: roomFactor, fill: (*standingWatch).loadRacksForAMinute},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGangEnv(t, 2, 4, func(env *testEnv, watch *standingWatch) {
				env.fleet.Outcome = runsOf(100 * time.Millisecond)
				c.fill(watch, 4, 0)
				gang := newJob("b000000000000b05", "scan", c.tasks, 0) // Without accelerators, none are kept from it.
				gang.Steps[0].Need.CPU = 64000
				// By the fourth wave, the first tasks no longer wait for the rack, and as many as before them do.
				watch.waves(500*time.Millisecond, c.urgent, "r0", 3, func() {
					watch.watch(env.asGang(gang), c.factor, 300*time.Millisecond)
				})
				watch.expectNoneStood()
			})
		})
	}
}

// Guards against a gang that was preempted many times and then pauses for over 3 s beside room for it once.
func TestPreemptedGangStartsAgainWhereItFitsOnce(t *testing.T) {
	withGangEnv(t, 2, 2, func(env *testEnv, watch *standingWatch) {
		env.fleet.Outcome = func(task string, run int64, worker string) fakepl.Outcome {
			if task[0] == 'b' {
				return fakepl.Outcome{After: time.Minute, How: "done"}
			}
			return runsOf(20*time.Millisecond)(task, run, worker)
		}
		watch.loadRacks(0, 2)
		watch.submitFitting(env.asGang(newJob("b000000000000b0b", "scan", 2, 8)), 0)
		for wave := range 9 {
			env.sleep(time.Second)
			urgent := newJob(fmt.Sprintf("a%015d", wave), "check", 1, 4)
			urgent.Steps[0].Label = "r0"
			watch.load(urgent)
			env.sleep(7 * time.Second) // Longer than the pause, and than the accelerators are kept.
		}
		watch.expectNoneStood()
	})
}

// closeFirstWorkers makes two tasks fail on each of the first workers, and waits until their quarantine of 3 s is over.
func (w *standingWatch) closeFirstWorkers(count int) {
	w.env.config.Queue("tally").MaxAttempts = 1
	w.env.failOn(w.env.workers, time.Now().Add(3*time.Second))
	w.beginDisruption()
	for i := range count {
		failing := newJob(fmt.Sprintf("d%015d", i), "tally", 2, 4)
		failing.Steps[0].Label = work.Label(fmt.Sprintf("r%d", i))
		w.load(failing)
	}
	w.env.sleep(10 * time.Second)
	w.endDisruption()
}

// Guards against a gang, also before its last attempt, that never starts since it needs a worker for several members that is open again after
// failures: such a worker gets one task at a time until one is done there, and nothing else may run.
func TestGangStartsOnWorkersThatAwaitAProbe(t *testing.T) {
	for _, c := range []struct {
		name   string
		closed int
		tasks  int
		gpu    model.Accelerators
		factor int
	}{
		{name: "one worker, room once", closed: 1, tasks: 8, gpu: 4, factor: 1},
		{name: "all workers, room twice over", closed: 4, tasks: 16, gpu: 1, factor: roomFactor},
	} {
		for _, queue := range []work.QueueName{"scan", "tally"} { // Three attempts, and one.
			t.Run(fmt.Sprintf("%s, queue %s", c.name, queue), func(t *testing.T) {
				withGangEnv(t, 4, 1, func(env *testEnv, watch *standingWatch) {
					watch.closeFirstWorkers(c.closed)
					watch.watch(env.asGang(newJob("0000000000000b06", queue, c.tasks, c.gpu)), c.factor, 0)
					env.sleep(40 * time.Second)
					watch.expectNoneStood()
				})
			})
		}
	}
}

// Guards against a task with one attempt left that waits for ever beside a worker that is open again after failures, as long as a task
// that lasts runs there: only a task that is done would show that the worker is sound.
func TestLastAttemptStartsBesideALastingProbe(t *testing.T) {
	withGangEnv(t, 2, 1, func(env *testEnv, watch *standingWatch) {
		watch.closeFirstWorkers(2)
		for i := range 2 {
			watch.load(newLastingLoad(fmt.Sprintf("f%015d", i), work.Label(fmt.Sprintf("r%d", i)), 1, 1))
		}
		env.sleep(5 * time.Second)
		watch.submit(newJob("0000000000000b08", "tally", 1, 1))
		env.sleep(25 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against jobs that stand beside workers that are open again after failures, while long tasks run there: each further one starts
// 2 s after the one before it, until one is done.
func TestJobsStartBesideALongProbe(t *testing.T) {
	withGangEnv(t, 2, 1, func(env *testEnv, watch *standingWatch) {
		watch.closeFirstWorkers(2)
		env.fleet.WithLock(func() { env.fleet.Outcome = runsOf(time.Minute) })
		env.sleep(4 * time.Second) // The calm after the failures has begun.
		for i := range 8 {
			watch.submit(newJob(fmt.Sprintf("0000000000000b2%d", i), "scan", 1, 1))
		}
		env.sleep(25 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a gang that waits until workers no longer count as slow, beside room for it once there.
func TestGangStartsOnSlowWorkersWhereItFitsOnce(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		watch.makeWorkersSlow(10 * time.Second)
		watch.submitFitting(env.asGang(newJob("0000000000000b0a", "scan", 4, 1)), 0)
		env.sleep(14 * time.Second)
		watch.expectNoneStood()
	})
}

// Guards against a task that fits and never gets a ticket, while calls for advice go to jobs before it that do not fit: their tickets
// expire before its turn comes.
func TestTaskStartsBesideJobsThatAskForAdviceAgainAndAgain(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
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
			return tickets, 2500 * time.Millisecond, clock.Sleep(ctx, 300*time.Millisecond)
		}
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		load := newLastingLoad("f000000000000001", "r1", 1, 8)
		load.Queue = "check" // Needs no tickets.
		watch.load(load)
		env.sleep(time.Second)
		for i := range 8 {
			watch.load(env.asGang(newJob(fmt.Sprintf("e%015d", i), "scan", 4, 8)))
		}
		watch.submit(newJob("0000000000000b09", "tally", 1, 1))
		env.sleep(25 * time.Second)
		watch.expectNoneStood()
	})
}
