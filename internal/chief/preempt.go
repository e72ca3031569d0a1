package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/evict"
	"peridotgw.example/peridotgw/internal/view"
	"peridotgw.example/peridotgw/model"
)

// sameRackWaitShare is the part of the reclaim bound after which urgent work no longer waits for a single rack.
const sameRackWaitShare = 0.4

// sumUrgentNeeds adds up the accelerators that the urgent jobs of each tenant need.
func (p *planner) sumUrgentNeeds() {
	p.urgentNeeds = map[model.CustomerID]model.Accelerators{}
	for _, j := range p.c.liveJobs {
		if p.config.Terms(j.spec).Priority == 0 {
			p.urgentNeeds[j.spec.Tenant] += j.maxAccelerators()
		}
	}
}

// withinGuarantee reports whether a tenant's urgent jobs together need no more than its guarantee.
func (p *planner) withinGuarantee(j *job) bool {
	tenant, found := p.config.Tenants[j.spec.Tenant]
	return found && p.urgentNeeds[j.spec.Tenant] <= tenant.Guaranteed
}

// maxAccelerators returns the most accelerators that one step of a job needs.
func (j *job) maxAccelerators() model.Accelerators {
	var maxAccelerators model.Accelerators
	for i := range j.spec.Steps {
		maxAccelerators = max(maxAccelerators, j.spec.Steps[i].Need.GPU*model.Accelerators(j.spec.Steps[i].Count))
	}
	return maxAccelerators
}

// placeAfterStops returns a worker for each of need tasks, counting capacity that is being freed, or nil.
func (p *planner) placeAfterStops(s *stage, need int, rackOnly bool) []*worker {
	if s.step.SameRack {
		if places := p.placeInOneRack(s, need, availableAfterStops); places != nil || rackOnly {
			return places
		}
	}
	return p.placeTasks(s, p.workers, need, availableAfterStops)
}

// chooseRoom returns the cheapest room for the waiting tasks of a stage that may stop other work, or why there is none.
func (p *planner) chooseRoom(s *stage, need int) (*evict.Choice, *view.Refusal) {
	seen := p.currentSnapshot()
	demand := &evict.Demand{
		Stage: seen.stage(p, s), Tasks: need, Places: make([]int, len(seen.workers)), OneRack: s.step.SameRack, Patience: p.patience(s),
	}
	for ref, w := range seen.workers {
		demand.Places[ref] = p.placesOn(s, w, need)
	}
	chooser := p.chooser()
	return chooser.Choose(&seen.Snapshot, demand)
}

// chooser returns what chooses the runs to be stopped for urgent work.
func (p *planner) chooser() evict.Chooser {
	return evict.Chooser{StopTime: p.c.Limits.StopTimeout, Restart: preemptedPause}
}

// placesOn returns how many more tasks of a stage a worker may take if it had the room, at most limit.
func (p *planner) placesOn(s *stage, w *worker, limit int) int {
	if !p.eligible(s, w) {
		return 0
	}
	return p.atMostOn(s, w, limit)
}

// patience is how long a stage that may stop other work waits for runs that end by themselves: as long as a stop takes, and only once. Where
// a run goes on beyond its expected end, the stage has lost that time already.
func (p *planner) patience(s *stage) time.Duration {
	if p.now.Sub(s.waitingSince) >= p.c.Limits.StopTimeout {
		return 0
	}
	return p.c.Limits.StopTimeout
}

// preemptRuns stops runs and, with each, the rest of its gang; their resources count as available for the rest of the pass.
func (p *planner) preemptRuns(s *stage, stops []view.Stop) {
	reason := preemptedBy + string(s.job.spec.ID)
	for _, stop := range stops {
		r := p.seen.runs[stop.Run]
		p.preemptRun(r, reason)
		if r.gang != nil && !r.gang.ending {
			r.gang.ending = true
			for member := range r.gang.members {
				p.preemptRun(member, reason)
			}
		}
	}
}

// preemptedBy begins the reason of a stop for urgent work; the job's id follows.
const preemptedBy = "preempted by "

func (p *planner) preemptRun(r *run, reason string) {
	if r.phase == stopping || !r.present() {
		return
	}
	p.delayRestart(r.task)
	p.c.stopRun(r, reason)
	r.worker.available = r.worker.available.Add(r.resources)
}

// delayRestart delays the next start of a preempted task.
func (p *planner) delayRestart(t *task) {
	if t == nil {
		return
	}
	t.preemptions = min(t.preemptions+1, maxPreemptedPauses)
	t.pausedUntil = p.now.Add(time.Duration(t.preemptions) * preemptedPause)
}
