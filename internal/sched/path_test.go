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
