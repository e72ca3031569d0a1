package queue_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
)

// BenchmarkWait measures admission and the acquisition and release of a slot with 50 endpoints and nothing queued.
func BenchmarkWait(b *testing.B) {
	table := &route.Table{Self: "a", DataCentre: "library", Trust: true}
	var vms []vmlist.VM
	for i := range 50 {
		name := fmt.Sprintf("ep-%d", i)
		vms = append(vms, vmlist.VM{Name: name, Kind: vmlist.KindEndpoint, Address: name, DataCentre: "library", Slots: 8})
	}
	table.Update(vms)
	q := &queue.Queue{Acquire: table.Acquire, Slots: table.Slots, Usable: table.Usable}
	table.OnFree = q.Kick
	b.ReportAllocs()
	for b.Loop() {
		item := &queue.Item{
			Class: "check", Customer: "a", Priority: model.PriorityUrgent, Timeout: time.Second, Deadline: time.Now().Add(time.Second),
		}
		ticket, err := q.Wait(context.Background(), item)
		if err != nil {
			b.Fatal(err)
		}
		ticket.Pick.Done(route.VerdictAnswered, route.Report{Present: true, Slots: 8})
		ticket.Done(time.Millisecond)
	}
}
