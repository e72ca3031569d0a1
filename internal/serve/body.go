package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

const (
	// bodyGrace is how long a body may take whatever its size, and how long nothing of it may arrive.
	bodyGrace = 3 * time.Second
	// minBodyRate is the least number of bytes a second at which a body must arrive after bodyGrace. A body of 256 KB gets 35 s.
	minBodyRate = 8 << 10
	// deadlineStep bounds how often the deadline of a read is set.
	deadlineStep = 100 * time.Millisecond
	// progressBytes must arrive for a body to count as not stalled, so that single bytes do not keep it.
	progressBytes = 1 << 10
	// firstBuffer is the size that is tried for a body of unknown length.
	firstBuffer = 2 << 10
	// retryAfter is the pause before a repeat of a request for whose body there was no memory.
	retryAfter = time.Second
)

// Shed is why a server refused a body or closed a connection, to keep its limits.
type Shed string

// Reasons to refuse a body or to close a connection.
const (
	ShedTooLarge       Shed = "body-too-large"        // above the limit of one body
	ShedIncomplete     Shed = "body-incomplete"       // its connection ended, or its encoding is wrong
	ShedTooSlow        Shed = "body-too-slow"         // below the least rate, or past the caller's deadline
	ShedNoMemory       Shed = "body-no-memory"        // the budget had no room
	ShedStalled        Shed = "body-stalled"          // nothing of it arrived for a while, and another needed its memory
	ShedConnIncomplete Shed = "connection-incomplete" // without a whole request, and another needed its place
	ShedConnIdle       Shed = "connection-idle"       // between two requests, and another needed its place
	ShedConnFull       Shed = "connection-full"       // all others were serving requests
)

// BodyError reports a body that was refused; nothing of it is kept.
type BodyError struct {
	Reason Shed
	Limit  int64 // of one body, in bytes
	Cause  error // nil where Reason says all
}

// Error gives the reason.
func (e *BodyError) Error() string {
	switch e.Reason {
	case ShedTooLarge:
		return fmt.Sprintf("the body is larger than %d bytes", e.Limit)
	case ShedTooSlow:
		return "the body arrives too slowly"
	case ShedNoMemory:
		return "no memory for the body at the moment"
	case ShedStalled:
		return "the body stopped arriving and others needed its memory"
	default:
		return "the body is incomplete"
	}
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// Status returns the HTTP status of the refusal.
func (e *BodyError) Status() int {
	switch e.Reason {
	case ShedTooLarge:
		return http.StatusRequestEntityTooLarge
	case ShedTooSlow:
		return http.StatusRequestTimeout
	case ShedNoMemory, ShedStalled:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connOf returns the connection of a request, or nil if no Server serves it.
func connOf(ctx context.Context) *conn {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c
}

// ReadBody reads the whole body of a request, up to limit bytes, within the budget of its Server and before ctx ends, which is derived from
// the context of the request. The memory is held
// until the handler returns. Errors are of type BodyError; the connection closes after their answer, and the rest of the body is not kept.
func ReadBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	b := &bodyReader{
		ctx: ctx, conn: connOf(ctx), body: r.Body, limit: limit, length: r.ContentLength, started: time.Now(),
		setReadDeadline: http.NewResponseController(w).SetReadDeadline,
	}
	b.lease = b.conn.openLease()
	content, err := b.read()
	if err == nil && !b.lease.Finish() {
		err = &BodyError{Reason: ShedStalled}
	}
	if err != nil {
		refused := b.refusal(err)
		w.Header().Set("Connection", "close")
		// What still arrives is discarded for a moment only. A connection that is closed with unread bytes is reset, and the refusal may
		// be lost.
		b.limitRead(time.Now().Add(refusalTimeout))
		b.conn.refuseBody(refused.Reason)
		return nil, refused
	}
	b.limitRead(time.Time{}) // A deadline would end the context of a request that takes longer.
	b.conn.bodyArrived()
	return content, nil
}

// HoldMemory adds size bytes to what the request holds of its server's budget. Errors are of type BodyError, as those of ReadBody.
func HoldMemory(ctx context.Context, size int) error {
	c := connOf(ctx)
	if c == nil || c.lease == nil {
		return nil
	}
	if err := c.lease.Grow(ctx, c.lease.Held()+budget.Bytes(size)); err != nil {
		c.server.shed(ShedNoMemory)
		return &BodyError{Reason: ShedNoMemory, Cause: err}
	}
	return nil
}

// bodyReader reads one body.
type bodyReader struct {
	ctx     context.Context // lives as long as one call of ReadBody
	conn    *conn           // nil without a Server
	lease   *budget.Lease
	body    io.Reader
	limit   int64
	length  int64 // -1 if unknown
	started time.Time
	// setReadDeadline bounds the reads of the connection; response writers of tests may not support it.
	setReadDeadline func(time.Time) error

	arrived  int64 // bytes
	counted  int64 // arrived bytes at the last progress
	progress time.Time
	deadline time.Time
}

func (b *bodyReader) read() ([]byte, error) {
	if b.length > b.limit {
		return nil, &BodyError{Reason: ShedTooLarge, Limit: b.limit}
	}
	b.progress = b.started
	if b.length >= 0 {
		return b.readKnown()
	}
	return b.readUnknown()
}

// readKnown reads a body whose length the caller has said. Its memory is refused before any of it is read.
func (b *bodyReader) readKnown() ([]byte, error) {
	if err := b.lease.Grow(b.ctx, budget.Bytes(b.length)); err != nil {
		return nil, err
	}
	content := make([]byte, b.length)
	for b.arrived < b.length {
		if err := b.readOnce(content[b.arrived:]); err != nil && b.arrived < b.length {
			return nil, err
		}
	}
	return content, nil
}

// readUnknown reads a body into a buffer that grows with it. The old and the new buffer are held, since both exist for a moment.
func (b *bodyReader) readUnknown() ([]byte, error) {
	var content []byte
	for {
		if b.arrived == int64(len(content)) {
			size := min(max(2*int64(len(content)), firstBuffer), b.limit+1)
			if size == b.arrived {
				return nil, &BodyError{Reason: ShedTooLarge, Limit: b.limit}
			}
			if err := b.lease.Grow(b.ctx, budget.Bytes(size)+budget.Bytes(len(content))); err != nil {
				return nil, err
			}
			larger := make([]byte, size)
			copy(larger, content)
			content = larger
		}
		err := b.readOnce(content[b.arrived:])
		switch {
		case b.arrived > b.limit:
			return nil, &BodyError{Reason: ShedTooLarge, Limit: b.limit}
		case errors.Is(err, io.EOF):
			return content[:b.arrived], nil
		case err != nil:
			return nil, err
		}
	}
}

// readOnce reads what has arrived, and waits for it until the deadline of the body.
func (b *bodyReader) readOnce(into []byte) error {
	b.setDeadline()
	n, err := b.body.Read(into)
	b.arrived += int64(n)
	if b.arrived-b.counted >= progressBytes {
		b.counted, b.progress = b.arrived, time.Now()
		if !b.lease.Progress() {
			return &BodyError{Reason: ShedStalled}
		}
	}
	if err == nil && b.ctx.Err() != nil {
		err = &BodyError{Reason: ShedTooSlow, Cause: b.ctx.Err()}
	}
	return err
}

// setDeadline sets the time until which the next bytes must arrive: the least rate, the longest pause and the caller's own deadline.
func (b *bodyReader) setDeadline() {
	atRate := b.started.Add(bodyGrace + time.Duration(b.arrived)*time.Second/minBodyRate)
	deadline := earlier(atRate, b.progress.Add(bodyGrace))
	if end, ok := b.ctx.Deadline(); ok {
		deadline = earlier(deadline, end)
	}
	if !b.deadline.IsZero() && deadline.Sub(b.deadline).Abs() < deadlineStep {
		return
	}
	b.deadline = deadline
	b.limitRead(deadline)
	if b.lease.Evicted() {
		b.limitRead(time.Now()) // The abort may have come before the deadline above, which replaced its own.
	}
}

func (b *bodyReader) limitRead(deadline time.Time) {
	if b.setReadDeadline(deadline) != nil {
		return // The connection is closed, or has no deadlines.
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refusal returns the refusal of a body whose read ended with err.
func (b *bodyReader) refusal(err error) *BodyError {
	var refused *BodyError
	var full *budget.FullError
	switch {
	case b.lease.Evicted():
		return &BodyError{Reason: ShedStalled, Cause: err}
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &full):
		return &BodyError{Reason: ShedNoMemory, Cause: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &BodyError{Reason: ShedTooSlow, Cause: err}
	}
	return &BodyError{Reason: ShedIncomplete, Cause: err}
}

// BufferBodies reads the bodies of requests within the budget of their Server before it calls next, with the memory that decoded says they
// take once they are decoded. Refused bodies get the status of their BodyError.
func BufferBodies(limit int64, decoded func(content []byte) int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := ReadBody(r.Context(), w, r, limit)
		if err == nil {
			// The handler reads the body into a buffer of its own.
			err = HoldMemory(r.Context(), len(content)+decoded(content))
		}
		var refused *BodyError
		if errors.As(err, &refused) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, refused.Error(), refused.Status())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(content))
		next.ServeHTTP(w, r)
	})
}

