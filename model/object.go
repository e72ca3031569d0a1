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

// Object is the generic form of an object of any kind, as operators send and read it.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is the configuration revision that last changed the object; zero in a submitted change.
	Revision Revision `json:"revision,omitempty"`
	// Spec is the JSON form of the typed object, such as a Customer.
	Spec json.RawMessage `json:"spec"`
}

// Ref returns the object's reference.
func (o Object) Ref() Ref { return Ref{Kind: o.Kind, Name: o.Name} }

// ServiceState states whether a data centre is in service.
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
	// DrainDeadline bounds how long jobs that cannot be moved may continue after the data centre is taken out of service.
	DrainDeadline Duration `json:"drain-deadline,omitempty"`
	Racks         []Rack   `json:"racks"`
}

// Rack declares the workers of a rack. The VM list tells which of them are live.
type Rack struct {
	Name                  RackID       `json:"name"`
	Workers               int          `json:"workers"`
	AcceleratorsPerWorker Accelerators `json:"accelerators-per-worker"`
	CoresPerWorker        int          `json:"cores-per-worker,omitempty"`
	MemoryMBPerWorker     int          `json:"memory-mb-per-worker,omitempty"`
}

// Customer is a tenant with a quota.
type Customer struct {
	// QuotaAccelerators limits the accelerators that the customer's jobs hold at the same time; zero means no limit.
	QuotaAccelerators Accelerators `json:"quota-accelerators,omitempty"`
	// Weight is the customer's relative share among customers of the same class; zero means 1.
	Weight int `json:"weight,omitempty"`
}

// Adjacency states how close to each other the tasks of a shape must be placed.
type Adjacency string

// Adjacencies, from the closest to the widest.
const (
	AdjacencyWorker Adjacency = "worker"
	AdjacencyRack   Adjacency = "rack"
	AdjacencyAny    Adjacency = "any"
)

// Shape describes the size of a job: its number of tasks, the accelerators of each task and their adjacency.
type Shape struct {
	Tasks               TaskCount    `json:"tasks"`
	AcceleratorsPerTask Accelerators `json:"accelerators-per-task"`
	Adjacency           Adjacency    `json:"adjacency"`
}

// Accelerators returns the number of accelerators that all tasks of the shape need.
func (s Shape) Accelerators() Accelerators {
	return Accelerators(s.Tasks) * s.AcceleratorsPerTask
}

// Guarantee entitles a customer to run Count copies of a shape in one data centre at any time; jobs of others that run on this
// capacity must be stoppable.
type Guarantee struct {
	Customer   CustomerID   `json:"customer"`
	Shape      ShapeID      `json:"shape"`
	DataCentre DataCentreID `json:"data-centre"`
	Count      int          `json:"count"`
}

// Priority orders classes of work.
type Priority string

// Priorities, from the first served to the last.
const (
	PriorityUrgent     Priority = "urgent"
	PriorityNormal     Priority = "normal"
	PriorityBackground Priority = "background"
)

// Rank returns 0 for the most urgent priority and higher ranks for less urgent ones; unknown priorities rank last.
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

// JobClass is the policy for jobs of one class.
type JobClass struct {
	Priority Priority `json:"priority"`
	// Customers lists who may use the class; empty means all.
	Customers []CustomerID `json:"customers,omitempty"`
	// DataCentres lists where the class may run; empty means all.
	DataCentres []DataCentreID `json:"data-centres,omitempty"`
	// Checkpointable jobs can be stopped with their progress kept.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// Repeatable jobs may run again from the start.
	Repeatable bool `json:"repeatable,omitempty"`
	// StopWithin bounds the time of a checkpoint; a job that takes longer is killed.
	StopWithin Duration `json:"stop-within,omitempty"`
	// QueueLimit bounds the number of queued jobs of one customer; zero means DefaultJobQueueLimit.
	QueueLimit int `json:"queue-limit,omitempty"`
}

// Stoppable reports whether jobs of the class may run on lent capacity.
func (c JobClass) Stoppable() bool { return c.Checkpointable || c.Repeatable }

// RequestClass is the policy for requests of one class.
type RequestClass struct {
	Priority    Priority       `json:"priority"`
	Customers   []CustomerID   `json:"customers,omitempty"`
	DataCentres []DataCentreID `json:"data-centres,omitempty"`
	// Idempotent requests may be sent to endpoints more than once; others need a claim, which allows one send.
	Idempotent bool `json:"idempotent,omitempty"`
	// Timeout is the longest timeout that a caller may ask for.
	Timeout Duration `json:"timeout"`
	// Hedge allows a second send of a slow idempotent request.
	Hedge bool `json:"hedge,omitempty"`
	// QueueLimit bounds the number of queued requests of one customer on one instance; zero means DefaultRequestQueueLimit.
	QueueLimit int `json:"queue-limit,omitempty"`
}

// Default limits, used where an object sets none, and upper limits.
const (
	DefaultJobQueueLimit     = 2000
	DefaultRequestQueueLimit = 500
	// MaxStopWithin (5 s) bounds the time until lent capacity returns to its guarantee.
	MaxStopWithin = Duration(5e9)
	// MaxGangTasks is the largest gang that the system is designed for.
	MaxGangTasks TaskCount = 512
)
