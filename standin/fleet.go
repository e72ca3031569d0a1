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

// kind is the kind of service behind a listener.
type kind string

const (
	kindControl  kind = "control"
	kindStore    kind = "store"
	kindVMList   kind = "vm-list"
	kindWorker   kind = "worker"
	kindEndpoint kind = "endpoint"
)

// machine is one worker or endpoint with its data in the VM list. Other services set only name, kind and address.
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

// handlerBuilders builds the handlers of the fakes; each handler also serves its fault switches under /faults. A nil builder means
// that there is no fake of the kind.
type handlerBuilders struct {
	store    func() http.Handler
	worker   func(machine) http.Handler
	endpoint func(machine) http.Handler
	// vmList is called with all workers and endpoints that are served, with their addresses.
	vmList func([]machine) http.Handler
}

// service is one handler on its own listener.
type service struct {
	machine
	handler  http.Handler
	listener net.Listener
}

// fleet holds all services of the process.
type fleet struct {
	served []*service // the control listener first
	// missing holds the kinds of the layout that have no fake, each once.
	missing []kind
}

const (
	host = "127.0.0.1"
	// writeTimeout exceeds the longest wait of a watch.
	writeTimeout = 2 * time.Minute
	stopTimeout  = 2 * time.Second
)

// listen opens all listeners. A service without a fake in this build still takes up its port, so that the ports of the others
// depend on the layout only.
func listen(ctx context.Context, layout *Layout, build handlerBuilders) (*fleet, error) {
	f := &fleet{}
	port := layout.FirstPort
	openListener := func(m machine, handler http.Handler) error {
		listenPort := port
		if layout.FirstPort > 0 {
			port++
		}
		if handler == nil {
			f.addMissing(m.Kind)
			return nil
		}
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", net.JoinHostPort(host, strconv.Itoa(listenPort)))
		if err != nil {
			return eris.Wrapf(err, "listening for %s", m.Name)
		}
		m.Address = listener.Addr().String()
		f.served = append(f.served, &service{machine: m, handler: handler, listener: listener})
		return nil
	}
	if err := f.openListeners(openListener, layout, build); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// openListeners calls openListener for the control listener, the store, the VM list and all machines, in the order of their ports.
func (f *fleet) openListeners(openListener func(machine, http.Handler) error, layout *Layout, build handlerBuilders) error {
	if err := openListener(machine{Name: "control", Kind: kindControl}, f.controlHandler()); err != nil {
		return err
	}
	if err := openListener(machine{Name: "store", Kind: kindStore}, build.store()); err != nil {
		return err
	}
	// The VM list needs the addresses of the machines, so its handler is set when they are known.
	list := &deferredHandler{}
	var handler http.Handler
	if build.vmList != nil {
		handler = list
	}
	if err := openListener(machine{Name: "vm-list", Kind: kindVMList}, handler); err != nil {
		return err
	}
	for _, m := range layout.machines() {
		if err := openListener(m, build.machine(m)); err != nil {
			return err
		}
	}
	if build.vmList != nil {
		list.Handler = build.vmList(f.machines())
	}
	return nil
}

// deferredHandler is a handler that is set after its listener was opened and before serving starts.
type deferredHandler struct{ http.Handler }

// machine returns the handler of a machine, or nil without a fake for its kind.
func (b handlerBuilders) machine(m machine) http.Handler {
	switch {
	case m.Kind == kindWorker && b.worker != nil:
		return b.worker(m)
	case m.Kind == kindEndpoint && b.endpoint != nil:
		return b.endpoint(m)
	default:
		return nil
	}
}

func (f *fleet) addMissing(missing kind) {
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

func (f *fleet) findService(name string) (*service, bool) {
	i := slices.IndexFunc(f.served, func(s *service) bool { return s.Name == name })
	if i < 0 {
		return nil, false
	}
	return f.served[i], true
}

// baseURL returns the base URL of the first service of a kind, or "-" when none is served.
func (f *fleet) baseURL(wanted kind) string {
	i := slices.IndexFunc(f.served, func(s *service) bool { return s.Kind == wanted })
	if i < 0 {
		return "-"
	}
	return "http://" + f.served[i].Address
}

// serve serves on all listeners until ctx ends, and then waits up to stopTimeout for requests in flight.
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
			// A waiting watch may outlast stopTimeout, so the remaining connections are closed.
			if err := server.Shutdown(stopCtx); err != nil {
				return server.Close()
			}
			return nil
		})
	}
	return group.Wait()
}

// close closes listeners that were never served; errors are ignored because the process ends.
func (f *fleet) close() {
	for _, s := range f.served {
		if err := s.listener.Close(); err != nil {
			continue
		}
	}
}
