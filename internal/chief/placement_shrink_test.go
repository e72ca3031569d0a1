package chief_test

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against a worker that is dropped from a job's placement although something of the job may be left there: a new leader that does
// not reach the worker would start the task again.
func TestSuccessorWaitsForAWorkerWhereSomethingIsLeft(t *testing.T) {
	const id model.JobID = "00000000000000e8"
	for _, c := range []struct {
		name     string
		tasks    int // of the first step, all on w-00
		left     int // task of which something is left there
		unstored bool
	}{{name: "a run", tasks: 2, left: 1}, {name: "an end that is not stored", tasks: 1, left: 0, unstored: true}} {
		t.Run(c.name, func(t *testing.T) {
			withTestEnv(t, 2, func(env *testEnv) {
				var refused atomic.Bool
				env.fleet.Outcome = func(task string, _ int64, _ string) fakepl.Outcome {
					if task == taskID(string(id), 0) {
						return fakepl.Outcome{After: time.Second, How: "done"}
					}
					return fakepl.Outcome{After: time.Minute, How: "done"}
				}
				leader := env.start("a", refuseWrites(&refused, work.ProgressPrefix))
				env.sleep(3 * time.Second)
				job := newJob(string(id), "scan", c.tasks, 4)
				last := job.Steps[0]
				last.Label, last.After = "r9", []int{0} // No worker has the label: the job is not over.
				job.Steps = append(job.Steps, last)
				env.submit(job)
				env.await(time.Second, "its tasks run", func() bool { return len(env.workers[0].Running()) == c.tasks })
				refused.Store(c.unstored)
				env.sleep(3500 * time.Millisecond) // The end is acknowledged by a poll that the worker holds open.
				leader.kill()
				env.net.SetFault("b", memnet.Host(env.workers[0].Address), memnet.Fault{DropRequests: true, DropAnswers: true})
				env.store.Remove(fakepl.WorkerKey(env.workers[0].ID))
				env.start("b", nil)
				env.sleep(5 * time.Second)
				env.Expect(env.fleet.StartCount(taskID(string(id), c.left))).To(Equal(1))
			})
		})
	}
}

// Guards against a worker that is dropped although an order for it had no answer at first: its next incarnation may execute that order, while
// a new leader starts the task elsewhere. The fleet notes two runs of one task.
func TestSuccessorWaitsForAWorkerWithAnOrderThatMayBeLate(t *testing.T) {
	const id model.JobID = "00000000000000e9"
	for _, c := range []struct {
		name   string
		repeat bool // the order is sent again and answered, and its run ends
	}{{name: "it was sent again", repeat: true}, {name: "it was not sent again"}} {
		t.Run(c.name, func(t *testing.T) {
			withTestEnv(t, 2, func(env *testEnv) {
				first, second := env.workers[0], env.workers[1]
				env.fleet.Outcome = func(_ string, run int64, worker string) fakepl.Outcome {
					if run == 1 && worker == first.ID {
						return fakepl.Outcome{After: time.Second, How: "failed"}
					}
					return fakepl.Outcome{After: time.Minute, How: "done"}
				}
				late := false
				first.LateBy = 7 * time.Second
				first.SetFault(func(path string) fakepl.Fault {
					if path != fakepl.PathStart || late {
						return fakepl.Healthy
					}
					late = true
					return fakepl.DelayedExecution
				})
				leader := env.start("a", nil)
				env.sleep(3 * time.Second)
				env.submit(newJob(string(id), "scan", 2, 1)) // The order for one task is late, and that for the other is not.
				env.await(time.Second, "the other task runs", func() bool { return len(first.Running()) == 1 })
				if c.repeat {
					env.await(time.Second, "both tasks run", func() bool { return len(first.Running()) == 2 })
				}
				first.Drain(time.Minute)
				env.heartbeat(first)
				env.await(4*time.Second, "both run elsewhere", func() bool { return len(second.Running()) == 2 })
				env.sleep(time.Second)
				leader.kill()
				env.restartAllBut("")
				env.net.SetFault("b", memnet.Host(first.Address), memnet.Fault{DropRequests: true, DropAnswers: true})
				env.store.Remove(fakepl.WorkerKey(first.ID))
				env.start("b", nil)
				env.await(6*time.Second, "the late order is executed", func() bool { return len(first.Running()) == 1 })
				env.sleep(2 * time.Second)
			})
		})
	}
}
