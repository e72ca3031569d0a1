package sched

import (
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

// moveToOtherDataCentre moves a job out of this data centre, which is out of service, and reports whether another one can take it.
func (c *Core) moveToOtherDataCentre(entry *jobEntry, now time.Time) bool {
	if now.Before(entry.notBefore) {
		return false
	}
	to, found := ChooseDataCentre(c.config, entry.record.Spec, c.loads, c.dc)
	if !found {
		return false
	}
	c.moveTo(entry, to, CauseDrain)
	return true
}

func (c *Core) moveTo(entry *jobEntry, to model.DataCentreID, cause Cause) {
	entry.phase = phaseWriting
	c.addAction(Action{Kind: ActionMove, Job: entry.record.Spec.ID, Record: entry.record, To: to, Cause: cause})
}

// Moved reports the result of ActionMove or ActionCompleteMove.
func (c *Core) Moved(id model.JobID, err error, now time.Time) {
	entry, found := c.entries[id]
	if !found {
		return
	}
	if err != nil {
		// The record is read again, because any step of the move may have been applied.
		entry.phase, entry.notBefore = phaseInDoubt, now.Add(c.tuning.RetryPause)
		return
	}
	c.dropJob(entry, entry.record, now)
}

// moveBlockedJobs moves jobs that have waited too long for capacity to data centres that reported enough of it.
func (c *Core) moveBlockedJobs(queue []*jobEntry, now time.Time) {
	if c.tuning.MoveAfter == 0 {
		return
	}
	c.outgoing = slices.DeleteFunc(c.outgoing, func(m outgoing) bool { return now.Sub(m.at) >= summaryLag })
	claimed := map[model.DataCentreID]model.Accelerators{}
	for _, m := range c.outgoing {
		claimed[m.to] += m.size
	}
	moves := 0
	for _, entry := range queue {
		if moves >= c.tuning.Moves {
			return
		}
		if entry.phase != phaseQueued || !waitsForCapacity(entry) || now.Sub(entry.blockedSince) < c.moveDelay(entry) {
			continue
		}
		if to, found := c.dataCentreWithCapacity(entry.record.Spec, claimed); found {
			size := c.config.Shapes[entry.record.Spec.Shape].Accelerators()
			claimed[to] += size
			c.outgoing = append(c.outgoing, outgoing{to: to, size: size, at: now})
			moves++
			c.moveTo(entry, to, CauseNoCapacity)
		}
	}
}

// outgoing is a moved job that the summary of the target data centre may not include yet.
type outgoing struct {
	to   model.DataCentreID
	size model.Accelerators
	at   time.Time
}

// summaryLag is how long a data centre's summary may take to include a job that was moved there.
const summaryLag = 3 * time.Second

func waitsForCapacity(entry *jobEntry) bool {
	switch place.BlockReason(entry.blocked) {
	case place.BlockNoCapacity, place.BlockFragmented, place.BlockBound, place.BlockHeld:
		return true
	default:
		return false
	}
}

// moveDelay is how long a job waits for capacity before it moves. It doubles with each move, so that a job that fits nowhere
// does not keep moving.
func (c *Core) moveDelay(entry *jobEntry) time.Duration {
	delay := c.tuning.MoveAfter
	if c.jobClass(entry).Priority == model.PriorityUrgent {
		delay = c.tuning.MoveUrgentAfter
	}
	moves := 0
	for _, note := range entry.record.History {
		if note.Action == noteMoved {
			moves++
		}
	}
	return delay << min(moves, maxMoveDelayDoublings)
}

// noteMoved is the action of a move's note in the job's history.
const noteMoved = "moved"

// maxMoveDelayDoublings limits the growth of moveDelay to a factor of 32.
const maxMoveDelayDoublings = 5

// dataCentreWithCapacity returns the other data centre in service with the most free accelerators, if the job fits there.
// Jobs queued there and the claimed accelerators of recent moves count as used.
func (c *Core) dataCentreWithCapacity(spec jobs.Spec, claimed map[model.DataCentreID]model.Accelerators) (model.DataCentreID, bool) {
	shape := c.config.Shapes[spec.Shape]
	need := shape.Accelerators()
	allowed := AllowedDataCentres(c.config, spec)
	var best model.DataCentreID
	var bestFree model.Accelerators
	for _, load := range c.loads {
		dc := load.DataCentre
		if dc == c.dc || !slices.Contains(allowed, dc) || c.config.DataCentres[dc].Service != model.ServiceIn ||
			!fitsDataCentre(c.config, dc, spec) {
			continue
		}
		free := load.Free - load.QueuedAccelerators - claimed[dc]
		if shape.Adjacency != model.AdjacencyAny && load.LargestRackFree-claimed[dc] < need {
			continue
		}
		if free >= need && free > bestFree {
			best, bestFree = dc, free
		}
	}
	return best, best != ""
}

// ChooseDataCentre selects a data centre in service for a job, other than the excluded one: the data centre requested in the
// spec if possible, otherwise the one where queued and running accelerators are the smallest share of the declared accelerators.
func ChooseDataCentre(config *model.Set, spec jobs.Spec, loads []LoadSummary, exclude model.DataCentreID) (model.DataCentreID, bool) {
	var best model.DataCentreID
	bestLoad := 0.0
	for _, dc := range AllowedDataCentres(config, spec) {
		if dc == exclude || config.DataCentres[dc].Service != model.ServiceIn || !fitsDataCentre(config, dc, spec) {
			continue
		}
		if dc == spec.DataCentre {
			return dc, true
		}
		if load := loadShare(config, dc, loads); best == "" || load < bestLoad {
			best, bestLoad = dc, load
		}
	}
	return best, best != ""
}

func fitsDataCentre(config *model.Set, dc model.DataCentreID, spec jobs.Spec) bool {
	return place.FitsJob(config, dc, place.Job{ID: spec.ID, Customer: spec.Customer, Class: spec.Class, Shape: spec.Shape})
}

// AllowedDataCentres returns the data centres in which the job's class may run, ordered by id.
func AllowedDataCentres(config *model.Set, spec jobs.Spec) []model.DataCentreID {
	listed := config.JobClasses[spec.Class].DataCentres
	var allowed []model.DataCentreID
	for dc := range config.DataCentres {
		if len(listed) == 0 || slices.Contains(listed, dc) {
			allowed = append(allowed, dc)
		}
	}
	slices.Sort(allowed)
	return allowed
}

// loadShare returns the queued and running accelerators as a share of the declared ones, or 0 without a summary.
func loadShare(config *model.Set, dc model.DataCentreID, loads []LoadSummary) float64 {
	total := model.Accelerators(0)
	for _, rack := range config.DataCentres[dc].Racks {
		total += rack.AcceleratorsPerWorker * model.Accelerators(rack.Workers)
	}
	for _, load := range loads {
		if load.DataCentre == dc {
			return float64(load.QueuedAccelerators+load.RunningAccelerators) / float64(max(1, total))
		}
	}
	return 0
}
