package work

import (
	"errors"
	"fmt"
	"time"

	"peridotgw.example/peridotgw/model"
)

// Limits of a job; larger ones are not accepted.
const (
	MaxPayloadBytes = 4000
	maxTasks        = 100_000 // of one occurrence
)

// Resources is an amount of resources: a worker's capacity or a task's demand.
type Resources struct {
	CPU    int                `cbor:",omitempty"` // thousandths of a core
	Memory int                `cbor:",omitempty"` // MB
	GPU    model.Accelerators `cbor:",omitempty"` // whole accelerators
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Sub returns the difference, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Times returns the amount for a number of equal tasks.
func (r Resources) Times(count int) Resources {
	return Resources{r.CPU * count, r.Memory * count, r.GPU * model.Accelerators(count)}
}

// CountFits returns how often need fits into r, at most limit.
func (r Resources) CountFits(need Resources, limit int) int {
	count := limit
	if need.CPU > 0 {
		count = min(count, r.CPU/need.CPU)
	}
	if need.Memory > 0 {
		count = min(count, r.Memory/need.Memory)
	}
	if need.GPU > 0 {
		count = min(count, int(r.GPU/need.GPU))
	}
	return max(count, 0)
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// cpuPerAccelerator weighs one accelerator, in thousandths of a core, when amounts are compared as a single number.
const cpuPerAccelerator = 8000

// Cores returns the amount as a number of cores, with accelerators converted by cpuPerAccelerator; memory does not count.
func (r Resources) Cores() float64 { return float64(r.CPU+int(r.GPU)*cpuPerAccelerator) / 1000 }

// Image names the program that tasks run. Tasks of the same image behave alike.
type Image string

// Step is a group of identical tasks of a job.
type Step struct {
	Count       int
	Need        Resources     `cbor:",omitzero"`  // of one task
	Estimate    time.Duration `cbor:",omitempty"` // run time of one task; a rough value from the caller
	After       []int         `cbor:",omitempty"` // indexes of earlier steps whose tasks must all be done first
	Gang        bool          `cbor:",omitempty"` // all tasks run at the same time or none does
	SameRack    bool          `cbor:",omitempty"` // a gang that spans several racks is slower
	Label       Label         `cbor:",omitempty"` // required of the worker; empty for any worker
	DataRack    Label         `cbor:",omitempty"` // rack that holds the input data, where tasks run faster; empty for none
	PerWorker   int           `cbor:",omitempty"` // most tasks of the step on one worker; 0 for no limit
	Checkpoints bool          `cbor:",omitempty"` // tasks save their progress and can continue from it
	Lasts       bool          `cbor:",omitempty"` // runs until the job is cancelled
	MayMiss     int           `cbor:",omitempty"` // tasks of a step that lasts that may be away at a time through stops; 0 for any number
	TailTarget  time.Duration `cbor:",omitempty"` // tail latency target of a task that serves users; 0 for none
	Fills       bool          `cbor:",omitempty"` // uses only processor time that other tasks leave idle
	Image       Image         `cbor:",omitempty"` // what the tasks run; empty if the caller does not say
}

// Resources returns the capacity that one task occupies on a worker; a step with Fills occupies no CPU.
func (s *Step) Resources() Resources {
	resources := s.Need
	if s.Fills {
		resources.CPU = 0
	}
	return resources
}

// Terms are the priority, retry limit and completion target of a queue's jobs. A job is to complete within Stretch times its
// critical path plus Latency.
type Terms struct {
	Priority    int           // 0 is the highest
	MaxAttempts int           // failed runs of one task after which the job fails
	Stretch     float64       // factor on the critical path
	Latency     time.Duration // allowance on top of the stretched critical path
}

// Job is an accepted job. It is immutable, and its field names are keys of the stored record.
type Job struct {
	ID       model.JobID
	Terms    Terms // of the queue at acceptance
	Queue    QueueName
	Pool     PoolName
	Tenant   model.CustomerID
	Accepted time.Time // wall-clock time
	Payload  string    // passed to each task as it is
	Steps    []Step
	First    time.Time     // due time of the first occurrence; zero for a job that starts at once
	Every    time.Duration // interval between due times
	Times    int           // number of occurrences; 0 for a job without a schedule
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Due returns the earliest start of an occurrence.
func (j *Job) Due(occurrence int) time.Time {
	if j.First.IsZero() {
		return j.Accepted
	}
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// Lasts reports whether any step runs until the job is cancelled.
func (j *Job) Lasts() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasts {
			return true
		}
	}
	return false
}

// CriticalPath returns the estimated length of the critical path through the steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, before := range j.Steps[i].After {
			start = max(start, ends[before])
		}
		ends[i] = start + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Check returns an error that names the first invalid field. The text reaches the caller.
func (j *Job) Check() error {
	if len(j.Payload) > MaxPayloadBytes {
		return fmt.Errorf("the payload has %d bytes, more than %d", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	if j.Times < 0 || j.Every < 0 {
		return errors.New("the schedule has a negative number")
	}
	left := maxTasks
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		if j.Steps[i].Count > left {
			return fmt.Errorf("the steps have more than %d tasks", maxTasks)
		}
		left -= j.Steps[i].Count
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 {
		return errors.New("a step needs at least one task")
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 || s.PerWorker < 0 || s.MayMiss < 0 {
		return errors.New("an amount is negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("step %d to wait for is not an earlier step", before)
		}
	}
	return nil
}
