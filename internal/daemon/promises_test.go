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

// Bounds from docs/design.md, section 10.
const (
	boundPropagation  = 2 * time.Second
	boundOutOfService = 4 * time.Second
	boundLeaving      = 2 * time.Second
	boundOwnerChange  = 8 * time.Second
	boundGracefulStop = 35 * time.Second
)

// withInstances runs body in virtual time on a rig of n instances that have started.
func withInstances(n int, body func(r *rig)) {
	inVirtualTime(func() {
		r := newRig()
		defer r.close()
		r.startInstances(n)
		body(r)
	})
}

var _ = Describe("Configuration", func() {
	// Guards against an instance that applies a change late.
	DescribeTable("is in effect on all instances within the bound", func(fault func(r *rig)) {
		withInstances(5, func(r *rig) {
			fault(r)
			begin := time.Now()
			result := r.publish(r.instances[0], newObject(model.KindCustomer, "new", model.Customer{}))
			for _, inst := range r.instances {
				eventually(boundPropagation-time.Since(begin), inst.id+" has the revision", func() bool {
					return inst.Follower.Current().Revision >= result.Revision
				})
			}
		})
	},
		Entry("without faults", func(*rig) {}),
		Entry("with a slow store", func(r *rig) { r.kv.Set(fakekv.Faults{DelayMs: 200}) }),
		Entry("with one instance cut from the store", func(r *rig) { r.setFault(r.instances[4], hostStore, memnet.Fault{DropRequests: true}) }),
	)
})

var _ = Describe("A data centre that is taken out", func() {
	// submitShortJobs submits short jobs, so that a job is always waiting to start.
	submitShortJobs := func(r *rig, inst *instance, count int) {
		for i := range count {
			r.submitJob(inst, fmt.Sprintf("job-%d", i), "south", "soft", 200*time.Millisecond)
		}
	}

	// Guards against an owner that goes on starting tasks because it has missed the change.
	DescribeTable("gets no start after the bound", func(fault func(r *rig, owner *instance)) {
		withInstances(3, func(r *rig) {
			owner := r.owner("south")
			other := r.instances[0]
			if other == owner {
				other = r.instances[1]
			}
			submitShortJobs(r, other, 200)
			eventually(10*time.Second, "jobs start", func() bool { return len(r.startTimes("south")) > 10 })
			fault(r, owner)
			r.publish(other, newDataCentre("south", model.ServiceOut))
			accepted := time.Now()
			time.Sleep(20 * time.Second)
			for _, started := range r.startTimes("south") {
				Expect(started.Sub(accepted)).To(BeNumerically("<", boundOutOfService))
			}
		})
	},
		Entry("with its owner healthy", func(*rig, *instance) {}),
		Entry("with its owner cut from the store",
			func(r *rig, owner *instance) { r.setFault(owner, hostStore, memnet.Fault{DropRequests: true}) }),
		Entry("with its owner cut from the store and its peers", func(r *rig, owner *instance) {
			r.setFault(owner, hostStore, memnet.Fault{DropRequests: true})
			r.cutFromPeers(owner)
		}),
	)

	// Shows that the check above fails if instances ignore the change.
	It("is seen to get starts after the bound when the check before each start is off and the configuration is not followed", func() {
		withInstances(3, func(r *rig) {
			for _, inst := range r.instances {
				old := inst.Follower.Current()
				inst.SchedulerAdapter.Manager.MayStartTask = func(model.DataCentreID) *reply.Error { return nil }
				inst.SchedulerAdapter.Manager.Current = func() *model.Set { return old }
			}
			owner := r.owner("south")
			// Releasing the lease makes an instance take ownership again, with the changed functions.
			Expect(owner.Lease.Release(context.Background(), "/owner/south")).To(Succeed())
			submitShortJobs(r, r.instances[0], 400)
			eventually(20*time.Second, "jobs start", func() bool { return len(r.startTimes("south")) > 10 })
			r.publish(r.instances[0], newDataCentre("south", model.ServiceOut))
			accepted := time.Now()
			time.Sleep(10 * time.Second)
			late := 0
			for _, started := range r.startTimes("south") {
				if started.Sub(accepted) > boundOutOfService {
					late++
				}
			}
			Expect(late).To(BeNumerically(">", 0))
		})
	})

	// Guards against starting tasks with a configuration that no instance can prove to be current.
	It("cannot be missed while the store is down for all, because nothing starts", func() {
		withInstances(3, func(r *rig) {
			submitShortJobs(r, r.instances[0], 200)
			eventually(10*time.Second, "jobs start", func() bool { return len(r.startTimes("south")) > 10 })
			r.kv.Set(fakekv.Faults{Down: true})
			down := time.Now()
			time.Sleep(30 * time.Second)
			for _, started := range r.startTimes("south") {
				Expect(started.Sub(down)).To(BeNumerically("<", boundOutOfService))
			}
			r.kv.Set(fakekv.Faults{})
			before := len(r.startTimes("south"))
			eventually(30*time.Second, "starts go on after the outage", func() bool { return len(r.startTimes("south")) > before })
		})
	})
})

