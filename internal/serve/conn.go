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

	"peridotgw.example/peridotgw/internal/budget"
)

// conn is an accepted connection. It knows whether a request on it is unanswered, so that it can be closed at a moment when none is.
type conn struct {
	net.Conn
	server *Server
	lease  *budget.Lease // of the body of the request that is being served; nil without one

	mu           sync.Mutex // guards the fields below
	busy         bool       // bytes of a request have been read, and it is not answered
	used         bool       // a request on it has been answered
	ending       bool       // it closes as soon as no request is waiting on it
	refusing     bool       // a refusal has been written, or is about to be
	cut          bool       // it is closed whether a request is unanswered or not, and without waiting for its caller
	serving      bool       // the whole request has been read, and it is not answered
	evicted      bool       // closed to make room for another connection
	since        time.Time  // when it began to wait for the current request, or for the rest of it
	readDeadline time.Time  // that the HTTP server has set
	writeBefore  time.Time  // deadline of writes that was set; zero for none
	writing      time.Time  // when the write that is going on began; zero without one
}

// Read reads from the connection. One that is ending reports a timeout only after it has looked for bytes that have already arrived, and has
// refused requests that arrive later. This is not left to Close, which the end of a drain calls for one connection after another.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.endsUnused() {
		n, err = readArrived(c.Conn, p)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.server.Refuse != nil {
			c.refuse()
		}
	}
	if n > 0 {
		c.setBusy()
	}
	return n, err
}

// Write writes to the connection. It ends with os.ErrDeadlineExceeded if the caller does not read at the least rate, so that no answer holds
// a connection for good.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.beginWrite(len(p)); err != nil {
		return 0, err
	}
	defer c.endWrite()
	return c.Conn.Write(p)
}

func (c *conn) beginWrite(size int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = time.Now()
	deadline := c.writing.Add(bodyGrace + time.Duration(size)*time.Second/minBodyRate)
	if !c.writeBefore.IsZero() {
		deadline = earlier(deadline, c.writeBefore)
	}
	return c.Conn.SetWriteDeadline(deadline)
}

func (c *conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = time.Time{}
}

// SetWriteDeadline sets a deadline of writes, which holds besides the least rate.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBefore = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBefore = t
	return c.Conn.SetDeadline(t)
}

// readArrived reads bytes that have arrived, without waiting for more. It returns io.EOF at the end of the stream, and
// os.ErrDeadlineExceeded if there is none.
func readArrived(c net.Conn, p []byte) (int, error) {
	withDescriptor, ok := c.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return 0, os.ErrDeadlineExceeded
	}
	n := 0
	var readErr error
	err = raw.Control(func(fd uintptr) { n, readErr = unix.Read(int(fd), p) })
	switch {
	case err != nil || readErr != nil:
		return 0, os.ErrDeadlineExceeded
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
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

// Close closes the connection. At the end of a drain, one that has not been refused is refused without a wait.
func (c *conn) Close() error {
	end := c.end()
	if end == EndIdle && c.isCut() && c.server.Refuse != nil {
		c.refuse()
	}
	c.server.remove(c, end)
	return c.Conn.Close()
}

func (c *conn) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// end returns how a connection that is being closed ends.
func (c *conn) end() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cut && c.busy:
		return EndCut
	case c.ending && !c.busy:
		return EndIdle
	}
	return EndAnswered
}

// refuse writes the refusal, once. If there is time, it waits until the caller closes the connection.
func (c *conn) refuse() {
	begun, wait := c.beginRefusal()
	if !begun {
		return
	}
	answer, err := newRefusal(c.server.Refuse).encode()
	if err != nil {
		c.server.Log.Error().Err(err).Msg("serve: refusal not encoded")
		return
	}
	if c.writeRefusal(answer, wait) != nil {
		return // The caller has left.
	}
	if err := c.CloseWrite(); err != nil || !wait {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) //nolint:errcheck // It ends with the caller or with the deadline.
}

// beginRefusal reports whether a refusal is to be written, and whether there is time to wait for the caller. Later steps of the drain leave
// the deadline of the connection as it is. Nothing begins on a connection that is refused already.
func (c *conn) beginRefusal() (begun, wait bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusing {
		return false, false
	}
	c.refusing = true
	return true, !c.cut
}

// writeRefusal writes a refusal within its time. Without time to wait that is short, and may pass before the write begins where the
// processor is busy; nothing is sent then, and the write is tried again.
func (c *conn) writeRefusal(answer []byte, wait bool) error {
	timeout, attempts := lastRefusalTimeout, lastRefusalAttempts
	if wait {
		timeout, attempts = refusalTimeout, 1
	}
	for {
		if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		attempts--
		n, err := c.Write(answer)
		if n > 0 || attempts == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// markCut records that the connection is about to be closed, whatever is waiting on it or arrives meanwhile.
func (c *conn) markCut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut, c.ending = true, true
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
	c.busy, c.since = true, time.Now()
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
	c.busy, c.serving, c.used, c.since = false, false, true, time.Now()
	if c.ending {
		c.expire()
	}
}

// closeWhenUnused makes the HTTP server close the connection as soon as no request is waiting on it.
func (c *conn) closeWhenUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if !c.busy && !c.refusing {
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
