package queue

import (
	"time"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// overload holds the rank from which on requests are refused.
type overload struct {
	// shed is the number of ranks that are refused, the lowest first.
	shed int
	// since is when the state last changed or the delays last crossed their targets.
	since time.Time
	over  bool
}

// ranks is the number of priorities.
const ranks = 3

// overloadInterval is how long delays must stay over, or under, their targets before the state changes.
const overloadInterval = 500 * time.Millisecond

// admit refuses a request that would not be served in time or would exceed a bound.
func (q *Queue) admit(c *class, u *customer, item *Item, now time.Time) *reply.Error {
	if !now.Before(item.Deadline) {
		return reply.Refused(reply.ReasonDeadlinePast, "the deadline has passed")
	}
	if q.Usable != nil && q.Usable(item.DataCentres) == 0 {
		err := reply.Refused(reply.ReasonNoEndpoint, "class %s: no endpoint is in service", item.Class)
		err.RetryAfter = model.Duration(time.Second)
		return err
	}
	q.control(now)
	if q.refuses(c.rank) {
		err := reply.Refused(reply.ReasonOverload, "class %s: requests of this priority are refused during overload", item.Class)
		err.RetryAfter = model.Duration(2 * overloadInterval)
		return err
	}
	limit := item.Limit
	if limit <= 0 {
		limit = model.DefaultRequestQueueLimit
	}
	wait := q.estimate(c, u, item)
	if len(u.queued) >= limit || q.queued >= maxQueued {
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

// estimate returns the expected wait of a new request: the work ahead of it, divided by the slots. With nothing queued
// ahead it is zero, so that requests are always admitted to an idle queue and service times are learned anew.
func (q *Queue) estimate(c *class, u *customer, item *Item) time.Duration {
	var ahead time.Duration
	for _, other := range q.order {
		if other.rank < c.rank || (other.rank == c.rank && other != c) {
			ahead += time.Duration(other.queued) * other.service.mean()
		}
	}
	ahead += time.Duration(c.ahead(u, item)) * c.service.mean()
	if ahead == 0 {
		return 0
	}
	slots := 1
	if q.Slots != nil {
		slots = max(1, q.Slots(item.DataCentres))
	}
	return ahead / time.Duration(slots)
}

// ahead estimates the requests of the class that are started before a new one of a customer: its own with earlier
// deadlines, and as many of the others as fair shares start meanwhile.
func (c *class) ahead(u *customer, item *Item) int {
	own := len(u.queued)
	if own > 0 && item.Deadline.Before(u.queued[0].item.Deadline) {
		own = 0
	}
	others := 0
	for _, other := range c.active {
		if other != u {
			others += min(len(other.queued), (own+1)*other.weight/u.weight)
		}
	}
	return own + others
}

func (q *Queue) refuses(rank int) bool {
	return rank >= ranks-q.overload.shed
}

// control compares the queueing delays with their targets and refuses one rank more, or one less, per interval. Ranks
// above the most urgent class that is over its target are never refused.
func (q *Queue) control(now time.Time) {
	if q.Control != nil && !q.Control() {
		return
	}
	urgent := ranks
	for _, c := range q.order {
		if c.overTarget(now) {
			urgent = c.rank
			break
		}
	}
	over := urgent < ranks
	if over != q.overload.over {
		q.overload.over, q.overload.since = over, now
		return
	}
	if now.Sub(q.overload.since) < overloadInterval {
		return
	}
	switch {
	case over && q.overload.shed < ranks-urgent:
		q.overload.shed++
		q.overload.since = now
	case !over && q.overload.shed > 0:
		q.overload.shed--
		q.overload.since = now
	}
}

// overTarget reports whether requests of the class wait for longer than the target.
func (c *class) overTarget(now time.Time) bool {
	if c.queued == 0 {
		return false
	}
	return max(c.waited, now.Sub(c.progress)) > c.target
}
