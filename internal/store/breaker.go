package store

import (
	"fmt"
	"sync"
	"time"
)

// Defaults of a Breaker.
const (
	// DefaultFailureThreshold is the number of consecutive failed calls after which the breaker opens.
	DefaultFailureThreshold = 5
	// DefaultProbeInterval is the time between the calls that are sent as probes while the breaker is open.
	DefaultProbeInterval = time.Second
)

// Breaker is a circuit breaker: it stops calls to a service that does not answer, so that callers fail at once and the service
// is not loaded while it recovers. The clients of one service share it; it may be used concurrently, and a nil Breaker is closed.
type Breaker struct {
	// FailureThreshold is the number of consecutive failed calls that open it; zero means DefaultFailureThreshold.
	FailureThreshold int
	// ProbeInterval is the time between probes while it is open; zero means DefaultProbeInterval.
	ProbeInterval time.Duration

	// mu guards the fields below.
	mu        sync.Mutex
	failures  int       // consecutive failed calls
	openSince time.Time // zero while closed
	lastProbe time.Time
}

// OpenError is the cause of an UnavailableError of a call that was not sent because the breaker is open.
type OpenError struct {
	// Since is when the breaker opened.
	Since time.Time
	// NextProbe is the time until a call is sent as a probe.
	NextProbe time.Duration
}

// Error states how long the service has been unavailable.
func (e *OpenError) Error() string {
	return fmt.Sprintf("not sent, as the service is unavailable since %s", e.Since.UTC().Format(time.RFC3339))
}

// Open reports whether the breaker is open; then only probes are sent.
func (b *Breaker) Open() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.openSince.IsZero()
}

// admit returns an OpenError if the call must not be sent. A call that it admits while open is a probe.
func (b *Breaker) admit() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openSince.IsZero() {
		return nil
	}
	interval := b.ProbeInterval
	if interval <= 0 {
		interval = DefaultProbeInterval
	}
	now := time.Now()
	if remaining := interval - now.Sub(b.lastProbe); remaining > 0 {
		return &OpenError{Since: b.openSince, NextProbe: remaining}
	}
	b.lastProbe = now
	return nil
}

// recordResult counts the result of a call that was sent.
func (b *Breaker) recordResult(available bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if available {
		b.failures, b.openSince = 0, time.Time{}
		return
	}
	threshold := b.FailureThreshold
	if threshold <= 0 {
		threshold = DefaultFailureThreshold
	}
	b.failures++
	if b.failures >= threshold && b.openSince.IsZero() {
		b.openSince = time.Now()
		b.lastProbe = b.openSince
	}
}
