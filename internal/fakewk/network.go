package fakewk

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/rotisserie/eris"
)

// Network calls handlers by their address without sockets, so that tests can run under virtual time. Unlike memnet, it calls a
// handler in the caller's goroutine, which the gang benchmarks need. It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	// hanging holds the addresses at which calls hang.
	hanging map[string]bool
}

// NewNetwork returns a network without handlers.
func NewNetwork() *Network {
	return &Network{handlers: map[string]http.Handler{}, hanging: map[string]bool{}}
}

// SetHandler registers handler at an address; it replaces an earlier one.
func (n *Network) SetHandler(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// Hang makes all calls to an address hang until their context ends; with hanging false it restores the address.
func (n *Network) Hang(address string, hanging bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hanging[address] = hanging
}

// Do calls the handler registered for the request's host. It returns an error when the handler aborts the connection or returns
// after the request's context has ended.
func (n *Network) Do(req *http.Request) (res *http.Response, err error) {
	n.mu.Lock()
	handler, found := n.handlers[req.URL.Host]
	hanging := n.hanging[req.URL.Host]
	n.mu.Unlock()
	if !found {
		return nil, eris.Errorf("no handler at %s", req.URL.Host)
	}
	if hanging {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	defer func() {
		aborted := recover()
		if aborted == nil {
			return
		}
		if cause, ok := aborted.(error); !ok || !errors.Is(cause, http.ErrAbortHandler) {
			panic(aborted)
		}
		res, err = nil, errAborted
	}()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, req)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

var errAborted = errors.New("connection broke without an answer")
