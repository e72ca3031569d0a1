package worker

import (
	"encoding/json"

	"peridotgw.example/peridotgw/model"
)

// Reserve reserves accelerators for TTLMs; another call with the same reservation id renews the reservation.
type Reserve struct {
	Reservation  model.ReservationID `json:"reservation"`
	Job          model.JobID         `json:"job"`
	DataCentre   model.DataCentreID  `json:"data-centre"`
	Token        model.Token         `json:"token"`
	Accelerators model.Accelerators  `json:"accelerators"`
	TTLMs        int64               `json:"ttl-ms"`
}

// Reserved is the answer to Reserve. LeftMs is the time until the reservation expires.
type Reserved struct {
	Reservation model.ReservationID `json:"reservation"`
	LeftMs      int64               `json:"left-ms"`
}

// Start turns a reservation into a running task, whose lease expires after LeaseMs without a renewal.
type Start struct {
	Reservation model.ReservationID `json:"reservation"`
	Task        model.TaskID        `json:"task"`
	Job         model.JobID         `json:"job"`
	DataCentre  model.DataCentreID  `json:"data-centre"`
	Token       model.Token         `json:"token"`
	LeaseMs     int64               `json:"lease-ms"`
	Class       model.JobClassID    `json:"class"`
	// RunMs is the declared run time less the progress of earlier runs.
	RunMs int64 `json:"run-ms"`
	// Accelerators is set only if there is no reservation.
	Accelerators model.Accelerators `json:"accelerators,omitempty"`
	Payload      json.RawMessage    `json:"payload,omitempty"`
}

// Renew renews the leases of the jobs' tasks on one worker; it also raises the worker's fencing token.
type Renew struct {
	DataCentre model.DataCentreID `json:"data-centre"`
	Token      model.Token        `json:"token"`
	Jobs       []model.JobID      `json:"jobs"`
	LeaseMs    int64              `json:"lease-ms"`
}

// Mode is the way in which tasks are stopped.
type Mode string

// Modes of Stop.
const (
	// ModeCheckpoint lets the tasks save their progress first.
	ModeCheckpoint Mode = "checkpoint"
	ModeKill       Mode = "kill"
)

// Stop ends the tasks of a job on one worker. With ModeCheckpoint, the worker answers when the tasks have ended or WithinMs has
// passed.
type Stop struct {
	Job        model.JobID        `json:"job"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Token      model.Token        `json:"token"`
	Mode       Mode               `json:"mode"`
	WithinMs   int64              `json:"within-ms"`
}

// Release ends a reservation for which no task was started.
type Release struct {
	Reservation model.ReservationID `json:"reservation"`
	DataCentre  model.DataCentreID  `json:"data-centre"`
	Token       model.Token         `json:"token"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// States of a task; all but TaskRunning and TaskStopping are final.
const (
	TaskRunning      TaskState = "running"
	TaskStopping     TaskState = "stopping"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "checkpointed"
	TaskKilled       TaskState = "killed"
	// TaskExpired means that the lease of the task expired without a renewal.
	TaskExpired TaskState = "expired"
)

// Ended reports whether the state is final.
func (s TaskState) Ended() bool { return s != TaskRunning && s != TaskStopping }

// Task is one task as reported by its worker.
type Task struct {
	Task         model.TaskID       `json:"task"`
	Job          model.JobID        `json:"job"`
	DataCentre   model.DataCentreID `json:"data-centre"`
	State        TaskState          `json:"state"`
	Accelerators model.Accelerators `json:"accelerators"`
	// ProgressMs is the run time of this task that a checkpoint saved or, for a running task, the time it has run so far.
	ProgressMs int64  `json:"progress-ms"`
	Message    string `json:"message,omitempty"`
}

// Reservation is a reservation held on the worker, for LeftMs more.
type Reservation struct {
	Reservation  model.ReservationID `json:"reservation"`
	Job          model.JobID         `json:"job"`
	Accelerators model.Accelerators  `json:"accelerators"`
	LeftMs       int64               `json:"left-ms"`
}

// Usage is the measured load of a worker, AgeMs old. It is used only for throttling, never for placement.
type Usage struct {
	Busy  model.Accelerators `json:"busy"`
	AgeMs int64              `json:"age-ms"`
}

// Status is the answer to all calls but Reserve: the tasks that the call concerns, including recently ended ones.
type Status struct {
	Worker       model.WorkerID     `json:"worker"`
	Incarnation  model.Incarnation  `json:"incarnation"`
	Accelerators model.Accelerators `json:"accelerators"`
	Tasks        []Task             `json:"tasks"`
	Reservations []Reservation      `json:"reservations,omitempty"`
	Usage        Usage              `json:"usage"`
}