var _ = Describe("While the store is down", func() {
	// Guards against refusing idempotent requests because of an outage of the platform's store.
	It("idempotent requests are served, and requests that must not be repeated are refused without running", func() {
		withInstances(3, func(r *rig) {
			r.kv.Set(fakekv.Faults{Down: true})
			for i := range 60 {
				inst := r.instances[i%3]
				outcome, reason, message := r.sendRequest(inst, "check", fmt.Sprintf("check-%d", i), time.Second)
				Expect(outcome).To(Equal(reply.OutcomeDone), "%s: %s", reason, message)
				id := fmt.Sprintf("tally-%d", i)
				outcome, _, _ = r.sendRequest(inst, "tally", id, 5*time.Second)
				Expect(outcome).To(Equal(reply.OutcomeRefused))
				Expect(r.runCount(id)).To(BeZero())
				time.Sleep(time.Second)
			}
			r.kv.Set(fakekv.Faults{})
			eventually(20*time.Second, "tallies run again", func() bool {
				outcome, _, _ := r.sendRequest(r.instances[0], "tally", "tally-after", 5*time.Second)
				return outcome == reply.OutcomeDone
			})
			Expect(r.runCount("tally-after")).To(Equal(1))
		})
	})
})

var _ = Describe("A request that must not be repeated", func() {
	// sendDuplicates sends a request six times at once, to all instances, and returns the outcomes and the number of runs.
	sendDuplicates := func(r *rig, id string) (outcomes []reply.Outcome, ran int) {
		done := make(chan reply.Outcome, 6)
		for i := range 6 {
			go func() {
				outcome, _, _ := r.sendRequest(r.instances[i%3], "tally", id, 10*time.Second)
				done <- outcome
			}()
		}
		for range 6 {
			outcomes = append(outcomes, <-done)
		}
		return outcomes, r.runCount(id)
	}

	// Guards against a second run of a non-repeatable request that its caller repeats at other instances.
	It("runs once however many instances get it, and every caller gets the answer", func() {
		withInstances(3, func(r *rig) {
			for i := range 20 {
				outcomes, ran := sendDuplicates(r, fmt.Sprintf("tally-%d", i))
				Expect(ran).To(Equal(1))
				Expect(outcomes).To(HaveEach(reply.OutcomeDone))
			}
		})
	})

	// Shows that the check above fails without claims.
	It("is seen to run twice when claims are always granted", func() {
		withInstances(3, func(r *rig) {
			for _, inst := range r.instances {
				inst.Front.Claim = func(context.Context, front.ClaimRequest) (*front.Claim, *front.StoredAnswer, *reply.Error) {
					return &front.Claim{
						Finish:  func(context.Context, front.StoredAnswer) error { return nil },
						Release: func(context.Context) error { return nil },
					}, nil, nil
				}
			}
			_, ran := sendDuplicates(r, "tally")
			Expect(ran).To(BeNumerically(">", 1))
		})
	})

	// Guards against a second run, or a false "not run", after the instance that sent the request was killed.
	It("is unknown to a duplicate after its instance was killed, and does not run again", func() {
		withInstances(3, func(r *rig) {
			for _, endpoint := range r.endpoints {
				endpoint.Set(fakeep.Faults{SlowMs: 2000})
			}
			go r.sendRequest(r.instances[0], "tally", "tally", 10*time.Second)
			eventually(2*time.Second, "the request runs", func() bool { return r.runCount("tally") == 1 })
			r.kill(r.instances[0])
			outcome, _, _ := r.sendRequest(r.instances[1], "tally", "tally", 8*time.Second)
			Expect(outcome).To(Equal(reply.OutcomeUnknown))
			Expect(r.runCount("tally")).To(Equal(1))
		})
	})
})

