package model

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Limits of names and values.
const (
	// MaxNameLength is the longest name; it leaves room for the prefixes of keys in the store.
	MaxNameLength = 63
	// MaxRequestTimeout keeps every accepted request within the time of a graceful stop.
	MaxRequestTimeout = Duration(30e9)
)

const namePattern = `^[a-z0-9]+(-[a-z0-9]+)*$`

// Problem is one reason why a set is refused.
type Problem struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String names the object, the field and the message.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s %q: %s", p.Kind, p.Name, p.Message)
	}
	return fmt.Sprintf("%s %q: %s: %s", p.Kind, p.Name, p.Field, p.Message)
}

// Validate returns every problem of a whole set, ordered by kind, name and field; an empty result means that it is valid.
func Validate(set *Set) []Problem {
	v := validator{set: set, name: regexp.MustCompile(namePattern)}
	for name, dataCentre := range set.DataCentres {
		v.dataCentre(report{v: &v, kind: KindDataCentre, name: string(name)}, dataCentre)
	}
	for name, customer := range set.Customers {
		v.customer(report{v: &v, kind: KindCustomer, name: string(name)}, customer)
	}
	for name, shape := range set.Shapes {
		v.shape(report{v: &v, kind: KindShape, name: string(name)}, shape)
	}
	for name, guarantee := range set.Guarantees {
		v.guarantee(report{v: &v, kind: KindGuarantee, name: string(name)}, guarantee)
	}
	for name, class := range set.JobClasses {
		v.jobClass(report{v: &v, kind: KindJobClass, name: string(name)}, class)
	}
	for name, class := range set.RequestClasses {
		v.requestClass(report{v: &v, kind: KindRequestClass, name: string(name)}, class)
	}
	order := Kinds()
	slices.SortStableFunc(v.problems, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind)),
			strings.Compare(a.Name, b.Name), strings.Compare(a.Field, b.Field), strings.Compare(a.Message, b.Message))
	})
	return v.problems
}

// ValidName reports whether name is in kebab case and at most MaxNameLength long.
func ValidName(name string) bool {
	return len(name) <= MaxNameLength && regexp.MustCompile(namePattern).MatchString(name)
}

type validator struct {
	set      *Set
	name     *regexp.Regexp
	problems []Problem
}

// report collects the problems of one object.
type report struct {
	v    *validator
	kind Kind
	name string
}

