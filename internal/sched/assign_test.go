package sched_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/sched"
	"peridotgw.example/peridotgw/model"
)

var _ = Describe("AssignOwners", func() {
	var dcs []model.DataCentreID
	for i := range 11 {
		dcs = append(dcs, model.DataCentreID(fmt.Sprint("dc", i)))
	}
	peers := func(n int) []sched.Peer {
		var all []sched.Peer
		for i := range n {
			all = append(all, sched.Peer{Instance: model.InstanceID(fmt.Sprint("i", i)), DataCentre: dcs[i%3]})
		}
		return all
	}

	// Guards against an instance that owns most data centres, owners in other data centres, and membership changes that move
	// more data centres than needed.
	It("spreads data centres, prefers instances inside them, and moves few when one leaves", func() {
		before := sched.AssignOwners(dcs, peers(9))
		Expect(before).To(HaveLen(11))
		owned := map[model.InstanceID]int{}
		for _, id := range before {
			owned[id]++
		}
		for id, count := range owned {
			Expect(count).To(BeNumerically("<=", 2), "%s", id)
		}
		for i := range 3 {
			Expect(before[dcs[i]]).To(BeElementOf(
				model.InstanceID(fmt.Sprint("i", i)), model.InstanceID(fmt.Sprint("i", i+3)), model.InstanceID(fmt.Sprint("i", i+6))))
		}
		after, moved := sched.AssignOwners(dcs, peers(8)), 0
		for dc, id := range before {
			if after[dc] != id {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<=", 5))
		Expect(sched.AssignOwners(dcs, nil)).To(BeEmpty())
	})
})
