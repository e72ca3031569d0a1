package queue

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Limits of ordering and admission.
const (
	// starvationAge is the time without a start after which a waiting class gets one start in starvedStartEvery.
	starvationAge     = time.Second
	starvedStartEvery = 10
	// maxQueued bounds all queued requests of an instance; with bodies of 1 MB each they take 2 GB.
	maxQueued = 2000
	// minTargetDelay is the lowest target of the queueing delay, which is otherwise a tenth of the request's timeout.
	minTargetDelay = time.Second
)

// Item describes a request to the queue.
type Item struct {
	Class    model.RequestClassID
	Customer model.CustomerID
	Priority model.Priority
	// Limit bounds the queued requests of the customer in the class; zero means model.DefaultRequestQueueLimit.
	Limit int
	// Weight is the customer's weight in fair sharing; zero means 1.
	Weight int
	// Timeout is that of the request class; Deadline may be earlier.
	Timeout  time.Duration
	Deadline time.Time
	// OwnOnly excludes borrowed slots, after an endpoint refused the request because it was full.
	OwnOnly bool
	// DataCentres that may serve the request; none means all.
	DataCentres []model.DataCentreID
}

// Queue orders requests; its methods may be used concurrently. Its exported fields are set before the first call.
type Queue struct {
	Metrics *metric.Set
	// Acquire takes a slot without waiting or returns nil; it is called with the queue locked.
	Acquire func(route.SlotRequest) *route.Slot
	// Slots returns the number of slots assigned to this instance in the given data centres; none means all. A nil func counts as
	// one slot.
	Slots func([]model.DataCentreID) int
	// UsableEndpoints returns the number of endpoints in the given data centres that may get work; none means all. A nil func
	// means that there are some.
	UsableEndpoints func([]model.DataCentreID) int
	// OverloadControl is whether overload control is on; nil means yes. Tests and benchmarks switch it off.
	OverloadControl func() bool

	// mu guards all fields below and the classes.
	mu      sync.Mutex
	classes map[model.RequestClassID]*class
	// byRank lists the classes by rank, and by id within a rank.
	byRank      []*class
	queued      int
	startCount  int
	overload    overload
	delayMetric *prometheus.HistogramVec
	depthMetric *prometheus.GaugeVec
}

// Permit allows its holder to send one request; Done or Cancel ends it.
type Permit struct {
	Slot *route.Slot
	// Waited is the time spent in the queue.
	Waited time.Duration

	queue    *Queue
	class    *class
	customer *customer
	done     bool
}

// result is the slot or the error that a waiting request receives.
type result struct {
	slot *route.Slot
	err  *reply.Error
}

// Wait queues a request and returns a permit when a slot is free for it. It returns an error when the request is not admitted, its
// deadline passes or ctx ends; the request has not run then.
func (q *Queue) Wait(ctx context.Context, item *Item) (*Permit, *reply.Error) {
	now := time.Now()
	q.mu.Lock()
	c := q.class(item)
	cust := c.customer(item)
	if err := q.admit(c, cust, item, now); err != nil {
		c.removeIfIdle(cust)
		q.mu.Unlock()
		return nil, err
	}
	if permit := q.tryStart(c, cust, item); permit != nil {
		q.mu.Unlock()
		return permit, nil
	}
	e := &entry{item: item, class: c, customer: cust, queuedAt: now, ready: make(chan result, 1)}
	q.push(e, now)
	q.mu.Unlock()
	// This uses a slot that became free between tryStart and push.
	q.StartQueued()
	return q.awaitStart(ctx, e)
}

// awaitStart waits until the entry is started or refused, its deadline passes or ctx ends.
func (q *Queue) awaitStart(ctx context.Context, e *entry) (*Permit, *reply.Error) {
	timer := time.NewTimer(time.Until(e.item.Deadline))
	defer timer.Stop()
	select {
	case res := <-e.ready:
		return q.newPermit(e, res)
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	if e.index >= 0 {
		q.remove(e)
		q.mu.Unlock()
		if !time.Now().Before(e.item.Deadline) {
			return nil, expiredError(e.item)
		}
		return nil, reply.Refused(reply.ReasonCancelled, "the caller went away while the request was queued")
	}
	q.mu.Unlock()
	return q.newPermit(e, <-e.ready)
}

func (q *Queue) newPermit(e *entry, res result) (*Permit, *reply.Error) {
	if res.err != nil {
		return nil, res.err
	}
	return &Permit{Slot: res.slot, Waited: time.Since(e.queuedAt), queue: q, class: e.class, customer: e.customer}, nil
}

func expiredError(item *Item) *reply.Error {
	return reply.Refused(reply.ReasonDeadlineInQueue, "class %s: the deadline passed in the queue", item.Class)
}

// Done ends the permit of a request that was served in the given time, which becomes a sample of the class's service time.
func (p *Permit) Done(serviceTime time.Duration) { p.finish(serviceTime, true) }

// Cancel ends the permit of a request that was not served, and releases the slot if nothing was sent on it.
func (p *Permit) Cancel() {
	p.finish(0, false)
	p.Slot.Done(route.ResultUnused, route.Report{})
}

func (p *Permit) finish(serviceTime time.Duration, served bool) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	p.customer.running--
	if served {
		p.class.serviceTime.observe(serviceTime)
	}
	p.class.removeIfIdle(p.customer)
}

