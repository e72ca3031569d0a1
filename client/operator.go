package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Operator calls the operators' interface; it may be used concurrently.
type Operator struct {
	Target Target
	// Token is the operator's bearer token.
	Token string
}

// Change is a set of objects to put and delete, applied whole or not at all.
type Change struct {
	// ID makes a repeat after a lost answer safe. See NewChangeID.
	ID model.ChangeID `json:"change-id"`
	// Base is the revision that the change was made from; 0 is the empty configuration.
	Base   model.Revision `json:"base-revision"`
	Put    []model.Object `json:"put,omitempty"`
	Delete []model.Ref    `json:"delete,omitempty"`
	// DryRun checks the change and changes nothing.
	DryRun bool `json:"dry-run,omitempty"`
}

// Result is what a change did.
type Result struct {
	ChangeID model.ChangeID `json:"change-id"`
	Revision model.Revision `json:"revision"`
	// Already is true when an earlier send of the same change took effect.
	Already  bool        `json:"already,omitempty"`
	Changed  []model.Ref `json:"changed,omitempty"`
	Warnings []string    `json:"warnings,omitempty"`
}

// Objects is a configuration, or the part of it that was asked for.
type Objects struct {
	Revision model.Revision `json:"revision"`
	ChangeID model.ChangeID `json:"change-id,omitempty"`
	Objects  []model.Object `json:"objects"`
}

// Selection limits Objects; zero fields do not limit.
type Selection struct {
	Kind model.Kind
	Name string
	// Revision reads an earlier configuration, up to 30 days old.
	Revision model.Revision
}

// Status is the state of the deployment as one instance sees it.
type Status struct {
	Instance    model.InstanceID   `json:"instance"`
	Revision    model.Revision     `json:"revision"`
	Level       string             `json:"level"`
	Members     []MemberStatus     `json:"members"`
	DataCentres []DataCentreStatus `json:"data-centres"`
	Leaving     []model.EndpointID `json:"leaving,omitempty"`
}

