package member

import (
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/wire"
)

// Directions of counted bytes, as metric labels.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// CountCallerBytes returns a caller that shares the connections of c and counts the bytes of bodies under procedure. It returns
// c if metrics is nil.
func CountCallerBytes(c *wire.Caller, metrics *metric.Set, procedure wire.Procedure) *wire.Caller {
	if metrics == nil {
		return c
	}
	return &wire.Caller{HTTP: &countingClient{
		next:     c.HTTP,
		sent:     metrics.PeerBytes.WithLabelValues(string(procedure), directionSent),
		received: metrics.PeerBytes.WithLabelValues(string(procedure), directionReceived),
	}}
}

// CountHandlerBytes wraps next to count the bytes of request and response bodies under procedure. It returns next if metrics is
// nil.
func CountHandlerBytes(next http.Handler, metrics *metric.Set, procedure wire.Procedure) http.Handler {
	if metrics == nil {
		return next
	}
	sent := metrics.PeerBytes.WithLabelValues(string(procedure), directionSent)
	received := metrics.PeerBytes.WithLabelValues(string(procedure), directionReceived)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &countingBody{ReadCloser: r.Body, count: received}
		next.ServeHTTP(&countingWriter{ResponseWriter: w, count: sent}, r)
	})
}

type countingClient struct {
	next           connect.HTTPClient
	sent, received prometheus.Counter
}

// Do sends a request and counts the bytes of the request and response bodies as they are read.
func (c *countingClient) Do(req *http.Request) (*http.Response, error) {
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = &countingBody{ReadCloser: req.Body, count: c.sent}
	}
	res, err := c.next.Do(req)
	if err != nil {
		return nil, err
	}
	res.Body = &countingBody{ReadCloser: res.Body, count: c.received}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the shared client.
func (c *countingClient) CloseIdleConnections() {
	if closer, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

type countingBody struct {
	io.ReadCloser
	count prometheus.Counter
}

// Read reads from the body and counts the bytes.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count.Add(float64(n))
	return n, err
}

type countingWriter struct {
	http.ResponseWriter
	count prometheus.Counter
}

// Write writes to the response and counts the bytes.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.count.Add(float64(n))
	return n, err
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
