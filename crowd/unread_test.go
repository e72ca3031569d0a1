package crowd_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	// callerConns and probeConns are the connections that an instance of these tests takes from callers, and at the readiness probe.
	callerConns = (maxDescriptors - fileReserve) / 2
	probeConns  = 16

	smallBuffer    = 4 << 10 // bytes that a client's kernel receives without being read
	pipelined      = 50      // requests in one write
	blockedTime    = 2 * time.Second
	blockedPolling = 100 * time.Millisecond
)

// unreadCrowd is clients that send requests without end, read no answer, and leave the connection open. They start again when it is closed.
type unreadCrowd struct {
	address string
	request string
	clients int

	blocked atomic.Int32 // connections on which nothing more can be sent
	group   sync.WaitGroup
}

// run starts the clients; they leave when ctx ends.
func (c *unreadCrowd) run(ctx context.Context) {
	for range c.clients {
		c.group.Go(func() {
			for ctx.Err() == nil {
				c.sendOnce(ctx)
				select {
				case <-time.After(retryPause):
				case <-ctx.Done():
				}
			}
		})
	}
}

// sendOnce sends requests until the connection is closed or ctx ends.
func (c *unreadCrowd) sendOnce(ctx context.Context) {
	dialer := net.Dialer{Timeout: crowdDialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
	}}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	defer conn.Close()
	requests := bytes.Repeat([]byte(c.request), pipelined)
	blocked := false
	for ctx.Err() == nil {
		wait := blockedTime
		if blocked {
			wait = blockedPolling
		}
		_ = conn.SetWriteDeadline(time.Now().Add(wait))
		_, err := conn.Write(requests)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil && !blocked {
			blocked = true
			c.blocked.Add(1)
			defer c.blocked.Add(-1)
		}
	}
}

// Guards against answers that are never read: their connections would be held for good, and nobody else could connect.
func TestAnswersThatAreNotRead(t *testing.T) {
	binary := buildProgram(t, "peridotd")
	ready := func(s *platformSite) func() error {
		return func() error {
			return send(http.StatusOK, http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d/readyz", s.port+1), http.Header{}, nil)
		}
	}
	for name, c := range map[string]struct {
		port    int // counted from the first one of the instance
		clients int
		request string
		serve   func(*platformSite) func() error
	}{
		"callers": {
			port: 0, clients: callerConns,
			request: "GET " + fakepl.QueuePrefix + crowdJob + " HTTP/1.1\r\nHost: " + fakepl.Host + "\r\nAuthorization: Bearer " + fakepl.APIKey + "\r\n\r\n",
			serve: func(s *platformSite) func() error {
				callers, _ := s.doors()
				return callers.serve
			},
		},
		"readiness": {port: 1, clients: probeConns, request: "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n", serve: ready},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			site := newPlatformSite(t, binary)
			p := site.start(t)
			serve := c.serve(site)
			g.Eventually(serve, startTimeout, "100ms").Should(Succeed(), "an ordinary request before the crowd")
			sampling, endSampling := context.WithCancel(t.Context())
			defer endSampling()
			go p.sample(sampling)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			crowd := &unreadCrowd{address: fmt.Sprintf("127.0.0.1:%d", site.port+c.port), request: c.request, clients: c.clients}
			crowd.run(ctx)
			time.Sleep(settleTime / 2)
			t.Logf("%d of %d clients are blocked", crowd.blocked.Load(), c.clients)
			g.Eventually(serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary request beside the crowd")
			leave()
			crowd.group.Wait()
			g.Eventually(serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary request after the crowd")
			t.Logf("peak: %s", p.peaks())
			p.expectWithinLimits(g)
		})
	}
}
