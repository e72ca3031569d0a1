package sched_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakewk"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/sched"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

func withGuarantee(config *model.Set) *model.Set {
	config.Guarantees["g"] = model.Guarantee{Customer: "board", Shape: "rack", DataCentre: "courthouse", Count: 1}
	return config
}

// owned starts one instance, waits until it owns the data centre, and returns its manager.
func owned(cluster *testCluster) *sched.Manager {
	manager, _ := cluster.startInstance("a", "courthouse")
	waitUntil(3*time.Second, "a owns the data centre", func() bool { _, owned := manager.LocalOwner("courthouse"); return owned })
	time.Sleep(2 * time.Second)
	return manager
}

var _ = Describe("Lent capacity", func() {
	// Guards against guaranteed capacity that is reclaimed late, whether the jobs that borrow it checkpoint in time or not.
	DescribeTable("is handed back within the bound", func(checkpointMs int, keepsProgress bool) {
		inVirtualTime(func() {
			cluster := newTestCluster(withGuarantee(newConfig(1)))
			defer cluster.close()
			manager := owned(cluster)
			for _, fake := range cluster.workers {
				fake.Set(fakewk.Faults{CheckpointMs: checkpointMs})
			}
			for i := range 6 {
				cluster.submitJob(manager,
					jobs.Spec{ID: model.JobID(fmt.Sprint("guest", i)), Customer: "festival", Class: "tag", Shape: "worker", RunTime: longRunTime})
			}
			waitUntil(3*time.Second, "guests run", cluster.hasState(manager, "guest5", jobs.StateRunning))
			Expect(cluster.getRecord(manager, "guest5").Lent).To(BeTrue())
			time.Sleep(20 * time.Second)
			cluster.submitJob(manager, jobs.Spec{ID: "owner", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRunTime})
			took := waitUntil(reclaimLimit, "the guaranteed shape runs", cluster.hasState(manager, "owner", jobs.StateRunning))
			GinkgoWriter.Println("handed back after", took)
			Expect(cluster.runningTasks("owner")).To(Equal(6))
			time.Sleep(time.Second)
			guest := cluster.getRecord(manager, "guest0")
			Expect(guest.State).To(Equal(jobs.StateQueued))
			Expect(guest.Progress >= model.Duration(20*time.Second)).To(Equal(keepsProgress))
		})
	},
		Entry("checkpoints of 1 s", 1000, true),
		Entry("checkpoints of 4.9 s", 4900, true),
		Entry("checkpoints that take too long are killed", 60000, false),
	)

	// Guards against violations of P1 from submission to start: work that must not be repeated gets no lent capacity. Without
	// the rule, the guaranteed shape must fail to start.
	DescribeTable("is not given to work that cannot be stopped", func(options place.Options, want jobs.State) {
		inVirtualTime(func() {
			cluster := newTestCluster(withGuarantee(newConfig(1)))
			defer cluster.close()
			cluster.options = options
			manager := owned(cluster)
			// A submission would be refused as never fitting; this job was queued before the guarantee was published.
			_, err := manager.Jobs.Create(context.Background(), jobs.Record{
				Spec:  jobs.Spec{ID: "guest", Customer: "festival", Class: "tally", Shape: "half", RunTime: longRunTime},
				State: jobs.StateQueued, DataCentre: "courthouse", SubmittedAt: time.Now(),
			})
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(5 * time.Second)
			cluster.submitJob(manager, jobs.Spec{ID: "owner", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRunTime})
			time.Sleep(reclaimLimit)
			Expect(cluster.getRecord(manager, "owner").State).To(Equal(want))
		})
	},
		Entry("with the rule", place.Options{}, jobs.StateRunning),
		Entry("without the rule the check fails", place.Options{LendToUnstoppable: true}, jobs.StateQueued),
	)

	// Guards against urgent work that waits for jobs that can be preempted.
	It("makes way for urgent work within the bound", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(2))
			defer cluster.close()
			manager := owned(cluster)
			for _, fake := range cluster.workers {
				fake.Set(fakewk.Faults{CheckpointMs: 60000})
			}
			for i := range 12 {
				cluster.submitJob(manager,
					jobs.Spec{ID: model.JobID(fmt.Sprint("n", i)), Customer: "festival", Class: "score", Shape: "worker", RunTime: longRunTime})
			}
			waitUntil(3*time.Second, "normal jobs run", cluster.hasState(manager, "n11", jobs.StateRunning))
			cluster.submitJob(manager, jobs.Spec{ID: "urgent", Customer: "board", Class: "judge", Shape: "rack", RunTime: longRunTime})
			took := waitUntil(urgentStartLimit, "urgent work runs", cluster.hasState(manager, "urgent", jobs.StateRunning))
			GinkgoWriter.Println("urgent work runs after", took)
		})
	})
})

