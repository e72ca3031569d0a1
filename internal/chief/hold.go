package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/work"
)

const (
	// holdLimit is how long room is kept for tasks that cannot start there after all.
	holdLimit   = 2500 * time.Millisecond
	noticeEvery = time.Second
)

// holds keeps the room that was cleared for waiting units from everyone else, and drops what cannot be used any more.
func (p *pass) holds() {
	usable := make(map[*worker]bool, len(p.workers))
	for _, w := range p.workers {
		usable[w] = true
	}
	for _, j := range p.c.live {
		for _, units := range j.units {
			for _, u := range units {
				if len(u.hold) > 0 && !p.holdValid(u, usable) {
					u.hold = nil
				}
				p.keep(u)
			}
		}
	}
}

func (p *pass) holdValid(u *unit, usable map[*worker]bool) bool {
	if u.left == 0 || u.group != nil || p.now.Sub(u.holdSince) > holdLimit {
		return false
	}
	for _, w := range u.hold {
		if !usable[w] {
			return false
		}
	}
	return true
}

// keep takes a unit's hold out of the room that others may use.
func (p *pass) keep(u *unit) {
	for _, w := range u.hold {
		w.soon = w.soon.Sub(u.step.Room())
	}
}

// release lets the unit itself use its hold.
func (p *pass) release(u *unit) {
	for _, w := range u.hold {
		w.soon = w.soon.Add(u.step.Room())
	}
}

// heldPlaces returns the places of a gang's hold if all of them are free, or nil.
func (p *pass) heldPlaces(u *unit) []*worker {
	if len(u.hold) < len(u.tasks) {
		return nil
	}
	free := map[*worker]work.Room{}
	for _, w := range u.hold {
		room, seen := free[w]
		if !seen {
			room = fitsNow(w)
		}
		room = room.Sub(u.step.Room())
		if room.CPU < 0 || room.Memory < 0 || room.GPU < 0 {
			return nil
		}
		free[w] = room
	}
	return u.hold
}

// claimRoom makes room for urgent work and holds it.
func (p *pass) claimRoom(u *unit) {
	if p.priority(u) != 0 || len(u.hold) > 0 {
		return
	}
	need := 0
	for n := range u.tasks {
		if t := &u.tasks[n]; !t.done && t.active == nil {
			need++
		}
	}
	if places := p.placesSoon(u, need, u.step.SameRack && p.now.Sub(u.waiting) < p.patience()); places != nil {
		p.take(u, places)
		return
	}
	var victims []*run
	cost := 0.0
	if u.step.SameRack {
		victims, cost = p.rackVictims(u, need)
	}
	if victims == nil {
		victims, cost = p.clear(u, p.workers, need)
	}
	// Beyond its tenant's guarantee, urgent work stops others only where less work is lost than it does itself.
	own := float64(need) * u.step.Need.Cores() * p.c.estimate(u).Seconds()
	if victims == nil || cost > own && !p.guaranteed(u.job) {
		p.noRoom(u, victims != nil, cost)
		return
	}
	p.evict(u, victims)
	p.take(u, p.placesSoon(u, need, false))
}

func (p *pass) take(u *unit, places []*worker) {
	u.hold, u.holdSince = places, p.now
	workers := make([]string, len(places))
	for i, w := range places {
		workers[i] = string(w.info.ID)
	}
	p.c.Log.Info().Str("step", u.id.String()).Strs("workers", workers).Dur("waited", p.now.Sub(u.waiting)).
		Bool("guaranteed", p.guaranteed(u.job)).Msg("chief: room held")
}

// noRoom logs, once in a while, that urgent work can get no room.
func (p *pass) noRoom(u *unit, possible bool, cost float64) {
	if p.now.Sub(u.noticed) < noticeEvery {
		return
	}
	u.noticed = p.now
	p.c.Log.Info().Str("step", u.id.String()).Dur("waited", p.now.Sub(u.waiting)).Bool("guaranteed", p.guaranteed(u.job)).
		Bool("possible", possible).Float64("lost-core-seconds", cost).Int("workers", len(p.workers)).Msg("chief: no room for urgent work")
}

// patience is how long urgent work waits for room in a single rack that stops under way will free.
func (p *pass) patience() time.Duration {
	return time.Duration(spreadReclaim * float64(p.c.Limits.Reclaim))
}
