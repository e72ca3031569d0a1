package sched

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/gang"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Owner runs the loop of one data centre for as long as one fencing token is held.
type Owner struct {
	DataCentre model.DataCentreID
	Instance   model.InstanceID
	Token      model.Token
	// Valid reports whether the ownership with this token is held now.
	Valid func() bool
	// MayStart is the configuration's last check before each start.
	MayStart func() *reply.Error
	Config   func() *model.Set
	Workers  func() []WorkerVM
	// Loads returns the summaries of all data centres.
	Loads   func() []Summary
	Jobs    *jobs.Book
	Worker  *worker.Client
	Record  func(Event)
	Tuning  Tuning
	Options place.Options
	Times   gang.Times
	// StartAndUndo is the gang driver's variant without reservations.
	StartAndUndo bool
	Log          zerolog.Logger
	Metrics      *metric.Set

	// Inherited are the ends of jobs that an earlier owner of this instance could not store.
	Inherited []jobs.Record

	core   *Core
	gang   *gang.Driver
	events chan func(now time.Time)
	writes *rate.Limiter
	wake   chan struct{}
	work   sync.WaitGroup
	mu     sync.Mutex
	addr   map[model.WorkerID]string
	sum    Summary
	frag   float64
	// unbound is the number of guaranteed copies that cannot be bound.
	unbound int
	// silent is whether a running gang has a member that does not answer.
	silent bool
	queued map[queueKey]int
}

type queueKey struct {
	customer model.CustomerID
	class    model.JobClassID
}

// LostError reports that another instance has taken the data centre over.
type LostError struct {
	DataCentre model.DataCentreID
	Cause      string
}

// Error names the data centre and the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("ownership of data centre %q is lost: %s", e.DataCentre, e.Cause)
}

// Limits of the writes that neither start nor move a job, per second and at once, so that a wave of cancels or ends leaves
// the store room for other work; it sustains several hundred writes/s in all.
const (
	writeRate  = 100
	writeBurst = 50
)

const (
	// watchWait is how long one watch waits for changed records.
	watchWait = 30 * time.Second
	// followRetry is the pause after the records could not be read.
	followRetry = time.Second
)

// Run takes the data centre over and makes its decisions until ctx ends or the ownership is lost (LostError). Gangs that
// are being started are finished first, so that a hand-over leaves none half started.
func (o *Owner) Run(ctx context.Context) error {
	o.events = make(chan func(time.Time), 256)
	if o.wake == nil {
		o.wake = make(chan struct{}, 1)
	}
	o.writes = rate.NewLimiter(writeRate, writeBurst)
	o.core = NewCore(o.DataCentre, o.Instance, o.Token, o.Config(), o.Tuning, o.Options)
	o.gang = &gang.Driver{
		Worker: o.Worker, Record: o.store, Address: o.address, MayStart: o.mayStart, Times: o.Times,
		StartAndUndo: o.StartAndUndo, Log: o.Log, Metrics: o.Metrics,
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer o.work.Wait()
	defer cancel()
	revision, err := o.takeOver(runCtx)
	if err != nil {
		return err
	}
	o.work.Add(1)
	go o.follow(runCtx, revision)
	return o.loop(runCtx)
}

// Unstored lists the ends of jobs that were decided but not stored; it is called after Run has returned.
func (o *Owner) Unstored() []jobs.Record {
	if o.core == nil {
		return nil
	}
	return o.core.Unstored()
}

// Wake makes the next pass due now.
func (o *Owner) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Summary returns the load as of the last pass.
func (o *Owner) Summary() Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sum
}

// Fragmentation returns the share of unusable free accelerators as of the last pass.
func (o *Owner) Fragmentation() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.frag
}

// Unbound returns the number of guaranteed copies that cannot be bound to usable workers, as of the last pass.
func (o *Owner) Unbound() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unbound
}

// SilentMember reports whether a running gang has a member on a worker that does not answer, as of the last pass.
func (o *Owner) SilentMember() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.silent
}

// Queued returns the number of queued jobs of a customer in a class as of the last pass.
func (o *Owner) Queued(customer model.CustomerID, class model.JobClassID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queued[queueKey{customer: customer, class: class}]
}

func (o *Owner) mayStart() *reply.Error {
	if !o.Valid() {
		return reply.Refused(reply.ReasonConfigStale, "ownership of data centre %q is not valid", o.DataCentre)
	}
	return o.MayStart()
}

