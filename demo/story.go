package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Bounds of docs/design.md, section 10.
const (
	boundHandBack  = 6 * time.Second
	boundOut       = 4 * time.Second
	boundOwnership = 8 * time.Second
	boundStop      = 35 * time.Second
	boundUrgent    = 6700 * time.Millisecond
)

// Phases of the load.
const (
	phaseHealthy = "healthy"
	phaseOut     = "data centre out"
	phaseStop    = "graceful stop"
	phaseKill    = "instance killed"
)

// settle is how long each phase lasts at least, so that the load sees it.
const settle = 2 * time.Second

// story runs the steps of the demo and collects the promises that it saw broken.
type story struct {
	deployment *deployment
	operator   *client.Operator
	load       *load
	broken     []string
	results    []sent
	counters   *counters
	// reused is a request whose id was used for another body, so that there is a refusal to explain.
	reused struct {
		customer model.CustomerID
		id       model.RequestID
	}
}

func newStory(d *deployment) *story {
	return &story{deployment: d, counters: newCounters()}
}

func (s *story) say(format string, args ...any) {
	fmt.Printf("  "+format+"\n", args...)
}

func (s *story) breach(promise, format string, args ...any) {
	text := promise + ": " + fmt.Sprintf(format, args...)
	fmt.Println("  BROKEN " + text)
	s.broken = append(s.broken, text)
}

func (s *story) run(ctx context.Context) error {
	d := s.deployment
	fmt.Printf("\n== %s: %d instances, %d data centres, %d workers, %d endpoints\n",
		d.name, len(d.instances), len(d.set.DataCentres), d.countMachines("worker"), d.countMachines("endpoint"))
	operator, done := d.operator()
	defer done()
	s.operator = operator
	if err := s.awaitOwners(ctx); err != nil {
		return err
	}
	s.load = startLoad(ctx, d)
	s.load.phase.Store(phaseHealthy)
	for _, step := range []func(context.Context) error{
		s.gangRunsComplete, s.shapeHandedBack, s.dataCentreOutAndIn, s.gracefulStop, s.kill, s.refusal,
	} {
		if err := step(ctx); err != nil {
			s.results = s.load.stop()
			return err
		}
	}
	s.results = s.load.stop()
	return s.checkAll(ctx)
}

// awaitOwners waits until each data centre has an owner.
func (s *story) awaitOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		status, err := s.operator.Status(ctx)
		if err == nil && owned(status) == len(s.deployment.set.DataCentres) {
			return nil
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return eris.Errorf("data centres have no owner: %v, %+v", err, status)
		}
	}
}

func owned(status client.Status) int {
	n := 0
	for _, dc := range status.DataCentres {
		if dc.Owner != "" {
			n++
		}
	}
	return n
}

// gangRunsComplete submits a job of several tasks and counts them on the workers.
func (s *story) gangRunsComplete(ctx context.Context) error {
	guarantee, shape := s.largestGuarantee()
	job := client.Job{ID: "gang-1", Customer: guarantee.Customer, Class: s.anyJobClass(), Shape: guarantee.Shape}
	if err := s.submit(ctx, job, 3*time.Second); err != nil {
		return err
	}
	record, took, err := s.await(ctx, job.ID, 10*time.Second, "running", "done")
	if err != nil {
		return err
	}
	tasks, err := s.deployment.runningTasks(ctx)
	if err != nil {
		return err
	}
	if n := len(tasks[job.ID]); n != int(shape.Tasks) {
		s.breach("P2", "gang %s runs %d of %d tasks in %s", job.ID, n, shape.Tasks, record.DataCentre)
	}
	s.say("gang %s of %d tasks started complete in %s after %s", job.ID, shape.Tasks, record.DataCentre, took.Round(time.Millisecond))
	_, _, err = s.await(ctx, job.ID, 20*time.Second, "done")
	return err
}

