package model

import "encoding/json"

// Kind names a kind of object.
type Kind string

// Kinds of objects.
const (
	KindDataCentre   Kind = "data-centre"
	KindCustomer     Kind = "customer"
	KindShape        Kind = "shape"
	KindGuarantee    Kind = "guarantee"
	KindJobClass     Kind = "job-class"
	KindRequestClass Kind = "request-class"
)

// Kinds returns all kinds, with referenced kinds before those that refer to them.
func Kinds() []Kind {
	return []Kind{KindDataCentre, KindCustomer, KindShape, KindGuarantee, KindJobClass, KindRequestClass}
}

// Ref names one object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Object is the form in which operators send and read objects of any kind.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is the configuration revision that last changed the object; zero in a change that is sent in.
	Revision Revision `json:"revision,omitempty"`
	// Spec is the JSON form of the typed object, such as a Customer.
	Spec json.RawMessage `json:"spec"`
}

// Ref returns the object's reference.
func (o Object) Ref() Ref { return Ref{Kind: o.Kind, Name: o.Name} }

// ServiceState tells whether a data centre is in service.
type ServiceState string

// Service states of a data centre.
const (
	ServiceIn  ServiceState = "in"
	ServiceOut ServiceState = "out"
)

// DataCentre is a zone that holds racks of workers, endpoints and entry VMs.
type DataCentre struct {
	Region  string       `json:"region,omitempty"`
	Service ServiceState `json:"service"`
	// DrainDeadline bounds how long jobs that cannot be moved may run on after the data centre is taken out.
	DrainDeadline Duration `json:"drain-deadline,omitempty"`
	Racks         []Rack   `json:"racks"`
}

// Rack declares the workers of a rack; which of them are live comes from the VM list.
type Rack struct {
	Name                  RackID       `json:"name"`
	Workers               int          `json:"workers"`
	AcceleratorsPerWorker Accelerators `json:"accelerators-per-worker"`
	CoresPerWorker        int          `json:"cores-per-worker,omitempty"`
	MemoryMBPerWorker     int          `json:"memory-mb-per-worker,omitempty"`
}

// Customer is a tenant with a quota.
type Customer struct {
	// QuotaAccelerators limits the accelerators that the customer's jobs hold at a time; zero means no limit.
	QuotaAccelerators Accelerators `json:"quota-accelerators,omitempty"`
	// Weight is the customer's share among customers of the same class; zero means 1.
	Weight int `json:"weight,omitempty"`
}

// Adjacency tells how close the tasks of a shape must be.
type Adjacency string

// Adjacencies, from the closest to the widest.
const (
	AdjacencyWorker Adjacency = "worker"
	AdjacencyRack   Adjacency = "rack"
	AdjacencyAny    Adjacency = "any"
)

// Shape is a number of tasks with accelerators each, and how close they must be.
type Shape struct {
	Tasks               TaskCount    `json:"tasks"`
	AcceleratorsPerTask Accelerators `json:"accelerators-per-task"`
	Adjacency           Adjacency    `json:"adjacency"`
}

// Accelerators returns the accelerators that the whole shape takes.
func (s Shape) Accelerators() Accelerators {
	return Accelerators(s.Tasks) * s.AcceleratorsPerTask
}

// Guarantee gives a customer Count copies of a shape in one data centre at any time.
type Guarantee struct {
	Customer   CustomerID   `json:"customer"`
	Shape      ShapeID      `json:"shape"`
	DataCentre DataCentreID `json:"data-centre"`
	Count      int          `json:"count"`
}

// Priority orders classes of work.
type Priority string

// Priorities, from the first to the last served.
const (
	PriorityUrgent     Priority = "urgent"
	PriorityNormal     Priority = "normal"
	PriorityBackground Priority = "background"
)

// Rank returns 0 for the most urgent priority; unknown priorities rank last.
func (p Priority) Rank() int {
	switch p {
	case PriorityUrgent:
		return 0
	case PriorityNormal:
		return 1
	default:
		return 2
	}
}

// JobClass states how jobs of one kind are treated.
type JobClass struct {
	Priority Priority `json:"priority"`
	// Customers may use the class; empty means all.
	Customers []CustomerID `json:"customers,omitempty"`
	// DataCentres may run the class; empty means all.
	DataCentres []DataCentreID `json:"data-centres,omitempty"`
	// Checkpointable jobs can be stopped with their progress kept.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// Repeatable jobs may run again from the start.
	Repeatable bool `json:"repeatable,omitempty"`
	// StopWithin bounds a checkpoint; the job is killed afterwards.
	StopWithin Duration `json:"stop-within,omitempty"`
	// QueueLimit bounds the queued jobs of one customer; zero means DefaultJobQueueLimit.
	QueueLimit int `json:"queue-limit,omitempty"`
}

// Stoppable reports whether jobs of the class may run on lent capacity.
func (c JobClass) Stoppable() bool { return c.Checkpointable || c.Repeatable }

// RequestClass states how requests of one kind are treated.
type RequestClass struct {
	Priority    Priority       `json:"priority"`
	Customers   []CustomerID   `json:"customers,omitempty"`
	DataCentres []DataCentreID `json:"data-centres,omitempty"`
	// Idempotent requests may be sent more than once; others need a claim.
	Idempotent bool `json:"idempotent,omitempty"`
	// Timeout is the longest deadline that a caller may ask for.
	Timeout Duration `json:"timeout"`
	// Hedge allows a second send of a slow idempotent request.
	Hedge bool `json:"hedge,omitempty"`
	// QueueLimit bounds the queued requests of one customer on one instance; zero means DefaultRequestQueueLimit.
	QueueLimit int `json:"queue-limit,omitempty"`
}

// Limits that apply where an object leaves them out.
const (
	DefaultJobQueueLimit     = 2000
	DefaultRequestQueueLimit = 500
	// MaxStopWithin keeps the time until a guaranteed shape is handed back bounded.
	MaxStopWithin = Duration(5e9)
	// MaxGangTasks is the largest gang that the system is designed for.
	MaxGangTasks TaskCount = 512
)
