package daemon_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/front"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Bounds of docs/design.md, section 10.
const (
	boundSpread    = 2 * time.Second
	boundOut       = 4 * time.Second
	boundLeaving   = 2 * time.Second
	boundOwnership = 8 * time.Second
	boundStop      = 35 * time.Second
)

// with runs body on a rig of n instances.
func with(n int, body func(r *rig)) {
	virtual(func() {
		r := newRig()
		defer r.close()
		r.startAll(n)
		body(r)
	})
}

var _ = Describe("Configuration", func() {
	// Guards against an instance that learns of a change late.
	DescribeTable("is in effect on all instances within the bound", func(fault func(r *rig)) {
		with(5, func(r *rig) {
			fault(r)
			begin := time.Now()
			result := r.publish(r.instances[0], object(model.KindCustomer, "new", model.Customer{}))
			for _, n := range r.instances {
				eventually(boundSpread-time.Since(begin), n.id+" has the revision", func() bool {
					return n.Follower.Current().Revision >= result.Revision
				})
			}
		})
	},
		Entry("without faults", func(*rig) {}),
		Entry("with a slow store", func(r *rig) { r.kv.Set(fakekv.Faults{DelayMs: 200}) }),
		Entry("with one instance cut from the store", func(r *rig) { r.cut(r.instances[4], hostStore, memnet.Fault{Silent: true}) }),
	)
})

var _ = Describe("A data centre that is taken out", func() {
	// churn submits short jobs so that there is always one to start.
	churn := func(r *rig, n *node, count int) {
		for i := range count {
			r.submit(n, fmt.Sprintf("job-%d", i), "south", "soft", 200*time.Millisecond)
		}
	}

	// Guards against an owner that goes on starting tasks because it has not heard of the change.
	DescribeTable("gets no start after the bound", func(fault func(r *rig, owner *node)) {
		with(3, func(r *rig) {
			owner := r.owner("south")
			other := r.instances[0]
			if other == owner {
				other = r.instances[1]
			}
			churn(r, other, 200)
			eventually(10*time.Second, "jobs start", func() bool { return len(r.starts("south")) > 10 })
			fault(r, owner)
			r.publish(other, dataCentre("south", model.ServiceOut))
			accepted := time.Now()
			time.Sleep(20 * time.Second)
			for _, started := range r.starts("south") {
				Expect(started.Sub(accepted)).To(BeNumerically("<", boundOut))
			}
		})
	},
		Entry("with its owner healthy", func(*rig, *node) {}),
		Entry("with its owner cut from the store", func(r *rig, owner *node) { r.cut(owner, hostStore, memnet.Fault{Silent: true}) }),
		Entry("with its owner cut from the store and its peers", func(r *rig, owner *node) {
			r.cut(owner, hostStore, memnet.Fault{Silent: true})
			r.cutPeers(owner)
		}),
	)

	It("is seen to get starts after the bound when the check before each start is off and the configuration is not followed", func() {
		with(3, func(r *rig) {
			for _, n := range r.instances {
				old := n.Follower.Current()
				n.Tasks.Manager.MayStartTask = func(model.DataCentreID) *reply.Error { return nil }
				n.Tasks.Manager.Current = func() *model.Set { return old }
			}
			owner := r.owner("south")
			// Ownership is taken anew, so that the owner uses the changed functions.
			Expect(owner.Lease.Release(context.Background(), "/owner/south")).To(Succeed())
			churn(r, r.instances[0], 400)
			eventually(20*time.Second, "jobs start", func() bool { return len(r.starts("south")) > 10 })
			r.publish(r.instances[0], dataCentre("south", model.ServiceOut))
			accepted := time.Now()
			time.Sleep(10 * time.Second)
			late := 0
			for _, started := range r.starts("south") {
				if started.Sub(accepted) > boundOut {
					late++
				}
			}
			Expect(late).To(BeNumerically(">", 0))
		})
	})

	// Guards against starts that rest on a configuration which nobody can prove.
	It("cannot be missed while the store is down for all, because nothing starts", func() {
		with(3, func(r *rig) {
			churn(r, r.instances[0], 200)
			eventually(10*time.Second, "jobs start", func() bool { return len(r.starts("south")) > 10 })
			r.kv.Set(fakekv.Faults{Down: true})
			down := time.Now()
			time.Sleep(30 * time.Second)
			for _, started := range r.starts("south") {
				Expect(started.Sub(down)).To(BeNumerically("<", boundOut))
			}
			r.kv.Set(fakekv.Faults{})
			before := len(r.starts("south"))
			eventually(30*time.Second, "starts go on after the outage", func() bool { return len(r.starts("south")) > before })
		})
	})
})

