package budget_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/budget"
)

const total = 4 << 20

// Guards against large bodies that take the memory of ordinary submissions.
func TestSmallBodiesFitBesideLargeOnes(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(total)
	for {
		l := b.Open(func() {})
		if l.Grow(t.Context(), 256<<10) != nil {
			break
		}
	}
	for range total / 4 / int(budget.SmallBody) {
		g.Expect(b.Open(func() {}).Grow(t.Context(), budget.SmallBody)).To(Succeed())
	}
	var full *budget.FullError
	g.Expect(errors.As(b.Open(func() {}).Grow(t.Context(), budget.SmallBody), &full)).To(BeTrue())
	g.Expect(full.Size).To(Equal(budget.SmallBody))
}

// Guards against bodies that stop arriving and keep their memory from others, and against one that gives way while it arrives.
func TestStalledBodiesGiveWay(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(total)
	now := time.Now()
	b.Now = func() time.Time { return now }
	large := budget.Bytes(1 << 20)
	leases := make([]*budget.Lease, 3)
	aborted := make([]int, 3)
	for i := range leases {
		leases[i] = b.Open(func() {
			aborted[i]++
			leases[i].Release()
		})
		g.Expect(leases[i].Grow(t.Context(), large)).To(Succeed())
	}
	g.Expect(b.Open(func() {}).Grow(t.Context(), large)).NotTo(Succeed(), "none has stalled")
	now = now.Add(2 * budget.StallTime)
	g.Expect(leases[0].Progress()).To(BeTrue())
	g.Expect(leases[1].Finish()).To(BeTrue())
	g.Expect(b.Open(func() {}).Grow(t.Context(), large)).To(Succeed())
	g.Expect(aborted).To(Equal([]int{0, 0, 1}), "the one that was neither arriving nor whole")
	g.Expect(leases[2].Evicted()).To(BeTrue())
	g.Expect(leases[2].Progress()).To(BeFalse())
	leases[0].Release()
	g.Expect(b.Open(func() {}).Grow(t.Context(), large)).To(Succeed(), "memory that was returned")
}

// Guards against stalled bodies that end although their memory is not enough, and against a body that is refused although it fits with the
// memory that was free before.
func TestStalledBodiesGiveWayOnlyWhereItHelps(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(total)
	now := time.Now()
	b.Now = func() time.Time { return now }
	const large = budget.Bytes(total - total/4)
	const stalledSize, arrivingSize = large / 4, large / 2
	aborted := 0
	var stalled *budget.Lease
	stalled = b.Open(func() {
		aborted++
		stalled.Release()
	})
	g.Expect(stalled.Grow(t.Context(), stalledSize)).To(Succeed())
	now = now.Add(2 * budget.StallTime)
	arriving := b.Open(func() {})
	g.Expect(arriving.Grow(t.Context(), arrivingSize)).To(Succeed())
	g.Expect(b.Open(func() {}).Grow(t.Context(), large-arrivingSize+1)).NotTo(Succeed())
	g.Expect(aborted).To(Equal(0), "its memory would not have been enough")
	g.Expect(b.Open(func() {}).Grow(t.Context(), large-arrivingSize)).To(Succeed())
	g.Expect(aborted).To(Equal(1))
}

// Guards against a lease that is counted twice, or not at all, when its body grows out of the part for small ones.
func TestGrowingBodyReturnsItsSmallPart(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(total)
	for range 3 * total / int(budget.SmallBody) {
		l := b.Open(func() {})
		g.Expect(l.Grow(t.Context(), budget.SmallBody)).To(Succeed())
		g.Expect(l.Grow(t.Context(), 2*budget.SmallBody)).To(Succeed())
		g.Expect(l.Held()).To(Equal(2 * budget.SmallBody))
		l.Release()
	}
}

// Guards against a limit where none is known, and against limits that shut everyone out.
func TestMachine(t *testing.T) {
	g := NewWithT(t)
	g.Expect(budget.Machine{}.Bodies(8)).To(BeNil())
	g.Expect((*budget.Budget)(nil).Open(nil).Grow(context.Background(), 1<<40)).To(Succeed())
	g.Expect(budget.Machine{}.Conns(2)).To(Equal(4096))
	g.Expect(budget.Machine{Memory: 144 << 20, Descriptors: 2875}.Conns(2)).To(Equal(768))
	g.Expect(budget.Machine{Descriptors: 400}.Conns(2)).To(Equal(200))
	g.Expect(budget.Machine{Descriptors: 2}.Conns(2)).To(Equal(16))
}

// Guards against limits that are unknown and therefore unlimited, and against limits of the settings that are replaced.
func TestMachineIsCompleted(t *testing.T) {
	g := NewWithT(t)
	found := budget.Machine{}.Complete()
	g.Expect(found.Memory).To(BeNumerically(">", 0))
	g.Expect(found.MemoryFrom).NotTo(BeEmpty())
	g.Expect(found.Descriptors).To(BeNumerically(">", 0))
	g.Expect(found.DescriptorsFrom).NotTo(BeEmpty())
	given := budget.Machine{Memory: 1 << 20, MemoryFrom: budget.SourceSettings}.WithDescriptors(1000, budget.SourceSettings)
	g.Expect(given.Complete()).To(Equal(given))
	g.Expect(given.Descriptors).To(Equal(800), "200 are left for files")
	g.Expect(budget.Machine{}.WithDescriptors(100, budget.SourceSettings).Descriptors).To(Equal(1), "0 would be unknown")
}
