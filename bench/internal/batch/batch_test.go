package batch

import (
	"context"
	"strings"
	"testing"
	"time"

	"peridotgw.example/peridotgw/bench/internal/table"
	"peridotgw.example/peridotgw/internal/object"
	"peridotgw.example/peridotgw/model"
)

func loadExample(t *testing.T, name string) *model.Set {
	t.Helper()
	files, err := object.Load("../../../examples/" + name + "/objects")
	if err != nil {
		t.Fatal(err)
	}
	set, err := files.Set()
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func printTables(t *testing.T, tables []*table.Table) string {
	t.Helper()
	var out strings.Builder
	for _, one := range tables {
		if err := one.Print(&out); err != nil {
			t.Fatal(err)
		}
	}
	return out.String()
}

// Guards against results that depend on map order or scheduling: the same seed must give the same tables.
func TestSameSeedSameTables(t *testing.T) {
	deployments := []Deployment{{Name: "hollow-creek", Set: loadExample(t, "hollow-creek")}}
	var out []string
	for range 2 {
		tables, err := Measure(context.Background(), deployments, Quick(), []uint64{7})
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, printTables(t, tables))
	}
	if out[0] != out[1] {
		t.Errorf("tables of one seed differ:\n%s\n%s", out[0], out[1])
	}
}

// Guards against comparing policies over different jobs, and against an offered load far from the configured one.
func TestArrivals(t *testing.T) {
	set := loadExample(t, "casco-limpio")
	set.JobClasses[UrgentClass] = model.JobClass{Priority: model.PriorityUrgent, Repeatable: true}
	first, second := generateArrivals(set, Default(), 3), generateArrivals(set, Default(), 3)
	offered := 0.0
	for i, a := range first {
		if a.at != second[i].at || a.runTime != second[i].runTime || a.spec.ID != second[i].spec.ID {
			t.Fatalf("job %d differs between two runs of one seed", i)
		}
		if a.spec.Class != UrgentClass && a.spec.DataCentre == "" {
			offered += float64(set.Shapes[a.spec.Shape].Accelerators()) * a.runTime.Seconds()
		}
	}
	share := offered / (400 * Default().Arrivals.Seconds())
	if share < 0.85 || share > 1.3 {
		t.Errorf("offered load %.2f, want at least the workload's 0.85; only the last job and throttled jobs may exceed it", share)
	}
}

// Guards against events that run out of order or after the end.
func TestClock(t *testing.T) {
	c, order := &clock{now: time.Unix(0, 0)}, ""
	add := func(after time.Duration, name string) { c.after(after, func() { order += name }) }
	add(2*time.Second, "c")
	add(time.Second, "a")
	add(time.Second, "b")
	add(9*time.Second, "late")
	for c.step(time.Unix(9, 0)) {
		continue
	}
	if order != "abc" {
		t.Errorf("events ran in order %q, want abc", order)
	}
}

// Guards against counting work outside the drain window.
func TestOverlap(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	for _, c := range []struct {
		a, b int64
		want time.Duration
	}{{0, 5, 0}, {0, 15, 5 * time.Second}, {12, 15, 3 * time.Second}, {15, 40, 5 * time.Second}, {25, 40, 0}} {
		if got := overlap(at(c.a), at(c.b), at(10), at(20)); got != c.want {
			t.Errorf("overlap of %d..%d with 10..20 is %v, want %v", c.a, c.b, got, c.want)
		}
	}
}

// Guards against a simulated worker that lets two jobs hold one accelerator, or frees the accelerators of a task before
// its checkpoint ends.
func TestSimWorkerReserves(t *testing.T) {
	now := time.Unix(0, 0)
	w := &simWorker{id: "w", totalAccelerators: 8, reserved: map[model.JobID]model.Accelerators{}, tasks: map[model.TaskID]*task{}}
	if !w.reserve("a", 6, now) || w.reserve("b", 4, now) {
		t.Error("the worker does not keep the reservations of two jobs separate")
	}
	delete(w.reserved, "a")
	held := &task{endsAt: now.Add(time.Second)}
	held.Job, held.Accelerators, held.State = "a", 6, "stopping"
	held.freeAt = now.Add(2 * time.Second)
	w.tasks["t"] = held
	if w.reserve("b", 4, now.Add(time.Second)) || !w.reserve("b", 4, now.Add(2*time.Second)) {
		t.Error("a checkpointing task does not hold its accelerators until the checkpoint ends")
	}
}
