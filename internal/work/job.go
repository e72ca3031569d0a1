package work

import (
	"errors"
	"fmt"
	"time"

	"peridotgw.example/peridotgw/model"
)

// Limits of a job that is accepted.
const (
	MaxPayloadBytes = 4000
	maxTasksPerJob  = 100_000
)

// Room is an amount of a worker's resources.
type Room struct {
	CPU    int                // thousandths of a core
	Memory int                // MB
	GPU    model.Accelerators // whole accelerators
}

// Add returns the sum.
func (r Room) Add(o Room) Room { return Room{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU} }

// Sub returns the difference, which may be negative.
func (r Room) Sub(o Room) Room { return Room{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU} }

// Holds reports whether need fits.
func (r Room) Holds(need Room) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// cpuPerAccelerator is the value of one accelerator in thousandths of a core.
const cpuPerAccelerator = 8000

// Cores returns the room in cores, with accelerators counted by their value.
func (r Room) Cores() float64 { return float64(r.CPU+int(r.GPU)*cpuPerAccelerator) / 1000 }

// Step is a number of equal tasks.
type Step struct {
	Count       int
	Need        Room
	Estimate    time.Duration // rough
	After       []int         // numbers of earlier steps whose tasks must all be done first
	Gang        bool          // tasks work only together
	SameRack    bool          // a gang on several racks is slower
	Label       Label         // that the worker must have; empty for any
	DataRack    Label         // of the worker on which tasks are fast; empty for any
	PerWorker   int           // tasks of the step that one worker may run; 0 for any
	Checkpoints bool
	Lasts       bool          // runs until the job is cancelled
	TailTarget  time.Duration // of a task that serves users; 0 for none
	Fills       bool          // takes the processor time that others leave
}

// Room returns what one task takes of a worker's capacity.
func (s *Step) Room() Room {
	room := s.Need
	if s.Fills {
		room.CPU = 0
	}
	return room
}

// Terms are what a queue promises and allows.
type Terms struct {
	Priority    int           // 0 comes first
	MaxAttempts int           // failed runs of a task after which its job has failed
	Stretch     float64       // of the chain of work that a job may take
	Latency     time.Duration // that a job may take on top
}

// Job is an accepted job; it does not change.
type Job struct {
	ID       model.JobID
	Terms    Terms // of its queue when it was accepted
	Queue    QueueName
	Pool     PoolName
	Tenant   model.CustomerID
	Accepted time.Time // time of day
	Payload  string
	Steps    []Step
	First    time.Time     // due time of the first occurrence; zero for at once
	Every    time.Duration // between due times
	Times    int           // occurrences; 0 for a job without a schedule
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.First.IsZero() {
		return j.Accepted
	}
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// Lasts reports whether a step runs until the job is cancelled.
func (j *Job) Lasts() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasts {
			return true
		}
	}
	return false
}

// Chain returns the longest chain of steps by their estimates.
func (j *Job) Chain() time.Duration {
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

// Check returns an error that names the first field that cannot be.
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
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += j.Steps[i].Count
	}
	if total*j.Occurrences() > maxTasksPerJob {
		return fmt.Errorf("the job has more than %d tasks", maxTasksPerJob)
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 {
		return errors.New("a step needs at least one task")
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 || s.PerWorker < 0 {
		return errors.New("an amount is negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return fmt.Errorf("step %d to wait for is not an earlier step", before)
		}
	}
	return nil
}
