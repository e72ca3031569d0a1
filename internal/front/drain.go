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

// DefaultLinger is how long connections that are idle when accepting stops stay open: a caller that sends on one of them
// meanwhile still gets its answer, and is told to close it.
const DefaultLinger = 2 * time.Second

// acceptRest is how long connections that callers have already opened are accepted after Drain.
const acceptRest = 100 * time.Millisecond

// SetDraining makes each answer close its connection. Requests are still served, on old and on new connections, until Drain.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Drain stops accepting connections, finishes what is in flight, and returns when that is done or ctx ends. Connections
// that are idle are closed after Linger.
func (s *Server) Drain(ctx context.Context) error {
	s.SetDraining()
	s.mu.Lock()
	s.drained = true
	server, accepting := s.server, s.listener
	s.mu.Unlock()
	if server != nil {
		if err := s.drainServer(ctx, server, accepting); err != nil {
			return err
		}
	}
	return s.finishInFlight(ctx)
}

func (s *Server) drainServer(ctx context.Context, server *http.Server, accepting *listener) error {
	accepting.stop()
	linger := s.Linger
	if linger <= 0 {
		linger = DefaultLinger
	}
	timer := time.NewTimer(linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	shut := s.Shut
	if shut == nil {
		shut = func(ctx context.Context, server *http.Server) error { return server.Shutdown(ctx) }
	}
	if err := shut(ctx, server); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "draining callers")
	}
	return nil
}

// finishInFlight waits for handlers, and for outcomes of claims that are still being written.
func (s *Server) finishInFlight(ctx context.Context) error {
	if err := s.inFlight.wait(ctx); err != nil {
		return eris.Wrap(err, "draining callers")
	}
	return nil
}

// listener can stop without losing connections that the kernel has already accepted.
type listener struct {
	net.Listener
	stopping atomic.Bool
	once     sync.Once
	closeErr error
}

// stop accepts the connections that are waiting and closes the listener then.
func (l *listener) stop() {
	if l.stopping.Swap(true) {
		return
	}
	if limited, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		if err := limited.SetDeadline(time.Now().Add(acceptRest)); err == nil {
			return
		}
	}
	l.shut()
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		l.shut()
		return nil, net.ErrClosed
	}
	return c, err
}

// Close closes the listener once; later calls wait until that is done.
func (l *listener) Close() error {
	l.once.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

func (l *listener) shut() {
	if err := l.Close(); err != nil {
		return // It was closed already.
	}
}
