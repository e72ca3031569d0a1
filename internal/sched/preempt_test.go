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

func withGuarantee(set *model.Set) *model.Set {
	set.Guarantees["g"] = model.Guarantee{Customer: "board", Shape: "rack", DataCentre: "courthouse", Count: 1}
	return set
}

// owned starts one instance and waits until it owns the data centre.
func owned(r *rig) *sched.Manager {
	m, _ := r.instance("a", "courthouse")
	within(3*time.Second, "a owns the data centre", func() bool { _, owned := m.Owned("courthouse"); return owned })
	time.Sleep(2 * time.Second)
	return m
}

var _ = Describe("Lent capacity", func() {
	// Guards against a guaranteed shape that comes back late, whether the guests checkpoint in time or not.
	DescribeTable("is handed back within the bound", func(checkpointMs int, progress bool) {
		virtual(func() {
			r := newRig(withGuarantee(hollowCreek(1)))
			defer r.close()
			m := owned(r)
			for _, fake := range r.workers {
				fake.Set(fakewk.Faults{CheckpointMs: checkpointMs})
			}
			for i := range 6 {
				r.submit(m, jobs.Spec{ID: model.JobID(fmt.Sprint("guest", i)), Customer: "festival", Class: "tag", Shape: "worker", RunTime: longRun})
			}
			within(3*time.Second, "guests run", r.state(m, "guest5", jobs.StateRunning))
			Expect(r.get(m, "guest5").Lent).To(BeTrue())
			time.Sleep(20 * time.Second)
			r.submit(m, jobs.Spec{ID: "owner", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRun})
			took := within(handedBack, "the guaranteed shape runs", r.state(m, "owner", jobs.StateRunning))
			GinkgoWriter.Println("handed back after", took)
			Expect(r.busy("owner")).To(Equal(6))
			time.Sleep(time.Second)
			guest := r.get(m, "guest0")
			Expect(guest.State).To(Equal(jobs.StateQueued))
			Expect(guest.Progress >= model.Duration(20*time.Second)).To(Equal(progress))
		})
	},
		Entry("checkpoints of 1 s", 1000, true),
		Entry("checkpoints of 4.9 s", 4900, true),
		Entry("checkpoints that take too long are killed", 60000, false),
	)

	// Guards against P1 by the whole path: work that must not be repeated stays off lent capacity, and with the rule
	// switched off the guaranteed shape does not come back.
	DescribeTable("is not given to work that cannot be stopped", func(options place.Options, want jobs.State) {
		virtual(func() {
			r := newRig(withGuarantee(hollowCreek(1)))
			defer r.close()
			r.options = options
			m := owned(r)
			// A submission would be refused as never fitting; this job was queued before the guarantee was published.
			_, err := m.Jobs.Create(context.Background(), jobs.Record{
				Spec:  jobs.Spec{ID: "guest", Customer: "festival", Class: "tally", Shape: "half", RunTime: longRun},
				State: jobs.StateQueued, DataCentre: "courthouse", SubmittedAt: time.Now(),
			})
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(5 * time.Second)
			r.submit(m, jobs.Spec{ID: "owner", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRun})
			time.Sleep(handedBack)
			Expect(r.get(m, "owner").State).To(Equal(want))
		})
	},
		Entry("with the rule", place.Options{}, jobs.StateRunning),
		Entry("without the rule the check fails", place.Options{LendToAll: true}, jobs.StateQueued),
	)

	// Guards against urgent work that waits behind work that can be stopped.
	It("makes way for urgent work within the bound", func() {
		virtual(func() {
			r := newRig(hollowCreek(2))
			defer r.close()
			m := owned(r)
			for _, fake := range r.workers {
				fake.Set(fakewk.Faults{CheckpointMs: 60000})
			}
			for i := range 12 {
				r.submit(m, jobs.Spec{ID: model.JobID(fmt.Sprint("n", i)), Customer: "festival", Class: "score", Shape: "worker", RunTime: longRun})
			}
			within(3*time.Second, "normal jobs run", r.state(m, "n11", jobs.StateRunning))
			r.submit(m, jobs.Spec{ID: "urgent", Customer: "board", Class: "judge", Shape: "rack", RunTime: longRun})
			took := within(urgentStarts, "urgent work runs", r.state(m, "urgent", jobs.StateRunning))
			GinkgoWriter.Println("urgent work runs after", took)
		})
	})
})

