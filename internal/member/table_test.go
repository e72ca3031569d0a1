package member_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
)

const kvHost = "kv"

// group runs a store and tables in one process on an in-memory network.
type group struct {
	ctx    context.Context
	kv     *fakekv.Server
	net    *memnet.Net
	tables map[string]*member.Table
	// mute makes all calls of instance a fail, while it still answers those of others.
	mute bool
	mu   sync.Mutex
	// reports holds the reports that each table received, in order.
	reports map[string][]member.Report
}

func newGroup(ctx context.Context, latency time.Duration) *group {
	g := &group{
		ctx: ctx, kv: fakekv.New(), net: memnet.New(), tables: map[string]*member.Table{}, reports: map[string][]member.Report{},
	}
	g.net.Latency = latency
	g.net.SetHandler(kvHost, g.kv)
	return g
}

// join runs a table; its KeepKey writes the membership entry once per call.
func (g *group) join(id string, report member.Report) *member.Table {
	from := id
	if g.mute && id == "a" {
		from = "nowhere"
		g.net.Partition(memnet.Host(from), "b", true)
	}
	client := &store.Client{BaseURL: "http://" + kvHost, Timeout: store.DefaultTimeout, Do: g.net.Transport(memnet.Host(id)).RoundTrip}
	t := &member.Table{
		Store: client, Caller: &wire.Caller{HTTP: g.net.Client(memnet.Host(from))}, Metrics: metric.New(),
		Self:        member.Member{Instance: model.InstanceID(id), Incarnation: "one", PeerAddress: id},
		LocalReport: func() member.Report { return report },
		KeepKey: func(key string, value func() []byte) {
			_, err := client.Put(g.ctx, key, value(), 0, 0)
			if err != nil {
				_, err = client.Put(g.ctx, key, value(), 1, 0)
			}
			Expect(err).NotTo(HaveOccurred())
		},
		OnReport: func(r member.Report) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.reports[id] = append(g.reports[id], r)
		},
	}
	mux := http.NewServeMux()
	t.Register(mux)
	g.net.SetHandler(memnet.Host(id), mux)
	g.tables[id] = t
	go func() { _ = t.Run(g.ctx) }()
	return t
}

// lastConfirmed returns the last confirmed report that a table received from a peer, or a zero report.
func (g *group) lastConfirmed(at string, from model.InstanceID) (found member.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.reports[at] {
		if r.Instance == from && r.Confirmed {
			found = r
		}
	}
	return found
}

func instanceIDs(members []member.Member) string {
	var names []string
	for _, m := range members {
		names = append(names, string(m.Instance))
	}
	return strings.Join(names, " ")
}