// takeOver raises the fencing token on every worker, so that late messages of an earlier owner are refused, and then
// rebuilds the state from the records and the workers' answers.
func (o *Owner) takeOver(ctx context.Context) (store.Revision, error) {
	o.core.Inherit(o.Inherited)
	o.core.SetWorkers(o.Workers())
	o.core.loads = o.Loads()
	o.shareAddresses()
	now := time.Now()
	o.core.refreshWorkers(now)
	o.fence(ctx)
	page, err := o.Jobs.ListAt(ctx, o.DataCentre)
	if err != nil {
		return 0, eris.Wrapf(err, "taking over data centre %q", o.DataCentre)
	}
	for _, record := range page.Records {
		o.core.Seen(record, time.Now())
	}
	o.core.restore()
	o.Log.Info().Str("data-centre", string(o.DataCentre)).Uint64("token", uint64(o.Token)).Int("jobs", len(o.core.entries)).
		Msg("sched: data centre taken over")
	return page.Revision, nil
}

func (o *Owner) fence(ctx context.Context) {
	var group sync.WaitGroup
	limit := make(chan struct{}, 128)
	sentAt := time.Now()
	answers := make([]error, len(o.core.Workers()))
	for i, id := range o.core.Workers() {
		address, _ := o.core.Address(id)
		group.Add(1)
		limit <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-limit }()
			_, answers[i] = o.Worker.Renew(ctx, address, worker.Renew{
				DataCentre: o.DataCentre, Token: o.Token, Jobs: []model.JobID{}, LeaseMs: o.Tuning.Lease.Milliseconds(),
			})
		}()
	}
	group.Wait()
	for i, id := range o.core.Workers() {
		if answers[i] != nil {
			o.core.Renewed(Renewal{Worker: id}, worker.Status{}, answers[i], sentAt, time.Now())
		}
	}
}

// loop runs events and passes. Passes follow events at once, and otherwise come every Tuning.Pass.
func (o *Owner) loop(ctx context.Context) error {
	pass := time.NewTicker(o.Tuning.Pass)
	defer pass.Stop()
	renew := time.NewTicker(endCheckMin)
	defer renew.Stop()
	o.pass(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-o.events:
			o.apply(event)
			if o.core.Dirty() {
				o.pass(ctx)
			}
		case <-o.wake:
			o.pass(ctx)
		case <-pass.C:
			o.pass(ctx)
		case <-renew.C:
			for _, due := range o.core.Renewals(time.Now()) {
				o.renew(ctx, due)
			}
		}
		if cause := o.core.Lost(); cause != "" {
			return &LostError{DataCentre: o.DataCentre, Cause: cause}
		}
	}
}

// apply runs an event and those that wait behind it, so that many results cost one pass.
func (o *Owner) apply(event func(time.Time)) {
	event(time.Now())
	for range len(o.events) {
		(<-o.events)(time.Now())
	}
}

func (o *Owner) pass(ctx context.Context) {
	if set := o.Config(); set != nil {
		o.core.SetConfig(set)
	}
	o.core.SetWorkers(o.Workers())
	o.core.loads = o.Loads()
	o.shareAddresses()
	o.core.Pass(time.Now(), o.Valid())
	for _, action := range o.core.Take() {
		o.execute(ctx, action)
	}
	o.mu.Lock()
	o.sum, o.frag, o.queued = o.core.Summary(), o.core.Fragmentation(), o.core.queueLengths()
	o.unbound, o.silent = len(o.core.Unbound()), o.core.silentMember()
	o.mu.Unlock()
}

// shareAddresses copies the workers' addresses for the goroutines that call them.
func (o *Owner) shareAddresses() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.addr == nil {
		o.addr = map[model.WorkerID]string{}
	}
	for id, h := range o.core.workers {
		o.addr[id] = h.vm.Address
	}
}

func (o *Owner) address(id model.WorkerID) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	address, found := o.addr[id]
	return address, found
}

// spawn runs fn outside the loop and hands its result to the loop.
func (o *Owner) spawn(ctx context.Context, fn func(context.Context) func(now time.Time)) {
	o.work.Add(1)
	go func() {
		defer o.work.Done()
		event := fn(ctx)
		if event == nil {
			return
		}
		select {
		case o.events <- event:
		case <-ctx.Done():
		}
	}()
}

func (o *Owner) renew(ctx context.Context, due Renewal) {
	sentAt := time.Now()
	o.spawn(ctx, func(ctx context.Context) func(time.Time) {
		status, err := o.Worker.Renew(ctx, due.Address, due.Message)
		return func(now time.Time) { o.core.Renewed(due, status, err, sentAt, now) }
	})
}

