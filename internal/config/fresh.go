package config

import (
	"time"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Level tells how far the configuration in effect can be relied on.
type Level string

// Levels of freshness.
const (
	// LevelConfirmed means that the revision in effect was proved to be the head within Lifetime.
	LevelConfirmed Level = "confirmed"
	// LevelAgreed means that most known members were heard within Lifetime and none has a newer revision.
	LevelAgreed Level = "agreed"
	// LevelStale means that nothing may start.
	LevelStale Level = "stale"
)

// view is one consistent look at a follower.
type view struct {
	set       *model.Set
	revision  model.Revision
	age       time.Duration
	confirmed bool
}

func (f *Follower) view() view {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	v := view{set: f.set, revision: f.head.Revision}
	if f.set != nil && !f.confirmed.IsZero() {
		v.age = now.Sub(f.confirmed)
		v.confirmed = f.fresh(v.age)
	}
	return v
}

// Level returns the level now.
func (f *Follower) Level() Level { return f.level(f.view()) }

func (f *Follower) level(v view) Level {
	switch {
	case v.confirmed:
		return LevelConfirmed
	case f.agreed(v):
		return LevelAgreed
	default:
		return LevelStale
	}
}

// Confirmation returns the revision in effect, the time since it was proved to be the head, and whether that still holds.
func (f *Follower) Confirmation() (model.Revision, time.Duration, bool) {
	v := f.view()
	return v.revision, v.age, v.confirmed
}

// Ready reports whether a configuration is in effect and no newer one is known of.
func (f *Follower) Ready() bool { return f.upToDate() }

// MayStartTask refuses to start a task in a data centre unless that is proved to be in service.
func (f *Follower) MayStartTask(dc model.DataCentreID) *reply.Error {
	v := f.view()
	if !v.confirmed {
		return stale(v, f.level(v))
	}
	return inService(v.set, dc)
}

// MaySend refuses to send a request to an endpoint of a data centre. At level agreed, only idempotent requests are sent.
func (f *Follower) MaySend(dc model.DataCentreID, idempotent bool) *reply.Error {
	v := f.view()
	level := f.level(v)
	if level != LevelConfirmed && (level != LevelAgreed || !idempotent) {
		return stale(v, level)
	}
	return inService(v.set, dc)
}

func stale(v view, level Level) *reply.Error {
	refused := reply.Refused(reply.ReasonConfigStale, "the configuration is %s, not confirmed within %s", level, Lifetime)
	refused.Revision = v.revision
	refused.RetryAfter = model.Duration(time.Second)
	return refused
}

func inService(set *model.Set, dc model.DataCentreID) *reply.Error {
	dataCentre, found := set.DataCentres[dc]
	switch {
	case !found:
		refused := reply.Refused(reply.ReasonNotFound, "data centre %q does not exist", dc)
		refused.Revision = set.Revision
		return refused
	case dataCentre.Service != model.ServiceIn:
		refused := reply.Refused(reply.ReasonDraining, "data centre %q is out of service", dc)
		refused.Revision = set.Revision
		return refused
	}
	return nil
}

func (f *Follower) fresh(age time.Duration) bool {
	if f.Fresh != nil {
		return f.Fresh(age)
	}
	return age <= Lifetime
}

// agreed reports whether more than half of the known members were heard and none has a newer revision.
func (f *Follower) agreed(v view) bool {
	if v.set == nil || f.Members == nil {
		return false
	}
	known := len(f.Members.Known())
	reports := f.Members.Reports(Lifetime)
	if known == 0 || 2*(1+len(reports)) <= known {
		return false
	}
	for _, report := range reports {
		if report.Revision > v.revision {
			return false
		}
	}
	return true
}
