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
	// maxSlotWait bounds how long a retry waits for a free slot.
	maxSlotWait = time.Second
	// A request that did not run polls for a retry token every budgetPollInterval, up to maxBudgetWait: bursts of refusals by full
	// endpoints end within a few service times, and a longer wait would only delay the refusal.
	budgetPollInterval = 10 * time.Millisecond
	maxBudgetWait      = 250 * time.Millisecond
	// healthProbeTimeout bounds the probe on a new connection after an overdue answer, and those of idle connections.
	healthProbeTimeout = 250 * time.Millisecond
)

// Label values of the retry counters: reasons of retries, the part that retries, and reasons of denied retries.
const (
	retryNotRun     = "not-run"
	retryNotSent    = "not-sent"
	retryHedge      = "hedge"
	retrySilent     = "silent-connection"
	retryOverdue    = "overdue"
	retryPart       = "relay"
	deniedBudget    = "budget"
	deniedAttempts  = "attempts"
	deniedNoSlot    = "no-slot"
	deniedForbidden = "not-repeatable"
)

// Request is one request to an endpoint.
type Request struct {
	ID         model.RequestID
	Class      model.RequestClassID
	Customer   model.CustomerID
	Idempotent bool
	// Hedge allows a second attempt on another endpoint while the first is slow; it applies to idempotent requests only.
	Hedge       bool
	ContentType string
	Body        []byte
	Deadline    time.Time
	// DataCentres that may serve the request; none means all.
	DataCentres []model.DataCentreID
}

// Answer is a complete and verified answer; Release returns its buffer to the pool.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Digest      string
	Endpoint    model.EndpointID

	buffer *[]byte
}

// Result is the result of a request: Answer for outcome done, Err for all others.
type Result struct {
	Answer *Answer
	Err    *reply.Error
	// Attempts counts the sends, hedges included.
	Attempts int
	// EndpointFull is true when the request did not run because its endpoint had no free slot; the caller may queue it again.
	EndpointFull bool
}

// Relay sends requests; its methods may be used concurrently. Its exported fields are set before the first call.
type Relay struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	Table   *route.Table
	// CheckSend is called right before each send; an error prevents the send. A nil func allows all.
	CheckSend func(dc model.DataCentreID, idempotent bool) *reply.Error
	// Do sends one attempt; nil means the relay's transports with one connection pool per endpoint.
	Do func(*http.Request) (*http.Response, error)
	// Dial opens the connections of the relay's transports; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxAnswer bounds the answer's body in bytes; zero means DefaultMaxAnswer.
	MaxAnswer int64
	// Verify checks an answer against its request; nil means VerifyAnswer. Tests replace it.
	Verify func(request *Request, attempt int, header http.Header, body []byte) error
	// AllowRetry decides on retries in place of the retry budget; nil means the budget. Tests replace it.
	AllowRetry func(model.RequestClassID) bool
	// MayHaveSent reports whether bytes of an attempt that ended with an error may have been sent; nil means that the connection's count
	// of written bytes decides. Tests replace it.
	MayHaveSent func(err error) bool

	once sync.Once
	// mu guards classes and pools.
	mu      sync.RWMutex
	classes map[model.RequestClassID]*classState
	pools   map[string]*pool
	sends   *prometheus.CounterVec
	denied  *prometheus.CounterVec
	overdue *prometheus.CounterVec
}

// Send sends a request to the endpoint of slot, retries where that is safe, and releases the slot. It returns when the outcome is
// known, the deadline passes or ctx ends.
func (r *Relay) Send(ctx context.Context, request *Request, slot *route.Slot) Result {
	r.once.Do(r.initialize)
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	c := &call{
		relay: r, request: request, classState: r.classState(request.Class),
		results: make(chan attemptResult, MaxAttempts), probeResults: make(chan probeResult, MaxAttempts),
	}
	c.classState.budget.deposit()
	return c.run(ctx, slot)
}

// Run probes idle connections and removes unused connection pools until ctx ends; it always returns nil.
func (r *Relay) Run(ctx context.Context) error {
	r.once.Do(r.initialize)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.closePools()
			return nil
		case <-ticker.C:
			r.maintainPools(ctx)
		}
	}
}

func (r *Relay) initialize() {
	r.classes = map[model.RequestClassID]*classState{}
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

func (r *Relay) classState(id model.RequestClassID) *classState {
	r.mu.RLock()
	c := r.classes[id]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c = r.classes[id]; c == nil {
		c = newClassState()
		r.classes[id] = c
	}
	return c
}

func (r *Relay) allowRetry(id model.RequestClassID, c *classState) bool {
	if r.AllowRetry != nil {
		return r.AllowRetry(id)
	}
	return c.budget.withdraw()
}

func (r *Relay) countRetry(reason string) {
	if r.Metrics != nil {
		r.Metrics.Retries.WithLabelValues(retryPart, reason).Inc()
	}
}

func increment(vec *prometheus.CounterVec, label string) {
	if vec != nil {
		vec.WithLabelValues(label).Inc()
	}
}
