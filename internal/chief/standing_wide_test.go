package chief_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	// wideWait is the longest that a wide gang may wait in addition to the longest estimate of what ran when it began to wait.
	wideWait = 2 * time.Second
	// streamWaiting is how many jobs of a stream wait for a worker at any time.
	streamWaiting = 6
	streamPause   = 20 * time.Millisecond
)

// wideEnv is an environment in which each task takes a whole worker, and runs progress evenly.
type wideEnv struct {
	*testEnv
	took  map[model.JobID]time.Duration // run time of the tasks of each job; the default is two seconds
	hangs map[model.JobID]bool          // jobs whose tasks stay at the end of their work for ever
	began map[string]time.Time          // when the work of a task began

	mu      sync.Mutex // guards the fields below
	stream  []*work.Job
	stopped bool // the stream ends
}

func withWideEnv(t *testing.T, workers int, body func(env *wideEnv)) {
	t.Helper()
	withTestEnv(t, workers, func(inner *testEnv) {
		env := &wideEnv{testEnv: inner, took: map[model.JobID]time.Duration{}, hangs: map[model.JobID]bool{}, began: map[string]time.Time{}}
		env.fleet.Outcome = func(task string, _ int64, _ string) fakepl.Outcome {
			env.began[task] = time.Now()
			return fakepl.Outcome{After: env.runTime(task), How: "done", Hang: env.hangs[jobOf(task)]}
		}
		env.fleet.Percent = func(task, _ string) int {
			began, found := env.began[task]
			if !found {
				return 0
			}
			return min(100, int(100*time.Since(began)/env.runTime(task)))
		}
		env.start("a", nil)
		env.sleep(3 * time.Second)
		body(env)
		env.mu.Lock()
		env.stopped = true
		env.mu.Unlock()
		env.sleep(2 * streamPause) // A job that is being submitted is accepted before the test ends.
	})
}

func jobOf(task string) model.JobID {
	id, err := work.ParseTaskID(task)
	if err != nil {
		return ""
	}
	return id.Job
}

func (e *wideEnv) runTime(task string) time.Duration {
	if took := e.took[jobOf(task)]; took > 0 {
		return took
	}
	return 2 * time.Second
}

// submitFor submits a job whose tasks take a time, which is also their estimate.
func (e *wideEnv) submitFor(job *work.Job, took time.Duration) {
	job.Steps[0].Estimate = took
	e.fleet.WithLock(func() { e.took[job.ID] = took })
	e.submit(job)
}

// startStream keeps some small jobs waiting that take the given times in turn, and waits until workers are full.
func (e *wideEnv) startStream(times ...time.Duration) {
	go func() {
		for clock.Sleep(e.ctx, streamPause) == nil && !e.streamStopped() {
			for open := e.openJobs(); open < len(e.workers)+streamWaiting; open++ {
				e.mu.Lock()
				number := len(e.stream) + 1
				job := newJob(fmt.Sprintf("a%015d", number), "scan", 1, 8)
				e.stream = append(e.stream, job)
				e.mu.Unlock()
				e.submitFor(job, times[number%len(times)])
			}
		}
	}()
	e.sleep(6 * time.Second)
}

func (e *wideEnv) streamJobs() []*work.Job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.stream)
}

func (e *wideEnv) streamStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

func (e *wideEnv) openJobs() int {
	open := 0
	for _, job := range e.streamJobs() {
		if !e.fleet.Done(taskID(string(job.ID), 0)) {
			open++
		}
	}
	return open
}

// newGang returns a gang that takes a number of whole workers.
func (e *wideEnv) newGang(id string, workers int) *work.Job {
	return e.asGang(newJob(id, "scan", workers, 8))
}

// started reports whether all members of a gang run, or have run.
func (e *wideEnv) started(gang *work.Job) bool {
	for index := range gang.Steps[0].Count {
		if e.fleet.StartCount(taskID(string(gang.ID), index)) == 0 {
			return false
		}
	}
	return true
}