var _ = Describe("An endpoint that leaves", func() {
	// countLateRuns sends requests to all instances and returns the number of the endpoint's runs after boundLeaving.
	countLateRuns := func(r *rig, name string) int {
		send := func(seconds int) {
			for i := range seconds * 10 {
				for j, inst := range r.instances {
					go r.sendRequest(inst, "check", fmt.Sprintf("%s-%d-%d-%d", name, time.Now().UnixNano(), i, j), time.Second)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		send(int(boundLeaving / time.Second))
		before := len(r.endpoints[name].RunCounts())
		send(10)
		time.Sleep(2 * time.Second)
		return len(r.endpoints[name].RunCounts()) - before
	}

	// Guards against new work on an endpoint that an operator has marked as leaving at one instance, while the VM list still says live.
	It("gets no new work after the bound when an operator marks it at one instance", func() {
		withInstances(3, func(r *rig) {
			Expect(r.operator(r.instances[0]).Leaving(context.Background(), "north-e0")).To(Succeed())
			Expect(countLateRuns(r, "north-e0")).To(BeZero())
		})
	})

	// Guards against the same when only one instance has seen the endpoint announce that it leaves.
	It("gets no new work after the bound when its own answer to one instance says so", func() {
		withInstances(3, func(r *rig) {
			r.endpoints["north-e0"].SetLeaving(true)
			Expect(countLateRuns(r, "north-e0")).To(BeZero())
		})
	})

	// Shows that the checks above fail if instances ignore the marks.
	It("is seen to get new work when marks are not heeded", func() {
		withInstances(3, func(r *rig) {
			for _, inst := range r.instances {
				inst.Route.ExcludeLeaving = func() bool { return false }
			}
			Expect(r.operator(r.instances[0]).Leaving(context.Background(), "north-e0")).To(Succeed())
			Expect(countLateRuns(r, "north-e0")).To(BeNumerically(">", 0))
		})
	})
})

var _ = Describe("An instance that stops by plan", func() {
	// Guards against requests that fail, on old or new connections, before the balancer stops sending to the instance.
	It("cuts off no request and hands its data centres over", func() {
		withInstances(3, func(r *rig) {
			owner := r.owner("south")
			stop := time.Now()
			refused := 0
			results := make(chan reply.Outcome, 1000)
			sent := 0
			owner.cancel()
			for time.Since(stop) < 1500*time.Millisecond {
				sent++
				go func(i int) {
					outcome, _, _ := r.sendRequest(owner, "check", fmt.Sprintf("check-%d", i), time.Second)
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
			eventually(boundGracefulStop, "another instance owns the data centre", func() bool {
				next := r.owner("south")
				return next != nil && next != owner
			})
			Eventually(owner.done).WithTimeout(boundGracefulStop).Should(BeClosed())
			Expect(owner.err).NotTo(HaveOccurred())
		})
	})
})

var _ = Describe("An instance that is killed", func() {
	// Guards against a data centre that remains without an owner.
	It("is replaced as owner within the bound", func() {
		withInstances(3, func(r *rig) {
			owner := r.owner("south")
			var other *instance
			for _, inst := range r.instances {
				if inst != owner {
					other = inst
				}
			}
			killed := time.Now()
			r.kill(owner)
			r.submitJob(other, "after", "south", "soft", time.Minute)
			eventually(boundOwnerChange-time.Since(killed), "the next owner starts the job", func() bool {
				record, err := r.operator(other).Get(context.Background(), "after")
				return err == nil && record.State == "running"
			})
		})
	})
})

var _ = Describe("A restarted instance", func() {
	// Guards against a restarted instance that serves an older configuration because of stale reads.
	It("does not serve an older revision while the store answers stale reads", func() {
		withInstances(3, func(r *rig) {
			r.kv.Set(fakekv.Faults{StaleReads: true})
			result := r.publish(r.instances[0], newObject(model.KindCustomer, "new", model.Customer{}))
			r.kill(r.instances[2])
			restarted := r.startInstance("i3", "north")
			for range 200 {
				time.Sleep(50 * time.Millisecond)
				if set := restarted.Follower.Current(); set != nil {
					Expect(set.Revision).To(BeNumerically(">=", result.Revision))
				}
			}
			Expect(restarted.Follower.Current()).NotTo(BeNil())
		})
	})
})

var _ = Describe("A gang", func() {
	// Guards against a gang that runs in part after its owner was killed at any step of a start.
	It("is complete or not running at every step at which its owner may be killed", func() {
		for step := range 12 {
			withInstances(2, func(r *rig) {
				owner := r.owner("north")
				other := r.instances[0]
				if other == owner {
					other = r.instances[1]
				}
				for host := range r.workers {
					r.setFault(owner, memnet.Host(host), memnet.Fault{Delay: 50 * time.Millisecond})
				}
				_, err := r.operator(other).Submit(context.Background(), client.Job{
					ID: "gang", Customer: "big", Class: "soft", Shape: "rack", DataCentre: "north", RunTime: model.Duration(time.Hour),
				})
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Duration(step) * 15 * time.Millisecond)
				r.kill(owner)
				// A start that was interrupted is completed or stopped within the lease of its tasks.
				time.Sleep(15*time.Second + boundOwnerChange)
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
