package sched

import (
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

// moveAway moves a queued job to another data centre and reports whether there is one.
func (c *Core) moveAway(e *entry, now time.Time) bool {
	if now.Before(e.readyAt) {
		return false
	}
	to, found := Choose(c.set, e.record.Spec, c.loads, c.dc)
	if !found {
		return false
	}
	c.move(e, to, CauseDrain)
	return true
}

func (c *Core) move(e *entry, to model.DataCentreID, cause Cause) {
	e.phase = phaseWriting
	c.act(Action{Kind: ActionMove, Job: e.record.Spec.ID, Record: e.record, To: to, Cause: cause})
}

// Moved reports the result of ActionMove or ActionCompleteMove.
func (c *Core) Moved(id model.JobID, err error, now time.Time) {
	e, found := c.entries[id]
	if !found {
		return
	}
	if err != nil {
		// The record is read again, because any step of the move may have been applied.
		e.phase, e.readyAt = phaseUnresolved, now.Add(c.tuning.RetryPause)
		return
	}
	c.drop(e, e.record, now)
}

// spill moves queued jobs that have waited long for room to data centres that reported room for them.
func (c *Core) spill(queue []*entry, now time.Time) {
	if c.tuning.MoveAfter == 0 {
		return
	}
	c.outgoing = slices.DeleteFunc(c.outgoing, func(m outgoing) bool { return now.Sub(m.at) >= reportLag })
	taken := map[model.DataCentreID]model.Accelerators{}
	for _, m := range c.outgoing {
		taken[m.to] += m.size
	}
	moves := 0
	for _, e := range queue {
		if moves >= c.tuning.Moves {
			return
		}
		if e.phase != phaseQueued || !waitsForRoom(e) || now.Sub(e.blockedSince) < c.moveAfter(e) {
			continue
		}
		if to, found := c.roomElsewhere(e.record.Spec, taken); found {
			size := c.set.Shapes[e.record.Spec.Shape].Accelerators()
			taken[to] += size
			c.outgoing = append(c.outgoing, outgoing{to: to, size: size, at: now})
			moves++
			c.move(e, to, CauseNoRoom)
		}
	}
}

// outgoing is a job that was moved to a data centre whose summary may not count it yet.
type outgoing struct {
	to   model.DataCentreID
	size model.Accelerators
	at   time.Time
}

// reportLag is how long a data centre's summary may take to count a job that was moved there.
const reportLag = 3 * time.Second

func waitsForRoom(e *entry) bool {
	switch place.BlockReason(e.blocked) {
	case place.BlockNoCapacity, place.BlockFragmented, place.BlockBound, place.BlockHeld:
		return true
	default:
		return false
	}
}

// moveAfter is how long a job waits for room before it moves. It doubles with each move, so that a job that fits nowhere settles.
func (c *Core) moveAfter(e *entry) time.Duration {
	after := c.tuning.MoveAfter
	if c.class(e).Priority == model.PriorityUrgent {
		after = c.tuning.MoveUrgentAfter
	}
	moves := 0
	for _, note := range e.record.History {
		if note.Action == noteMoved {
			moves++
		}
	}
	return after << min(moves, maxMoveDoublings)
}

// noteMoved is the action of the note that a move leaves in a job's history.
const noteMoved = "moved"

const maxMoveDoublings = 5

// roomElsewhere returns the data centre in service with the most room that neither jobs queued there nor moves of the last seconds
// take, if the job fits into it.
func (c *Core) roomElsewhere(spec jobs.Spec, taken map[model.DataCentreID]model.Accelerators) (model.DataCentreID, bool) {
	shape := c.set.Shapes[spec.Shape]
	need := shape.Accelerators()
	allowed := Allowed(c.set, spec)
	var best model.DataCentreID
	var bestFree model.Accelerators
	for _, load := range c.loads {
		dc := load.DataCentre
		if dc == c.dc || !slices.Contains(allowed, dc) || c.set.DataCentres[dc].Service != model.ServiceIn || !fits(c.set, dc, spec) {
			continue
		}
		free := load.Free - load.QueuedAccelerators - taken[dc]
		if shape.Adjacency != model.AdjacencyAny && load.LargestRackFree-taken[dc] < need {
			continue
		}
		if free >= need && free > bestFree {
			best, bestFree = dc, free
		}
	}
	return best, best != ""
}

// Choose returns the data centre in service, other than the excluded one, that a job should go to: its wish if possible,
// otherwise where queued and running accelerators are the smallest share of the declared ones.
func Choose(set *model.Set, spec jobs.Spec, loads []Summary, exclude model.DataCentreID) (model.DataCentreID, bool) {
	var best model.DataCentreID
	bestLoad := 0.0
	for _, dc := range Allowed(set, spec) {
		if dc == exclude || set.DataCentres[dc].Service != model.ServiceIn || !fits(set, dc, spec) {
			continue
		}
		if dc == spec.DataCentre {
			return dc, true
		}
		if load := loadOf(set, dc, loads); best == "" || load < bestLoad {
			best, bestLoad = dc, load
		}
	}
	return best, best != ""
}

func fits(set *model.Set, dc model.DataCentreID, spec jobs.Spec) bool {
	return place.FitsJob(set, dc, place.Job{ID: spec.ID, Customer: spec.Customer, Class: spec.Class, Shape: spec.Shape})
}

// Allowed lists the data centres in which the job's class may run, in order.
func Allowed(set *model.Set, spec jobs.Spec) []model.DataCentreID {
	listed := set.JobClasses[spec.Class].DataCentres
	var allowed []model.DataCentreID
	for dc := range set.DataCentres {
		if len(listed) == 0 || slices.Contains(listed, dc) {
			allowed = append(allowed, dc)
		}
	}
	slices.Sort(allowed)
	return allowed
}

func loadOf(set *model.Set, dc model.DataCentreID, loads []Summary) float64 {
	total := model.Accelerators(0)
	for _, rack := range set.DataCentres[dc].Racks {
		total += rack.AcceleratorsPerWorker * model.Accelerators(rack.Workers)
	}
	for _, load := range loads {
		if load.DataCentre == dc {
			return float64(load.QueuedAccelerators+load.RunningAccelerators) / float64(max(1, total))
		}
	}
	return 0
}
