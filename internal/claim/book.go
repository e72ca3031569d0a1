package claim

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Limits of claims.
const (
	// KeepFor is the least time for which an id is kept.
	KeepFor = 26 * time.Hour
	// MaxBodyBytes is the largest answer that is kept for duplicates.
	MaxBodyBytes = 64 << 10
	// MaxIDBytes bounds customer and request ids, which are parts of the claim's key.
	MaxIDBytes = 256
	// MaxWrites bounds the writes to the store for one request: the tries to create, to finish or release, and those of the
	// background.
	MaxWrites = beginRounds*writeTries + writeTries + backgroundWrites

	writeTries       = 2
	backgroundWrites = 4
	// beginRounds bounds how often one Begin tries to take an id over that others claim and release meanwhile.
	beginRounds = 3
)

// Book makes and finds claims; its exported fields are set before use.
type Book struct {
	Store       *store.Client
	Instance    model.InstanceID
	Incarnation model.Incarnation
	Log         zerolog.Logger
	Metrics     *metric.Set
	// Dead reports whether the process is certainly gone, so that its claims can no longer be finished; nil knows only of earlier
	// processes of this instance.
	Dead func(model.InstanceID, model.Incarnation) bool
	// Write is the compare-and-swap that makes a claim; nil means Store.Put. Tests replace it.
	Write func(ctx context.Context, key string, value []byte, version store.Version, lease store.LeaseID) (store.Entry, error)
	// Doubt is the answer about a request that may have run; nil means unknown: in-doubt. Tests replace it.
	Doubt func(message string) *reply.Error

	once    sync.Once
	writes  *prometheus.CounterVec
	perID   *prometheus.CounterVec
	buckets bucket
	pending pending
}

// Key names a request; ids are unique per customer.
type Key struct {
	Customer model.CustomerID
	Request  model.RequestID
}

// Outcome is how a request ended. Finish sets BodyKept: an answer over MaxBodyBytes is not kept.
type Outcome struct {
	Outcome     reply.Outcome
	Reason      reply.Reason
	Status      int
	ContentType string
	Body        []byte
	BodyKept    bool
}

// Claim is the right to send one request.
type Claim struct {
	book    *Book
	key     string
	record  record
	version store.Version
	// revision is the store revision of the create; 0 while it is not known to have taken effect.
	revision store.Revision
	lease    store.LeaseID
	writes   int

	mu    sync.Mutex
	ended bool
}

// String returns the key of the claim in the store.
func (k Key) String() string { return store.Key("claim", string(k.Customer), string(k.Request)) }

func (k Key) check() *reply.Error {
	for _, id := range []string{string(k.Customer), string(k.Request)} {
		if id == "" || len(id) > MaxIDBytes {
			return reply.Refused(reply.ReasonMalformed, "customer and request id have 1 to %d bytes, not %d", MaxIDBytes, len(id))
		}
	}
	return nil
}

func (b *Book) newRecord(class model.RequestClassID, digest uint64) record {
	return record{
		State: stateClaimed, Class: class, Instance: b.Instance, Incarnation: b.Incarnation, Nonce: rand.Text(), Digest: digestText(digest),
	}
}

func (b *Book) init() {
	b.once.Do(func() {
		b.buckets.turn = make(chan struct{}, 1)
		b.pending.wake = make(chan struct{}, 1)
		if b.Metrics == nil {
			return
		}
		b.writes = b.Metrics.Counter("claim_writes_total", "Writes of claims to the store.", "op", "result")
		b.perID = b.Metrics.Counter("claims_ended_total", "Claims that ended, by the writes that they took.", "end", "writes")
	})
}

func (b *Book) countWrite(op string, err error) {
	b.init()
	if b.writes == nil {
		return
	}
	result := "ok"
	if err != nil {
		result = "error"
	}
	b.writes.WithLabelValues(op, result).Inc()
}
