package sched_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/fakewk"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/model"
)

// Limits from section 10 of the design, and times that the specs wait.
const (
	ownershipMoveLimit = 8 * time.Second
	noStartLimit       = 4 * time.Second
	reclaimLimit       = 6 * time.Second
	urgentStartLimit   = 6700 * time.Millisecond
	gangStopLimit      = 15 * time.Second
	storeLeaseDuration = 5 * time.Second
	lossDetectionLimit = 10 * time.Second
	reservationExpiry  = 15 * time.Second
	longRunTime        = model.Duration(time.Hour)
	settleTime         = 40 * time.Second
)

var _ = Describe("Ownership", func() {
	// Guards against gangs that stop when their owner is killed, and decisions that resume later than the bound.
	It("moves after a kill while running gangs go on", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(2))
			defer cluster.close()
			managerA, kill := cluster.startInstance("a", "courthouse")
			managerB, _ := cluster.startInstance("b", "fairground")
			cluster.submitJob(managerB, jobs.Spec{ID: "long", Customer: "festival", Class: "score", Shape: "half", RunTime: longRunTime})
			waitUntil(3*time.Second, "job runs", cluster.hasState(managerA, "long", jobs.StateRunning))
			kill()
			killed := time.Now()
			time.AfterFunc(storeLeaseDuration, func() { cluster.leases.expireLeases("a", false) })
			cluster.submitJob(managerB, jobs.Spec{ID: "next", Customer: "festival", Class: "score", Shape: "half", RunTime: longRunTime})
			waitUntil(ownershipMoveLimit, "the next job runs", cluster.hasState(managerB, "next", jobs.StateRunning))
			Expect(time.Since(killed)).To(BeNumerically("<=", ownershipMoveLimit))
			time.Sleep(time.Minute)
			Expect(cluster.runningTasks("long")).To(Equal(3))
			Expect(cluster.startedTasks("long")).To(Equal(3))
		})
	})

	// Guards against jobs that are lost or run twice when an instance is stopped as planned.
	It("is handed over on a planned stop", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(2))
			defer cluster.close()
			managerA, _ := cluster.startInstance("a", "courthouse")
			managerB, _ := cluster.startInstance("b", "fairground")
			cluster.submitJob(managerB,
				jobs.Spec{ID: "long", Customer: "board", Class: "tally", Shape: "half", RunTime: model.Duration(time.Minute)})
			waitUntil(3*time.Second, "job runs", cluster.hasState(managerA, "long", jobs.StateRunning))
			cluster.removePeer("a")
			Expect(managerA.Stop(context.Background())).To(Succeed())
			waitUntil(ownershipMoveLimit, "b owns the data centre", func() bool { _, owned := managerB.LocalOwner("courthouse"); return owned })
			waitUntil(time.Minute, "job is done", cluster.hasState(managerB, "long", jobs.StateDone))
			Expect(cluster.startedTasks("long")).To(Equal(3))
		})
	})

	// Guards against gangs that run in part for long because the owner changes faster than it detects a lost worker: each new
	// owner starts the detection again.
	It("is not handed over while a gang has a silent member", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(2))
			defer cluster.close()
			managerA, _ := cluster.startInstance("a", "courthouse")
			managerB, _ := cluster.startInstance("b", "fairground")
			cluster.submitJob(managerB, jobs.Spec{ID: "long", Customer: "festival", Class: "score", Shape: "half", RunTime: longRunTime})
			waitUntil(3*time.Second, "job runs", cluster.hasState(managerA, "long", jobs.StateRunning))
			placement := cluster.getRecord(managerA, "long").Placement
			lost := placement[0].Worker
			cluster.workers[lost].Set(fakewk.Faults{Hang: true})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go func() {
				for isMember := true; clock.Sleep(ctx, 6*time.Second) == nil; isMember = !isMember {
					if isMember {
						cluster.removePeer("a")
					} else {
						cluster.addPeer("a", "courthouse")
					}
				}
			}()
			waitUntil(lossDetectionLimit+gangStopLimit, "the other members are stopped", func() bool {
				return !slices.ContainsFunc(placement[1:], func(p jobs.Placement) bool { return cluster.isTaskRunning(p) })
			})
		})
	})

	// Guards against a paused owner whose late messages start work in addition to its successor's.
	for _, checkEnabled := range []bool{true, false} {
		name := "fences a paused owner whose clock check is switched off by the workers' tokens"
		if checkEnabled {
			name = "stops a paused owner by its clock check"
		}
		It(name, func() {
			inVirtualTime(func() {
				cluster := newTestCluster(newConfig(1))
				defer cluster.close()
				managerA, _ := cluster.startInstance("a", "courthouse")
				waitUntil(3*time.Second, "a owns the data centre", func() bool { _, owned := managerA.LocalOwner("courthouse"); return owned })
				time.Sleep(time.Second)
				cluster.removePeer("a")
				managerB, _ := cluster.startInstance("b", "courthouse")
				cluster.leases.expireLeases("a", !checkEnabled)
				waitUntil(ownershipMoveLimit, "b owns the data centre", func() bool { _, owned := managerB.LocalOwner("courthouse"); return owned })
				time.Sleep(time.Second)
				for i := range 6 {
					cluster.submitJob(managerB,
						jobs.Spec{ID: model.JobID(string(rune('p' + i))), Customer: "board", Class: "tally", Shape: "worker", RunTime: longRunTime})
				}
				time.Sleep(settleTime)
				for i := range 6 {
					id := model.JobID(string(rune('p' + i)))
					Expect(cluster.startedTasks(id)).To(Equal(1), "starts of %s", id)
					Expect(cluster.getRecord(managerB, id).Owner).To(BeEquivalentTo("b"))
				}
			})
		})
	}

	// Guards against a successor that queues a gang again although its recorded tasks run.
	It("continues a gang whose owner died between recording and starting it", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(1))
			defer cluster.close()
			managerA, kill := cluster.startInstance("a", "courthouse")
			for _, fake := range cluster.workers {
				fake.Set(fakewk.Faults{Hang: true, HangOp: "start"})
			}
			cluster.submitJob(managerA, jobs.Spec{ID: "t", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRunTime})
			waitUntil(3*time.Second, "decision is recorded", cluster.hasState(managerA, "t", jobs.StateStarting))
			kill()
			cluster.leases.expireLeases("a", false)
			for _, fake := range cluster.workers {
				fake.Set(fakewk.Faults{})
			}
			managerB, _ := cluster.startInstance("b", "courthouse")
			waitUntil(ownershipMoveLimit, "job runs", cluster.hasState(managerB, "t", jobs.StateRunning))
			Expect(cluster.runningTasks("t")).To(Equal(6))
			Expect(cluster.startedTasks("t")).To(Equal(6))
		})
	})
})

