package evict

import (
	"sort"

	"peridotgw.example/peridotgw/model"
)

// PinCandidate is a worker that may get tasks which can't be stopped in time for work within a guarantee.
type PinCandidate struct {
	Accelerators model.Accelerators
	Pinned       bool // such tasks run there already
	Places       int  // how many of the tasks fit there now
}

// Pinnable returns the indexes of the workers that may get such tasks: those that have some already, and, of the others, those with the most
// places first, as far as their accelerators are spare. One small task keeps every wide one from a worker, so that a worker counts whole.
// Where these hold fewer tasks than least, further workers come first that are not spare.
func Pinnable(workers []PinCandidate, spare model.Accelerators, least int) []int {
	order := make([]int, len(workers))
	for i := range workers {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := &workers[order[i]], &workers[order[j]]
		if a.Pinned != b.Pinned {
			return a.Pinned
		}
		return a.Places > b.Places
	})
	var pinnable []int
	places := 0
	for _, index := range order {
		w := &workers[index]
		switch {
		case w.Pinned, w.Accelerators == 0:
		case w.Accelerators <= spare, places < least && w.Places > 0:
			spare -= w.Accelerators
		default:
			continue
		}
		pinnable = append(pinnable, index)
		places += w.Places
	}
	return pinnable
}
