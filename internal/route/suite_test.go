package route_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
)

var suiteT *testing.T

func TestRoute(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

// inVirtualTime runs a spec in virtual time.
func inVirtualTime(spec func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		spec()
	})
}

// endpointVMs returns n live endpoints of a data centre with 8 slots each.
func endpointVMs(n int, dc model.DataCentreID) []vmlist.VM {
	vms := make([]vmlist.VM, 0, n)
	for i := range n {
		name := fmt.Sprintf("%s-%d", dc, i)
		vms = append(vms, vmlist.VM{
			Name: name, Kind: vmlist.KindEndpoint, Address: name + ":80", DataCentre: dc, Slots: 8,
			State: vmlist.StateLive, Incarnation: "1",
		})
	}
	return vms
}

func memberIDs(n int) []model.InstanceID {
	ids := make([]model.InstanceID, 0, n)
	for i := range n {
		ids = append(ids, model.InstanceID(fmt.Sprintf("i-%d", i)))
	}
	return ids
}

func newTable(self model.InstanceID, live func() []model.InstanceID) *route.Table {
	return &route.Table{Self: self, DataCentre: "library", SkipProbe: true, Members: live}
}

// acquireAll acquires slots until none is free and counts them by endpoint.
func acquireAll(t *route.Table) map[model.EndpointID]int {
	taken := map[model.EndpointID]int{}
	for slot := t.Acquire(route.SlotRequest{}); slot != nil; slot = t.Acquire(route.SlotRequest{}) {
		taken[slot.Endpoint]++
	}
	return taken
}

func acquireWait(t *route.Table) *route.Slot {
	return t.AcquireWait(context.Background(), route.SlotRequest{})
}
