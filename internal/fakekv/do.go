package fakekv

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrAnswerLost is what Do returns when the handler breaks the connection.
var ErrAnswerLost = errors.New("connection broke before the answer")

// Do returns a function that calls handler without a network, for clients with a function field of this kind and for virtual
// time. It returns an error when the handler panics with http.ErrAbortHandler, which is how handlers break a connection, and
// when the request's context ends first; the handler then goes on by itself, as on a server.
func Do(handler http.Handler) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		ctx := r.Context()
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		sent, err := received(r)
		if err != nil {
			return nil, err
		}
		done := make(chan result, 1)
		go func() { done <- serve(handler, sent) }()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case answered := <-done:
			if answered.err != nil {
				return nil, answered.err
			}
			return answered.recorder.response(r), nil
		}
	}
}

type result struct {
	recorder *recorder
	err      error
}

// received copies a request in the form in which a server sees it.
func received(r *http.Request) (*http.Request, error) {
	sent := r.Clone(r.Context())
	sent.RequestURI = r.URL.RequestURI()
	sent.Body = http.NoBody
	if r.Body == nil {
		return sent, nil
	}
	body, err := io.ReadAll(r.Body)
	if err = errors.Join(err, r.Body.Close()); err != nil {
		return nil, eris.Wrap(err, "reading the request")
	}
	sent.Body = io.NopCloser(bytes.NewReader(body))
	return sent, nil
}

func serve(handler http.Handler, r *http.Request) (res result) {
	defer func() {
		switch cause := recover(); cause {
		case nil:
		case http.ErrAbortHandler: //nolint:errorlint // The value of a panic is compared as net/http does.
			res = result{err: ErrAnswerLost}
		default:
			panic(cause)
		}
	}()
	w := &recorder{header: http.Header{}, status: http.StatusOK}
	handler.ServeHTTP(w, r)
	return result{recorder: w}
}

// recorder keeps an answer.
type recorder struct {
	header http.Header
	body   bytes.Buffer
	status int
	wrote  bool
}

// Header returns the header of the answer.
func (w *recorder) Header() http.Header { return w.header }

// Write appends to the body.
func (w *recorder) Write(b []byte) (int, error) {
	w.wrote = true
	return w.body.Write(b)
}

// WriteHeader sets the status once.
func (w *recorder) WriteHeader(status int) {
	if !w.wrote {
		w.status, w.wrote = status, true
	}
}

func (w *recorder) response(r *http.Request) *http.Response {
	return &http.Response{
		Status: http.StatusText(w.status), StatusCode: w.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: w.header,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Request: r,
	}
}
