package batch

import (
	"fmt"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/model"
)

// inWindow reports whether the data-centre change is being measured now.
func (r *run) inWindow() bool {
	since := r.clock.now.Sub(r.begin)
	return since >= r.workload.Out && since < r.workload.In+afterReturn
}

// started accounts the start of a gang and checks what a start must hold.
func (r *run) started(c *centre, record jobs.Record) {
	now, j := r.clock.now, r.jobs[record.Spec.ID]
	if j.runningIn != nil {
		r.result.Broken.Partial++
	}
	j.runningIn, j.startedAt, j.attempt = c, now, record.Attempts
	delete(r.queued, record.Spec.ID)
	r.hold(j, 1)
	if c.id == r.leaving && !r.outAt.IsZero() && now.Sub(r.outAt) > outBound {
		r.result.Broken.StartedOut++
	}
	if len(record.Placement) != int(r.set.Shapes[record.Spec.Shape].Tasks) {
		r.result.Broken.Partial++
	}
	for _, m := range c.machines {
		if m.busy(now) > m.total {
			r.result.Broken.TwiceUsed++
		}
	}
	j.copy = copyOf(record)
	if j.everRan {
		return
	}
	j.everRan = true
	waited := now.Sub(j.submittedAt)
	switch {
	case record.Spec.Class == UrgentClass && j.overQuota:
		r.result.OverQuota++
	case record.Spec.Class == UrgentClass:
		r.observe(r.result.Urgent, waited)
		if waited > urgentBound {
			r.result.UrgentLate++
			r.result.Late[fmt.Sprintf("%s in %s: %s", record.Spec.Shape, c.id, reasonOf(record))]++
		}
	}
	if j.reclaims {
		r.observe(r.result.Reclaim, waited)
		if waited > reclaimBound {
			r.result.Broken.NotReclaimed++
		}
	}
}

// reasonOf names the last reason for waiting in a record.
func reasonOf(record jobs.Record) string {
	for _, note := range slices.Backward(record.History) {
		if note.Action == "blocked" {
			return note.Reason
		}
	}
	return "no reason noted"
}

// copyOf names the copy of a guarantee that a placement takes.
func copyOf(record jobs.Record) string {
	for _, note := range slices.Backward(record.History) {
		if note.Action == "placed" {
			return note.Inputs["guarantee"]
		}
	}
	return ""
}

// reclaimable reports whether a job asks for a copy of its customer's guarantee that no job takes, within its quota: then
// the promise holds for it.
func (r *run) reclaimable(j *job, dc model.DataCentreID) bool {
	if j.overQuota || dc != j.spec.DataCentre || r.set.DataCentres[dc].Service != model.ServiceIn {
		return false
	}
	copies, waiting := 0, 0
	for _, guarantee := range r.set.Guarantees {
		if guarantee.DataCentre == dc && guarantee.Customer == j.spec.Customer && guarantee.Shape == j.spec.Shape {
			copies += guarantee.Count
		}
	}
	for id, other := range r.jobs {
		if id == j.spec.ID || other.spec.Customer != j.spec.Customer || other.ended {
			continue
		}
		// Jobs that wait may take the copy first.
		if r.queued[id] == dc || (other.runningIn != nil && other.runningIn.id == dc && other.copy != "") {
			waiting++
		}
	}
	return waiting < copies
}

// overQuota reports whether the customer's running jobs in the data centre leave too little of its quota; a quota is
// counted by each data centre for itself.
func (r *run) overQuota(j *job, dc model.DataCentreID) bool {
	held := j.size
	for _, other := range r.jobs {
		if other != j && other.spec.Customer == j.spec.Customer && other.runningIn != nil && other.runningIn.id == dc {
			held += other.size
		}
	}
	quota := float64(r.set.Customers[j.spec.Customer].QuotaAccelerators)
	return quota > 0 && held > quota
}

// hold accounts the accelerators that a customer's job takes (sign 1) or gives back (sign -1).
func (r *run) hold(j *job, sign float64) {
	customer := j.spec.Customer
	r.running += int(sign)
	r.lastMove = r.clock.now
	r.held[customer] += sign * j.size
	if quota := float64(r.set.Customers[customer].QuotaAccelerators); quota > 0 {
		r.result.OfQuota = max(r.result.OfQuota, r.held[customer]/quota)
	}
}

// stopping accounts the accelerators that a checkpoint holds without working.
func (r *run) stopping(c *centre, j *job, takes time.Duration) {
	if r.inWindow() {
		r.result.Held += j.size * takes.Seconds()
	}
	if !r.knownOut(c.id) {
		r.result.Preempted++
	}
}

// account ends an attempt: kept run time counts as work done, other run time is lost.
func (r *run) account(j *job, ran time.Duration, kept bool) {
	if !kept {
		r.result.LostAll += j.size * ran.Seconds()
	}
	from, to := r.begin.Add(r.workload.Out), r.begin.Add(r.workload.In+afterReturn)
	part := overlap(j.startedAt, j.startedAt.Add(ran), from, to).Seconds() * j.size
	r.result.Held += part
	if kept {
		r.result.Useful += part * j.used
	} else {
		r.result.Lost += part
	}
}

// overlap is the time that two intervals have in common.
func overlap(a, b, from, to time.Time) time.Duration {
	if a.Before(from) {
		a = from
	}
	if b.After(to) {
		b = to
	}
	return max(0, b.Sub(a))
}

// written looks at the end of a job.
func (r *run) written(c *centre, record jobs.Record) {
	j := r.jobs[record.Spec.ID]
	if !record.State.Ended() {
		if record.State == jobs.StateQueued {
			r.queued[record.Spec.ID] = record.DataCentre
			if last := record.History[len(record.History)-1]; last.Action == "blocked" {
				j.blocked = last.Reason
			}
		}
		return
	}
	if j.ended {
		return
	}
	j.ended = true
	r.open--
	r.lastMove = r.clock.now
	delete(r.queued, record.Spec.ID)
	c.clear(record)
	if record.State != jobs.StateDone {
		r.result.Failed++
		return
	}
	r.result.Done++
	r.result.Took[record.Spec.ID] = Took{Class: record.Spec.Class, Time: r.clock.now.Sub(j.submittedAt)}
}

// sample measures fragmentation, and what the capacity in service allows during the data-centre change. Samples end with
// the arrivals, so that an empty cluster does not count.
func (r *run) sample() {
	if r.clock.now.Sub(r.begin) >= r.workload.Arrivals {
		return
	}
	queued := map[model.DataCentreID][]model.ShapeID{}
	for id, dc := range r.queued {
		queued[dc] = append(queued[dc], r.jobs[id].spec.Shape)
	}
	for _, dc := range r.order {
		if r.knownOut(dc) {
			continue
		}
		if r.inWindow() {
			r.result.Allowed += r.centres[dc].capacity() * sampleEvery.Seconds()
		}
		share := r.centres[dc].shadow.Fragmentation(queued[dc])
		if err := r.result.Fragmentation.RecordValue(int64(share * 1000)); err != nil {
			r.fail(err)
		}
	}
	r.clock.after(sampleEvery, r.sample)
}