var _ = Describe("While the store is down", func() {
	// Guards against judges who stand idle because the platform's store has an outage.
	It("idempotent requests are served, and requests that must not be repeated are refused without running", func() {
		with(3, func(r *rig) {
			r.kv.Set(fakekv.Faults{Down: true})
			for i := range 60 {
				n := r.instances[i%3]
				outcome, reason, message := r.request(n, "check", fmt.Sprintf("check-%d", i), time.Second)
				Expect(outcome).To(Equal(reply.OutcomeDone), "%s: %s", reason, message)
				id := fmt.Sprintf("tally-%d", i)
				outcome, _, _ = r.request(n, "tally", id, 5*time.Second)
				Expect(outcome).To(Equal(reply.OutcomeRefused))
				Expect(r.runs(id)).To(BeZero())
				time.Sleep(time.Second)
			}
			r.kv.Set(fakekv.Faults{})
			eventually(20*time.Second, "tallies run again", func() bool {
				outcome, _, _ := r.request(r.instances[0], "tally", "tally-after", 5*time.Second)
				return outcome == reply.OutcomeDone
			})
			Expect(r.runs("tally-after")).To(Equal(1))
		})
	})
})

var _ = Describe("A request that must not be repeated", func() {
	duplicates := func(r *rig, id string) (outcomes []reply.Outcome, ran int) {
		done := make(chan reply.Outcome, 6)
		for i := range 6 {
			go func() {
				outcome, _, _ := r.request(r.instances[i%3], "tally", id, 10*time.Second)
				done <- outcome
			}()
		}
		for range 6 {
			outcomes = append(outcomes, <-done)
		}
		return outcomes, r.runs(id)
	}

	// Guards against a doubled tally when a caller repeats its request at other instances.
	It("runs once however many instances get it, and every caller gets the answer", func() {
		with(3, func(r *rig) {
			for i := range 20 {
				outcomes, ran := duplicates(r, fmt.Sprintf("tally-%d", i))
				Expect(ran).To(Equal(1))
				Expect(outcomes).To(HaveEach(reply.OutcomeDone))
			}
		})
	})

	It("is seen to run twice when claims are always granted", func() {
		with(3, func(r *rig) {
			for _, n := range r.instances {
				n.Front.Claim = func(context.Context, front.ClaimRequest) (*front.Claim, *front.StoredAnswer, *reply.Error) {
					return &front.Claim{
						Finish:  func(context.Context, front.StoredAnswer) error { return nil },
						Release: func(context.Context) error { return nil },
					}, nil, nil
				}
			}
			_, ran := duplicates(r, "tally")
			Expect(ran).To(BeNumerically(">", 1))
		})
	})

	// Guards against a second run, or a false "not run", after the instance that sent the request died.
	It("is unknown to a duplicate after its instance was killed, and does not run again", func() {
		with(3, func(r *rig) {
			for _, endpoint := range r.endpoints {
				endpoint.Set(fakeep.Faults{SlowMs: 2000})
			}
			go r.request(r.instances[0], "tally", "tally", 10*time.Second)
			eventually(2*time.Second, "the request runs", func() bool { return r.runs("tally") == 1 })
			r.kill(r.instances[0])
			outcome, _, _ := r.request(r.instances[1], "tally", "tally", 8*time.Second)
			Expect(outcome).To(Equal(reply.OutcomeUnknown))
			Expect(r.runs("tally")).To(Equal(1))
		})
	})
})

