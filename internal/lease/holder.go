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
	DefaultTTL           = 5 * time.Second
	DefaultRenewInterval = 1500 * time.Millisecond
	// marginDivisor sets the safety margin: the lease counts as expired TTL/marginDivisor early, because clocks run at
	// different rates and time passes between a check and the use that it guards.
	marginDivisor = 20
)

// Holder keeps the lease of one instance alive. Its exported fields must be set before Run; its methods may be called concurrently.
type Holder struct {
	Store       *store.Client
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// TTL is the time to live of the lease; zero means DefaultTTL.
	TTL time.Duration
	// RenewInterval is the time between renewals; zero means DefaultRenewInterval. Only the timeout of the store client bounds
	// a renewal, so that the lease survives a store that is slow but answers.
	RenewInterval time.Duration
	// Now returns the current time with a monotonic reading; nil means time.Now.
	Now     func() time.Time
	Log     zerolog.Logger
	Metrics *metric.Set
	// RenewalValid decides whether a renewal sent at sentAt still proves the lease at now; nil means less than the TTL, minus
	// the margin, has passed. Tests replace it.
	RenewalValid func(sentAt, now time.Time) bool
	// TokenOf returns the fencing token of an ownership entry; nil means its store revision. Tests replace it.
	TokenOf func(store.Entry) model.Token

	// mu guards the fields below.
	mu          sync.Mutex
	leaseID     store.LeaseID  // 0 without a lease
	sentAt      time.Time      // when the last successful renewal or grant was sent
	revision    store.Revision // highest store revision seen in a renewal or grant
	closed      bool
	kept        map[string]*keptKey
	owned       map[string]ownedKey
	inDoubt     map[string]inDoubtKey
	keyLocks    map[string]chan struct{} // present while a call writes the key; closed when it ends
	renewalWake chan struct{}
	upkeepWake  chan struct{}
}

// keptKey is a key registered with KeepKey. Only the goroutine of upkeepLoop uses written, version and lease.
type keptKey struct {
	value   func() []byte
	written []byte // value of the last successful write
	version store.Version
	lease   store.LeaseID
}

// ownedKey is a key that was acquired under lease.
type ownedKey struct {
	token   model.Token
	version store.Version
	lease   store.LeaseID
}

// Valid reports whether the lease is certainly alive: the last successful renewal was sent less than the TTL, minus a margin, ago.
func (h *Holder) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.valid()
}

// LastRenewal returns the store revision of the last successful renewal or grant and when that call was sent. A read at or above this
// revision is current as of sentAt. Both are zero before the first grant.
func (h *Holder) LastRenewal() (rev store.Revision, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision, h.sentAt
}

// KeepKey writes key under the lease. After each renewal it is written again if value returns something else or a new lease was
// granted. It replaces an earlier KeepKey of the same key. The upkeep goroutine of Run calls value.
func (h *Holder) KeepKey(key string, value func() []byte) {
	h.mu.Lock()
	if h.kept == nil {
		h.kept = map[string]*keptKey{}
	}
	h.kept[key] = &keptKey{value: value}
	h.mu.Unlock()
	h.wakeUpkeep()
}

// Token returns the fencing token of a key, and whether the key is owned under a valid lease now. It must be called before every use
// of the ownership, because a process that was paused has not noticed that its lease expired.
func (h *Holder) Token(key string) (model.Token, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	owned, found := h.owned[key]
	if !found || owned.lease != h.leaseID || !h.valid() {
		return 0, false
	}
	return owned.token, true
}

// Close ends all ownership and revokes the lease. Run grants no new lease afterwards. If Close fails, the lease expires after its TTL.
func (h *Holder) Close(ctx context.Context) error {
	h.mu.Lock()
	leaseID := h.leaseID
	h.closed, h.leaseID, h.owned = true, 0, nil
	h.mu.Unlock()
	if leaseID == 0 {
		return nil
	}
	err := h.Store.Revoke(ctx, leaseID)
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		err = h.Store.Revoke(ctx, leaseID)
	}
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	return err
}

// valid is Valid for callers that hold mu.
func (h *Holder) valid() bool {
	if h.leaseID == 0 {
		return false
	}
	now := h.now()
	if h.RenewalValid != nil {
		return h.RenewalValid(h.sentAt, now)
	}
	limit := h.ttl() - h.ttl()/marginDivisor
	// The monotonic clock of Linux stops while a VM is suspended and the wall clock does not, so both are checked.
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

func (h *Holder) renewInterval() time.Duration {
	if h.RenewInterval > 0 {
		return h.RenewInterval
	}
	return DefaultRenewInterval
}

func (h *Holder) tokenOf(entry store.Entry) model.Token {
	if h.TokenOf != nil {
		return h.TokenOf(entry)
	}
	return model.Token(entry.Modified)
}

// wakeRenewal makes Run renew the lease now.
func (h *Holder) wakeRenewal() { signal(h.wakeChannel(&h.renewalWake)) }

// wakeUpkeep makes Run write kept keys and resolve in-doubt keys now.
func (h *Holder) wakeUpkeep() { signal(h.wakeChannel(&h.upkeepWake)) }

// wakeChannel returns the channel in field and creates it on first use, so that a Holder needs no constructor.
func (h *Holder) wakeChannel(field *chan struct{}) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if *field == nil {
		*field = make(chan struct{}, 1)
	}
	return *field
}

// signal sends without blocking; a signal that is already pending is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
