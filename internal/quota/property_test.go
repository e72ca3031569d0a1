package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// testRun is a run on a worker of the model.
type testRun struct {
	tenant model.CustomerID
	need   work.Resources
	worker int
	endsAt int // step
}

// testJob is a job of equal tasks, or one gang, that waits.
type testJob struct {
	quota.Job
	need  work.Resources
	tasks int
	gang  bool
	takes int // steps
}

// world is a fleet with tenants. A leader sees the runs on all workers but those that do not answer; a worker that does not answer to a
// new leader answers, or has ended its runs, some steps later.
type world struct {
	rules    quota.Rules
	free     []work.Resources
	room     work.Resources
	runs     []testRun
	jobs     []testJob
	tenants  map[model.CustomerID]work.Tenant
	unseen   map[int]bool
	short    bool
	step     int
	overCap  string // the first start above a cap and one task
	deferred []int  // jobs that their tenant's part kept from starting more
}

func newWorld(workers int, capacity work.Resources) *world {
	w := &world{tenants: map[model.CustomerID]work.Tenant{}, unseen: map[int]bool{}}
	for range workers {
		w.free = append(w.free, capacity)
		w.room = w.room.Add(capacity)
	}
	return w
}

func (w *world) used(tenant model.CustomerID, unseen bool) work.Resources {
	var used work.Resources
	for _, r := range w.runs {
		if r.tenant == tenant && (!unseen || w.unseen[r.worker]) {
			used = used.Add(r.need)
		}
	}
	return used
}

// next ends the runs that are over, and plans one pass.
func (w *world) next() {
	w.step++
	w.runs = slices.DeleteFunc(w.runs, func(r testRun) bool {
		if r.endsAt <= w.step {
			w.free[r.worker] = w.free[r.worker].Add(r.need)
		}
		return r.endsAt <= w.step
	})
	pass := &quota.Pass{Tenants: w.tenants, Ledger: &quota.Ledger{}, Room: w.room, Rules: w.rules}
	for _, r := range w.runs {
		if !w.unseen[r.worker] {
			pass.Ledger.Add(r.tenant, r.need)
		}
	}
	for id := range w.tenants {
		pass.AddUnseen(id, w.used(id, true))
	}
	list := make([]quota.Job, len(w.jobs))
	for i := range w.jobs {
		list[i] = w.jobs[i].Job
		list[i].Demand = work.Resources{CPU: w.jobs[i].need.CPU * w.jobs[i].tasks, GPU: w.jobs[i].need.GPU * model.Accelerators(w.jobs[i].tasks)}
	}
	order := pass.Rank(list, w.short)
	w.short, w.deferred = false, nil
	for _, index := range order {
		w.startJob(pass, index, true)
	}
	for _, index := range w.deferred {
		w.startJob(pass, index, false)
	}
	w.jobs = slices.DeleteFunc(w.jobs, func(j testJob) bool { return j.tasks == 0 })
}

func (w *world) startJob(pass *quota.Pass, index int, shared bool) {
	j := &w.jobs[index]
	for j.tasks > 0 {
		together := 1
		if j.gang {
			together = j.tasks
		}
		switch pass.Admit(quota.Request{Tenant: j.Tenant, Need: j.need, Tasks: together, Shared: shared}) {
		case "":
		case quota.ReasonShare:
			w.deferred = append(w.deferred, index)
			return
		default:
			return
		}
		places := w.places(j.need, together)
		if places == nil {
			w.short = true
			return
		}
		for _, place := range places {
			w.start(j, place)
			pass.Ledger.Add(j.Tenant, j.need)
		}
		j.tasks -= together
	}
}

// places returns the first workers with room, or nil. Workers that do not answer get no starts.
func (w *world) places(need work.Resources, count int) []int {
	var places []int
	for i, free := range w.free {
		for !w.unseen[i] && len(places) < count && free.Fits(need) {
			free = free.Sub(need)
			places = append(places, i)
		}
	}
	if len(places) < count {
		return nil
	}
	return places
}

// start starts a task, and checks the promise: what its tenant has running before is within its cap.
func (w *world) start(j *testJob, place int) {
	limit, used := w.tenants[j.Tenant].Cap, w.used(j.Tenant, false)
	if w.overCap == "" && (limit.CPU > 0 && used.CPU > limit.CPU || limit.GPU > 0 && used.GPU > limit.GPU) {
		w.overCap = fmt.Sprintf("step %d: %s has %v running, with a cap of %v, and starts %v", w.step, j.Tenant, used, limit, j.need)
	}
	w.runs = append(w.runs, testRun{j.Tenant, j.need, place, w.step + j.takes})
	w.free[place] = w.free[place].Sub(j.need)
}

