package opsapi

import (
	"context"
	"slices"
	"strconv"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// changeBody is the body of POST /v1/changes.
type changeBody struct {
	ID     model.ChangeID `json:"change-id"`
	Base   model.Revision `json:"base-revision"`
	Put    []model.Object `json:"put"`
	Delete []model.Ref    `json:"delete"`
	DryRun bool           `json:"dry-run"`
}

// objectsBody is the answer of GET /v1/objects.
type objectsBody struct {
	Revision model.Revision `json:"revision"`
	ChangeID model.ChangeID `json:"change-id,omitempty"`
	Objects  []model.Object `json:"objects"`
}

func (s *Server) publishChange(ctx context.Context, req request) (answer, *reply.Error) {
	if refused := checkQuery(req); refused != nil {
		return answer{}, refused
	}
	var body changeBody
	if refused := decodeBody(req, &body, false); refused != nil {
		return answer{}, refused
	}
	result, refused := s.Publisher.Publish(ctx, config.Change{
		ID: body.ID, Base: body.Base, Put: body.Put, Delete: body.Delete, DryRun: body.DryRun, Operator: req.operator,
	})
	return answer{Body: result}, refused
}

func (s *Server) lookUpChange(ctx context.Context, req request) (answer, *reply.Error) {
	if refused := checkQuery(req); refused != nil {
		return answer{}, refused
	}
	result, refused := s.Publisher.LookupChange(ctx, model.ChangeID(req.PathValue("id")))
	return answer{Body: result}, refused
}

func (s *Server) objects(ctx context.Context, req request) (answer, *reply.Error) {
	if refused := checkQuery(req, "kind", "name", "revision"); refused != nil {
		return answer{}, refused
	}
	query := req.URL.Query()
	kind, name := model.Kind(query.Get("kind")), query.Get("name")
	if kind != "" && !slices.Contains(model.Kinds(), kind) {
		return answer{}, reply.Refused(reply.ReasonMalformed, "kind %q does not exist", kind)
	}
	configSet, refused := s.configSet(ctx, query.Get("revision"))
	if refused != nil {
		return answer{}, refused
	}
	objects, err := configSet.Objects()
	if err != nil {
		return answer{}, reply.Unknown(reply.ReasonAnswerIncomplete, "objects cannot be encoded: %v", err)
	}
	body := objectsBody{Revision: configSet.Revision, ChangeID: configSet.ChangeID, Objects: []model.Object{}}
	for _, object := range objects {
		if (kind == "" || object.Kind == kind) && (name == "" || object.Name == name) {
			body.Objects = append(body.Objects, object)
		}
	}
	if name != "" && len(body.Objects) == 0 {
		return answer{}, reply.Refused(reply.ReasonNotFound, "no object is named %q in revision %d", name, configSet.Revision)
	}
	return answer{Body: body}, nil
}

// configSet returns the configuration of a revision; if revision is empty, it is the one in effect on this instance.
func (s *Server) configSet(ctx context.Context, revision string) (*model.Set, *reply.Error) {
	if revision == "" {
		if configSet := s.Follower.Current(); configSet != nil {
			return configSet, nil
		}
		return nil, reply.Refused(reply.ReasonConfigStale, "no configuration is in effect on this instance yet")
	}
	number, err := strconv.ParseUint(revision, 10, 64)
	if err != nil || number == 0 {
		return nil, reply.Refused(reply.ReasonMalformed, "revision %q is not a positive number", revision)
	}
	return s.Publisher.ReadRevision(ctx, model.Revision(number))
}
