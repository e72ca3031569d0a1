package leave

import (
	"math"
	"time"

	"peridotgw.example/peridotgw/internal/view"
)

const (
	// lateEnd is how long after the earliest end of its worker a run may be expected to end and still be left alone: workers state the
	// least time that is left, and mostly serve a little longer.
	lateEnd = 250 * time.Millisecond
	// doubt is the part of its time by which the end of a run is uncertain. A run that may end in time, within it, is not given up before
	// it has to be.
	doubt = 0.3
)

// Reasons of decisions.
const (
	ReasonEnds   view.Reason = "it ends before its worker leaves"
	ReasonSaves  view.Reason = "it goes on until just before its worker leaves, and continues elsewhere"
	ReasonMayEnd view.Reason = "it may end before its worker leaves"
	ReasonTooLow view.Reason = "it will not end before its worker leaves"
	ReasonNoTime view.Reason = "its worker leaves"
)

// Action is what happens to a piece of work.
type Action int

// Actions.
const (
	Finish    Action = iota // it goes on to its end
	StopLater               // it goes on until just before the first of its workers leaves, unless it ends before or is decided anew
	StopNow                 // all of it stops
)

// String returns the name of the action, for logs.
func (a Action) String() string {
	switch a {
	case Finish:
		return "finish"
	case StopLater:
		return "stop-later"
	}
	return "stop-now"
}

// Member is a run of a gang, or a run by itself.
type Member struct {
	Left     time.Duration // estimated time until its own part is done
	Leaves   bool          // whether its worker leaves
	LeavesIn time.Duration // at the earliest
}

// Work is what stops or goes on as a whole: all runs of a gang, or one run. A gang ends when its slowest member does, and the loss of one
// member ends it; members can't be replaced within a run.
type Work struct {
	Members []Member
	// Lost is the time of work that a stop now loses: what is not saved, and the time to resume.
	Lost        time.Duration
	Checkpoints bool // a stop saves its progress
	// Slack is the time until the target of its job, less what the job takes if it starts again now; negative if that can't be met.
	Slack time.Duration
}

// Limits are the bounds of workers.
type Limits struct {
	// Stop is how long before its worker leaves a run must be ordered to stop, so that its end is still reported.
	Stop time.Duration
}

// Decision is what happens to a piece of work, and why.
type Decision struct {
	Action Action
	Reason view.Reason
	// Left is the estimated time until all of the work is done, and LeavesIn the time until the first of its workers leaves.
	Left, LeavesIn time.Duration
}

// Decide returns what loses least. It is asked anew until the work has ended: estimates improve while the time runs out. Work that is
// stopped loses what is not saved and starts elsewhere at once; work that is cut off loses the same, and its tasks wait for the leases on the
// worker that has left.
func (l Limits) Decide(w *Work) Decision {
	d := Decision{Left: w.left(), LeavesIn: w.leavesIn()}
	untilStop := d.LeavesIn - l.Stop
	switch {
	case d.Left <= d.LeavesIn+lateEnd:
		d.Action, d.Reason = Finish, ReasonEnds
	case untilStop <= 0:
		d.Action, d.Reason = StopNow, ReasonNoTime
	case w.Checkpoints:
		d.Action, d.Reason = StopLater, ReasonSaves
	case w.worthWaiting(&d, untilStop):
		d.Action, d.Reason = StopLater, ReasonMayEnd
	default:
		d.Action, d.Reason = StopNow, ReasonTooLow
	}
	return d
}

// left returns the time until the slowest member is done.
func (w *Work) left() time.Duration {
	var left time.Duration
	for _, m := range w.Members {
		left = max(left, m.Left)
	}
	return left
}

// leavesIn returns the time until the first member's worker leaves.
func (w *Work) leavesIn() time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, m := range w.Members {
		if m.Leaves {
			first = min(first, m.LeavesIn)
		}
	}
	return first
}

// worthWaiting reports whether less is lost on average by going on until the last moment for a stop than by a stop now. Going on saves
// what a stop loses if the work ends in time, and loses the time until then otherwise. It is not worth it where only a start now may meet
// the job's target.
func (w *Work) worthWaiting(d *Decision, untilStop time.Duration) bool {
	if w.Slack >= 0 && w.Slack < untilStop {
		return false
	}
	chance := w.chanceToEnd(d)
	return chance*float64(w.Lost) > (1-chance)*float64(untilStop)
}

// chanceToEnd returns the chance that the work ends before the first of its workers leaves, for a time left that is off by up to doubt
// either way.
func (w *Work) chanceToEnd(d *Decision) float64 {
	earliest, latest := (1-doubt)*d.Left.Seconds(), (1+doubt)*d.Left.Seconds()
	chance := ((d.LeavesIn + lateEnd).Seconds() - earliest) / (latest - earliest)
	return min(max(chance, 0), 1)
}
