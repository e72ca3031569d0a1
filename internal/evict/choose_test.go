package evict_test

import (
	"cmp"
	"slices"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/evict"
	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// fleet builds a snapshot. Its first stage is the demand's: urgent, within its guarantee, one accelerator a task.
type fleet struct{ view.Snapshot }

func newFleet(workers, accelerators int) *fleet {
	f := &fleet{}
	for w := range workers {
		free := work.Resources{CPU: 64000, Memory: 64000, GPU: model.Accelerators(accelerators)}
		f.Workers = append(f.Workers, view.Worker{Rack: work.Label(rune('a' + w/4)), Capacity: free, Available: free})
	}
	f.stage(view.Stage{Tenant: "urgent", Estimate: 2 * time.Second, Slack: time.Second, Guaranteed: true, Need: need(1)})
	return f
}

func need(accelerators int) work.Resources {
	return work.Resources{CPU: 1000, Memory: 100, GPU: model.Accelerators(accelerators)}
}

// stage adds a stage; one without a tenant is patient work that can be in time whatever happens to it.
func (f *fleet) stage(s view.Stage) view.StageRef {
	if s.Tenant == "" {
		s.Tenant, s.Priority, s.Slack, s.Estimate = "patient", 1, time.Hour, 10*time.Second
	}
	f.Stages = append(f.Stages, s)
	return view.StageRef(len(f.Stages) - 1)
}

// run adds a run to a worker; lost is the time that a stop loses.
func (f *fleet) run(w view.WorkerRef, stage view.StageRef, lost time.Duration, change func(*view.Run)) view.RunRef {
	r := view.Run{Worker: w, Stage: stage, Need: f.Stages[stage].Need, Lost: lost, Age: lost, Left: 5 * time.Second}
	if change != nil {
		change(&r)
	}
	ref := view.RunRef(len(f.Runs))
	f.Runs = append(f.Runs, r)
	f.Workers[w].Runs = append(f.Workers[w].Runs, ref)
	f.Workers[w].Available = f.Workers[w].Available.Sub(r.Need)
	return ref
}

// fill adds a run of a stage to each of the first workers.
func (f *fleet) fill(workers int, stage view.StageRef, lost time.Duration, change func(*view.Run)) {
	for w := range view.WorkerRef(workers) {
		f.run(w, stage, lost, change)
	}
}

func (f *fleet) demand(tasks int) *evict.Demand {
	places := make([]int, len(f.Workers))
	for w := range places {
		places[w] = tasks
	}
	return &evict.Demand{Tasks: tasks, Places: places, Patience: 200 * time.Millisecond}
}

// demandOn is a demand that only one worker may serve.
func (f *fleet) demandOn(w view.WorkerRef, tasks int) *evict.Demand {
	d := f.demand(tasks)
	for other := range d.Places {
		if view.WorkerRef(other) != w {
			d.Places[other] = 0
		}
	}
	return d
}

func choose(f *fleet, d *evict.Demand) (*evict.Choice, *view.Refusal) {
	chooser := evict.Chooser{StopTime: 200 * time.Millisecond, Restart: 400 * time.Millisecond}
	return chooser.Choose(&f.Snapshot, d)
}

func stopped(c *evict.Choice) []view.RunRef {
	var runs []view.RunRef
	for _, stop := range c.Stops {
		runs = append(runs, stop.Run)
	}
	return runs
}

func inGang(g view.GangRef) func(*view.Run) { return func(r *view.Run) { r.Gang = g } }

func TestChoice(t *testing.T) {
	for _, c := range []struct {
		name   string
		load   func(f *fleet) *evict.Demand
		want   []view.RunRef
		reason view.Reason
	}{
		{
			name: "a burst of urgent tasks on workers full of small work takes one worker, not one task of each",
			load: func(f *fleet) *evict.Demand {
				f.Stages[0].Need = need(8)
				small := f.stage(view.Stage{Need: need(1), Tasks: 32})
				for w := range view.WorkerRef(4) {
					for range 8 {
						f.run(w, small, time.Duration(w+1)*time.Second, nil)
					}
				}
				return f.demand(1)
			},
			want: []view.RunRef{0, 1, 2, 3, 4, 5, 6, 7},
		},
		{
			name: "one wide run gives way, not as many small ones as take its room",
			load: func(f *fleet) *evict.Demand {
				f.Stages[0].Need = need(4)
				small, wide := f.stage(view.Stage{Need: need(1), Tasks: 4}), f.stage(view.Stage{Need: need(4), Tasks: 1})
				for range 4 {
					f.run(0, small, 2*time.Second, nil)
				}
				f.run(0, wide, 500*time.Millisecond, nil)
				return f.demandOn(0, 1)
			},
			want: []view.RunRef{4},
		},
		{
			name: "small runs are not stopped beside a wide one that makes room enough",
			load: func(f *fleet) *evict.Demand {
				f.Stages[0].Need = need(4)
				small, wide := f.stage(view.Stage{Need: need(1), Tasks: 4}), f.stage(view.Stage{Need: need(4), Tasks: 1})
				for n := range 4 {
					f.run(0, small, 200*time.Millisecond, func(r *view.Run) { r.Protected = n == 0 })
				}
				f.run(0, wide, 500*time.Millisecond, nil)
				return f.demandOn(0, 1)
			},
			want: []view.RunRef{4},
		},
		{
			name: "a gang on two workers gives room on both, though each of its members costs the whole gang",
			load: func(f *fleet) *evict.Demand {
				f.Stages[0].Need = need(8)
				wide, single := f.stage(view.Stage{Need: need(8), Tasks: 2, Gang: true}), f.stage(view.Stage{Need: need(8), Tasks: 1})
				f.run(0, single, 1500*time.Millisecond, nil)
				f.run(1, wide, time.Second, inGang(1))
				f.run(2, single, 1500*time.Millisecond, nil)
				f.run(3, wide, time.Second, inGang(1))
				return f.demand(2)
			},
			want: []view.RunRef{1, 3},
		},
		{
			name: "a gang that just started pays, not one half done beside it",
			load: func(f *fleet) *evict.Demand {
				wide := f.stage(view.Stage{Need: need(8), Tasks: 2, Gang: true})
				f.run(0, wide, 5*time.Second, inGang(1))
				f.run(1, wide, 5*time.Second, inGang(1))
				f.run(2, wide, time.Second, inGang(2))
				f.run(3, wide, time.Second, inGang(2))
				return f.demand(2)
			},
			want: []view.RunRef{2, 3},
		},
		{
			name: "a task that was stopped three times is left alone, though less of it is lost",
			load: func(f *fleet) *evict.Demand {
				s := f.stage(view.Stage{Need: need(8), Tasks: 4})
				f.fill(3, s, time.Second, func(r *view.Run) { r.Stops = 3 })
				f.run(3, s, 3*time.Second, nil)
				return f.demand(1)
			},
			want: []view.RunRef{3},
		},
		{
			name: "work whose end has no value any more pays first",
			load: func(f *fleet) *evict.Demand {
				timely, hopeless := f.stage(view.Stage{Need: need(8), Tasks: 3}), f.stage(view.Stage{Need: need(8), Tasks: 1})
				f.Stages[hopeless].Hopeless = true
				f.fill(3, timely, time.Second, nil)
				f.run(3, hopeless, 2*time.Second, nil)
				return f.demand(1)
			},
			want: []view.RunRef{3},
		},
		{
			name: "work that a stop makes late is left alone",
			load: func(f *fleet) *evict.Demand {
				tight := f.stage(view.Stage{Tenant: "tight", Priority: 1, Need: need(8), Tasks: 3, Estimate: 6 * time.Second})
				patient := f.stage(view.Stage{Need: need(8), Tasks: 1})
				f.fill(3, tight, time.Second, nil)
				f.run(3, patient, 2*time.Second, nil)
				return f.demand(1)
			},
			want: []view.RunRef{3},
		},
		{
			name: "a tenant's burst is paid for by its own work",
			load: func(f *fleet) *evict.Demand {
				others, own := f.stage(view.Stage{Need: need(8), Tasks: 3}), f.stage(view.Stage{Need: need(8), Tasks: 1})
				f.Stages[own].Tenant = "urgent"
				f.fill(3, others, time.Second, nil)
				f.run(3, own, 1200*time.Millisecond, nil)
				return f.demand(1)
			},
			want: []view.RunRef{3},
		},
		{
			name: "work that is almost done is left alone, though somewhat less of it is lost",
			load: func(f *fleet) *evict.Demand {
				s := f.stage(view.Stage{Need: need(8), Tasks: 4})
				f.fill(3, s, 3*time.Second, func(r *view.Run) { r.Left = time.Second })
				f.run(3, s, 4*time.Second, nil)
				return f.demand(1)
			},
			want: []view.RunRef{3},
		},
		{
			name: "a run that ends as soon as a stop would free its room is waited for",
			load: func(f *fleet) *evict.Demand {
				s := f.stage(view.Stage{Need: need(8), Tasks: 4})
				for w := range view.WorkerRef(4) {
					f.run(w, s, time.Second, func(r *view.Run) { r.Left = time.Duration(w+1) * 150 * time.Millisecond })
				}
				return f.demand(1)
			},
		},
		{
			name: "a gang of which one member is almost done is stopped as a whole",
			load: func(f *fleet) *evict.Demand {
				wide := f.stage(view.Stage{Need: need(8), Tasks: 2, Gang: true})
				f.run(0, wide, time.Second, func(r *view.Run) { r.Gang, r.Left = 1, 100*time.Millisecond })
				f.run(1, wide, time.Second, inGang(1))
				f.run(2, wide, time.Minute, nil)
				f.run(3, wide, time.Minute, nil)
				return f.demand(2)
			},
			want: []view.RunRef{0, 1},
		},
		{
			name: "urgent work beyond its guarantee that can't be in time pushes out nothing that can",
			load: func(f *fleet) *evict.Demand {
				f.Stages[0].Guaranteed, f.Stages[0].Slack = false, -1100*time.Millisecond
				s := f.stage(view.Stage{Need: need(8), Tasks: 4})
				f.fill(4, s, 10*time.Millisecond, nil)
				return f.demand(1)
			},
			reason: evict.ReasonHopeless,
		},
		{
			name: "urgent work beyond its guarantee stops nothing that is worth more",
			load: func(f *fleet) *evict.Demand {
				f.Stages[0].Guaranteed = false
				s := f.stage(view.Stage{Need: need(8), Tasks: 4})
				f.fill(4, s, 4*time.Second, nil)
				return f.demand(1)
			},
			reason: evict.ReasonTooDear,
		},
		{
			name: "tasks that last are never stopped",
			load: func(f *fleet) *evict.Demand {
				s := f.stage(view.Stage{Need: need(8), Tasks: 4})
				f.fill(4, s, time.Second, func(r *view.Run) { r.Protected = true })
				return f.demand(1)
			},
			reason: evict.ReasonNoRoom,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(4, 8)
			choice, refusal := choose(f, c.load(f))
			if c.reason != "" {
				g.Expect(refusal).To(Equal(&view.Refusal{Reason: c.reason}))
				return
			}
			g.Expect(refusal).To(BeNil())
			g.Expect(stopped(choice)).To(ConsistOf(c.want))
		})
	}
}

