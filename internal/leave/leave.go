package leave

import (
	"math"
	"time"

	"peridotgw.example/peridotgw/internal/view"
)

const (
	// ratedDoubt is the part by which a time left is uncertain that follows from a run's own progress, and unratedDoubt that of one that
	// follows from the run times of others.
	ratedDoubt   = 0.1
	unratedDoubt = 0.6
	// sure is the chance from which on work is expected to end in time.
	sure = 0.9
)

// Reasons of decisions.
const (
	ReasonEnds   view.Reason = "it ends before its worker leaves"
	ReasonSaves  view.Reason = "it goes on until just before its worker leaves, and continues elsewhere"
	ReasonMayEnd view.Reason = "it may end before its worker leaves"
	ReasonTooLow view.Reason = "it will not end before its worker leaves"
	ReasonTarget view.Reason = "only a start now may meet its job's target"
	ReasonNoTime view.Reason = "there is no more time"
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
	Rated    bool          // the estimate follows from its own progress
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
	// Lease is how long the tasks of work that is cut off wait for the leases on the worker that has left.
	Lease time.Duration
}

// Decision is what happens to a piece of work, and why.
type Decision struct {
	Action Action
	Reason view.Reason
	// Left is the estimated time until all of the work is done, and LeavesIn the time until the first of its workers leaves.
	Left, LeavesIn time.Duration
	Chance         float64 // that it ends in time
}

// Decide returns what loses least. It is asked anew until the work has ended: estimates improve while the time runs out. Work that is
// stopped loses what is not saved and starts elsewhere at once; work that is cut off loses the same, and its tasks wait for the leases on
// the worker that has left.
func (l Limits) Decide(w *Work) Decision {
	d := Decision{LeavesIn: w.leavesIn()}
	d.Left, d.Chance = w.left(d.LeavesIn)
	untilStop := d.LeavesIn - l.Stop
	switch {
	case d.Chance >= sure:
		d.Action, d.Reason = Finish, ReasonEnds
	case untilStop <= 0 && w.gains(d.Chance, l.Lease):
		d.Action, d.Reason = Finish, ReasonMayEnd
	case untilStop <= 0:
		d.Action, d.Reason = StopNow, ReasonNoTime
	case w.Checkpoints:
		d.Action, d.Reason = StopLater, ReasonSaves
	case w.Slack >= 0 && w.Slack < untilStop:
		d.Action, d.Reason = StopNow, ReasonTarget
	case w.gains(d.Chance, untilStop):
		d.Action, d.Reason = StopLater, ReasonMayEnd
	default:
		d.Action, d.Reason = StopNow, ReasonTooLow
	}
	return d
}

// left returns the time until the slowest member is done, and the chance that it is done within a time.
func (w *Work) left(within time.Duration) (left time.Duration, chance float64) {
	chance = 1
	for _, m := range w.Members {
		left = max(left, m.Left)
		chance = min(chance, m.chance(within))
	}
	return left, chance
}

// chance returns the chance that a member is done within a time: its time left is off by up to its doubt either way.
func (m *Member) chance(within time.Duration) float64 {
	doubt := unratedDoubt
	if m.Rated {
		doubt = ratedDoubt
	}
	earliest, latest := (1-doubt)*m.Left.Seconds(), (1+doubt)*m.Left.Seconds()
	switch seconds := within.Seconds(); {
	case seconds >= latest:
		return 1
	case seconds <= earliest:
		return 0
	default:
		return (seconds - earliest) / (latest - earliest)
	}
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

// gains reports whether less is lost on average by going on than by a stop now. Going on saves what a stop loses if the work ends in time,
// and costs a time otherwise.
func (w *Work) gains(chance float64, cost time.Duration) bool {
	return chance*float64(w.Lost) > (1-chance)*float64(cost)
}