var _ = Describe("Faulty workers and jobs", func() {
	// Guards against a faulty worker that gets job after job, and against jobs that end as failed because of it.
	DescribeTable("a worker that fails everything", func(quarantineAfter int, quarantined bool) {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(1))
			defer cluster.close()
			cluster.tuning.QuarantineAfter = quarantineAfter
			manager := owned(cluster)
			faultyWorker := cluster.workers["courthouse-r0-0"]
			faultyWorker.Set(fakewk.Faults{FailAll: true, FailAfterMs: 100})
			for i := range 20 {
				cluster.submitJob(manager,
					jobs.Spec{ID: model.JobID(fmt.Sprint("j", i)), Customer: "festival", Class: "score", Shape: "worker", RunTime: model.Duration(20 * time.Second)})
				time.Sleep(time.Second)
			}
			time.Sleep(3 * time.Minute)
			for i := range 20 {
				Expect(cluster.getRecord(manager, model.JobID(fmt.Sprint("j", i))).State).To(Equal(jobs.StateDone))
			}
			Expect(len(faultyWorker.Runs()) <= 4).To(Equal(quarantined), "%d tasks failed there", len(faultyWorker.Runs()))
			if !quarantined {
				return
			}
			faultyWorker.Set(fakewk.Faults{})
			time.Sleep(10 * time.Minute)
			for i := range 7 {
				cluster.submitJob(manager,
					jobs.Spec{ID: model.JobID(fmt.Sprint("late", i)), Customer: "festival", Class: "score", Shape: "worker", RunTime: model.Duration(2 * time.Minute)})
			}
			time.Sleep(90 * time.Second)
			Expect(cluster.recordedDecisions()).To(ContainElement("worker courthouse-r0-0 cleared probe-succeeded"))
		})
	},
		Entry("is quarantined and returns after a probe", 3, true),
		Entry("goes on failing jobs when quarantine is switched off", 0, false),
	)

	// Guards against a job that fails everywhere and is retried forever, and against a quarantine of workers because of it.
	DescribeTable("a job that fails everywhere", func(failsOn int, wantEnded bool) {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(1))
			defer cluster.close()
			cluster.tuning.MaxFailedWorkers = failsOn
			manager := owned(cluster)
			for _, fake := range cluster.workers {
				fake.Set(fakewk.Faults{FailAll: true, FailAfterMs: 500})
			}
			cluster.submitJob(manager, jobs.Spec{ID: "bad", Customer: "festival", Class: "score", Shape: "worker", RunTime: longRunTime})
			time.Sleep(3 * time.Minute)
			record := cluster.getRecord(manager, "bad")
			Expect(record.State.Ended()).To(Equal(wantEnded), "attempts: %d", record.Attempts)
			if wantEnded {
				Expect(record.Reason).To(Equal(reply.ReasonJobFailsEverywhere))
				Expect(record.FailedOn).To(HaveLen(3))
				return
			}
			Expect(record.Attempts).To(BeNumerically(">", 10))
		})
	},
		Entry("ends after three workers", 3, true),
		Entry("is retried for ever when the limit is switched off", 0, false),
	)

	// Guards against a second run of a job that must not be repeated, after a failure.
	It("does not repeat a job that must not be repeated", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(1))
			defer cluster.close()
			manager := owned(cluster)
			for _, fake := range cluster.workers {
				fake.Set(fakewk.Faults{FailAll: true, FailAfterMs: 500})
			}
			cluster.submitJob(manager, jobs.Spec{ID: "t", Customer: "board", Class: "tally", Shape: "half", RunTime: longRunTime})
			waitUntil(10*time.Second, "job has failed", cluster.hasState(manager, "t", jobs.StateFailed))
			Expect(cluster.getRecord(manager, "t").Reason).To(Equal(jobs.ReasonTaskFailed))
			Expect(cluster.startedTasks("t")).To(Equal(3))
		})
	})

	// Guards against members of a gang that keep running after another one was lost.
	DescribeTable("a lost worker stops the whole gang", func(class model.JobClassID, want jobs.State) {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(2))
			defer cluster.close()
			manager := owned(cluster)
			cluster.submitJob(manager, jobs.Spec{ID: "j", Customer: "board", Class: class, Shape: "rack", RunTime: longRunTime})
			waitUntil(3*time.Second, "job runs", cluster.hasState(manager, "j", jobs.StateRunning))
			time.Sleep(12 * time.Second)
			lost := cluster.getRecord(manager, "j").Placement[2].Worker
			cluster.setSilent(string(lost), true)
			time.Sleep(5*time.Second + lossDetectionLimit + gangStopLimit)
			for id, fake := range cluster.workers {
				for _, run := range fake.Runs() {
					if run.Started.Before(time.Now().Add(-lossDetectionLimit - gangStopLimit)) {
						Expect(run.State.Ended()).To(BeTrue(), "task on %s runs on", id)
					}
				}
			}
			time.Sleep(10 * time.Second)
			Expect(cluster.getRecord(manager, "j").State).To(Equal(want))
			cluster.setSilent(string(lost), false)
			time.Sleep(10 * time.Second)
			cluster.submitJob(manager, jobs.Spec{ID: "k", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRunTime})
			waitUntil(10*time.Second, "the returned worker is used", cluster.hasState(manager, "k", jobs.StateRunning))
		})
	},
		Entry("and the job is queued again when it may be repeated", model.JobClassID("score"), jobs.StateRunning),
		Entry("and the job ends unknown when it must not be repeated", model.JobClassID("tally"), jobs.StateUnknown),
	)
})

