package front

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// DefaultIdleLinger is how long idle connections stay open after Drain is called. A request on one of them is still answered, with
// a header that closes the connection.
const DefaultIdleLinger = 2 * time.Second

// SetDraining makes each answer close its connection. Requests on existing and new connections are still served until Drain.
func (s *Server) SetDraining() { s.httpServer().SetDraining() }

// Drain stops accepting connections and waits until the requests that have arrived are answered or ctx ends. Connections without a
// request are closed after IdleLinger.
func (s *Server) Drain(ctx context.Context) error {
	server := s.httpServer()
	server.Linger = s.IdleLinger
	if server.Linger <= 0 {
		server.Linger = DefaultIdleLinger
	}
	if err := server.Drain(ctx); err != nil {
		return eris.Wrap(err, "draining callers")
	}
	return s.waitInFlight(ctx)
}

// waitInFlight waits for handlers and for writes of claim outcomes.
func (s *Server) waitInFlight(ctx context.Context) error {
	if err := s.inFlight.waitIdle(ctx); err != nil {
		return eris.Wrap(err, "draining callers")
	}
	return nil
}
