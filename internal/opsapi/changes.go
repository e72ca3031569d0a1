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

func (s *Server) publish(ctx context.Context, c call) (answer, *reply.Error) {
	if refused := parameters(c); refused != nil {
		return answer{}, refused
	}
	var body changeBody
	if refused := decode(c, &body, false); refused != nil {
		return answer{}, refused
	}
	result, refused := s.Publisher.Publish(ctx, config.Change{
		ID: body.ID, Base: body.Base, Put: body.Put, Delete: body.Delete, DryRun: body.DryRun, By: c.operator,
	})
	return answer{Body: result}, refused
}

func (s *Server) lookup(ctx context.Context, c call) (answer, *reply.Error) {
	if refused := parameters(c); refused != nil {
		return answer{}, refused
	}
	result, refused := s.Publisher.Lookup(ctx, model.ChangeID(c.PathValue("id")))
	return answer{Body: result}, refused
}

func (s *Server) objects(ctx context.Context, c call) (answer, *reply.Error) {
	if refused := parameters(c, "kind", "name", "revision"); refused != nil {
		return answer{}, refused
	}
	query := c.URL.Query()
	kind, name := model.Kind(query.Get("kind")), query.Get("name")
	if kind != "" && !slices.Contains(model.Kinds(), kind) {
		return answer{}, reply.Refused(reply.ReasonMalformed, "kind %q does not exist", kind)
	}
	set, refused := s.set(ctx, query.Get("revision"))
	if refused != nil {
		return answer{}, refused
	}
	objects, err := set.Objects()
	if err != nil {
		return answer{}, reply.Unknown(reply.ReasonAnswerIncomplete, "objects cannot be encoded: %v", err)
	}
	body := objectsBody{Revision: set.Revision, ChangeID: set.ChangeID, Objects: []model.Object{}}
	for _, object := range objects {
		if (kind == "" || object.Kind == kind) && (name == "" || object.Name == name) {
			body.Objects = append(body.Objects, object)
		}
	}
	if name != "" && len(body.Objects) == 0 {
		return answer{}, reply.Refused(reply.ReasonNotFound, "no object is named %q in revision %d", name, set.Revision)
	}
	return answer{Body: body}, nil
}

// set returns the configuration of a revision, or the one in effect on this instance.
func (s *Server) set(ctx context.Context, revision string) (*model.Set, *reply.Error) {
	if revision == "" {
		if set := s.Follower.Current(); set != nil {
			return set, nil
		}
		return nil, reply.Refused(reply.ReasonConfigStale, "no configuration is in effect on this instance yet")
	}
	number, err := strconv.ParseUint(revision, 10, 64)
	if err != nil || number == 0 {
		return nil, reply.Refused(reply.ReasonMalformed, "revision %q is not a positive number", revision)
	}
	return s.Publisher.At(ctx, model.Revision(number))
}
