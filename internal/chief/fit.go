package chief

import (
	"math"
	"sort"
	"time"

	"peridotgw.example/peridotgw/internal/work"
)

// fits reports whether a worker can start one more task of a stage now.
func (p *planner) fits(s *stage, w *worker, resources work.Resources) bool {
	return p.eligible(s, w) && w.free().Fits(resources) && w.available.Fits(resources) && p.besideGang(s, w, w.available).Fits(resources)
}

// eligible reports whether a worker may run one more task of a stage, regardless of its free capacity.
func (p *planner) eligible(s *stage, w *worker) bool {
	kept := p.keptIdle[w] && p.yieldsToUrgent(s)
	return !kept && s.mayPin(w) && (s.ignoresHolds || !s.job.avoidsWorker(w, p.now)) && w.takes(s, p.now) && p.suits(s, w)
}

// suits reports whether a worker can run one more task of a stage, regardless of its free capacity and of what is kept for other work.
func (p *planner) suits(s *stage, w *worker) bool {
	return w.info.Pool == s.job.spec.Pool && w.info.Has(s.step.Label) && (s.step.PerWorker == 0 || s.runsOn[w] < s.step.PerWorker) &&
		p.c.listableRuns(w) > 0 && p.hasTicket(s, w)
}

// atMostOn returns how many more tasks of a stage a worker may take, regardless of its free capacity; at most limit.
func (p *planner) atMostOn(s *stage, w *worker, limit int) int {
	limit = min(limit, p.c.listableRuns(w))
	if s.step.PerWorker > 0 {
		limit = min(limit, s.step.PerWorker-s.runsOn[w])
	}
	return limit
}

// placesIn returns how many tasks of a stage fit into an amount on one worker, at most limit.
func (s *stage) placesIn(room work.Resources, limit int) int {
	if s.step.PerWorker > 0 {
		limit = min(limit, s.step.PerWorker)
	}
	return room.CountFits(s.step.Resources(), limit)
}

// bestWorker returns the worker with the tightest fit, in the rack of the data if possible, or nil.
func (p *planner) bestWorker(s *stage, among []*worker, remote bool) *worker {
	resources := s.step.Resources()
	dataRack := s.step.DataRack
	if dataRack != "" {
		if w := p.tightestFit(s, p.racks[dataRack], resources); w != nil || !remote {
			return w
		}
	}
	return p.tightestFit(s, among, resources)
}

func (p *planner) tightestFit(s *stage, among []*worker, resources work.Resources) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range among {
		if !p.fits(s, w, resources) {
			continue
		}
		if placementScore := p.placementScore(s, w, resources); best == nil || placementScore < bestScore {
			best, bestScore = w, placementScore
		}
	}
	return best
}

// placementScore rates a worker for one more task; lower is better, and less remaining capacity scores lower.
func (p *planner) placementScore(s *stage, w *worker, resources work.Resources) float64 {
	left := w.available.Sub(resources)
	placementScore := float64(left.GPU) + float64(left.CPU)/float64(max(1, w.info.Capacity.CPU))
	if s.step.Lasts {
		placementScore = -placementScore // Long-running tasks are spread.
	}
	if w.suspect() {
		placementScore += suspectPenalty
	}
	if p.heldForOther(s, w) {
		placementScore += heldPenalty
	}
	placementScore += s.haste.Penalty(w.speedFactor())
	return placementScore + p.interference(s, w)
}

// suspectPenalty keeps tasks off a suspect worker as long as another one has capacity.
const suspectPenalty = 100

// placeGang returns a worker for each member, or nil.
func (p *planner) placeGang(s *stage) []*worker {
	if p.lacksRoom(s) {
		return nil
	}
	if dataRack := s.step.DataRack; dataRack != "" {
		if places := p.placeTasks(s, p.racks[dataRack], len(s.tasks), availableNow); places != nil {
			return p.orAcross(s, places)
		}
	}
	if s.step.SameRack {
		if places := p.placeInOneRack(s, len(s.tasks), availableNow); places != nil {
			return p.orAcross(s, places)
		}
	}
	if !p.mayRunRemote(s) {
		return nil
	}
	return p.placeTasks(s, p.workers, len(s.tasks), availableNow)
}

