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

func (s *Server) listJobs(ctx context.Context, req request) (answer, *reply.Error) {
	if refused := checkQuery(req); refused != nil {
		return answer{}, refused
	}
	if s.ListJobs == nil {
		return notFound(ctx, req)
	}
	jobs, err := s.ListJobs(ctx)
	return answer{Body: jobs}, readError(err)
}

func (s *Server) getJob(ctx context.Context, req request) (answer, *reply.Error) {
	if s.GetJob == nil {
		return notFound(ctx, req)
	}
	job, refused := s.GetJob(ctx, model.JobID(req.PathValue("id")))
	return answer{Body: job}, refused
}

func (s *Server) submitJob(ctx context.Context, req request) (answer, *reply.Error) {
	if s.SubmitJob == nil {
		return notFound(ctx, req)
	}
	var spec json.RawMessage
	if refused := decodeBody(req, &spec, false); refused != nil {
		return answer{}, refused
	}
	job, refused := s.SubmitJob(ctx, spec)
	return answer{Status: http.StatusAccepted, Body: job}, refused
}

func (s *Server) cancelJob(ctx context.Context, req request) (answer, *reply.Error) {
	if s.CancelJob == nil {
		return notFound(ctx, req)
	}
	job, refused := s.CancelJob(ctx, model.JobID(req.PathValue("id")))
	return answer{Status: http.StatusAccepted, Body: job}, refused
}

func (s *Server) explainRequest(ctx context.Context, req request) (answer, *reply.Error) {
	return s.recordedEvents(ctx, req, "request", req.PathValue("customer")+"/"+req.PathValue("id"))
}

func (s *Server) explainSubject(ctx context.Context, req request) (answer, *reply.Error) {
	return s.recordedEvents(ctx, req, req.PathValue("kind"), req.PathValue("id"))
}

func (s *Server) recordedEvents(ctx context.Context, req request, kind, id string) (answer, *reply.Error) {
	if refused := checkQuery(req); refused != nil {
		return answer{}, refused
	}
	if s.Explain == nil {
		return notFound(ctx, req)
	}
	recordedEvents, err := s.Explain(ctx, kind, id)
	return answer{Body: recordedEvents}, readError(err)
}

// markLeaving marks an endpoint as leaving on this instance, which informs its peers.
func (s *Server) markLeaving(ctx context.Context, req request) (answer, *reply.Error) {
	name := req.PathValue("name")
	if s.SetLeaving == nil {
		return notFound(ctx, req)
	}
	if !model.ValidName(name) {
		return answer{}, reply.Refused(reply.ReasonMalformed, "endpoint name %q is not in kebab case", name)
	}
	s.SetLeaving([]model.EndpointID{model.EndpointID(name)})
	s.Log.Info().Str("endpoint", name).Str("by", req.operator).Msg("opsapi: endpoint set leaving")
	return answer{Status: http.StatusAccepted, Body: map[string]string{"endpoint": name, "state": "leaving"}}, nil
}

// readError returns the answer to a read that failed, and nil for a nil error.
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