// follow watches the data centre's records, and lists them now and then because a watch can miss changes.
func (o *Owner) follow(ctx context.Context, revision store.Revision) {
	defer o.work.Done()
	listed := time.Now()
	for ctx.Err() == nil {
		page, err := jobs.Page{Partial: true}, error(nil)
		if time.Since(listed) < o.Tuning.List {
			page, err = o.Jobs.Watch(ctx, o.DataCentre, revision, min(watchWait, o.Tuning.List))
		}
		if err == nil && page.Partial {
			page, err = o.Jobs.ListAt(ctx, o.DataCentre)
			listed = time.Now()
		}
		if err != nil {
			if ctx.Err() == nil {
				o.Log.Warn().Err(err).Str("data-centre", string(o.DataCentre)).Msg("sched: records are not followed")
			}
			if clock.Sleep(ctx, followRetry) != nil {
				return
			}
			continue
		}
		revision = page.Revision
		if len(page.Records)+len(page.Removed) == 0 {
			continue
		}
		o.post(ctx, func(now time.Time) {
			for _, record := range page.Records {
				o.core.Seen(record, now)
			}
			for _, id := range page.Removed {
				o.core.Gone(id)
			}
		})
	}
}

func (o *Owner) post(ctx context.Context, event func(time.Time)) {
	select {
	case o.events <- event:
	case <-ctx.Done():
	}
}

// execute carries an action out. Starts and stops are finished even when ctx ends.
func (o *Owner) execute(ctx context.Context, action Action) {
	id, record := action.Job, action.Record
	switch action.Kind {
	case ActionStart:
		o.spawn(ctx, func(ctx context.Context) func(time.Time) {
			stored, err := o.gang.Start(context.WithoutCancel(ctx), record)
			return func(now time.Time) { o.core.Started(id, stored, err, now) }
		})
	case ActionRecover:
		o.spawn(ctx, func(ctx context.Context) func(time.Time) {
			stored, err := o.gang.Recover(context.WithoutCancel(ctx), record)
			return func(now time.Time) { o.core.Started(id, stored, err, now) }
		})
	case ActionStop:
		if o.Metrics != nil {
			o.Metrics.GangStops.WithLabelValues(string(action.Cause)).Inc()
		}
		o.spawn(ctx, func(ctx context.Context) func(time.Time) {
			outcome := o.gang.Stop(context.WithoutCancel(ctx), record, action.Mode, action.Within)
			return func(now time.Time) { o.core.Stopped(id, outcome, now) }
		})
	case ActionWrite:
		o.spawn(ctx, func(ctx context.Context) func(time.Time) {
			if err := o.writes.Wait(ctx); err != nil {
				return nil
			}
			stored, err := o.store(ctx, record)
			return func(now time.Time) { o.core.Written(id, stored, err, now) }
		})
	case ActionMove, ActionCompleteMove, ActionRead:
		o.spawn(ctx, func(ctx context.Context) func(time.Time) { return o.transfer(ctx, action) })
	case ActionEvent:
		o.Record(action.Event)
	}
}

// transfer executes moves and reads.
func (o *Owner) transfer(ctx context.Context, action Action) func(time.Time) {
	switch action.Kind {
	case ActionMove:
		note := jobs.Note{At: time.Now().UTC(), Instance: o.Instance, Action: noteMoved, Reason: string(action.Cause), Inputs: map[string]string{
			"from": string(o.DataCentre), "to": string(action.To),
		}}
		if set := o.Config(); set != nil {
			note.Revision = set.Revision
		}
		if !o.Valid() {
			return func(now time.Time) { o.core.Moved(action.Job, errNotValid, now) }
		}
		_, err := o.Jobs.Move(ctx, action.Record, action.To, note)
		return func(now time.Time) { o.core.Moved(action.Job, err, now) }
	case ActionCompleteMove:
		_, err := o.Jobs.CompleteMove(ctx, action.Record)
		return func(now time.Time) { o.core.Moved(action.Job, err, now) }
	default:
		record, err := o.Jobs.Get(ctx, o.DataCentre, action.Job)
		var gone *store.NotFoundError
		if err != nil && !errors.As(err, &gone) {
			return nil
		}
		return func(now time.Time) { o.core.Read(action.Job, record, err == nil, now) }
	}
}

var errNotValid = errors.New("ownership is not valid")

// store writes a record with the owner's token. The only other writer of a record marks it cancelled; such a mark is
// taken over and the write repeated, except for the decision to start, which a mark must stop.
func (o *Owner) store(ctx context.Context, record jobs.Record) (jobs.Record, error) {
	for attempt := 1; ; attempt++ {
		if !o.Valid() {
			return jobs.Record{}, errNotValid
		}
		stored, err := o.Jobs.Update(ctx, record)
		var changed *jobs.ChangedError
		if !errors.As(err, &changed) {
			return stored, err
		}
		current := changed.Current
		if current.Token > o.Token || current.Version == 0 || current.State.Ended() || attempt == 3 || record.State == jobs.StateStarting {
			return jobs.Record{}, err
		}
		record.Version = current.Version
		if current.CancelRequested && !record.CancelRequested {
			record.CancelRequested = true
			record.Note(current.History[len(current.History)-1])
		}
	}
}
