package queue_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

const second = time.Second

var _ = Describe("order", func() {
	It("starts urgent classes first; guards against judges who wait behind tagging", func() {
		virtual(func() {
			l, ctx := newLine(1), context.Background()
			l.add(ctx, "first", background(9*second), 100*time.Millisecond)
			l.add(ctx, "tag", background(9*second), 0)
			l.add(ctx, "check", urgent(9*second), 0)
			l.group.Wait()
			Expect(l.served).To(Equal([]string{"first", "check", "tag"}))
		})
	})

	It("starts the earliest deadline of a customer first; guards against misses that order avoids", func() {
		virtual(func() {
			l, ctx := newLine(1), context.Background()
			l.add(ctx, "first", urgent(9*second), 100*time.Millisecond)
			for _, left := range []time.Duration{5 * second, 2 * second, 8 * second} {
				l.add(ctx, left.String(), urgent(left), 0)
			}
			l.group.Wait()
			Expect(l.served).To(Equal([]string{"first", "2s", "5s", "8s"}))
		})
	})

	It("shares starts by weight; guards against one customer's burst that delays the others", func() {
		virtual(func() {
			l, ctx := newLine(1), context.Background()
			l.add(ctx, "first", urgent(9*second), 100*time.Millisecond)
			for range 60 {
				l.add(ctx, "large", item("check", model.PriorityUrgent, "large", 9*second), time.Millisecond)
			}
			for range 10 {
				small := item("check", model.PriorityUrgent, "small", 9*second)
				small.Weight = 2
				l.add(ctx, "small", small, time.Millisecond)
			}
			l.group.Wait()
			small := 0
			for _, name := range l.served[:16] {
				if name == "small" {
					small++
				}
			}
			Expect(small).To(BeNumerically(">=", 9))
		})
	})

	It("starts a starved class in a bounded time under a flood of urgent work; guards against tagging that never runs", func() {
		virtual(func() {
			l, ctx := newLine(1), context.Background()
			l.queue.Control = func() bool { return false }
			l.add(ctx, "first", urgent(9*second), 100*time.Millisecond)
			l.add(ctx, "tag", background(9*second), 0)
			for range 400 {
				l.add(ctx, "check", urgent(9*second), 20*time.Millisecond)
			}
			l.group.Wait()
			Expect(l.served[:80]).To(ContainElement("tag"))
		})
	})
})

var _ = Describe("admission", func() {
	It("refuses what cannot be in time, and admits to an empty queue however far off the estimate is", func() {
		virtual(func() {
			l, ctx := newLine(1), context.Background()
			l.add(ctx, "slow", urgent(9*second), 5*second)
			l.group.Wait()
			l.add(ctx, "now", urgent(second), 10*time.Millisecond)
			l.add(ctx, "queued", urgent(2*second), 10*time.Millisecond)
			_, err := l.queue.Wait(ctx, urgent(3*second))
			Expect(err).To(HaveField("Reason", reply.ReasonDeadlineUnreachable))
			Expect(err.RetryAfter).To(BeNumerically(">", 0))
			l.group.Wait()
			for range 30 {
				l.add(ctx, "learn", urgent(9*second), 10*time.Millisecond)
				l.group.Wait()
			}
			l.add(ctx, "busy", urgent(9*second), 50*time.Millisecond)
			l.add(ctx, "queued", urgent(9*second), 0)
			l.add(ctx, "short", urgent(500*time.Millisecond), 0)
			l.group.Wait()
			Expect(l.refused).To(BeEmpty(), "service times are learned anew")
		})
	})

	It("bounds the queue of a customer; guards against one customer that fills the memory", func() {
		virtual(func() {
			l, ctx := newLine(1), context.Background()
			l.add(ctx, "first", urgent(9*second), 100*time.Millisecond)
			for range 5 {
				limited := urgent(9 * second)
				limited.Limit = 3
				l.add(ctx, "check", limited, 0)
			}
			Expect(l.refused).To(Equal(map[reply.Reason]int{reply.ReasonQueueFull: 2}))
			l.add(ctx, "other", item("check", model.PriorityUrgent, "b", 9*second), 0)
			l.group.Wait()
			Expect(l.served).To(HaveLen(5))
		})
	})

	It("refuses at the deadline what still waits; guards against a late start that nobody waits for", func() {
		virtual(func() {
			l, ctx := newLine(1), context.Background()
			l.add(ctx, "first", urgent(9*second), 3*second)
			started := time.Now()
			_, err := l.queue.Wait(ctx, urgent(second))
			Expect(err).To(HaveField("Reason", reply.ReasonDeadlineInQueue))
			Expect(time.Since(started)).To(Equal(second))
			Expect(l.queue.Queued()).To(Equal(0))
			_, err = l.queue.Wait(ctx, urgent(0))
			Expect(err).To(HaveField("Reason", reply.ReasonDeadlinePast))
			l.group.Wait()
		})
	})

	It("refuses when no endpoint is in service; guards against waiting for nothing", func() {
		l := newLine(1)
		l.table.SetLeaving([]model.EndpointID{"ep"}, route.SourceOperator)
		_, err := l.queue.Wait(context.Background(), urgent(second))
		Expect(err).To(HaveField("Reason", reply.ReasonNoEndpoint))
	})
})

