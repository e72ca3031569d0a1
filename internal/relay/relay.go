package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Limits of sending.
const (
	// MaxAttempts bounds the sends of one request, hedges included.
	MaxAttempts = 3
	// DefaultMaxAnswer bounds the answer's body in bytes.
	DefaultMaxAnswer = 8 << 20
	// slotWait bounds how long a retry waits for a free slot.
	slotWait = time.Second
	// A request that did not run looks for retry budget every budgetPoll for budgetWait: bursts of refusals by full endpoints
	// end within a few service times, and a longer wait would only delay the refusal.
	budgetPoll = 10 * time.Millisecond
	budgetWait = 250 * time.Millisecond
	// suspectProbe bounds the probe on a new connection after an overdue answer.
	suspectProbe = 250 * time.Millisecond
)

// Retry reasons, which label the counter of retries.
const (
	retryNotRun     = "not-run"
	retryNotSent    = "not-sent"
	retryHedge      = "hedge"
	retrySilent     = "silent-connection"
	retryOverdue    = "overdue"
	retriesOfRelay  = "relay"
	deniedBudget    = "budget"
	deniedAttempts  = "attempts"
	deniedNoSlot    = "no-slot"
	deniedForbidden = "not-repeatable"
)

// Request is one request as it is sent.
type Request struct {
	ID          model.RequestID
	Class       model.RequestClassID
	Customer    model.CustomerID
	Idempotent  bool
	Hedge       bool
	ContentType string
	Body        []byte
	Deadline    time.Time
	// DataCentres that may serve the request; none means all.
	DataCentres []model.DataCentreID
}

// Answer is a complete and matching answer; Free gives its memory back.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Digest      string
	Endpoint    model.EndpointID

	buffer *[]byte
}

// Result is the end of a request: Answer for outcome done, Err for all others.
type Result struct {
	Answer   *Answer
	Err      *reply.Error
	Attempts int
	// Full is true when the request did not run because its endpoint had no free slot; the caller may queue it again.
	Full bool
}

// Relay sends requests; its exported fields are set before the first call.
type Relay struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	Table   *route.Table
	// MaySend is asked right before each send; nil allows all.
	MaySend func(dc model.DataCentreID, idempotent bool) *reply.Error
	// Do sends one attempt; nil means own transports with one connection pool per endpoint.
	Do func(*http.Request) (*http.Response, error)
	// Dial opens the connections of the own transports; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxAnswer bounds the answer's body in bytes; zero means DefaultMaxAnswer.
	MaxAnswer int64
	// Verify checks an answer against its request; nil means VerifyAnswer. Tests switch it off.
	Verify func(request *Request, attempt int, header http.Header, body []byte) error
	// Allow decides on retries in place of the budget; nil means the budget. Tests switch the budget off.
	Allow func(model.RequestClassID) bool
	// Left decides whether bytes of an attempt that ended with an error may have left; nil means the proof by the
	// connection. Tests switch it off.
	Left func(err error) bool

	once    sync.Once
	mu      sync.RWMutex
	classes map[model.RequestClassID]*class
	pools   map[string]*pool
	sends   *prometheus.CounterVec
	denied  *prometheus.CounterVec
	overdue *prometheus.CounterVec
}

// Send sends a request to the endpoint of pick, and again where that is allowed; it gives the pick back. It returns when
// the outcome is known, the deadline passes or ctx ends.
func (r *Relay) Send(ctx context.Context, request *Request, pick *route.Pick) Result {
	r.once.Do(r.prepare)
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	c := &call{
		relay: r, request: request, class: r.class(request.Class),
		results: make(chan outcome, MaxAttempts), suspects: make(chan suspicion, MaxAttempts),
	}
	c.class.budget.earn()
	return c.run(ctx, pick)
}

// Run probes idle connections and drops the transports of endpoints that are no longer used, until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	r.once.Do(r.prepare)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.closePools()
			return nil
		case <-ticker.C:
			r.tendPools(ctx)
		}
	}
}

func (r *Relay) prepare() {
	r.classes = map[model.RequestClassID]*class{}
	r.pools = map[string]*pool{}
	if r.Dial == nil {
		r.Dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}).DialContext
	}
	if r.MaxAnswer <= 0 {
		r.MaxAnswer = DefaultMaxAnswer
	}
	if r.Metrics != nil {
		r.sends = r.Metrics.Counter("sends_total", "Sends to endpoints.", "class")
		r.denied = r.Metrics.Counter("retries_denied_total", "Retries that were not allowed.", "reason")
		r.overdue = r.Metrics.Counter("overdue_answers_total", "Answers that were overdue, by result of the probe.", "probe")
	}
}

func (r *Relay) class(id model.RequestClassID) *class {
	r.mu.RLock()
	c := r.classes[id]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c = r.classes[id]; c == nil {
		c = newClass()
		r.classes[id] = c
	}
	return c
}

func (r *Relay) allow(id model.RequestClassID, c *class) bool {
	if r.Allow != nil {
		return r.Allow(id)
	}
	return c.budget.spend()
}

func (r *Relay) countRetry(reason string) {
	if r.Metrics != nil {
		r.Metrics.Retries.WithLabelValues(retriesOfRelay, reason).Inc()
	}
}

func count(vec *prometheus.CounterVec, label string) {
	if vec != nil {
		vec.WithLabelValues(label).Inc()
	}
}
