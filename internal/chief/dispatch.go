package chief

import (
	"context"
	"errors"
	"time"

	"peridotgw.example/peridotgw/internal/agent"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	orderTimeout = 500 * time.Millisecond // of one attempt
	// maxOrdersInFlight keeps the orders of a large pass from each other's processor time: on a small machine they would all run into
	// their timeouts, and be stopped and sent again.
	maxOrdersInFlight = 128
	// maxStopsInFlight leaves places for starts: each stop on a worker that does not answer takes one for its timeout, again and again.
	maxStopsInFlight = maxOrdersInFlight / 2
)

// orders are the runs whose orders wait to be sent, the oldest first.
type orders struct {
	starts, stops []*run
	// inFlight is the number of orders whose result is not known yet, and stopsInFlight the part of it that are stops.
	inFlight, stopsInFlight int
}

// waiting returns the number of orders that wait.
func (o *orders) waiting() int { return len(o.starts) + len(o.stops) }

// queueStart queues the start order of a run.
func (c *Scheduler) queueStart(r *run) { c.orders.starts = append(c.orders.starts, r) }

// queueStop queues the stop order of a run.
func (c *Scheduler) queueStop(r *run) { c.orders.stops = append(c.orders.stops, r) }

// sendOrders sends the orders that wait, stops first, while there are places for them. Orders to workers that do not answer can keep
// others waiting for seconds, so that a start is checked again when its turn comes.
func (c *Scheduler) sendOrders() {
	o := &c.orders
	for len(o.stops) > 0 && o.inFlight < maxOrdersInFlight && o.stopsInFlight < maxStopsInFlight {
		r := o.stops[0]
		o.stops = o.stops[1:]
		if r.present() {
			c.sendStop(r)
		}
	}
	for len(o.starts) > 0 && o.inFlight < maxOrdersInFlight {
		r := o.starts[0]
		o.starts = o.starts[1:]
		if r.present() {
			c.startOrDrop(r)
		}
	}
}

// startOrDrop sends the start order of a run, or ends the run if it may not start any more; its task is then planned again.
func (c *Scheduler) startOrDrop(r *run) {
	reason := c.whyNotStart(r)
	if reason == "" && r.worker.missedCalls > 0 {
		reason = "its worker does not answer"
	}
	if reason != "" {
		c.dropStart(r, reason)
		return
	}
	ticket, valid := r.task.stage.advice.Ticket(r.worker.life(), c.Now())
	if !valid && c.needsAdvice(r.task.stage) {
		c.dropStart(r, "its ticket has expired")
		c.adviceMissed(r.task.stage, "its ticket expired before the start was sent")
		return
	}
	r.ordered = true
	c.sendStart(r, agent.StartOrder{
		Task: r.key.task, Run: r.key.number, Payload: r.task.stage.job.spec.Payload, Until: c.lease(r.worker, c.Now(), startLease),
		Token: c.Term.Token, Saved: r.checkpoint, Ticket: ticket,
	})
}

// dropStart ends a run whose order was not sent.
func (c *Scheduler) dropStart(r *run, reason string) {
	c.Observe.CallResult("start", "dropped")
	r.reason = "start dropped: " + reason
	c.endRun(r, work.EndedStopped, "")
}

// whyNotStart returns why a run that was planned may not start any more; an empty text if it may.
func (c *Scheduler) whyNotStart(r *run) string {
	if r.phase != starting {
		return "run is being stopped"
	}
	return c.whyUnusable(r.worker)
}

// whyUnusable returns why no run may be started on a worker; an empty text if one may.
func (c *Scheduler) whyUnusable(w *worker) string {
	switch {
	case !w.registered:
		return "its worker has left"
	case w.info.Draining:
		return "its worker drains"
	case !c.inRoster(w):
		return "its worker has another address"
	case c.leaseStopStored(w):
		return "its leases must not be extended yet"
	case c.OutOfService(w.info.Zone):
		return "its data centre is out of service"
	}
	return ""
}

// sendStart sends a start order once.
func (c *Scheduler) sendStart(r *run, start agent.StartOrder) {
	r.attempts++
	r.sentToBorn = r.worker.born
	c.orders.inFlight++
	target := r.worker.target()
	go func() {
		reading, err := c.callInTerm(func(ctx context.Context) (work.WorkerClock, error) { return c.Workers.Start(ctx, target, start) })
		c.post(func() {
			c.orders.inFlight--
			c.handleStartResult(r, start, reading, err)
		})
	}()
}

// sendStop sends the stop order of a run once.
func (c *Scheduler) sendStop(r *run) {
	r.sentToBorn = r.worker.born
	stop := agent.StopOrder{Task: r.key.task, Run: r.key.number, Token: c.Term.Token}
	c.orders.inFlight++
	c.orders.stopsInFlight++
	target := r.worker.target()
	go func() {
		reading, err := c.callInTerm(func(ctx context.Context) (work.WorkerClock, error) { return c.Workers.Stop(ctx, target, stop) })
		c.post(func() {
			c.orders.inFlight--
			c.orders.stopsInFlight--
			c.handleStopResult(r, reading, err)
		})
	}()
}

var errTermOver = errors.New("the term may have ended") //nolint:gochecknoglobals // a constant error

// callInTerm makes a call to a worker, unless the term may have ended: then the call is refused with errTermOver.
func (c *Scheduler) callInTerm(call func(context.Context) (work.WorkerClock, error)) (work.WorkerClock, error) {
	if !c.TermValid() {
		return 0, &agent.RefusedError{Cause: errTermOver}
	}
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	return call(ctx)
}
