package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/metric"
)

// Client calls workers by address; it may be used concurrently.
type Client struct {
	// Timeout bounds each call; 0 means DefaultTimeout. Stop adds the time that a checkpoint may take.
	Timeout time.Duration
	Log     zerolog.Logger
	Metrics *metric.Set
	// Do sends a request; tests replace it to reach a fake worker without a network.
	Do func(*http.Request) (*http.Response, error)
}

// Limits of the client.
const (
	// DefaultTimeout bounds a call of a Client without a Timeout.
	DefaultTimeout = 2 * time.Second
	// maxAnswerBytes limits the part of an answer that is read; a longer answer fails to decode.
	maxAnswerBytes = 4 << 20
)

// RefusalReason is the reason why a worker refused a call.
type RefusalReason string

// Reasons of refusals.
const (
	// RefusedStaleToken means that the worker has seen a higher fencing token.
	RefusedStaleToken    RefusalReason = "stale-token"
	RefusedFull          RefusalReason = "full"
	RefusedNoReservation RefusalReason = "no-reservation"
	// RefusedOther stands for refusals without a reason.
	RefusedOther RefusalReason = "refused"
)

// RefusedError reports a definite refusal: the call had no effect.
type RefusedError struct {
	Address string        `json:"-"`
	Op      string        `json:"-"`
	Reason  RefusalReason `json:"reason"`
	Message string        `json:"message"`
}

// Error names the worker, the call and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused %s (%s): %s", e.Address, e.Op, e.Reason, e.Message)
}

// InDoubtError reports a call without a usable answer; it may have taken effect.
type InDoubtError struct {
	Address, Op string
	Cause       error
}

// Error names the worker, the call and the cause.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("worker %s did not answer %s: %v", e.Address, e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Cause }

// Refused reports whether err is a definite refusal, and its reason.
func Refused(err error) (RefusalReason, bool) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason, true
	}
	return "", false
}

// New returns a client with its own connection pool, and a function that closes the idle connections.
func New(metrics *metric.Set) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4, IdleConnTimeout: 20 * time.Second}
	client := &http.Client{Transport: transport}
	return &Client{Timeout: DefaultTimeout, Metrics: metrics, Do: client.Do}, transport.CloseIdleConnections
}

// Reserve reserves accelerators. Like all calls of Client, it returns a RefusedError or an InDoubtError if it fails.
func (c *Client) Reserve(ctx context.Context, address string, message Reserve) (Reserved, error) {
	return sendCall[Reserved](ctx, c, address, "reserve", message, 0)
}

// Start starts a task and returns the worker's status.
func (c *Client) Start(ctx context.Context, address string, message Start) (Status, error) {
	return sendCall[Status](ctx, c, address, "start", message, 0)
}

// Renew renews the leases of jobs and returns their tasks.
func (c *Client) Renew(ctx context.Context, address string, message Renew) (Status, error) {
	return sendCall[Status](ctx, c, address, "renew", message, 0)
}

// Stop stops the tasks of a job and returns them. A checkpoint may take up to WithinMs in addition to Timeout.
func (c *Client) Stop(ctx context.Context, address string, message Stop) (Status, error) {
	extraTimeout := time.Duration(0)
	if message.Mode == ModeCheckpoint {
		extraTimeout = time.Duration(message.WithinMs) * time.Millisecond
	}
	return sendCall[Status](ctx, c, address, "stop", message, extraTimeout)
}

// Release ends a reservation.
func (c *Client) Release(ctx context.Context, address string, message Release) error {
	_, err := sendCall[Status](ctx, c, address, "release", message, 0)
	return err
}

// State returns all tasks and reservations of the worker.
func (c *Client) State(ctx context.Context, address string) (Status, error) {
	return sendCall[Status](ctx, c, address, "state", nil, 0)
}

// sendCall posts a message, or sends a GET request if it is nil, and decodes the answer. The call is bounded by the client's timeout
// plus extraTimeout.
func sendCall[Res any](ctx context.Context, c *Client, address, op string, message any, extraTimeout time.Duration) (Res, error) {
	var answer Res
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+extraTimeout)
	defer cancel()
	inDoubtError := func(cause error) error { return &InDoubtError{Address: address, Op: op, Cause: cause} }
	req, err := newRequest(ctx, address, op, message)
	if err != nil {
		return answer, inDoubtError(err)
	}
	res, err := c.Do(req)
	if err != nil {
		return answer, inDoubtError(err)
	}
	body, readErr := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err := errors.Join(readErr, res.Body.Close()); err != nil {
		return answer, inDoubtError(err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(body, &answer); err != nil {
			return answer, inDoubtError(eris.Wrap(err, "decoding answer"))
		}
		return answer, nil
	case http.StatusConflict, http.StatusServiceUnavailable:
		refused := &RefusedError{Address: address, Op: op, Reason: RefusedOther}
		if err := json.Unmarshal(body, refused); err != nil {
			return answer, inDoubtError(eris.Wrap(err, "decoding refusal"))
		}
		return answer, refused
	default:
		return answer, inDoubtError(eris.Errorf("status %d: %.200s", res.StatusCode, body))
	}
}

func newRequest(ctx context.Context, address, op string, message any) (*http.Request, error) {
	if message == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/"+op, http.NoBody)
	}
	body, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrapf(err, "encoding %s", op)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/"+op, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
