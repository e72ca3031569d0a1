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
	// MaxNameLength is the longest name; it keeps store keys short enough after their prefixes are added.
	MaxNameLength = 63
	// MaxRequestTimeout (30 s) lets every accepted request end within the time of a graceful stop.
	MaxRequestTimeout = Duration(30e9)
)

// namePattern matches names in kebab case.
const namePattern = `^[a-z0-9]+(-[a-z0-9]+)*$`

// Problem is one reason why a set is invalid.
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
		v.dataCentre(problemReporter{v: &v, kind: KindDataCentre, name: string(name)}, dataCentre)
	}
	for name, customer := range set.Customers {
		v.customer(problemReporter{v: &v, kind: KindCustomer, name: string(name)}, customer)
	}
	for name, shape := range set.Shapes {
		v.shape(problemReporter{v: &v, kind: KindShape, name: string(name)}, shape)
	}
	for name, guarantee := range set.Guarantees {
		v.guarantee(problemReporter{v: &v, kind: KindGuarantee, name: string(name)}, guarantee)
	}
	for name, class := range set.JobClasses {
		v.jobClass(problemReporter{v: &v, kind: KindJobClass, name: string(name)}, class)
	}
	for name, class := range set.RequestClasses {
		v.requestClass(problemReporter{v: &v, kind: KindRequestClass, name: string(name)}, class)
	}
	kindOrder := Kinds()
	slices.SortStableFunc(v.problems, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)),
			strings.Compare(a.Name, b.Name), strings.Compare(a.Field, b.Field), strings.Compare(a.Message, b.Message))
	})
	return v.problems
}

// ValidName reports whether name is in kebab case and at most MaxNameLength long.
func ValidName(name string) bool {
	return len(name) <= MaxNameLength && regexp.MustCompile(namePattern).MatchString(name)
}

// validator checks the objects of a set, with one method for each kind, and collects the problems.
type validator struct {
	set      *Set
	name     *regexp.Regexp
	problems []Problem
}

// problemReporter collects the problems of one object.
type problemReporter struct {
	v    *validator
	kind Kind
	name string
}

