package opsapi

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

const (
	// maxServiceAttempts bounds how often a new service state is published; each attempt after a conflict starts from a newer
	// revision.
	maxServiceAttempts = 5
	// memberPollInterval is the interval between two checks of the members' revisions, and memberListInterval between two
	// listings of the members from the store.
	memberPollInterval = 50 * time.Millisecond
	memberListInterval = time.Second
)

// serviceBody is the optional body of POST /v1/data-centres/<name>/out and in.
type serviceBody struct {
	// ID makes a repeat of the call safe; without it the instance chooses one.
	ID model.ChangeID `json:"change-id"`
	// Wait bounds the wait for members; zero means Server.MembersWait.
	Wait model.Duration `json:"wait"`
}

// serviceAnswer is the answer to a change of a data centre's service state; it states which members have the revision.
type serviceAnswer struct {
	config.Result
	DataCentre model.DataCentreID `json:"data-centre"`
	Service    model.ServiceState `json:"service"`
	// Complete is true when no member is missing.
	Complete bool `json:"complete"`
	// InEffect names the members that have the revision, Left those whose membership ended during the wait, and Missing
	// those that did not report the revision in time.
	InEffect []model.InstanceID `json:"in-effect"`
	Left     []model.InstanceID `json:"left,omitempty"`
	Missing  []model.InstanceID `json:"missing,omitempty"`
}

// serviceHandler returns the handler that takes a data centre out of service or puts it into service: it publishes an ordinary
// change and waits until the members have it.
func (s *Server) serviceHandler(state model.ServiceState) handler {
	return func(ctx context.Context, req request) (answer, *reply.Error) {
		if refused := checkQuery(req); refused != nil {
			return answer{}, refused
		}
		var body serviceBody
		if refused := decodeBody(req, &body, true); refused != nil {
			return answer{}, refused
		}
		wait := cmp.Or(body.Wait.Std(), s.MembersWait, DefaultMembersWait)
		if wait < 0 || wait > MaxMembersWait {
			return answer{}, reply.Refused(reply.ReasonMalformed, "wait %s is not between 0s and %s", wait, MaxMembersWait)
		}
		name := model.DataCentreID(req.PathValue("name"))
		result, refused := s.setService(ctx, req.operator, name, state, body.ID)
		if refused != nil {
			return answer{}, refused
		}
		rollout := serviceAnswer{Result: result, DataCentre: name, Service: state}
		s.awaitMembers(ctx, result.Revision, wait, &rollout)
		status := http.StatusOK
		if !rollout.Complete {
			status = http.StatusAccepted
		}
		return answer{Status: status, Body: rollout}, nil
	}
}

// setService publishes the data centre's new service state. If the operator gave no id, it publishes again after a conflict with
// another change of the data centre, because the operator asked for a state and not for a version of the object.
func (s *Server) setService(
	ctx context.Context, operator string, name model.DataCentreID, state model.ServiceState, id model.ChangeID,
) (config.Result, *reply.Error) {
	if id != "" {
		result, refused := s.Publisher.LookupChange(ctx, id)
		if refused == nil {
			return s.repeatedResult(ctx, result, name, state)
		}
		if refused.Reason != reply.ReasonNotFound && refused.Reason != reply.ReasonInDoubt {
			return config.Result{}, refused
		}
	}
	for attempt := 1; ; attempt++ {
		set, refused := s.Publisher.ReadRevision(ctx, 0)
		if refused != nil {
			return config.Result{}, refused
		}
		dataCentre, found := set.DataCentres[name]
		if !found {
			return config.Result{}, reply.Refused(reply.ReasonNotFound, "data centre %q does not exist in revision %d", name, set.Revision)
		}
		if dataCentre.Service == state {
			return config.Result{
				ChangeID: set.ChangeID, Revision: set.Revision, Already: true,
				Warnings: []string{fmt.Sprintf("data centre %q is %s of service already", name, state)},
			}, nil
		}
		dataCentre.Service = state
		spec, err := json.Marshal(dataCentre)
		if err != nil {
			return config.Result{}, reply.Refused(reply.ReasonInvalid, "data centre %q cannot be encoded: %v", name, err)
		}
		result, refused := s.Publisher.Publish(ctx, config.Change{
			ID: cmp.Or(id, newChangeID(name, state)), Base: set.Revision, Operator: operator,
			Put: []model.Object{{Kind: model.KindDataCentre, Name: string(name), Spec: spec}},
		})
		if refused == nil || id != "" || refused.Reason != reply.ReasonConflict || attempt == maxServiceAttempts {
			return result, refused
		}
	}
}

