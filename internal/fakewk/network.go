package fakewk

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/rotisserie/eris"
)

// Network calls handlers by their address without sockets, so that tests can run under virtual time.
// It stays apart from memnet, because it calls handlers in the goroutine of the caller, as the measurements of gangs do.
type Network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[string]bool
}

// NewNetwork returns a network without handlers.
func NewNetwork() *Network {
	return &Network{handlers: map[string]http.Handler{}, cut: map[string]bool{}}
}

// Add serves handler at an address.
func (n *Network) Add(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// Cut makes all calls to an address hang until they time out, or restores it.
func (n *Network) Cut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// Do calls the handler of the request's host. A handler that aborts, or that returns after the request's end, gives an
// error and no answer.
func (n *Network) Do(req *http.Request) (res *http.Response, err error) {
	n.mu.Lock()
	handler, found := n.handlers[req.URL.Host]
	cut := n.cut[req.URL.Host]
	n.mu.Unlock()
	if !found {
		return nil, eris.Errorf("no handler at %s", req.URL.Host)
	}
	if cut {
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
