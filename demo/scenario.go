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

// Upper bounds from docs/design.md, section 10.
const (
	boundReclaim  = 6 * time.Second
	boundDrain    = 4 * time.Second
	boundTakeover = 8 * time.Second
	boundStop     = 35 * time.Second
	boundUrgent   = 6700 * time.Millisecond
)

// Phases of the load.
const (
	phaseHealthy      = "healthy"
	phaseDrained      = "data centre out"
	phaseGracefulStop = "graceful stop"
	phaseKilled       = "instance killed"
)

// settleDelay is the minimum duration of each phase, so that the load sends requests during it.
const settleDelay = 2 * time.Second

// scenario runs the steps of the demo and collects violations of the promises.
type scenario struct {
	deployment *deployment
	operator   *client.Operator
	load       *load
	violations []string
	results    []requestResult
	counters   *counters
	// reused identifies the request whose id was sent again with another body; the summary explains its refusal.
	reused struct {
		customer model.CustomerID
		id       model.RequestID
	}
}

func newScenario(d *deployment) *scenario {
	return &scenario{deployment: d, counters: newCounters()}
}

func (s *scenario) printStep(format string, args ...any) {
	fmt.Printf("  "+format+"\n", args...)
}

func (s *scenario) addViolation(promise, format string, args ...any) {
	text := promise + ": " + fmt.Sprintf(format, args...)
	fmt.Println("  VIOLATED " + text)
	s.violations = append(s.violations, text)
}

func (s *scenario) run(ctx context.Context) error {
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
		s.checkGangComplete, s.checkReclaim, s.drainDataCentre, s.stopGracefully, s.kill, s.checkReusedID,
	} {
		if err := step(ctx); err != nil {
			s.results = s.load.stop()
			return err
		}
	}
	s.results = s.load.stop()
	return s.checkResults(ctx)
}

// awaitOwners waits until each data centre has an owner.
func (s *scenario) awaitOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		status, err := s.operator.Status(ctx)
		if err == nil && countOwned(status) == len(s.deployment.set.DataCentres) {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return eris.Errorf("data centres have no owner: %v, %+v", err, status)
		}
	}
}

func countOwned(status client.Status) int {
	n := 0
	for _, dc := range status.DataCentres {
		if dc.Owner != "" {
			n++
		}
	}
	return n
}

// checkGangComplete submits a gang and checks that all of its tasks run on the workers.
func (s *scenario) checkGangComplete(ctx context.Context) error {
	guarantee, shape := s.largestGuarantee()
	job := client.Job{ID: "gang-1", Customer: guarantee.Customer, Class: s.firstJobClass(), Shape: guarantee.Shape}
	if err := s.submitJob(ctx, job, 3*time.Second); err != nil {
		return err
	}
	record, took, err := s.awaitJob(ctx, job.ID, 10*time.Second, "running", "done")
	if err != nil {
		return err
	}
	tasks, err := s.deployment.runningTasks(ctx)
	if err != nil {
		return err
	}
	if n := len(tasks[job.ID]); n != int(shape.Tasks) {
		s.addViolation("P2", "gang %s runs %d of %d tasks in %s", job.ID, n, shape.Tasks, record.DataCentre)
	}
	s.printStep("gang %s started all %d tasks in %s after %s", job.ID, shape.Tasks, record.DataCentre, took.Round(time.Millisecond))
	_, _, err = s.awaitJob(ctx, job.ID, 20*time.Second, "done")
	return err
}

// checkReclaim fills a data centre with stoppable jobs of another customer and then submits a job of the guaranteed shape.
func (s *scenario) checkReclaim(ctx context.Context) error {
	guarantee, shape := s.largestGuarantee()
	borrowers, err := s.fillDataCentre(ctx, guarantee)
	if err != nil {
		return err
	}
	job := client.Job{
		ID: "guaranteed-1", Customer: guarantee.Customer, Class: s.firstJobClass(), Shape: guarantee.Shape, DataCentre: guarantee.DataCentre,
	}
	if err := s.submitJob(ctx, job, 3*time.Second); err != nil {
		return err
	}
	_, took, err := s.awaitJob(ctx, job.ID, 15*time.Second, "running", "done")
	if err != nil {
		s.addViolation("P1", "%v", err)
		return nil
	}
	if took > boundReclaim {
		s.addViolation("P1", "shape %s was reclaimed after %s, bound %s", guarantee.Shape, took, boundReclaim)
	}
	s.printStep("shape %s (%d accelerators) was reclaimed from %d borrowers in %s after %s",
		guarantee.Shape, shape.Accelerators(), len(borrowers), guarantee.DataCentre, took.Round(time.Millisecond))
	for _, id := range borrowers {
		if _, err := s.operator.Cancel(ctx, id); err != nil {
			return eris.Wrapf(err, "cancelling job %s", id)
		}
	}
	return nil
}

