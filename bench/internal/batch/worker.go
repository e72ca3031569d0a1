package batch

import (
	"slices"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

// simWorker is one worker in memory. Its tasks end by themselves at their end time.
type simWorker struct {
	id                model.WorkerID
	totalAccelerators model.Accelerators
	reserved          map[model.JobID]model.Accelerators
	tasks             map[model.TaskID]*task
}

type task struct {
	worker.Task
	startedAt, endsAt time.Time
	// freeAt is the time when the accelerators of a stopping task become free; zero while the task runs.
	freeAt time.Time
}

// endDueTasks marks running tasks as done once their end time is reached.
func (w *simWorker) endDueTasks(now time.Time) {
	for _, t := range w.tasks {
		if t.State == worker.TaskRunning && !now.Before(t.endsAt) {
			t.State = worker.TaskDone
		}
	}
}

// busy returns the number of accelerators that tasks hold.
func (w *simWorker) busy(now time.Time) model.Accelerators {
	w.endDueTasks(now)
	busy := model.Accelerators(0)
	for _, t := range w.tasks {
		if t.State == worker.TaskRunning || now.Before(t.freeAt) {
			busy += t.Accelerators
		}
	}
	return busy
}

// reserve reserves accelerators for a job and reports whether enough are free.
func (w *simWorker) reserve(job model.JobID, accelerators model.Accelerators, now time.Time) bool {
	held := model.Accelerators(0)
	for _, reserved := range w.reserved {
		held += reserved
	}
	if w.busy(now)+held+accelerators > w.totalAccelerators {
		return false
	}
	w.reserved[job] += accelerators
	return true
}

// status answers a renewal for jobs with their tasks, ordered by id.
func (w *simWorker) status(ids []model.JobID, now time.Time) worker.Status {
	w.endDueTasks(now)
	status := worker.Status{Worker: w.id, Accelerators: w.totalAccelerators}
	for _, t := range w.tasks {
		if slices.Contains(ids, t.Job) {
			status.Tasks = append(status.Tasks, t.Task)
		}
	}
	slices.SortFunc(status.Tasks, func(a, b worker.Task) int { return strings.Compare(string(a.Task), string(b.Task)) })
	return status
}

// removeTasks removes the tasks of a job whose accelerators are free.
func (w *simWorker) removeTasks(job model.JobID) {
	for id, t := range w.tasks {
		if t.Job == job {
			delete(w.tasks, id)
		}
	}
}
