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
	// starveAfter is the time without a start after which a waiting class gets one of starveShare starts.
	starveAfter = time.Second
	starveShare = 10
	// maxQueued bounds all queued requests of an instance; at 1 MB of body each they fill 2 GB.
	maxQueued = 2000
	minTarget = time.Second
)

// Item is a request as the queue sees it.
type Item struct {
	Class    model.RequestClassID
	Customer model.CustomerID
	Priority model.Priority
	// Limit bounds the queued requests of the customer in the class; zero means model.DefaultRequestQueueLimit.
	Limit int
	// Weight is the customer's share; zero means 1.
	Weight   int
	Timeout  time.Duration
	Deadline time.Time
	// OwnOnly keeps the request off borrowed slots, after an endpoint refused it because it was full.
	OwnOnly bool
	// DataCentres that may serve the request; none means all.
	DataCentres []model.DataCentreID
}

// Queue orders requests; its exported fields are set before the first call.
type Queue struct {
	Metrics *metric.Set
	// Acquire takes a slot at once or returns nil; it is called with the queue locked.
	Acquire func(route.Ask) *route.Pick
	// Slots returns the slots that this instance may use in data centres.
	Slots func([]model.DataCentreID) int
	// Usable returns the endpoints in data centres that may get work.
	Usable func([]model.DataCentreID) int
	// Control is whether overload control is on; nil means yes. Benchmarks switch it off.
	Control func() bool

	mu       sync.Mutex
	classes  map[model.RequestClassID]*class
	order    []*class
	queued   int
	starts   int
	overload overload
	delay    *prometheus.HistogramVec
	depth    *prometheus.GaugeVec
}

// Ticket is the right to send one request; Done or Cancel gives it back.
type Ticket struct {
	Pick *route.Pick
	// Waited is the time spent in the queue.
	Waited time.Duration

	queue    *Queue
	class    *class
	customer *customer
	done     bool
}

// result is what a waiting request gets.
type result struct {
	pick *route.Pick
	err  *reply.Error
}

// Wait returns when a slot is free for the request, its deadline passes, or ctx ends. An error means that it did not run.
func (q *Queue) Wait(ctx context.Context, item *Item) (*Ticket, *reply.Error) {
	now := time.Now()
	q.mu.Lock()
	c := q.class(item)
	u := c.customer(item)
	if err := q.admit(c, u, item, now); err != nil {
		c.forget(u)
		q.mu.Unlock()
		return nil, err
	}
	if ticket := q.startNow(c, u, item); ticket != nil {
		q.mu.Unlock()
		return ticket, nil
	}
	e := &entry{item: item, class: c, customer: u, at: now, ready: make(chan result, 1)}
	q.push(e, now)
	q.mu.Unlock()
	// A slot that became free between the attempt and the push is found here.
	q.Kick()
	return q.await(ctx, e)
}

func (q *Queue) await(ctx context.Context, e *entry) (*Ticket, *reply.Error) {
	timer := time.NewTimer(time.Until(e.item.Deadline))
	defer timer.Stop()
	select {
	case res := <-e.ready:
		return q.ticket(e, res)
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	if e.index >= 0 {
		q.remove(e)
		q.mu.Unlock()
		if !time.Now().Before(e.item.Deadline) {
			return nil, expired(e.item)
		}
		return nil, reply.Refused(reply.ReasonCancelled, "the caller went away while the request was queued")
	}
	q.mu.Unlock()
	return q.ticket(e, <-e.ready)
}

func (q *Queue) ticket(e *entry, res result) (*Ticket, *reply.Error) {
	if res.err != nil {
		return nil, res.err
	}
	return &Ticket{Pick: res.pick, Waited: time.Since(e.at), queue: q, class: e.class, customer: e.customer}, nil
}

func expired(item *Item) *reply.Error {
	return reply.Refused(reply.ReasonDeadlineInQueue, "class %s: the deadline passed in the queue", item.Class)
}

// Done ends the ticket of a request that was served in the given time.
func (t *Ticket) Done(service time.Duration) { t.end(service, true) }

// Cancel ends the ticket of a request that was not served; the slot is given back when it was not sent.
func (t *Ticket) Cancel() {
	t.end(0, false)
	t.Pick.Done(route.VerdictUnused, route.Report{})
}

func (t *Ticket) end(service time.Duration, served bool) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	t.customer.running--
	if served {
		t.class.service.observe(service)
	}
	t.class.forget(t.customer)
}

