package front

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/serve"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Limits of the callers' API.
const (
	// MaxBody bounds a request's body in bytes.
	MaxBody = 1 << 20
	// MaxTimeout bounds the timeout of each request; the graceful stop of 35 s covers it.
	MaxTimeout = 30 * time.Second
	// claimSlotTimeout is how long a request keeps its slot while it is claimed. A claim normally takes a few milliseconds, and
	// longer when a duplicate waits for the outcome of the first request.
	claimSlotTimeout = 250 * time.Millisecond
	// finishTimeout bounds the write of a claim's outcome after the request.
	finishTimeout = 5 * time.Second

	// The rest are the limits of the HTTP server; writeTimeout also covers the time until the answer.
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second
	writeTimeout   = MaxTimeout + 15*time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// ClaimRequest identifies the request to claim.
type ClaimRequest struct {
	Customer model.CustomerID
	Request  model.RequestID
	Class    model.RequestClassID
	// Digest is the xxhash64 of the body.
	Digest uint64
}

// StoredAnswer is the outcome of a request that must not be repeated, as its claim stores it.
type StoredAnswer struct {
	Outcome     reply.Outcome
	Reason      reply.Reason
	Status      int
	ContentType string
	Body        []byte
	// BodyKept is false when the answer was too large to be kept.
	BodyKept bool
}

// Claim is a durable claim that this instance holds.
type Claim struct {
	// Finish records the outcome.
	Finish func(context.Context, StoredAnswer) error
	// Release removes the claim; it is called only when the request is known not to have run.
	Release func(context.Context) error
}

// Server serves callers. Its exported fields must be set before Handler or Run is called.
type Server struct {
	Log      zerolog.Logger
	Metrics  *metric.Set
	Instance model.InstanceID
	// Current returns the configuration in effect, or nil before the first.
	Current func() *model.Set
	// CheckSend returns an error if a request must not be claimed and sent to a data centre. A nil func allows all.
	CheckSend func(dc model.DataCentreID, idempotent bool) *reply.Error
	Queue     *queue.Queue
	Relay     *relay.Relay
	// Claim claims a request that must not be repeated; exactly one result is non-nil. It waits for the outcome of an
	// earlier request with the same id until ctx ends.
	Claim func(context.Context, ClaimRequest) (*Claim, *StoredAnswer, *reply.Error)
	// RecordDecision adds a decision on a request to the audit log; nil disables this.
	RecordDecision func(subjectKind, subjectID, action, reason string, inputs map[string]string)
	// Submit, Get and Cancel handle jobs; records and specs are passed as JSON.
	Submit func(context.Context, json.RawMessage) (json.RawMessage, *reply.Error)
	Get    func(context.Context, model.JobID) (json.RawMessage, *reply.Error)
	Cancel func(context.Context, model.JobID) (json.RawMessage, *reply.Error)
	// Listener accepts the connections that Run serves.
	Listener net.Listener
	// Bodies bounds the memory of bodies, and MaxConns the open connections; nil and 0 for no limit.
	Bodies   *budget.Budget
	MaxConns int
	// IdleLinger is how long Drain keeps idle connections open; zero means DefaultIdleLinger.
	IdleLinger time.Duration

	inFlight inFlightTracker
	once     sync.Once
	server   *serve.Server // made by the first call of httpServer
}

// Handler serves the callers' API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/requests/{class}", s.serveRequest)
	mux.HandleFunc("/v1/jobs", s.serveJobSubmission)
	mux.HandleFunc("/v1/jobs/{id}", s.serveJobByID)
	mux.HandleFunc("/", s.serveNotFound)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.add()
		defer s.inFlight.done()
		w.Header().Set(reply.HeaderInstance, string(s.Instance))
		mux.ServeHTTP(w, r)
	})
}

// httpServer returns the HTTP server, which Run, SetDraining and Drain may ask for in any order.
func (s *Server) httpServer() *serve.Server {
	s.once.Do(func() {
		s.server = &serve.Server{
			Name: "callers", Listener: s.Listener, KeepIdle: true, Refuse: s.refuseStopping, Log: s.Log, Observe: s.countDrainedConn,
			Bodies: s.Bodies, MaxConns: s.MaxConns, ObserveShed: s.countShed,
			HTTP: &http.Server{
				Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
				IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			},
		}
	})
	return s.server
}

// refuseStopping writes the answer to a request that the stopping instance does not read.
func (s *Server) refuseStopping(w http.ResponseWriter) {
	w.Header().Set(reply.HeaderInstance, string(s.Instance))
	refused := reply.Refused(reply.ReasonDraining, "the instance stops; repeat at another one")
	if err := refused.Write(w); err != nil {
		s.Log.Debug().Err(err).Msg("front: refusal not written")
	}
}

func (s *Server) countDrainedConn(end serve.End) {
	if s.Metrics != nil {
		s.Metrics.DrainedConns.WithLabelValues("callers", string(end)).Inc()
	}
}

func (s *Server) countShed(reason serve.Shed) {
	if s.Metrics != nil {
		s.Metrics.Shed.WithLabelValues("callers", string(reason)).Inc()
	}
}

// Run serves on Listener until ctx ends and then closes all connections, also those with requests in flight. After Drain it
// accepts no more connections.
func (s *Server) Run(ctx context.Context) error {
	err := s.httpServer().Run(ctx)
	var cut *serve.CutError
	if errors.As(err, &cut) {
		s.Log.Warn().Err(err).Msg("front: requests cut by the stop")
		return nil
	}
	return err
}

func (s *Server) serveNotFound(w http.ResponseWriter, r *http.Request) {
	s.writeError(w, reply.Refused(reply.ReasonNotFound, "path %s does not exist", r.URL.Path), "")
}

// writeError writes an error reply and counts it under class, which may be empty.
func (s *Server) writeError(w http.ResponseWriter, err *reply.Error, class model.RequestClassID) {
	s.countOutcome(class, err.Outcome, err.Reason)
	if writeErr := err.Write(w); writeErr != nil {
		s.Log.Debug().Err(writeErr).Msg("front: caller disconnected before the answer was written")
	}
}

func (s *Server) countOutcome(class model.RequestClassID, outcome reply.Outcome, reason reply.Reason) {
	if s.Metrics == nil {
		return
	}
	if outcome == reply.OutcomeRefused {
		s.Metrics.Refusals.WithLabelValues(string(reason), string(class)).Inc()
	}
	s.Metrics.Outcomes.WithLabelValues(string(class), string(outcome)).Inc()
}
