package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// DefaultIdleLinger is how long idle connections stay open after Drain is called. A request on one of them is still answered, with
// a header that closes the connection.
const DefaultIdleLinger = 2 * time.Second

// backlogTimeout is how long Drain goes on accepting connections from the kernel's backlog.
const backlogTimeout = 100 * time.Millisecond

// SetDraining makes each answer close its connection. Requests on existing and new connections are still served until Drain.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Drain stops accepting connections and waits until in-flight requests are answered or ctx ends. Idle connections are closed
// after IdleLinger.
func (s *Server) Drain(ctx context.Context) error {
	s.SetDraining()
	s.mu.Lock()
	s.drainStarted = true
	server, incoming := s.server, s.drainListener
	s.mu.Unlock()
	if server != nil {
		if err := s.drainServer(ctx, server, incoming); err != nil {
			return err
		}
	}
	return s.waitInFlight(ctx)
}

// drainServer stops accepting, waits for IdleLinger and shuts the HTTP server down.
func (s *Server) drainServer(ctx context.Context, server *http.Server, incoming *drainListener) error {
	incoming.stop()
	linger := s.IdleLinger
	if linger <= 0 {
		linger = DefaultIdleLinger
	}
	timer := time.NewTimer(linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	shutDown := s.ShutdownHTTP
	if shutDown == nil {
		shutDown = func(ctx context.Context, server *http.Server) error { return server.Shutdown(ctx) }
	}
	if err := shutDown(ctx, server); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "draining callers")
	}
	return nil
}

// waitInFlight waits for handlers and for writes of claim outcomes.
func (s *Server) waitInFlight(ctx context.Context) error {
	if err := s.inFlight.waitIdle(ctx); err != nil {
		return eris.Wrap(err, "draining callers")
	}
	return nil
}

// drainListener can stop without resetting connections in the kernel's backlog.
type drainListener struct {
	net.Listener
	stopping atomic.Bool
	once     sync.Once
	closeErr error
}

// stop accepts connections from the backlog for backlogTimeout and then closes the listener. Only the first call has an effect.
func (l *drainListener) stop() {
	if l.stopping.Swap(true) {
		return
	}
	if withDeadline, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		if err := withDeadline.SetDeadline(time.Now().Add(backlogTimeout)); err == nil {
			return
		}
	}
	l.closeQuietly()
}

// Accept returns the next connection, or net.ErrClosed when the listener has stopped.
func (l *drainListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		l.closeQuietly()
		return nil, net.ErrClosed
	}
	return c, err
}

// Close closes the listener once; later calls wait for the first one and return its error.
func (l *drainListener) Close() error {
	l.once.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

func (l *drainListener) closeQuietly() {
	if err := l.Close(); err != nil {
		return // The listener was already closed.
	}
}
