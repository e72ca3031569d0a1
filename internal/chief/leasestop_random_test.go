package chief_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against two runs of a task at the same time, and against tasks that never run again, in any order of workers that are cut off,
// return and restart, leaders that end, and writes of the roster that are refused, unanswered or executed late.
func TestAtMostOneRunWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var h history
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 3, 14).Draw(rt, "steps")
		runTestEnv(t, 3, func(env *testEnv) { h.run(env, steps) })
		if len(h.wrong) > 0 {
			rt.Fatalf("%v", h.wrong)
		}
	})
}

// step is one event, and the time until the next.
type step struct {
	event  string
	worker int
	pause  time.Duration
}

func drawStep(rt *rapid.T) step {
	return step{
		event: rapid.SampledFrom([]string{
			"cut", "cut", "cut from all", "cut from all", "heal", "heal", "hand over", "hand over", "kill", "restart worker", "refuse", "doubt", "serve",
		}).Draw(rt, "event"),
		worker: rapid.IntRange(0, 2).Draw(rt, "worker"),
		pause:  time.Duration(rapid.IntRange(1, 45).Draw(rt, "pause")) * 100 * time.Millisecond,
	}
}

// history is a run of some steps and what was wrong in it.
type history struct {
	env               *testEnv
	instances         []*instance
	refused, doubtful atomic.Bool
	wrong             []string
}

const lateRosterWrite = 1700 * time.Millisecond

func (h *history) start() {
	name := fmt.Sprintf("i-%02d", len(h.instances))
	h.instances = append(h.instances, h.env.start(name, func(i *instance) {
		doubtfulRosterWrites(&h.doubtful, lateRosterWrite)(i)
		refuseWrites(&h.refused, rosterKey)(i)
	}))
}

func (h *history) leader() *instance {
	for _, i := range h.instances {
		if i.leads() {
			return i
		}
	}
	return nil
}

// cut cuts a worker off from some instances, or ends that.
func (h *history) cut(worker string, apart bool, instances []*instance) {
	for _, i := range instances {
		h.env.cutOff(worker, apart, i.name)
	}
}

func (h *history) run(env *testEnv, steps []step) {
	h.env = env
	h.start()
	env.sleep(time.Second)
	h.start()
	env.fleet.WithLock(func() {
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{Hang: true} }
	})
	const tasks = 4
	env.submit(newJob("00000000000000ad", "scan", tasks, 4))
	env.sleep(2 * time.Second)
	for _, s := range steps {
		h.apply(s)
		env.sleep(s.pause)
	}
	h.refused.Store(false)
	h.doubtful.Store(false)
	for _, w := range env.workers {
		h.cut(w.ID, false, h.instances)
	}
	env.sleep(20 * time.Second)
	h.wrong = env.fleet.Violations()
	for i := range tasks {
		if n := len(env.fleet.RunningOn(taskID("00000000000000ad", i))); n != 1 {
			h.wrong = append(h.wrong, fmt.Sprintf("task %d has %d runs at the end", i, n))
		}
	}
}

func (h *history) apply(s step) {
	worker, leader := h.env.workers[s.worker], h.leader()
	switch s.event {
	case "cut":
		if leader != nil {
			h.cut(worker.ID, true, []*instance{leader})
		}
	case "cut from all":
		h.cut(worker.ID, true, h.instances)
	case "heal":
		h.cut(worker.ID, false, h.instances)
	case "hand over":
		h.start()
		if leader != nil {
			h.env.handOver(leader)
		}
	case "kill":
		h.start()
		if leader != nil {
			leader.kill()
		}
	case "restart worker":
		worker.Crash()
		worker.Start()
	case "refuse":
		h.refused.Store(true)
	case "doubt":
		h.doubtful.Store(true)
	case "serve":
		h.refused.Store(false)
		h.doubtful.Store(false)
	}
}
