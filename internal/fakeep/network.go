package fakeep

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Network connects clients to handlers by in-memory pipes, so that whole exchanges run in virtual time. It stays apart from
// memnet, which calls handlers without connections: pipes show clients that keep, reuse and lose real connections.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipes
	dials     int
}

// pipes is a listener whose connections come from Dial.
type pipes struct {
	address pipeAddress
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// pipeAddress tells connections apart, as net.Pipe gives all the same address.
type pipeAddress string

// Network implements net.Addr.
func (a pipeAddress) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddress) String() string { return string(a) }

type pipeConn struct {
	net.Conn
	remote pipeAddress
}

// RemoteAddr returns an address of its own for each connection.
func (c *pipeConn) RemoteAddr() net.Addr { return c.remote }

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*pipes{}} }

// Listen returns a listener for an address.
func (n *Network) Listen(address string) net.Listener {
	listener := &pipes{address: pipeAddress(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = listener
	return listener
}

// Serve answers connections to an address until stop is called.
func (n *Network) Serve(address string, handler http.Handler) (stop func()) {
	listener := n.Listen(address)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Serve always ends with an error, which is that the listener was closed.
		if err := server.Serve(listener); err == nil {
			return
		}
	}()
	return func() {
		if err := server.Close(); err != nil {
			return // The connections are closed in any case.
		}
		<-ended
	}
}

// Dial opens a connection; an address without a listener refuses it.
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
	case listener.conns <- &pipeConn{Conn: server, remote: remote}:
		return client, nil
	case <-listener.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next dialled connection.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr returns the listening address.
func (p *pipes) Addr() net.Addr { return p.address }
