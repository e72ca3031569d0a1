package queue_test

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

var suite *testing.T

func TestQueue(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	// The random schedules are the same in each run.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "50"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "queue")
}

func virtual(spec func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		spec()
	})
}

// line is a queue in front of one endpoint.
type line struct {
	queue *queue.Queue
	table *route.Table
	group sync.WaitGroup
	mu    sync.Mutex
	// served lists the names of requests in the order of their starts.
	served  []string
	refused map[reply.Reason]int
}

func newLine(slots model.SlotCount) *line {
	l := &line{table: &route.Table{Self: "a", DataCentre: "library", Trust: true}, refused: map[reply.Reason]int{}}
	l.queue = &queue.Queue{Acquire: l.table.Acquire, Slots: l.table.Slots, Usable: l.table.Usable}
	l.table.OnFree = l.queue.Kick
	l.table.Update([]vmlist.VM{{Name: "ep", Kind: vmlist.KindEndpoint, Address: "ep:80", DataCentre: "library", Slots: slots}})
	return l
}

func item(class string, priority model.Priority, customer string, left time.Duration) *queue.Item {
	return &queue.Item{
		Class: model.RequestClassID(class), Customer: model.CustomerID(customer), Priority: priority,
		Timeout: 10 * time.Second, Deadline: time.Now().Add(left),
	}
}

func urgent(left time.Duration) *queue.Item { return item("check", model.PriorityUrgent, "a", left) }

func background(left time.Duration) *queue.Item {
	return item("tag", model.PriorityBackground, "a", left)
}

// add queues a request that takes service time, and waits until it is queued, refused or started.
func (l *line) add(ctx context.Context, name string, it *queue.Item, service time.Duration) {
	l.group.Go(func() {
		ticket, err := l.queue.Wait(ctx, it)
		l.mu.Lock()
		if err != nil {
			l.refused[err.Reason]++
			l.mu.Unlock()
			return
		}
		l.served = append(l.served, name)
		l.mu.Unlock()
		time.Sleep(service)
		ticket.Done(service)
		ticket.Pick.Done(route.VerdictAnswered, route.Report{})
	})
	synctest.Wait()
}
