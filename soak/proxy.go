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
	modePass    mode = iota // forwards all data
	modeDelay               // each read is forwarded after delayTime
	modeReset               // open and new connections are closed
	modeSilence             // open connections carry no more data, new ones work
	modeCut                 // no data passes, connections stay open
	modeOneWay              // data from the server is dropped
	modeCount               // number of modes
)

const (
	delayTime        = 120 * time.Millisecond
	proxyBufferBytes = 16 << 10
)

// proxy forwards connections on loopback to one address.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  mode
	links map[*link]bool // open connections
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	silent         bool // drops all further data
}

// newProxy starts a proxy for target and returns a function that stops it and closes its connections.
func newProxy(ctx context.Context, target string) (*proxy, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listening does not block
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{target: target, listener: listener, links: map[*link]bool{}}
	go p.acceptConns(ctx)
	return p, func() {
		closeAll(listener)
		p.setMode(modeReset)
	}, nil
}

func closeAll(closers ...io.Closer) {
	for _, c := range closers {
		_ = c.Close() //nolint:errcheck // An error has no consequence, since nothing is used after it is closed.
	}
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. modeReset closes the open connections; modeSilence affects only the connections open now.
func (p *proxy) setMode(newMode mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = newMode
	for l := range p.links {
		switch newMode {
		case modeReset:
			closeAll(l.client, l.server)
		case modeSilence:
			l.silent = true
		}
	}
}

func (p *proxy) acceptConns(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(ctx, client)
	}
}

func (p *proxy) serveConn(ctx context.Context, client net.Conn) {
	if p.currentMode() == modeReset {
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
	p.links[l] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(l, server, client, false) })
	group.Go(func() { p.copy(l, client, server, true) })
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// judge reports whether data in a direction is dropped now, and whether it is delayed. After a gap no further data arrives on the link,
// as on a TCP connection.
func (p *proxy) judge(l *link, fromServer bool) (drop, delayed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.silent = l.silent || p.mode == modeCut || p.mode == modeOneWay && fromServer
	return l.silent, p.mode == modeDelay
}

func (p *proxy) copy(l *link, to, from net.Conn, fromServer bool) {
	defer closeAll(to, from)
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			drop, delayed := p.judge(l, fromServer)
			if delayed {
				time.Sleep(delayTime)
			}
			if !drop {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
