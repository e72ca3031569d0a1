package memnet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/clock"
)

// Host is one end of a path; a server's host is the host part of its URL.
type Host string

// AnyHost matches all hosts.
const AnyHost Host = "*"

// Fault is the fault of calls on a path; the zero value is a healthy path.
type Fault struct {
	// Refuse refuses calls at once, before they reach the server, with a RefusedError.
	Refuse bool
	// DropRequests drops requests; a call then ends with its context.
	DropRequests bool
	// DropAnswers drops answers, including those to calls sent before the fault was set.
	DropAnswers bool
	// Delay is added to the time that a call takes to reach the server.
	Delay time.Duration
	// LoseAnswers is the number of calls that reach the server and whose connection then breaks without an answer, with a
	// ResetError.
	LoseAnswers int
}

// RefusedError reports a call that did not reach its server; it proves that nothing ran.
type RefusedError struct{ From, To Host }

// Error names the path.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("connection from %s to %s refused", e.From, e.To)
}

// ResetError reports a call that reached its server and whose answer was lost.
type ResetError struct{ From, To Host }

// Error names the path.
func (e *ResetError) Error() string {
	return fmt.Sprintf("connection from %s to %s reset", e.From, e.To)
}

// path is a direction between two hosts.
type path struct{ from, to Host }

// Net connects hosts. It is safe for concurrent use.
type Net struct {
	// Latency is the one-way time of each request and each answer, in addition to the delay of a fault. It is set before use.
	Latency time.Duration

	mu       sync.Mutex
	handlers map[Host]http.Handler
	faults   map[path]*Fault
}

// New returns a network without hosts.
func New() *Net {
	return &Net{handlers: map[Host]http.Handler{}, faults: map[path]*Fault{}}
}

// Do returns a function that sends requests for any host to handler, for clients with a Do field. When the request's context
// ends first, the handler keeps running, as on a real server.
func Do(handler http.Handler) func(*http.Request) (*http.Response, error) {
	n := New()
	n.SetHandler(AnyHost, handler)
	return n.Transport("client").RoundTrip
}

// SetHandler registers handler at host; nil removes the host, as if its process had ended. A handler at AnyHost serves the hosts
// without one.
func (n *Net) SetHandler(host Host, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if handler == nil {
		delete(n.handlers, host)
		return
	}
	n.handlers[host] = handler
}

// SetFault sets the fault of calls from one host to another. Either may be AnyHost, but exact hosts take precedence.
func (n *Net) SetFault(from, to Host, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[path{from, to}] = &fault
}

// Partition drops all messages between two hosts in both directions; with apart false it restores both paths.
func (n *Net) Partition(a, b Host, apart bool) {
	fault := Fault{DropRequests: apart, DropAnswers: apart}
	n.SetFault(a, b, fault)
	n.SetFault(b, a, fault)
}

// Transport returns the http.RoundTripper for calls from a host.
func (n *Net) Transport(from Host) http.RoundTripper {
	return roundTripper(func(req *http.Request) (*http.Response, error) { return n.roundTrip(from, req) })
}

// Client returns an HTTP client for calls from a host.
func (n *Net) Client(from Host) *http.Client {
	return &http.Client{Transport: n.Transport(from)}
}

type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip sends the request.
func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

func (n *Net) roundTrip(from Host, req *http.Request) (*http.Response, error) {
	to := Host(req.URL.Host)
	ctx := req.Context()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	body, err := readBody(req)
	if err != nil {
		return nil, err
	}
	handler, fault, lose := n.lookup(from, to)
	if fault.DropRequests {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if fault.Refuse || handler == nil {
		return nil, &RefusedError{From: from, To: to}
	}
	if err := clock.Sleep(ctx, n.Latency+fault.Delay); err != nil {
		return nil, err
	}
	answers := make(chan *http.Response, 1)
	go func() { answers <- callHandler(handler, req, body) }() //nolint:bodyclose // The caller of RoundTrip closes it.
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case res := <-answers:
		if res == nil || lose {
			return nil, &ResetError{From: from, To: to}
		}
		if err := n.deliverAnswer(ctx, from, to); err != nil {
			return nil, err
		}
		return res, nil
	}
}

// deliverAnswer waits until the answer to a call has travelled back, or until ctx ends if the path drops answers.
func (n *Net) deliverAnswer(ctx context.Context, from, to Host) error {
	if n.dropsAnswers(from, to) {
		<-ctx.Done()
		return ctx.Err()
	}
	return clock.Sleep(ctx, n.Latency)
}

func (n *Net) dropsAnswers(from, to Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := n.fault(from, to)
	return fault != nil && fault.DropAnswers
}

// lookup returns the handler of a host, the fault of the path, and whether the answer must be lost.
func (n *Net) lookup(from, to Host) (handler http.Handler, fault Fault, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	handler = n.handlers[to]
	if handler == nil {
		handler = n.handlers[AnyHost]
	}
	set := n.fault(from, to)
	if set == nil {
		return handler, Fault{}, false
	}
	fault = *set
	if set.LoseAnswers > 0 {
		set.LoseAnswers--
		lose = true
	}
	return handler, fault, lose
}

// fault returns the fault set for the path, or nil; exact hosts take precedence over AnyHost. The caller holds n.mu.
func (n *Net) fault(from, to Host) *Fault {
	for _, p := range []path{{from, to}, {from, AnyHost}, {AnyHost, to}} {
		if set, found := n.faults[p]; found {
			return set
		}
	}
	return nil
}

// callHandler calls the handler and returns nil when it aborts the connection.
func callHandler(handler http.Handler, req *http.Request, body []byte) (res *http.Response) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			res = nil
			return
		}
		panic(cause)
	}()
	served := req.Clone(req.Context())
	served.Body = io.NopCloser(bytes.NewReader(body))
	served.RequestURI = req.URL.RequestURI()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, served)
	res = recorder.Result()
	res.Request = req
	if res.ContentLength < 0 {
		// net/http does the same for answers that fit its buffer. A length declared by the handler stays, even a wrong one.
		res.ContentLength = int64(recorder.Body.Len())
		res.Header.Set("Content-Length", strconv.Itoa(recorder.Body.Len()))
	}
	return res
}

// readBody reads and closes the body of a request, as http.RoundTripper requires.
func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(req.Body)
	if err := errors.Join(err, req.Body.Close()); err != nil {
		return nil, eris.Wrap(err, "reading request body")
	}
	return body, nil
}
