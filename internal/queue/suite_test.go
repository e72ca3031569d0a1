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

var suiteT *testing.T

func TestQueue(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	// The random schedules are the same in each run.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "50"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "queue")
}

// inVirtualTime runs a spec in virtual time.
func inVirtualTime(spec func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		spec()
	})
}

// harness is a queue in front of one endpoint; mu guards served and refused.
type harness struct {
	queue *queue.Queue
	table *route.Table
	group sync.WaitGroup
	mu    sync.Mutex
	// served lists the names of requests in order of their starts.
	served  []string
	refused map[reply.Reason]int
}

func newHarness(slots model.SlotCount) *harness {
	h := &harness{table: &route.Table{Self: "a", DataCentre: "library", SkipProbe: true}, refused: map[reply.Reason]int{}}
	h.queue = &queue.Queue{Acquire: h.table.Acquire, Slots: h.table.Slots, UsableEndpoints: h.table.UsableEndpoints}
	h.table.OnSlotFree = h.queue.StartQueued
	h.table.Update([]vmlist.VM{{Name: "ep", Kind: vmlist.KindEndpoint, Address: "ep:80", DataCentre: "library", Slots: slots}})
	return h
}

// newItem returns an item with the given time left until its deadline.
func newItem(class string, priority model.Priority, customer string, left time.Duration) *queue.Item {
	return &queue.Item{
		Class: model.RequestClassID(class), Customer: model.CustomerID(customer), Priority: priority,
		Timeout: 10 * time.Second, Deadline: time.Now().Add(left),
	}
}

func urgent(left time.Duration) *queue.Item { return newItem("check", model.PriorityUrgent, "a", left) }

func background(left time.Duration) *queue.Item {
	return newItem("tag", model.PriorityBackground, "a", left)
}

// add submits a request with the given service time and waits until it is queued, refused or started.
func (h *harness) add(ctx context.Context, name string, item *queue.Item, service time.Duration) {
	h.group.Go(func() {
		permit, err := h.queue.Wait(ctx, item)
		h.mu.Lock()
		if err != nil {
			h.refused[err.Reason]++
			h.mu.Unlock()
			return
		}
		h.served = append(h.served, name)
		h.mu.Unlock()
		time.Sleep(service)
		permit.Done(service)
		permit.Slot.Done(route.ResultAnswered, route.Report{})
	})
	synctest.Wait()
}