var _ = Describe("Drains, mass cancels and refused submissions", func() {
	// Guards against a drain that loses jobs, leaves them in the drained data centre, or runs one in two data centres.
	It("drains a data centre and uses it again after its return", func() {
		inVirtualTime(func() {
			config := newConfig(1)
			config.DataCentres["library"] = config.DataCentres["courthouse"]
			cluster := newTestCluster(config)
			defer cluster.close()
			managerA := owned(cluster)
			managerB, _ := cluster.startInstance("b", "library")
			waitUntil(10*time.Second, "b owns the library", func() bool { _, owned := managerB.LocalOwner("library"); return owned })
			for i := range 3 {
				cluster.submitJob(managerA,
					jobs.Spec{ID: model.JobID(fmt.Sprint("j", i)), DataCentre: "courthouse", Customer: "festival", Class: "score", Shape: "worker", RunTime: longRunTime})
			}
			cluster.submitJob(managerA,
				jobs.Spec{ID: "stays", DataCentre: "courthouse", Customer: "board", Class: "tally", Shape: "worker", RunTime: model.Duration(time.Minute)})
			waitUntil(5*time.Second, "jobs run", func() bool { return cluster.runningTasks("j2") == 1 && cluster.runningTasks("stays") == 1 })
			time.Sleep(10 * time.Second)
			cluster.setService("courthouse", model.ServiceOut)
			waitUntil(10*time.Second, "jobs run in the library", func() bool {
				record := cluster.getRecord(managerA, "j2")
				return record.DataCentre == "library" && record.State == jobs.StateRunning
			})
			Expect(cluster.getRecord(managerA, "j1").Progress).To(BeNumerically(">", 9*time.Second))
			records, err := managerA.List(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(records).To(HaveLen(4))
			waitUntil(time.Minute, "the job that cannot move runs to its end", cluster.hasState(managerA, "stays", jobs.StateDone))
			cluster.setService("courthouse", model.ServiceIn)
			cluster.submitJob(managerA,
				jobs.Spec{ID: "back", DataCentre: "courthouse", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRunTime})
			waitUntil(5*time.Second, "the data centre is used again", cluster.hasState(managerA, "back", jobs.StateRunning))
		})
	})

	// Guards against cancels that are lost among many, or that cost more writes than the cancel request and the end of each job.
	It("cancels many jobs at once", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(4))
			defer cluster.close()
			// Notes that explain why jobs wait would add writes.
			cluster.tuning.BlockedNotesPerPass = 0
			manager := owned(cluster)
			const count = 120
			for i := range count {
				cluster.submitJob(manager,
					jobs.Spec{ID: model.JobID(fmt.Sprint("j", i)), Customer: "festival", Class: "score", Shape: "worker", RunTime: longRunTime})
			}
			time.Sleep(40 * time.Second)
			before := map[model.JobID]store.Version{}
			var waiting, running []model.JobID
			for i := range count {
				record := cluster.getRecord(manager, model.JobID(fmt.Sprint("j", i)))
				before[record.Spec.ID] = record.Version
				if record.State == jobs.StateQueued {
					waiting = append(waiting, record.Spec.ID)
				} else {
					running = append(running, record.Spec.ID)
				}
			}
			Expect(running).To(HaveLen(24))
			// Waiting jobs are cancelled first, so that none of them starts when a running one ends.
			for _, id := range slices.Concat(waiting, running) {
				_, refused := manager.Cancel(context.Background(), id)
				Expect(refused).To(BeNil())
			}
			time.Sleep(5 * time.Second)
			for i := range count {
				record := cluster.getRecord(manager, model.JobID(fmt.Sprint("j", i)))
				Expect(record.State).To(Equal(jobs.StateCancelled), "job %d", i)
				Expect(record.Version).To(Equal(before[record.Spec.ID]+2), "job %d", i)
			}
			Expect(slices.ContainsFunc(cluster.vms, func(vm sched.WorkerVM) bool {
				return slices.ContainsFunc(cluster.workers[vm.ID].Runs(), func(run fakewk.Run) bool { return !run.State.Ended() })
			})).To(BeFalse())
		})
	})

	// Guards against accepting jobs that can never run and would wait forever.
	DescribeTable("refuses", func(edit func(*jobs.Spec), want reply.Reason) {
		inVirtualTime(func() {
			config := withGuarantee(newConfig(1))
			config.Shapes["huge"] = model.Shape{Tasks: 7, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyRack}
			config.Customers["small"] = model.Customer{QuotaAccelerators: 4}
			config.JobClasses["private"] = model.JobClass{Priority: model.PriorityNormal, Customers: []model.CustomerID{"board"}}
			cluster := newTestCluster(config)
			defer cluster.close()
			manager := owned(cluster)
			spec := jobs.Spec{ID: "j", Customer: "festival", Class: "score", Shape: "one"}
			edit(&spec)
			_, refused := manager.Submit(context.Background(), spec)
			Expect(refused).NotTo(BeNil())
			Expect(refused.Outcome).To(Equal(reply.OutcomeRefused))
			Expect(refused.Reason).To(Equal(want))
		})
	},
		Entry("work that cannot be stopped, where all racks are bound to another customer",
			func(s *jobs.Spec) { s.Customer, s.Class, s.Shape = "festival", "tally", "rack" }, reply.ReasonNeverFits),
		Entry("a shape larger than any rack", func(s *jobs.Spec) { s.Shape = "huge" }, reply.ReasonNeverFits),
		Entry("a shape larger than the quota", func(s *jobs.Spec) { s.Customer, s.Shape = "small", "worker" }, reply.ReasonNeverFits),
		Entry("an unknown class", func(s *jobs.Spec) { s.Class = "x" }, reply.ReasonUnknownClass),
		Entry("another customer's class", func(s *jobs.Spec) { s.Class = "private" }, reply.ReasonNotAllowed),
		Entry("an empty id", func(s *jobs.Spec) { s.ID = "" }, reply.ReasonMalformed),
	)
})