var _ = Describe("Faulty workers and jobs", func() {
	// Guards against a worker that fails everything and takes job after job, and against jobs that end for its faults.
	DescribeTable("a worker that fails everything", func(after int, quarantined bool) {
		virtual(func() {
			r := newRig(hollowCreek(1))
			defer r.close()
			r.tuning.QuarantineAfter = after
			m := owned(r)
			bad := r.workers["courthouse-r0-0"]
			bad.Set(fakewk.Faults{FailAll: true, FailAfterMs: 100})
			for i := range 20 {
				r.submit(m, jobs.Spec{ID: model.JobID(fmt.Sprint("j", i)), Customer: "festival", Class: "score", Shape: "worker", RunTime: model.Duration(20 * time.Second)})
				time.Sleep(time.Second)
			}
			time.Sleep(3 * time.Minute)
			for i := range 20 {
				Expect(r.get(m, model.JobID(fmt.Sprint("j", i))).State).To(Equal(jobs.StateDone))
			}
			Expect(len(bad.Runs()) <= 4).To(Equal(quarantined), "%d tasks failed there", len(bad.Runs()))
			if !quarantined {
				return
			}
			bad.Set(fakewk.Faults{})
			time.Sleep(10 * time.Minute)
			for i := range 7 {
				r.submit(m, jobs.Spec{ID: model.JobID(fmt.Sprint("late", i)), Customer: "festival", Class: "score", Shape: "worker", RunTime: model.Duration(2 * time.Minute)})
			}
			time.Sleep(90 * time.Second)
			Expect(r.recorded()).To(ContainElement("worker courthouse-r0-0 cleared probe-succeeded"))
		})
	},
		Entry("is quarantined and returns after a probe", 3, true),
		Entry("goes on failing jobs when quarantine is switched off", 0, false),
	)

	// Guards against a job that fails everywhere and is retried for ever, and against workers that are blamed for it.
	DescribeTable("a job that fails everywhere", func(failsOn int, ends bool) {
		virtual(func() {
			r := newRig(hollowCreek(1))
			defer r.close()
			r.tuning.FailsOn = failsOn
			m := owned(r)
			for _, fake := range r.workers {
				fake.Set(fakewk.Faults{FailAll: true, FailAfterMs: 500})
			}
			r.submit(m, jobs.Spec{ID: "bad", Customer: "festival", Class: "score", Shape: "worker", RunTime: longRun})
			time.Sleep(3 * time.Minute)
			record := r.get(m, "bad")
			Expect(record.State.Ended()).To(Equal(ends), "attempts: %d", record.Attempts)
			if ends {
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

	// Guards against a job that must not be repeated and runs again after a failure.
	It("does not repeat a job that must not be repeated", func() {
		virtual(func() {
			r := newRig(hollowCreek(1))
			defer r.close()
			m := owned(r)
			for _, fake := range r.workers {
				fake.Set(fakewk.Faults{FailAll: true, FailAfterMs: 500})
			}
			r.submit(m, jobs.Spec{ID: "t", Customer: "board", Class: "tally", Shape: "half", RunTime: longRun})
			within(10*time.Second, "job has failed", r.state(m, "t", jobs.StateFailed))
			Expect(r.get(m, "t").Reason).To(Equal(jobs.ReasonTaskFailed))
			Expect(r.starts("t")).To(Equal(3))
		})
	})

	// Guards against members of a gang that run on after one was lost.
	DescribeTable("a lost worker stops the whole gang", func(class model.JobClassID, want jobs.State) {
		virtual(func() {
			r := newRig(hollowCreek(2))
			defer r.close()
			m := owned(r)
			r.submit(m, jobs.Spec{ID: "j", Customer: "board", Class: class, Shape: "rack", RunTime: longRun})
			within(3*time.Second, "job runs", r.state(m, "j", jobs.StateRunning))
			time.Sleep(12 * time.Second)
			lost := r.get(m, "j").Placement[2].Worker
			r.silence(string(lost), true)
			time.Sleep(5*time.Second + lossDetected + gangStops)
			for id, fake := range r.workers {
				for _, run := range fake.Runs() {
					if run.Started.Before(time.Now().Add(-lossDetected - gangStops)) {
						Expect(run.State.Ended()).To(BeTrue(), "task on %s runs on", id)
					}
				}
			}
			time.Sleep(10 * time.Second)
			Expect(r.get(m, "j").State).To(Equal(want))
			r.silence(string(lost), false)
			time.Sleep(10 * time.Second)
			r.submit(m, jobs.Spec{ID: "k", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRun})
			within(10*time.Second, "the returned worker is used", r.state(m, "k", jobs.StateRunning))
		})
	},
		Entry("and the job is queued again when it may be repeated", model.JobClassID("score"), jobs.StateRunning),
		Entry("and the job ends unknown when it must not be repeated", model.JobClassID("tally"), jobs.StateUnknown),
	)
})

var _ = Describe("Operators' and submitters' waves", func() {
	// Guards against a drain that loses jobs, leaves them behind, or runs one in two data centres.
	It("drains a data centre and uses it again after its return", func() {
		virtual(func() {
			set := hollowCreek(1)
			set.DataCentres["library"] = set.DataCentres["courthouse"]
			r := newRig(set)
			defer r.close()
			a := owned(r)
			b, _ := r.instance("b", "library")
			within(10*time.Second, "b owns the library", func() bool { _, owned := b.Owned("library"); return owned })
			for i := range 3 {
				r.submit(a, jobs.Spec{ID: model.JobID(fmt.Sprint("j", i)), DataCentre: "courthouse", Customer: "festival", Class: "score", Shape: "worker", RunTime: longRun})
			}
			r.submit(a, jobs.Spec{ID: "stays", DataCentre: "courthouse", Customer: "board", Class: "tally", Shape: "worker", RunTime: model.Duration(time.Minute)})
			within(5*time.Second, "jobs run", func() bool { return r.busy("j2") == 1 && r.busy("stays") == 1 })
			time.Sleep(10 * time.Second)
			r.service("courthouse", model.ServiceOut)
			within(10*time.Second, "jobs run in the library", func() bool {
				record := r.get(a, "j2")
				return record.DataCentre == "library" && record.State == jobs.StateRunning
			})
			Expect(r.get(a, "j1").Progress).To(BeNumerically(">", 9*time.Second))
			records, err := a.List(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(records).To(HaveLen(4))
			within(time.Minute, "the job that cannot move runs to its end", r.state(a, "stays", jobs.StateDone))
			r.service("courthouse", model.ServiceIn)
			r.submit(a, jobs.Spec{ID: "back", DataCentre: "courthouse", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRun})
			within(5*time.Second, "the data centre is used again", r.state(a, "back", jobs.StateRunning))
		})
	})

	// Guards against cancels that are lost in a wave, or that cost other writes than the mark and the end of each job.
	It("cancels many jobs at once", func() {
		virtual(func() {
			r := newRig(hollowCreek(4))
			defer r.close()
			// Notes of why jobs wait are writes of their own.
			r.tuning.Notes = 0
			m := owned(r)
			const count = 120
			for i := range count {
				r.submit(m, jobs.Spec{ID: model.JobID(fmt.Sprint("j", i)), Customer: "festival", Class: "score", Shape: "worker", RunTime: longRun})
			}
			time.Sleep(40 * time.Second)
			before := map[model.JobID]store.Version{}
			var waiting, running []model.JobID
			for i := range count {
				record := r.get(m, model.JobID(fmt.Sprint("j", i)))
				before[record.Spec.ID] = record.Version
				if record.State == jobs.StateQueued {
					waiting = append(waiting, record.Spec.ID)
				} else {
					running = append(running, record.Spec.ID)
				}
			}
			Expect(running).To(HaveLen(24))
			// The jobs that wait are cancelled first, so that none of them starts in between.
			for _, id := range slices.Concat(waiting, running) {
				_, refused := m.Cancel(context.Background(), id)
				Expect(refused).To(BeNil())
			}
			time.Sleep(5 * time.Second)
			for i := range count {
				record := r.get(m, model.JobID(fmt.Sprint("j", i)))
				Expect(record.State).To(Equal(jobs.StateCancelled), "job %d", i)
				Expect(record.Version).To(Equal(before[record.Spec.ID]+2), "job %d", i)
			}
			Expect(slices.ContainsFunc(r.vms, func(vm sched.WorkerVM) bool {
				return slices.ContainsFunc(r.workers[vm.ID].Runs(), func(run fakewk.Run) bool { return !run.State.Ended() })
			})).To(BeFalse())
		})
	})

	// Guards against submissions that can never run and wait for ever.
	DescribeTable("refuses", func(edit func(*jobs.Spec), want reply.Reason) {
		virtual(func() {
			set := withGuarantee(hollowCreek(1))
			set.Shapes["huge"] = model.Shape{Tasks: 7, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyRack}
			set.Customers["small"] = model.Customer{QuotaAccelerators: 4}
			set.JobClasses["private"] = model.JobClass{Priority: model.PriorityNormal, Customers: []model.CustomerID{"board"}}
			r := newRig(set)
			defer r.close()
			m := owned(r)
			spec := jobs.Spec{ID: "j", Customer: "festival", Class: "score", Shape: "one"}
			edit(&spec)
			_, refused := m.Submit(context.Background(), spec)
			Expect(refused).NotTo(BeNil())
			Expect(refused.Outcome).To(Equal(reply.OutcomeRefused))
			Expect(refused.Reason).To(Equal(want))
		})
	},
		Entry("work that cannot be stopped, where all racks are bound to another customer", func(s *jobs.Spec) { s.Customer, s.Class, s.Shape = "festival", "tally", "rack" }, reply.ReasonNeverFits),
		Entry("a shape larger than any rack", func(s *jobs.Spec) { s.Shape = "huge" }, reply.ReasonNeverFits),
		Entry("a shape larger than the quota", func(s *jobs.Spec) { s.Customer, s.Shape = "small", "worker" }, reply.ReasonNeverFits),
		Entry("an unknown class", func(s *jobs.Spec) { s.Class = "x" }, reply.ReasonUnknownClass),
		Entry("another customer's class", func(s *jobs.Spec) { s.Class = "private" }, reply.ReasonNotAllowed),
		Entry("an empty id", func(s *jobs.Spec) { s.ID = "" }, reply.ReasonMalformed),
	)
})
