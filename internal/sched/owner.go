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

// Owner schedules the jobs of one data centre for as long as one fencing token is held. Run is called once; the other
// exported methods except Unstored are safe for concurrent use.
type Owner struct {
	DataCentre model.DataCentreID
	Instance   model.InstanceID
	Token      model.Token
	// Valid reports whether the ownership with this token is held now.
	Valid func() bool
	// MayStart is the check of the configuration before each start of a task.
	MayStart func() *reply.Error
	Config   func() *model.Set
	Workers  func() []WorkerVM
	// Loads returns the summaries of all data centres.
	Loads      func() []LoadSummary
	Jobs       *jobs.RecordStore
	Worker     *worker.Client
	Record     func(Event)
	Tuning     Tuning
	Options    place.Options
	TimeLimits gang.TimeLimits
	// StartAndUndo is the gang driver's variant without reservations.
	StartAndUndo bool
	Log          zerolog.Logger
	Metrics      *metric.Set

	// Inherited are the final records that an earlier owner on this instance could not store.
	Inherited []jobs.Record

	// core is used only by the goroutine of Run; other goroutines send it functions through events.
	core         *Core
	gang         *gang.Driver
	events       chan func(now time.Time)
	writeLimiter *rate.Limiter
	wake         chan struct{}
	// background counts the goroutines that Run waits for before it returns.
	background sync.WaitGroup
	// mu guards the fields below, which Run publishes for other goroutines.
	mu            sync.Mutex
	addresses     map[model.WorkerID]string
	summary       LoadSummary
	fragmentation float64
	// unboundCopies is the number of guaranteed copies that cannot be bound.
	unboundCopies int
	// silentMember is true when a running gang has a member that does not answer.
	silentMember bool
	queuedJobs   map[queueKey]int
}

type queueKey struct {
	customer model.CustomerID
	class    model.JobClassID
}

// LostError reports that the data centre was taken over with a higher fencing token.
type LostError struct {
	DataCentre model.DataCentreID
	Cause      string
}

// Error names the data centre and the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("ownership of data centre %q is lost: %s", e.DataCentre, e.Cause)
}

// Rate limit of the writes that neither start nor move a job, so that many cancelled or ended jobs at once leave store capacity
// for other work. The store sustains several hundred writes/s in all.
const (
	writesPerSecond = 100
	writeBurst      = 50
)

const (
	// watchTimeout is the longest time that one watch call waits for changes.
	watchTimeout = 30 * time.Second
	// followRetryDelay is the pause after reading the records failed.
	followRetryDelay = time.Second
)

// Run takes over the data centre and schedules its jobs until ctx ends or the ownership is lost, which returns a LostError.
// It waits for gang starts in flight, so that a hand-over leaves no gang partly started.
func (o *Owner) Run(ctx context.Context) error {
	o.events = make(chan func(time.Time), 256)
	if o.wake == nil {
		o.wake = make(chan struct{}, 1)
	}
	o.writeLimiter = rate.NewLimiter(writesPerSecond, writeBurst)
	o.core = NewCore(o.DataCentre, o.Instance, o.Token, o.Config(), o.Tuning, o.Options)
	o.gang = &gang.Driver{
		Worker: o.Worker, Record: o.storeRecord, Address: o.workerAddress, MayStart: o.checkStart, TimeLimits: o.TimeLimits,
		StartAndUndo: o.StartAndUndo, Log: o.Log, Metrics: o.Metrics,
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer o.background.Wait()
	defer cancel()
	revision, err := o.takeOver(runCtx)
	if err != nil {
		return err
	}
	o.background.Add(1)
	go o.followRecords(runCtx, revision)
	return o.runLoop(runCtx)
}

// Unstored returns the final records that were decided but not stored. It must be called only after Run has returned.
func (o *Owner) Unstored() []jobs.Record {
	if o.core == nil {
		return nil
	}
	return o.core.Unstored()
}

// Wake requests a pass; it does not block.
func (o *Owner) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// LoadSummary returns the load as of the last pass; it is zero before the first pass.
func (o *Owner) LoadSummary() LoadSummary {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.summary
}

// Fragmentation returns the share of unusable free accelerators as of the last pass.
func (o *Owner) Fragmentation() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fragmentation
}

// Unbound returns the number of guaranteed copies that cannot be bound to usable workers, as of the last pass.
func (o *Owner) Unbound() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unboundCopies
}

// HasSilentMember reports whether a running gang has a member on a worker that does not answer, as of the last pass.
func (o *Owner) HasSilentMember() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.silentMember
}

// Queued returns the number of queued jobs of a customer in a class as of the last pass.
func (o *Owner) Queued(customer model.CustomerID, class model.JobClassID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedJobs[queueKey{customer: customer, class: class}]
}

