package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/model"
)

const (
	// headroomWindow is how long accelerators that urgent work has used are kept free for more of it: other work that
	// started there would soon be preempted.
	headroomWindow = 3 * time.Second
	headroomSlots  = 12 // parts of headroomWindow
	// preemptedPause times a task's preemptions, up to maxPreemptedPauses, delays its next start.
	preemptedPause     = 400 * time.Millisecond
	maxPreemptedPauses = 8
)

// urgentDemand holds the peak of the accelerators that urgent runs used in each part of the last headroomWindow.
type urgentDemand struct {
	peaks [headroomSlots]model.Accelerators
	slot  int64
}

// record adds a reading and returns the peak of the window.
func (d *urgentDemand) record(now clock.Instant, used model.Accelerators) model.Accelerators {
	slot := int64(now) / int64(headroomWindow/headroomSlots)
	for s := max(d.slot+1, slot-headroomSlots+1); s <= slot; s++ {
		d.peaks[s%headroomSlots] = 0
	}
	d.slot = slot
	d.peaks[slot%headroomSlots] = max(d.peaks[slot%headroomSlots], used)
	peak := model.Accelerators(0)
	for _, p := range d.peaks {
		peak = max(peak, p)
	}
	return peak
}

// measureSpare computes how many accelerators work that is not urgent may still take.
func (p *planner) measureSpare() {
	var urgent, free model.Accelerators
	for _, w := range p.c.workers {
		for _, r := range w.runs {
			if r.task != nil && r.phase != stopping && p.priority(r.task.stage) == 0 {
				urgent += r.resources.GPU
			}
		}
	}
	for _, w := range p.workers {
		free += max(0, w.available.GPU)
	}
	peak := p.c.urgentDemand.record(p.now, urgent)
	kept := max(0, peak-urgent)
	p.spare = free - kept
	p.keepIdleWorkers(kept)
}

// keepIdleWorkers keeps idle workers for urgent work, up to a number of accelerators: tasks that use a whole worker do not fit into
// as many accelerators spread over several.
func (p *planner) keepIdleWorkers(accelerators model.Accelerators) {
	p.keptIdle = map[*worker]bool{}
	for _, w := range p.workers {
		if accelerators <= 0 {
			return
		}
		if w.info.Capacity.GPU > 0 && w.available.GPU == w.info.Capacity.GPU {
			p.keptIdle[w] = true
			accelerators -= w.info.Capacity.GPU
		}
	}
}

// yieldsToUrgent reports whether a stage leaves the accelerators that are kept for urgent work to it.
func (p *planner) yieldsToUrgent(s *stage) bool {
	return p.priority(s) != 0 && s.step.Need.GPU > 0 && !s.step.Lasts && !s.unheld
}

// withinSpare reports whether a number of a stage's tasks may start without taking accelerators that are kept for urgent work.
func (p *planner) withinSpare(s *stage, tasks int) bool {
	if !p.yieldsToUrgent(s) {
		return true
	}
	return s.step.Need.GPU*model.Accelerators(tasks) <= p.spare
}

// spend deducts the accelerators of tasks that start from those that work which is not urgent may take.
func (p *planner) spend(s *stage, tasks int) { p.spare -= s.step.Need.GPU * model.Accelerators(tasks) }