// MemberStatus is what an instance last heard from a member, itself included.
type MemberStatus struct {
	Instance   model.InstanceID   `json:"instance"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Revision   model.Revision     `json:"revision"`
	// Confirmed is true when the member has proved within the last 3 s that its revision is current.
	Confirmed bool `json:"confirmed"`
	Draining  bool `json:"draining,omitempty"`
	// ConfirmedAge is the time since the member proved its revision to be the newest.
	ConfirmedAge model.Duration `json:"confirmed-age"`
}

// DataCentreStatus sums up one data centre; its owner reported it Age ago.
type DataCentreStatus struct {
	DataCentre      model.DataCentreID `json:"data-centre"`
	Service         model.ServiceState `json:"service"`
	Owner           model.InstanceID   `json:"owner,omitempty"`
	Free            model.Accelerators `json:"free"`
	LargestRackFree model.Accelerators `json:"largest-rack-free"`
	Queued          int                `json:"queued"`
	Running         int                `json:"running"`
	Age             model.Duration     `json:"age"`
}

// Event is one recorded decision.
type Event struct {
	At       time.Time         `json:"at"`
	Instance model.InstanceID  `json:"instance"`
	Subject  Subject           `json:"subject"`
	Action   string            `json:"action"`
	Reason   string            `json:"reason,omitempty"`
	Revision model.Revision    `json:"revision,omitempty"`
	Inputs   map[string]string `json:"inputs,omitempty"`
}

// Subject is what a decision is about.
type Subject struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
}

// NewOperator returns an operator, and a function that closes its connections.
func NewOperator(addresses []string, token string) (*Operator, func()) {
	connections := newHTTP()
	return &Operator{Target: Target{Addresses: addresses, Do: connections.Do}, Token: token}, connections.CloseIdleConnections
}

// Publish applies a change. After a lost answer it repeats the change at other addresses with the same id, and then looks
// the change up; the result is unknown only when neither answers.
func (o *Operator) Publish(ctx context.Context, change Change) (Result, error) {
	if err := required("change id", string(change.ID)); err != nil {
		return Result{}, err
	}
	body, err := encode(change)
	if err != nil {
		return Result{}, err
	}
	return o.change(ctx, change.ID, "/v1/changes", body, change.DryRun)
}

// Change looks up a change. A *reply.Error with reason not-found means that it has not taken effect.
func (o *Operator) Change(ctx context.Context, id model.ChangeID) (Result, error) {
	if err := required("change id", string(id)); err != nil {
		return Result{}, err
	}
	return fetch[Result](ctx, &o.Target, o.read(path("v1", "changes", string(id)), nil))
}

// change sends a call that carries a change id and resolves a lost answer by reading.
func (o *Operator) change(ctx context.Context, id model.ChangeID, path string, body []byte, dryRun bool) (Result, error) {
	result, err := fetch[Result](ctx, &o.Target, call{
		method: http.MethodPost, path: path, header: o.header(), body: body, reads: dryRun, repeatable: true,
	})
	var replied *reply.Error
	if !errors.As(err, &replied) || replied.Outcome != reply.OutcomeUnknown {
		return result, err
	}
	found, lookupErr := o.Change(ctx, id)
	if lookupErr != nil {
		// Not found proves nothing here, as an instance may still be working on the change.
		return Result{}, err
	}
	found.Already = true
	return found, nil
}

// serviceCall is the body of out and in.
type serviceCall struct {
	ID model.ChangeID `json:"change-id"`
}

// Out takes a data centre out of service; the change id makes a repeat safe.
func (o *Operator) Out(ctx context.Context, dc model.DataCentreID, id model.ChangeID) (Result, error) {
	return o.service(ctx, dc, "out", id)
}

// In puts a data centre into service; the change id makes a repeat safe.
func (o *Operator) In(ctx context.Context, dc model.DataCentreID, id model.ChangeID) (Result, error) {
	return o.service(ctx, dc, "in", id)
}

func (o *Operator) service(ctx context.Context, dc model.DataCentreID, state string, id model.ChangeID) (Result, error) {
	if err := required("data centre", string(dc)); err != nil {
		return Result{}, err
	}
	if err := required("change id", string(id)); err != nil {
		return Result{}, err
	}
	body, err := encode(serviceCall{ID: id})
	if err != nil {
		return Result{}, err
	}
	return o.change(ctx, id, path("v1", "data-centres", string(dc), state), body, false)
}

// Objects reads the configuration.
func (o *Operator) Objects(ctx context.Context, s Selection) (Objects, error) {
	query := url.Values{}
	if s.Kind != "" {
		query.Set("kind", string(s.Kind))
	}
	if s.Name != "" {
		query.Set("name", s.Name)
	}
	if s.Revision != 0 {
		query.Set("revision", strconv.FormatUint(uint64(s.Revision), 10))
	}
	return fetch[Objects](ctx, &o.Target, o.read("/v1/objects", query))
}

// Jobs lists the records of all jobs.
func (o *Operator) Jobs(ctx context.Context) ([]JobRecord, error) {
	list, err := fetch[struct {
		Jobs []JobRecord `json:"jobs"`
	}](ctx, &o.Target, o.read("/v1/jobs", nil))
	return list.Jobs, err
}

// Submit hands in a job for any customer.
func (o *Operator) Submit(ctx context.Context, job Job) (JobRecord, error) {
	return o.Target.submit(ctx, job, o.header())
}

// Get reads the record of any job.
func (o *Operator) Get(ctx context.Context, id model.JobID) (JobRecord, error) {
	return o.Target.job(ctx, http.MethodGet, id, o.header())
}

// Cancel asks for any job to be stopped.
func (o *Operator) Cancel(ctx context.Context, id model.JobID) (JobRecord, error) {
	return o.Target.job(ctx, http.MethodDelete, id, o.header())
}

// Status reads the state of the deployment.
func (o *Operator) Status(ctx context.Context) (Status, error) {
	return fetch[Status](ctx, &o.Target, o.read("/v1/status", nil))
}

// ExplainRequest reads the recorded decisions on a request, oldest first.
func (o *Operator) ExplainRequest(ctx context.Context, customer model.CustomerID, id model.RequestID) ([]Event, error) {
	return o.explain(ctx, "request", string(customer), string(id))
}

// ExplainJob reads the recorded decisions on a job, oldest first.
func (o *Operator) ExplainJob(ctx context.Context, id model.JobID) ([]Event, error) {
	return o.explain(ctx, "job", string(id))
}

func (o *Operator) explain(ctx context.Context, parts ...string) ([]Event, error) {
	for _, part := range parts {
		if err := required("subject", part); err != nil {
			return nil, err
		}
	}
	list, err := fetch[struct {
		Events []Event `json:"events"`
	}](ctx, &o.Target, o.read(path(append([]string{"v1", "explain"}, parts...)...), nil))
	return list.Events, err
}

// Leaving marks an endpoint as leaving, so that it gets no new work; a repeat changes nothing.
func (o *Operator) Leaving(ctx context.Context, endpoint model.EndpointID) error {
	if err := required("endpoint", string(endpoint)); err != nil {
		return err
	}
	_, err := o.Target.send(ctx, call{
		method: http.MethodPost, path: path("v1", "endpoints", string(endpoint), "leaving"), header: o.header(), repeatable: true,
	})
	return err
}

func (o *Operator) read(path string, query url.Values) call {
	return call{method: http.MethodGet, path: path, query: query, header: o.header(), reads: true}
}

func (o *Operator) header() http.Header {
	header := jsonHeader()
	header.Set("Authorization", "Bearer "+o.Token)
	return header
}
