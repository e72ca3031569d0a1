package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxAnswerBytes bounds the memory of one answer; listings are the largest.
	maxAnswerBytes = 256 << 20
	// slowAfter is the time without an answer that counts as unavailable although the caller's own deadline ended the call.
	slowAfter = time.Second
)

// InstanceHeader names the calling instance, for the service's own logs.
const InstanceHeader = "X-Instance"

type request struct {
	op, key, method, path string
	query                 url.Values
	body                  []byte
	timeout               time.Duration
	version               Version
}

func (c *Client) call(ctx context.Context, r request, into any) error {
	err := c.guarded(ctx, r, into)
	if c.Metrics != nil {
		c.Metrics.StoreCalls.WithLabelValues(c.Role, r.op, result(err)).Inc()
	}
	return err
}

// guarded sends a call unless the breaker is open, and tells the breaker how it went.
func (c *Client) guarded(ctx context.Context, r request, into any) error {
	if err := errors.Join(ctx.Err(), c.tooLarge(r)); err != nil {
		return c.unavailable(r, false, 0, err)
	}
	if err := c.Breaker.admit(); err != nil {
		return c.unavailable(r, false, 0, err)
	}
	started := time.Now()
	err := c.send(ctx, r, into)
	var down *UnavailableError
	switch {
	case !errors.As(err, &down):
		c.Breaker.report(true)
	case ctx.Err() != nil && time.Since(started) < slowAfter:
		// The caller gave up early, which proves nothing about the service.
	case refusedOnly(down):
		c.Breaker.report(true)
	default:
		c.Breaker.report(false)
	}
	return err
}

func (c *Client) send(ctx context.Context, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	target := c.BaseURL + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return c.unavailable(r, false, 0, err)
	}
	if c.Instance != "" {
		req.Header.Set(InstanceHeader, c.Instance)
	}
	res, err := c.Do(req)
	if err != nil {
		return c.unavailable(r, !notDialled(err), 0, err)
	}
	body, readErr := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err := errors.Join(readErr, res.Body.Close()); err != nil {
		return c.unavailable(r, true, 0, err)
	}
	return c.decode(res.StatusCode, body, r, into)
}

// unavailable builds the error of a call without a usable answer; sent tells whether the service may have received the call.
func (c *Client) unavailable(r request, sent bool, status int, cause error) error {
	maybe := sent && !refusedStatus(status)
	if c.Maybe != nil {
		maybe = c.Maybe(sent, status)
	}
	return &UnavailableError{Op: r.op, Key: r.key, MaybeApplied: maybe && r.method != http.MethodGet, Sent: sent, Cause: cause}
}

func (c *Client) decode(status int, body []byte, r request, into any) error {
	undecodable := func(err error) error {
		return c.unavailable(r, true, 0, eris.Wrap(err, "decoding answer"))
	}
	switch status {
	case http.StatusOK:
		if into == nil {
			return nil
		}
		if err := json.Unmarshal(body, into); err != nil {
			return undecodable(err)
		}
		return nil
	case http.StatusNotFound, http.StatusConflict:
		var current Entry
		if err := json.Unmarshal(body, &current); err != nil {
			return undecodable(err)
		}
		if status == http.StatusNotFound {
			return &NotFoundError{Key: r.key, Revision: current.Revision}
		}
		return &ConflictError{Key: r.key, Want: r.version, Current: current}
	default:
		return c.unavailable(r, true, status, &StatusError{Status: status, Body: string(body)})
	}
}

// refusedStatus reports a status that is answered before anything is applied: 503, as the service defines it, and those by which
// HTTP refuses a request that it does not process. Any other proves nothing.
func refusedStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || malformedStatus(status)
}

// malformedStatus reports a status that is about the request and not about the service.
func malformedStatus(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusRequestURITooLong,
		http.StatusRequestHeaderFieldsTooLarge:
		return true
	default:
		return false
	}
}

// refusedOnly reports an answer that shows that the service works.
func refusedOnly(err *UnavailableError) bool {
	var status *StatusError
	return errors.As(err.Cause, &status) && malformedStatus(status.Status)
}

// notDialled reports an error that proves that there was no connection to send on.
func notDialled(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) tooLarge(r request) error {
	if len(r.body) <= MaxValueBytes {
		return nil
	}
	return &TooLargeError{Key: r.key, Bytes: len(r.body)}
}

func result(err error) string {
	var conflict *ConflictError
	var notFound *NotFoundError
	var unavailable *UnavailableError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &notFound):
		return "not-found"
	case errors.As(err, &unavailable) && !unavailable.Sent:
		return "not-sent"
	default:
		return "unavailable"
	}
}

func keyPath(key string) string {
	return "/v1/kv/" + (&url.URL{Path: strings.TrimPrefix(key, "/")}).EscapedPath()
}

func leasePath(id LeaseID) string { return "/v1/leases/" + strconv.FormatUint(uint64(id), 10) }
