package serve

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/budget"
)

const (
	// DefaultLinger is the Linger of a Server that sets none.
	DefaultLinger = 250 * time.Millisecond
	// answerMargin is how long before the end of a drain the contexts of unfinished requests end, so that they are still answered, and
	// unused connections close at the latest, so that they are still refused.
	answerMargin = 500 * time.Millisecond
)

// End is how a connection ended while its server drained.
type End string

// Ends of connections.
const (
	EndAnswered End = "answered" // all requests that arrived on it were answered, or the caller closed it
	EndIdle     End = "idle"     // closed by the server, which found no request on it
	EndCut      End = "cut"      // closed by the server with a request unanswered
)

// CutError reports connections that were closed while a request on them had no answer yet.
type CutError struct {
	Server string
	Conns  int
}

// Error names the server and the number of connections.
func (e *CutError) Error() string {
	return fmt.Sprintf("%s: %d connections closed with a request unanswered", e.Server, e.Conns)
}

// StoppingError is the cause with which the contexts of requests end that would outlast the drain of their server.
type StoppingError struct{ Server string }

// Error names the server.
func (e *StoppingError) Error() string { return e.Server + ": the server stops" }

// Server serves HTTP on one listener. Its exported fields must be set before Run is called, which may be called once; the other methods
// may be called from any goroutine.
type Server struct {
	Name     string       // in logs, errors and metrics
	Listener net.Listener // nil for a server that never runs
	// HTTP holds the handler, the timeouts and the limits. Run wraps its Handler, and sets its ConnState, BaseContext and ConnContext.
	HTTP *http.Server
	Log  zerolog.Logger
	// Linger is how long after the listener is closed a new connection without a request stays open; 0 means DefaultLinger. A drain
	// with little time shortens it.
	Linger time.Duration
	// KeepIdle makes Linger hold for connections that wait for a further request, too; otherwise they close before the listener.
	KeepIdle bool
	// Refuse answers a request that arrives while the drain closes its idle connection, which no handler sees. The answer is written to
	// each such connection, since it can't be known whether a request is on its way. Nil closes them without an answer.
	Refuse func(http.ResponseWriter)
	// Observe is called with the end of each connection that closes while the server drains; nil for none. It must not block.
	Observe func(End)
	// Bodies bounds the memory of the bodies that ReadBody reads; nil for no limit.
	Bodies *budget.Budget
	// MaxConns bounds the open connections; 0 for no limit. A further one takes the place of a connection whose request is not whole, or
	// of an idle one.
	MaxConns int
	// ObserveShed is called with each refused body and each connection that is closed for MaxConns; nil for none. It must not block.
	ObserveShed func(Shed)

	draining    atomic.Bool
	shedSampler zerolog.BurstSampler // of the lines on what was shed

	mu             sync.Mutex    // guards the fields below
	running        chan struct{} // closed by Run; see awaitRun
	listener       *listener     // nil until Run
	listenerClosed chan struct{}
	cancelRequests context.CancelCauseFunc
	conns          map[*conn]bool
	connClosed     chan struct{} // closed and replaced when a connection has closed
	evicting       int           // connections in conns that are closed to make room
	ends           map[End]int   // of connections that closed since the drain began
	drainedEarly   bool          // the time of a Drain ended before Run
}

// SetDraining makes each answer close its connection; requests on open and on new connections are still served.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Run serves until ctx ends, and then closes the connections that are still open. After Drain it accepts no more connections, and it
// still waits for ctx.
func (s *Server) Run(ctx context.Context) error {
	closed, cancelRequests := s.prepare(ctx)
	defer cancelRequests(nil)
	served := make(chan error, 1)
	go func() {
		served <- s.HTTP.Serve(s.listener)
		close(closed)
	}()
	var err error
	select {
	case err = <-served:
		if s.listener.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
			err = nil
			<-ctx.Done()
		}
	case <-ctx.Done():
	}
	closeErr := s.closeAll()
	<-closed
	return errors.Join(eris.Wrapf(err, "serving %s", s.Name), closeErr)
}

// prepare sets the HTTP server up. It returns the channel that is closed when no connection is accepted any more, and a function that
// ends the contexts of all requests.
func (s *Server) prepare(ctx context.Context) (listenerClosed chan struct{}, cancelRequests context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requestCtx, cancelRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	s.cancelRequests = cancelRequests
	s.conns, s.ends = map[*conn]bool{}, map[End]int{}
	s.connClosed, s.listenerClosed = make(chan struct{}), make(chan struct{})
	s.listener = &listener{Listener: s.Listener, server: s}
	s.HTTP.Handler = s.closeWhileDraining(s.HTTP.Handler)
	s.HTTP.BaseContext = func(net.Listener) context.Context { return requestCtx }
	s.HTTP.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.shedSampler.Burst, s.shedSampler.Period = maxShedLines, shedPeriod
	s.HTTP.ConnState = func(c net.Conn, state http.ConnState) {
		if tracked, ok := c.(*conn); ok {
			tracked.setState(state)
		}
	}
	if s.drainedEarly {
		s.listener.stop()
	}
	close(s.runningLocked())
	return s.listenerClosed, cancelRequests
}

