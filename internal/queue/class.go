package queue

import (
	"container/heap"
	"time"

	"peridotgw.example/peridotgw/model"
)

// class holds the queued requests of one class.
type class struct {
	id        model.RequestClassID
	rank      int
	target    time.Duration
	customers map[model.CustomerID]*customer
	// active holds the customers with queued requests, so that a start looks at no others.
	active  []*customer
	queued  int
	pass    float64
	service service
	// progress is the time of the last start, or of the first request queued after the class was empty.
	progress time.Time
	// waited is the queueing delay of the last request started.
	waited time.Duration
}

// customer holds the queued requests of one customer in one class.
type customer struct {
	id      model.CustomerID
	weight  int
	running int
	// pass is the work started so far divided by the weight; ties of running work are broken by it.
	pass   float64
	index  int
	queued deadlines
}

// entry is a queued request; index is its place in the heap, or -1 when it has left the queue.
type entry struct {
	item     *Item
	class    *class
	customer *customer
	at       time.Time
	index    int
	ready    chan result
}

func (c *class) customer(item *Item) *customer {
	u, known := c.customers[item.Customer]
	if !known {
		// A customer that returns starts level with the others, without credit for the time it was away.
		u = &customer{id: item.Customer, pass: c.pass, index: -1}
		c.customers[item.Customer] = u
	}
	u.weight = max(1, item.Weight)
	return u
}

// forget drops a customer without queued and running requests.
func (c *class) forget(u *customer) {
	if u.running == 0 && len(u.queued) == 0 {
		delete(c.customers, u.id)
	}
}

func (c *class) push(e *entry) {
	u := e.customer
	if len(u.queued) == 0 {
		u.index = len(c.active)
		c.active = append(c.active, u)
	}
	heap.Push(&u.queued, e)
	c.queued++
}

// remove takes an entry out in logarithmic time.
func (c *class) remove(e *entry) {
	u := e.customer
	heap.Remove(&u.queued, e.index)
	e.index = -1
	c.queued--
	if len(u.queued) > 0 {
		return
	}
	last := c.active[len(c.active)-1]
	c.active[u.index] = last
	last.index = u.index
	c.active = c.active[:len(c.active)-1]
	u.index = -1
	c.forget(u)
}

// next returns the earliest deadline of the customer with the least running work for its weight.
func (c *class) next() *entry {
	best := c.active[0]
	for _, u := range c.active[1:] {
		a, b := u.running*best.weight, best.running*u.weight
		if a < b || (a == b && (u.pass < best.pass || (u.pass == best.pass && u.id < best.id))) {
			best = u
		}
	}
	return best.queued[0]
}

// deadlines is a heap of requests with the earliest deadline first.
type deadlines []*entry

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	if !d[i].item.Deadline.Equal(d[j].item.Deadline) {
		return d[i].item.Deadline.Before(d[j].item.Deadline)
	}
	return d[i].at.Before(d[j].at)
}

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	e, ok := x.(*entry)
	if !ok {
		return
	}
	e.index = len(*d)
	*d = append(*d, e)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return e
}

// service learns the service time of a class.
type service struct {
	smoothed time.Duration
	samples  int
}

// Limits of learning: a sample counts as at most maxJump times the mean, so that one answer that took until its deadline
// does not refuse the following requests, while a lasting change is learned within a few samples.
const (
	serviceWeight = 8
	maxJump       = 4
	minSmoothed   = 100 * time.Microsecond
)

func (s *service) observe(sample time.Duration) {
	s.samples++
	if s.samples == 1 {
		s.smoothed = max(sample, minSmoothed)
		return
	}
	sample = min(sample, maxJump*s.smoothed)
	s.smoothed = max(minSmoothed, s.smoothed+(sample-s.smoothed)/serviceWeight)
}

func (s *service) mean() time.Duration { return s.smoothed }
