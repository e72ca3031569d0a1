package evict

import (
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	// HeadroomWindow is how long accelerators that urgent work has used are kept free for more of it: other work that started there would
	// soon be stopped.
	HeadroomWindow = 6 * time.Second
	headroomSlots  = 12 // parts of HeadroomWindow
)

// Usage holds the peak of the accelerators that urgent runs used in a pool in each part of the last HeadroomWindow. The zero value is
// ready for use.
type Usage struct {
	peaks [headroomSlots]model.Accelerators
	slot  int64
}

// Record adds a reading, taken at a time since any fixed moment, and returns the peak of the window.
func (u *Usage) Record(at time.Duration, used model.Accelerators) model.Accelerators {
	slot := int64(at / (HeadroomWindow / headroomSlots))
	for s := max(u.slot+1, slot-headroomSlots+1); s <= slot; s++ {
		u.peaks[s%headroomSlots] = 0
	}
	u.slot = slot
	u.peaks[slot%headroomSlots] = max(u.peaks[slot%headroomSlots], used)
	peak := model.Accelerators(0)
	for _, p := range u.peaks {
		peak = max(peak, p)
	}
	return peak
}

// IdleWorker is a worker on which nothing runs that has accelerators.
type IdleWorker struct {
	Rack         work.Label
	Accelerators model.Accelerators
}

// KeepIdle returns the indexes of the idle workers that are kept for urgent work, up to a number of accelerators: those of the racks with
// the most idle accelerators, since a gang that fits into one rack takes several times as long in two, and whole workers, since tasks that
// use one do not fit into as many accelerators spread over several.
func KeepIdle(idle []IdleWorker, accelerators model.Accelerators) []int {
	inRack := map[work.Label]model.Accelerators{}
	for _, w := range idle {
		inRack[w.Rack] += w.Accelerators
	}
	order := make([]int, len(idle))
	for i := range idle {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := idle[order[i]].Rack, idle[order[j]].Rack
		if inRack[a] != inRack[b] {
			return inRack[a] > inRack[b]
		}
		return a < b
	})
	kept := 0
	for kept < len(order) && accelerators > 0 {
		accelerators -= idle[order[kept]].Accelerators
		kept++
	}
	return order[:kept]
}
