package node

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/chief"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const testStore = "store:1"

// startTestNode starts an instance that takes part in elections and serves its peers; while it leads it has a scheduler without
// jobs. change may modify it before, if set.
func startTestNode(ctx context.Context, net *memnet.Net, name string, share float64, change func(*Node)) *Node {
	startedAt := time.Now()
	now := func() clock.Instant { return clock.Instant(time.Since(startedAt) + time.Hour) }
	address := name + ":7000"
	n := &Node{Settings: &platform.Settings{Node: model.InstanceID(name), Peers: address}, Log: zerolog.Nop(), config: &OperatorConfig{}, meters: newMeters(), now: now}
	n.peerCaller = &wire.Caller{HTTP: net.Client(memnet.Host(name))}
	n.store = platform.NewStore(net.Client(memnet.Host(name)), testStore, n.storeCalled)
	n.elector = &elect.Elector{
		Store: n.store, Self: elect.Node{ID: model.InstanceID(name), Address: address, Share: share}, Log: zerolog.Nop(),
		Now: n.now, Yield: n.yieldLeadership, Served: n.service.lastServed,
		Lead: func(ctx context.Context, _ elect.Term) error {
			n.chief.Store(&chief.Scheduler{})
			defer n.chief.Store(nil)
			<-ctx.Done()
			return ctx.Err()
		},
	}
	if change != nil {
		change(n)
	}
	mux := http.NewServeMux()
	n.registerPeerHandlers(mux)
	net.SetHandler(memnet.Host(address), mux)
	go func() { _ = n.elector.Run(ctx) }() //nolint:errcheck // It ends with the test.
	return n
}

// Guards against an instance that keeps calling a former leader because the store, which does not serve it, cannot name the new one.
func TestOwnerIsFoundWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		net := memnet.New()
		net.SetHandler(testStore, fakepl.NewStore())
		first := startTestNode(ctx, net, "first", 1, nil)
		second := startTestNode(ctx, net, "second", 0.9, nil)
		partitioned := startTestNode(ctx, net, "cut", 0.1, nil)
		time.Sleep(3 * time.Second)
		g.Expect(first.chief.Load()).NotTo(BeNil())
		net.SetFault("cut", testStore, memnet.Fault{DropRequests: true})
		time.Sleep(time.Second)
		first.elector.Resign(ctx)
		time.Sleep(3 * time.Second)
		g.Expect(second.chief.Load()).NotTo(BeNil())
		_, found, err := partitioned.ownerState(ctx, "00000000000000a1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found).To(BeFalse())
		cancel()
		synctest.Wait()
	})
}

// Guards against two leaders during a planned stop: a claim that is answered after Resign must begin no term, since its record goes with
// the registration.
func TestNoTermBeginsAfterResign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerDelay = 200 * time.Millisecond
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		net, store := memnet.New(), fakepl.NewStore()
		net.SetHandler(testStore, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			store.ServeHTTP(w, r)
			time.Sleep(answerDelay)
		}))
		var terms atomic.Int32
		n := startTestNode(ctx, net, "only", 1, func(n *Node) {
			n.elector.Lead = func(ctx context.Context, _ elect.Term) error {
				terms.Add(1)
				<-ctx.Done()
				return ctx.Err()
			}
		})
		for store.Value(elect.Prefix+"leader") == nil {
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(terms.Load()).To(BeZero(), "the claim has no answer yet")
		n.elector.Resign(ctx)
		n.elector.Leave(ctx)
		time.Sleep(time.Second)
		began := terms.Load()
		cancel()
		time.Sleep(answerDelay) // The last calls to the store end.
		g.Expect(began).To(BeZero())
	})
}

