package serve

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

const (
	// refusalTimeout is how long a refused connection stays open for its caller to close it. A connection that is closed with unread
	// bytes is reset, and its caller may never see the refusal.
	refusalTimeout = 250 * time.Millisecond
	// lastRefusalTimeout bounds the write to a connection that closes at the end of a drain, one after the other.
	lastRefusalTimeout  = 10 * time.Millisecond
	lastRefusalAttempts = 3
)

// refusal is an http.ResponseWriter that keeps the answer.
type refusal struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// newRefusal returns the answer that refuse writes.
func newRefusal(refuse func(http.ResponseWriter)) *refusal {
	r := &refusal{header: http.Header{}, status: http.StatusOK}
	refuse(r)
	return r
}

// Header returns the headers of the answer.
func (r *refusal) Header() http.Header { return r.header }

// Write adds to the body.
func (r *refusal) Write(p []byte) (int, error) { return r.body.Write(p) }

// WriteHeader sets the status.
func (r *refusal) WriteHeader(status int) { r.status = status }

// encode returns the answer as the last one on its connection. It is to be written in one piece.
func (r *refusal) encode() ([]byte, error) {
	answer := http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: r.status, Header: r.header, Close: true,
		ContentLength: int64(r.body.Len()), Body: io.NopCloser(&r.body),
	}
	var content bytes.Buffer
	err := answer.Write(&content)
	return content.Bytes(), err
}
