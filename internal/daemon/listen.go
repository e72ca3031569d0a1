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
)

// listeners are the sockets of an instance; they are nil when a spec carries the calls itself.
type listeners struct {
	callers, operators, peers, metrics net.Listener
	peerMux                            *http.ServeMux
}

func (l *listeners) open(settings *params.Settings) error {
	for _, one := range []struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"callers", settings.Listen.Callers, &l.callers},
		{"operators", settings.Listen.Operators, &l.operators},
		{"peers", settings.Listen.Peers, &l.peers},
		{"metrics", settings.Listen.Metrics, &l.metrics},
	} {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", one.address)
		if err != nil {
			l.close()
			return eris.Wrapf(err, "listening for %s", one.name)
		}
		*one.into = listener
	}
	return nil
}

// close closes what the servers have not closed.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers, l.metrics} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			continue // The process ends; the kernel closes the socket.
		}
	}
}

func (l *listeners) advertisePeers(settings *params.Settings) string {
	return advertised(settings.Advertise.Peers, l.peers)
}

func (l *listeners) advertiseCallers(settings *params.Settings) string {
	return advertised(settings.Advertise.Callers, l.callers)
}

// advertised returns the set address, or the one that the kernel chose when the settings leave it open.
func advertised(address string, listener net.Listener) string {
	if address != "" || listener == nil {
		return address
	}
	return listener.Addr().String()
}

// httpService serves handler on a listener; without one, it is only a name.
func (d *Daemon) httpService(name kernel.Name, listener net.Listener, handler http.Handler, needs ...kernel.Name) kernel.Service {
	service := kernel.Service{Name: name, Needs: needs, Value: handler}
	if listener == nil {
		return service
	}
	limits := d.Settings.Limits
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: limits.HeaderTimeout.Std(), ReadTimeout: limits.BodyTimeout.Std(),
		IdleTimeout: limits.IdleTimeout.Std(), MaxHeaderBytes: limits.HeaderBytes,
	}
	service.Run = func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serving %s", name)
		}
		return nil
	}
	service.Stop = func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, serverStopTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			return eris.Wrap(server.Close(), "closing connections that did not end")
		}
		return nil
	}
	return service
}

// serverStopTimeout bounds how long operators' and peers' calls may take to end in a planned stop.
const serverStopTimeout = 2 * time.Second

func timeoutClient(transport http.RoundTripper, timeout time.Duration) *http.Client {
	return &http.Client{Transport: transport, Timeout: timeout}
}

// ReadyLine names the addresses that the instance listens on.
func (d *Daemon) ReadyLine() string {
	l := &d.listeners
	return fmt.Sprintf("ready callers=%s operators=%s peers=%s metrics=%s",
		l.callers.Addr(), l.operators.Addr(), l.peers.Addr(), l.metrics.Addr())
}
