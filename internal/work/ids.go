package work

import (
	"fmt"
	"strconv"
	"strings"

	"peridotgw.example/peridotgw/model"
)

// RunNumber counts the starts of a task, from 1; all members of a gang share it.
type RunNumber int64

// EndNumber numbers the ended runs that a worker has reported since its start, from 1.
type EndNumber int64

// Checkpoint identifies the saved progress of a task; empty when there is none.
type Checkpoint string

// QueueName names a queue of jobs.
type QueueName string

// PoolName names a set of workers that run the jobs of one or more queues.
type PoolName string

// Label is a property of a worker, such as its hardware kind or its rack.
type Label string

// StepID identifies one occurrence of one step of a job.
type StepID struct {
	Job        model.JobID
	Occurrence int
	Step       int
}

// String returns the ID in the form JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies one task of a step.
type TaskID struct {
	StepID
	Index int
}

// String returns the ID in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses an ID in the form of TaskID.String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q does not have the form JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskID{}, fmt.Errorf("task %q: %q is not a number", text, part)
		}
		numbers[i] = number
	}
	step := StepID{Job: model.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1]}
	return TaskID{StepID: step, Index: numbers[2]}, nil
}
