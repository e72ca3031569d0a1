package serve

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// backlogTimeout is how long a stopping listener goes on accepting before it looks whether connections still wait.
	backlogTimeout = 20 * time.Millisecond
	// maxBacklogTime bounds that in all where the packet filter is not available: new connections may never cease, and the requests
	// that were read need the rest of the drain.
	maxBacklogTime = 200 * time.Millisecond
)

// listener accepts the connections of a Server. It can stop without resetting connections that wait to be accepted.
type listener struct {
	net.Listener
	server   *Server
	stopping atomic.Bool
	closeBy  atomic.Pointer[time.Time] // when a stopping listener closes at the latest; nil for no limit
	once     sync.Once
	closeErr error
}

// stop refuses further connections, accepts those that wait in the kernel's backlog and closes the listener. Only the first call has an
// effect.
func (l *listener) stop() {
	if l.stopping.Swap(true) {
		return
	}
	if err := l.dropHandshakes(); err != nil {
		closeBy := time.Now().Add(maxBacklogTime)
		l.closeBy.Store(&closeBy)
		l.server.Log.Info().Err(err).Str("server", l.server.Name).Msg("serve: connections made while the listener closes may be reset")
	}
	if !l.acceptUntil(time.Now().Add(backlogTimeout)) {
		l.closeQuietly()
	}
}

// acceptUntil bounds the time of Accept, and reports whether the listener can do that.
func (l *listener) acceptUntil(deadline time.Time) bool {
	withDeadline, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && withDeadline.SetDeadline(deadline) == nil
}

// Accept returns the next connection, or net.ErrClosed once the listener has stopped and no connection waits to be accepted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		switch {
		case err == nil:
			c := &conn{Conn: accepted, server: l.server, since: time.Now()}
			if l.server.add(c) {
				return c, nil
			}
		case !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case !l.mayAccept() || !l.hasWaiting() || !l.acceptUntil(time.Now().Add(backlogTimeout)):
			l.closeQuietly()
			return nil, net.ErrClosed
		}
	}
}

// mayAccept reports whether a stopping listener has time for further connections.
func (l *listener) mayAccept() bool {
	closeBy := l.closeBy.Load()
	return closeBy == nil || time.Now().Before(*closeBy)
}

// Close closes the listener once; later calls wait for the first one and return its error.
func (l *listener) Close() error {
	l.once.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

func (l *listener) closeQuietly() {
	if err := l.Close(); err != nil {
		return // The listener was already closed.
	}
}

// control calls fn with the listener's descriptor. Listeners without one return errors.ErrUnsupported.
func (l *listener) control(fn func(fd int) error) error {
	withDescriptor, ok := l.Listener.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return err
	}
	var fnErr error
	err = raw.Control(func(fd uintptr) { fnErr = fn(int(fd)) })
	return errors.Join(err, fnErr)
}

// hasWaiting reports whether the kernel holds connections that are not accepted yet.
func (l *listener) hasWaiting() bool {
	waiting := 0
	err := l.control(func(fd int) (err error) {
		waiting, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) //nolint:gosec // descriptors are small
		return err
	})
	return err == nil && waiting > 0
}

// receiveBuffer bounds the bytes that the kernel keeps of each connection before they are read; they count as memory of the VM. The
// kernel takes twice the value, and its own limit is 6 MB.
const receiveBuffer = 32 << 10

// Listen opens a TCP listener for a Server. Unlike one of net.Listen it does not speak Multipath TCP, whose sockets take no packet filter.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp", address)
}

// limitReceiveBuffer sets the receive buffer that accepted connections inherit. Where that is not possible, the kernel's own holds.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) //nolint:errcheck // See above.
	})
}

const (
	tcpFlagsOffset = 13      // of the flags in a TCP header
	tcpFlagSYN     = 2       // set in the first packet of a connection
	keepPacket     = 1 << 18 // bytes of a packet to keep; more than any has
)

// dropHandshakes makes the kernel drop the first packet of new connections, so that none is completed between the last Accept and Close,
// which would reset it. A caller whose packet is dropped sends it again and finds the port closed.
func (l *listener) dropHandshakes() error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: tcpFlagSYN, SkipTrue: 1},
		bpf.RetConstant{Val: keepPacket},
		bpf.RetConstant{Val: 0},
	})
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, 0, len(program))
	for _, in := range program {
		filter = append(filter, unix.SockFilter{Code: in.Op, Jt: in.Jt, Jf: in.Jf, K: in.K})
	}
	attached := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]} //nolint:gosec // four instructions
	return l.control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &attached)
	})
}