// orAcross returns the places of a gang in one rack, or others on which it ends sooner although it is slower there.
func (p *planner) orAcross(s *stage, inRack []*worker) []*worker {
	slowest := slowestOf(inRack) * p.c.Limits.RemoteSlowdown
	if s.haste <= 0 || slowest >= 1 {
		return inRack
	}
	if across := p.placeTasks(s, p.workers, len(s.tasks), availableNow); across != nil && slowest < slowestOf(across) {
		return across
	}
	return inRack
}

// placeInOneRack returns workers for the tasks within one rack, or nil: of the racks with the fewest placements on suspect
// workers, the one with the best slowest worker, less what it has available.
func (p *planner) placeInOneRack(s *stage, need int, capacityOf capacityOf) []*worker {
	var best []*worker
	bestSuspects, bestScore := 0, 0.0
	for _, rack := range p.racks {
		places := p.placeTasks(s, rack, need, capacityOf)
		if places == nil {
			continue
		}
		suspects, score := 0, s.haste.Penalty(slowestOf(places))
		for _, w := range places {
			if w.suspect() {
				suspects++
			}
		}
		for _, w := range rack {
			score += w.available.Cores() / rackScoreCores
		}
		if best == nil || suspects < bestSuspects || suspects == bestSuspects && score < bestScore {
			best, bestSuspects, bestScore = places, suspects, score
		}
	}
	return best
}

// rackScoreCores is how many free cores of a rack count as one free accelerator of a worker.
const rackScoreCores = 100

// slowestOf returns the speed of the slowest of some workers.
func slowestOf(places []*worker) float64 {
	slowest := math.Inf(1)
	for _, w := range places {
		slowest = min(slowest, w.speedFactor())
	}
	return slowest
}

// capacityOf returns the capacity of a worker that a placement may use.
type capacityOf func(*worker) work.Resources

// availableNow is the capacity that is free now and not reserved.
func availableNow(w *worker) work.Resources {
	free := w.free()
	return work.Resources{CPU: min(free.CPU, w.available.CPU), Memory: min(free.Memory, w.available.Memory), GPU: min(free.GPU, w.available.GPU)}
}

// availableAfterStops is the capacity that is free once all stops are done and not reserved.
func availableAfterStops(w *worker) work.Resources { return w.available }

// placeTasks returns a worker for each of need tasks, or nil if they do not all fit. It fills the workers with the fewest free
// accelerators first; a gang that has failed before goes to the workers that completed a task most recently.
func (p *planner) placeTasks(s *stage, among []*worker, need int, capacityOf capacityOf) []*worker {
	resources := s.step.Resources()
	type option struct {
		worker       *worker
		count        int
		interference float64
		free         float64 // accelerators, with the penalty for the worker's speed
	}
	var options []option
	total := 0
	for _, w := range among {
		if !p.eligible(s, w) {
			continue
		}
		count := p.atMostOn(s, w, p.besideGang(s, w, capacityOf(w)).CountFits(resources, need))
		if w.needsProbe(p.now) && !p.mayProbeWithGang(s, w) {
			count = min(count, 1)
		}
		if count > 0 {
			free := float64(capacityOf(w).GPU) + s.haste.Penalty(w.speedFactor())
			options = append(options, option{w, count, p.interference(s, w), free})
			total += count
		}
	}
	if total < need {
		return nil
	}
	sort.SliceStable(options, func(i, j int) bool {
		a, b := options[i].worker, options[j].worker
		if avoided := b.avoided(p.now); a.avoided(p.now) != avoided {
			return avoided
		}
		if a.suspect() != b.suspect() {
			return b.suspect()
		}
		if held := p.heldForOther(s, b); p.heldForOther(s, a) != held {
			return held
		}
		// Where one worker fails every task, there may be others that are not suspect yet.
		if idleA, idleB := p.secondsSinceDone(a), p.secondsSinceDone(b); len(s.failedRuns) > 0 && idleA != idleB {
			return idleA < idleB
		}
		if options[i].interference != options[j].interference {
			return options[i].interference < options[j].interference
		}
		return options[i].free < options[j].free
	})
	places := make([]*worker, 0, need)
	for _, o := range options {
		for range min(o.count, need-len(places)) {
			places = append(places, o.worker)
		}
	}
	return places
}

// secondsSinceDone returns the whole seconds, up to a limit, since a worker last completed a task.
func (p *planner) secondsSinceDone(w *worker) int {
	return int(min(p.now.Sub(w.lastDoneAt), maxSinceDone) / time.Second)
}

// maxSinceDone is the time without a completed task beyond which workers are ranked equally.
const maxSinceDone = 10 * time.Second