func (r problemReporter) addProblem(field, format string, args ...any) {
	r.v.problems = append(r.v.problems, Problem{Kind: r.kind, Name: r.name, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (r problemReporter) checkName(field, name string) {
	if len(name) > MaxNameLength {
		r.addProblem(field, "is longer than %d characters", MaxNameLength)
	}
	if !r.v.name.MatchString(name) {
		r.addProblem(field, "%q is not in kebab case (a-z, 0-9 and single hyphens)", name)
	}
}

func (r problemReporter) checkPositive(field string, value int) {
	if value <= 0 {
		r.addProblem(field, "%d is not positive", value)
	}
}

func (r problemReporter) checkNotNegative(field string, value int) {
	if value < 0 {
		r.addProblem(field, "%d is negative", value)
	}
}

func (r problemReporter) priority(priority Priority) {
	switch priority {
	case PriorityUrgent, PriorityNormal, PriorityBackground:
	default:
		r.addProblem("priority", "%q is not one of urgent, normal, background", priority)
	}
}

func (v *validator) dataCentre(r problemReporter, d DataCentre) {
	r.checkName("name", r.name)
	if d.Region != "" {
		r.checkName("region", d.Region)
	}
	if d.Service != ServiceIn && d.Service != ServiceOut {
		r.addProblem("service", "%q is not one of in, out", d.Service)
	}
	if d.DrainDeadline < 0 {
		r.addProblem("drain-deadline", "%s is negative", d.DrainDeadline)
	}
	firstIndex := map[RackID]int{}
	for i, rack := range d.Racks {
		field := fmt.Sprintf("racks[%d].", i)
		r.checkName(field+"name", string(rack.Name))
		if index, found := firstIndex[rack.Name]; found {
			r.addProblem(field+"name", "rack %q is already racks[%d]", rack.Name, index)
		} else {
			firstIndex[rack.Name] = i
		}
		r.checkPositive(field+"workers", rack.Workers)
		r.checkPositive(field+"accelerators-per-worker", int(rack.AcceleratorsPerWorker))
		r.checkNotNegative(field+"cores-per-worker", rack.CoresPerWorker)
		r.checkNotNegative(field+"memory-mb-per-worker", rack.MemoryMBPerWorker)
	}
}

func (v *validator) customer(r problemReporter, c Customer) {
	r.checkName("name", r.name)
	r.checkNotNegative("quota-accelerators", int(c.QuotaAccelerators))
	r.checkNotNegative("weight", c.Weight)
}

func (v *validator) shape(r problemReporter, s Shape) {
	r.checkName("name", r.name)
	r.checkPositive("tasks", int(s.Tasks))
	r.checkPositive("accelerators-per-task", int(s.AcceleratorsPerTask))
	if s.Tasks > MaxGangTasks {
		r.addProblem("tasks", "%d is more than %d", s.Tasks, MaxGangTasks)
	}
	switch s.Adjacency {
	case AdjacencyWorker, AdjacencyRack, AdjacencyAny:
	default:
		r.addProblem("adjacency", "%q is not one of worker, rack, any", s.Adjacency)
	}
}

func (v *validator) guarantee(r problemReporter, g Guarantee) {
	r.checkName("name", r.name)
	r.checkPositive("count", g.Count)
	if _, found := v.set.Customers[g.Customer]; !found {
		r.addProblem("customer", "customer %q does not exist", g.Customer)
	}
	shape, shapeFound := v.set.Shapes[g.Shape]
	if !shapeFound {
		r.addProblem("shape", "shape %q does not exist", g.Shape)
	}
	dataCentre, found := v.set.DataCentres[g.DataCentre]
	if !found {
		r.addProblem("data-centre", "data centre %q does not exist", g.DataCentre)
	}
	if found && shapeFound && hasPositiveSize(shape) && !Fits(shape, dataCentre) {
		r.addProblem("shape", "shape %q (%d tasks of %d accelerators, adjacency %s) does not fit data centre %q",
			g.Shape, shape.Tasks, shape.AcceleratorsPerTask, shape.Adjacency, g.DataCentre)
	}
}

func (v *validator) jobClass(r problemReporter, c JobClass) {
	r.checkName("name", r.name)
	r.priority(c.Priority)
	v.checkAllowed(r, c.Customers, c.DataCentres)
	r.checkNotNegative("queue-limit", c.QueueLimit)
	switch {
	case c.StopWithin < 0:
		r.addProblem("stop-within", "%s is negative", c.StopWithin)
	case c.StopWithin > MaxStopWithin:
		r.addProblem("stop-within", "%s is more than %s", c.StopWithin, MaxStopWithin)
	case c.StopWithin == 0 && c.Checkpointable:
		r.addProblem("stop-within", "is missing, so nothing bounds the time of a checkpoint")
	}
}

func (v *validator) requestClass(r problemReporter, c RequestClass) {
	r.checkName("name", r.name)
	r.priority(c.Priority)
	v.checkAllowed(r, c.Customers, c.DataCentres)
	r.checkNotNegative("queue-limit", c.QueueLimit)
	switch {
	case c.Timeout == 0:
		r.addProblem("timeout", "is missing, so nothing bounds the time of a request")
	case c.Timeout < 0:
		r.addProblem("timeout", "%s is negative", c.Timeout)
	case c.Timeout > MaxRequestTimeout:
		r.addProblem("timeout", "%s is more than %s", c.Timeout, MaxRequestTimeout)
	}
	if c.Hedge && !c.Idempotent {
		r.addProblem("hedge", "needs idempotent, because a hedged request is sent twice")
	}
}

// checkAllowed checks the customers that may use a class and the data centres that may run it.
func (v *validator) checkAllowed(r problemReporter, customers []CustomerID, dataCentres []DataCentreID) {
	checkReferences(r, "customers", "customer", customers, v.set.Customers)
	checkReferences(r, "data-centres", "data centre", dataCentres, v.set.DataCentres)
	if len(v.set.DataCentres) == 0 {
		r.addProblem("data-centres", "no data centre exists, so the class is allowed nowhere")
	}
}

// checkReferences checks that each name of a list exists and is listed once.
func checkReferences[K ~string, V any](r problemReporter, field, kindName string, names []K, existing map[K]V) {
	seen := map[K]bool{}
	for i, name := range names {
		position := fmt.Sprintf("%s[%d]", field, i)
		if _, found := existing[name]; !found {
			r.addProblem(position, "%s %q does not exist", kindName, name)
		}
		if seen[name] {
			r.addProblem(position, "%s %q is listed twice", kindName, name)
		}
		seen[name] = true
	}
}

func hasPositiveSize(s Shape) bool { return s.Tasks > 0 && s.AcceleratorsPerTask > 0 }

// Fits reports whether one copy of a shape fits an empty data centre with all its declared workers.
func Fits(s Shape, d DataCentre) bool {
	if !hasPositiveSize(s) {
		return false
	}
	totalTasks := 0
	for _, rack := range d.Racks {
		tasksPerWorker := int(rack.AcceleratorsPerWorker / s.AcceleratorsPerTask)
		tasksInRack := tasksPerWorker * rack.Workers
		switch {
		case s.Adjacency == AdjacencyWorker && rack.Workers > 0 && tasksPerWorker >= int(s.Tasks):
			return true
		case s.Adjacency == AdjacencyRack && tasksInRack >= int(s.Tasks):
			return true
		}
		totalTasks += max(tasksInRack, 0)
	}
	return s.Adjacency == AdjacencyAny && totalTasks >= int(s.Tasks)
}
