package front

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Limits of the callers' API.
const (
	// MaxBody bounds a request's body in bytes.
	MaxBody = 1 << 20
	// MaxTimeout bounds the deadline of each request; the graceful stop of 35 s covers it.
	MaxTimeout = 30 * time.Second
	// claimPatience is how long a slot is held for the claim; a claim normally takes a few milliseconds, and longer when a
	// duplicate waits for the outcome of the first request.
	claimPatience = 250 * time.Millisecond
	// finishTimeout bounds writing the outcome of a claim after the request.
	finishTimeout = 5 * time.Second

	headerTimeout = 5 * time.Second
	readTimeout   = 15 * time.Second
	writeTimeout  = MaxTimeout + 15*time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 16 << 10
)

// ClaimRequest names the request that a claim is for.
type ClaimRequest struct {
	Customer model.CustomerID
	Request  model.RequestID
	Class    model.RequestClassID
	// Digest is the xxhash64 of the body.
	Digest uint64
}

// StoredAnswer is the outcome of a request that must not be repeated.
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
	// Release removes the claim; it is called only when the request certainly did not run.
	Release func(context.Context) error
}

// Server serves callers; its exported fields are set before Handler or Run.
type Server struct {
	Log      zerolog.Logger
	Metrics  *metric.Set
	Instance model.InstanceID
	// Current returns the configuration in effect, or nil before the first.
	Current func() *model.Set
	// MaySend is asked before a request is claimed and sent; nil allows all.
	MaySend func(dc model.DataCentreID, idempotent bool) *reply.Error
	Queue   *queue.Queue
	Relay   *relay.Relay
	// Claim claims a request that must not be repeated; exactly one result is non-nil. It waits for the outcome of an
	// earlier request with the same id until ctx ends.
	Claim func(context.Context, ClaimRequest) (*Claim, *StoredAnswer, *reply.Error)
	// Record notes a decision on a request; nil notes nothing.
	Record func(subjectKind, subjectID, action, reason string, inputs map[string]string)
	// Submit, Get and Cancel handle jobs; records and specs are passed as JSON.
	Submit func(context.Context, json.RawMessage) (json.RawMessage, *reply.Error)
	Get    func(context.Context, model.JobID) (json.RawMessage, *reply.Error)
	Cancel func(context.Context, model.JobID) (json.RawMessage, *reply.Error)
	// Listener is where Run serves.
	Listener net.Listener
	// Linger is how long connections that are idle when accepting stops are kept open; zero means DefaultLinger.
	Linger time.Duration
	// Shut ends the HTTP server at the end of Drain; nil means its graceful shutdown. Tests cut connections instead.
	Shut func(context.Context, *http.Server) error

	draining atomic.Bool
	inFlight tracker
	mu       sync.Mutex
	server   *http.Server
	listener *listener
	// drained is set by Drain, which may come before Run.
	drained bool
}

// Handler serves the callers' API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/requests/{class}", s.serveRequest)
	mux.HandleFunc("/v1/jobs", s.serveJobs)
	mux.HandleFunc("/v1/jobs/{id}", s.serveJob)
	mux.HandleFunc("/", s.serveOther)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.begin()
		defer s.inFlight.end()
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		w.Header().Set(reply.HeaderInstance, string(s.Instance))
		mux.ServeHTTP(w, r)
	})
}

// Run serves on Listener until Drain, or until ctx ends; then what is in flight is cut.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	accepting := &listener{Listener: s.Listener}
	s.mu.Lock()
	if s.drained {
		accepting.stop()
	}
	s.server, s.listener = server, accepting
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(accepting) }()
	select {
	case err := <-ended:
		if !accepting.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serving callers")
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "closing the callers' listener")
	}
	return nil
}

func (s *Server) serveOther(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, reply.Refused(reply.ReasonNotFound, "path %s does not exist", r.URL.Path), "")
}

// refuse answers with an error that is not about one class.
func (s *Server) refuse(w http.ResponseWriter, err *reply.Error, class model.RequestClassID) {
	s.countEnd(class, err.Outcome, err.Reason)
	if writeErr := err.Write(w); writeErr != nil {
		s.Log.Debug().Err(writeErr).Msg("front: caller has gone")
	}
}

func (s *Server) countEnd(class model.RequestClassID, outcome reply.Outcome, reason reply.Reason) {
	if s.Metrics == nil {
		return
	}
	if outcome == reply.OutcomeRefused {
		s.Metrics.Refusals.WithLabelValues(string(reason), string(class)).Inc()
	}
	s.Metrics.Outcomes.WithLabelValues(string(class), string(outcome)).Inc()
}
