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
	// serviceAttempts bounds how often a change of service is made again from a newer revision.
	serviceAttempts = 5
	// membersEvery is the interval between two looks at the members, and refreshEvery between two listings of them.
	membersEvery = 50 * time.Millisecond
	refreshEvery = time.Second
)

// serviceBody is the optional body of POST /v1/data-centres/<name>/out and in.
type serviceBody struct {
	// ID makes the call safe to repeat; without it the instance chooses one.
	ID model.ChangeID `json:"change-id"`
	// Wait bounds the wait for members.
	Wait model.Duration `json:"wait"`
}

// serviceAnswer tells which members have the revision.
type serviceAnswer struct {
	config.Result
	DataCentre model.DataCentreID `json:"data-centre"`
	Service    model.ServiceState `json:"service"`
	// Complete is true when no member is missing.
	Complete bool `json:"complete"`
	// InEffect names the members that have the revision, Left those that were members and are none any more, and Missing
	// those that did not report the revision within the wait.
	InEffect []model.InstanceID `json:"in-effect"`
	Left     []model.InstanceID `json:"left,omitempty"`
	Missing  []model.InstanceID `json:"missing,omitempty"`
}

// service takes a data centre out of service or in by an ordinary change, and waits until the members have it.
func (s *Server) service(state model.ServiceState) handler {
	return func(ctx context.Context, c call) (answer, *reply.Error) {
		if refused := parameters(c); refused != nil {
			return answer{}, refused
		}
		var body serviceBody
		if refused := decode(c, &body, true); refused != nil {
			return answer{}, refused
		}
		wait := cmp.Or(body.Wait.Std(), s.MembersWait, DefaultMembersWait)
		if wait < 0 || wait > MaxMembersWait {
			return answer{}, reply.Refused(reply.ReasonMalformed, "wait %s is not between 0s and %s", wait, MaxMembersWait)
		}
		name := model.DataCentreID(c.PathValue("name"))
		result, refused := s.setService(ctx, c.operator, name, state, body.ID)
		if refused != nil {
			return answer{}, refused
		}
		told := serviceAnswer{Result: result, DataCentre: name, Service: state}
		s.await(ctx, result.Revision, wait, &told)
		status := http.StatusOK
		if !told.Complete {
			status = http.StatusAccepted
		}
		return answer{Status: status, Body: told}, nil
	}
}

// setService publishes the change. With an id chosen here it is made again when another change of the data centre came
// first, because the operator asked for the state and not for a version of the object.
func (s *Server) setService(
	ctx context.Context, operator string, name model.DataCentreID, state model.ServiceState, id model.ChangeID,
) (config.Result, *reply.Error) {
	if id != "" {
		result, refused := s.Publisher.Lookup(ctx, id)
		if refused == nil {
			return s.repeated(ctx, result, name, state)
		}
		if refused.Reason != reply.ReasonNotFound && refused.Reason != reply.ReasonInDoubt {
			return config.Result{}, refused
		}
	}
	for attempt := 1; ; attempt++ {
		set, refused := s.Publisher.At(ctx, 0)
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
			ID: cmp.Or(id, changeID(name, state)), Base: set.Revision, By: operator,
			Put: []model.Object{{Kind: model.KindDataCentre, Name: string(name), Spec: spec}},
		})
		if refused == nil || id != "" || refused.Reason != reply.ReasonConflict || attempt == serviceAttempts {
			return result, refused
		}
	}
}

// repeated answers a change id that took effect already, if it was for the same data centre and state.
func (s *Server) repeated(
	ctx context.Context, result config.Result, name model.DataCentreID, state model.ServiceState,
) (config.Result, *reply.Error) {
	set, refused := s.Publisher.At(ctx, result.Revision)
	if refused != nil {
		return config.Result{}, refused
	}
	ref := model.Ref{Kind: model.KindDataCentre, Name: string(name)}
	if len(result.Changed) != 1 || result.Changed[0] != ref || set.DataCentres[name].Service != state {
		return config.Result{}, reply.Refused(reply.ReasonIDReused, "change id %q was already used with another content", result.ChangeID)
	}
	return result, nil
}

// changeID returns a new id; the name is cut so that the id stays within the limit of names.
func changeID(name model.DataCentreID, state model.ServiceState) model.ChangeID {
	const longest = 24
	short := string(name)
	if len(short) > longest {
		short = strings.TrimRight(short[:longest], "-")
	}
	return model.ChangeID(fmt.Sprintf("%s-%s-%s", state, short, strings.ToLower(rand.Text())))
}

// await waits until each member has a revision or has left, and tells which have not. Members are listed after the
// publication, because an instance that this one does not know of yet may start tasks too.
func (s *Server) await(ctx context.Context, revision model.Revision, wait time.Duration, told *serviceAnswer) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(membersEvery)
	defer ticker.Stop()
	before := s.known()
	var listed time.Time
	for {
		if time.Since(listed) >= refreshEvery {
			if err := s.refresh(ctx); err != nil {
				s.Log.Warn().Err(err).Msg("opsapi: members not listed")
			} else {
				listed = time.Now()
			}
		}
		s.progress(before, revision, told)
		told.Complete = told.Complete && !listed.IsZero()
		if told.Complete {
			return
		}
		select {
		case <-ctx.Done():
			if listed.IsZero() {
				told.Warnings = append(told.Warnings, "members could not be listed since the change, so there may be others")
			}
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) refresh(ctx context.Context) error {
	if s.Members == nil {
		return nil
	}
	return s.Members.Refresh(ctx)
}

// known returns the instances that are members now, this one included.
func (s *Server) known() []model.InstanceID {
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

// progress sorts the members of before, and those that joined since, by whether they have a revision.
func (s *Server) progress(before []model.InstanceID, revision model.Revision, told *serviceAnswer) {
	has := map[model.InstanceID]bool{}
	if set := s.Follower.Current(); set != nil && set.Revision >= revision {
		has[s.Instance] = true
	}
	if s.Members != nil {
		for _, report := range s.Members.Reports(time.Hour) {
			if report.Revision >= revision {
				has[report.Instance] = true
			}
		}
	}
	known := map[model.InstanceID]bool{}
	told.InEffect, told.Left, told.Missing = []model.InstanceID{}, nil, nil
	for _, id := range s.known() {
		known[id] = true
		if has[id] {
			told.InEffect = append(told.InEffect, id)
		} else {
			told.Missing = append(told.Missing, id)
		}
	}
	for _, id := range before {
		if !known[id] {
			told.Left = append(told.Left, id)
		}
	}
	told.Complete = len(told.Missing) == 0
}
