package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// Defaults of a Holder.
const (
	DefaultTTL        = 5 * time.Second
	DefaultRenewEvery = 1500 * time.Millisecond
	// marginPart is the part of the TTL by which the holder stops early, for clocks that run at different rates and for the
	// time between a check and the use that it guards.
	marginPart = 20
)

// Holder keeps the lease of one instance alive; its exported fields are set before Run.
type Holder struct {
	Store       *store.Client
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// TTL is the time to live of the lease; zero means DefaultTTL.
	TTL time.Duration
	// RenewEvery is the time between renewals; zero means DefaultRenewEvery. The store's timeout bounds each of them, so that a
	// store that is slow but answers does not cost the lease.
	RenewEvery time.Duration
	// Now reads a monotonic clock; nil means time.Now.
	Now     func() time.Time
	Log     zerolog.Logger
	Metrics *metric.Set
	// Fresh decides whether a renewal sent at sentAt still proves the lease at now; nil means within the TTL. Tests replace it.
	Fresh func(sentAt, now time.Time) bool
	// TokenOf returns the fencing token of an ownership entry; nil means its store revision. Tests replace it.
	TokenOf func(store.Entry) model.Token

	mu       sync.Mutex
	id       store.LeaseID
	sentAt   time.Time
	revision store.Revision
	closed   bool
	kept     map[string]*keptKey
	owned    map[string]ownedKey
	doubts   map[string]doubtfulKey
	busy     map[string]chan struct{}
	wake     chan struct{}
	work     chan struct{}
}

type keptKey struct {
	value   func() []byte
	written []byte
	version store.Version
	lease   store.LeaseID
}

type ownedKey struct {
	token   model.Token
	version store.Version
	lease   store.LeaseID
}

// Valid reports whether the lease is certainly alive: the last good renewal was sent less than the TTL ago.
func (h *Holder) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.valid()
}

// Proof returns the store revision of the last good renewal and when that renewal was sent; a read with at least this
// revision is current as of sentAt. The revision is 0 before the first one.
func (h *Holder) Proof() (rev store.Revision, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision, h.sentAt
}

// Keep writes key under the lease, again whenever value returns something else at a renewal, and again whenever a new lease
// had to be granted. It replaces an earlier Keep of the same key.
func (h *Holder) Keep(key string, value func() []byte) {
	h.mu.Lock()
	if h.kept == nil {
		h.kept = map[string]*keptKey{}
	}
	h.kept[key] = &keptKey{value: value}
	h.mu.Unlock()
	h.nudgeUpkeep()
}

// Token returns the fencing token of a key that is held and valid now. Callers ask before every use, because a process that
// was paused does not know that its lease expired.
func (h *Holder) Token(key string) (model.Token, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	owned, found := h.owned[key]
	if !found || owned.lease != h.id || !h.valid() {
		return 0, false
	}
	return owned.token, true
}

// Close ends all ownership, revokes the lease and grants no other one.
func (h *Holder) Close(ctx context.Context) error {
	h.mu.Lock()
	id := h.id
	h.closed, h.id, h.owned = true, 0, nil
	h.mu.Unlock()
	if id == 0 {
		return nil
	}
	err := h.Store.Revoke(ctx, id)
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		err = h.Store.Revoke(ctx, id)
	}
	var gone *store.NotFoundError
	if errors.As(err, &gone) {
		return nil
	}
	return err
}

func (h *Holder) valid() bool {
	if h.id == 0 {
		return false
	}
	now := h.now()
	if h.Fresh != nil {
		return h.Fresh(h.sentAt, now)
	}
	limit := h.ttl() - h.ttl()/marginPart
	// The monotonic clock of Linux stops while a VM is suspended; the wall clock does not, so that both must agree.
	return now.Sub(h.sentAt) < limit && now.Round(0).Sub(h.sentAt.Round(0)) < limit
}

func (h *Holder) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return time.Now()
}

func (h *Holder) ttl() time.Duration {
	if h.TTL > 0 {
		return h.TTL
	}
	return DefaultTTL
}

func (h *Holder) renewEvery() time.Duration {
	if h.RenewEvery > 0 {
		return h.RenewEvery
	}
	return DefaultRenewEvery
}

func (h *Holder) tokenOf(entry store.Entry) model.Token {
	if h.TokenOf != nil {
		return h.TokenOf(entry)
	}
	return model.Token(entry.Modified)
}

// nudge makes Run renew now.
func (h *Holder) nudge() { signal(h.channel(&h.wake)) }

// nudgeUpkeep makes Run write kept keys and settle doubts now.
func (h *Holder) nudgeUpkeep() { signal(h.channel(&h.work)) }

func (h *Holder) channel(field *chan struct{}) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if *field == nil {
		*field = make(chan struct{}, 1)
	}
	return *field
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
