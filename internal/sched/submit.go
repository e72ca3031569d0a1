package sched

import (
	"context"
	"errors"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Limits of a submission.
const (
	maxIDBytes      = 200
	maxPayloadBytes = 256 << 10
)

// Submit stores a new job, or returns the existing record if the same job was submitted before. It can be repeated safely
// with the same id.
func (m *Manager) Submit(ctx context.Context, spec jobs.Spec) (jobs.Record, *reply.Error) {
	record, refused := m.submitJob(ctx, spec)
	if refused != nil && m.Metrics != nil {
		m.Metrics.Refusals.WithLabelValues(string(refused.Reason), string(spec.Class)).Inc()
	}
	return record, refused
}

func (m *Manager) submitJob(ctx context.Context, spec jobs.Spec) (jobs.Record, *reply.Error) {
	config := m.Current()
	if config == nil {
		return jobs.Record{}, reply.Refused(reply.ReasonConfigStale, "no configuration is known yet")
	}
	if m.MaySubmit != nil {
		if refused := m.MaySubmit(); refused != nil {
			return jobs.Record{}, refused
		}
	}
	if refused := validateSpec(config, spec); refused != nil {
		refused.Revision = config.Revision
		return jobs.Record{}, refused
	}
	existing, found, err := m.findRecord(ctx, config, spec.ID)
	if err != nil {
		return jobs.Record{}, storeErrorReply(err)
	}
	if found {
		return existingOrRefused(existing, spec)
	}
	chosen, inService := ChooseDataCentre(config, spec, m.allSummaries(), "")
	if !inService {
		return jobs.Record{}, reply.Refused(reply.ReasonDraining, "no data centre that may run the job is in service")
	}
	if refused := m.checkQueueLimit(config, spec, chosen); refused != nil {
		return jobs.Record{}, refused
	}
	return m.createJob(ctx, config, spec, chosen)
}

// createJob claims the id and stores the record. When the same job is submitted twice concurrently, the claim determines the
// data centre.
func (m *Manager) createJob(ctx context.Context, config *model.Set, spec jobs.Spec, chosen model.DataCentreID) (jobs.Record, *reply.Error) {
	claimed, first, err := m.Jobs.Claim(ctx, spec.ID, chosen)
	if err != nil {
		return jobs.Record{}, storeErrorReply(err)
	}
	if !first {
		// The record may have moved between data centres while findRecord read them.
		existing, found, err := m.findRecord(ctx, config, spec.ID)
		if err != nil {
			return jobs.Record{}, storeErrorReply(err)
		}
		if found {
			return existingOrRefused(existing, spec)
		}
	}
	now := time.Now().UTC()
	record := jobs.Record{
		Spec: spec, State: jobs.StateQueued, DataCentre: claimed, ConfigRevision: config.Revision, SubmittedAt: now,
	}
	record.Note(jobs.Note{At: now, Instance: m.Self.Instance, Action: "submitted", Revision: config.Revision, Inputs: map[string]string{
		"data-centre": string(claimed),
	}})
	stored, err := m.Jobs.Create(ctx, record)
	var changed *jobs.ChangedError
	if errors.As(err, &changed) {
		return existingOrRefused(changed.Current, spec)
	}
	if err != nil {
		return jobs.Record{}, storeErrorReply(err)
	}
	m.notifyOwner(ctx, claimed)
	return stored, nil
}

// existingOrRefused returns the existing record, or refuses a spec that differs from the one stored under its id.
func existingOrRefused(existing jobs.Record, spec jobs.Spec) (jobs.Record, *reply.Error) {
	if !existing.Spec.Equal(spec) {
		return jobs.Record{}, reply.Refused(reply.ReasonIDReused, "job id %q was used for another job", spec.ID)
	}
	return existing, nil
}

// storeErrorReply converts a store error: unknown if a write may have been applied, otherwise refused, which guarantees that
// nothing was written.
func storeErrorReply(err error) *reply.Error {
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) && unavailable.MaybeApplied {
		return reply.Unknown(reply.ReasonInDoubt, "the job may have been stored; submit it again with the same id: %v", err)
	}
	return reply.Refused(reply.ReasonStoreUnavailable, "job records are not available: %v", err)
}