// fillDataCentre submits enough stoppable jobs of another customer to occupy all accelerators of the data centre.
func (s *scenario) fillDataCentre(ctx context.Context, guarantee model.Guarantee) ([]model.JobID, error) {
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
		if err := s.submitJob(ctx, job, 10*time.Minute); err != nil {
			return nil, err
		}
		ids = append(ids, job.ID)
	}
	time.Sleep(settleDelay)
	return ids, nil
}

// drainDataCentre takes a data centre with running jobs out of service and returns it to service.
func (s *scenario) drainDataCentre(ctx context.Context) error {
	guarantee, _ := s.largestGuarantee()
	dc := guarantee.DataCentre
	class := s.checkpointableClass()
	shape, _ := s.smallestShape()
	moving := client.Job{ID: "moving-1", Customer: guarantee.Customer, Class: class, Shape: shape, DataCentre: dc}
	if err := s.submitJob(ctx, moving, 30*time.Second); err != nil {
		return err
	}
	if _, _, err := s.awaitJob(ctx, moving.ID, 10*time.Second, "running"); err != nil {
		return err
	}
	s.load.phase.Store(phaseDrained)
	begin := time.Now()
	result, err := s.operator.Out(ctx, dc, client.NewChangeID())
	if err != nil {
		return eris.Wrapf(err, "taking %s out of service", dc)
	}
	s.printStep("%s taken out of service in revision %d after %s", dc, result.Revision, time.Since(begin).Round(time.Millisecond))
	time.Sleep(max(0, boundDrain-time.Since(begin)))
	record, _, err := s.awaitJob(ctx, moving.ID, 20*time.Second, "running", "done")
	if err != nil {
		return err
	}
	if err := s.checkNoStarts(ctx, dc); err != nil {
		return err
	}
	s.printStep("job %s moved from %s to %s", moving.ID, dc, record.DataCentre)
	begin = time.Now()
	if _, err := s.operator.In(ctx, dc, client.NewChangeID()); err != nil {
		return eris.Wrapf(err, "returning %s to service", dc)
	}
	back := client.Job{ID: "back-1", Customer: guarantee.Customer, Class: class, Shape: shape, DataCentre: dc}
	if err := s.submitJob(ctx, back, time.Second); err != nil {
		return err
	}
	if _, _, err := s.awaitJob(ctx, back.ID, 10*time.Second, "running", "done"); err != nil {
		return err
	}
	s.printStep("%s returned to service and runs jobs again after %s", dc, time.Since(begin).Round(time.Millisecond))
	return nil
}

// checkNoStarts submits a job while a data centre is out of service and checks that none of its workers starts a task. Tasks
// that cannot be moved may run to their end.
func (s *scenario) checkNoStarts(ctx context.Context, dc model.DataCentreID) error {
	before, err := s.deployment.runningTasks(ctx)
	if err != nil {
		return err
	}
	class, _ := s.stoppableClass()
	shape, _ := s.smallestShape()
	job := client.Job{ID: "elsewhere-1", Customer: s.otherCustomer(""), Class: class, Shape: shape}
	if err := s.submitJob(ctx, job, time.Second); err != nil {
		return err
	}
	time.Sleep(settleDelay)
	tasks, err := s.deployment.runningTasks(ctx)
	if err != nil {
		return err
	}
	for id, list := range tasks {
		for _, t := range list {
			if t.DataCentre == dc && !slices.Contains(before[id], t) {
				s.addViolation("P3", "task %s of job %s was started in %s, which is out of service", t.Task, id, dc)
			}
		}
	}
	return nil
}