// Guards against an urgent gang that is spread over two racks, and takes several times as long, since the stops there lose less.
func TestGangGetsOneRack(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8, 8)
	s := f.stage(view.Stage{Need: need(8), Tasks: 8})
	for w := range view.WorkerRef(8) {
		f.run(w, s, time.Duration(1+w%4)*time.Second, nil)
	}
	d := f.demand(4)
	f.Stages[0].Need = need(8)
	d.OneRack = true
	choice, _ := choose(f, d)
	g.Expect(stopped(choice)).To(ConsistOf(view.RunRef(0), view.RunRef(1), view.RunRef(2), view.RunRef(3)))
	d.OneRack = false
	choice, _ = choose(f, d)
	g.Expect(stopped(choice)).To(ConsistOf(view.RunRef(0), view.RunRef(1), view.RunRef(4), view.RunRef(5)))
}

// Guards against stops that make no room, protected runs and parts of gangs that are stopped, stops beside room enough, and choices that
// cost more than to stop the cheapest runs of each worker for one task each.
func TestDrawnFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		d := f.demand(rapid.IntRange(1, 12).Draw(t, "tasks"))
		d.OneRack = rapid.Bool().Draw(t, "one-rack")
		choice, refusal := choose(f, d)
		naive, possible := f.cheapestFirst(d)
		if refusal != nil {
			if possible {
				t.Fatalf("refused (%s), though the cheapest-first choice has room", refusal.Reason)
			}
			return
		}
		f.checkStops(t, choice)
		f.checkClaims(t, d, choice)
		if possible && !d.OneRack && choice.Cost > naive+1e-6 {
			t.Fatalf("cost %.1f is above that of the cheapest-first choice, %.1f", choice.Cost, naive)
		}
	})
}

