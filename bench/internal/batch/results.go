package batch

import (
	"fmt"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/model"
)

// inDrainWindow reports whether the current time is in the measured window around the drain of a data centre.
func (s *simulation) inDrainWindow() bool {
	since := s.clock.now.Sub(s.start)
	return since >= s.workload.DrainAt && since < s.workload.ReturnAt+drainWindowTail
}

// recordStart records the start of a gang and checks the guarantees that every start must keep.
func (s *simulation) recordStart(c *dataCentre, record jobs.Record) {
	now, j := s.clock.now, s.jobs[record.Spec.ID]
	if j.runningIn != nil {
		s.result.Violations.PartialGangs++
	}
	j.runningIn, j.startedAt, j.attempt = c, now, record.Attempts
	delete(s.queued, record.Spec.ID)
	s.addHeld(j, 1)
	if c.id == s.drained && !s.outAt.IsZero() && now.Sub(s.outAt) > drainBound {
		s.result.Violations.StartsOutOfService++
	}
	if len(record.Placement) != int(s.set.Shapes[record.Spec.Shape].Tasks) {
		s.result.Violations.PartialGangs++
	}
	for _, w := range c.workers {
		if w.busy(now) > w.totalAccelerators {
			s.result.Violations.DoubleAllocations++
		}
	}
	j.copy = guaranteeCopyOf(record)
	if j.everRan {
		return
	}
	j.everRan = true
	waited := now.Sub(j.submittedAt)
	switch {
	case record.Spec.Class == UrgentClass && j.exceedsQuota:
		s.result.OverQuota++
	case record.Spec.Class == UrgentClass:
		s.recordDuration(s.result.Urgent, waited)
		if waited > urgentBound {
			s.result.UrgentLate++
			s.result.LateUrgentByCause[fmt.Sprintf("%s in %s: %s", record.Spec.Shape, c.id, lastBlockedReason(record))]++
		}
	}
	if j.reclaims {
		s.recordDuration(s.result.Reclaim, waited)
		if waited > reclaimBound {
			s.result.Violations.LateReclaims++
		}
	}
}

// lastBlockedReason returns the last reason for waiting in the history of a record.
func lastBlockedReason(record jobs.Record) string {
	for _, note := range slices.Backward(record.History) {
		if note.Action == "blocked" {
			return note.Reason
		}
	}
	return "no reason noted"
}

// guaranteeCopyOf returns the guarantee copy that the last placement in a record uses, or "".
func guaranteeCopyOf(record jobs.Record) string {
	for _, note := range slices.Backward(record.History) {
		if note.Action == "placed" {
			return note.Inputs["guarantee"]
		}
	}
	return ""
}

// hasFreeGuarantee reports whether a job within its quota asks for a shape of which its customer has an unused guarantee
// copy. Such a job must start within reclaimBound.
func (s *simulation) hasFreeGuarantee(j *job, dc model.DataCentreID) bool {
	if j.exceedsQuota || dc != j.spec.DataCentre || s.set.DataCentres[dc].Service != model.ServiceIn {
		return false
	}
	copies, waiting := 0, 0
	for _, guarantee := range s.set.Guarantees {
		if guarantee.DataCentre == dc && guarantee.Customer == j.spec.Customer && guarantee.Shape == j.spec.Shape {
			copies += guarantee.Count
		}
	}
	for id, other := range s.jobs {
		if id == j.spec.ID || other.spec.Customer != j.spec.Customer || other.ended {
			continue
		}
		// Queued jobs may take the copy first.
		if s.queued[id] == dc || (other.runningIn != nil && other.runningIn.id == dc && other.copy != "") {
			waiting++
		}
	}
	return waiting < copies
}

// exceedsQuota reports whether a job would exceed its customer's quota in the data centre. Each data centre counts the
// quota separately.
func (s *simulation) exceedsQuota(j *job, dc model.DataCentreID) bool {
	held := j.accelerators
	for _, other := range s.jobs {
		if other != j && other.spec.Customer == j.spec.Customer && other.runningIn != nil && other.runningIn.id == dc {
			held += other.accelerators
		}
	}
	quota := float64(s.set.Customers[j.spec.Customer].QuotaAccelerators)
	return quota > 0 && held > quota
}