// busy returns how many workers run a task.
func (e *wideEnv) busy() int {
	busy := 0
	for _, w := range e.workers {
		if len(w.Running()) > 0 {
			busy++
		}
	}
	return busy
}

// expectNoneStopped expects that each job of the stream was started at most once.
func (e *wideEnv) expectNoneStopped() {
	e.t.Helper()
	for _, job := range e.streamJobs() {
		e.Expect(e.fleet.StartCount(taskID(string(job.ID), 0))).To(BeNumerically("<=", 1), "starts of "+string(job.ID))
	}
}

// Guards against a gang of half of the workers that never finds room, since small jobs take each worker as it becomes free.
func TestWideGangDoesNotStandBesideAStreamOfSmallJobs(t *testing.T) {
	withWideEnv(t, 8, func(env *wideEnv) {
		env.startStream(time.Second, 2*time.Second, 3*time.Second)
		gang := env.newGang("0000000000000c01", 4)
		env.submitFor(gang, 2*time.Second)
		env.await(3*time.Second+wideWait, "the gang starts", func() bool { return env.started(gang) })
		env.sleep(3 * time.Second)
		env.Expect(env.fleet.Done(taskID(string(gang.ID), 0))).To(BeTrue())
		env.expectNoneStopped()
	})
}

// Guards against two wide gangs that keep each other from starting: each holds workers that the other needs.
func TestTwoWideGangsRunOneAfterTheOther(t *testing.T) {
	withWideEnv(t, 8, func(env *wideEnv) {
		env.startStream(time.Second, 2*time.Second, 3*time.Second)
		gangs := []*work.Job{env.newGang("0000000000000c02", 6), env.newGang("0000000000000c03", 6)}
		for _, gang := range gangs {
			env.submitFor(gang, 2*time.Second)
		}
		first := env.await(3*time.Second+wideWait, "one of the gangs starts", func() bool { return env.started(gangs[0]) || env.started(gangs[1]) })
		t.Log("first gang after", first)
		// The other waits for the end of the first, and for that of small jobs that started before.
		second := env.await(2*time.Second+3*time.Second+wideWait, "the other gang starts", func() bool { return env.started(gangs[0]) && env.started(gangs[1]) })
		t.Log("second gang after", second)
		env.expectNoneStopped()
	})
}

// Guards against a gang that waits for ever for workers whose tasks take longer than estimated, while others become free.
func TestWideGangMovesFromWorkersThatStayBusy(t *testing.T) {
	withWideEnv(t, 8, func(env *wideEnv) {
		for i := range 4 {
			id := fmt.Sprintf("b%015d", i+1)
			env.hangs[model.JobID(id)] = true
			env.submitFor(newJob(id, "scan", 1, 8), 10*time.Second)
		}
		env.sleep(100 * time.Millisecond)
		env.startStream(4 * time.Second)
		env.sleep(time.Second)
		gang := env.newGang("0000000000000c04", 4)
		env.submitFor(gang, 2*time.Second)
		// The workers that seem to become free first, after 10 s, do not; the others have taken one more small job each meanwhile.
		env.await(12*time.Second, "the gang starts", func() bool { return env.started(gang) })
		env.expectNoneStopped()
	})
}

// longJobs starts jobs of one task that take half of the workers for a time, and a stream of small jobs on the others.
func (e *wideEnv) longJobs(took time.Duration, stream ...time.Duration) {
	for i := range len(e.workers) / 2 {
		e.submitFor(newJob(fmt.Sprintf("b%015d", i+1), "scan", 1, 8), took)
	}
	e.sleep(100 * time.Millisecond)
	e.startStream(stream...)
}

