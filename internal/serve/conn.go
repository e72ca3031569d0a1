package serve

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is an accepted connection. It knows whether a request on it is unanswered, so that it can be closed at a moment when none is.
type conn struct {
	net.Conn
	server *Server

	mu           sync.Mutex // guards the fields below
	busy         bool       // bytes of a request have been read, and it is not answered
	used         bool       // a request on it has been answered
	ending       bool       // it closes as soon as no request is waiting on it
	cut          bool       // it is closed although a request may be unanswered
	noTimeLeft   bool       // it is closed without waiting for its caller
	closing      bool       // Close has been called
	readDeadline time.Time  // that the HTTP server has set
}

// Read reads from the connection. One that is ending reports a timeout only after it has looked for bytes that have already arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.endsUnused() {
		if n = readArrived(c.Conn, p); n > 0 {
			err = nil
		}
	}
	if n > 0 {
		c.setBusy()
	}
	return n, err
}

// readArrived reads bytes that have arrived, without waiting for more. It returns their number, also when there is none.
func readArrived(c net.Conn, p []byte) int {
	withDescriptor, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	var readErr error
	err = raw.Control(func(fd uintptr) { n, readErr = unix.Read(int(fd), p) })
	if err != nil || readErr != nil {
		return 0
	}
	return n
}

func (c *conn) endsUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && !c.busy
}

// SetReadDeadline sets the deadline of reads, except on a connection that is ending.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending && !c.busy {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite sends the end of the stream, where the connection can.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// Close closes the connection. One that ends without a request is refused first, so that a request which arrives just now is answered, too.
func (c *conn) Close() error {
	end, first := c.beginClose()
	if first && end == EndIdle && c.server.Refuse != nil {
		c.refuse()
	}
	c.server.remove(c, end)
	return c.Conn.Close()
}

// beginClose returns how a connection that is being closed ends, and whether this is its first close.
func (c *conn) beginClose() (end End, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, c.closing = !c.closing, true
	switch {
	case c.cut:
		return EndCut, first
	case c.ending && !c.busy:
		return EndIdle, first
	}
	return EndAnswered, first
}

// refuse writes the refusal. If there is time, it waits until the caller closes the connection.
func (c *conn) refuse() {
	timeout := refusalTimeout
	wait := c.hasTimeLeft()
	if !wait {
		timeout = lastRefusalTimeout
	}
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return // The connection is closed.
	}
	if err := newRefusal(c.server.Refuse).send(c.Conn); err != nil {
		return // The caller has left.
	}
	if err := c.CloseWrite(); err != nil || !wait {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) //nolint:errcheck // It ends with the caller or with the deadline.
}

func (c *conn) hasTimeLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.noTimeLeft
}

// markLast records that the connection is about to be closed, whatever is waiting on it.
func (c *conn) markLast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut, c.ending, c.noTimeLeft = c.busy, true, true
}

// wasUsed reports whether a request on the connection has been answered.
func (c *conn) wasUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// setBusy records that a request has begun to arrive.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.busy = true
	if c.ending {
		c.restoreDeadline()
	}
}

// setState follows the states that the HTTP server reports.
func (c *conn) setState(state http.ConnState) {
	if state == http.StateActive {
		c.setBusy() // Its request may have been buffered behind the last one.
	}
	if state != http.StateIdle && state != http.StateClosed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.used = false, true
	if c.ending {
		c.expire()
	}
}

// closeWhenUnused makes the HTTP server close the connection as soon as no request is waiting on it.
func (c *conn) closeWhenUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if !c.busy {
		c.expire()
	}
}

// expire ends the read that is waiting for a request; c.mu is held.
func (c *conn) expire() {
	if err := c.Conn.SetReadDeadline(time.Now()); err != nil {
		return // The connection is closed.
	}
}

// restoreDeadline sets the deadline that the HTTP server has asked for; c.mu is held.
func (c *conn) restoreDeadline() {
	if err := c.Conn.SetReadDeadline(c.readDeadline); err != nil {
		return // The connection is closed.
	}
}
