package queue

import (
	"container/heap"
	"time"

	"peridotgw.example/peridotgw/model"
)

// class holds the queued requests of one class; it is guarded by the queue's lock.
type class struct {
	id model.RequestClassID
	// rank orders classes by priority, the most urgent first.
	rank int
	// targetDelay is the queueing delay above which the class counts as overloaded.
	targetDelay time.Duration
	customers   map[model.CustomerID]*customer
	// activeCustomers holds the customers with queued requests, so that a start examines no others.
	activeCustomers []*customer
	queued          int
	// pass is the highest pass of its customers at their starts.
	pass        float64
	serviceTime serviceTime
	// progressAt is the time of the last start, or of the first request queued after the class was empty.
	progressAt time.Time
	// queueDelay is the queueing delay of the last request started, or 0 after the class was empty.
	queueDelay time.Duration
}

// customer holds the queued requests of one customer in one class.
type customer struct {
	id     model.CustomerID
	weight int
	// running counts the requests started and not yet finished.
	running int
	// pass is the number of starts divided by the weight; it breaks ties of running requests, as in stride scheduling.
	pass float64
	// index is the position in activeCustomers, or -1 when nothing is queued.
	index  int
	queued deadlineHeap
}

// entry is a queued request; index is its position in the heap, or -1 after its removal from the queue.
type entry struct {
	item     *Item
	class    *class
	customer *customer
	queuedAt time.Time
	index    int
	ready    chan result
}

// customer returns the customer of an item, and creates it if needed.
func (c *class) customer(item *Item) *customer {
	cust, known := c.customers[item.Customer]
	if !known {
		// A customer that returns starts with the pass of the class, without credit for the time in which it sent nothing.
		cust = &customer{id: item.Customer, pass: c.pass, index: -1}
		c.customers[item.Customer] = cust
	}
	cust.weight = max(1, item.Weight)
	return cust
}

// removeIfIdle removes a customer that has no queued or running requests.
func (c *class) removeIfIdle(cust *customer) {
	if cust.running == 0 && len(cust.queued) == 0 {
		delete(c.customers, cust.id)
	}
}

func (c *class) push(e *entry) {
	cust := e.customer
	if len(cust.queued) == 0 {
		cust.index = len(c.activeCustomers)
		c.activeCustomers = append(c.activeCustomers, cust)
	}
	heap.Push(&cust.queued, e)
	c.queued++
}

// remove removes a queued entry in logarithmic time.
func (c *class) remove(e *entry) {
	cust := e.customer
	heap.Remove(&cust.queued, e.index)
	e.index = -1
	c.queued--
	if len(cust.queued) > 0 {
		return
	}
	last := c.activeCustomers[len(c.activeCustomers)-1]
	c.activeCustomers[cust.index] = last
	last.index = cust.index
	c.activeCustomers = c.activeCustomers[:len(c.activeCustomers)-1]
	cust.index = -1
	c.removeIfIdle(cust)
}

// next returns the entry to start: the earliest deadline of the customer with the fewest running requests for its weight.
func (c *class) next() *entry {
	best := c.activeCustomers[0]
	for _, cust := range c.activeCustomers[1:] {
		a, b := cust.running*best.weight, best.running*cust.weight
		if a < b || (a == b && (cust.pass < best.pass || (cust.pass == best.pass && cust.id < best.id))) {
			best = cust
		}
	}
	return best.queued[0]
}

// deadlineHeap is a heap of entries with the earliest deadline first; equal deadlines are in order of arrival.
type deadlineHeap []*entry

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool {
	if !d[i].item.Deadline.Equal(d[j].item.Deadline) {
		return d[i].item.Deadline.Before(d[j].item.Deadline)
	}
	return d[i].queuedAt.Before(d[j].queuedAt)
}

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	e, ok := x.(*entry)
	if !ok {
		return
	}
	e.index = len(*d)
	*d = append(*d, e)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	old := *d
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return e
}

// serviceTime is an exponentially smoothed mean of the service times of a class.
type serviceTime struct {
	smoothed time.Duration
	samples  int
}

// Limits of smoothing: a sample counts as at most maxSampleFactor times the mean, so that one answer that took until its deadline
// does not cause refusals of the following requests, while a lasting change takes effect within a few samples. A new sample has
// a weight of 1/smoothingDivisor.
const (
	smoothingDivisor = 8
	maxSampleFactor  = 4
	minServiceTime   = 100 * time.Microsecond
)

func (s *serviceTime) observe(sample time.Duration) {
	s.samples++
	if s.samples == 1 {
		s.smoothed = max(sample, minServiceTime)
		return
	}
	sample = min(sample, maxSampleFactor*s.smoothed)
	s.smoothed = max(minServiceTime, s.smoothed+(sample-s.smoothed)/smoothingDivisor)
}

func (s *serviceTime) mean() time.Duration { return s.smoothed }
