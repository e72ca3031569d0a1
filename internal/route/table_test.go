package route_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/fakevm"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
)

var _ = Describe("slot shares", func() {
	It("gives each slot to exactly one of nine instances; guards against more than 8 requests in flight on an endpoint", func() {
		live := memberIDs(9)
		total := map[model.EndpointID]int{}
		for _, self := range live {
			table := newTable(self, func() []model.InstanceID { return live })
			table.Update(endpointVMs(50, "library"))
			for id, n := range acquireAll(table) {
				total[id] += n
			}
		}
		Expect(total).To(HaveLen(50))
		for id, n := range total {
			Expect(n).To(Equal(8), string(id))
		}
	})

	It("keeps each instance's slots when another one leaves; guards against reassigning all slots on each change", func() {
		before, after := memberIDs(4), memberIDs(3)
		for _, self := range after {
			prior, next := newTable(self, func() []model.InstanceID { return before }), newTable(self, func() []model.InstanceID { return after })
			prior.Update(endpointVMs(50, "library"))
			next.Update(endpointVMs(50, "library"))
			kept := acquireAll(next)
			for id, n := range acquireAll(prior) {
				Expect(kept[id]).To(BeNumerically(">=", n), string(id))
			}
		}
	})

	It("applies a change of the live members; guards against slots that no instance uses", func() {
		live := memberIDs(4)
		table := newTable("i-0", func() []model.InstanceID { return live })
		table.Update(endpointVMs(50, "library"))
		before := table.Slots(nil)
		live = memberIDs(1)
		table.Refresh()
		Expect(table.Slots(nil)).To(BeNumerically(">", before))
		total := 0
		for _, n := range acquireAll(table) {
			total += n
		}
		Expect(total).To(Equal(50 * 8))
	})

	It("keeps its slots while it drains; guards against a draining instance that cannot serve late requests", func() {
		live := memberIDs(3)
		table := newTable("i-0", func() []model.InstanceID { return live })
		table.Update(endpointVMs(10, "library"))
		before := table.Slots(nil)
		live = live[1:]
		table.Refresh()
		Expect(before).To(BeNumerically(">", 0))
		Expect(table.Slots(nil)).To(Equal(before))
	})

	It("has no slots when it is in no member list; guards against an instance using others' slots before it has joined", func() {
		table := newTable("stranger", func() []model.InstanceID { return memberIDs(3) })
		table.Update(endpointVMs(10, "library"))
		Expect(table.Acquire(route.SlotRequest{})).To(BeNil())
	})

	It("borrows only by reports younger than 1 s that show free slots; guards against overloading an endpoint", func() {
		inVirtualTime(func() {
			table := newTable("i-0", func() []model.InstanceID { return memberIDs(4) })
			table.Update(endpointVMs(1, "library"))
			slot := table.Acquire(route.SlotRequest{})
			if slot == nil {
				Skip("this instance has no slot of the endpoint")
			}
			slot.Done(route.ResultAnswered, route.Report{Present: true, Slots: 8, Busy: 1})
			own := 0
			for {
				slot = table.Acquire(route.SlotRequest{})
				Expect(slot).NotTo(BeNil())
				if slot.Borrowed {
					break
				}
				own++
			}
			time.Sleep(1100 * time.Millisecond)
			Expect(table.Acquire(route.SlotRequest{})).To(BeNil(), "the report is older than 1 s")
			Expect(own).To(BeNumerically("<", 8))
		})
	})
})

