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

// Host names one side of a path; a server's host is the address in its URL.
type Host string

// AnyHost stands for all hosts.
const AnyHost Host = "*"

// Fault is what happens to calls on a path; the zero value is a healthy path.
type Fault struct {
	// Cut refuses calls at once, before they reach the server.
	Cut bool
	// Silent drops calls: nothing answers until the caller gives up.
	Silent bool
	// SilentAnswers drops answers, also those of calls that were sent before the fault was set.
	SilentAnswers bool
	// Delay is the time that a call takes to reach the server.
	Delay time.Duration
	// LoseAnswers delivers this many calls and breaks the connection in place of the answer.
	LoseAnswers int
}

// CutError reports a call that did not reach its server.
type CutError struct{ From, To Host }

// Error names the path.
func (e *CutError) Error() string {
	return fmt.Sprintf("connection from %s to %s refused", e.From, e.To)
}

// LostError reports a call that reached its server and whose answer was lost.
type LostError struct{ From, To Host }

// Error names the path.
func (e *LostError) Error() string {
	return fmt.Sprintf("connection from %s to %s reset", e.From, e.To)
}

type path struct{ from, to Host }

// Net connects hosts; it may be used concurrently.
type Net struct {
	// Latency is the time that each request and each answer takes, besides the delay of a fault; it is set before use.
	Latency time.Duration

	mu       sync.Mutex
	handlers map[Host]http.Handler
	faults   map[path]*Fault
}

// New returns a network without hosts.
func New() *Net {
	return &Net{handlers: map[Host]http.Handler{}, faults: map[path]*Fault{}}
}

// Do returns a function that calls handler whatever the host of the request, for clients with a function field of this kind.
// When the request's context ends first, the handler goes on by itself, as on a server.
func Do(handler http.Handler) func(*http.Request) (*http.Response, error) {
	n := New()
	n.Serve(AnyHost, handler)
	return n.Transport("client").RoundTrip
}

// Serve makes handler answer at host; nil removes the host, as when its process dies. A handler at AnyHost answers for
// hosts without one.
func (n *Net) Serve(host Host, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if handler == nil {
		delete(n.handlers, host)
		return
	}
	n.handlers[host] = handler
}

// SetFault sets the fault of calls from one host to another; either may be AnyHost.
func (n *Net) SetFault(from, to Host, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[path{from, to}] = &fault
}

// Partition drops all messages between two hosts, in both directions, until it is called with false.
func (n *Net) Partition(a, b Host, apart bool) {
	fault := Fault{Silent: apart, SilentAnswers: apart}
	n.SetFault(a, b, fault)
	n.SetFault(b, a, fault)
}

// Transport returns the http.RoundTripper of a host.
func (n *Net) Transport(from Host) http.RoundTripper {
	return roundTripper(func(req *http.Request) (*http.Response, error) { return n.roundTrip(from, req) })
}

// Client returns an HTTP client of a host.
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
	handler, fault, lose := n.find(from, to)
	if fault.Silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if fault.Cut || handler == nil {
		return nil, &CutError{From: from, To: to}
	}
	if err := clock.Sleep(ctx, n.Latency+fault.Delay); err != nil {
		return nil, err
	}
	answers := make(chan *http.Response, 1)
	go func() { answers <- serve(handler, req, body) }() //nolint:bodyclose // The caller of RoundTrip closes it.
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case res := <-answers:
		if res == nil || lose {
			return nil, &LostError{From: from, To: to}
		}
		if err := n.answer(ctx, from, to); err != nil {
			return nil, err
		}
		return res, nil
	}
}

// answer takes an answer back over the path of its call.
func (n *Net) answer(ctx context.Context, from, to Host) error {
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
	return fault != nil && fault.SilentAnswers
}

// find returns the handler of a host and the fault of the path, and whether the answer is to be lost.
func (n *Net) find(from, to Host) (handler http.Handler, fault Fault, lose bool) {
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

// fault returns the first fault set for the path, exact hosts before AnyHost, or nil. The caller holds mu.
func (n *Net) fault(from, to Host) *Fault {
	for _, p := range []path{{from, to}, {from, AnyHost}, {AnyHost, to}} {
		if set, found := n.faults[p]; found {
			return set
		}
	}
	return nil
}

// serve runs the handler and returns nil when it breaks the connection.
func serve(handler http.Handler, req *http.Request, body []byte) (res *http.Response) {
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
		// As net/http does for answers that fit its buffer. A length that the handler declared stays, even if it is wrong.
		res.ContentLength = int64(recorder.Body.Len())
		res.Header.Set("Content-Length", strconv.Itoa(recorder.Body.Len()))
	}
	return res
}

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
