package config

import (
	"time"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Level is the freshness of the configuration in effect.
type Level string

// Levels of freshness.
const (
	// LevelConfirmed means that the revision in effect was proved to be the head within ConfirmationLifetime.
	LevelConfirmed Level = "confirmed"
	// LevelAgreed means that most known members reported within ConfirmationLifetime and none has a newer revision.
	LevelAgreed Level = "agreed"
	// LevelStale means that neither of these holds, so nothing may start.
	LevelStale Level = "stale"
)

// followerState is a consistent copy of a follower's state.
type followerState struct {
	set       *model.Set
	revision  model.Revision
	age       time.Duration // since the revision was proved to be the head
	confirmed bool
}

func (f *Follower) followerState() followerState {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	state := followerState{set: f.set, revision: f.head.Revision}
	if f.set != nil && !f.confirmed.IsZero() {
		state.age = now.Sub(f.confirmed)
		state.confirmed = f.confirmationValid(state.age)
	}
	return state
}

// Level returns the present level of freshness.
func (f *Follower) Level() Level { return f.level(f.followerState()) }

func (f *Follower) level(state followerState) Level {
	switch {
	case state.confirmed:
		return LevelConfirmed
	case f.peersAgree(state):
		return LevelAgreed
	default:
		return LevelStale
	}
}

// Confirmation returns the revision in effect, the time since it was proved to be the head, and whether that proof is
// still valid.
func (f *Follower) Confirmation() (model.Revision, time.Duration, bool) {
	state := f.followerState()
	return state.revision, state.age, state.confirmed
}

// Ready reports whether a configuration is in effect and no newer revision is known.
func (f *Follower) Ready() bool { return f.upToDate() }

// MayStartTask returns nil if a task may start in a data centre, and a refusal unless the data centre is confirmed to be in service.
func (f *Follower) MayStartTask(dc model.DataCentreID) *reply.Error {
	state := f.followerState()
	if !state.confirmed {
		return staleError(state, f.level(state))
	}
	return checkInService(state.set, dc)
}

// CheckSend returns nil if a request may be sent to an endpoint of a data centre, and a refusal otherwise. At LevelAgreed only
// idempotent requests may be sent, and at LevelStale none.
func (f *Follower) CheckSend(dc model.DataCentreID, idempotent bool) *reply.Error {
	state := f.followerState()
	level := f.level(state)
	if level != LevelConfirmed && (level != LevelAgreed || !idempotent) {
		return staleError(state, level)
	}
	return checkInService(state.set, dc)
}

func staleError(state followerState, level Level) *reply.Error {
	refused := reply.Refused(reply.ReasonConfigStale, "the configuration is %s, not confirmed within %s", level, ConfirmationLifetime)
	refused.Revision = state.revision
	refused.RetryAfter = model.Duration(time.Second)
	return refused
}

// checkInService refuses a data centre that does not exist or is out of service.
func checkInService(set *model.Set, dc model.DataCentreID) *reply.Error {
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

// confirmationValid reports whether a confirmation of the given age is still valid.
func (f *Follower) confirmationValid(age time.Duration) bool {
	if f.ConfirmationValid != nil {
		return f.ConfirmationValid(age)
	}
	return age <= ConfirmationLifetime
}

// peersAgree reports whether more than half of the known members, this one included, reported within ConfirmationLifetime and none has
// a newer revision.
func (f *Follower) peersAgree(state followerState) bool {
	if state.set == nil || f.Members == nil {
		return false
	}
	known := len(f.Members.Known())
	reports := f.Members.Reports(ConfirmationLifetime)
	if known == 0 || 2*(1+len(reports)) <= known {
		return false
	}
	for _, report := range reports {
		if report.Revision > state.revision {
			return false
		}
	}
	return true
}
