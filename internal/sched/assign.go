package sched

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotgw.example/peridotgw/model"
)

// maxOwned is how many data centres an instance owns where there are enough instances, so that the loss of one instance
// stops decisions in few data centres.
const maxOwned = 2

// Candidates orders instances by how well they suit as owner of a data centre: instances in the same data centre first,
// and by rendezvous hashing within each part, so that a change of the members moves few data centres.
func Candidates(dc model.DataCentreID, peers []Peer) []Peer {
	ordered := slices.Clone(peers)
	away := func(p Peer) int {
		if p.DataCentre == dc {
			return 0
		}
		return 1
	}
	score := func(p Peer) uint64 { return xxhash.Sum64String(string(p.Instance) + "\x00" + string(dc)) }
	slices.SortFunc(ordered, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(away(a), away(b)), cmp.Compare(score(b), score(a)), cmp.Compare(a.Instance, b.Instance),
		)
	})
	return ordered
}

// Assign gives each data centre an owner out of the live instances; no instance gets many.
func Assign(dcs []model.DataCentreID, peers []Peer) map[model.DataCentreID]model.InstanceID {
	if len(peers) == 0 {
		return nil
	}
	limit := max(maxOwned, (len(dcs)+len(peers)-1)/len(peers))
	owned := map[model.InstanceID]int{}
	assigned := make(map[model.DataCentreID]model.InstanceID, len(dcs))
	sorted := slices.Sorted(slices.Values(dcs))
	for _, dc := range sorted {
		for _, peer := range Candidates(dc, peers) {
			if owned[peer.Instance] < limit {
				owned[peer.Instance]++
				assigned[dc] = peer.Instance
				break
			}
		}
	}
	return assigned
}
