package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/model"
)

const (
	// reserveFor is how long room that urgent work has used is kept for the next: other work that is started there would
	// soon be stopped again.
	reserveFor   = 3 * time.Second
	reserveSlots = 12
	// evictedPause grows with each time that a task has made way, up to evictedPauses times.
	evictedPause  = 400 * time.Millisecond
	evictedPauses = 8
)

// demand remembers the most accelerators that urgent work has used or wanted in each part of the last reserveFor.
type demand struct {
	peaks [reserveSlots]model.Accelerators
	slot  int64
}

// note takes in a reading and returns the peak.
func (d *demand) note(now clock.Instant, used model.Accelerators) model.Accelerators {
	slot := int64(now) / int64(reserveFor/reserveSlots)
	for s := max(d.slot+1, slot-reserveSlots+1); s <= slot; s++ {
		d.peaks[s%reserveSlots] = 0
	}
	d.slot = slot
	d.peaks[slot%reserveSlots] = max(d.peaks[slot%reserveSlots], used)
	peak := model.Accelerators(0)
	for _, p := range d.peaks {
		peak = max(peak, p)
	}
	return peak
}

// measureReserve works out how many accelerators work that is not urgent may still take.
func (p *pass) measureReserve() {
	var urgent, free model.Accelerators
	for _, w := range p.c.workers {
		for _, r := range w.runs {
			if r.task != nil && r.phase != stopping && p.priority(r.task.unit) == 0 {
				urgent += r.room.GPU
			}
		}
	}
	for _, w := range p.workers {
		free += max(0, w.soon.GPU)
	}
	peak := p.c.demand.note(p.now, urgent)
	p.spare = free - max(0, peak-urgent)
}

// withinReserve reports whether tasks of a unit may take room now, and counts it.
func (p *pass) withinReserve(u *unit, tasks int) bool {
	if p.priority(u) == 0 || u.step.Need.GPU == 0 || u.step.Lasts {
		return true
	}
	return u.step.Need.GPU*model.Accelerators(tasks) <= p.spare
}

func (p *pass) spend(u *unit, tasks int) { p.spare -= u.step.Need.GPU * model.Accelerators(tasks) }
