package front

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// checked is a request that passed all checks.
type checked struct {
	send *relay.Request
	item *queue.Item
	// revision of the configuration that the checks used.
	revision model.Revision
}

const maxIDLength = 128

// check reads and checks a request; an error means that nothing of it ran. The request id and the class are in the result
// as soon as they are known to be good, also with an error.
func (s *Server) check(w http.ResponseWriter, r *http.Request, arrived time.Time) (*checked, *reply.Error) {
	c := &checked{send: &relay.Request{}}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return c, reply.Refused(reply.ReasonMalformed, "method %s is not allowed, use POST", r.Method)
	}
	id := r.Header.Get(reply.HeaderRequestID)
	if !validID(id) {
		return c, reply.Refused(reply.ReasonMalformed,
			"header %s must hold 1 to %d letters, digits, or one of . _ : -", reply.HeaderRequestID, maxIDLength)
	}
	c.send.ID = model.RequestID(id)
	set := s.current()
	if set == nil {
		return c, reply.Refused(reply.ReasonConfigStale, "the configuration is not known yet")
	}
	c.revision = set.Revision
	if err := c.checkNames(r, set); err != nil {
		return c, err
	}
	if err := c.checkTime(r, arrived); err != nil {
		return c, err
	}
	body, err := readBody(w, r)
	c.send.Body = body
	return c, err
}

func (s *Server) current() *model.Set {
	if s.Current == nil {
		return nil
	}
	return s.Current()
}

// checkNames checks the class and the customer.
func (c *checked) checkNames(r *http.Request, set *model.Set) *reply.Error {
	class := model.RequestClassID(r.PathValue("class"))
	policy, known := set.RequestClasses[class]
	if !known {
		return reply.Refused(reply.ReasonUnknownClass, "request class %q does not exist", class)
	}
	c.send.Class = class
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
	c.send.Customer, c.send.Idempotent, c.send.Hedge = name, policy.Idempotent, policy.Hedge
	c.send.ContentType, c.send.DataCentres = r.Header.Get("Content-Type"), policy.DataCentres
	c.item = &queue.Item{
		Class: class, Customer: name, Priority: policy.Priority, Limit: policy.QueueLimit, Weight: customer.Weight,
		Timeout: min(policy.Timeout.Std(), MaxTimeout), DataCentres: policy.DataCentres,
	}
	return nil
}

// checkTime sets the deadline; without the header, the class's timeout applies.
func (c *checked) checkTime(r *http.Request, arrived time.Time) *reply.Error {
	timeout := c.item.Timeout
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
	c.send.Deadline = arrived.Add(timeout)
	c.item.Deadline = c.send.Deadline
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

// readBody reads the whole body, so that a caller that breaks off while sending has not started anything.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *reply.Error) {
	if r.ContentLength > MaxBody {
		return nil, reply.Refused(reply.ReasonTooLarge, "the body is larger than %d bytes", MaxBody)
	}
	reader := http.MaxBytesReader(w, r.Body, MaxBody)
	var body []byte
	var err error
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(reader, body)
	} else {
		body, err = io.ReadAll(reader)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, reply.Refused(reply.ReasonTooLarge, "the body is larger than %d bytes", MaxBody)
	}
	if err != nil {
		return nil, reply.Refused(reply.ReasonMalformed, "the body is incomplete: %v", err)
	}
	return body, nil
}
