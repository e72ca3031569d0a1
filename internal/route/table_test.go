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
	It("gives each slot to exactly one of nine instances; guards against more than 8 requests on an endpoint", func() {
		live := members(9)
		total := map[model.EndpointID]int{}
		for _, self := range live {
			table := newTable(self, func() []model.InstanceID { return live })
			table.Update(endpoints(50, "library"))
			for id, n := range drainSlots(table) {
				total[id] += n
			}
		}
		Expect(total).To(HaveLen(50))
		for id, n := range total {
			Expect(n).To(Equal(8), string(id))
		}
	})

	It("keeps each instance's slots when another one leaves; guards against dealing all slots anew on each change", func() {
		before, after := members(4), members(3)
		for _, self := range after {
			old, now := newTable(self, func() []model.InstanceID { return before }), newTable(self, func() []model.InstanceID { return after })
			old.Update(endpoints(50, "library"))
			now.Update(endpoints(50, "library"))
			kept := drainSlots(now)
			for id, n := range drainSlots(old) {
				Expect(kept[id]).To(BeNumerically(">=", n), string(id))
			}
		}
	})

	It("takes over a change of the live members; guards against slots that nobody uses", func() {
		live := members(4)
		table := newTable("i-0", func() []model.InstanceID { return live })
		table.Update(endpoints(50, "library"))
		before := table.Slots(nil)
		live = members(1)
		table.Refresh()
		Expect(table.Slots(nil)).To(BeNumerically(">", before))
		total := 0
		for _, n := range drainSlots(table) {
			total += n
		}
		Expect(total).To(Equal(50 * 8))
	})

	It("keeps its slots while it drains; guards against requests that a draining instance cannot serve any more", func() {
		live := members(3)
		table := newTable("i-0", func() []model.InstanceID { return live })
		table.Update(endpoints(10, "library"))
		before := table.Slots(nil)
		live = live[1:]
		table.Refresh()
		Expect(before).To(BeNumerically(">", 0))
		Expect(table.Slots(nil)).To(Equal(before))
	})

	It("has no slots when it is in no member list; guards against an instance that has not joined using others' slots", func() {
		table := newTable("stranger", func() []model.InstanceID { return members(3) })
		table.Update(endpoints(10, "library"))
		Expect(table.Acquire(route.Ask{})).To(BeNil())
	})

	It("borrows only by reports younger than 1 s that show a free slot; guards against guessing others' slots", func() {
		virtual(func() {
			table := newTable("i-0", func() []model.InstanceID { return members(4) })
			table.Update(endpoints(1, "library"))
			pick := table.Acquire(route.Ask{})
			if pick == nil {
				Skip("this instance has no slot of the endpoint")
			}
			pick.Done(route.VerdictAnswered, route.Report{Present: true, Slots: 8, Busy: 1})
			own := 0
			for {
				pick = table.Acquire(route.Ask{})
				Expect(pick).NotTo(BeNil())
				if pick.Borrowed {
					break
				}
				own++
			}
			time.Sleep(1100 * time.Millisecond)
			Expect(table.Acquire(route.Ask{})).To(BeNil(), "the report is too old")
			Expect(own).To(BeNumerically("<", 8))
		})
	})
})

var _ = Describe("selection", func() {
	It("takes the own data centre first and others when it is full; guards against needless distance", func() {
		table := newTable("a", nil)
		table.Update(append(endpoints(1, "library"), endpoints(1, "fairground")...))
		taken := map[model.DataCentreID]int{}
		for range 8 {
			taken[table.Acquire(route.Ask{}).DataCentre]++
		}
		Expect(taken).To(Equal(map[model.DataCentreID]int{"library": 8}))
		Expect(table.Acquire(route.Ask{}).DataCentre).To(BeEquivalentTo("fairground"))
		Expect(table.Acquire(route.Ask{DataCentres: []model.DataCentreID{"library"}})).To(BeNil())
	})

	It("leaves data centres out of service at once; guards against P3 for requests", func() {
		set := model.NewSet()
		set.Revision, set.DataCentres["library"] = 1, model.DataCentre{Service: model.ServiceIn}
		table := newTable("a", nil)
		table.Current = func() *model.Set { return set }
		table.Update(endpoints(2, "library"))
		Expect(table.Usable(nil)).To(Equal(2))
		set = set.Clone()
		set.Revision, set.DataCentres["library"] = 2, model.DataCentre{Service: model.ServiceOut}
		table.Refresh()
		Expect(table.Usable(nil)).To(Equal(0))
		Expect(table.Acquire(route.Ask{})).To(BeNil())
	})

	It("prefers endpoints that answer fast; guards against a slow endpoint that sets the tail", func() {
		virtual(func() {
			table := newTable("a", nil)
			table.Update(endpoints(4, "library"))
			taken := map[model.EndpointID]int{}
			for range 400 {
				pick := table.Acquire(route.Ask{})
				taken[pick.Endpoint]++
				service := 10 * time.Millisecond
				if pick.Endpoint == "library-0" {
					service = 500 * time.Millisecond
				}
				time.Sleep(service)
				pick.Done(route.VerdictAnswered, route.Report{Present: true, Slots: 8})
			}
			Expect(taken["library-0"]).To(BeNumerically("<", 20))
		})
	})

	It("uses each rule that a benchmark can set", func() {
		for name, rule := range map[string]func([]route.Candidate) int{
			"random": route.Random, "round robin": route.WeightedRoundRobin(), "least": route.LeastOutstanding,
		} {
			table := newTable("a", nil)
			table.Choose = rule
			table.Update(endpoints(3, "library"))
			Expect(drainSlots(table)).To(HaveLen(3), name)
		}
	})

	It("serves a waiting retry before others; guards against retries that starve behind the queue", func() {
		table := newTable("a", nil)
		table.Update(endpoints(1, "library"))
		var held *route.Pick
		for range 8 {
			held = table.Acquire(route.Ask{})
		}
		got := make(chan *route.Pick)
		go func() { got <- acquire(table) }()
		Eventually(func() *route.Pick {
			held.Done(route.VerdictAnswered, route.Report{})
			select {
			case pick := <-got:
				return pick
			default:
				return nil
			}
		}).ShouldNot(BeNil())
	})
})