// Guards against a relay that waits for a peer without a working store while another peer could apply the change.
func TestRelayAsksPeersAtTheSameTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		net := memnet.New()
		net.SetHandler(testStore, fakepl.NewStore())
		nodes := map[string]*Node{}
		for _, name := range []string{"a", "b", "c"} {
			n := startTestNode(ctx, net, name, 1, nil)
			n.jobIntake = &intake.Service{Store: n.store, Log: zerolog.Nop(), Now: time.Now}
			nodes[name] = n
		}
		time.Sleep(3 * time.Second)
		g.Expect(nodes["a"].elector.Peers()).To(HaveLen(2))
		net.SetFault("b", testStore, memnet.Fault{DropRequests: true})
		for i := range 2 {
			started := time.Now()
			id := model.JobID(fmt.Sprintf("00000000000000a%d", i))
			g.Expect(nodes["a"].relayChange(ctx, intake.Change{Submit: &work.Job{ID: id}})).To(Succeed())
			g.Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond))
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a leader that gives up its term because of an outage of the store for all instances: its request to end the term
// was executed once the store was back.
func TestOutageForAllEndsNoTerm(t *testing.T) {
	for outage := time.Second; outage <= 4*time.Second; outage += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			net := memnet.New()
			net.SetHandler(testStore, fakepl.NewStore())
			var nodes []*Node
			for _, name := range []string{"first", "second", "third"} {
				nodes = append(nodes, startTestNode(ctx, net, name, 1, func(n *Node) {
					grant := n.store.Grant
					n.store.Grant = func(ctx context.Context, _ time.Duration) (kv.LeaseID, time.Duration, error) {
						return grant(ctx, time.Minute) // As in a store whose leases pause while it is down.
					}
				}))
			}
			time.Sleep(3 * time.Second)
			leader, found := nodes[0].elector.Leader()
			g.Expect(found).To(BeTrue())
			for _, n := range nodes {
				net.SetFault(memnet.Host(n.Settings.Node), testStore, memnet.Fault{DropRequests: true, DropAnswers: true})
			}
			time.Sleep(outage)
			for i, n := range nodes { // The leader is among the first: the store serves it last.
				time.AfterFunc(time.Duration(len(nodes)-i)*100*time.Millisecond, func() {
					net.SetFault(memnet.Host(n.Settings.Node), testStore, memnet.Fault{})
				})
			}
			time.Sleep(2 * time.Second)
			for _, n := range nodes {
				now, found := n.elector.Leader()
				g.Expect(found).To(BeTrue())
				g.Expect(now).To(Equal(leader))
				g.Expect(n.chief.Load() != nil).To(Equal(n.Settings.Node == leader.ID))
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against two instances that lead at once because the answer to a request to end the term was lost: the first went on with its
// term, and extended the leases of runs while the second started them again.
func TestTermEndsWhenItMayBeYielded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		net := memnet.New()
		net.SetHandler(testStore, fakepl.NewStore())
		var terms [2]atomic.Pointer[elect.Term]
		recordTerm := func(i int) func(*Node) {
			return func(n *Node) {
				n.elector.Lead = func(ctx context.Context, term elect.Term) error {
					terms[i].Store(&term)
					<-ctx.Done()
					return ctx.Err()
				}
			}
		}
		nodes := []*Node{startTestNode(ctx, net, "first", 1, recordTerm(0)), startTestNode(ctx, net, "second", 0.9, recordTerm(1))}
		leads := func(i int) bool { return terms[i].Load() != nil && nodes[i].elector.TermValid(*terms[i].Load()) }
		time.Sleep(3 * time.Second)
		g.Expect(leads(0)).To(BeTrue())
		net.SetFault("first", "second:7000", memnet.Fault{DropAnswers: true})
		net.SetFault("first", testStore, memnet.Fault{DropRequests: true, DropAnswers: true})
		time.Sleep(800 * time.Millisecond)
		net.SetFault("first", testStore, memnet.Fault{}) // Its lease lives on, and its renewals are answered again.
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			g.Expect(leads(0) && leads(1)).To(BeFalse(), "both lead")
		}
		g.Expect(leads(0) || leads(1)).To(BeTrue(), "none leads")
		cancel()
		synctest.Wait()
	})
}