// shapeHandedBack fills a data centre with stoppable work of others and asks for the guaranteed shape.
func (s *story) shapeHandedBack(ctx context.Context) error {
	guarantee, shape := s.largestGuarantee()
	borrowers, err := s.fill(ctx, guarantee)
	if err != nil {
		return err
	}
	job := client.Job{
		ID: "guaranteed-1", Customer: guarantee.Customer, Class: s.anyJobClass(), Shape: guarantee.Shape, DataCentre: guarantee.DataCentre,
	}
	if err := s.submit(ctx, job, 3*time.Second); err != nil {
		return err
	}
	_, took, err := s.await(ctx, job.ID, 15*time.Second, "running", "done")
	if err != nil {
		s.breach("P1", "%v", err)
		return nil
	}
	if took > boundHandBack {
		s.breach("P1", "shape %s was handed back after %s, bound %s", guarantee.Shape, took, boundHandBack)
	}
	s.say("shape %s (%d accelerators) was handed back from %d borrowers in %s after %s",
		guarantee.Shape, shape.Accelerators(), len(borrowers), guarantee.DataCentre, took.Round(time.Millisecond))
	for _, id := range borrowers {
		if _, err := s.operator.Cancel(ctx, id); err != nil {
			return eris.Wrapf(err, "cancelling job %s", id)
		}
	}
	return nil
}

// fill submits background jobs of another customer until the data centre has no free accelerator.
func (s *story) fill(ctx context.Context, guarantee model.Guarantee) ([]model.JobID, error) {
	class, found := s.stoppableClass()
	if !found {
		return nil, eris.New("the example has no stoppable job class")
	}
	borrower := s.otherCustomer(guarantee.Customer)
	var ids []model.JobID
	free := s.deployment.accelerators(guarantee.DataCentre)
	shape, size := s.smallestShape()
	for i := range int(free / size) {
		job := client.Job{
			ID: model.JobID(fmt.Sprintf("borrower-%d", i)), Customer: borrower, Class: class, Shape: shape, DataCentre: guarantee.DataCentre,
		}
		if err := s.submit(ctx, job, 10*time.Minute); err != nil {
			return nil, err
		}
		ids = append(ids, job.ID)
	}
	time.Sleep(settle)
	return ids, nil
}

// dataCentreOutAndIn takes a data centre with running work out of service and returns it.
func (s *story) dataCentreOutAndIn(ctx context.Context) error {
	guarantee, _ := s.largestGuarantee()
	dc := guarantee.DataCentre
	class := s.checkpointableClass()
	shape, _ := s.smallestShape()
	moving := client.Job{ID: "moving-1", Customer: guarantee.Customer, Class: class, Shape: shape, DataCentre: dc}
	if err := s.submit(ctx, moving, 30*time.Second); err != nil {
		return err
	}
	if _, _, err := s.await(ctx, moving.ID, 10*time.Second, "running"); err != nil {
		return err
	}
	s.load.phase.Store(phaseOut)
	begin := time.Now()
	result, err := s.operator.Out(ctx, dc, client.NewChangeID())
	if err != nil {
		return eris.Wrapf(err, "taking %s out", dc)
	}
	s.say("%s taken out as revision %d after %s", dc, result.Revision, time.Since(begin).Round(time.Millisecond))
	time.Sleep(max(0, boundOut-time.Since(begin)))
	record, _, err := s.await(ctx, moving.ID, 20*time.Second, "running", "done")
	if err != nil {
		return err
	}
	if err := s.noStartsIn(ctx, dc); err != nil {
		return err
	}
	s.say("job %s moved from %s to %s", moving.ID, dc, record.DataCentre)
	begin = time.Now()
	if _, err := s.operator.In(ctx, dc, client.NewChangeID()); err != nil {
		return eris.Wrapf(err, "returning %s", dc)
	}
	back := client.Job{ID: "back-1", Customer: guarantee.Customer, Class: class, Shape: shape, DataCentre: dc}
	if err := s.submit(ctx, back, time.Second); err != nil {
		return err
	}
	if _, _, err := s.await(ctx, back.ID, 10*time.Second, "running", "done"); err != nil {
		return err
	}
	s.say("%s returned and runs work again after %s", dc, time.Since(begin).Round(time.Millisecond))
	return nil
}

// noStartsIn submits work while a data centre is out and checks that none of its workers starts a task; tasks that cannot
// be moved run to their end.
func (s *story) noStartsIn(ctx context.Context, dc model.DataCentreID) error {
	before, err := s.deployment.runningTasks(ctx)
	if err != nil {
		return err
	}
	class, _ := s.stoppableClass()
	shape, _ := s.smallestShape()
	job := client.Job{ID: "elsewhere-1", Customer: s.otherCustomer(""), Class: class, Shape: shape}
	if err := s.submit(ctx, job, time.Second); err != nil {
		return err
	}
	time.Sleep(settle)
	tasks, err := s.deployment.runningTasks(ctx)
	if err != nil {
		return err
	}
	for id, list := range tasks {
		for _, t := range list {
			if t.DataCentre == dc && !slices.Contains(before[id], t) {
				s.breach("P3", "task %s of job %s was started in %s, which is out", t.Task, id, dc)
			}
		}
	}
	return nil
}