var _ = Describe("A data centre taken out of service", func() {
	// Guards against starts in a data centre that was taken out of service just after the decision.
	for _, checkEnabled := range []bool{true, false} {
		name := "gets no start after the bound"
		if !checkEnabled {
			name = "gets starts when the last check is switched off"
		}
		It(name, func() {
			inVirtualTime(func() {
				cluster := newTestCluster(newConfig(1))
				defer cluster.close()
				if !checkEnabled {
					cluster.mayStart = alwaysAllowed
				}
				managerA, _ := cluster.startInstance("a", "courthouse")
				waitUntil(3*time.Second, "a owns the data centre", func() bool { _, owned := managerA.LocalOwner("courthouse"); return owned })
				for _, fake := range cluster.workers {
					fake.Set(fakewk.Faults{Hang: true, HangOp: "start"})
				}
				cluster.submitJob(managerA, jobs.Spec{ID: "t", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRunTime})
				waitUntil(time.Second, "decision is recorded", cluster.hasState(managerA, "t", jobs.StateStarting))
				cluster.setService("courthouse", model.ServiceOut)
				time.Sleep(noStartLimit)
				for _, fake := range cluster.workers {
					fake.Set(fakewk.Faults{})
				}
				time.Sleep(settleTime)
				Expect(cluster.startedTasks("t") > 0).To(Equal(!checkEnabled))
				cluster.setService("courthouse", model.ServiceIn)
				waitUntil(5*time.Second, "job runs after the return", cluster.hasState(managerA, "t", jobs.StateRunning))
			})
		})
	}
})