var _ = Describe("An endpoint that leaves", func() {
	// sendAll sends requests to all instances for some seconds and returns the endpoint's runs after the bound.
	sendAll := func(r *rig, name string) int {
		send := func(seconds int) {
			for i := range seconds * 10 {
				for j, n := range r.instances {
					go r.request(n, "check", fmt.Sprintf("%s-%d-%d-%d", name, time.Now().UnixNano(), i, j), time.Second)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		send(int(boundLeaving / time.Second))
		before := len(r.endpoints[name].Runs())
		send(10)
		time.Sleep(2 * time.Second)
		return len(r.endpoints[name].Runs()) - before
	}

	// Guards against new work on an endpoint that one instance or an operator knows to be leaving, while the VM list lags.
	It("gets no new work after the bound when an operator marks it at one instance", func() {
		with(3, func(r *rig) {
			Expect(r.operator(r.instances[0]).Leaving(context.Background(), "north-e0")).To(Succeed())
			Expect(sendAll(r, "north-e0")).To(BeZero())
		})
	})

	It("gets no new work after the bound when its own answer to one instance says so", func() {
		with(3, func(r *rig) {
			r.endpoints["north-e0"].SetLeaving(true)
			Expect(sendAll(r, "north-e0")).To(BeZero())
		})
	})

	It("is seen to get new work when marks are not heeded", func() {
		with(3, func(r *rig) {
			for _, n := range r.instances {
				n.Route.KeepLeaving = func() bool { return false }
			}
			Expect(r.operator(r.instances[0]).Leaving(context.Background(), "north-e0")).To(Succeed())
			Expect(sendAll(r, "north-e0")).To(BeNumerically(">", 0))
		})
	})
})

var _ = Describe("An instance that stops by plan", func() {
	// Guards against requests that are cut off, on old and on new connections, until the balancer has noticed.
	It("cuts off no request and hands its data centres over", func() {
		with(3, func(r *rig) {
			owner := r.owner("south")
			stop := time.Now()
			refused := 0
			results := make(chan reply.Outcome, 1000)
			sent := 0
			owner.cancel()
			for time.Since(stop) < 1500*time.Millisecond {
				sent++
				go func(i int) {
					outcome, _, _ := r.request(owner, "check", fmt.Sprintf("check-%d", i), time.Second)
					results <- outcome
				}(sent)
				time.Sleep(5 * time.Millisecond)
			}
			for range sent {
				if <-results != reply.OutcomeDone {
					refused++
				}
			}
			Expect(refused).To(BeZero())
			eventually(boundStop, "another instance owns the data centre", func() bool {
				next := r.owner("south")
				return next != nil && next != owner
			})
			Eventually(owner.done).WithTimeout(boundStop).Should(BeClosed())
			Expect(owner.err).NotTo(HaveOccurred())
		})
	})
})

var _ = Describe("An instance that is killed", func() {
	// Guards against a data centre that nobody decides for.
	It("is replaced as owner within the bound", func() {
		with(3, func(r *rig) {
			owner := r.owner("south")
			var other *node
			for _, n := range r.instances {
				if n != owner {
					other = n
				}
			}
			killed := time.Now()
			r.kill(owner)
			r.submit(other, "after", "south", "soft", time.Minute)
			eventually(boundOwnership-time.Since(killed), "the next owner starts the job", func() bool {
				record, err := r.operator(other).Get(context.Background(), "after")
				return err == nil && record.State == "running"
			})
		})
	})
})

var _ = Describe("A restarted instance", func() {
	// Guards against an instance that comes back with an older configuration because the store's reads lag.
	It("does not serve an older revision while the store answers stale reads", func() {
		with(3, func(r *rig) {
			r.kv.Set(fakekv.Faults{StaleReads: true})
			result := r.publish(r.instances[0], object(model.KindCustomer, "new", model.Customer{}))
			r.kill(r.instances[2])
			again := r.start("i3", "north")
			for range 200 {
				time.Sleep(50 * time.Millisecond)
				if set := again.Follower.Current(); set != nil {
					Expect(set.Revision).To(BeNumerically(">=", result.Revision))
				}
			}
			Expect(again.Follower.Current()).NotTo(BeNil())
		})
	})
})

var _ = Describe("A gang", func() {
	// Guards against a partial gang when the owner dies at any step of a start.
	It("is complete or not running at every step at which its owner may be killed", func() {
		for step := range 12 {
			with(2, func(r *rig) {
				owner := r.owner("north")
				other := r.instances[0]
				if other == owner {
					other = r.instances[1]
				}
				for host := range r.workers {
					r.cut(owner, memnet.Host(host), memnet.Fault{Delay: 50 * time.Millisecond})
				}
				_, err := r.operator(other).Submit(context.Background(), client.Job{
					ID: "gang", Customer: "big", Class: "soft", Shape: "rack", DataCentre: "north", RunTime: model.Duration(time.Hour),
				})
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Duration(step) * 15 * time.Millisecond)
				r.kill(owner)
				// A start that was interrupted is completed or stopped within the lease of its tasks.
				time.Sleep(15*time.Second + boundOwnership)
				running := 0
				for _, worker := range r.workers {
					for _, run := range worker.Runs() {
						if run.Ended.IsZero() {
							running++
						}
					}
				}
				Expect(running).To(Or(Equal(0), Equal(2)), "step %d", step)
				eventually(20*time.Second, "the gang runs", func() bool {
					record, err := r.operator(other).Get(context.Background(), "gang")
					return err == nil && record.State == "running"
				})
			})
		}
	})
})