// repeatedResult returns the result of a change that has already taken effect. It refuses the id if that change was not for
// the same data centre and state.
func (s *Server) repeatedResult(
	ctx context.Context, result config.Result, name model.DataCentreID, state model.ServiceState,
) (config.Result, *reply.Error) {
	set, refused := s.Publisher.ReadRevision(ctx, result.Revision)
	if refused != nil {
		return config.Result{}, refused
	}
	ref := model.Ref{Kind: model.KindDataCentre, Name: string(name)}
	if len(result.Changed) != 1 || result.Changed[0] != ref || set.DataCentres[name].Service != state {
		return config.Result{}, reply.Refused(reply.ReasonIDReused, "change id %q was already used with another content", result.ChangeID)
	}
	return result, nil
}

// newChangeID returns a random id that starts with the state and the name; the name is truncated to keep the id within
// model.MaxNameLength.
func newChangeID(name model.DataCentreID, state model.ServiceState) model.ChangeID {
	const maxPrefixLength = 24
	prefix := string(name)
	if len(prefix) > maxPrefixLength {
		prefix = strings.TrimRight(prefix[:maxPrefixLength], "-")
	}
	return model.ChangeID(fmt.Sprintf("%s-%s-%s", state, prefix, strings.ToLower(rand.Text())))
}

// awaitMembers waits until each member has the revision or has left, and records the members' state in rollout. Members are
// listed after the publication, because an instance that this one does not know yet may start tasks too.
func (s *Server) awaitMembers(ctx context.Context, revision model.Revision, wait time.Duration, rollout *serviceAnswer) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(memberPollInterval)
	defer ticker.Stop()
	before := s.knownIDs()
	var listed time.Time
	for {
		if time.Since(listed) >= memberListInterval {
			if err := s.refreshMembers(ctx); err != nil {
				s.Log.Warn().Err(err).Msg("opsapi: members not listed")
			} else {
				listed = time.Now()
			}
		}
		s.updateRollout(before, revision, rollout)
		rollout.Complete = rollout.Complete && !listed.IsZero()
		if rollout.Complete {
			return
		}
		select {
		case <-ctx.Done():
			if listed.IsZero() {
				rollout.Warnings = append(rollout.Warnings, "members could not be listed since the change, so there may be others")
			}
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) refreshMembers(ctx context.Context) error {
	if s.Members == nil {
		return nil
	}
	return s.Members.Refresh(ctx)
}

// knownIDs returns the instances that are members now, including this one.
func (s *Server) knownIDs() []model.InstanceID {
	ids := []model.InstanceID{s.Instance}
	if s.Members == nil {
		return ids
	}
	for _, m := range s.Members.Known() {
		if m.Instance != s.Instance {
			ids = append(ids, m.Instance)
		}
	}
	return ids
}

// updateRollout sorts the current members and those of before into the lists of rollout: members with the revision, members
// without it, and members of before that have left.
func (s *Server) updateRollout(before []model.InstanceID, revision model.Revision, rollout *serviceAnswer) {
	hasRevision := map[model.InstanceID]bool{}
	if set := s.Follower.Current(); set != nil && set.Revision >= revision {
		hasRevision[s.Instance] = true
	}
	if s.Members != nil {
		for _, report := range s.Members.Reports(time.Hour) {
			if report.Revision >= revision {
				hasRevision[report.Instance] = true
			}
		}
	}
	knownIDs := map[model.InstanceID]bool{}
	rollout.InEffect, rollout.Left, rollout.Missing = []model.InstanceID{}, nil, nil
	for _, id := range s.knownIDs() {
		knownIDs[id] = true
		if hasRevision[id] {
			rollout.InEffect = append(rollout.InEffect, id)
		} else {
			rollout.Missing = append(rollout.Missing, id)
		}
	}
	for _, id := range before {
		if !knownIDs[id] {
			rollout.Left = append(rollout.Left, id)
		}
	}
	rollout.Complete = len(rollout.Missing) == 0
}