// addHeld adds the accelerators of a job to what its customer holds (sign 1) or subtracts them (sign -1).
func (s *simulation) addHeld(j *job, sign float64) {
	customer := j.spec.Customer
	s.running += int(sign)
	s.lastActivity = s.clock.now
	s.held[customer] += sign * j.accelerators
	if quota := float64(s.set.Customers[customer].QuotaAccelerators); quota > 0 {
		s.result.MaxQuotaShare = max(s.result.MaxQuotaShare, s.held[customer]/quota)
	}
}

// recordStop counts a preemption, unless the data centre is out of service, and the accelerator time that a checkpoint
// holds without useful work.
func (s *simulation) recordStop(c *dataCentre, j *job, duration time.Duration) {
	if s.inDrainWindow() {
		s.result.Held += j.accelerators * duration.Seconds()
	}
	if !s.isOut(c.id) {
		s.result.Preempted++
	}
}

// recordAttempt records the end of an attempt: run time that is kept counts as useful work, other run time is lost.
func (s *simulation) recordAttempt(j *job, ran time.Duration, kept bool) {
	if !kept {
		s.result.LostTotal += j.accelerators * ran.Seconds()
	}
	from, to := s.start.Add(s.workload.DrainAt), s.start.Add(s.workload.ReturnAt+drainWindowTail)
	overlapping := overlap(j.startedAt, j.startedAt.Add(ran), from, to).Seconds() * j.accelerators
	s.result.Held += overlapping
	if kept {
		s.result.Useful += overlapping * j.usedShare
	} else {
		s.result.Lost += overlapping
	}
}

// overlap returns the length of the part of start..end that lies in from..to.
func overlap(start, end, from, to time.Time) time.Duration {
	if start.Before(from) {
		start = from
	}
	if end.After(to) {
		end = to
	}
	return max(0, end.Sub(start))
}

// recordStored updates the counts after a job record was stored: where the job is queued, or how it ended.
func (s *simulation) recordStored(c *dataCentre, record jobs.Record) {
	j := s.jobs[record.Spec.ID]
	if !record.State.Ended() {
		if record.State == jobs.StateQueued {
			s.queued[record.Spec.ID] = record.DataCentre
			if last := record.History[len(record.History)-1]; last.Action == "blocked" {
				j.blockedReason = last.Reason
			}
		}
		return
	}
	if j.ended {
		return
	}
	j.ended = true
	s.unfinished--
	s.lastActivity = s.clock.now
	delete(s.queued, record.Spec.ID)
	c.clear(record)
	if record.State != jobs.StateDone {
		s.result.Failed++
		return
	}
	s.result.Done++
	s.result.Completion[record.Spec.ID] = Completion{Class: record.Spec.Class, Time: s.clock.now.Sub(j.submittedAt)}
}

// sample records fragmentation, and the capacity in service during the drain window. Sampling ends with the arrivals, so
// that an empty cluster does not count.
func (s *simulation) sample() {
	if s.clock.now.Sub(s.start) >= s.workload.Arrivals {
		return
	}
	queued := map[model.DataCentreID][]model.ShapeID{}
	for id, dc := range s.queued {
		queued[dc] = append(queued[dc], s.jobs[id].spec.Shape)
	}
	for _, dc := range s.order {
		if s.isOut(dc) {
			continue
		}
		if s.inDrainWindow() {
			s.result.Available += s.dataCentres[dc].capacity() * sampleInterval.Seconds()
		}
		share := s.dataCentres[dc].actual.Fragmentation(queued[dc])
		if err := s.result.Fragmentation.RecordValue(int64(share * 1000)); err != nil {
			s.addError(err)
		}
	}
	s.clock.after(sampleInterval, s.sample)
}
