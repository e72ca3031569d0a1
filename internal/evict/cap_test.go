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

// Answers urgent work of a tenant whose own background work uses all of its cap: the least of that work makes way, on whatever workers, and
// nobody else's.
func TestWithinCapStopsTheTenantsOwnWork(t *testing.T) {
	gpu := func(n int) work.Resources { return work.Resources{GPU: 1}.Times(n) }
	stage := func(tenant string, priority, tasks int, guaranteed bool) view.Stage {
		return view.Stage{
			Tenant: model.CustomerID(tenant), Priority: priority, Tasks: tasks, Need: gpu(1), Estimate: 10 * time.Second, Slack: time.Minute, Guaranteed: guaranteed,
		}
	}
	for name, row := range map[string]struct {
		guaranteed bool
		excess     work.Resources
		want       []view.RunRef
		refused    view.Reason
	}{
		"one run":              {true, gpu(1), []view.RunRef{2}, ""},
		"gang where it covers": {true, gpu(3), []view.RunRef{0, 1, 2}, ""},
		"more than there is":   {true, gpu(9), nil, evict.ReasonNoRoom},
		"dearer than the work": {false, gpu(3), nil, evict.ReasonTooDear},
		"nothing to free":      {true, work.Resources{}, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := &view.Snapshot{
				Workers: []view.Worker{{Capacity: gpu(8), Runs: []view.RunRef{0, 2}}, {Capacity: gpu(8), Runs: []view.RunRef{1, 3}}},
				Stages:  []view.Stage{stage("a", 0, 1, row.guaranteed), stage("a", 2, 2, false), stage("a", 2, 1, false), stage("b", 2, 1, false)},
				Runs: []view.Run{
					{Worker: 0, Stage: 1, Gang: 1, Need: gpu(1), Left: time.Minute, Lost: 30 * time.Second},
					{Worker: 1, Stage: 1, Gang: 1, Need: gpu(1), Left: time.Minute, Lost: 30 * time.Second},
					{Worker: 0, Stage: 2, Need: gpu(1), Left: time.Minute, Lost: 5 * time.Second},
					{Worker: 1, Stage: 3, Need: gpu(1), Left: time.Minute, Lost: time.Second},
				},
			}
			chooser := evict.Chooser{StopTime: 200 * time.Millisecond}
			choice, refusal := chooser.WithinCap(s, 0, 1, row.excess)
			if row.refused != "" {
				g.Expect(refusal).NotTo(BeNil())
				g.Expect(refusal.Reason).To(Equal(row.refused))
				return
			}
			g.Expect(refusal).To(BeNil())
			var stopped []view.RunRef
			for _, stop := range choice.Stops {
				stopped = append(stopped, stop.Run)
			}
			g.Expect(stopped).To(ConsistOf(toAny(row.want)...))
		})
	}
}

func toAny(refs []view.RunRef) []any {
	list := make([]any, len(refs))
	for i, ref := range refs {
		list[i] = ref
	}
	return list
}