// playCaps plays drawn loads, changes of caps and successions, and returns the first start above a cap and one task.
func playCaps(rt *rapid.T, rules quota.Rules) string {
	w := newWorld(rapid.IntRange(1, 12).Draw(rt, "workers"), work.Resources{CPU: 64, Memory: 64, GPU: 8})
	w.rules = rules
	names := []model.CustomerID{"a", "b", "c"}
	drawCap := func(id model.CustomerID) {
		w.tenants[id] = work.Tenant{Name: id, Weight: float64(rapid.IntRange(0, 3).Draw(rt, "weight")), Cap: work.Resources{
			CPU: rapid.IntRange(0, 200).Draw(rt, "cpu cap"), GPU: model.Accelerators(rapid.IntRange(0, 40).Draw(rt, "gpu cap")),
		}}
	}
	for _, id := range names {
		drawCap(id)
	}
	for range rapid.IntRange(10, 60).Draw(rt, "steps") {
		switch rapid.IntRange(0, 9).Draw(rt, "event") {
		case 0:
			drawCap(rapid.SampledFrom(names).Draw(rt, "changed"))
		case 1: // Another leader, to which some workers do not answer yet.
			for i := range w.free {
				w.unseen[i] = rapid.Bool().Draw(rt, "unseen")
			}
		case 2:
			clear(w.unseen)
		case 3, 4, 5, 6:
			w.jobs = append(w.jobs, testJob{
				Job: quota.Job{
					Tenant: rapid.SampledFrom(names).Draw(rt, "tenant"), Priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
					Deadline: time.Duration(w.step),
				},
				need:  work.Resources{CPU: rapid.IntRange(1, 60).Draw(rt, "cpu"), GPU: model.Accelerators(rapid.IntRange(0, 8).Draw(rt, "gpu"))},
				tasks: rapid.IntRange(1, 20).Draw(rt, "tasks"), gang: rapid.Bool().Draw(rt, "gang"), takes: rapid.IntRange(1, 20).Draw(rt, "takes"),
			})
		}
		w.next()
	}
	return w.overCap
}

// Answers load of tenants that ask for far more than their caps, while caps change and leaders follow one another.
func TestNoTenantIsAboveItsCapAndOneTask(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if over := playCaps(rt, quota.Rules{}); over != "" {
			rt.Fatal(over)
		}
	})
}

// playShares plays tenants of drawn weights whose jobs want more than the room, and returns the first one that waits, with under its part
// running less one task, for longer than the longest task and two passes.
func playShares(rt *rapid.T, rules quota.Rules) string {
	const longest = 12
	slots := rapid.IntRange(6, 40).Draw(rt, "accelerators")
	w := newWorld(1, work.Resources{CPU: 1000, Memory: 1000, GPU: model.Accelerators(slots)})
	w.rules = rules
	names := []model.CustomerID{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(rt, "tenants")]
	sum, waits := 0.0, map[model.CustomerID]int{}
	arrives := map[model.CustomerID]int{}
	for _, id := range names {
		w.tenants[id] = work.Tenant{Name: id, Weight: float64(rapid.IntRange(1, 4).Draw(rt, "weight"))}
		sum += w.tenants[id].Weight
		arrives[id] = rapid.IntRange(0, 20).Draw(rt, "arrives")
	}
	for range 80 {
		for _, id := range names {
			if w.step < arrives[id] || slices.ContainsFunc(w.jobs, func(j testJob) bool { return j.Tenant == id }) {
				continue
			}
			w.jobs = append(w.jobs, testJob{
				Job: quota.Job{Tenant: id, Priority: 1, Deadline: time.Duration(w.step)}, need: work.Resources{GPU: 1},
				tasks: rapid.IntRange(1, 60).Draw(rt, "tasks"), takes: rapid.IntRange(1, longest).Draw(rt, "takes"),
			})
		}
		w.next()
		for _, id := range names {
			waiting := slices.ContainsFunc(w.jobs, func(j testJob) bool { return j.Tenant == id })
			part := float64(slots) * w.tenants[id].Weight / sum
			if waits[id]++; !waiting || float64(w.used(id, false).GPU) >= part-1 {
				waits[id] = 0
			}
			if waits[id] > longest+2 {
				return fmt.Sprintf("step %d: %s has %v of %d accelerators, its part is %.1f", w.step, id, w.used(id, false).GPU, slots, part)
			}
		}
	}
	return ""
}

// Answers load of tenants of which each alone would fill the room, and of which some come late.
func TestTenantUnderItsPartGetsRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if waits := playShares(rt, quota.Rules{}); waits != "" {
			rt.Fatal(waits)
		}
	})
}

func admitAll(view.Tenant, work.Resources, int) view.Reason { return "" }

// Guards against checks that pass whatever the package does: with its mechanism switched off, each must find a violation.
func TestChecksFailWithoutTheirMechanism(t *testing.T) {
	for _, c := range []struct {
		name  string
		play  func(*rapid.T, quota.Rules) string
		rules quota.Rules
	}{
		{"caps", playCaps, quota.Rules{Admit: admitAll}},
		{"runs that were not seen", playCaps, quota.Rules{Unseen: func(work.Resources) work.Resources { return work.Resources{} }}},
		{"parts", playShares, quota.Rules{Level: func(float64, float64) int { return 1 << 20 }}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range 200 {
				if rapid.Custom(func(rt *rapid.T) string { return c.play(rt, c.rules) }).Example(seed) != "" {
					return
				}
			}
			t.Fatal("no violation was found with the mechanism switched off")
		})
	}
}