func (r report) add(field, format string, args ...any) {
	r.v.problems = append(r.v.problems, Problem{Kind: r.kind, Name: r.name, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (r report) checkName(field, name string) {
	if len(name) > MaxNameLength {
		r.add(field, "is longer than %d characters", MaxNameLength)
	}
	if !r.v.name.MatchString(name) {
		r.add(field, "%q is not in kebab case (a-z, 0-9 and single hyphens)", name)
	}
}

func (r report) positive(field string, value int) {
	if value <= 0 {
		r.add(field, "%d is not positive", value)
	}
}

func (r report) notNegative(field string, value int) {
	if value < 0 {
		r.add(field, "%d is negative", value)
	}
}

func (r report) priority(priority Priority) {
	switch priority {
	case PriorityUrgent, PriorityNormal, PriorityBackground:
	default:
		r.add("priority", "%q is not one of urgent, normal, background", priority)
	}
}

func (v *validator) dataCentre(r report, d DataCentre) {
	r.checkName("name", r.name)
	if d.Region != "" {
		r.checkName("region", d.Region)
	}
	if d.Service != ServiceIn && d.Service != ServiceOut {
		r.add("service", "%q is not one of in, out", d.Service)
	}
	if d.DrainDeadline < 0 {
		r.add("drain-deadline", "%s is negative", d.DrainDeadline)
	}
	first := map[RackID]int{}
	for i, rack := range d.Racks {
		field := fmt.Sprintf("racks[%d].", i)
		r.checkName(field+"name", string(rack.Name))
		if before, found := first[rack.Name]; found {
			r.add(field+"name", "rack %q is already racks[%d]", rack.Name, before)
		} else {
			first[rack.Name] = i
		}
		r.positive(field+"workers", rack.Workers)
		r.positive(field+"accelerators-per-worker", int(rack.AcceleratorsPerWorker))
		r.notNegative(field+"cores-per-worker", rack.CoresPerWorker)
		r.notNegative(field+"memory-mb-per-worker", rack.MemoryMBPerWorker)
	}
}

func (v *validator) customer(r report, c Customer) {
	r.checkName("name", r.name)
	r.notNegative("quota-accelerators", int(c.QuotaAccelerators))
	r.notNegative("weight", c.Weight)
}

func (v *validator) shape(r report, s Shape) {
	r.checkName("name", r.name)
	r.positive("tasks", int(s.Tasks))
	r.positive("accelerators-per-task", int(s.AcceleratorsPerTask))
	if s.Tasks > MaxGangTasks {
		r.add("tasks", "%d is more than %d", s.Tasks, MaxGangTasks)
	}
	switch s.Adjacency {
	case AdjacencyWorker, AdjacencyRack, AdjacencyAny:
	default:
		r.add("adjacency", "%q is not one of worker, rack, any", s.Adjacency)
	}
}

func (v *validator) guarantee(r report, g Guarantee) {
	r.checkName("name", r.name)
	r.positive("count", g.Count)
	if _, found := v.set.Customers[g.Customer]; !found {
		r.add("customer", "customer %q does not exist", g.Customer)
	}
	shape, shapeFound := v.set.Shapes[g.Shape]
	if !shapeFound {
		r.add("shape", "shape %q does not exist", g.Shape)
	}
	dataCentre, found := v.set.DataCentres[g.DataCentre]
	if !found {
		r.add("data-centre", "data centre %q does not exist", g.DataCentre)
	}
	if found && shapeFound && wellFormed(shape) && !Fits(shape, dataCentre) {
		r.add("shape", "shape %q (%d tasks of %d accelerators, adjacency %s) does not fit data centre %q",
			g.Shape, shape.Tasks, shape.AcceleratorsPerTask, shape.Adjacency, g.DataCentre)
	}
}

func (v *validator) jobClass(r report, c JobClass) {
	r.checkName("name", r.name)
	r.priority(c.Priority)
	v.allowed(r, c.Customers, c.DataCentres)
	r.notNegative("queue-limit", c.QueueLimit)
	switch {
	case c.StopWithin < 0:
		r.add("stop-within", "%s is negative", c.StopWithin)
	case c.StopWithin > MaxStopWithin:
		r.add("stop-within", "%s is more than %s", c.StopWithin, MaxStopWithin)
	case c.StopWithin == 0 && c.Checkpointable:
		r.add("stop-within", "is missing, so nothing bounds the time of a checkpoint")
	}
}

func (v *validator) requestClass(r report, c RequestClass) {
	r.checkName("name", r.name)
	r.priority(c.Priority)
	v.allowed(r, c.Customers, c.DataCentres)
	r.notNegative("queue-limit", c.QueueLimit)
	switch {
	case c.Timeout == 0:
		r.add("timeout", "is missing, so nothing bounds the time of a request")
	case c.Timeout < 0:
		r.add("timeout", "%s is negative", c.Timeout)
	case c.Timeout > MaxRequestTimeout:
		r.add("timeout", "%s is more than %s", c.Timeout, MaxRequestTimeout)
	}
	if c.Hedge && !c.Idempotent {
		r.add("hedge", "needs idempotent, because a hedged request is sent twice")
	}
}

// allowed checks who may use a class and where.
func (v *validator) allowed(r report, customers []CustomerID, dataCentres []DataCentreID) {
	references(r, "customers", "customer", customers, v.set.Customers)
	references(r, "data-centres", "data centre", dataCentres, v.set.DataCentres)
	if len(v.set.DataCentres) == 0 {
		r.add("data-centres", "no data centre exists, so the class is allowed nowhere")
	}
}

// references checks that each name of a list exists and is listed once.
func references[K ~string, V any](r report, field, what string, names []K, in map[K]V) {
	seen := map[K]bool{}
	for i, name := range names {
		position := fmt.Sprintf("%s[%d]", field, i)
		if _, found := in[name]; !found {
			r.add(position, "%s %q does not exist", what, name)
		}
		if seen[name] {
			r.add(position, "%s %q is listed twice", what, name)
		}
		seen[name] = true
	}
}

func wellFormed(s Shape) bool { return s.Tasks > 0 && s.AcceleratorsPerTask > 0 }

// Fits reports whether one copy of a shape fits an empty data centre with all its declared workers.
func Fits(s Shape, d DataCentre) bool {
	if !wellFormed(s) {
		return false
	}
	total := 0
	for _, rack := range d.Racks {
		perWorker := int(rack.AcceleratorsPerWorker / s.AcceleratorsPerTask)
		inRack := perWorker * rack.Workers
		switch {
		case s.Adjacency == AdjacencyWorker && rack.Workers > 0 && perWorker >= int(s.Tasks):
			return true
		case s.Adjacency == AdjacencyRack && inRack >= int(s.Tasks):
			return true
		}
		total += max(inRack, 0)
	}
	return s.Adjacency == AdjacencyAny && total >= int(s.Tasks)
}