// Kick starts queued requests while slots are free; the route table calls it when a slot may have become free.
func (q *Queue) Kick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.queued > 0 && q.startOne(time.Now()) {
		continue
	}
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queued
}

// startNow starts a request without queueing, when no request that precedes it waits.
func (q *Queue) startNow(c *class, u *customer, item *Item) *Ticket {
	for _, other := range q.order {
		if other.rank <= c.rank && other.queued > 0 {
			return nil
		}
	}
	pick := q.Acquire(route.Ask{DataCentres: item.DataCentres, OwnOnly: item.OwnOnly})
	if pick == nil {
		return nil
	}
	q.started(c, u, 0, time.Now())
	return &Ticket{Pick: pick, queue: q, class: c, customer: u}
}

// startOne starts the request that is first in order and for which a slot is free.
func (q *Queue) startOne(now time.Time) bool {
	if (q.starts+1)%starveShare == 0 {
		if c := q.starved(now); c != nil && q.startFrom(c, now) {
			return true
		}
	}
	for _, c := range q.order {
		if c.queued > 0 && q.startFrom(c, now) {
			return true
		}
	}
	return false
}

// starved returns the waiting class without a start for the longest time, over starveAfter.
func (q *Queue) starved(now time.Time) *class {
	var longest *class
	for _, c := range q.order {
		if c.queued == 0 || now.Sub(c.progress) < starveAfter {
			continue
		}
		if longest == nil || c.progress.Before(longest.progress) {
			longest = c
		}
	}
	return longest
}

func (q *Queue) startFrom(c *class, now time.Time) bool {
	for c.queued > 0 {
		e := c.next()
		if late(e, now) {
			q.remove(e)
			e.ready <- result{err: expired(e.item)}
			continue
		}
		pick := q.Acquire(route.Ask{DataCentres: e.item.DataCentres, OwnOnly: e.item.OwnOnly})
		if pick == nil {
			return false
		}
		q.started(c, e.customer, now.Sub(e.at), now)
		q.remove(e)
		e.ready <- result{pick: pick}
		return true
	}
	return false
}

// late reports whether an answer before the deadline cannot be expected. The learned time counts only up to a tenth of
// the timeout, so that an estimate that is far too high does not refuse requests that would make it.
func late(e *entry, now time.Time) bool {
	need := min(e.class.service.mean()/2, e.item.Timeout/10)
	return e.item.Deadline.Sub(now) <= need
}

func (q *Queue) started(c *class, u *customer, waited time.Duration, now time.Time) {
	q.starts++
	u.running++
	u.pass += 1 / float64(u.weight)
	c.pass = max(c.pass, u.pass)
	c.progress = now
	c.waited = waited
	if q.delay != nil {
		q.delay.WithLabelValues(string(c.id)).Observe(waited.Seconds())
	}
	q.control(now)
}

func (q *Queue) class(item *Item) *class {
	c, known := q.classes[item.Class]
	if !known {
		if q.classes == nil {
			q.classes = map[model.RequestClassID]*class{}
			q.register()
		}
		c = &class{id: item.Class, customers: map[model.CustomerID]*customer{}}
		q.classes[item.Class] = c
		q.order = append(q.order, c)
	}
	if rank := item.Priority.Rank(); !known || c.rank != rank {
		c.rank = rank
		slices.SortFunc(q.order, func(a, b *class) int {
			if a.rank != b.rank {
				return a.rank - b.rank
			}
			return strings.Compare(string(a.id), string(b.id))
		})
	}
	c.target = max(item.Timeout/10, minTarget)
	return c
}

func (q *Queue) register() {
	if q.Metrics == nil {
		return
	}
	q.delay = q.Metrics.Histogram("queue_delay_seconds", "Time of started requests in the queue.",
		prometheus.ExponentialBuckets(0.0005, 4, 9), "class")
	q.depth = q.Metrics.Gauge("queue_depth", "Queued requests.", "class")
}

func (q *Queue) push(e *entry, now time.Time) {
	if e.class.queued == 0 {
		e.class.progress, e.class.waited = now, 0
	}
	e.class.push(e)
	q.queued++
	q.showDepth(e.class)
}

func (q *Queue) remove(e *entry) {
	e.class.remove(e)
	q.queued--
	q.showDepth(e.class)
}

func (q *Queue) showDepth(c *class) {
	if q.depth != nil {
		q.depth.WithLabelValues(string(c.id)).Set(float64(c.queued))
	}
}
