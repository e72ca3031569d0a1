package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/model"
)

// kind tells what a listener stands in for.
type kind string

const (
	kindControl  kind = "control"
	kindStore    kind = "store"
	kindVMList   kind = "vm-list"
	kindWorker   kind = "worker"
	kindEndpoint kind = "endpoint"
)

// machine is one worker or endpoint, with what the VM list tells about it.
type machine struct {
	Name         string             `json:"name"`
	Kind         kind               `json:"kind"`
	Address      string             `json:"address"`
	DataCentre   model.DataCentreID `json:"data-centre,omitempty"`
	Rack         model.RackID       `json:"rack,omitempty"`
	Accelerators model.Accelerators `json:"accelerators,omitempty"`
	Cores        int                `json:"cores,omitempty"`
	MemoryMB     int                `json:"memory-mb,omitempty"`
	Slots        model.SlotCount    `json:"slots,omitempty"`
}

// fakes builds the handlers; each answers the interface of what it stands in for, and its fault switches under /faults.
type fakes struct {
	store    func() http.Handler
	worker   func(machine) http.Handler
	endpoint func(machine) http.Handler
	// vmList gets all workers and endpoints that are served, with their addresses.
	vmList func([]machine) http.Handler
}

// service is one handler on its own listener.
type service struct {
	machine
	handler  http.Handler
	listener net.Listener
}

// fleet holds everything that the process serves.
type fleet struct {
	served []*service
	// missing names the kinds of the layout that have no fake.
	missing []kind
}

const (
	host = "127.0.0.1"
	// writeTimeout is above the longest wait of a watch.
	writeTimeout = 2 * time.Minute
	stopTimeout  = 2 * time.Second
)

// listen opens all listeners; every part of the layout keeps its port even when this build has no fake for it.
func listen(ctx context.Context, layout *Layout, build fakes) (*fleet, error) {
	f := &fleet{}
	port := layout.FirstPort
	open := func(m machine, handler http.Handler) error {
		at := port
		if layout.FirstPort > 0 {
			port++
		}
		if handler == nil {
			f.miss(m.Kind)
			return nil
		}
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", net.JoinHostPort(host, strconv.Itoa(at)))
		if err != nil {
			return eris.Wrapf(err, "listening for %s", m.Name)
		}
		m.Address = listener.Addr().String()
		f.served = append(f.served, &service{machine: m, handler: handler, listener: listener})
		return nil
	}
	if err := f.openAll(open, layout, build); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) openAll(open func(machine, http.Handler) error, layout *Layout, build fakes) error {
	if err := open(machine{Name: "control", Kind: kindControl}, f.control()); err != nil {
		return err
	}
	if err := open(machine{Name: "store", Kind: kindStore}, build.store()); err != nil {
		return err
	}
	// The VM list needs the addresses of the machines, so its handler follows when they are known.
	list := &late{}
	var handler http.Handler
	if build.vmList != nil {
		handler = list
	}
	if err := open(machine{Name: "vm-list", Kind: kindVMList}, handler); err != nil {
		return err
	}
	for _, m := range layout.machines() {
		if err := open(m, build.machine(m)); err != nil {
			return err
		}
	}
	if build.vmList != nil {
		list.Handler = build.vmList(f.machines())
	}
	return nil
}

// late is a handler that is set before serving starts.
type late struct{ http.Handler }

func (b fakes) machine(m machine) http.Handler {
	switch {
	case m.Kind == kindWorker && b.worker != nil:
		return b.worker(m)
	case m.Kind == kindEndpoint && b.endpoint != nil:
		return b.endpoint(m)
	default:
		return nil
	}
}

func (f *fleet) miss(missing kind) {
	if !slices.Contains(f.missing, missing) {
		f.missing = append(f.missing, missing)
	}
}

// machines returns the workers and endpoints that are served.
func (f *fleet) machines() []machine {
	machines := []machine{}
	for _, s := range f.served {
		if s.Kind == kindWorker || s.Kind == kindEndpoint {
			machines = append(machines, s.machine)
		}
	}
	return machines
}

func (f *fleet) find(name string) (*service, bool) {
	i := slices.IndexFunc(f.served, func(s *service) bool { return s.Name == name })
	if i < 0 {
		return nil, false
	}
	return f.served[i], true
}

// url returns the base URL of the only service of a kind, or "-" when it is not served.
func (f *fleet) url(wanted kind) string {
	i := slices.IndexFunc(f.served, func(s *service) bool { return s.Kind == wanted })
	if i < 0 {
		return "-"
	}
	return "http://" + f.served[i].Address
}

// serve answers on all listeners until ctx ends, and then waits a short time for calls in flight.
func (f *fleet) serve(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	for _, s := range f.served {
		server := &http.Server{
			Handler: s.handler, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second,
			WriteTimeout: writeTimeout, IdleTimeout: time.Minute,
		}
		group.Go(func() error {
			if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrapf(err, "serving %s", s.Name)
			}
			return nil
		})
		group.Go(func() error {
			<-groupCtx.Done()
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(groupCtx), stopTimeout)
			defer cancel()
			// Waiting watches do not end on their own, so what is left after the time limit is closed.
			if err := server.Shutdown(stopCtx); err != nil {
				return server.Close()
			}
			return nil
		})
	}
	return group.Wait()
}

// close closes listeners that were never served; errors have no consequence because the process ends.
func (f *fleet) close() {
	for _, s := range f.served {
		if err := s.listener.Close(); err != nil {
			continue
		}
	}
}
