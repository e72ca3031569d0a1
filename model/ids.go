package model

// CustomerID names a customer.
type CustomerID string

// DataCentreID names a data centre.
type DataCentreID string

// RackID names a rack inside its data centre.
type RackID string

// ShapeID names a shape.
type ShapeID string

// GuaranteeID names a guarantee.
type GuaranteeID string

// JobClassID names a job class.
type JobClassID string

// RequestClassID names a request class.
type RequestClassID string

// JobID identifies a job, chosen by its submitter and unique per deployment.
type JobID string

// TaskID identifies a task within a deployment.
type TaskID string

// RequestID identifies a request, chosen by its caller and unique per customer.
type RequestID string

// ReservationID identifies a tentative reservation on one worker.
type ReservationID string

// ChangeID identifies a configuration change, chosen by the operator.
type ChangeID string

// InstanceID names a running peridotd, from its settings.
type InstanceID string

// Incarnation distinguishes successive processes of the same instance, worker or endpoint.
type Incarnation string

// WorkerID names a worker VM.
type WorkerID string

// EndpointID names an endpoint VM.
type EndpointID string

// Revision counts accepted configurations; it only increases.
type Revision uint64

// Token is a fencing token; a holder with a higher token supersedes all holders with lower ones.
type Token uint64

// Accelerators counts accelerators.
type Accelerators int

// TaskCount counts the tasks of a job.
type TaskCount int

// SlotCount counts requests that an endpoint serves at the same time.
type SlotCount int