func (o *Owner) checkStart() *reply.Error {
	if !o.Valid() {
		return reply.Refused(reply.ReasonConfigStale, "ownership of data centre %q is not valid", o.DataCentre)
	}
	return o.MayStart()
}

// takeOver raises the fencing token on every worker, so that late messages of an earlier owner are refused, and then
// rebuilds the state of Core from the records and the workers' answers.
func (o *Owner) takeOver(ctx context.Context) (store.Revision, error) {
	o.core.InheritEnds(o.Inherited)
	o.core.SetWorkers(o.Workers())
	o.core.loads = o.Loads()
	o.copyAddresses()
	now := time.Now()
	o.core.refreshWorkers(now)
	o.fenceWorkers(ctx)
	page, err := o.Jobs.ListAt(ctx, o.DataCentre)
	if err != nil {
		return 0, eris.Wrapf(err, "taking over data centre %q", o.DataCentre)
	}
	for _, record := range page.Records {
		o.core.ApplyRecord(record, time.Now())
	}
	o.core.restoreCluster()
	o.Log.Info().Str("data-centre", string(o.DataCentre)).Uint64("token", uint64(o.Token)).Int("jobs", len(o.core.entries)).
		Msg("sched: data centre taken over")
	return page.Revision, nil
}

// fenceWorkers sends the token to every worker and marks those that do not answer as silent.
func (o *Owner) fenceWorkers(ctx context.Context) {
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

// runLoop processes events and runs passes: after events that may need a decision, and at least every Tuning.Pass.
func (o *Owner) runLoop(ctx context.Context) error {
	runPass := time.NewTicker(o.Tuning.Pass)
	defer runPass.Stop()
	renewLeases := time.NewTicker(minRenewInterval)
	defer renewLeases.Stop()
	o.runPass(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-o.events:
			o.applyEvents(event)
			if o.core.Dirty() {
				o.runPass(ctx)
			}
		case <-o.wake:
			o.runPass(ctx)
		case <-runPass.C:
			o.runPass(ctx)
		case <-renewLeases.C:
			for _, due := range o.core.Renewals(time.Now()) {
				o.renewLeases(ctx, due)
			}
		}
		if cause := o.core.LostCause(); cause != "" {
			return &LostError{DataCentre: o.DataCentre, Cause: cause}
		}
	}
}

// applyEvents runs an event and all events queued behind it, so that many results need only one pass.
func (o *Owner) applyEvents(event func(time.Time)) {
	event(time.Now())
	for range len(o.events) {
		(<-o.events)(time.Now())
	}
}

func (o *Owner) runPass(ctx context.Context) {
	if config := o.Config(); config != nil {
		o.core.SetConfig(config)
	}
	o.core.SetWorkers(o.Workers())
	o.core.loads = o.Loads()
	o.copyAddresses()
	o.core.RunPass(time.Now(), o.Valid())
	for _, action := range o.core.TakeActions() {
		o.executeAction(ctx, action)
	}
	o.mu.Lock()
	o.summary, o.fragmentation, o.queuedJobs = o.core.LoadSummary(), o.core.Fragmentation(), o.core.queueLengths()
	o.unboundCopies, o.silentMember = len(o.core.Unbound()), o.core.hasSilentMember()
	o.mu.Unlock()
}

// copyAddresses copies the workers' addresses for use by other goroutines.
func (o *Owner) copyAddresses() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.addresses == nil {
		o.addresses = map[model.WorkerID]string{}
	}
	for id, h := range o.core.workers {
		o.addresses[id] = h.vm.Address
	}
}

func (o *Owner) workerAddress(id model.WorkerID) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	workerAddress, found := o.addresses[id]
	return workerAddress, found
}

