package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Caller calls the callers' interface; it may be used concurrently.
type Caller struct {
	Target   Target
	Customer model.CustomerID
}

// Request is one request of a caller.
type Request struct {
	Class model.RequestClassID
	// ID identifies the request; every repeat of the request must have the same id. See NewRequestID.
	ID model.RequestID
	// Timeout is the time until the deadline; zero leaves it to the class.
	Timeout     time.Duration
	ContentType string
	Body        []byte
}

// Answer is the complete answer to a request.
type Answer struct {
	Body        []byte
	ContentType string
	RequestID   model.RequestID
	Instance    model.InstanceID
	// Attempts is the number of sends to endpoints.
	Attempts int
}

// answerGracePeriod is added to a request's timeout, so that the instance's own answer at the deadline still arrives.
const answerGracePeriod = time.Second

// maxRequestTimeout is the longest timeout that an instance accepts; it applies where a request states none.
const maxRequestTimeout = 30 * time.Second

// NewCaller returns a caller of one customer, and a function that closes its idle connections.
func NewCaller(addresses []string, customer model.CustomerID) (*Caller, func()) {
	httpClient := newHTTPClient()
	return &Caller{Target: Target{Addresses: addresses, Do: httpClient.Do}, Customer: customer}, httpClient.CloseIdleConnections
}

// Do sends a request and returns its complete answer. Repeating a request with the same id at another address is safe: a
// request that is not idempotent is sent to endpoints at most once.
func (c *Caller) Do(ctx context.Context, request Request) (Answer, error) {
	err := errors.Join(checkRequired("class", string(request.Class)), checkRequired("request id", string(request.ID)), checkRequired("customer", string(c.Customer)))
	if err != nil {
		return Answer{}, err
	}
	requestTimeout, deadline := maxRequestTimeout, time.Time{}
	if request.Timeout > 0 {
		requestTimeout, deadline = request.Timeout, time.Now().Add(request.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+answerGracePeriod)
	defer cancel()
	header := http.Header{}
	header.Set(reply.HeaderCustomer, string(c.Customer))
	header.Set(reply.HeaderRequestID, string(request.ID))
	if request.ContentType != "" {
		header.Set("Content-Type", request.ContentType)
	}
	got, err := c.Target.sendToAny(ctx, apiCall{
		method: http.MethodPost, path: path("v1", "requests", string(request.Class)), header: header, body: request.Body,
		repeatable: true, timeout: requestTimeout + answerGracePeriod, deadline: deadline,
		check: func(h http.Header) *reply.Error { return checkAnswer(h, request.ID) },
	})
	if err != nil {
		return Answer{}, err
	}
	// The number of attempts is informative; an instance that omits it has sent the request once.
	attempts, err := strconv.Atoi(got.header.Get(reply.HeaderAttempts))
	if err != nil {
		attempts = 1
	}
	return Answer{
		Body: got.body, ContentType: got.header.Get("Content-Type"), RequestID: request.ID,
		Instance: model.InstanceID(got.header.Get(reply.HeaderInstance)), Attempts: attempts,
	}, nil
}

// checkAnswer returns an error unless the answer has the wanted request id and outcome done.
func checkAnswer(header http.Header, want model.RequestID) *reply.Error {
	if got := header.Get(reply.HeaderRequestID); got != string(want) {
		return reply.Unknown(reply.ReasonAnswerCrossed, "the answer is for request %q, not %q", got, want)
	}
	if got := header.Get(reply.HeaderOutcome); got != string(reply.OutcomeDone) {
		return reply.Unknown(reply.ReasonAnswerIncomplete, "the answer has outcome %q, not %q", got, reply.OutcomeDone)
	}
	return nil
}

// Job describes a job to run.
type Job struct {
	// ID is chosen by the submitter and unique in the deployment; submitting the same job again is safe.
	ID       model.JobID      `json:"id"`
	Customer model.CustomerID `json:"customer"`
	Class    model.JobClassID `json:"class"`
	Shape    model.ShapeID    `json:"shape"`
	// DataCentre is the preferred data centre; empty leaves the choice to the system.
	DataCentre model.DataCentreID `json:"data-centre,omitempty"`
	// RunTime is the expected run time; it affects only the order of jobs.
	RunTime model.Duration `json:"run-time,omitempty"`
	// Payload is passed to the workers unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// JobRecord is the state of a job.
type JobRecord struct {
	Spec        Job                `json:"spec"`
	State       string             `json:"state"`
	DataCentre  model.DataCentreID `json:"data-centre"`
	Owner       model.InstanceID   `json:"owner,omitempty"`
	SubmittedAt time.Time          `json:"submitted-at"`
	StartedAt   time.Time          `json:"started-at"`
	EndedAt     time.Time          `json:"ended-at"`
	// Lent is true while the job runs on capacity that is bound to another customer's guarantee.
	Lent            bool          `json:"lent,omitempty"`
	Attempts        int           `json:"attempts,omitempty"`
	CancelRequested bool          `json:"cancel-requested,omitempty"`
	Outcome         reply.Outcome `json:"outcome,omitempty"`
	Reason          reply.Reason  `json:"reason,omitempty"`
	Message         string        `json:"message,omitempty"`
	// Raw is the whole record as the instance sent it, with placement and history.
	Raw json.RawMessage `json:"-"`
}

// UnmarshalJSON decodes the record and keeps the raw JSON.
func (r *JobRecord) UnmarshalJSON(data []byte) error {
	type plain JobRecord
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return err
	}
	r.Raw = append(json.RawMessage(nil), data...)
	return nil
}

// Submit submits a job; it returns when the job's record is durable. A job without a customer gets that of c.
func (c *Caller) Submit(ctx context.Context, job Job) (JobRecord, error) {
	if job.Customer == "" {
		job.Customer = c.Customer
	}
	return c.Target.submitJob(ctx, job, c.header())
}

// Get reads the record of a job.
func (c *Caller) Get(ctx context.Context, id model.JobID) (JobRecord, error) {
	return c.Target.callJob(ctx, http.MethodGet, id, c.header())
}

// Cancel requests that a job stops and returns its record; a job that has ended is not changed.
func (c *Caller) Cancel(ctx context.Context, id model.JobID) (JobRecord, error) {
	return c.Target.callJob(ctx, http.MethodDelete, id, c.header())
}

func (c *Caller) header() http.Header {
	header := jsonHeader()
	header.Set(reply.HeaderCustomer, string(c.Customer))
	return header
}

func (t *Target) submitJob(ctx context.Context, job Job, header http.Header) (JobRecord, error) {
	if err := checkRequired("job id", string(job.ID)); err != nil {
		return JobRecord{}, err
	}
	body, err := encode(job)
	if err != nil {
		return JobRecord{}, err
	}
	return fetchJSON[JobRecord](ctx, t, apiCall{method: http.MethodPost, path: "/v1/jobs", header: header, body: body, repeatable: true})
}

func (t *Target) callJob(ctx context.Context, method string, id model.JobID, header http.Header) (JobRecord, error) {
	if err := checkRequired("job id", string(id)); err != nil {
		return JobRecord{}, err
	}
	readOnly := method == http.MethodGet
	return fetchJSON[JobRecord](ctx, t, apiCall{method: method, path: path("v1", "jobs", string(id)), header: header, readOnly: readOnly, repeatable: true})
}

func newRandomID() string { return strings.ToLower(rand.Text()) }