// StartQueued starts queued requests while slots are free; the route table calls it when a slot may have become free.
func (q *Queue) StartQueued() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.queued > 0 && q.startNext(time.Now()) {
		continue
	}
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queued
}

// tryStart starts a request without queueing if a slot is free and none of the same or a higher priority is queued; otherwise it
// returns nil.
func (q *Queue) tryStart(c *class, cust *customer, item *Item) *Permit {
	for _, other := range q.byRank {
		if other.rank <= c.rank && other.queued > 0 {
			return nil
		}
	}
	slot := q.Acquire(route.SlotRequest{DataCentres: item.DataCentres, OwnOnly: item.OwnOnly})
	if slot == nil {
		return nil
	}
	q.recordStart(c, cust, 0, time.Now())
	return &Permit{Slot: slot, queue: q, class: c, customer: cust}
}

// startNext starts the first request in order for which a slot is free, and reports whether there was one.
func (q *Queue) startNext(now time.Time) bool {
	if (q.startCount+1)%starvedStartEvery == 0 {
		if c := q.longestStarved(now); c != nil && q.startFromClass(c, now) {
			return true
		}
	}
	for _, c := range q.byRank {
		if c.queued > 0 && q.startFromClass(c, now) {
			return true
		}
	}
	return false
}

// longestStarved returns the waiting class with the longest time without a start, of at least starvationAge, or nil.
func (q *Queue) longestStarved(now time.Time) *class {
	var longest *class
	for _, c := range q.byRank {
		if c.queued == 0 || now.Sub(c.progressAt) < starvationAge {
			continue
		}
		if longest == nil || c.progressAt.Before(longest.progressAt) {
			longest = c
		}
	}
	return longest
}

// startFromClass starts the next request of a class and reports whether it did; requests that would be too late are refused.
func (q *Queue) startFromClass(c *class, now time.Time) bool {
	for c.queued > 0 {
		e := c.next()
		if tooLate(e, now) {
			q.remove(e)
			e.ready <- result{err: expiredError(e.item)}
			continue
		}
		slot := q.Acquire(route.SlotRequest{DataCentres: e.item.DataCentres, OwnOnly: e.item.OwnOnly})
		if slot == nil {
			return false
		}
		q.recordStart(c, e.customer, now.Sub(e.queuedAt), now)
		q.remove(e)
		e.ready <- result{slot: slot}
		return true
	}
	return false
}

// tooLate reports whether no answer can be expected before the deadline. The mean service time counts only up to a tenth of the
// timeout, so that an estimate that is far too high does not refuse requests that would finish in time.
func tooLate(e *entry, now time.Time) bool {
	need := min(e.class.serviceTime.mean()/2, e.item.Timeout/10)
	return e.item.Deadline.Sub(now) <= need
}

// recordStart updates the counts, the fair shares and the overload state after a start.
func (q *Queue) recordStart(c *class, cust *customer, queueDelay time.Duration, now time.Time) {
	q.startCount++
	cust.running++
	cust.pass += 1 / float64(cust.weight)
	c.pass = max(c.pass, cust.pass)
	c.progressAt = now
	c.queueDelay = queueDelay
	if q.delayMetric != nil {
		q.delayMetric.WithLabelValues(string(c.id)).Observe(queueDelay.Seconds())
	}
	q.updateOverload(now)
}

// class returns the class of an item, and creates it or updates its rank and target if needed.
func (q *Queue) class(item *Item) *class {
	c, known := q.classes[item.Class]
	if !known {
		if q.classes == nil {
			q.classes = map[model.RequestClassID]*class{}
			q.registerMetrics()
		}
		c = &class{id: item.Class, customers: map[model.CustomerID]*customer{}}
		q.classes[item.Class] = c
		q.byRank = append(q.byRank, c)
	}
	if rank := item.Priority.Rank(); !known || c.rank != rank {
		c.rank = rank
		slices.SortFunc(q.byRank, func(a, b *class) int {
			if a.rank != b.rank {
				return a.rank - b.rank
			}
			return strings.Compare(string(a.id), string(b.id))
		})
	}
	c.targetDelay = max(item.Timeout/10, minTargetDelay)
	return c
}

func (q *Queue) registerMetrics() {
	if q.Metrics == nil {
		return
	}
	q.delayMetric = q.Metrics.Histogram("queue_delay_seconds", "Time of started requests in the queue.",
		prometheus.ExponentialBuckets(0.0005, 4, 9), "class")
	q.depthMetric = q.Metrics.Gauge("queue_depth", "Queued requests.", "class")
}

func (q *Queue) push(e *entry, now time.Time) {
	if e.class.queued == 0 {
		e.class.progressAt, e.class.queueDelay = now, 0
	}
	e.class.push(e)
	q.queued++
	q.updateDepthMetric(e.class)
}

func (q *Queue) remove(e *entry) {
	e.class.remove(e)
	q.queued--
	q.updateDepthMetric(e.class)
}

func (q *Queue) updateDepthMetric(c *class) {
	if q.depthMetric != nil {
		q.depthMetric.WithLabelValues(string(c.id)).Set(float64(c.queued))
	}
}
