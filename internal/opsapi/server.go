package opsapi

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/serve"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Limits of the API.
const (
	// MaxBodyBytes limits a body; a change may replace several kinds, each below 1 MB in the store.
	MaxBodyBytes = 4 << 20
	// DefaultTimeout bounds the reading of a body and the processing of a call, except for the wait for members.
	DefaultTimeout = 15 * time.Second
	// DefaultMembersWait bounds the wait for members after a change of a data centre's service state. The membership of a
	// member that is cut off from the store and from its peers expires within 5 s, so such a member has left before the wait ends.
	DefaultMembersWait = 10 * time.Second
	// MaxMembersWait is the longest wait that an operator may ask for.
	MaxMembersWait = time.Minute
)

// Server is the operators' API of one instance. Its fields are set before Handler is called; the handler may be used
// concurrently.
type Server struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	// Tokens maps bearer tokens to names of operators.
	Tokens    map[string]string
	Publisher *config.Publisher
	Follower  *config.Follower
	Members   *member.Table
	// ListJobs, GetJob, SubmitJob and CancelJob return values that are encoded as JSON; a call whose function is nil answers
	// not-found.
	ListJobs  func(context.Context) (any, error)
	GetJob    func(context.Context, model.JobID) (any, *reply.Error)
	SubmitJob func(context.Context, json.RawMessage) (any, *reply.Error)
	CancelJob func(context.Context, model.JobID) (any, *reply.Error)
	// Explain returns the recorded events of a subject, such as kind "request" and id "<customer>/<id>".
	Explain func(ctx context.Context, kind, id string) (any, error)
	// SetLeaving marks endpoints as leaving.
	SetLeaving func([]model.EndpointID)
	Instance   model.InstanceID
	// Timeout and MembersWait default to the constants DefaultTimeout and DefaultMembersWait.
	Timeout, MembersWait time.Duration
}

// request is one authorized HTTP request with its body read.
type request struct {
	*http.Request
	operator string
	body     []byte
}

// answer is a successful answer; Status 0 means 200.
type answer struct {
	Status int
	Body   any
}

type handler func(context.Context, request) (answer, *reply.Error)

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	timeout := cmp.Or(s.Timeout, DefaultTimeout)
	for pattern, handle := range map[string]handler{
		"POST /v1/changes":                        s.publishChange,
		"GET /v1/changes/{id}":                    s.lookUpChange,
		"GET /v1/objects":                         s.objects,
		"GET /v1/jobs":                            s.listJobs,
		"POST /v1/jobs":                           s.submitJob,
		"GET /v1/jobs/{id}":                       s.getJob,
		"DELETE /v1/jobs/{id}":                    s.cancelJob,
		"GET /v1/status":                          s.status,
		"GET /v1/explain/request/{customer}/{id}": s.explainRequest,
		"GET /v1/explain/{kind}/{id}":             s.explainSubject,
		"POST /v1/endpoints/{name}/leaving":       s.markLeaving,
		"/":                                       notFound,
	} {
		mux.Handle(pattern, s.httpHandler(handle, timeout))
	}
	for path, state := range map[string]model.ServiceState{"out": model.ServiceOut, "in": model.ServiceIn} {
		mux.Handle("POST /v1/data-centres/{name}/"+path, s.httpHandler(s.serviceHandler(state), timeout+MaxMembersWait))
	}
	return mux
}

// httpHandler authorizes a request, reads its body, calls handle with a timeout and writes the answer.
func (s *Server) httpHandler(handle handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, authorized := s.operator(r)
		if !authorized {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.writeError(w, reply.Refused(reply.ReasonUnauthorized, "the bearer token is missing or unknown"))
			return
		}
		body, refused := s.body(w, r)
		if refused != nil {
			s.writeError(w, refused)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		result, refused := handle(ctx, request{Request: r, operator: operator, body: body})
		if refused != nil {
			s.writeError(w, refused)
			return
		}
		s.writeAnswer(w, result)
	})
}

// body reads the whole body within a limit of size and time.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, *reply.Error) {
	ctx, cancel := context.WithTimeout(r.Context(), cmp.Or(s.Timeout, DefaultTimeout))
	defer cancel()
	body, err := serve.ReadBody(ctx, w, r, MaxBodyBytes)
	if err != nil {
		return nil, serve.BodyRefusal(err)
	}
	return body, nil
}

// operator returns the name of the operator whose bearer token the request has, and whether there is one. It compares
// hashes of all tokens in constant time, so that the time depends on neither the content nor the length of a token.
func (s *Server) operator(r *http.Request) (string, bool) {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	presented := sha256.Sum256([]byte(token))
	operator, known := "", 0
	for candidate, name := range s.Tokens {
		hash := sha256.Sum256([]byte(candidate))
		equal := subtle.ConstantTimeCompare(presented[:], hash[:])
		if equal == 1 && candidate != "" {
			operator, known = name, 1
		}
	}
	return operator, known == 1
}

func (s *Server) writeError(w http.ResponseWriter, refused *reply.Error) {
	if s.Metrics != nil && refused.Outcome == reply.OutcomeRefused {
		s.Metrics.Refusals.WithLabelValues(string(refused.Reason), "operator").Inc()
	}
	if s.Metrics != nil {
		s.Metrics.Outcomes.WithLabelValues("operator", string(refused.Outcome)).Inc()
	}
	w.Header().Set(reply.HeaderInstance, string(s.Instance))
	if err := refused.Write(w); err != nil {
		s.Log.Debug().Err(err).Msg("opsapi: answer not written")
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, result answer) {
	body, err := json.Marshal(result.Body)
	if err != nil {
		s.Log.Error().Err(err).Msg("opsapi: answer cannot be encoded")
		s.writeError(w, reply.Unknown(reply.ReasonAnswerIncomplete, "the answer cannot be encoded: %v", err))
		return
	}
	if s.Metrics != nil {
		s.Metrics.Outcomes.WithLabelValues("operator", string(reply.OutcomeDone)).Inc()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(reply.HeaderOutcome, string(reply.OutcomeDone))
	w.Header().Set(reply.HeaderInstance, string(s.Instance))
	w.WriteHeader(cmp.Or(result.Status, http.StatusOK))
	if _, err := w.Write(append(body, '\n')); err != nil {
		s.Log.Debug().Err(err).Msg("opsapi: answer not written")
	}
}

func notFound(_ context.Context, req request) (answer, *reply.Error) {
	return answer{}, reply.Refused(reply.ReasonNotFound, "%s %s does not exist", req.Method, req.URL.Path)
}
