package evict_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/evict"
	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// lasting adds a stage of a tenant without a guarantee whose tasks last.
func (f *fleet) lasting(need work.Resources, tasks, maxStops int) view.StageRef {
	s := f.stage(view.Stage{Need: need, Tasks: tasks})
	f.Stages[s].Lasts, f.Stages[s].MaxStops, f.Stages[s].Estimate = true, maxStops, 0
	return s
}

// Guards against a guarantee that tasks that last shut out, against more stops of them than may be away, and against tasks that last that
// count as ending by themselves since nothing is known of their end.
func TestTasksThatLastMakeWayForGuarantees(t *testing.T) {
	for _, c := range []struct {
		name   string
		load   func(f *fleet) *evict.Demand
		stops  int
		reason view.Reason
	}{
		{"within a guarantee", func(f *fleet) *evict.Demand {
			f.fill(4, f.lasting(need(8), 4, 0), time.Second, nil)
			return f.demand(16)
		}, 2, ""},
		{"beyond a guarantee", func(f *fleet) *evict.Demand {
			f.Stages[0].Guaranteed = false
			f.fill(4, f.lasting(need(8), 4, 0), time.Second, nil)
			return f.demand(1)
		}, 0, evict.ReasonNoRoom},
		{"as many as may be away", func(f *fleet) *evict.Demand {
			f.fill(4, f.lasting(need(8), 4, 2), time.Second, nil)
			return f.demand(16)
		}, 2, ""},
		{"more than may be away", func(f *fleet) *evict.Demand {
			f.fill(4, f.lasting(need(8), 4, 2), time.Second, nil)
			return f.demand(17)
		}, 0, evict.ReasonNoRoom},
		{"several on one worker", func(f *fleet) *evict.Demand {
			s := f.lasting(need(4), 2, 1)
			f.run(0, s, time.Second, nil)
			f.run(0, s, time.Second, nil)
			f.fill(4, f.lasting(need(4), 4, 0), time.Second, nil)
			d := f.demandOn(0, 1)
			f.Stages[0].Need = need(8)
			return d
		}, 0, evict.ReasonNoRoom},
		{"other work first, whatever it loses", func(f *fleet) *evict.Demand {
			f.fill(3, f.lasting(need(8), 3, 0), time.Second, nil)
			f.run(3, f.stage(view.Stage{Need: need(8), Tasks: 1}), 50*time.Second, nil)
			return f.demand(9)
		}, 2, ""},
		{"a gang counts with all its members", func(f *fleet) *evict.Demand {
			s := f.lasting(need(8), 4, 3)
			f.fill(2, s, time.Second, func(r *view.Run) { r.Gang = 1 }) // The others are on workers that the snapshot does not have.
			return f.demandOn(0, 1)
		}, 0, evict.ReasonNoRoom},
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
			g.Expect(choice.Stops).To(HaveLen(c.stops))
			g.Expect(choice.Wait).To(BeZero(), "they do not end by themselves")
		})
	}
}

// Guards against a guarantee that a tenant's own tasks that last keep from starting, where they use up its cap.
func TestTasksThatLastMakeWayWithinTheirTenantsCap(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, 8)
	s := f.lasting(need(2), 4, 2)
	f.Stages[s].Tenant = "urgent"
	f.fill(4, s, time.Second, nil)
	chooser := &evict.Chooser{}
	choice, refusal := chooser.WithinCap(&f.Snapshot, 0, 1, work.Resources{GPU: 4})
	g.Expect(refusal).To(BeNil())
	g.Expect(choice.Stops).To(HaveLen(2))
	_, refusal = chooser.WithinCap(&f.Snapshot, 0, 1, work.Resources{GPU: 5})
	g.Expect(refusal).To(Equal(&view.Refusal{Reason: evict.ReasonNoRoom}))
}

// Guards against tasks that can't be stopped in time which spread over the room of a guarantee, and against ones that wait for no reason.
func TestPinnableLeavesWholeWorkers(t *testing.T) {
	worker := func(accelerators model.Accelerators, pinned bool, places int) evict.PinCandidate {
		return evict.PinCandidate{Accelerators: accelerators, Pinned: pinned, Places: places}
	}
	for _, c := range []struct {
		name    string
		workers []evict.PinCandidate
		spare   model.Accelerators
		least   int
		want    []int
	}{
		{"all are spare", []evict.PinCandidate{worker(8, false, 1), worker(8, false, 1)}, 16, 0, []int{0, 1}},
		{"none is spare", []evict.PinCandidate{worker(8, false, 1), worker(8, false, 1)}, 7, 0, nil},
		{"the roomiest first", []evict.PinCandidate{worker(8, false, 1), worker(8, false, 4)}, 8, 0, []int{1}},
		{"pinned already", []evict.PinCandidate{worker(8, false, 8), worker(8, true, 1)}, 0, 0, []int{1}},
		{"a small one is spare", []evict.PinCandidate{worker(8, false, 8), worker(4, false, 4)}, 4, 0, []int{1}},
		{"no accelerators", []evict.PinCandidate{worker(8, false, 8), worker(0, false, 4)}, 0, 0, []int{1}},
		{"as many as are needed", []evict.PinCandidate{worker(8, false, 1), worker(8, false, 2), worker(8, false, 2)}, 0, 3, []int{1, 2}},
		{"pinned ones suffice", []evict.PinCandidate{worker(8, true, 2), worker(8, false, 2)}, 0, 2, []int{0}},
		{"more than there is", []evict.PinCandidate{worker(8, false, 0), worker(8, false, 1)}, -8, 9, []int{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(evict.Pinnable(c.workers, c.spare, c.least)).To(Equal(c.want))
		})
	}
}
