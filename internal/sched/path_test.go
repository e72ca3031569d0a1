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

var _ = Describe("A job's way", func() {
	// Guards against a path that loses a job between submission and its end.
	It("is submitted, placed, started and finished", func() {
		virtual(func() {
			r := newRig(hollowCreek(2))
			defer r.close()
			m, _ := r.instance("a", "courthouse")
			r.submit(m, jobs.Spec{ID: "j/1", Customer: "festival", Class: "score", Shape: "half", RunTime: model.Duration(20 * time.Second)})
			within(3*time.Second, "job runs", r.state(m, "j/1", jobs.StateRunning))
			Expect(r.busy("j/1")).To(Equal(3))
			within(25*time.Second, "job is done", r.state(m, "j/1", jobs.StateDone))
			record := r.get(m, "j/1")
			Expect(record.Outcome).To(Equal(reply.OutcomeDone))
			Expect(record.Attempts).To(Equal(1))
			Expect(r.busy("j/1")).To(BeZero())
		})
	})

	// Guards against jobs that wait where they were sent while another data centre stands idle.
	for _, moves := range []bool{true, false} {
		name := "leads to another data centre with room when it has waited"
		if !moves {
			name = "ends in the queue beside an idle data centre when moves are switched off"
		}
		It(name, func() {
			virtual(func() {
				set := hollowCreek(2)
				set.DataCentres["library"] = set.DataCentres["courthouse"]
				r := newRig(set)
				defer r.close()
				if !moves {
					r.tuning.MoveAfter = 0
				}
				m, _ := r.instance("a", "courthouse")
				within(3*time.Second, "both data centres have an owner", func() bool { return len(m.Summaries()) == 2 })
				for i := range 10 {
					id := model.JobID(string(rune('p' + i)))
					r.submit(m, jobs.Spec{ID: id, Customer: "festival", Class: "tally", Shape: "half", DataCentre: "courthouse", RunTime: longRun})
				}
				running := func() int {
					count := 0
					for i := range 8 {
						if r.get(m, model.JobID(string(rune('p'+i)))).State == jobs.StateRunning {
							count++
						}
					}
					return count
				}
				time.Sleep(time.Minute)
				if moves {
					Expect(running()).To(Equal(8))
					// The rest stays where it is, because no other data centre has room for it.
					Expect(r.get(m, "x").DataCentre).To(BeEquivalentTo("courthouse"))
					Expect(r.get(m, "y").DataCentre).To(BeEquivalentTo("courthouse"))
				} else {
					Expect(running()).To(Equal(4))
				}
			})
		})
	}

	// Guards against a repeated submission that runs the job twice or hides that the id stands for another job.
	It("is submitted once however often it is sent", func() {
		virtual(func() {
			r := newRig(hollowCreek(1))
			defer r.close()
			m, _ := r.instance("a", "courthouse")
			spec := jobs.Spec{ID: "j", Customer: "board", Class: "tally", Shape: "worker", RunTime: model.Duration(time.Second)}
			r.submit(m, spec)
			r.submit(m, spec)
			within(5*time.Second, "job is done", r.state(m, "j", jobs.StateDone))
			r.submit(m, spec)
			spec.Shape = "one"
			_, refused := m.Submit(context.Background(), spec)
			Expect(refused).NotTo(BeNil())
			Expect(refused.Reason).To(Equal(reply.ReasonIDReused))
			Expect(r.starts("j")).To(Equal(1))
		})
	})
})
