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
	table := &route.Table{Self: "a", DataCentre: "library", SkipProbe: true}
	var vms []vmlist.VM
	for i := range 50 {
		name := fmt.Sprintf("ep-%d", i)
		vms = append(vms, vmlist.VM{Name: name, Kind: vmlist.KindEndpoint, Address: name, DataCentre: "library", Slots: 8})
	}
	table.Update(vms)
	q := &queue.Queue{Acquire: table.Acquire, Slots: table.Slots, UsableEndpoints: table.UsableEndpoints}
	table.OnSlotFree = q.StartQueued
	b.ReportAllocs()
	for b.Loop() {
		item := &queue.Item{
			Class: "check", Customer: "a", Priority: model.PriorityUrgent, Timeout: time.Second, Deadline: time.Now().Add(time.Second),
		}
		permit, err := q.Wait(context.Background(), item)
		if err != nil {
			b.Fatal(err)
		}
		permit.Slot.Done(route.ResultAnswered, route.Report{Present: true, Slots: 8})
		permit.Done(time.Millisecond)
	}
}
