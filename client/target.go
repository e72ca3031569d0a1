package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Target is a set of instances that serve the same interface. It may be used concurrently while its fields do not change.
type Target struct {
	// Addresses are base URLs such as "http://10.0.0.7:7100", tried in this order.
	Addresses []string
	// Timeout bounds each attempt of a call other than Caller.Do; zero means DefaultTimeout.
	Timeout time.Duration
	// Do sends one HTTP request; nil opens a connection for each call.
	Do func(*http.Request) (*http.Response, error)
}

// Bounds of calls and answers.
const (
	// DefaultTimeout covers two calls to a slow store (2 s each) and the processing between them.
	DefaultTimeout = 10 * time.Second
	dialTimeout    = 2 * time.Second
	maxAnswerBytes = 64 << 20
)

// UnreachableError reports that no address answered and that the call changed nothing.
type UnreachableError struct {
	Addresses []string
	// Cause is the error of the last address.
	Cause error
}

// Error names the addresses and the last cause.
func (e *UnreachableError) Error() string {
	if len(e.Addresses) == 0 {
		return "no address of an instance is given"
	}
	return fmt.Sprintf("no instance answered at %s: %v", strings.Join(e.Addresses, ", "), e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 20 * time.Second,
	}
	return &http.Client{
		Transport: transport,
		// A redirect could repeat a request or send a bearer token elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// apiCall is one HTTP call that may be sent to several addresses.
type apiCall struct {
	method, path string
	query        url.Values
	header       http.Header
	body         []byte
	// readOnly is true when the call changes nothing, so that a lost answer leaves nothing unknown.
	readOnly bool
	// repeatable is true when an id in the call makes a second send safe.
	repeatable bool
	timeout    time.Duration
	// deadline is the deadline of a request; each attempt sends the remaining time. Zero leaves it to the class.
	deadline time.Time
	// check returns an error if the headers show that the answer belongs to another call or is incomplete; a nil check accepts
	// every answer.
	check func(http.Header) *reply.Error
}

type answer struct {
	status int
	header http.Header
	body   []byte
}

// sendToAny tries the addresses in order. After a lost answer, a refusal by another instance no longer proves that nothing ran,
// so the outcome is unknown.
func (t *Target) sendToAny(ctx context.Context, c apiCall) (answer, error) {
	var unknown, refusal *reply.Error
	var lastErr error
	for _, address := range t.Addresses {
		got, err := t.sendTo(ctx, address, c)
		if err == nil {
			return got, nil
		}
		var lost *lostError
		var replied *reply.Error
		switch {
		case errors.As(err, &lost) && c.readOnly:
			lastErr = err
		case errors.As(err, &lost):
			unknown = &lost.Unknown
			if !c.repeatable || ctx.Err() != nil {
				return answer{}, unknown
			}
		case errors.As(err, &replied) && replied.Outcome == reply.OutcomeRefused:
			if unknown != nil {
				return answer{}, unknownAfterRefusal(unknown, replied)
			}
			if !mayAcceptElsewhere(replied.Reason) {
				return answer{}, replied
			}
			refusal = replied
		case errors.As(err, &replied):
			return answer{}, replied
		default:
			lastErr = err
		}
	}
	switch {
	case unknown != nil:
		return answer{}, unknown
	case refusal != nil:
		return answer{}, refusal
	default:
		return answer{}, &UnreachableError{Addresses: t.Addresses, Cause: lastErr}
	}
}

// mayAcceptElsewhere reports whether another instance may accept a call that was refused for this reason. Overload is not
// such a reason, because a second send would add load.
func mayAcceptElsewhere(reason reply.Reason) bool {
	return reason == reply.ReasonDraining || reason == reply.ReasonConfigStale
}

// unknownAfterRefusal returns the error for a call whose answer was lost and whose repeat was refused.
func unknownAfterRefusal(unknown, refusal *reply.Error) *reply.Error {
	result := *refusal
	result.Outcome, result.Reason = reply.OutcomeUnknown, unknown.Reason
	result.Message = fmt.Sprintf("%s; the repeat at another instance was refused (%s): %s", unknown.Message, refusal.Reason, refusal.Message)
	return &result
}

// lostError reports a call that may have been sent and has no complete answer.
type lostError struct{ Unknown reply.Error }

func (e *lostError) Error() string { return e.Unknown.Error() }

func newLostError(reason reply.Reason, format string, args ...any) error {
	return &lostError{Unknown: *reply.Unknown(reason, format, args...)}
}

// sendTo sends the call to one address and reads the whole answer.
func (t *Target) sendTo(ctx context.Context, address string, c apiCall) (answer, error) {
	timeout := c.timeout
	if timeout == 0 {
		timeout = t.Timeout
	}
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return answer{}, eris.Wrapf(err, "sending to %s", address)
	}
	target := strings.TrimRight(address, "/") + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return answer{}, eris.Wrap(err, "building call")
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	if !c.deadline.IsZero() {
		left := time.Until(c.deadline).Milliseconds()
		if left < 1 {
			return answer{}, eris.Wrapf(context.DeadlineExceeded, "sending to %s", address)
		}
		request.Header.Set(reply.HeaderTimeout, strconv.FormatInt(left, 10))
	}
	response, err := t.do(request)
	if err != nil {
		return answer{}, classifySendError(address, err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		return answer{}, newLostError(reply.ReasonAnswerIncomplete, "the answer of %s was cut off after %d bytes: %v", address, len(body), err)
	case len(body) > maxAnswerBytes:
		return answer{}, newLostError(reply.ReasonAnswerIncomplete, "the answer of %s is larger than %d bytes", address, maxAnswerBytes)
	}
	got := answer{status: response.StatusCode, header: response.Header, body: body}
	if got.status/100 != 2 {
		return answer{}, decodeError(address, got)
	}
	if c.check != nil {
		if wrong := c.check(got.header); wrong != nil {
			return answer{}, &lostError{Unknown: *wrong}
		}
	}
	return got, nil
}

func (t *Target) do(request *http.Request) (*http.Response, error) {
	if t.Do == nil {
		request.Close = true
		return newHTTPClient().Do(request)
	}
	return t.Do(request)
}

// classifySendError returns a *lostError unless the connection could not be opened: only an error of a dial proves that
// nothing was sent.
func classifySendError(address string, err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return eris.Wrapf(err, "connecting to %s", address)
	}
	return newLostError(reply.ReasonAnswerLost, "no answer came from %s: %v", address, err)
}

// decodeError turns an error answer into a *reply.Error. An answer in another form comes from an intermediary, such as a
// balancer, and proves nothing about the call.
func decodeError(address string, got answer) error {
	var decoded reply.Error
	err := json.Unmarshal(got.body, &decoded)
	switch decoded.Outcome {
	case reply.OutcomeRefused, reply.OutcomeFailed, reply.OutcomeUnknown:
		if err == nil && decoded.Reason != "" {
			return &decoded
		}
	}
	return newLostError(reply.ReasonAnswerLost, "%s answered status %d without an outcome", address, got.status)
}

// fetchJSON sends a call and decodes its JSON answer.
func fetchJSON[T any](ctx context.Context, t *Target, c apiCall) (T, error) {
	var value T
	got, err := t.sendToAny(ctx, c)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(got.body, &value); err != nil {
		if c.readOnly {
			return value, eris.Wrapf(err, "decoding answer of %s %s", c.method, c.path)
		}
		return value, reply.Unknown(reply.ReasonAnswerIncomplete, "the answer cannot be decoded: %v", err)
	}
	return value, nil
}

// encode marshals a body; it fails only for invalid raw JSON that the user supplied.
func encode(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, reply.Refused(reply.ReasonMalformed, "encoding body: %v", err)
	}
	return body, nil
}

// path joins the escaped parts to a path.
func path(parts ...string) string {
	var text strings.Builder
	for _, part := range parts {
		text.WriteString("/" + url.PathEscape(part))
	}
	return text.String()
}

// checkRequired returns an error if a value is empty or cannot be an element of a path.
func checkRequired(name, value string) error {
	switch value {
	case "":
		return reply.Refused(reply.ReasonMalformed, "%s is required", name)
	case ".", "..":
		// Servers remove these elements from a path, so the call would reach another path.
		return reply.Refused(reply.ReasonMalformed, "%s cannot be %q", name, value)
	}
	return nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

// NewChangeID returns a random id for a change.
func NewChangeID() model.ChangeID { return model.ChangeID("change-" + newRandomID()) }

// NewRequestID returns a random id for a request.
func NewRequestID() model.RequestID { return model.RequestID(newRandomID()) }
