package chief

import "time"

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
// checkpoint, or its data or a member of its gang was in a different rack.
func (c *Scheduler) recordRunTime(s *stage, r *run) {
	spread := (s.step.SameRack || s.step.DataRack != "") && r.gang != nil && r.gang.spread
	if r.checkpoint != "" && !r.fromStart || spread {
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

// add makes a run a member of a gang.
func (g *gang) add(r *run) {
	for other := range g.members {
		g.spread = g.spread || other.worker.info.Rack() != r.worker.info.Rack()
		break // All others are in its rack, or the gang is spread already.
	}
	g.members[r] = true
}
