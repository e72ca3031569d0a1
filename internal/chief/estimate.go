package chief

import (
	"time"

	"peridotgw.example/peridotgw/internal/work"
)

const (
	// minRunsForMean is the number of runs from which a queue's mean run time replaces the estimates of its jobs.
	minRunsForMean = 5
	minMeanWeight  = 0.1 // least weight of the newest run in the moving mean
)

// runTimes is the moving mean of the run times of a queue.
type runTimes struct {
	count int
	mean  time.Duration
}

// recordRunTime adds the time of a completed run to its queue's mean, unless the run resumed from a
// checkpoint, or its data or another member of its gang was in a different rack.
func (c *Scheduler) recordRunTime(s *stage, r *run) {
	if r.checkpoint != "" && !r.fromStart || s.step.SameRack && r.gang != nil && !r.gang.allInRack(r.worker.info.Rack()) {
		return
	}
	if dataRack := s.step.DataRack; dataRack != "" && r.worker.info.Rack() != dataRack {
		return
	}
	times := c.runTimes[s.job.spec.Queue]
	if times == nil {
		times = &runTimes{}
		c.runTimes[s.job.spec.Queue] = times
	}
	took := r.age(c.Now())
	times.count++
	rate := max(minMeanWeight, 1/float64(times.count))
	times.mean += time.Duration(rate * float64(took-times.mean))
}

// estimate returns how long a task of a stage takes near its data on a healthy worker.
func (c *Scheduler) estimate(s *stage) time.Duration {
	if times := c.runTimes[s.job.spec.Queue]; times != nil && times.count >= minRunsForMean {
		return times.mean
	}
	return s.step.Estimate
}

// allInRack reports whether all remaining members of a gang run in a rack.
func (g *gang) allInRack(rack work.Label) bool {
	for r := range g.members {
		if r.worker.info.Rack() != rack {
			return false
		}
	}
	return true
}
