package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass    mode = iota
	delay        // each piece of data takes delayBy
	reset        // connections are reset, new ones too
	silence      // open connections carry nothing any more, new ones work
	cut          // nothing passes and nothing is reset
	oneWay       // answers do not come back
	modes
)

const (
	delayBy     = 120 * time.Millisecond
	proxyBuffer = 16 << 10
)

// proxy forwards connections on loopback to one address.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[*link]bool
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	silent         bool
}

// newProxy starts a proxy for target, and returns a function that ends it.
func newProxy(ctx context.Context, target string) (*proxy, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listening does not block
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{target: target, listener: listener, conns: map[*link]bool{}}
	go p.accept(ctx)
	return p, func() {
		closeAll(listener)
		p.set(reset)
	}, nil
}

func closeAll(closers ...io.Closer) {
	for _, c := range closers {
		_ = c.Close() //nolint:errcheck // It is given up in any case.
	}
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. Reset ends the open connections; silence takes the open ones and spares later ones.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for l := range p.conns {
		switch m {
		case reset:
			closeAll(l.client, l.server)
		case silence:
			l.silent = true
		}
	}
}

func (p *proxy) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, client)
	}
}

func (p *proxy) serve(ctx context.Context, client net.Conn) {
	if p.current() == reset {
		closeAll(client)
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	server, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		closeAll(client)
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.conns[l] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(l, server, client, false) })
	group.Go(func() { p.copy(l, client, server, true) })
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, l)
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// drops reports whether data in a direction goes nowhere now.
func (p *proxy) drops(l *link, back bool) (drop, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.silent || p.mode == cut || p.mode == oneWay && back, p.mode == delay
}

func (p *proxy) copy(l *link, to, from net.Conn, back bool) {
	defer closeAll(to, from)
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			drop, late := p.drops(l, back)
			if late {
				time.Sleep(delayBy)
			}
			if !drop {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					return
				}
			} else {
				l.silent = true // What was dropped is missing: nothing after it may arrive.
			}
		}
		if err != nil {
			return
		}
	}
}