// Guards against workers that stay idle for a gang that starts much later: small jobs that end before then can use them.
func TestSmallJobsUseWorkersBeforeAWideGangStarts(t *testing.T) {
	withWideEnv(t, 8, func(env *wideEnv) {
		env.longJobs(16*time.Second, time.Second)
		gang := env.newGang("0000000000000c05", 6)
		env.submitFor(gang, 2*time.Second)
		samples, busy := 0, 0
		env.await(10*time.Second+wideWait, "the gang starts", func() bool {
			samples, busy = samples+1, busy+env.busy()
			return env.started(gang)
		})
		share := float64(busy) / float64(samples*len(env.workers))
		t.Logf("%.2f of the workers were busy", share)
		env.Expect(share).To(BeNumerically(">", 0.85), "share of the workers that were busy while the gang waited")
		env.expectNoneStopped()
	})
}

// withIdleForGang calls body while four of eight workers are idle, since a gang of all eight is about to start, and small jobs would end
// too late. The gang starts some 2.5 s later.
func withIdleForGang(t *testing.T, body func(env *wideEnv, gang *work.Job)) {
	t.Helper()
	withWideEnv(t, 8, func(env *wideEnv) {
		env.longJobs(18*time.Second, 4*time.Second)
		gang := env.newGang("0000000000000c06", 8)
		env.submitFor(gang, 2*time.Second)
		env.await(14*time.Second, "four workers are idle", func() bool { return env.busy() <= 4 })
		env.Expect(env.started(gang)).To(BeFalse())
		body(env, gang)
	})
}

// Guards against workers that stay idle for a gang that was cancelled.
func TestCancelledWideGangHoldsNoWorkers(t *testing.T) {
	withIdleForGang(t, func(env *wideEnv, gang *work.Job) {
		env.Expect(env.jobIntake.Cancel(env.ctx, gang.ID)).To(Succeed())
		env.await(500*time.Millisecond, "small jobs run on all workers", func() bool { return env.busy() == 8 })
	})
}

// Guards against urgent work that waits beside idle workers, which wait for a gang.
func TestUrgentWorkDoesNotWaitForAWideGang(t *testing.T) {
	withIdleForGang(t, func(env *wideEnv, _ *work.Job) {
		urgent := newJob("0000000000000c07", "check", 2, 8)
		env.submitFor(urgent, 5*time.Second)
		env.await(300*time.Millisecond, "the urgent job runs", func() bool { return env.started(urgent) })
		env.expectNoneStopped()
	})
}

// Guards against a gang that keeps workers from another for ever, while it waits for workers that stay busy.
func TestWideGangThatCannotStartLeavesItsTurnToAnother(t *testing.T) {
	withWideEnv(t, 8, func(env *wideEnv) {
		for i := range 4 {
			id := fmt.Sprintf("b%015d", i+1)
			env.hangs[model.JobID(id)] = true
			env.submitFor(newJob(id, "scan", 1, 8), 4*time.Second)
		}
		env.sleep(100 * time.Millisecond)
		env.startStream(time.Second, 2*time.Second)
		env.submitFor(env.newGang("0000000000000c08", 6), 4*time.Second)
		env.sleep(3 * time.Second)
		gang := env.newGang("0000000000000c09", 3)
		env.submitFor(gang, 5*time.Second)
		took := env.await(25*time.Second, "the other gang starts", func() bool { return env.started(gang) })
		t.Log("the other gang after", took)
	})
}

// Guards against a gang that stands beside its reserved workers, since what short urgent jobs have used is kept free for more of them.
func TestReservedWideGangDoesNotWaitForAcceleratorsKeptForUrgentWork(t *testing.T) {
	withWideEnv(t, 8, func(env *wideEnv) {
		env.startStream(time.Second, 2*time.Second, 3*time.Second)
		go func() {
			for wave := 0; clock.Sleep(env.ctx, 2*time.Second) == nil && !env.streamStopped(); wave++ {
				env.submitFor(newJob(fmt.Sprintf("c%015d", wave+1), "check", 1, 8), 300*time.Millisecond)
			}
		}()
		env.sleep(3 * time.Second)
		gang := env.newGang("0000000000000c0a", 6)
		env.submitFor(gang, 2*time.Second)
		took := env.await(10*time.Second, "the gang starts", func() bool { return env.started(gang) })
		t.Log("the gang after", took)
	})
}