// overloaded floods one slot with background work and returns the refusals of each class while urgent work arrives at 80%
// of the capacity.
func overloaded(control func() bool) (urgentRefused, backgroundRefused, urgentServed int) {
	virtual(func() {
		l, ctx := newLine(1), context.Background()
		l.queue.Control = control
		ctx, cancel := context.WithCancel(ctx)
		urgentLine := &line{queue: l.queue, refused: map[reply.Reason]int{}}
		for i := range 1500 {
			time.Sleep(10 * time.Millisecond)
			l.add(ctx, "tag", background(9*second), 10*time.Millisecond)
			if i%5 != 0 {
				urgentLine.add(ctx, "check", urgent(4*second), 10*time.Millisecond)
			}
		}
		cancel()
		l.group.Wait()
		urgentLine.group.Wait()
		urgentRefused, backgroundRefused = urgentLine.refused[reply.ReasonOverload], l.refused[reply.ReasonOverload]
		urgentServed = len(urgentLine.served)
	})
	return urgentRefused, backgroundRefused, urgentServed
}

var _ = Describe("overload", func() {
	It("refuses the lowest class first and keeps urgent work; guards against queues that only grow", func() {
		urgentRefused, backgroundRefused, urgentServed := overloaded(nil)
		Expect(urgentRefused).To(Equal(0))
		Expect(backgroundRefused).To(BeNumerically(">", 100))
		Expect(urgentServed).To(BeNumerically(">", 1000))
	})

	It("the check reports no refusals for overload when the control is off", func() {
		_, backgroundRefused, _ := overloaded(func() bool { return false })
		Expect(backgroundRefused).To(Equal(0))
	})
})

var _ = Describe("cancellation", func() {
	It("takes out a wave of 2,000 and leaves the rest; guards against a wave that stops the queue", func() {
		virtual(func() {
			l := newLine(1)
			ctx, cancel := context.WithCancel(context.Background())
			l.add(ctx, "first", urgent(9*second), second)
			for i := range 1900 {
				wave := item("check", model.PriorityUrgent, fmt.Sprintf("c-%d", i%5), 9*second)
				l.add(ctx, "wave", wave, 0)
			}
			l.add(context.Background(), "stays", urgent(9*second), 0)
			cancel()
			l.group.Wait()
			Expect(l.refused[reply.ReasonCancelled]).To(Equal(1900))
			Expect(l.served).To(Equal([]string{"first", "stays"}))
		})
	})

	It("loses no slot in random schedules of arrivals, cancels and deadlines; guards against a slot that is never given back", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			waits := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 60).Draw(t, "waits")
			cancels := rapid.SliceOfN(rapid.IntRange(0, 60), len(waits), len(waits)).Draw(t, "cancels")
			lost := -1
			virtual(func() {
				l := newLine(2)
				for i, wait := range waits {
					time.Sleep(time.Duration(wait/4) * time.Millisecond)
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(cancels[i])*time.Millisecond)
					defer cancel()
					it := background(time.Duration(cancels[len(waits)-1-i]+1) * time.Millisecond)
					if i%2 == 0 {
						it = urgent(time.Duration(wait+1) * time.Millisecond)
					}
					l.add(ctx, "", it, time.Duration(wait)*time.Millisecond)
				}
				l.group.Wait()
				lost = 2 + l.queue.Queued()
				for l.table.Acquire(route.Ask{}) != nil {
					lost--
				}
			})
			if lost != 0 {
				t.Fatalf("slots lost or requests left over: %d", lost)
			}
		})
	})
})

var _ = Describe("ticket", func() {
	It("gives the slot back when nothing was sent", func() {
		l := newLine(1)
		ticket, err := l.queue.Wait(context.Background(), urgent(second))
		Expect(err).To(BeNil())
		ticket.Cancel()
		Expect(l.table.Acquire(route.Ask{})).NotTo(BeNil())
	})
})
