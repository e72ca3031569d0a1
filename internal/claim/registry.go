package claim

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/bucket"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Limits of claims.
const (
	// Retention is the minimum time for which an id is kept.
	Retention = 26 * time.Hour
	// MaxBodyBytes is the largest answer that is kept for duplicates.
	MaxBodyBytes = 64 << 10
	// MaxIDBytes bounds customer and request ids, which are parts of the claim's key.
	MaxIDBytes = 256
	// MaxWrites bounds the store writes for one request: the attempts to create and to end the claim, and those of Run.
	MaxWrites = beginRounds*writeAttempts + writeAttempts + backgroundWrites

	// writeAttempts bounds the writes of one attempt of Begin to create the claim, and those of Finish or Release.
	writeAttempts = 2
	// backgroundWrites is the number of writes that Run may add when all others of a claim were used up.
	backgroundWrites = 4
	// beginRounds bounds how often one Begin tries to claim an id that others claim and release at the same time.
	beginRounds = 3
)

// Registry creates and finds claims. Its exported fields must be set before use; its methods are safe for concurrent use.
type Registry struct {
	Store       *store.Client
	Instance    model.InstanceID
	Incarnation model.Incarnation
	Log         zerolog.Logger
	Metrics     *metric.Set
	// ProcessEnded reports whether a process is known to have ended, so that its claims can no longer be finished. If it is nil, only
	// earlier processes of this instance are known to have ended.
	ProcessEnded func(model.InstanceID, model.Incarnation) bool
	// PutClaim is the compare-and-swap that creates a claim; nil means Store.Put. Tests replace it.
	PutClaim func(ctx context.Context, key string, value []byte, version store.Version, lease store.LeaseID) (store.Entry, error)
	// InDoubtError returns the error for a request that may have run; nil means outcome unknown, reason in-doubt. Tests replace it.
	InDoubtError func(message string) *reply.Error

	once         sync.Once
	writeCounter *prometheus.CounterVec
	endCounter   *prometheus.CounterVec
	leases       *bucket.Lease[store.LeaseID] // to which new claims are attached
	pendingEnds  pendingEnds
}

// Key identifies a request; ids are unique per customer.
type Key struct {
	Customer model.CustomerID
	Request  model.RequestID
}

// Outcome is the result of a request. Finish sets BodyKept: an answer over MaxBodyBytes is not kept.
type Outcome struct {
	Outcome     reply.Outcome
	Reason      reply.Reason
	Status      int
	ContentType string
	Body        []byte
	BodyKept    bool
}

// Claim is the right to send one request. The goroutine that handles the request uses it; after Finish or Release, only Run does.
type Claim struct {
	registry *Registry
	key      string
	record   record
	version  store.Version
	// revision is the store revision of the create; 0 while the create is not known to be applied.
	revision store.Revision
	lease    store.LeaseID
	// writes counts the store writes for this claim.
	writes int

	// mu guards ended.
	mu    sync.Mutex
	ended bool
}

// String returns the key of the claim in the store.
func (k Key) String() string { return store.Key("claim", string(k.Customer), string(k.Request)) }

func (k Key) validate() *reply.Error {
	for _, id := range []string{string(k.Customer), string(k.Request)} {
		if id == "" || len(id) > MaxIDBytes {
			return reply.Refused(reply.ReasonMalformed, "customer and request id have 1 to %d bytes, not %d", MaxIDBytes, len(id))
		}
	}
	return nil
}

func (r *Registry) newRecord(class model.RequestClassID, digest uint64) record {
	return record{
		State: stateClaimed, Class: class, Instance: r.Instance, Incarnation: r.Incarnation, Nonce: rand.Text(), Digest: formatDigest(digest),
	}
}

// lazyInit prepares the unexported fields and the metrics at the first use.
func (r *Registry) lazyInit() {
	r.once.Do(func() {
		r.leases = bucket.New(r.grant, Retention, bucketPeriod)
		r.pendingEnds.wake = make(chan struct{}, 1)
		if r.Metrics == nil {
			return
		}
		r.writeCounter = r.Metrics.Counter("claim_writes_total", "Writes of claims to the store.", "op", "result")
		r.endCounter = r.Metrics.Counter("claims_ended_total", "Claims that ended, by the writes that they took.", "end", "writes")
	})
}

func (r *Registry) countWrite(op string, err error) {
	r.lazyInit()
	if r.writeCounter == nil {
		return
	}
	result := "ok"
	if err != nil {
		result = "error"
	}
	r.writeCounter.WithLabelValues(op, result).Inc()
}
