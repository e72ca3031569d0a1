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
	// ID identifies the request; every repeat of the same request must carry the same id. See NewRequestID.
	ID model.RequestID
	// Timeout is the deadline; zero leaves it to the class.
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
	// Attempts counts the sends to endpoints.
	Attempts int
}

// answerGrace is the time beyond a request's deadline in which the instance's own answer still arrives.
const answerGrace = time.Second

// longestRequest is the longest deadline that an instance accepts.
const longestRequest = 30 * time.Second

// NewCaller returns a caller of one customer, and a function that closes its connections.
func NewCaller(addresses []string, customer model.CustomerID) (*Caller, func()) {
	connections := newHTTP()
	return &Caller{Target: Target{Addresses: addresses, Do: connections.Do}, Customer: customer}, connections.CloseIdleConnections
}

// Do sends a request and returns its complete answer. The same id makes a repeat at another address safe: instances send
// a request that must not be repeated at most once.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	err := errors.Join(required("class", string(r.Class)), required("request id", string(r.ID)), required("customer", string(c.Customer)))
	if err != nil {
		return Answer{}, err
	}
	limit, deadline := longestRequest, time.Time{}
	if r.Timeout > 0 {
		limit, deadline = r.Timeout, time.Now().Add(r.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, limit+answerGrace)
	defer cancel()
	header := http.Header{}
	header.Set(reply.HeaderCustomer, string(c.Customer))
	header.Set(reply.HeaderRequestID, string(r.ID))
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	got, err := c.Target.send(ctx, call{
		method: http.MethodPost, path: path("v1", "requests", string(r.Class)), header: header, body: r.Body,
		repeatable: true, timeout: limit + answerGrace, deadline: deadline,
		check: func(h http.Header) *reply.Error { return checkAnswer(h, r.ID) },
	})
	if err != nil {
		return Answer{}, err
	}
	// Attempts is informative; an instance that leaves it out sent the request once.
	attempts, err := strconv.Atoi(got.header.Get(reply.HeaderAttempts))
	if err != nil {
		attempts = 1
	}
	return Answer{
		Body: got.body, ContentType: got.header.Get("Content-Type"), RequestID: r.ID,
		Instance: model.InstanceID(got.header.Get(reply.HeaderInstance)), Attempts: attempts,
	}, nil
}

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
	// DataCentre is a wish; empty leaves the choice to the system.
	DataCentre model.DataCentreID `json:"data-centre,omitempty"`
	// RunTime is the expected time; it affects only ordering.
	RunTime model.Duration `json:"run-time,omitempty"`
	// Payload is handed to the workers as it is.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// JobRecord is the state of a job.
type JobRecord struct {
	Spec            Job                `json:"spec"`
	State           string             `json:"state"`
	DataCentre      model.DataCentreID `json:"data-centre"`
	Owner           model.InstanceID   `json:"owner,omitempty"`
	SubmittedAt     time.Time          `json:"submitted-at"`
	StartedAt       time.Time          `json:"started-at"`
	EndedAt         time.Time          `json:"ended-at"`
	Lent            bool               `json:"lent,omitempty"`
	Attempts        int                `json:"attempts,omitempty"`
	CancelRequested bool               `json:"cancel-requested,omitempty"`
	Outcome         reply.Outcome      `json:"outcome,omitempty"`
	Reason          reply.Reason       `json:"reason,omitempty"`
	Message         string             `json:"message,omitempty"`
	// Raw is the whole record as the instance sent it, with placement and history.
	Raw json.RawMessage `json:"-"`
}

// UnmarshalJSON decodes the record and keeps the raw text.
func (r *JobRecord) UnmarshalJSON(data []byte) error {
	type plain JobRecord
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return err
	}
	r.Raw = append(json.RawMessage(nil), data...)
	return nil
}

// Submit hands a job to the system; it returns when the job's record is durable.
func (c *Caller) Submit(ctx context.Context, job Job) (JobRecord, error) {
	if job.Customer == "" {
		job.Customer = c.Customer
	}
	return c.Target.submit(ctx, job, c.header())
}

// Get reads the record of a job.
func (c *Caller) Get(ctx context.Context, id model.JobID) (JobRecord, error) {
	return c.Target.job(ctx, http.MethodGet, id, c.header())
}

// Cancel asks for a job to be stopped and returns its record; a job that has ended stays as it is.
func (c *Caller) Cancel(ctx context.Context, id model.JobID) (JobRecord, error) {
	return c.Target.job(ctx, http.MethodDelete, id, c.header())
}

func (c *Caller) header() http.Header {
	header := jsonHeader()
	header.Set(reply.HeaderCustomer, string(c.Customer))
	return header
}

func (t *Target) submit(ctx context.Context, job Job, header http.Header) (JobRecord, error) {
	if err := required("job id", string(job.ID)); err != nil {
		return JobRecord{}, err
	}
	body, err := encode(job)
	if err != nil {
		return JobRecord{}, err
	}
	return fetch[JobRecord](ctx, t, call{method: http.MethodPost, path: "/v1/jobs", header: header, body: body, repeatable: true})
}

func (t *Target) job(ctx context.Context, method string, id model.JobID, header http.Header) (JobRecord, error) {
	if err := required("job id", string(id)); err != nil {
		return JobRecord{}, err
	}
	reads := method == http.MethodGet
	return fetch[JobRecord](ctx, t, call{method: method, path: path("v1", "jobs", string(id)), header: header, reads: reads, repeatable: true})
}

func newID() string { return strings.ToLower(rand.Text()) }