var _ = Describe("Table", func() {
	// Guards against work for draining or unreachable members, and against losing members during an outage of the store.
	It("lists members as live while they report and are not draining, and as known while they are registered", func() {
		inVirtualTime(func(ctx context.Context) {
			g := newGroup(ctx, time.Millisecond)
			a, b := g.join("a", member.Report{}), g.join("b", member.Report{})
			g.join("c", member.Report{})
			time.Sleep(2 * time.Second)
			Expect(instanceIDs(a.Live())).To(Equal("a b c"))
			Expect(a.Registered()).To(BeTrue())
			Expect(a.ReportingCount(member.LivenessTimeout)).To(Equal(3))

			b.SetDraining()
			time.Sleep(time.Second)
			Expect(instanceIDs(a.Live())).To(Equal("a c"))
			Expect(instanceIDs(b.Live())).To(Equal("a c"), "a draining instance takes no work of its own either")

			g.net.Partition("a", "c", true)
			time.Sleep(member.LivenessTimeout + 2*time.Second)
			Expect(instanceIDs(a.Live())).To(Equal("a"))
			Expect(instanceIDs(a.Known())).To(Equal("a b c"))

			g.kv.Set(fakekv.Faults{Down: true})
			time.Sleep(time.Minute)
			Expect(instanceIDs(a.Known())).To(Equal("a b c"), "an outage of the store removes nobody")
			g.kv.Set(fakekv.Faults{})
			kv := &store.Client{BaseURL: "http://" + kvHost, Timeout: time.Second, Do: g.net.Transport("op").RoundTrip}
			Expect(kv.Delete(ctx, member.Prefix+"c", 1)).To(Succeed())
			time.Sleep(2 * time.Second)
			Expect(instanceIDs(a.Known())).To(Equal("a b"))
		})
	})

	It("adds the whole round trip to the age of a confirmation, so that a slow network cannot make it look recent", func() {
		inVirtualTime(func(ctx context.Context) {
			const latency, age = 200 * time.Millisecond, 700 * time.Millisecond
			g := newGroup(ctx, latency)
			g.join("a", member.Report{})
			g.join("b",
				member.Report{Revision: 7, Confirmed: true, ConfirmedAge: age, Summaries: []member.LoadSummary{{DataCentre: "d", Owner: "b"}}})
			time.Sleep(5 * time.Second)
			report := g.lastConfirmed("a", "b")
			Expect(report.ConfirmedAge).To(Equal(age + 2*latency))
			Expect(report.Summaries[0].LoadAge).To(Equal(2 * latency))
		})
	})

	It("ignores the confirmation in an incoming call, because the transit time of the call is unknown", func() {
		inVirtualTime(func(ctx context.Context) {
			g := newGroup(ctx, time.Millisecond)
			g.mute = true
			g.join("a", member.Report{})
			g.join("b", member.Report{Revision: 7, Confirmed: true})
			time.Sleep(3 * time.Second)
			Expect(g.lastConfirmed("a", "b")).To(BeZero())
			Expect(instanceIDs(g.tables["a"].Live())).To(Equal("a b"))
		})
	})

	It("exchanges with the others while one peer hangs, so that an unresponsive instance makes no other one look dead", func() {
		inVirtualTime(func(ctx context.Context) {
			g := newGroup(ctx, time.Millisecond)
			for _, id := range []string{"a", "b", "c", "d"} {
				g.join(id, member.Report{})
			}
			time.Sleep(2 * time.Second)
			hang := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			g.net.SetHandler("b", hang)
			g.net.SetHandler("c", hang)
			g.net.Partition("b", "a", true)
			g.net.Partition("c", "a", true)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				Expect(instanceIDs(g.tables["a"].Live())).To(ContainSubstring("d"))
			}
			Expect(instanceIDs(g.tables["a"].Live())).To(Equal("a d"))
		})
	})

	It("ignores reports from unregistered instances and former incarnations, so that a paused old process does not count as the new one", func() {
		inVirtualTime(func(ctx context.Context) {
			g := newGroup(ctx, time.Millisecond)
			a := g.join("a", member.Report{})
			old := g.join("b", member.Report{Revision: 9})
			time.Sleep(2 * time.Second)
			Expect(instanceIDs(a.Live())).To(Equal("a b"))
			successor := old.Self
			successor.Incarnation, successor.PeerAddress = "two", "elsewhere"
			value, err := json.Marshal(successor)
			Expect(err).NotTo(HaveOccurred())
			_, err = old.Store.Put(ctx, member.Prefix+"b", value, 1, 0)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(member.LivenessTimeout + time.Second)
			Expect(instanceIDs(a.Live())).To(Equal("a"))
		})
	})

	It("counts bytes and stays within 300 B per exchange, so that reports do not grow unnoticed", func() {
		inVirtualTime(func(ctx context.Context) {
			g := newGroup(ctx, time.Millisecond)
			report := member.Report{Revision: 1400 * 365, Confirmed: true, ConfirmedAge: 2 * time.Second}
			for _, dc := range []model.DataCentreID{"courthouse", "fairground"} {
				report.Summaries = append(report.Summaries,
					member.LoadSummary{DataCentre: dc, Owner: "entry-1", Free: 800, LargestRackFree: 48, Queued: 900, Running: 9000})
			}
			a := g.join("entry-1", report)
			g.join("entry-2", report)
			time.Sleep(10 * time.Second)
			sent := testutil.ToFloat64(a.Metrics.PeerBytes.WithLabelValues(string(member.ProcedureExchange), "sent"))
			received := testutil.ToFloat64(a.Metrics.PeerBytes.WithLabelValues(string(member.ProcedureExchange), "received"))
			const exchanges = 2 * 2 * 10
			Expect(sent).To(And(BeNumerically(">", 0), BeNumerically("<=", 300*exchanges)))
			Expect(received).To(And(BeNumerically(">", 0), BeNumerically("<=", 300*exchanges)))
		})
	})

	It("calls again on a new connection after one stopped responding, so that a dead connection does not separate two live instances", func() {
		ctx, cancel := context.WithCancel(context.Background())
		var silent atomic.Value
		mux := http.NewServeMux()
		served := make(chan string, 1000)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if first, _ := silent.Load().(string); first == r.RemoteAddr {
				<-ctx.Done()
				return
			}
			served <- r.RemoteAddr
			mux.ServeHTTP(w, r)
		}))
		defer server.Close()
		kv := httptest.NewServer(fakekv.New())
		defer kv.Close()
		defer cancel()
		client, closeStore := store.New(kv.URL, nil)
		defer closeStore()
		caller, closeCaller := wire.NewCaller(time.Second)
		defer closeCaller()
		peer := &member.Table{Self: member.Member{Instance: "b", Incarnation: "one", PeerAddress: strings.TrimPrefix(server.URL, "http://")}}
		peer.Register(mux)
		value, err := json.Marshal(peer.Self)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, member.Prefix+"b", value, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		a := &member.Table{
			Store: client, Caller: caller, Self: member.Member{Instance: "a"},
			ExchangeEvery: 10 * time.Millisecond, PeerTimeout: 100 * time.Millisecond,
		}
		go func() { _ = a.Run(ctx) }()
		var first string
		Eventually(served, "20s").Should(Receive(&first))
		silent.Store(first)
		Eventually(func() string {
			select {
			case address := <-served:
				return address
			default:
				return first
			}
		}, "20s").ShouldNot(Equal(first))
	})
})
