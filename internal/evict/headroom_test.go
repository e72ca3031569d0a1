package evict_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/evict"
	"peridotgw.example/peridotgw/model"
)

// Guards against accelerators that other work gets as soon as urgent work ends, and against some that are kept free for ever.
func TestUsageKeepsThePeak(t *testing.T) {
	g := NewWithT(t)
	var u evict.Usage
	at := time.Hour
	g.Expect(u.Record(at, 40)).To(Equal(model.Accelerators(40)))
	g.Expect(u.Record(at+time.Second, 8)).To(Equal(model.Accelerators(40)))
	g.Expect(u.Record(at+5500*time.Millisecond, 16)).To(Equal(model.Accelerators(40)))
	g.Expect(u.Record(at+6500*time.Millisecond, 0)).To(Equal(model.Accelerators(16)))
	g.Expect(u.Record(at+time.Minute, 0)).To(Equal(model.Accelerators(0)))
}

// Guards against idle workers that are kept here and there, so that an urgent gang finds no rack that holds it.
func TestIdleWorkersAreKeptByRack(t *testing.T) {
	g := NewWithT(t)
	idle := []evict.IdleWorker{{"r1", 8}, {"r2", 8}, {"r1", 8}, {"r3", 8}, {"r2", 8}, {"r2", 8}}
	g.Expect(evict.KeepIdle(idle, 20)).To(Equal([]int{1, 4, 5}))
	g.Expect(evict.KeepIdle(idle, 32)).To(Equal([]int{1, 4, 5, 0}))
	g.Expect(evict.KeepIdle(idle, 0)).To(BeEmpty())
	g.Expect(evict.KeepIdle(idle, 100)).To(HaveLen(6))
}
