package sched_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

var _ = Describe("The life cycle of a job", func() {
	// Guards against a job that is lost between submission and its end.
	It("is submitted, placed, started and finished", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(2))
			defer cluster.close()
			manager, _ := cluster.startInstance("a", "courthouse")
			cluster.submitJob(manager,
				jobs.Spec{ID: "j/1", Customer: "festival", Class: "score", Shape: "half", RunTime: model.Duration(20 * time.Second)})
			waitUntil(3*time.Second, "job runs", cluster.hasState(manager, "j/1", jobs.StateRunning))
			Expect(cluster.runningTasks("j/1")).To(Equal(3))
			waitUntil(25*time.Second, "job is done", cluster.hasState(manager, "j/1", jobs.StateDone))
			record := cluster.getRecord(manager, "j/1")
			Expect(record.Outcome).To(Equal(reply.OutcomeDone))
			Expect(record.Attempts).To(Equal(1))
			Expect(cluster.runningTasks("j/1")).To(BeZero())
		})
	})

	// Guards against jobs that wait in the data centre of their submission while another one is idle.
	for _, movesEnabled := range []bool{true, false} {
		name := "continues in another data centre with free capacity after a wait"
		if !movesEnabled {
			name = "remains in the queue despite an idle data centre when moves are switched off"
		}
		It(name, func() {
			inVirtualTime(func() {
				config := newConfig(2)
				config.DataCentres["library"] = config.DataCentres["courthouse"]
				cluster := newTestCluster(config)
				defer cluster.close()
				if !movesEnabled {
					cluster.tuning.MoveAfter = 0
				}
				manager, _ := cluster.startInstance("a", "courthouse")
				waitUntil(3*time.Second, "both data centres have an owner", func() bool { return len(manager.Summaries()) == 2 })
				for i := range 10 {
					id := model.JobID(string(rune('p' + i)))
					cluster.submitJob(manager,
						jobs.Spec{ID: id, Customer: "festival", Class: "tally", Shape: "half", DataCentre: "courthouse", RunTime: longRunTime})
				}
				countRunning := func() int {
					count := 0
					for i := range 8 {
						if cluster.getRecord(manager, model.JobID(string(rune('p'+i)))).State == jobs.StateRunning {
							count++
						}
					}
					return count
				}
				time.Sleep(time.Minute)
				if movesEnabled {
					Expect(countRunning()).To(Equal(8))
					// The others stay, because no other data centre has free capacity for them.
					Expect(cluster.getRecord(manager, "x").DataCentre).To(BeEquivalentTo("courthouse"))
					Expect(cluster.getRecord(manager, "y").DataCentre).To(BeEquivalentTo("courthouse"))
				} else {
					Expect(countRunning()).To(Equal(4))
				}
			})
		})
	}

	// Guards against a repeated submission that runs the job twice, or that is accepted with another spec for the same id.
	It("starts once however often it is submitted", func() {
		inVirtualTime(func() {
			cluster := newTestCluster(newConfig(1))
			defer cluster.close()
			manager, _ := cluster.startInstance("a", "courthouse")
			spec := jobs.Spec{ID: "j", Customer: "board", Class: "tally", Shape: "worker", RunTime: model.Duration(time.Second)}
			cluster.submitJob(manager, spec)
			cluster.submitJob(manager, spec)
			waitUntil(5*time.Second, "job is done", cluster.hasState(manager, "j", jobs.StateDone))
			cluster.submitJob(manager, spec)
			spec.Shape = "one"
			_, refused := manager.Submit(context.Background(), spec)
			Expect(refused).NotTo(BeNil())
			Expect(refused.Reason).To(Equal(reply.ReasonIDReused))
			Expect(cluster.startedTasks("j")).To(Equal(1))
		})
	})
})