// openLease returns a lease for the body of the connection's request; c may be nil.
func (c *conn) openLease() *budget.Lease {
	if c == nil {
		return (*budget.Budget)(nil).Open(nil)
	}
	lease := c.server.Bodies.Open(func() { c.limitRead(time.Now()) })
	c.lease = lease
	return lease
}

// releaseBody returns the memory of the request's body.
func (c *conn) releaseBody() {
	if c.lease != nil {
		c.lease.Release()
		c.lease = nil
	}
}

// limitRead bounds the reads of a body.
func (c *conn) limitRead(deadline time.Time) {
	if err := c.SetReadDeadline(deadline); err != nil && !errors.Is(err, net.ErrClosed) {
		c.server.Log.Debug().Err(err).Msg("serve: read deadline not set")
	}
}

// bodyArrived records that the request is whole.
func (c *conn) bodyArrived() {
	if c == nil {
		return
	}
	c.setServing()
}

// refuseBody counts a refused body and returns its memory.
func (c *conn) refuseBody(reason Shed) {
	if c == nil {
		return
	}
	c.releaseBody()
	c.server.shed(reason)
}

// BodyRefusal returns the refusal for callers and operators of the project's own interface; err is of type BodyError.
func BodyRefusal(err error) *reply.Error {
	var refused *BodyError
	if !errors.As(err, &refused) {
		return reply.Refused(reply.ReasonMalformed, "the body cannot be read: %v", err)
	}
	switch refused.Status() {
	case http.StatusRequestEntityTooLarge:
		return reply.Refused(reply.ReasonTooLarge, "%v", refused)
	case http.StatusServiceUnavailable:
		answer := reply.Refused(reply.ReasonNoMemory, "%v", refused)
		answer.RetryAfter = model.Duration(retryAfter)
		return answer
	}
	return reply.Refused(reply.ReasonMalformed, "%v: %v", refused, refused.Cause)
}
