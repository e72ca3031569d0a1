package simnet

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Net connects hosts; it may be used concurrently.
type Net struct {
	mu      sync.Mutex
	hosts   map[string]http.Handler
	cuts    map[link]bool
	latency time.Duration
}

type link struct{ from, to string }

// Client sends requests from one host. It satisfies the client interfaces of packages store and wire.
type Client struct {
	net  *Net
	from string
}

var (
	errNoHost = errors.New("host does not exist")
	errBroken = errors.New("connection broke without an answer")
)

// New returns a network without hosts; latency is the time that each message takes.
func New(latency time.Duration) *Net {
	return &Net{hosts: map[string]http.Handler{}, cuts: map[link]bool{}, latency: latency}
}

// Host serves a handler under a host name; a nil handler removes the host.
func (n *Net) Host(name string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name] = handler
}

// Cut drops all messages between two hosts, in both directions, until it is called with false.
func (n *Net) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{a, b}], n.cuts[link{b, a}] = cut, cut
}

// From returns a client on a host.
func (n *Net) From(host string) *Client { return &Client{net: n, from: host} }

// Do sends a request. When the hosts are cut off from each other, it returns only when the request's context ends. A
// handler that panics with http.ErrAbortHandler breaks the connection.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	handler, err := c.pass(req)
	if err != nil {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	if err := serve(handler, recorder, req); err != nil {
		return nil, err
	}
	if _, err := c.pass(req); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// pass takes one message over the network.
func (c *Client) pass(req *http.Request) (http.Handler, error) {
	c.net.mu.Lock()
	handler, latency := c.net.hosts[req.URL.Host], c.net.latency
	cut := c.net.cuts[link{c.from, req.URL.Host}]
	c.net.mu.Unlock()
	if handler == nil {
		return nil, eris.Wrapf(errNoHost, "sending to %s", req.URL.Host)
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	arrived := timer.C
	if cut {
		arrived = nil
	}
	select {
	case <-arrived:
		return handler, nil
	case <-req.Context().Done():
		return nil, eris.Wrapf(req.Context().Err(), "sending to %s", req.URL.Host)
	}
}

func serve(handler http.Handler, w http.ResponseWriter, req *http.Request) (err error) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		if cause, ok := reason.(error); ok && errors.Is(cause, http.ErrAbortHandler) {
			err = errBroken
			return
		}
		panic(reason)
	}()
	served := req.Clone(req.Context())
	if served.Body == nil {
		served.Body = http.NoBody
	}
	served.Host, served.RequestURI, served.RemoteAddr = req.URL.Host, req.URL.RequestURI(), "simnet"
	handler.ServeHTTP(w, served)
	return nil
}
