package serve

import (
	"errors"
	"net"
	"time"
)

const (
	// incompleteTime is how long a connection may wait for a whole request, or for its caller to read, before it gives way to a new one
	// ahead of idle ones.
	incompleteTime = 500 * time.Millisecond
	// maxShedLines bounds the lines on refused bodies and closed connections in shedPeriod; the metrics count all.
	maxShedLines = 5
	shedPeriod   = time.Second
)

// add records an accepted connection. At MaxConns it closes another one, or the new one if all others are serving requests; it reports
// false then.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConns > 0 && len(s.conns)-s.evicting >= s.MaxConns && !s.evictOne() {
		closeQuietly(c.Conn)
		s.shed(ShedConnFull)
		return false
	}
	s.conns[c] = true
	return true
}

// evictOne closes the connection that has waited longest for the rest of its request or for its caller to read the answer, or else the one
// that has been idle longest, or else the one whose request began first. It reports false if all are serving requests; s.mu is held.
func (s *Server) evictOne() bool {
	var stalled, idle, incomplete *conn
	before := time.Now().Add(-incompleteTime)
	for c := range s.conns {
		waiting, unused := c.waiting()
		switch {
		case waiting.IsZero():
		case unused:
			idle = longerWaiting(idle, c, waiting)
		case waiting.Before(before):
			stalled = longerWaiting(stalled, c, waiting)
		default:
			incomplete = longerWaiting(incomplete, c, waiting)
		}
	}
	reason := ShedConnIncomplete
	chosen := stalled
	switch {
	case stalled == nil && idle != nil:
		chosen, reason = idle, ShedConnIdle
	case stalled == nil:
		chosen = incomplete
	}
	if chosen == nil {
		return false
	}
	chosen.markEvicted()
	s.evicting++
	closeQuietly(chosen.Conn) // The HTTP server finds it closed and removes it.
	s.shed(reason)
	return true
}

// longerWaiting returns the connection that has waited longer; since is that of candidate.
func longerWaiting(best, candidate *conn, since time.Time) *conn {
	if best != nil {
		if bestSince, _ := best.waiting(); !bestSince.After(since) {
			return best
		}
	}
	return candidate
}

// shed counts a refused body or a closed connection, and logs some of them.
func (s *Server) shed(reason Shed) {
	if s.ObserveShed != nil {
		s.ObserveShed(reason)
	}
	log := s.Log.Sample(&s.shedSampler)
	log.Info().Str("server", s.Name).Str("reason", string(reason)).Msg("serve: refused to keep the limits")
}

// waiting returns since when the connection has waited for its caller to send or to read, and whether it is idle between two requests. The
// time is zero while a request is being served, and once it is closed to make room.
func (c *conn) waiting() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.evicted, c.refusing:
		return time.Time{}, false
	case !c.writing.IsZero() && time.Since(c.writing) > incompleteTime:
		return c.writing, false
	case c.serving:
		return time.Time{}, false
	}
	return c.since, c.used && !c.busy
}

// beginRequest records that the headers of a request have been read. One without a body is whole; a body that its handler does not read
// must arrive within bodyGrace.
func (c *conn) beginRequest(withBody bool) {
	if withBody {
		c.limitRead(time.Now().Add(bodyGrace))
		return
	}
	c.setServing()
}

// setServing records that the whole request has been read.
func (c *conn) setServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
}

func (c *conn) markEvicted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

func closeQuietly(c net.Conn) {
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return // The kernel has ended the connection.
	}
}