// gracefulStop stops an instance under load and starts it again.
func (s *story) gracefulStop(ctx context.Context) error {
	one := s.deployment.instances[0]
	s.load.phase.Store(phaseStop)
	s.counters.add(ctx, s.deployment, one)
	took, err := one.process.terminate(stopTimeout)
	if err != nil {
		s.breach("P8", "%v", err)
	}
	if took > boundStop {
		s.breach("P8", "%s took %s to stop, bound %s", one.id, took, boundStop)
	}
	time.Sleep(settle)
	s.say("%s stopped gracefully under load in %s", one.id, took.Round(time.Millisecond))
	if err := s.deployment.startInstance(ctx, one); err != nil {
		return err
	}
	s.load.phase.Store(phaseHealthy)
	return s.refreshOperator(ctx)
}

// kill ends an instance that owns a data centre, and waits until another one owns it and starts work there.
func (s *story) kill(ctx context.Context) error {
	status, err := s.operator.Status(ctx)
	if err != nil {
		return eris.Wrap(err, "reading the status")
	}
	one, dc, found := s.ownerToKill(status)
	if !found {
		return eris.Errorf("no running instance owns a data centre: %+v", status)
	}
	s.load.phase.Store(phaseKill)
	s.counters.add(ctx, s.deployment, one)
	begin := time.Now()
	if err := one.process.kill(); err != nil {
		return err
	}
	if err := s.refreshOperator(ctx); err != nil {
		return err
	}
	shape, _ := s.smallestShape()
	class, _ := s.stoppableClass()
	job := client.Job{ID: "after-kill-1", Customer: s.otherCustomer(""), Class: class, Shape: shape, DataCentre: dc}
	if err := s.submit(ctx, job, time.Second); err != nil {
		return err
	}
	if _, _, err := s.await(ctx, job.ID, 20*time.Second, "running", "done"); err != nil {
		return err
	}
	took := time.Since(begin)
	if took > boundOwnership {
		s.breach("ownership", "%s had no owner for %s after %s was killed, bound %s", dc, took, one.id, boundOwnership)
	}
	s.say("%s killed under load; %s has another owner and starts work after %s", one.id, dc, took.Round(time.Millisecond))
	return nil
}

// refusal sends the id of a request that must not be repeated again with another body, and checks that it is refused.
func (s *story) refusal(ctx context.Context) error {
	s.reused.customer, s.reused.id = s.otherCustomer(""), client.NewRequestID()
	class, found := s.claimedClass()
	address, ok := s.load.balancer.choose()
	if !ok || !found {
		return eris.New("no instance is ready, or no request class is claimed")
	}
	caller := &client.Caller{Target: client.Target{Addresses: []string{address}}, Customer: s.reused.customer}
	request := client.Request{Class: class, ID: s.reused.id, Body: []byte("first")}
	if _, err := caller.Do(ctx, request); err != nil {
		return eris.Wrap(err, "sending a request that must not be repeated")
	}
	request.Body = []byte("second")
	_, err := caller.Do(ctx, request)
	outcome, reason, message := classify(err)
	if outcome != reply.OutcomeRefused {
		s.breach("P6", "request %s with another body was %s", s.reused.id, outcome)
	}
	s.say("request %s sent again with another body was %s (%s): %s", s.reused.id, outcome, reason, message)
	return nil
}

func (s *story) ownerToKill(status client.Status) (*instance, model.DataCentreID, bool) {
	for _, one := range slices.Backward(s.deployment.instances) {
		for _, dc := range status.DataCentres {
			if dc.Owner == one.id && one.process.running() && dc.Service == model.ServiceIn {
				return one, dc.DataCentre, true
			}
		}
	}
	return nil, "", false
}

// refreshOperator points the operator at the instances that run now.
func (s *story) refreshOperator(ctx context.Context) error {
	operator, _ := s.deployment.operator()
	s.operator = operator
	return s.awaitOwners(ctx)
}

// checkAll compares what callers were told with what ran.
func (s *story) checkAll(ctx context.Context) error {
	runs, err := s.deployment.runs(ctx)
	if err != nil {
		return err
	}
	for _, text := range append(checkRequests(s.results, runs), cutOff(s.results, phaseStop)...) {
		promise, rest, _ := strings.Cut(text, ": ")
		s.breach(promise, "%s", rest)
	}
	for _, one := range s.deployment.instances {
		s.counters.add(ctx, s.deployment, one)
	}
	return nil
}