// closeWhileDraining makes the answers of a handler close their connections once the server drains.
func (s *Server) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if c := connOf(r.Context()); c != nil {
			c.beginRequest(r.ContentLength != 0)
			defer c.releaseBody()
		}
		handler.ServeHTTP(w, r)
	})
}

// Drain stops accepting connections, answers the requests that have arrived, and closes connections on which none arrives within Linger.
// The contexts of requests end shortly before ctx does. It returns once all connections are closed, or a CutError when ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.SetDraining()
	if !s.awaitRun(ctx) {
		return nil
	}
	s.mu.Lock()
	closed, cancelRequests := s.listenerClosed, s.cancelRequests
	s.mu.Unlock()
	if end, ok := ctx.Deadline(); ok {
		timer := time.AfterFunc(time.Until(end.Add(-answerMargin)), func() { cancelRequests(&StoppingError{Server: s.Name}) })
		defer timer.Stop()
	}
	s.logStep("accepts no more connections")
	if !s.KeepIdle {
		s.closeUnused((*conn).wasUsed)
	}
	s.listener.stop()
	select {
	case <-closed:
	case <-ctx.Done():
	}
	err := s.closeConns(ctx)
	s.logStep("drained")
	return err
}

// awaitRun waits until Run has been called, since a stop may overtake the start of a server. It reports false if ctx ends first; a later
// Run then only serves the connections that wait to be accepted.
func (s *Server) awaitRun(ctx context.Context) bool {
	if s.Listener == nil {
		return false
	}
	s.mu.Lock()
	running := s.runningLocked()
	s.mu.Unlock()
	select {
	case <-running:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedEarly = s.listener == nil
	return !s.drainedEarly
}

// runningLocked returns the channel that Run closes; s.mu is held.
func (s *Server) runningLocked() chan struct{} {
	if s.running == nil {
		s.running = make(chan struct{})
	}
	return s.running
}

// closeConns waits until the connections are closed by their answers, and closes those without a request after Linger.
func (s *Server) closeConns(ctx context.Context) error {
	if s.waitClosed(ctx, s.linger(ctx)) {
		return nil
	}
	s.logStep("closes connections without a request")
	s.closeUnused(func(*conn) bool { return true })
	if s.waitClosed(ctx, noTimeout) {
		return nil
	}
	return s.closeAll()
}

// logStep logs a step of the drain, with the connections that are open and those that have ended so far.
func (s *Server) logStep(step string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unanswered := 0
	for c := range s.conns {
		if c.isBusy() {
			unanswered++
		}
	}
	s.Log.Info().Str("server", s.Name).Int("open", len(s.conns)).Int("unanswered", unanswered).Int("answered", s.ends[EndAnswered]).
		Int("idle", s.ends[EndIdle]).Int("cut", s.ends[EndCut]).Msg("serve: " + step)
}

// linger returns Linger, or less where that would not leave answerMargin of the drain's time.
func (s *Server) linger(ctx context.Context) time.Duration {
	linger := DefaultLinger
	if s.Linger > 0 {
		linger = s.Linger
	}
	if end, ok := ctx.Deadline(); ok {
		linger = min(linger, max(0, time.Until(end)-answerMargin))
	}
	return linger
}

// closeUnused closes the chosen connections as soon as no request is waiting on them: now, or after their next answer.
func (s *Server) closeUnused(choose func(*conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if choose(c) {
			c.closeWhenUnused()
		}
	}
}

const noTimeout = time.Duration(math.MaxInt64)

// waitClosed waits until all connections are closed, and reports whether they are. It gives up after timeout or when ctx ends.
func (s *Server) waitClosed(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		s.mu.Lock()
		open, changed := len(s.conns), s.connClosed
		s.mu.Unlock()
		if open == 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// closeAll closes the listener and all connections. It returns a CutError if a request was unanswered.
func (s *Server) closeAll() error {
	s.mu.Lock()
	for c := range s.conns {
		c.markCut()
	}
	s.mu.Unlock()
	if err := s.HTTP.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrapf(err, "closing %s", s.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends[EndCut] == 0 {
		return nil
	}
	return &CutError{Server: s.Name, Conns: s.ends[EndCut]}
}

// remove forgets a connection that is closed.
func (s *Server) remove(c *conn, end End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns[c] {
		return
	}
	delete(s.conns, c)
	if c.isEvicted() {
		s.evicting--
	}
	close(s.connClosed)
	s.connClosed = make(chan struct{})
	if end != EndCut && !s.draining.Load() {
		return
	}
	s.ends[end]++
	if s.Observe != nil {
		s.Observe(end)
	}
}
