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

// bounds of the design, section 10.
const (
	ownershipMoves   = 8 * time.Second
	noStartAfterOut  = 4 * time.Second
	handedBack       = 6 * time.Second
	urgentStarts     = 6700 * time.Millisecond
	gangStops        = 15 * time.Second
	storeLease       = 5 * time.Second
	lossDetected     = 10 * time.Second
	reservationEnds  = 15 * time.Second
	longRun          = model.Duration(time.Hour)
	settledAfterward = 40 * time.Second
)

var _ = Describe("Ownership", func() {
	// Guards against running gangs that die with their owner, and against decisions that wait longer than the bound.
	It("moves after a kill while running gangs go on", func() {
		virtual(func() {
			r := newRig(hollowCreek(2))
			defer r.close()
			a, kill := r.instance("a", "courthouse")
			b, _ := r.instance("b", "fairground")
			r.submit(b, jobs.Spec{ID: "long", Customer: "festival", Class: "score", Shape: "half", RunTime: longRun})
			within(3*time.Second, "job runs", r.state(a, "long", jobs.StateRunning))
			kill()
			killed := time.Now()
			time.AfterFunc(storeLease, func() { r.leases.expire("a", false) })
			r.submit(b, jobs.Spec{ID: "next", Customer: "festival", Class: "score", Shape: "half", RunTime: longRun})
			within(ownershipMoves, "the next job runs", r.state(b, "next", jobs.StateRunning))
			Expect(time.Since(killed)).To(BeNumerically("<=", ownershipMoves))
			time.Sleep(time.Minute)
			Expect(r.busy("long")).To(Equal(3))
			Expect(r.starts("long")).To(Equal(3))
		})
	})

	// Guards against jobs that are lost or run twice when an instance is stopped in a planned way.
	It("is handed over on a planned stop", func() {
		virtual(func() {
			r := newRig(hollowCreek(2))
			defer r.close()
			a, _ := r.instance("a", "courthouse")
			b, _ := r.instance("b", "fairground")
			r.submit(b, jobs.Spec{ID: "long", Customer: "board", Class: "tally", Shape: "half", RunTime: model.Duration(time.Minute)})
			within(3*time.Second, "job runs", r.state(a, "long", jobs.StateRunning))
			r.leave("a")
			Expect(a.Stop(context.Background())).To(Succeed())
			within(ownershipMoves, "b owns the data centre", func() bool { _, owned := b.Owned("courthouse"); return owned })
			within(time.Minute, "job is done", r.state(b, "long", jobs.StateDone))
			Expect(r.starts("long")).To(Equal(3))
		})
	})

	// Guards against owners that change more often than a loss takes to detect, each of which starts the detection again.
	It("is not handed over while a gang has a silent member", func() {
		virtual(func() {
			r := newRig(hollowCreek(2))
			defer r.close()
			a, _ := r.instance("a", "courthouse")
			b, _ := r.instance("b", "fairground")
			r.submit(b, jobs.Spec{ID: "long", Customer: "festival", Class: "score", Shape: "half", RunTime: longRun})
			within(3*time.Second, "job runs", r.state(a, "long", jobs.StateRunning))
			first := r.get(a, "long").Placement
			lost := first[0].Worker
			r.workers[lost].Set(fakewk.Faults{Hang: true})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go func() {
				for home := true; clock.Sleep(ctx, 6*time.Second) == nil; home = !home {
					if home {
						r.leave("a")
					} else {
						r.join("a", "courthouse")
					}
				}
			}()
			within(lossDetected+gangStops, "the other members are stopped", func() bool {
				return !slices.ContainsFunc(first[1:], func(p jobs.Placement) bool { return r.runs(p) })
			})
		})
	})

	// Guards against a paused owner whose late messages start work next to its successor's.
	for _, checked := range []bool{true, false} {
		name := "fences a paused owner whose clock check is switched off by the workers' tokens"
		if checked {
			name = "stops a paused owner by its clock check"
		}
		It(name, func() {
			virtual(func() {
				r := newRig(hollowCreek(1))
				defer r.close()
				a, _ := r.instance("a", "courthouse")
				within(3*time.Second, "a owns the data centre", func() bool { _, owned := a.Owned("courthouse"); return owned })
				time.Sleep(time.Second)
				r.leave("a")
				b, _ := r.instance("b", "courthouse")
				r.leases.expire("a", !checked)
				within(ownershipMoves, "b owns the data centre", func() bool { _, owned := b.Owned("courthouse"); return owned })
				time.Sleep(time.Second)
				for i := range 6 {
					r.submit(b, jobs.Spec{ID: model.JobID(string(rune('p' + i))), Customer: "board", Class: "tally", Shape: "worker", RunTime: longRun})
				}
				time.Sleep(settledAfterward)
				for i := range 6 {
					id := model.JobID(string(rune('p' + i)))
					Expect(r.starts(id)).To(Equal(1), "starts of %s", id)
					Expect(r.get(b, id).Owner).To(BeEquivalentTo("b"))
				}
			})
		})
	}

	// Guards against a successor that queues a recorded gang again although all of it runs.
	It("continues a gang whose owner died between recording and starting it", func() {
		virtual(func() {
			r := newRig(hollowCreek(1))
			defer r.close()
			a, kill := r.instance("a", "courthouse")
			for _, fake := range r.workers {
				fake.Set(fakewk.Faults{Hang: true, HangOp: "start"})
			}
			r.submit(a, jobs.Spec{ID: "t", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRun})
			within(3*time.Second, "decision is recorded", r.state(a, "t", jobs.StateStarting))
			kill()
			r.leases.expire("a", false)
			for _, fake := range r.workers {
				fake.Set(fakewk.Faults{})
			}
			b, _ := r.instance("b", "courthouse")
			within(ownershipMoves, "job runs", r.state(b, "t", jobs.StateRunning))
			Expect(r.busy("t")).To(Equal(6))
			Expect(r.starts("t")).To(Equal(6))
		})
	})
})

var _ = Describe("A data centre taken out of service", func() {
	// Guards against starts after operators took a data centre out, when the decision was made just before.
	for _, checked := range []bool{true, false} {
		name := "gets no start after the bound"
		if !checked {
			name = "gets starts when the last check is switched off"
		}
		It(name, func() {
			virtual(func() {
				r := newRig(hollowCreek(1))
				defer r.close()
				if !checked {
					r.mayStart = always
				}
				a, _ := r.instance("a", "courthouse")
				within(3*time.Second, "a owns the data centre", func() bool { _, owned := a.Owned("courthouse"); return owned })
				for _, fake := range r.workers {
					fake.Set(fakewk.Faults{Hang: true, HangOp: "start"})
				}
				r.submit(a, jobs.Spec{ID: "t", Customer: "board", Class: "tally", Shape: "rack", RunTime: longRun})
				within(time.Second, "decision is recorded", r.state(a, "t", jobs.StateStarting))
				r.service("courthouse", model.ServiceOut)
				time.Sleep(noStartAfterOut)
				for _, fake := range r.workers {
					fake.Set(fakewk.Faults{})
				}
				time.Sleep(settledAfterward)
				Expect(r.starts("t") > 0).To(Equal(!checked))
				r.service("courthouse", model.ServiceIn)
				within(5*time.Second, "job runs after the return", r.state(a, "t", jobs.StateRunning))
			})
		})
	}
})
