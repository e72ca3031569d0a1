package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/model"
)

// snapshot is what decisions see of a planning pass, with the scheduler's own objects behind its references.
type snapshot struct {
	view.Snapshot
	workers    []*worker // by view.WorkerRef
	runs       []*run    // by view.RunRef
	stages     []*stage  // by view.StageRef
	workerRefs map[*worker]view.WorkerRef
	stageRefs  map[*stage]view.StageRef
	protected  []bool // by view.StageRef: none of its runs may be stopped now
}

// newSnapshot returns a snapshot of the workers that may get new runs, with all that runs there. Stages without a run there are added when
// they are asked for.
func (p *planner) newSnapshot() *snapshot {
	s := &snapshot{workerRefs: make(map[*worker]view.WorkerRef, len(p.workers)), stageRefs: map[*stage]view.StageRef{}}
	s.Tenants = make(map[model.CustomerID]view.Tenant, len(p.config.Tenants))
	for id := range p.config.Tenants {
		s.Tenants[id] = p.quota.Tenant(id)
	}
	runs := 0
	for _, w := range p.workers {
		runs += len(w.runs)
	}
	s.Workers, s.workers = make([]view.Worker, 0, len(p.workers)), make([]*worker, 0, len(p.workers))
	s.Runs, s.runs = make([]view.Run, 0, runs), make([]*run, 0, runs)
	gangs := map[*gang]view.GangRef{}
	for _, w := range p.workers {
		s.addWorker(p, w, gangs)
	}
	return s
}

// currentSnapshot returns the snapshot of the pass, brought up to date with its starts and stops: a run that the pass itself has started
// is not in it, and takes part of what is available.
func (p *planner) currentSnapshot() *snapshot {
	if p.seen == nil {
		p.seen = p.newSnapshot()
		return p.seen
	}
	for ref, w := range p.seen.workers {
		p.seen.Workers[ref].Available = w.available
	}
	for ref, r := range p.seen.runs {
		p.seen.Runs[ref].Stopping = r.phase == stopping || !r.present()
	}
	p.seen.updateProtected()
	return p.seen
}

// updateProtected brings up to date which runs may be stopped: each stop leaves fewer of its step.
func (s *snapshot) updateProtected() {
	for ref, of := range s.stages {
		if of.limitsStops() {
			s.protect(view.StageRef(ref), of.mayStop())
		}
	}
	for ref := range s.Runs {
		s.Runs[ref].Protected = s.protected[s.Runs[ref].Stage]
	}
}

// protect sets how many runs of a stage may be stopped, where that is limited.
func (s *snapshot) protect(ref view.StageRef, most int) {
	s.Stages[ref].MaxStops, s.protected[ref] = most, most == 0
}

func (s *snapshot) addWorker(p *planner, w *worker, gangs map[*gang]view.GangRef) {
	ref := view.WorkerRef(len(s.workers))
	s.workerRefs[w] = ref
	s.workers = append(s.workers, w)
	seen := view.Worker{
		ID: w.info.ID, Pool: w.info.Pool, Rack: w.info.Rack(), Capacity: w.info.Capacity, Available: w.available, Speed: w.speedFactor(),
		Leaves: w.leavesAt != 0, LeavesIn: w.leavesAt.Sub(p.now),
	}
	seen.Runs = make([]view.RunRef, 0, len(w.runs))
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		stage := s.stage(p, r.task.stage)
		seen.Runs = append(seen.Runs, view.RunRef(len(s.runs)))
		s.runs = append(s.runs, r)
		s.Runs = append(s.Runs, view.Run{
			Worker: ref, Stage: stage, Gang: gangRef(gangs, r.gang), Need: r.resources, Stopping: r.phase == stopping,
			Protected: s.protected[stage], Done: float64(r.percent) / fullPercent, Age: r.age(p.now), Left: p.timeLeft(r),
			Lost: p.c.lostByStop(r, p.now), Stops: r.task.preemptions,
		})
	}
	s.Workers = append(s.Workers, seen)
}

func gangRef(gangs map[*gang]view.GangRef, g *gang) view.GangRef {
	if g == nil {
		return 0
	}
	if gangs[g] == 0 {
		gangs[g] = view.GangRef(len(gangs) + 1)
	}
	return gangs[g]
}

// stage returns the reference of a stage, which is added if it is not there yet.
func (s *snapshot) stage(p *planner, of *stage) view.StageRef {
	if ref, found := s.stageRefs[of]; found {
		return ref
	}
	ref := view.StageRef(len(s.stages))
	s.stageRefs[of] = ref
	s.stages = append(s.stages, of)
	estimate := p.c.estimate(of)
	s.Stages = append(s.Stages, view.Stage{
		ID: of.id, Tenant: of.job.spec.Tenant, Queue: of.job.spec.Queue, Priority: p.priority(of), Tasks: len(of.tasks),
		Waiting: of.waitingTasks(), Need: of.step.Resources(), Gang: of.step.Gang, SameRack: of.step.SameRack, Estimate: estimate,
		Lasts:    of.step.Lasts,
		Slack:    of.job.deadline.Sub(p.now) - estimate - p.c.chainAfter(of, p.now),
		Hopeless: of.job.late(p.now) && !of.step.Lasts, Guaranteed: p.priority(of) == 0 && p.withinGuarantee(of.job),
	})
	s.protected = append(s.protected, false)
	if of.limitsStops() {
		s.protect(ref, of.mayStop())
	}
	return ref
}

// lostByStop returns the time of work that stopping a run now loses.
func (c *Scheduler) lostByStop(r *run, now clock.Instant) time.Duration {
	lost := r.age(now)
	switch {
	case r.task == nil:
	case r.task.stage.step.Lasts:
		return 0 // Nothing of it is done again.
	case r.task.stage.step.Checkpoints:
		lost = min(lost, c.Limits.CheckpointInterval+c.Limits.RestoreTime)
	}
	return lost
}
