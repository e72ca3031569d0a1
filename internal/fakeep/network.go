package fakeep

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Network connects clients to HTTP servers by in-memory pipes, so that tests run in virtual time. Unlike memnet, which calls
// handlers without connections, it shows how clients keep, reuse and lose connections. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dials     int
}

// pipeListener is a listener whose connections come from Dial.
type pipeListener struct {
	address pipeAddress
	dialled chan net.Conn
	closed  chan struct{}
	// closeOnce makes Close idempotent.
	closeOnce sync.Once
}

// pipeAddress distinguishes connections; net.Pipe gives all of them the same address.
type pipeAddress string

// Network implements net.Addr.
func (a pipeAddress) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddress) String() string { return string(a) }

type pipeConn struct {
	net.Conn
	remote pipeAddress
}

// RemoteAddr returns an address that is unique to the connection.
func (c *pipeConn) RemoteAddr() net.Addr { return c.remote }

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*pipeListener{}} }

// Listen returns a listener for an address; it replaces an earlier one.
func (n *Network) Listen(address string) net.Listener {
	listener := &pipeListener{address: pipeAddress(address), dialled: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = listener
	return listener
}

// Serve serves handler at an address until stop is called; stop closes all connections and waits for the server to end.
func (n *Network) Serve(address string, handler http.Handler) (stop func()) {
	listener := n.Listen(address)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Serve always returns an error; here it is that the server was closed.
		if err := server.Serve(listener); err == nil {
			return
		}
	}()
	return func() {
		if err := server.Close(); err != nil {
			return // The connections are closed even so.
		}
		<-ended
	}
}

// Dial opens a connection and waits until it is accepted; it is refused when nothing listens at the address.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[address]
	n.dials++
	remote := pipeAddress(fmt.Sprintf("client-%d", n.dials))
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: pipeAddress(address), Err: net.ErrClosed}
	if listener == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case listener.dialled <- &pipeConn{Conn: server, remote: remote}:
		return client, nil
	case <-listener.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.dialled:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and refuses further connections.
func (p *pipeListener) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

// Addr returns the listening address.
func (p *pipeListener) Addr() net.Addr { return p.address }