// runAsync runs fn in its own goroutine and posts the function that it returns, if any, to the loop.
func (o *Owner) runAsync(ctx context.Context, fn func(context.Context) func(now time.Time)) {
	o.background.Add(1)
	go func() {
		defer o.background.Done()
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

func (o *Owner) renewLeases(ctx context.Context, due Renewal) {
	sentAt := time.Now()
	o.runAsync(ctx, func(ctx context.Context) func(time.Time) {
		status, err := o.Worker.Renew(ctx, due.Address, due.Message)
		return func(now time.Time) { o.core.Renewed(due, status, err, sentAt, now) }
	})
}

// followRecords watches the data centre's records, and lists them every Tuning.List because a watch can miss changes.
func (o *Owner) followRecords(ctx context.Context, revision store.Revision) {
	defer o.background.Done()
	listedAt := time.Now()
	for ctx.Err() == nil {
		page, err := jobs.Page{Partial: true}, error(nil)
		if time.Since(listedAt) < o.Tuning.List {
			page, err = o.Jobs.Watch(ctx, o.DataCentre, revision, min(watchTimeout, o.Tuning.List))
		}
		if err == nil && page.Partial {
			page, err = o.Jobs.ListAt(ctx, o.DataCentre)
			listedAt = time.Now()
		}
		if err != nil {
			if ctx.Err() == nil {
				o.Log.Warn().Err(err).Str("data-centre", string(o.DataCentre)).Msg("sched: following job records failed")
			}
			if clock.Sleep(ctx, followRetryDelay) != nil {
				return
			}
			continue
		}
		revision = page.Revision
		if len(page.Records)+len(page.Removed) == 0 {
			continue
		}
		o.postEvent(ctx, func(now time.Time) {
			for _, record := range page.Records {
				o.core.ApplyRecord(record, now)
			}
			for _, id := range page.Removed {
				o.core.RemoveRecord(id)
			}
		})
	}
}

func (o *Owner) postEvent(ctx context.Context, event func(time.Time)) {
	select {
	case o.events <- event:
	case <-ctx.Done():
	}
}

// executeAction executes an action. Starts and stops run to their end even when ctx ends.
func (o *Owner) executeAction(ctx context.Context, action Action) {
	id, record := action.Job, action.Record
	switch action.Kind {
	case ActionStart:
		o.runAsync(ctx, func(ctx context.Context) func(time.Time) {
			stored, err := o.gang.Start(context.WithoutCancel(ctx), record)
			return func(now time.Time) { o.core.Started(id, stored, err, now) }
		})
	case ActionRecover:
		o.runAsync(ctx, func(ctx context.Context) func(time.Time) {
			stored, err := o.gang.Recover(context.WithoutCancel(ctx), record)
			return func(now time.Time) { o.core.Started(id, stored, err, now) }
		})
	case ActionStop:
		if o.Metrics != nil {
			o.Metrics.GangStops.WithLabelValues(string(action.Cause)).Inc()
		}
		o.runAsync(ctx, func(ctx context.Context) func(time.Time) {
			outcome := o.gang.Stop(context.WithoutCancel(ctx), record, action.Mode, action.Within)
			return func(now time.Time) { o.core.Stopped(id, outcome, now) }
		})
	case ActionWrite:
		o.runAsync(ctx, func(ctx context.Context) func(time.Time) {
			if err := o.writeLimiter.Wait(ctx); err != nil {
				return nil
			}
			stored, err := o.storeRecord(ctx, record)
			return func(now time.Time) { o.core.Written(id, stored, err, now) }
		})
	case ActionMove, ActionCompleteMove, ActionRead:
		o.runAsync(ctx, func(ctx context.Context) func(time.Time) { return o.executeTransfer(ctx, action) })
	case ActionEvent:
		o.Record(action.Event)
	}
}

// executeTransfer executes ActionMove, ActionCompleteMove and ActionRead, and returns the event that reports the result to Core.
func (o *Owner) executeTransfer(ctx context.Context, action Action) func(time.Time) {
	switch action.Kind {
	case ActionMove:
		note := jobs.Note{At: time.Now().UTC(), Instance: o.Instance, Action: noteMoved, Reason: string(action.Cause), Inputs: map[string]string{
			"from": string(o.DataCentre), "to": string(action.To),
		}}
		if config := o.Config(); config != nil {
			note.Revision = config.Revision
		}
		if !o.Valid() {
			return func(now time.Time) { o.core.Moved(action.Job, errOwnershipInvalid, now) }
		}
		_, err := o.Jobs.Move(ctx, action.Record, action.To, note)
		return func(now time.Time) { o.core.Moved(action.Job, err, now) }
	case ActionCompleteMove:
		_, err := o.Jobs.CompleteMove(ctx, action.Record)
		return func(now time.Time) { o.core.Moved(action.Job, err, now) }
	default:
		record, err := o.Jobs.Get(ctx, o.DataCentre, action.Job)
		var notFound *store.NotFoundError
		if err != nil && !errors.As(err, &notFound) {
			return nil
		}
		return func(now time.Time) { o.core.RecordRead(action.Job, record, err == nil, now) }
	}
}

var errOwnershipInvalid = errors.New("ownership is not valid")

// storeRecord writes a record with the owner's token. The only other writer of a record sets its cancel request; then the
// request is merged and the write repeated, except for a decision to start, which a cancel request must prevent.
func (o *Owner) storeRecord(ctx context.Context, record jobs.Record) (jobs.Record, error) {
	for attempt := 1; ; attempt++ {
		if !o.Valid() {
			return jobs.Record{}, errOwnershipInvalid
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
