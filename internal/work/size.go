package work

import "peridotgw.example/peridotgw/internal/budget"

// What a job takes in the memory of the instance that schedules it, in bytes. The sizes of the scheduler's own types are checked by a test.
const (
	jobBytes       = 2 << 10 // with its entries in maps
	stepBytes      = 192     // as decoded
	conditionBytes = 16      // of one step for another, in both directions
	stageBytes     = 512     // of a step of one occurrence
	taskBytes      = 144
)

// Size returns the memory that a job takes while none of its occurrences is due or runs.
func (j *Job) Size() budget.Bytes {
	size := jobBytes + len(j.Payload)
	for i := range j.Steps {
		step := &j.Steps[i]
		size += stepBytes + conditionBytes*len(step.After) + len(step.Label) + len(step.DataRack) + len(step.Image)
	}
	return budget.Bytes(size)
}

// OccurrenceSize returns the memory that each occurrence takes besides while it is due or runs.
func (j *Job) OccurrenceSize() budget.Bytes {
	size := stageBytes * len(j.Steps)
	for i := range j.Steps {
		size += taskBytes * j.Steps[i].Count
	}
	return budget.Bytes(size)
}
