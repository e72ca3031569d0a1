package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/kernel"
	"peridotgw.example/peridotgw/internal/params"
	"peridotgw.example/peridotgw/internal/serve"
)

// listeners are the listening sockets of an instance; all are nil if a spec provides the transport.
type listeners struct {
	callers, operators, peers, metrics net.Listener
	peerMux                            *http.ServeMux
}

// open opens all listeners; after an error, none is open.
func (l *listeners) open(settings *params.Settings) error {
	for _, spec := range []struct {
		name    string
		address string
		target  *net.Listener
	}{
		{"callers", settings.Listen.Callers, &l.callers},
		{"operators", settings.Listen.Operators, &l.operators},
		{"peers", settings.Listen.Peers, &l.peers},
		{"metrics", settings.Listen.Metrics, &l.metrics},
	} {
		listener, err := serve.Listen(context.Background(), spec.address)
		if err != nil {
			l.close()
			return eris.Wrapf(err, "listening for %s", spec.name)
		}
		*spec.target = listener
	}
	return nil
}

// close closes the listeners that the servers have not closed.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers, l.metrics} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			continue // The process is ending; the operating system closes the socket.
		}
	}
}

func (l *listeners) advertisedPeerAddress(settings *params.Settings) string {
	return advertisedAddress(settings.Advertise.Peers, l.peers)
}

func (l *listeners) advertisedCallerAddress(settings *params.Settings) string {
	return advertisedAddress(settings.Advertise.Callers, l.callers)
}

// advertisedAddress returns the configured address or, if it is empty, the one that the operating system assigned to the listener.
func advertisedAddress(address string, listener net.Listener) string {
	if address != "" || listener == nil {
		return address
	}
	return listener.Addr().String()
}

// newHTTPService returns a service that serves handler on listener. Without a listener the service only registers handler under name.
func (d *Daemon) newHTTPService(name kernel.Name, listener net.Listener, limit httpLimit, handler http.Handler, needs ...kernel.Name) kernel.Service {
	service := kernel.Service{Name: name, Needs: needs, Value: handler}
	if listener == nil {
		return service
	}
	limits := d.Settings.Limits
	drained := func(end serve.End) { d.Metrics.DrainedConns.WithLabelValues(string(name), string(end)).Inc() }
	server := &serve.Server{
		Name: string(name), Listener: listener, Log: d.Log, Observe: drained, Bodies: limit.bodies, MaxConns: limit.conns,
		ObserveShed: func(reason serve.Shed) { d.Metrics.Shed.WithLabelValues(string(name), string(reason)).Inc() },
		HTTP: &http.Server{
			Handler: handler, ReadHeaderTimeout: limits.HeaderTimeout.Std(), ReadTimeout: limits.BodyTimeout.Std(),
			IdleTimeout: limits.IdleTimeout.Std(), MaxHeaderBytes: limits.HeaderBytes,
		},
	}
	service.Run = func(ctx context.Context) error { return server.Run(ctx) }
	service.Stop = func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, serverShutdownTimeout)
		defer cancel()
		var cut *serve.CutError
		err := server.Drain(ctx)
		if errors.As(err, &cut) {
			d.Log.Warn().Err(err).Msg("daemon: requests cut by the stop")
			return nil
		}
		return err
	}
	return service
}

// serverShutdownTimeout bounds how long a graceful stop waits for calls of operators and peers to end.
const serverShutdownTimeout = 2 * time.Second

func clientWithTimeout(transport http.RoundTripper, timeout time.Duration) *http.Client {
	return &http.Client{Transport: transport, Timeout: timeout}
}

// ReadyLine returns a line with the addresses on which the instance listens. It needs open listeners.
func (d *Daemon) ReadyLine() string {
	l := &d.listeners
	return fmt.Sprintf("ready callers=%s operators=%s peers=%s metrics=%s",
		l.callers.Addr(), l.operators.Addr(), l.peers.Addr(), l.metrics.Addr())
}