// stopGracefully stops an instance under load and starts it again.
func (s *scenario) stopGracefully(ctx context.Context) error {
	inst := s.deployment.instances[0]
	s.load.phase.Store(phaseGracefulStop)
	s.counters.addInstance(ctx, s.deployment, inst)
	took, err := inst.process.terminate(stopTimeout)
	if err != nil {
		s.addViolation("P8", "%v", err)
	}
	if took > boundStop {
		s.addViolation("P8", "%s took %s to stop, bound %s", inst.id, took, boundStop)
	}
	time.Sleep(settleDelay)
	s.printStep("%s stopped gracefully under load in %s", inst.id, took.Round(time.Millisecond))
	if err := s.deployment.startInstance(ctx, inst); err != nil {
		return err
	}
	s.load.phase.Store(phaseHealthy)
	return s.refreshOperator(ctx)
}

// kill kills an instance that owns a data centre, and waits until another instance has taken over and runs a job there.
func (s *scenario) kill(ctx context.Context) error {
	status, err := s.operator.Status(ctx)
	if err != nil {
		return eris.Wrap(err, "reading the status")
	}
	inst, dc, found := s.runningOwner(status)
	if !found {
		return eris.Errorf("no running instance owns a data centre: %+v", status)
	}
	s.load.phase.Store(phaseKilled)
	s.counters.addInstance(ctx, s.deployment, inst)
	begin := time.Now()
	if err := inst.process.kill(); err != nil {
		return err
	}
	if err := s.refreshOperator(ctx); err != nil {
		return err
	}
	shape, _ := s.smallestShape()
	class, _ := s.stoppableClass()
	job := client.Job{ID: "after-kill-1", Customer: s.otherCustomer(""), Class: class, Shape: shape, DataCentre: dc}
	if err := s.submitJob(ctx, job, time.Second); err != nil {
		return err
	}
	if _, _, err := s.awaitJob(ctx, job.ID, 20*time.Second, "running", "done"); err != nil {
		return err
	}
	took := time.Since(begin)
	if took > boundTakeover {
		s.addViolation("ownership", "%s had no owner for %s after %s was killed, bound %s", dc, took, inst.id, boundTakeover)
	}
	s.printStep("%s killed under load; %s has a new owner and starts jobs after %s", inst.id, dc, took.Round(time.Millisecond))
	return nil
}

// checkReusedID sends two requests with the same id and different bodies, of a class that must not be repeated, and checks
// that the second is refused.
func (s *scenario) checkReusedID(ctx context.Context) error {
	s.reused.customer, s.reused.id = s.otherCustomer(""), client.NewRequestID()
	class, found := s.nonIdempotentClass()
	address, ok := s.load.balancer.nextAddress()
	if !ok || !found {
		return eris.New("no instance is ready, or all request classes are idempotent")
	}
	caller := &client.Caller{Target: client.Target{Addresses: []string{address}}, Customer: s.reused.customer}
	request := client.Request{Class: class, ID: s.reused.id, Body: []byte("first")}
	if _, err := caller.Do(ctx, request); err != nil {
		return eris.Wrap(err, "sending a request that must not be repeated")
	}
	request.Body = []byte("second")
	_, err := caller.Do(ctx, request)
	outcome, reason, message := classifyError(err)
	if outcome != reply.OutcomeRefused {
		s.addViolation("P6", "request %s with another body was %s", s.reused.id, outcome)
	}
	s.printStep("request %s sent again with another body was %s (%s): %s", s.reused.id, outcome, reason, message)
	return nil
}

func (s *scenario) runningOwner(status client.Status) (*instance, model.DataCentreID, bool) {
	for _, inst := range slices.Backward(s.deployment.instances) {
		for _, dc := range status.DataCentres {
			if dc.Owner == inst.id && inst.process.running() && dc.Service == model.ServiceIn {
				return inst, dc.DataCentre, true
			}
		}
	}
	return nil, "", false
}

// refreshOperator replaces the operator client by one for the instances that are running now.
func (s *scenario) refreshOperator(ctx context.Context) error {
	operator, _ := s.deployment.operator()
	s.operator = operator
	return s.awaitOwners(ctx)
}

// checkResults checks the results of all requests and reads the final counters.
func (s *scenario) checkResults(ctx context.Context) error {
	requestRuns, err := s.deployment.requestRuns(ctx)
	if err != nil {
		return err
	}
	for _, text := range append(checkRequests(s.results, requestRuns), checkGracefulStop(s.results, phaseGracefulStop)...) {
		promise, rest, _ := strings.Cut(text, ": ")
		s.addViolation(promise, "%s", rest)
	}
	for _, inst := range s.deployment.instances {
		s.counters.addInstance(ctx, s.deployment, inst)
	}
	return nil
}
