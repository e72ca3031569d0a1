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

// Result is the result of an accepted change.
type Result struct {
	ChangeID model.ChangeID `json:"change-id"`
	Revision model.Revision `json:"revision"`
	// Already is true when an earlier send of the same change took effect.
	Already  bool        `json:"already,omitempty"`
	Changed  []model.Ref `json:"changed,omitempty"`
	Warnings []string    `json:"warnings,omitempty"`
}

// Objects is a configuration, or the selected part of it.
type Objects struct {
	Revision model.Revision `json:"revision"`
	ChangeID model.ChangeID `json:"change-id,omitempty"`
	Objects  []model.Object `json:"objects"`
}

// Selection limits the result of Operator.Objects; zero fields select everything.
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

// MemberStatus is the last report of a member that the answering instance has received; that instance is listed too.
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

// DataCentreStatus is the load of one data centre; its owner computed it Age ago.
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

// NewOperator returns an operator, and a function that closes its idle connections.
func NewOperator(addresses []string, token string) (*Operator, func()) {
	httpClient := newHTTPClient()
	return &Operator{Target: Target{Addresses: addresses, Do: httpClient.Do}, Token: token}, httpClient.CloseIdleConnections
}

// Publish applies a change. After a lost answer it repeats the change with the same id at other addresses, and then looks
// the change up; the outcome is unknown only if neither gives a result.
func (o *Operator) Publish(ctx context.Context, change Change) (Result, error) {
	if err := checkRequired("change id", string(change.ID)); err != nil {
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
	if err := checkRequired("change id", string(id)); err != nil {
		return Result{}, err
	}
	return fetchJSON[Result](ctx, &o.Target, o.readCall(path("v1", "changes", string(id)), nil))
}

// change sends a call with a change id; after a lost answer it looks the change up.
func (o *Operator) change(ctx context.Context, id model.ChangeID, path string, body []byte, dryRun bool) (Result, error) {
	result, err := fetchJSON[Result](ctx, &o.Target, apiCall{
		method: http.MethodPost, path: path, header: o.header(), body: body, readOnly: dryRun, repeatable: true,
	})
	var replied *reply.Error
	if !errors.As(err, &replied) || replied.Outcome != reply.OutcomeUnknown {
		return result, err
	}
	found, lookupErr := o.Change(ctx, id)
	if lookupErr != nil {
		// Not found is no proof that the change was not applied: an instance may still be processing it.
		return Result{}, err
	}
	found.Already = true
	return found, nil
}

// serviceBody is the body of a call that takes a data centre out of service or puts it into service.
type serviceBody struct {
	ID model.ChangeID `json:"change-id"`
}

// Out takes a data centre out of service; the change id makes a repeat safe.
func (o *Operator) Out(ctx context.Context, dataCentre model.DataCentreID, id model.ChangeID) (Result, error) {
	return o.setService(ctx, dataCentre, "out", id)
}

// In puts a data centre into service; the change id makes a repeat safe.
func (o *Operator) In(ctx context.Context, dataCentre model.DataCentreID, id model.ChangeID) (Result, error) {
	return o.setService(ctx, dataCentre, "in", id)
}

func (o *Operator) setService(ctx context.Context, dataCentre model.DataCentreID, state string, id model.ChangeID) (Result, error) {
	if err := checkRequired("data centre", string(dataCentre)); err != nil {
		return Result{}, err
	}
	if err := checkRequired("change id", string(id)); err != nil {
		return Result{}, err
	}
	body, err := encode(serviceBody{ID: id})
	if err != nil {
		return Result{}, err
	}
	return o.change(ctx, id, path("v1", "data-centres", string(dataCentre), state), body, false)
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
	return fetchJSON[Objects](ctx, &o.Target, o.readCall("/v1/objects", query))
}

// Jobs lists the records of all jobs.
func (o *Operator) Jobs(ctx context.Context) ([]JobRecord, error) {
	list, err := fetchJSON[struct {
		Jobs []JobRecord `json:"jobs"`
	}](ctx, &o.Target, o.readCall("/v1/jobs", nil))
	return list.Jobs, err
}

// Submit submits a job for any customer.
func (o *Operator) Submit(ctx context.Context, job Job) (JobRecord, error) {
	return o.Target.submitJob(ctx, job, o.header())
}

// Get reads the record of a job of any customer.
func (o *Operator) Get(ctx context.Context, id model.JobID) (JobRecord, error) {
	return o.Target.callJob(ctx, http.MethodGet, id, o.header())
}

// Cancel requests that a job of any customer stops.
func (o *Operator) Cancel(ctx context.Context, id model.JobID) (JobRecord, error) {
	return o.Target.callJob(ctx, http.MethodDelete, id, o.header())
}

// Status reads the state of the deployment.
func (o *Operator) Status(ctx context.Context) (Status, error) {
	return fetchJSON[Status](ctx, &o.Target, o.readCall("/v1/status", nil))
}

// ExplainRequest reads the recorded decisions on a request, oldest first.
func (o *Operator) ExplainRequest(ctx context.Context, customer model.CustomerID, id model.RequestID) ([]Event, error) {
	return o.readEvents(ctx, "request", string(customer), string(id))
}

// ExplainJob reads the recorded decisions on a job, oldest first.
func (o *Operator) ExplainJob(ctx context.Context, id model.JobID) ([]Event, error) {
	return o.readEvents(ctx, "job", string(id))
}

func (o *Operator) readEvents(ctx context.Context, parts ...string) ([]Event, error) {
	for _, part := range parts {
		if err := checkRequired("subject", part); err != nil {
			return nil, err
		}
	}
	list, err := fetchJSON[struct {
		Events []Event `json:"events"`
	}](ctx, &o.Target, o.readCall(path(append([]string{"v1", "explain"}, parts...)...), nil))
	return list.Events, err
}

// Leaving marks an endpoint as leaving, so that it gets no new requests; a repeat changes nothing.
func (o *Operator) Leaving(ctx context.Context, endpoint model.EndpointID) error {
	if err := checkRequired("endpoint", string(endpoint)); err != nil {
		return err
	}
	_, err := o.Target.sendToAny(ctx, apiCall{
		method: http.MethodPost, path: path("v1", "endpoints", string(endpoint), "leaving"), header: o.header(), repeatable: true,
	})
	return err
}

// readCall returns a GET call with the operator's token.
func (o *Operator) readCall(path string, query url.Values) apiCall {
	return apiCall{method: http.MethodGet, path: path, query: query, header: o.header(), readOnly: true}
}

func (o *Operator) header() http.Header {
	header := jsonHeader()
	header.Set("Authorization", "Bearer "+o.Token)
	return header
}
