package speed

import (
	"math"
	"time"
)

// Haste is how much it matters that a task ends soon: over 0 if it should take a fast worker, below 0 if it should leave them to others.
type Haste float64

// Values of Haste.
const (
	Urgent  Haste = 1
	Pressed Haste = 0.5
	Usual   Haste = 0
	Patient Haste = -0.2
)

const (
	// hasteWeight is the number of free accelerators that a worker which is e times as fast outweighs for an urgent task.
	hasteWeight = 6.0
	// pressedSlack and patientSlack are the slack of a job, in run times of the task, below which it is pressed and over which it is patient.
	pressedSlack = 1.0
	patientSlack = 2.5
)

// Work is what the haste of a task depends on.
type Work struct {
	Urgent   bool
	Gang     bool // ends with its slowest member
	Lasts    bool // until it is cancelled
	Hopeless bool // the end of its job has no value any more
	Chain    bool // further steps wait for it
	Takes    time.Duration
	// Slack is the time until the target of its job, less what the job still takes.
	Slack time.Duration
}

// HasteOf returns the haste of work.
func HasteOf(w Work) Haste {
	slack := float64(w.Slack)
	takes := float64(w.Takes)
	switch {
	case w.Lasts:
		return Usual
	case w.Urgent:
		return Urgent
	case w.Hopeless:
		return Patient
	case w.Gang, w.Chain, slack < pressedSlack*takes:
		return Pressed
	case slack > patientSlack*takes:
		return Patient
	}
	return Usual
}

// Penalty rates a worker by its speed for a task: lower is better. It is in accelerators that stay free beside the task, 0 for a usual worker.
func (h Haste) Penalty(factor float64) float64 { return -float64(h) * hasteWeight * math.Log(factor) }
