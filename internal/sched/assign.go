package sched

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotgw.example/peridotgw/model"
)

// maxOwnedDataCentres limits how many data centres an instance owns when there are enough instances, so that the loss of
// one instance interrupts scheduling in few data centres.
const maxOwnedDataCentres = 2

// OwnerCandidates returns the instances in the order of preference for the ownership of a data centre: instances in the same
// data centre first, and each group by rendezvous hashing, so that a membership change moves few data centres.
func OwnerCandidates(dc model.DataCentreID, peers []Peer) []Peer {
	ordered := slices.Clone(peers)
	outside := func(p Peer) int {
		if p.DataCentre == dc {
			return 0
		}
		return 1
	}
	score := func(p Peer) uint64 { return xxhash.Sum64String(string(p.Instance) + "\x00" + string(dc)) }
	slices.SortFunc(ordered, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(outside(a), outside(b)), cmp.Compare(score(b), score(a)), cmp.Compare(a.Instance, b.Instance),
		)
	})
	return ordered
}

// AssignOwners maps each data centre to an owner among the live instances. The number per instance is limited to
// maxOwnedDataCentres, or to an even share when there are few instances.
func AssignOwners(dcs []model.DataCentreID, peers []Peer) map[model.DataCentreID]model.InstanceID {
	if len(peers) == 0 {
		return nil
	}
	limit := max(maxOwnedDataCentres, (len(dcs)+len(peers)-1)/len(peers))
	ownedCount := map[model.InstanceID]int{}
	assigned := make(map[model.DataCentreID]model.InstanceID, len(dcs))
	sorted := slices.Sorted(slices.Values(dcs))
	for _, dc := range sorted {
		for _, peer := range OwnerCandidates(dc, peers) {
			if ownedCount[peer.Instance] < limit {
				ownedCount[peer.Instance]++
				assigned[dc] = peer.Instance
				break
			}
		}
	}
	return assigned
}
