package store

import (
	"fmt"
	"sync"
	"time"
)

// Defaults of a Breaker.
const (
	// DefaultOpenAfter is the number of consecutive unavailable answers after which calls are not sent.
	DefaultOpenAfter = 5
	// DefaultProbeEvery is the time between the calls that are let through while the breaker is open.
	DefaultProbeEvery = time.Second
)

// Breaker stops calls to a service that does not answer, so that callers learn it at once and the service is not loaded while it
// recovers. It is shared by the clients of one service.
type Breaker struct {
	// OpenAfter is the number of consecutive unavailable answers that open it; zero means DefaultOpenAfter.
	OpenAfter int
	// ProbeEvery is the time between probes while it is open; zero means DefaultProbeEvery.
	ProbeEvery time.Duration

	mu        sync.Mutex
	failures  int
	openSince time.Time
	lastProbe time.Time
}

// OpenError is the cause of an UnavailableError of a call that was not sent because the breaker is open.
type OpenError struct {
	// Since is when the breaker opened.
	Since time.Time
	// NextProbe is the time until a call is let through.
	NextProbe time.Duration
}

// Error states how long the service has been unavailable.
func (e *OpenError) Error() string {
	return fmt.Sprintf("not sent, as the service is unavailable since %s", e.Since.UTC().Format(time.RFC3339))
}

// Open reports whether calls are held back now.
func (b *Breaker) Open() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.openSince.IsZero()
}

// admit returns an OpenError for a call that must not be sent.
func (b *Breaker) admit() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openSince.IsZero() {
		return nil
	}
	every := b.ProbeEvery
	if every <= 0 {
		every = DefaultProbeEvery
	}
	now := time.Now()
	if left := every - now.Sub(b.lastProbe); left > 0 {
		return &OpenError{Since: b.openSince, NextProbe: left}
	}
	b.lastProbe = now
	return nil
}

// report counts the result of a call that was sent.
func (b *Breaker) report(available bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if available {
		b.failures, b.openSince = 0, time.Time{}
		return
	}
	limit := b.OpenAfter
	if limit <= 0 {
		limit = DefaultOpenAfter
	}
	b.failures++
	if b.failures >= limit && b.openSince.IsZero() {
		b.openSince = time.Now()
		b.lastProbe = b.openSince
	}
}
