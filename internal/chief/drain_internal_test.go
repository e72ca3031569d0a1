package chief

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Guards against a stop at once of all work on a worker that leaves much later than it said in an earlier notice, which was taken back.
func TestNoticeThatWasTakenBackDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	now := clock.Instant(time.Hour)
	w := &worker{polled: true, born: 1, registered: true, info: work.WorkerInfo{ID: "w", Born: 1}}
	c := &Scheduler{Now: func() clock.Instant { return now }, workers: map[model.WorkerID]*worker{"w": w}}
	for _, notice := range []work.WorkerInfo{{Draining: true, Remaining: time.Second}, {}, {Draining: true, Remaining: 10 * time.Second}} {
		notice.ID, notice.Born = "w", 1
		c.DecodeWorker = func(string, []byte) (work.WorkerInfo, error) { return notice, nil }
		_, known := c.applyRegistryItem(kv.Item{})
		g.Expect(known).To(BeTrue())
		now = now.Add(time.Second)
	}
	g.Expect(w.leavesAt).To(Equal(now.Add(9 * time.Second)))
}
