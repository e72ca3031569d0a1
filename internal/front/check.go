package front

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/serve"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// checkedRequest is a request that passed all checks.
type checkedRequest struct {
	// forward is the request that is sent to an endpoint.
	forward   *relay.Request
	queueItem *queue.Item
	// revision is the configuration revision that the checks used.
	revision model.Revision
}

// maxIDLength bounds a request id in bytes.
const maxIDLength = 128

// checkRequest reads and validates a request; an error means that nothing of it ran. The result holds the request id and the
// class once they are validated, even when an error is returned.
func (s *Server) checkRequest(w http.ResponseWriter, r *http.Request, arrived time.Time) (*checkedRequest, *reply.Error) {
	req := &checkedRequest{forward: &relay.Request{}}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return req, reply.Refused(reply.ReasonMalformed, "method %s is not allowed, use POST", r.Method)
	}
	id := r.Header.Get(reply.HeaderRequestID)
	if !validID(id) {
		return req, reply.Refused(reply.ReasonMalformed,
			"header %s must hold 1 to %d letters, digits, or one of . _ : -", reply.HeaderRequestID, maxIDLength)
	}
	req.forward.ID = model.RequestID(id)
	set := s.currentConfig()
	if set == nil {
		return req, reply.Refused(reply.ReasonConfigStale, "the configuration is not known yet")
	}
	req.revision = set.Revision
	if err := req.checkClassAndCustomer(r, set); err != nil {
		return req, err
	}
	if err := req.setDeadline(r, arrived); err != nil {
		return req, err
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.forward.Deadline)
	defer cancel()
	body, err := readBody(ctx, w, r)
	req.forward.Body = body
	return req, err
}

func (s *Server) currentConfig() *model.Set {
	if s.Current == nil {
		return nil
	}
	return s.Current()
}

// checkClassAndCustomer validates the class and the customer, and copies their settings to the request.
func (req *checkedRequest) checkClassAndCustomer(r *http.Request, set *model.Set) *reply.Error {
	class := model.RequestClassID(r.PathValue("class"))
	policy, known := set.RequestClasses[class]
	if !known {
		return reply.Refused(reply.ReasonUnknownClass, "request class %q does not exist", class)
	}
	req.forward.Class = class
	name := model.CustomerID(r.Header.Get(reply.HeaderCustomer))
	if name == "" {
		return reply.Refused(reply.ReasonMalformed, "header %s is missing", reply.HeaderCustomer)
	}
	customer, known := set.Customers[name]
	if !known {
		return reply.Refused(reply.ReasonUnknownCustomer, "customer %q does not exist", name)
	}
	if len(policy.Customers) > 0 && !slices.Contains(policy.Customers, name) {
		return reply.Refused(reply.ReasonNotAllowed, "customer %q may not use request class %q", name, class)
	}
	req.forward.Customer, req.forward.Idempotent, req.forward.Hedge = name, policy.Idempotent, policy.Hedge
	req.forward.ContentType, req.forward.DataCentres = r.Header.Get("Content-Type"), policy.DataCentres
	req.queueItem = &queue.Item{
		Class: class, Customer: name, Priority: policy.Priority, Limit: policy.QueueLimit, Weight: customer.Weight,
		Timeout: min(policy.Timeout.Std(), MaxTimeout), DataCentres: policy.DataCentres,
	}
	return nil
}

// setDeadline sets the deadline from the timeout header; without the header, the class's timeout applies.
func (req *checkedRequest) setDeadline(r *http.Request, arrived time.Time) *reply.Error {
	timeout := req.queueItem.Timeout
	if text := r.Header.Get(reply.HeaderTimeout); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return reply.Refused(reply.ReasonMalformed, "header %s must be a whole number of milliseconds", reply.HeaderTimeout)
		}
		if millis <= 0 {
			return reply.Refused(reply.ReasonDeadlinePast, "header %s leaves no time", reply.HeaderTimeout)
		}
		if millis > timeout.Milliseconds() {
			return reply.Refused(reply.ReasonMalformed, "header %s is over the class's %d ms", reply.HeaderTimeout, timeout.Milliseconds())
		}
		timeout = time.Duration(millis) * time.Millisecond
	}
	req.forward.Deadline = arrived.Add(timeout)
	req.queueItem.Deadline = req.forward.Deadline
	return nil
}

func validID(id string) bool {
	if id == "" || len(id) > maxIDLength || id == "." || id == ".." {
		return false
	}
	for _, b := range []byte(id) {
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		digit := b >= '0' && b <= '9'
		if !letter && !digit && b != '.' && b != '_' && b != ':' && b != '-' {
			return false
		}
	}
	return true
}

// readBody reads the whole body, so that a request whose caller disconnects while sending it does not start.
func readBody(ctx context.Context, w http.ResponseWriter, r *http.Request) ([]byte, *reply.Error) {
	body, err := serve.ReadBody(ctx, w, r, MaxBody)
	if err != nil {
		return nil, serve.BodyRefusal(err)
	}
	return body, nil
}