func drawFleet(t *rapid.T) *fleet {
	f := newFleet(rapid.IntRange(1, 9).Draw(t, "workers"), 8)
	f.Stages[0].Need = need(rapid.SampledFrom([]int{1, 2, 8}).Draw(t, "urgent"))
	gang := view.GangRef(0)
	for range rapid.IntRange(0, 16).Draw(t, "jobs") {
		tasks := rapid.IntRange(1, 5).Draw(t, "width")
		s := f.stage(view.Stage{Need: need(rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "need")), Tasks: tasks})
		f.Stages[s].Hopeless = rapid.Bool().Draw(t, "hopeless")
		member := rapid.Bool().Draw(t, "gang")
		if member {
			gang++
		}
		last := rapid.IntRange(0, 9).Draw(t, "lasts") == 0
		lost := time.Duration(rapid.IntRange(0, 5000).Draw(t, "lost")) * time.Millisecond
		for range tasks {
			w := view.WorkerRef(rapid.IntRange(0, len(f.Workers)-1).Draw(t, "worker"))
			if !f.Workers[w].Available.Fits(f.Stages[s].Need) {
				continue
			}
			f.run(w, s, lost, func(r *view.Run) {
				r.Protected = last
				if member {
					r.Gang = gang
				}
			})
		}
	}
	return f
}