func validateSpec(config *model.Set, spec jobs.Spec) *reply.Error {
	class, classKnown := config.JobClasses[spec.Class]
	_, customerKnown := config.Customers[spec.Customer]
	shape, shapeKnown := config.Shapes[spec.Shape]
	switch {
	case spec.ID == "" || len(spec.ID) > maxIDBytes:
		return reply.Refused(reply.ReasonMalformed, "id must have 1 to %d bytes", maxIDBytes)
	case len(spec.Payload) > maxPayloadBytes:
		return reply.Refused(reply.ReasonTooLarge, "payload must not exceed %d bytes", maxPayloadBytes)
	case spec.RunTime < 0:
		return reply.Refused(reply.ReasonMalformed, "run-time must not be negative")
	case !classKnown:
		return reply.Refused(reply.ReasonUnknownClass, "job class %q does not exist", spec.Class)
	case !customerKnown:
		return reply.Refused(reply.ReasonUnknownCustomer, "customer %q does not exist", spec.Customer)
	case !shapeKnown:
		return reply.Refused(reply.ReasonInvalid, "shape %q does not exist", spec.Shape)
	case len(class.Customers) > 0 && !slices.Contains(class.Customers, spec.Customer):
		return reply.Refused(reply.ReasonNotAllowed, "customer %q may not use job class %q", spec.Customer, spec.Class)
	}
	allowed := AllowedDataCentres(config, spec)
	if spec.DataCentre != "" && !slices.Contains(allowed, spec.DataCentre) {
		return reply.Refused(reply.ReasonNotAllowed, "job class %q may not run in data centre %q", spec.Class, spec.DataCentre)
	}
	if !slices.ContainsFunc(allowed, func(dc model.DataCentreID) bool { return fitsDataCentre(config, dc, spec) }) {
		return reply.Refused(reply.ReasonNeverFits,
			"shape %q (%d tasks of %d accelerators, adjacency %s) fits no data centre that may run class %q, beside the guarantees there",
			spec.Shape, shape.Tasks, shape.AcceleratorsPerTask, shape.Adjacency, spec.Class)
	}
	if quota := config.Customers[spec.Customer].QuotaAccelerators; quota > 0 && shape.Accelerators() > quota {
		return reply.Refused(reply.ReasonNeverFits, "shape %q takes %d accelerators and the quota of customer %q is %d",
			spec.Shape, shape.Accelerators(), spec.Customer, quota)
	}
	return nil
}

// checkQueueLimit refuses a job when its customer has too many queued jobs of the class. Only the owner of the data centre
// knows its queue, so other instances do not check.
func (m *Manager) checkQueueLimit(config *model.Set, spec jobs.Spec, dc model.DataCentreID) *reply.Error {
	owner, found := m.LocalOwner(dc)
	if !found {
		return nil
	}
	limit := config.JobClasses[spec.Class].QueueLimit
	if limit == 0 {
		limit = model.DefaultJobQueueLimit
	}
	if queued := owner.Queued(spec.Customer, spec.Class); queued >= limit {
		return reply.Refused(reply.ReasonQueueFull, "customer %q has %d queued jobs of class %q", spec.Customer, queued, spec.Class)
	}
	return nil
}

// findRecord reads the job's record in each data centre. A record in state moved is returned only if there is no other.
func (m *Manager) findRecord(ctx context.Context, config *model.Set, id model.JobID) (jobs.Record, bool, error) {
	var moved jobs.Record
	found := false
	for _, dc := range sortedDataCentres(config) {
		record, err := m.Jobs.Get(ctx, dc, id)
		var notFound *store.NotFoundError
		switch {
		case errors.As(err, &notFound):
		case err != nil:
			return jobs.Record{}, false, err
		case record.State == jobs.StateMoved:
			moved, found = record, true
		default:
			return record, true, nil
		}
	}
	return moved, found, nil
}

func sortedDataCentres(config *model.Set) []model.DataCentreID {
	var ids []model.DataCentreID
	for dc := range config.DataCentres {
		ids = append(ids, dc)
	}
	slices.Sort(ids)
	return ids
}

// Get returns the record of a job.
func (m *Manager) Get(ctx context.Context, id model.JobID) (jobs.Record, *reply.Error) {
	config := m.Current()
	if config == nil {
		return jobs.Record{}, reply.Refused(reply.ReasonConfigStale, "no configuration is known yet")
	}
	record, found, err := m.findRecord(ctx, config, id)
	if err == nil && !found {
		// The second read finds a record that moved during the first.
		record, found, err = m.findRecord(ctx, config, id)
	}
	if err != nil {
		return jobs.Record{}, reply.Refused(reply.ReasonStoreUnavailable, "job records are not available: %v", err)
	}
	if !found {
		return jobs.Record{}, reply.Refused(reply.ReasonNotFound, "job %q does not exist", id)
	}
	return record, nil
}

// maxCancelAttempts limits the attempts to write a cancel request while other writers change the record.
const maxCancelAttempts = 8

// Cancel requests the cancellation of a job and returns its record. A job that has ended is returned unchanged.
func (m *Manager) Cancel(ctx context.Context, id model.JobID) (jobs.Record, *reply.Error) {
	for range maxCancelAttempts {
		record, refused := m.Get(ctx, id)
		if refused != nil || record.State.Ended() || record.CancelRequested {
			return record, refused
		}
		record.CancelRequested = true
		record.Note(jobs.Note{At: time.Now().UTC(), Instance: m.Self.Instance, Action: "cancel-requested"})
		stored, err := m.Jobs.Update(ctx, record)
		var changed *jobs.ChangedError
		if errors.As(err, &changed) {
			continue
		}
		if err != nil {
			return jobs.Record{}, storeErrorReply(err)
		}
		m.notifyOwner(ctx, stored.DataCentre)
		return stored, nil
	}
	return jobs.Record{}, reply.Refused(reply.ReasonConflict, "job %q changes too often to be cancelled now", id)
}

// List returns the records of all data centres, ordered by data centre and id.
func (m *Manager) List(ctx context.Context) ([]jobs.Record, error) {
	config := m.Current()
	if config == nil {
		return nil, reply.Refused(reply.ReasonConfigStale, "no configuration is known yet")
	}
	var all []jobs.Record
	for _, dc := range sortedDataCentres(config) {
		records, err := m.Jobs.List(ctx, dc)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}