// lateWork counts sends to a leaving endpoint after the bound of 2 s.
func lateWork(keep func() bool) (late int) {
	virtual(func() {
		list := fakevm.New(endpoints(2, "library")...)
		list.SetFaults(fakevm.Faults{LagMs: 60_000})
		poller := &vmlist.Poller{Every: time.Second, Do: func(r *http.Request) (*http.Response, error) {
			recorder := httptest.NewRecorder()
			list.ServeHTTP(recorder, r)
			return recorder.Result(), nil
		}}
		table := newTable("a", nil)
		table.KeepLeaving = keep
		poller.Subscribe(table.Update)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- poller.Run(ctx) }()
		time.Sleep(time.Millisecond)
		leavesAt := time.Now().Add(3 * time.Second)
		for range 1000 {
			pick := table.Acquire(route.Ask{})
			left := pick.Endpoint == "library-0" && time.Now().After(leavesAt)
			if left && time.Since(leavesAt) > 2*time.Second {
				late++
			}
			time.Sleep(10 * time.Millisecond)
			pick.Done(route.VerdictAnswered, route.Report{Present: true, Slots: 8, Leaving: left, Incarnation: "1"})
		}
		cancel()
		<-ended
	})
	return late
}

var _ = Describe("leaving endpoints", func() {
	It("P7: get no work after the bound though the VM list says live; guards against a list that lags", func() {
		Expect(lateWork(nil)).To(Equal(0))
	})

	It("P7: the check reports work when the marks are not heeded", func() {
		Expect(lateWork(func() bool { return false })).To(BeNumerically(">", 0))
	})

	DescribeTable("are marked by each source", func(source string) {
		table := newTable("a", nil)
		table.Update(endpoints(2, "library"))
		table.SetLeaving([]model.EndpointID{"library-1", "unknown"}, source)
		Expect(table.Leaving()).To(Equal([]model.EndpointID{"library-1"}))
		Expect(drainSlots(table)).To(Equal(map[model.EndpointID]int{"library-0": 8}))
	}, Entry("operator", route.SourceOperator), Entry("peer", route.SourcePeer))

	It("are marked when an operator names them before the VM list does; guards against a mark that is lost", func() {
		table := newTable("a", nil)
		table.SetLeaving([]model.EndpointID{"library-0"}, route.SourceOperator)
		table.Update(endpoints(1, "library"))
		Expect(table.Usable(nil)).To(Equal(0))
	})

	It("return with a new incarnation only, and stale lists of the old one change nothing; guards against flapping", func() {
		virtual(func() {
			table := newTable("a", nil)
			old := endpoints(1, "library")
			table.Update(old)
			leaving := endpoints(1, "library")
			leaving[0].State = vmlist.StateLeaving
			table.Update(leaving)
			table.Update(old)
			Expect(table.Usable(nil)).To(Equal(0), "the list went back to live")
			restarted := endpoints(1, "library")
			restarted[0].Incarnation = "2"
			table.Update(restarted)
			Expect(table.Usable(nil)).To(Equal(1))
			table.Update(leaving)
			Expect(table.Usable(nil)).To(Equal(1), "the list still shows the replaced process")
			table.SetLeaving([]model.EndpointID{"library-0"}, route.SourcePeer)
			Expect(table.Usable(nil)).To(Equal(1), "peers may not have noticed the restart yet")
			time.Sleep(31 * time.Second)
			table.SetLeaving([]model.EndpointID{"library-0"}, route.SourcePeer)
			Expect(table.Usable(nil)).To(Equal(0))
		})
	})
})

var _ = Describe("health", func() {
	It("ejects an endpoint that fails everything and returns it by a probe; guards against feeding a broken endpoint", func() {
		virtual(func() {
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
			table.Update(endpoints(1, "library"))
			down.Store(true)
			for range 5 {
				table.Acquire(route.Ask{}).Done(route.VerdictBroken, route.Report{})
			}
			Expect(table.Usable(nil)).To(Equal(0))
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- table.Run(ctx) }()
			time.Sleep(5 * time.Second)
			Expect(table.Usable(nil)).To(Equal(0), "its probe fails")
			down.Store(false)
			time.Sleep(11 * time.Second)
			Expect(table.Usable(nil)).To(Equal(1))
			cancel()
			<-ended
		})
	})

	It("keeps at least half of the endpoints when they only answer errors; guards against one customer's bad requests", func() {
		table := newTable("a", nil)
		table.Update(endpoints(4, "library"))
		for range 100 {
			table.Acquire(route.Ask{}).Done(route.VerdictErrored, route.Report{})
		}
		Expect(table.Usable(nil)).To(Equal(2))
	})

	It("uses a new endpoint only after a probe; guards against sending to a VM that does not serve yet", func() {
		table := newTable("a", nil)
		table.Trust = false
		table.Update(endpoints(1, "library"))
		Expect(table.Usable(nil)).To(Equal(0))
	})
})
