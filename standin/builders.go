package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/fakevm"
	"peridotgw.example/peridotgw/internal/fakewk"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
)

// Behaviour of the fakes without faults.
const (
	// serviceTime is the service time of a request at an endpoint.
	serviceTime = 20 * time.Millisecond
	// checkpointTime is the time that a worker takes to checkpoint a task.
	checkpointTime = 500 * time.Millisecond
)

// defaultBuilders returns builders for all fakes.
func defaultBuilders() handlerBuilders {
	return handlerBuilders{
		store:    func() http.Handler { return fakekv.New() },
		worker:   newWorker,
		endpoint: newEndpoint,
		vmList:   newVMList,
	}
}

func newWorker(m machine) http.Handler {
	worker := fakewk.New(model.WorkerID(m.Name), m.Accelerators)
	worker.CheckpointTime = checkpointTime
	return worker
}

func newEndpoint(m machine) http.Handler {
	endpoint := fakeep.New(m.Slots)
	endpoint.Incarnation = incarnation()
	endpoint.ServiceTime = func(model.RequestClassID) time.Duration { return serviceTime }
	return endpoint
}

func newVMList(machines []machine) http.Handler {
	vms := make([]vmlist.VM, 0, len(machines))
	for _, m := range machines {
		vms = append(vms, vmlist.VM{
			Name: m.Name, Kind: vmlist.Kind(m.Kind), Address: m.Address, DataCentre: m.DataCentre, Rack: m.Rack,
			Accelerators: m.Accelerators, Cores: m.Cores, MemoryMB: m.MemoryMB, Slots: m.Slots,
			State: vmlist.StateLive, Incarnation: incarnation(),
		})
	}
	return fakevm.New(vms...)
}

// incarnation returns the process ID: all that this process serves starts and ends with it.
func incarnation() model.Incarnation { return model.Incarnation(fmt.Sprint(os.Getpid())) }
