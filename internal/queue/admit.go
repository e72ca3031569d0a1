package queue

import (
	"time"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// overload is the state of load shedding by rank; it is guarded by the queue's lock.
type overload struct {
	// shedRanks is the number of ranks that are refused, starting with the least urgent.
	shedRanks int
	// changedAt is when shedRanks or exceeded last changed.
	changedAt time.Time
	// exceeded is whether the queueing delay of any class was over its target at the last update.
	exceeded bool
}

// rankCount is the number of priorities; rank 0 is the most urgent.
const rankCount = 3

// overloadInterval is how long delays must stay above, or below, their targets before shedRanks changes by one.
const overloadInterval = 500 * time.Millisecond

// admit returns an error for a request that would miss its deadline or exceed a limit, and nil otherwise.
func (q *Queue) admit(c *class, cust *customer, item *Item, now time.Time) *reply.Error {
	if !now.Before(item.Deadline) {
		return reply.Refused(reply.ReasonDeadlinePast, "the deadline has passed")
	}
	if q.UsableEndpoints != nil && q.UsableEndpoints(item.DataCentres) == 0 {
		err := reply.Refused(reply.ReasonNoEndpoint, "class %s: no endpoint is in service", item.Class)
		err.RetryAfter = model.Duration(time.Second)
		return err
	}
	q.updateOverload(now)
	if q.shedsRank(c.rank) {
		err := reply.Refused(reply.ReasonOverload, "class %s: requests of this priority are refused during overload", item.Class)
		err.RetryAfter = model.Duration(2 * overloadInterval)
		return err
	}
	limit := item.Limit
	if limit <= 0 {
		limit = model.DefaultRequestQueueLimit
	}
	wait := q.estimateWait(c, cust, item)
	if len(cust.queued) >= limit || q.queued >= maxQueued {
		err := reply.Refused(reply.ReasonQueueFull, "class %s: the queue of customer %s is full", item.Class, item.Customer)
		err.RetryAfter = model.Duration(max(wait, time.Second))
		return err
	}
	if now.Add(wait).After(item.Deadline) {
		err := reply.Refused(reply.ReasonDeadlineUnreachable,
			"class %s: the estimated wait of %s ends after the deadline", item.Class, wait.Round(time.Millisecond))
		err.RetryAfter = model.Duration(wait - item.Deadline.Sub(now))
		return err
	}
	return nil
}

// estimateWait returns the expected wait of a new request: the work ahead of it, divided by the slots. It is zero with nothing
// queued ahead, so that an idle queue always admits requests and service times are measured again.
func (q *Queue) estimateWait(c *class, cust *customer, item *Item) time.Duration {
	var ahead time.Duration
	for _, other := range q.byRank {
		if other.rank < c.rank || (other.rank == c.rank && other != c) {
			ahead += time.Duration(other.queued) * other.serviceTime.mean()
		}
	}
	ahead += time.Duration(c.ahead(cust, item)) * c.serviceTime.mean()
	if ahead == 0 {
		return 0
	}
	slots := 1
	if q.Slots != nil {
		slots = max(1, q.Slots(item.DataCentres))
	}
	return ahead / time.Duration(slots)
}

// ahead estimates how many requests of the class start before a new one of a customer: its own with earlier deadlines, and as
// many of the other customers as fair sharing starts meanwhile.
func (c *class) ahead(cust *customer, item *Item) int {
	own := len(cust.queued)
	if own > 0 && item.Deadline.Before(cust.queued[0].item.Deadline) {
		own = 0
	}
	others := 0
	for _, other := range c.activeCustomers {
		if other != cust {
			others += min(len(other.queued), (own+1)*other.weight/cust.weight)
		}
	}
	return own + others
}

// shedsRank reports whether requests of a rank are refused during the present overload.
func (q *Queue) shedsRank(rank int) bool {
	return rank >= rankCount-q.overload.shedRanks
}

// updateOverload compares the queueing delays with their targets and sheds one rank more, or one less, per overloadInterval.
// Ranks more urgent than the most urgent class over its target are never shed.
func (q *Queue) updateOverload(now time.Time) {
	if q.OverloadControl != nil && !q.OverloadControl() {
		return
	}
	urgentRank := rankCount
	for _, c := range q.byRank {
		if c.overTarget(now) {
			urgentRank = c.rank
			break
		}
	}
	exceeded := urgentRank < rankCount
	if exceeded != q.overload.exceeded {
		q.overload.exceeded, q.overload.changedAt = exceeded, now
		return
	}
	if now.Sub(q.overload.changedAt) < overloadInterval {
		return
	}
	switch {
	case exceeded && q.overload.shedRanks < rankCount-urgentRank:
		q.overload.shedRanks++
		q.overload.changedAt = now
	case !exceeded && q.overload.shedRanks > 0:
		q.overload.shedRanks--
		q.overload.changedAt = now
	}
}

// overTarget reports whether queued requests of the class wait longer than its target.
func (c *class) overTarget(now time.Time) bool {
	if c.queued == 0 {
		return false
	}
	return max(c.queueDelay, now.Sub(c.progressAt)) > c.targetDelay
}
