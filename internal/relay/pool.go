package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of connections.
const (
	dialTimeout = time.Second
	idleTimeout = 20 * time.Second
	// probeIdle is the idle time after which the connections of a pool are probed.
	probeIdle = 5 * time.Second
	// nonIdempotentReuseAge is how recently data must have arrived on a connection for it to carry a request that must not be
	// repeated.
	nonIdempotentReuseAge = time.Second
	// minDropInterval bounds how often the connections of an endpoint are dropped, and with it the sends outside the retry budget.
	minDropInterval = 5 * time.Second
	// poolExpiry is the idle time after which the pool of an endpoint is removed.
	poolExpiry = 2 * time.Minute
)

var errConnSealed = errors.New("the connection is no longer used")

// pool holds the connections to one endpoint address.
type pool struct {
	transport *http.Transport
	// maxConns is the most connections that the transport opens.
	maxConns  int
	openConns atomic.Int32
	// lastUsedAt is in Unix nanoseconds.
	lastUsedAt atomic.Int64
	// dropBefore is in Unix nanoseconds; connections opened before it carry no further requests.
	dropBefore atomic.Int64
	// mu guards droppedAt.
	mu        sync.Mutex
	droppedAt time.Time
}

// conn is a connection that counts the bytes written and can be sealed against further writes.
type conn struct {
	net.Conn
	pool *pool
	// openedAt and lastReadAt are in Unix nanoseconds.
	openedAt   int64
	lastReadAt atomic.Int64
	closed     atomic.Bool

	// mu is held during a write; it guards sealed and written, the number of bytes written.
	mu      sync.Mutex
	sealed  bool
	written int64
}

// writeStart is the connection of an attempt and the number of bytes written to it before the attempt.
type writeStart struct {
	conn   *conn
	offset int64
}

func (r *Relay) newPool(maxConns int) *pool {
	p := &pool{maxConns: maxConns}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := r.Dial(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("opening a connection: %w", err)
			}
			p.openConns.Add(1)
			return &conn{Conn: c, pool: p, openedAt: time.Now().UnixNano()}, nil
		},
		MaxConnsPerHost: maxConns, MaxIdleConnsPerHost: maxConns, IdleConnTimeout: idleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: 64 << 10, ReadBufferSize: 8 << 10, WriteBufferSize: 8 << 10,
	}
	return p
}

// Write writes data unless the connection is sealed.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errConnSealed
	}
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// Read records when data last arrived.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection and updates the pool's count of open connections.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// bytesWritten returns the number of bytes written so far; it waits for a write in progress.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all further writes fail without sending and returns the number of bytes written. It returns false and does nothing
// while a write is in progress.
func (c *conn) seal() (int64, bool) {
	if !c.mu.TryLock() {
		return 0, false
	}
	defer c.mu.Unlock()
	c.sealed = true
	return c.written, true
}

// mayHaveSent reports whether bytes of the attempt may have been written. When it returns false, none can be written later.
func (s *writeStart) mayHaveSent() bool {
	if s.conn == nil {
		return false
	}
	written, known := s.conn.seal()
	return !known || written > s.offset
}

// gotConn is called by the transport when it has chosen a connection. A connection that must not carry the request is sealed:
// the transport then fails before it writes, and chooses another one.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	a.writeStart = writeStart{conn: c, offset: c.bytesWritten()}
	a.reused.Store(info.Reused)
	if !info.Reused {
		return
	}
	stale := !a.request.Idempotent && time.Now().UnixNano()-c.lastReadAt.Load() > int64(nonIdempotentReuseAge)
	if stale || c.openedAt < c.pool.dropBefore.Load() {
		c.seal()
	}
}

func (r *Relay) do(a *attempt, request *http.Request) (*http.Response, error) {
	if r.Do != nil {
		return r.Do(request)
	}
	p := r.pool(a.slot.Address, a.slot.Conns)
	p.lastUsedAt.Store(time.Now().UnixNano())
	return p.transport.RoundTrip(request)
}

// pool returns the pool of an address. A change of the connection budget, which depends on the live members, replaces the pool;
// requests on the old one finish there.
func (r *Relay) pool(address string, maxConns int) *pool {
	maxConns = max(1, maxConns)
	r.mu.RLock()
	p := r.pools[address]
	r.mu.RUnlock()
	if p != nil && p.maxConns == maxConns {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p = r.pools[address]; p != nil && p.maxConns == maxConns {
		return p
	}
	if p != nil {
		p.dropOpenConns(time.Now())
	}
	p = r.newPool(maxConns)
	r.pools[address] = p
	return p
}

// dropEndpointConns stops the use of the open connections to the endpoint of an attempt. It reports whether a retry of the attempt
// is exempt from the retry budget: only attempts sent on a reused connection before the drop are. There is one drop per
// minDropInterval, so there are at most as many exempt retries as the endpoint has connections.
func (r *Relay) dropEndpointConns(a *attempt) bool {
	if r.Do != nil {
		return false
	}
	r.mu.RLock()
	p := r.pools[a.slot.Address]
	r.mu.RUnlock()
	if p == nil {
		return false
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.droppedAt) > minDropInterval {
		p.droppedAt = now
		p.dropOpenConns(now)
	}
	return a.reused.Load() && a.startedAt.Before(p.droppedAt)
}

// dropOpenConns closes the idle connections and stops the reuse of those in use.
func (p *pool) dropOpenConns(now time.Time) {
	p.dropBefore.Store(now.UnixNano())
	p.transport.CloseIdleConnections()
}

// maintainPools starts probes of idle connections and removes unused pools.
func (r *Relay) maintainPools(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	idle := map[string]*pool{}
	for address, p := range r.pools {
		idleFor := now.Sub(time.Unix(0, p.lastUsedAt.Load()))
		if idleFor > poolExpiry {
			p.transport.CloseIdleConnections()
			delete(r.pools, address)
			continue
		}
		if idleFor > probeIdle && p.openConns.Load() > 0 {
			idle[address] = p
		}
	}
	r.mu.Unlock()
	for address, p := range idle {
		// Concurrent probes use different connections, so this reaches each of them.
		for range p.openConns.Load() {
			go r.probeIdle(ctx, address, p)
		}
	}
}

// probeIdle probes one idle connection of a pool. After a failed probe, the open connections of the pool are not used again.
func (r *Relay) probeIdle(ctx context.Context, address string, p *pool) {
	ctx, cancel := context.WithTimeout(ctx, healthProbeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/health", http.NoBody)
	if err != nil {
		return // The address is valid, as connections were opened to it.
	}
	answer, err := p.transport.RoundTrip(request)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, 64<<10))
		err = errors.Join(err, answer.Body.Close())
	}
	if err != nil && ctx.Err() == nil {
		r.Log.Debug().Err(err).Str("address", address).Msg("relay: idle connection does not answer")
	}
	if err != nil {
		p.dropOpenConns(time.Now())
	}
}

func (r *Relay) closePools() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		p.transport.CloseIdleConnections()
	}
}