var _ = Describe("selection", func() {
	It("prefers its own data centre and uses others when it is full; guards against needless latency", func() {
		table := newTable("a", nil)
		table.Update(append(endpointVMs(1, "library"), endpointVMs(1, "fairground")...))
		taken := map[model.DataCentreID]int{}
		for range 8 {
			taken[table.Acquire(route.SlotRequest{}).DataCentre]++
		}
		Expect(taken).To(Equal(map[model.DataCentreID]int{"library": 8}))
		Expect(table.Acquire(route.SlotRequest{}).DataCentre).To(BeEquivalentTo("fairground"))
		Expect(table.Acquire(route.SlotRequest{DataCentres: []model.DataCentreID{"library"}})).To(BeNil())
	})

	It("excludes data centres out of service at once; guards against requests to them (P3)", func() {
		set := model.NewSet()
		set.Revision, set.DataCentres["library"] = 1, model.DataCentre{Service: model.ServiceIn}
		table := newTable("a", nil)
		table.Current = func() *model.Set { return set }
		table.Update(endpointVMs(2, "library"))
		Expect(table.UsableEndpoints(nil)).To(Equal(2))
		set = set.Clone()
		set.Revision, set.DataCentres["library"] = 2, model.DataCentre{Service: model.ServiceOut}
		table.Refresh()
		Expect(table.UsableEndpoints(nil)).To(Equal(0))
		Expect(table.Acquire(route.SlotRequest{})).To(BeNil())
	})

	It("prefers endpoints that answer fast; guards against a slow endpoint that determines the tail latency", func() {
		inVirtualTime(func() {
			table := newTable("a", nil)
			table.Update(endpointVMs(4, "library"))
			taken := map[model.EndpointID]int{}
			for range 400 {
				slot := table.Acquire(route.SlotRequest{})
				taken[slot.Endpoint]++
				service := 10 * time.Millisecond
				if slot.Endpoint == "library-0" {
					service = 500 * time.Millisecond
				}
				time.Sleep(service)
				slot.Done(route.ResultAnswered, route.Report{Present: true, Slots: 8})
			}
			Expect(taken["library-0"]).To(BeNumerically("<", 20))
		})
	})

	It("applies each selection rule of the benchmarks; guards against a rule that leaves endpoints idle", func() {
		for name, rule := range map[string]func([]route.Candidate) int{
			"random": route.Random, "round robin": route.WeightedRoundRobin(), "least": route.LeastOutstanding,
		} {
			table := newTable("a", nil)
			table.SelectEndpoint = rule
			table.Update(endpointVMs(3, "library"))
			Expect(acquireAll(table)).To(HaveLen(3), name)
		}
	})

	It("serves a waiting retry first; guards against retries that starve behind the queue", func() {
		table := newTable("a", nil)
		table.Update(endpointVMs(1, "library"))
		var held *route.Slot
		for range 8 {
			held = table.Acquire(route.SlotRequest{})
		}
		got := make(chan *route.Slot)
		go func() { got <- acquireWait(table) }()
		Eventually(func() *route.Slot {
			held.Done(route.ResultAnswered, route.Report{})
			select {
			case slot := <-got:
				return slot
			default:
				return nil
			}
		}).ShouldNot(BeNil())
	})
})

// lateSends counts sends to an endpoint later than 2 s after it started to leave, while the VM list lags by a minute.
func lateSends(excludeLeaving func() bool) (late int) {
	inVirtualTime(func() {
		list := fakevm.New(endpointVMs(2, "library")...)
		list.SetFaults(fakevm.Faults{LagMs: 60_000})
		poller := &vmlist.Poller{PollInterval: time.Second, Do: func(r *http.Request) (*http.Response, error) {
			recorder := httptest.NewRecorder()
			list.ServeHTTP(recorder, r)
			return recorder.Result(), nil
		}}
		table := newTable("a", nil)
		table.ExcludeLeaving = excludeLeaving
		poller.Subscribe(table.Update)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- poller.Run(ctx) }()
		time.Sleep(time.Millisecond)
		leavesAt := time.Now().Add(3 * time.Second)
		for range 1000 {
			slot := table.Acquire(route.SlotRequest{})
			isLeaving := slot.Endpoint == "library-0" && time.Now().After(leavesAt)
			if isLeaving && time.Since(leavesAt) > 2*time.Second {
				late++
			}
			time.Sleep(10 * time.Millisecond)
			slot.Done(route.ResultAnswered, route.Report{Present: true, Slots: 8, Leaving: isLeaving, Incarnation: "1"})
		}
		cancel()
		<-ended
	})
	return late
}

