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
	// maxResponseBytes bounds the memory for one response; listings are the largest.
	maxResponseBytes = 256 << 20
	// slowThreshold is the time without an answer after which a call counts as failed although the context of its caller ended it.
	slowThreshold = time.Second
)

// InstanceHeader names the calling instance, for the service's own logs.
const InstanceHeader = "X-Instance"

// request describes one call.
type request struct {
	op, key, method, path string
	query                 url.Values
	body                  []byte
	timeout               time.Duration
	version               Version // expected version of a write
}

// call sends a call through the breaker, decodes the answer into the value that into points to, and counts the result.
func (c *Client) call(ctx context.Context, r request, into any) error {
	err := c.callWithBreaker(ctx, r, into)
	if c.Metrics != nil {
		c.Metrics.StoreCalls.WithLabelValues(c.Role, r.op, resultLabel(err)).Inc()
	}
	return err
}

// callWithBreaker sends a call unless the breaker is open, and records the result in the breaker.
func (c *Client) callWithBreaker(ctx context.Context, r request, into any) error {
	if err := errors.Join(ctx.Err(), c.checkSize(r)); err != nil {
		return c.unavailableError(r, false, 0, err)
	}
	if err := c.Breaker.admit(); err != nil {
		return c.unavailableError(r, false, 0, err)
	}
	started := time.Now()
	err := c.send(ctx, r, into)
	var callErr *UnavailableError
	switch {
	case !errors.As(err, &callErr):
		c.Breaker.recordResult(true)
	case ctx.Err() != nil && time.Since(started) < slowThreshold:
		// The caller cancelled the call early, which shows nothing about the service.
	case showsServiceUp(callErr):
		c.Breaker.recordResult(true)
	default:
		c.Breaker.recordResult(false)
	}
	return err
}

// send sends a call without regard to the breaker.
func (c *Client) send(ctx context.Context, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	target := c.BaseURL + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return c.unavailableError(r, false, 0, err)
	}
	if c.Instance != "" {
		req.Header.Set(InstanceHeader, c.Instance)
	}
	res, err := c.Do(req)
	if err != nil {
		return c.unavailableError(r, !isDialError(err), 0, err)
	}
	body, readErr := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err := errors.Join(readErr, res.Body.Close()); err != nil {
		return c.unavailableError(r, true, 0, err)
	}
	return c.decodeResponse(res.StatusCode, body, r, into)
}

// unavailableError returns the error of a call without a usable answer; sent tells whether the service may have received the call.
func (c *Client) unavailableError(r request, sent bool, status int, cause error) error {
	maybeApplied := sent && !isNotAppliedStatus(status)
	if c.MayHaveApplied != nil {
		maybeApplied = c.MayHaveApplied(sent, status)
	}
	return &UnavailableError{Op: r.op, Key: r.key, MaybeApplied: maybeApplied && r.method != http.MethodGet, Sent: sent, Cause: cause}
}

func (c *Client) decodeResponse(status int, body []byte, r request, into any) error {
	decodeError := func(err error) error {
		return c.unavailableError(r, true, 0, eris.Wrap(err, "decoding answer"))
	}
	switch status {
	case http.StatusOK:
		if into == nil {
			return nil
		}
		if err := json.Unmarshal(body, into); err != nil {
			return decodeError(err)
		}
		return nil
	case http.StatusNotFound, http.StatusConflict:
		var current Entry
		if err := json.Unmarshal(body, &current); err != nil {
			return decodeError(err)
		}
		if status == http.StatusNotFound {
			return &NotFoundError{Key: r.key, Revision: current.Revision}
		}
		return &ConflictError{Key: r.key, Want: r.version, Current: current}
	default:
		return c.unavailableError(r, true, status, &StatusError{Status: status, Body: string(body)})
	}
}

// isNotAppliedStatus reports whether the service sends the status before it applies anything: 503, as the service defines it, and
// the statuses by which HTTP rejects a request without processing it. Any other status proves nothing.
func isNotAppliedStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || isRequestErrorStatus(status)
}

// isRequestErrorStatus reports whether the status is about the request and not about the state of the service.
func isRequestErrorStatus(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusRequestURITooLong,
		http.StatusRequestHeaderFieldsTooLarge:
		return true
	default:
		return false
	}
}

// showsServiceUp reports whether the error is an answer which shows that the service works and only rejected the request.
func showsServiceUp(err *UnavailableError) bool {
	var status *StatusError
	return errors.As(err.Cause, &status) && isRequestErrorStatus(status.Status)
}

// isDialError reports whether the error proves that there was no connection to send the call on.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (c *Client) checkSize(r request) error {
	if len(r.body) <= MaxValueBytes {
		return nil
	}
	return &TooLargeError{Key: r.key, Bytes: len(r.body)}
}

// resultLabel returns the value of the result label in the metrics.
func resultLabel(err error) string {
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
