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
	// probeIdle is the idle time after which a connection is probed.
	probeIdle = 5 * time.Second
	// freshFor is how recently a connection must have answered to carry a request that must not be repeated.
	freshFor = time.Second
	// dropEvery bounds how often the connections of an endpoint are dropped, and with it the sends outside the budget.
	dropEvery = 5 * time.Second
	// forgetPool removes the transport of an endpoint that was not used for this long.
	forgetPool = 2 * time.Minute
)

var errSealed = errors.New("the connection is no longer used")

// pool holds the connections to one endpoint address.
type pool struct {
	transport *http.Transport
	conns     int
	open      atomic.Int32
	usedAt    atomic.Int64
	// dropBefore is the time before which connections were opened that are not used any more.
	dropBefore atomic.Int64
	mu         sync.Mutex
	droppedAt  time.Time
}

// conn is a connection that counts what it sent and can be closed for further writes.
type conn struct {
	net.Conn
	pool     *pool
	openedAt int64
	readAt   atomic.Int64
	closed   atomic.Bool

	mu      sync.Mutex
	sealed  bool
	written int64
}

// sent notes what an attempt wrote to its connection.
type sent struct {
	conn   *conn
	before int64
}

func (r *Relay) newPool(conns int) *pool {
	p := &pool{conns: conns}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := r.Dial(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("opening a connection: %w", err)
			}
			p.open.Add(1)
			return &conn{Conn: c, pool: p, openedAt: time.Now().UnixNano()}, nil
		},
		MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, IdleConnTimeout: idleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: 64 << 10, ReadBufferSize: 8 << 10, WriteBufferSize: 8 << 10,
	}
	return p
}

// Write sends unless the connection is sealed.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// Read notes when the endpoint last answered.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.readAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

// position returns the number of bytes written so far.
func (c *conn) position() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all further writes fail without sending. It returns the bytes written, or false while a write is going on.
func (c *conn) seal() (int64, bool) {
	if !c.mu.TryLock() {
		return 0, false
	}
	defer c.mu.Unlock()
	c.sealed = true
	return c.written, true
}

// left reports whether bytes of the attempt may have left; afterwards none can.
func (s *sent) left() bool {
	if s.conn == nil {
		return false
	}
	written, known := s.conn.seal()
	return !known || written > s.before
}

// gotConn is called when the transport has chosen a connection. A connection that must not carry the request is sealed:
// the transport then fails without having written, and chooses another one.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	a.sent = sent{conn: c, before: c.position()}
	a.reused.Store(info.Reused)
	if !info.Reused {
		return
	}
	stale := !a.request.Idempotent && time.Now().UnixNano()-c.readAt.Load() > int64(freshFor)
	if stale || c.openedAt < c.pool.dropBefore.Load() {
		c.seal()
	}
}

func (r *Relay) do(a *attempt, request *http.Request) (*http.Response, error) {
	if r.Do != nil {
		return r.Do(request)
	}
	p := r.pool(a.pick.Address, a.pick.Conns)
	p.usedAt.Store(time.Now().UnixNano())
	return p.transport.RoundTrip(request)
}

// pool returns the pool of an address. A change of the connection budget, which follows the live members, takes a new
// pool; requests on the old one finish there.
func (r *Relay) pool(address string, conns int) *pool {
	conns = max(1, conns)
	r.mu.RLock()
	p := r.pools[address]
	r.mu.RUnlock()
	if p != nil && p.conns == conns {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p = r.pools[address]; p != nil && p.conns == conns {
		return p
	}
	if p != nil {
		p.drop(time.Now())
	}
	p = r.newPool(conns)
	r.pools[address] = p
	return p
}

// dropPool stops the use of the connections to the endpoint of an attempt that are open now. It reports whether a send in
// place of the attempt is outside the retry budget: that holds only for those sent on a reused connection before the drop,
// and there is one drop per dropEvery, so these are at most as many as the endpoint's connections.
func (r *Relay) dropPool(a *attempt) bool {
	if r.Do != nil {
		return false
	}
	r.mu.RLock()
	p := r.pools[a.pick.Address]
	r.mu.RUnlock()
	if p == nil {
		return false
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.droppedAt) > dropEvery {
		p.droppedAt = now
		p.drop(now)
	}
	return a.reused.Load() && a.startedAt.Before(p.droppedAt)
}

func (p *pool) drop(now time.Time) {
	p.dropBefore.Store(now.UnixNano())
	p.transport.CloseIdleConnections()
}

// tendPools probes idle connections and removes unused pools.
func (r *Relay) tendPools(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	idle := map[string]*pool{}
	for address, p := range r.pools {
		unused := now.Sub(time.Unix(0, p.usedAt.Load()))
		if unused > forgetPool {
			p.transport.CloseIdleConnections()
			delete(r.pools, address)
			continue
		}
		if unused > probeIdle && p.open.Load() > 0 {
			idle[address] = p
		}
	}
	r.mu.Unlock()
	for address, p := range idle {
		// Probes sent at the same time take different connections.
		for range p.open.Load() {
			go r.probeIdle(ctx, address, p)
		}
	}
}

func (r *Relay) probeIdle(ctx context.Context, address string, p *pool) {
	ctx, cancel := context.WithTimeout(ctx, suspectProbe)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/health", http.NoBody)
	if err != nil {
		return // The address was good enough to open the connections.
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
		p.drop(time.Now())
	}
}

func (r *Relay) closePools() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		p.transport.CloseIdleConnections()
	}
}