var _ = Describe("leaving endpoints", func() {
	It("P7: get no work after the bound though the VM list says live; guards against a list that lags", func() {
		Expect(lateSends(nil)).To(Equal(0))
	})

	// Guards against a check that cannot detect late work.
	It("P7: the check reports work when the marks are not heeded", func() {
		Expect(lateSends(func() bool { return false })).To(BeNumerically(">", 0))
	})

	// Guards against a source whose marks do not exclude the endpoint.
	DescribeTable("are marked by each source", func(source string) {
		table := newTable("a", nil)
		table.Update(endpointVMs(2, "library"))
		table.SetLeaving([]model.EndpointID{"library-1", "unknown"}, source)
		Expect(table.Leaving()).To(Equal([]model.EndpointID{"library-1"}))
		Expect(acquireAll(table)).To(Equal(map[model.EndpointID]int{"library-0": 8}))
	}, Entry("operator", route.SourceOperator), Entry("peer", route.SourcePeer))

	It("are marked when an operator names them before the VM list does; guards against a lost mark", func() {
		table := newTable("a", nil)
		table.SetLeaving([]model.EndpointID{"library-0"}, route.SourceOperator)
		table.Update(endpointVMs(1, "library"))
		Expect(table.UsableEndpoints(nil)).To(Equal(0))
	})

	It("return with a new incarnation only, and stale lists of the old one change nothing; guards against flapping", func() {
		inVirtualTime(func() {
			table := newTable("a", nil)
			old := endpointVMs(1, "library")
			table.Update(old)
			leaving := endpointVMs(1, "library")
			leaving[0].State = vmlist.StateLeaving
			table.Update(leaving)
			table.Update(old)
			Expect(table.UsableEndpoints(nil)).To(Equal(0), "the list went back to live")
			restarted := endpointVMs(1, "library")
			restarted[0].Incarnation = "2"
			table.Update(restarted)
			Expect(table.UsableEndpoints(nil)).To(Equal(1))
			table.Update(leaving)
			Expect(table.UsableEndpoints(nil)).To(Equal(1), "the list still shows the replaced process")
			table.SetLeaving([]model.EndpointID{"library-0"}, route.SourcePeer)
			Expect(table.UsableEndpoints(nil)).To(Equal(1), "peers may not have noticed the restart yet")
			time.Sleep(31 * time.Second)
			table.SetLeaving([]model.EndpointID{"library-0"}, route.SourcePeer)
			Expect(table.UsableEndpoints(nil)).To(Equal(0))
		})
	})
})

var _ = Describe("health", func() {
	It("ejects an endpoint that fails all requests until a probe succeeds; guards against sending to a broken endpoint", func() {
		inVirtualTime(func() {
			endpoint, down := fakeep.New(8), atomic.Bool{}
			table := newTable("a", nil)
			table.Do = func(r *http.Request) (*http.Response, error) {
				if down.Load() {
					return nil, errors.New("no answer")
				}
				recorder := httptest.NewRecorder()
				endpoint.ServeHTTP(recorder, r)
				return recorder.Result(), nil
			}
			table.Update(endpointVMs(1, "library"))
			down.Store(true)
			for range 5 {
				table.Acquire(route.SlotRequest{}).Done(route.ResultTransportError, route.Report{})
			}
			Expect(table.UsableEndpoints(nil)).To(Equal(0))
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- table.Run(ctx) }()
			time.Sleep(5 * time.Second)
			Expect(table.UsableEndpoints(nil)).To(Equal(0), "its probe fails")
			down.Store(false)
			time.Sleep(11 * time.Second)
			Expect(table.UsableEndpoints(nil)).To(Equal(1))
			cancel()
			<-ended
		})
	})

	It("keeps at least half of the endpoints when all answer errors; guards against ejection by one customer's bad requests", func() {
		table := newTable("a", nil)
		table.Update(endpointVMs(4, "library"))
		for range 100 {
			table.Acquire(route.SlotRequest{}).Done(route.ResultErrored, route.Report{})
		}
		Expect(table.UsableEndpoints(nil)).To(Equal(2))
	})

	It("uses a new endpoint only after a probe; guards against sending to a VM that is not ready yet", func() {
		table := newTable("a", nil)
		table.SkipProbe = false
		table.Update(endpointVMs(1, "library"))
		Expect(table.UsableEndpoints(nil)).To(Equal(0))
	})
})
