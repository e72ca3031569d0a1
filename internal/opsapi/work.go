package opsapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

func (s *Server) listJobs(ctx context.Context, c call) (answer, *reply.Error) {
	if refused := parameters(c); refused != nil {
		return answer{}, refused
	}
	if s.ListJobs == nil {
		return notFound(ctx, c)
	}
	jobs, err := s.ListJobs(ctx)
	return answer{Body: jobs}, readError(err)
}

func (s *Server) getJob(ctx context.Context, c call) (answer, *reply.Error) {
	if s.GetJob == nil {
		return notFound(ctx, c)
	}
	job, refused := s.GetJob(ctx, model.JobID(c.PathValue("id")))
	return answer{Body: job}, refused
}

func (s *Server) submitJob(ctx context.Context, c call) (answer, *reply.Error) {
	if s.SubmitJob == nil {
		return notFound(ctx, c)
	}
	var spec json.RawMessage
	if refused := decode(c, &spec, false); refused != nil {
		return answer{}, refused
	}
	job, refused := s.SubmitJob(ctx, spec)
	return answer{Status: http.StatusAccepted, Body: job}, refused
}

func (s *Server) cancelJob(ctx context.Context, c call) (answer, *reply.Error) {
	if s.CancelJob == nil {
		return notFound(ctx, c)
	}
	job, refused := s.CancelJob(ctx, model.JobID(c.PathValue("id")))
	return answer{Status: http.StatusAccepted, Body: job}, refused
}

func (s *Server) explainRequest(ctx context.Context, c call) (answer, *reply.Error) {
	return s.events(ctx, c, "request", c.PathValue("customer")+"/"+c.PathValue("id"))
}

func (s *Server) explain(ctx context.Context, c call) (answer, *reply.Error) {
	return s.events(ctx, c, c.PathValue("kind"), c.PathValue("id"))
}

func (s *Server) events(ctx context.Context, c call, kind, id string) (answer, *reply.Error) {
	if refused := parameters(c); refused != nil {
		return answer{}, refused
	}
	if s.Explain == nil {
		return notFound(ctx, c)
	}
	events, err := s.Explain(ctx, kind, id)
	return answer{Body: events}, readError(err)
}

// leaving marks an endpoint as leaving on this instance, which tells its peers.
func (s *Server) leaving(ctx context.Context, c call) (answer, *reply.Error) {
	name := c.PathValue("name")
	if s.SetLeaving == nil {
		return notFound(ctx, c)
	}
	if !model.ValidName(name) {
		return answer{}, reply.Refused(reply.ReasonMalformed, "endpoint name %q is not in kebab case", name)
	}
	s.SetLeaving([]model.EndpointID{model.EndpointID(name)})
	s.Log.Info().Str("endpoint", name).Str("by", c.operator).Msg("opsapi: endpoint set leaving")
	return answer{Status: http.StatusAccepted, Body: map[string]string{"endpoint": name, "state": "leaving"}}, nil
}

// readError is the answer to a read that failed.
func readError(err error) *reply.Error {
	if err == nil {
		return nil
	}
	var typed *reply.Error
	if errors.As(err, &typed) {
		return typed
	}
	refused := reply.Refused(reply.ReasonStoreUnavailable, "records cannot be read: %v", err)
	refused.RetryAfter = model.Duration(time.Second)
	return refused
}
