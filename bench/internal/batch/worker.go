package batch

import (
	"slices"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

// machine is one worker in memory. Its tasks end by themselves at their end time.
type machine struct {
	id       model.WorkerID
	total    model.Accelerators
	reserved map[model.JobID]model.Accelerators
	tasks    map[model.TaskID]*task
}

type task struct {
	worker.Task
	startedAt, endsAt time.Time
	// freeAt is when the accelerators of a stopped task are free; zero while it runs.
	freeAt time.Time
}

// settle ends the tasks whose time has come.
func (m *machine) settle(now time.Time) {
	for _, t := range m.tasks {
		if t.State == worker.TaskRunning && !now.Before(t.endsAt) {
			t.State = worker.TaskDone
		}
	}
}

// busy counts accelerators that tasks hold.
func (m *machine) busy(now time.Time) model.Accelerators {
	m.settle(now)
	busy := model.Accelerators(0)
	for _, t := range m.tasks {
		if t.State == worker.TaskRunning || now.Before(t.freeAt) {
			busy += t.Accelerators
		}
	}
	return busy
}

// reserve takes accelerators for a job and reports whether there is room.
func (m *machine) reserve(job model.JobID, accelerators model.Accelerators, now time.Time) bool {
	held := model.Accelerators(0)
	for _, reserved := range m.reserved {
		held += reserved
	}
	if m.busy(now)+held+accelerators > m.total {
		return false
	}
	m.reserved[job] += accelerators
	return true
}

// status answers a renewal for jobs, with their tasks in order. Ended tasks are forgotten once their job is not asked for.
func (m *machine) status(ids []model.JobID, now time.Time) worker.Status {
	m.settle(now)
	status := worker.Status{Worker: m.id, Accelerators: m.total}
	for _, t := range m.tasks {
		if slices.Contains(ids, t.Job) {
			status.Tasks = append(status.Tasks, t.Task)
		}
	}
	slices.SortFunc(status.Tasks, func(a, b worker.Task) int { return strings.Compare(string(a.Task), string(b.Task)) })
	return status
}

// forget drops what is known of a job whose accelerators are free.
func (m *machine) forget(job model.JobID) {
	for id, t := range m.tasks {
		if t.Job == job {
			delete(m.tasks, id)
		}
	}
}