func (f *fleet) checkStops(t *rapid.T, choice *evict.Choice) {
	chosen := stopped(choice)
	for _, ref := range chosen {
		if f.Runs[ref].Protected {
			t.Fatalf("run %d is protected", ref)
		}
		for _, member := range f.GangRuns(f.Runs[ref].Gang) {
			if !slices.Contains(chosen, member) {
				t.Fatalf("run %d is stopped, and %d of its gang is not", ref, member)
			}
		}
	}
}

func (f *fleet) checkClaims(t *rapid.T, d *evict.Demand, choice *evict.Choice) {
	room := map[view.WorkerRef]work.Resources{}
	for w := range f.Workers {
		room[view.WorkerRef(w)] = f.Workers[w].Available
	}
	for _, ref := range stopped(choice) {
		w := f.Runs[ref].Worker
		room[w] = room[w].Add(f.Runs[ref].Need)
	}
	tasks := 0
	for _, claim := range choice.Claims {
		tasks += claim.Tasks
		for range claim.Tasks {
			if !room[claim.Worker].Fits(f.Stages[0].Need) {
				t.Fatalf("worker %d has no room for its claim", claim.Worker)
			}
			room[claim.Worker] = room[claim.Worker].Sub(f.Stages[0].Need)
		}
	}
	if tasks != d.Tasks {
		t.Fatalf("%d of %d tasks have room", tasks, d.Tasks)
	}
}

// cheapestFirst returns the cost of the choice that stops, on the cheapest workers, the cheapest runs for one more task each, and whether
// that makes room.
func (f *fleet) cheapestFirst(d *evict.Demand) (float64, bool) {
	missing := d.Tasks
	var costs []float64
	for w := range f.Workers {
		free := f.Workers[w].Available
		for ; missing > 0 && free.Fits(f.Stages[0].Need); missing-- {
			free = free.Sub(f.Stages[0].Need)
		}
		if cost, ok := f.costOfOne(f.Workers[w].Runs, free); ok {
			costs = append(costs, cost)
		}
	}
	if missing > len(costs) {
		return 0, false
	}
	sort.Float64s(costs)
	total := 0.0
	for _, cost := range costs[:missing] {
		total += cost
	}
	return total, true
}

// costOfOne returns the cost of stopping the cheapest of some runs for one task on their worker. A gang costs as much as its members.
func (f *fleet) costOfOne(runs []view.RunRef, free work.Resources) (float64, bool) {
	cost := func(r *view.Run) float64 {
		s := &f.Stages[r.Stage]
		cost := s.Need.Cores() * (r.Lost.Seconds() + 0.5)
		if r.Gang != 0 {
			cost *= float64(s.Tasks)
		}
		if s.Hopeless {
			cost /= 4
		}
		return cost
	}
	runs = slices.DeleteFunc(slices.Clone(runs), func(ref view.RunRef) bool { return f.Runs[ref].Protected })
	slices.SortFunc(runs, func(a, b view.RunRef) int { return cmp.Compare(cost(&f.Runs[a]), cost(&f.Runs[b])) })
	total := 0.0
	gangs := map[view.GangRef]bool{}
	for _, ref := range runs {
		if free.Fits(f.Stages[0].Need) {
			break
		}
		r := &f.Runs[ref]
		free = free.Add(r.Need)
		if r.Gang == 0 || !gangs[r.Gang] {
			total += cost(r)
		}
		gangs[r.Gang] = true
	}
	return total, free.Fits(f.Stages[0].Need)
}
