package chief

import (
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/noisy"
	"peridotgw.example/peridotgw/internal/work"
)

// neighbours are the kinds of tasks on a worker.
type neighbours struct {
	tasks     map[noisy.Kind]int
	changedAt clock.Instant // when a run was added or removed, or its pace has changed
}

// noisyKindOf returns the kind of a step's tasks: its image or, if the caller names none, the queue.
func noisyKindOf(j *work.Job, step *work.Step) noisy.Kind {
	if step.Image != "" {
		return noisy.Kind("image " + step.Image)
	}
	return noisy.Kind("queue " + string(j.Queue))
}

func (n *neighbours) add(r *run, tasks int, now clock.Instant) {
	if r.task == nil {
		return
	}
	if n.tasks == nil {
		n.tasks = map[noisy.Kind]int{}
	}
	kind := r.task.stage.noisyKind
	if n.tasks[kind] += tasks; n.tasks[kind] == 0 {
		delete(n.tasks, kind)
	}
	n.changedAt = now
}

// besides returns the kinds of the other runs on a run's worker, sorted; steady is false if one of them works at a reduced pace, and those
// that are paced down to nothing do not count.
func (r *run) besides() (kinds []noisy.Kind, steady bool) {
	for _, other := range r.worker.runs {
		if other == r || other.task == nil || other.pace == 0 {
			continue
		}
		if other.pace < fullPace {
			return nil, false
		}
		if kind := other.task.stage.noisyKind; !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds, true
}

// sampleNeighbours learns from the rate of a run since its sample before, unless something else may have changed its rate.
func (c *Scheduler) sampleNeighbours(r *run, before, now clock.Instant) {
	if r.ratedAt != now || before == 0 || before.Sub(r.startedAt) < c.Limits.RestoreTime || r.worker.neighbours.changedAt > before {
		return
	}
	rate, ok := r.comparableRate()
	if !ok || r.worker.avoided(now) || !r.gangRunning() {
		return
	}
	if kinds, steady := r.besides(); steady {
		r.track.Sample(&c.interference, time.Duration(now), r.task.stage.noisyKind, kinds, rate)
	}
}

// comparableRate returns how fast a run works, in a unit of its own kind: progress or, of a task with a tail target, the inverse of its tail
// latency. It returns false if the run tells nothing about its neighbours.
func (r *run) comparableRate() (rate float64, ok bool) {
	if r.task == nil || r.phase != running || r.pace < fullPace {
		return 0, false
	}
	step := r.task.stage.step
	switch {
	case step.TailTarget > 0:
		return 1 / float64(r.tailLatency), r.tailLatency > 0
	case step.Lasts || step.Fills || r.percent >= fullPercent:
		return 0, false
	}
	return r.rate, true
}

// noteInterference logs that a pair of kinds is known to interfere, or no longer is.
func (c *Scheduler) noteInterference(pair noisy.Pair, slowdown float64, certain bool) {
	what := "chief: tasks slow each other down on one worker"
	if !certain {
		what = "chief: tasks no longer known to slow each other down"
	}
	c.Log.Info().Str("victim", string(pair.Victim)).Str("aggressor", string(pair.Aggressor)).Float64("slowdown", slowdown).Msg(what)
	c.Observe.InterferingPairs(c.interference.Certain())
}

const (
	// unprovenInterference keeps filling and serving tasks on separate workers as long as another one has capacity.
	unprovenInterference = 1000
	// interferenceWeight makes a slowdown count more than a tight fit, and less than a suspect worker unless it is twofold.
	interferenceWeight = 100
)

// interference rates how much a task of a stage and the tasks on a worker would slow each other down; 0 if nothing is known.
func (p *planner) interference(s *stage, w *worker) float64 {
	rating := interferenceWeight * p.c.interference.Penalty(s.noisyKind, w.neighbours.tasks)
	if s.step.Fills && w.runsServingTask() || s.step.TailTarget > 0 && w.runsFillingTask() {
		rating += unprovenInterference
	}
	return rating
}

func (w *worker) runsServingTask() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.stage.step.TailTarget > 0 {
			return true
		}
	}
	return false
}

func (w *worker) runsFillingTask() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.stage.step.Fills {
			return true
		}
	}
	return false
}

// slowsDown reports whether a filling run is known to slow down a run that serves.
func (c *Scheduler) slowsDown(filling, serving *run) bool {
	return c.interference.Slowdown(noisy.Pair{Victim: serving.task.stage.noisyKind, Aggressor: filling.task.stage.noisyKind}) > 1
}
